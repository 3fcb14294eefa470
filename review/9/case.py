"""Discovery is down for some seconds, and hosts begin to drain as it returns.

Lists are pushed. At the return a node may be waiting before its next call, for longer than the grace of a
drain, and meanwhile goes on sending to hosts that drain. Five outages a run.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import LISTENER, Client, Discovery, Node, Run, main, open_line, request_id

NODES, HOSTS, OUTAGES = 10, 28, 5
DRAINING = 4  # hosts that begin to drain at each return
OUTAGE_S = 8.0  # at least; then until two nodes have just given up a call
LONGEST_OUTAGE_S = 10.0
JUST_S = 0.04
WITHOUT_OUTAGE_S = 2.0
GRACE_S = 0.25 + 0.05  # `drainGrace` of the settings, and what the protocol page adds to each limit
READING_S = 0.03  # for the clock of this script
OBSERVED_S = 2.0
CLIENT_EVERY_S = 0.035  # at each node
LIMITS = {"mostDials": 5}
RULES = {"drainGrace": 0.25, "coldFrom": 0.31, "fall": 1.5, "fallMultiple": 3.0, "warmAfter": 8.9}


async def use(run: Run, node: Node, number: int, prefix: int) -> None:
    """One client: opens a connection and closes it soon."""
    name = request_id(number, prefix)
    client = Client(run.record, name)
    answer = await client.open(node.port, open_line(name, wait_ms=2000), 2.6)
    if answer is not None and answer.startswith("UP "):
        await asyncio.sleep(0.2)
    client.close()


async def send_clients(run: Run, node: Node, prefix: int) -> None:
    number = 0
    while True:
        number += 1
        run.task(use(run, node, number, prefix))
        await asyncio.sleep(CLIENT_EVERY_S)


async def outage(run: Run, discovery: Discovery) -> None:
    discovery.begin_outage()
    began = run.record.now()
    while run.record.now() < began + LONGEST_OUTAGE_S:
        await asyncio.sleep(0.005)
        now = run.record.now()
        if now > began + OUTAGE_S and sum(at > now - JUST_S for at in discovery.given_up_at) > 1:
            break
    discovery.end_outage()


async def play(run: Run) -> list[str]:
    discovery = await run.discovery()
    await run.add_hosts(discovery, HOSTS)
    nodes = [
        run.node(
            f"n{i}", discovery, fleetSize=NODES, me=i, limits=LIMITS, invariants=RULES,
            listeners=[LISTENER],
        )
        for i in range(NODES)
    ]  # fmt: skip
    for first in range(0, NODES, 5):
        await asyncio.gather(*(node.start() for node in nodes[first : first + 5]))
    for prefix, node in enumerate(nodes):
        run.task(send_clients(run, node, prefix))
    await asyncio.sleep(3)
    told_at: dict[str, float] = {}
    for _ in range(OUTAGES):
        if run.trouble:
            await outage(run, discovery)
        else:
            await asyncio.sleep(WITHOUT_OUTAGE_S)
        for host in [host for host in run.hosts.values() if not host.draining][:DRAINING]:
            host.draining = True
            discovery.put(host.uid, host.port, "Terminating")
            told_at[host.uid] = run.record.now()
        await asyncio.sleep(OBSERVED_S)
    late = [
        event for event in run.record.select("request")
        if event["draining"] and event["at"] > told_at[event["who"]] + GRACE_S + READING_S
    ]  # fmt: skip
    return [
        f"{event['who']} got request {event['id']} of node n{int(event['id'][:4], 16)} "
        f"{event['at'] - told_at[event['who']]:.3f} s after it counted as told that the host drains"
        for event in late
    ]


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
