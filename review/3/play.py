"""A node that was killed comes back while discovery is down; hosts began to drain before the outage."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet  # noqa: E402
from standin import CannotRunError, Platform, Record, keep_alive, main  # noqa: E402

NODE = "n0"
DOWN_S = 8.0  # discovery is down for so long
FRONT_AFTER_S = 1.0  # until the front, which asks now and then, finds that the node is ready again
RATE, LIFE = 24.0, (3.0, 8.0)


async def play(record: Record, platform: Platform, trouble: bool) -> bool:
    fleet = Fleet(record, platform, nodes=3, hosts=8, grace=1.0, seed=2)
    await fleet.open()
    fleet.do(keep_alive(list(fleet.agents.values())))
    await fleet.start_nodes()
    fleet.do(fleet.clients.arrive(RATE, LIFE))
    await asyncio.sleep(4.0)

    address = fleet.clients.addresses.pop(NODE)  # the front has noticed
    platform.signal(fleet.processes[NODE], signal.SIGKILL)
    fleet.processes[NODE].wait()
    fleet.configs[NODE]["known"] = fleet.agents[NODE].whole_list()  # as the node last had it
    await asyncio.sleep(0.5)

    drained = fleet.hosts[:4]
    changes = {host.uid: "Terminating" for host in drained}
    told = {name: dict.fromkeys(changes, record.now()) for name in fleet.names}
    for agent in fleet.agents.values():
        agent.learn(**changes)
    record.tell(f"at {record.now():.2f} s four of eight hosts begin to drain, and every agent has it")
    for host in drained:
        fleet.do(host.drain(6.0))
    await asyncio.sleep(1.0)

    if trouble:
        record.tell(f"at {record.now():.2f} s discovery goes down for {DOWN_S} s")
        for agent in fleet.agents.values():
            agent.go_silent()
    await asyncio.sleep(0.5)

    # What the agent has counts as told from the first moment of the new process.
    told[NODE] = dict.fromkeys(changes, record.now())
    fleet.processes[NODE] = platform.start(fleet.configs[NODE], f"{NODE}-again", f"tmp-{NODE}-again")
    await platform.ready(fleet.processes[NODE], fleet.configs[NODE], within=10.0)
    await asyncio.sleep(FRONT_AFTER_S)
    fleet.clients.addresses[NODE] = address
    record.add(f"the front takes {NODE} in")
    await asyncio.sleep(DOWN_S - 1.5 - FRONT_AFTER_S)
    if trouble:
        record.tell(f"at {record.now():.2f} s discovery is back")
        for agent in fleet.agents.values():
            agent.come_back()
    await asyncio.sleep(3.0)
    until = record.now()
    fleet.clients.coming = False
    if any(process.poll() is not None for process in fleet.processes.values()):
        raise CannotRunError("a node has ended")
    record.tell(f"the longest lag of the stand-ins: {fleet.lag.longest * 1000:.0f} ms")
    late = fleet.late_sends(told, until)
    for after, node, uid, session_id in sorted(late):
        record.add(f"SENT LATE: {session_id} by {node} to {uid}, {after:.3f} s after the node was told")
    for name in fleet.names:
        mine = [row[0] for row in late if row[1] == name]
        record.tell(
            f"{name}: {len(mine)} requests sent to draining hosts after the grace"
            + (f", the last {max(mine):.2f} s after it was told" if mine else "")
        )
    return not late


if __name__ == "__main__":
    main(str(FOLDER), play)
