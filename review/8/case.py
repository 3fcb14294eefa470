"""A new configuration during a short outage of discovery: once-only sessions run twice.

The agent's watch is reset and it is silent for less than a second; meanwhile SIGHUP drops a class, or adds it
again. Requests that wait for the list keep the number of their class, which is another class by then. Some
answers of the hosts are spoilt.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import LISTENER, Client, Host, Node, Run, main, open_line, request_id

HOSTS, ROUNDS = 8, 18
OUTAGE_S = 0.9
BETWEEN_S = 1.4  # from an outage to the next one
CLIENT_EVERY_S = 0.03
SPREAD = 0.618  # spreads the moments of SIGHUP evenly over the outages
CHAT = LISTENER | {"name": "chat"}
PAY = LISTENER | {"name": "pay", "effect": "at_most_once"}
DESK = LISTENER | {"name": "desk"}
CONFIGURATIONS = ([PAY, DESK], [CHAT, PAY, DESK])  # by round


class SpoiltAnswers:
    """Every fifth answer is spoilt; the host has run the session all the same."""

    def __init__(self) -> None:
        self.requests = 0

    async def __call__(self, host: Host, name: str, line: str, writer: asyncio.StreamWriter) -> bool:
        self.requests += 1
        if self.requests % 5:
            return False
        host.record.add(host.uid, "run", id=name)
        host.record.add(host.uid, "spoilt", id=name)
        writer.write(b"\x15\xaa" + name.encode()[:7] + b"\r\n")
        return True


async def use(run: Run, node: Node, number: int) -> None:
    """One client of the class `pay`; it does not come again."""
    name = request_id(number)
    client = Client(run.record, name)
    answer = await client.open(node.port, open_line(name, "pay", 2000), 2.6)
    if answer is not None and answer.startswith("UP "):
        await asyncio.sleep(0.2)
    client.close()


async def send_clients(run: Run, node: Node) -> None:
    number = 0
    while True:
        number += 1
        run.task(use(run, node, number))
        await asyncio.sleep(CLIENT_EVERY_S)


async def play(run: Run) -> list[str]:
    discovery = await run.discovery()
    await run.add_hosts(discovery, HOSTS)
    node = run.node("n0", discovery, fleetSize=1, listeners=CONFIGURATIONS[1])
    await node.start()
    spoilt = SpoiltAnswers()
    for host in run.hosts.values():
        host.on_open = spoilt
    run.task(send_clients(run, node))
    await asyncio.sleep(2)
    for number in range(ROUNDS):
        if run.trouble:
            discovery.reset_watches()
            discovery.begin_outage()
        wait = OUTAGE_S * (number * SPREAD % 1)
        await asyncio.sleep(wait)
        node.config["settings"]["listeners"] = CONFIGURATIONS[number % 2]
        node.write()
        node.signal(0, signal.SIGHUP)
        await asyncio.sleep(OUTAGE_S - wait)
        if run.trouble:
            discovery.end_outage()
        await asyncio.sleep(BETWEEN_S)
    await asyncio.sleep(2.5)
    runs = Counter(event["id"] for event in run.record.select("run"))
    refused = {event["who"] for event in run.record.select("got") if event["line"].startswith("BUSY")}
    broken = [f"once-only session {name} ran {count} times" for name, count in runs.items() if count > 1]
    return broken + [f"once-only session {name} ran and was refused" for name in runs if name in refused]


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
