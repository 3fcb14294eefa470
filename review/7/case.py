"""Watches fall silent while discovery turns calls away: nodes go on sending to hosts that drain.

Twelve nodes ask discovery for the list. All open watches fall silent, a quarter of the hosts begin to drain
right after, and discovery turns calls away for some seconds. Then it answers every call at once.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import LISTENER, Client, Host, Node, Run, main, open_line, request_id

NODES, HOSTS = 12, 12
TURNED_AWAY_S = 5.0  # how long discovery is crowded, from the moment at which the watches fall silent
DRAIN_AFTER_S = 0.3  # the hosts begin to drain so long after that
TOLD_AFTER_SILENCE_S = 6.0
GRACE_S = 1.0 + 0.05  # `drainGrace` of the settings, and what the protocol page adds to each limit
READING_S = 0.25  # for a node that is held up for 0.15 s, and for the clock of this script
OBSERVED_S = 14.0
CLIENT_EVERY_S = 0.1  # at each node
LIMITS = {"mostDials": 6, "maxRetryAfter": 2.0}
RULES = {"drainGrace": 1.0, "fall": 3.0, "fallMultiple": 4.0, "warmAfter": 8.9, "askEvery": 10.0}
LISTENERS = [LISTENER | {"hardLimit": 3.0}]


async def use(run: Run, node: Node, number: int, prefix: int) -> None:
    """One client: opens a connection, keeps it for a while and closes it."""
    name = request_id(number, prefix)
    client = Client(run.record, name)
    answer = await client.open(node.port, open_line(name, wait_ms=3000), 3.6)
    if answer is not None and answer.startswith("UP "):
        await asyncio.sleep(0.8)
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
    nodes = [
        run.node(
            f"n{i}", discovery, fleetSize=NODES, me=i, discovery="subscribe", limits=LIMITS,
            invariants=RULES, listeners=LISTENERS,
        )
        for i in range(NODES)
    ]  # fmt: skip
    for first in range(0, NODES, 4):
        await asyncio.gather(*(node.start() for node in nodes[first : first + 4]))
    for prefix, node in enumerate(nodes):
        run.task(send_clients(run, node, prefix))
    await asyncio.sleep(4)
    silent_at = run.record.now()
    if run.trouble:
        discovery.silence_watches()
        discovery.refuse_for(TURNED_AWAY_S)
    await asyncio.sleep(DRAIN_AFTER_S)
    draining: list[Host] = list(run.hosts.values())[:: HOSTS // 3][:3]
    drained_at = run.record.now()
    for host in draining:
        host.draining = True
        discovery.put(host.uid, host.port, "Terminating")
    await asyncio.sleep(OBSERVED_S)
    # Without the disruption the change is told when discovery writes it, right after it has it.
    told_at = silent_at + TOLD_AFTER_SILENCE_S if run.trouble else drained_at
    limit = told_at + GRACE_S + READING_S
    run.record.add("case", "limit", silent_at=silent_at, told_at=told_at, limit=limit)
    late = [event for event in run.record.select("request") if event["draining"] and event["at"] > limit]
    return [
        f"{event['who']} got request {event['id']} of node n{int(event['id'][:4], 16)} "
        f"{event['at'] - told_at:.2f} s after it counted as told that the host drains"
        for event in late
    ]


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
