"""An operator takes a host out while the connections of a node go to its new process, which is held up."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from subprocess import Popen

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet  # noqa: E402
from standin import CannotRunError, Platform, Record, ask, free_port, keep_alive, main  # noqa: E402

OPEN_AT_FIRST, FILL_S = 1400, 12.0  # connections, which last to the end of the case
RATE, LIFE = 15.0, (5.0, 30.0)  # of the clients that come after that
# From the new process's yes to its hold-up, a time for each round of upgrades: the connections go over in the
# 0.15 to 0.25 s after the yes.
HELD_UP_AFTER_S = (0.07, 0.1, 0.13, 0.16, 0.1, 0.13, 0.08, 0.19)
HELD_UP_S, HELD_UP_AT_MOST_S = 0.12, 0.15
CALL_AFTER_S = 0.008  # from the beginning of the hold-up to the call
OUT = "h0"


async def upgrade(fleet: Fleet, name: str, label: str, held_up_after: float, trouble: bool) -> float:
    """Starts the new process of a node beside the old one, and ends the old one after its yes.

    Returns for how long the new process was held up.
    """
    platform, old, old_address = fleet.platform, fleet.processes[name], fleet.configs[name]["admin_addr"]
    config = fleet.configs[name] | {"admin_addr": f"127.0.0.1:{free_port()}"}
    new, held_up_for = platform.start(config, label, f"tmp-{name}"), 0.0
    await platform.ready(new, config, within=6.0)
    if old.poll() is None:
        platform.signal(old, signal.SIGTERM)
    if trouble:
        await asyncio.sleep(held_up_after)
        call = asyncio.ensure_future(take_out_while(fleet, old_address))
        held_up_for = await asyncio.to_thread(hold_up, platform, new)
        await call
    if not await platform.ended(old, within=3.7):
        raise CannotRunError("the old process did not end")
    fleet.record.add(f"{label}: the old process has ended")
    fleet.processes[name], fleet.configs[name] = new, config
    await asyncio.sleep(0.3)
    if trouble:
        fleet.record.add(f"include {OUT} at {label}: {await ask(config['admin_addr'], f'include {OUT}')}")
    return held_up_for


def hold_up(platform: Platform, process: Popen) -> float:
    """Holds the process up; in a thread, so that a lag of the stand-ins does not lengthen it."""
    began = time.monotonic()
    platform.signal(process, signal.SIGSTOP)
    time.sleep(HELD_UP_S)
    process.send_signal(signal.SIGCONT)
    span = time.monotonic() - began
    platform.record.add(f"pid={process.pid} was held up for {span:.3f} s")
    return span


async def take_out_while(fleet: Fleet, address: str) -> None:
    """The operator's call, to the address at which the node has answered so far."""
    await asyncio.sleep(CALL_AFTER_S)
    began = fleet.record.now()
    answer = await ask(address, f"exclude {OUT}")
    fleet.record.add(f"exclude {OUT}, called at {began:.3f}, answered {answer!r}")


async def play(record: Record, platform: Platform, trouble: bool) -> bool:
    fleet = Fleet(record, platform, nodes=3, hosts=12, grace=1.0, seed=4)
    await fleet.open()
    fleet.do(keep_alive(list(fleet.agents.values())))
    await fleet.start_nodes()
    clients = fleet.clients
    for _ in range(OPEN_AT_FIRST):
        clients.start(clients.client((100.0, 110.0)))
        await asyncio.sleep(FILL_S / OPEN_AT_FIRST)
    fleet.do(clients.arrive(RATE, LIFE))
    await asyncio.sleep(1.0)
    record.tell(f"{sum(len(host.sessions) for host in fleet.hosts)} sessions are open at three nodes")
    for number, after in enumerate(HELD_UP_AFTER_S):
        began, cut = record.now(), len(clients.cut_off)
        work = (upgrade(fleet, name, f"{name}-{number}", after, trouble) for name in fleet.names)
        held_up_for = max(await asyncio.gather(*work))
        await asyncio.sleep(2.3)  # by now each client has sent a line
        lost = len(clients.cut_off) - cut
        record.tell(f"upgrades at {began:.1f} s: {lost} connections that their hosts served were cut off")
        if held_up_for > HELD_UP_AT_MOST_S:
            record.tell(f"  not counted: a process was held up for {held_up_for:.3f} s")
            del clients.cut_off[cut:]
    clients.coming = False
    if any(process.poll() is not None for process in fleet.processes.values()):
        raise CannotRunError("a node has ended")
    record.tell(f"in all {len(clients.cut_off)} without MOVE; no host has ended a session")
    return not clients.cut_off


if __name__ == "__main__":
    main(str(FOLDER), play)
