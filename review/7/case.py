"""A sound new configuration is refused whole, and a class that is once-only by then runs twice.

The file that SIGHUP brings makes one class once-only and adds a class whose row lacks `aimStretch`, a key
that may be absent. One of eight hosts answers half of its sessions with an error after it has run them.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import LISTENER, Client, Host, Node, Run, main, open_line, request_id

NODES, HOSTS = 3, 8
BINDS_AFTER_S = 1.2  # after SIGHUP clients name the new class, and its rules bind
JUDGED_AFTER_S = 2.0  # sessions that are opened so long after SIGHUP are judged
OBSERVED_S = 14.0
CLIENT_EVERY_S = 0.06  # at each node
DESK = LISTENER | {"name": "desk", "aimStretch": 0.0}
BROWSE = LISTENER | {"name": "browse", "aimStretch": 0.0, "hardLimit": 2.0}
OLD = [DESK, BROWSE]
NEW = [DESK | {"effect": "at_most_once"}, BROWSE, LISTENER | {"name": "hold"}]


class BadHost:
    """Runs every session, and answers every second one with an error, which says that it may have run."""

    def __init__(self) -> None:
        self.requests = 0

    async def __call__(self, host: Host, name: str, line: str, writer: asyncio.StreamWriter) -> bool:
        self.requests += 1
        if self.requests % 2:
            return False
        host.record.add(host.uid, "run", id=name)
        host.record.add(host.uid, "answer", id=name, line="ERR")
        writer.write(b"ERR\r\n")
        return True


async def use(run: Run, node: Node, number: int, prefix: int) -> None:
    """One client of the class `desk`; it does not come again."""
    name = request_id(number, prefix)
    client = Client(run.record, name)
    answer = await client.open(node.port, open_line(name, "desk", 2000), 2.6)
    if answer is not None and answer.startswith("UP "):
        await asyncio.sleep(0.5)
    client.close()


async def send_clients(run: Run, node: Node, prefix: int) -> None:
    number = 0
    while True:
        number += 1
        run.task(use(run, node, number, prefix))
        await asyncio.sleep(CLIENT_EVERY_S)


async def play(run: Run) -> list[str]:
    discovery = await run.discovery()
    await run.add_hosts(discovery, HOSTS)
    listeners = OLD if run.trouble else NEW
    nodes = [run.node(f"n{i}", discovery, fleetSize=NODES, me=i, listeners=listeners) for i in range(NODES)]
    await asyncio.gather(*(node.start() for node in nodes))
    for prefix, node in enumerate(nodes):
        run.task(send_clients(run, node, prefix))
    await asyncio.sleep(2)
    if run.trouble:
        for node in nodes:
            node.config["settings"]["listeners"] = NEW
            node.write()
            node.signal(0, signal.SIGHUP)
    changed_at = run.record.now()
    await asyncio.sleep(BINDS_AFTER_S)
    run.hosts["s-0"].on_open = BadHost()
    for prefix, node in enumerate(nodes):
        answer = await Client(run.record, f"hold-{prefix}").open(
            node.port, open_line(request_id(prefix, 0xAD), "hold", 2000), 2.6
        )
        run.record.add(node.name, "new-class", answer=answer)
        figures = [line for line in await node.call(0, "telemetry") if "cfg_" in line]
        run.record.add(node.name, "figures", lines=figures)
    await asyncio.sleep(OBSERVED_S)
    sent = {
        event["line"].split(" ")[1] for event in run.record.select("sent")
        if "c=desk" in event["line"] and event["at"] > changed_at + JUDGED_AFTER_S
    }  # fmt: skip
    runs = Counter(event["id"] for event in run.record.select("run"))
    return [f"once-only session {name} ran {runs[name]} times" for name in sorted(sent) if runs[name] > 1]


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
