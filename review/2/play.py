"""A new configuration comes while the process that takes a node over is still starting."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet  # noqa: E402
from standin import CannotRunError, Platform, Record, ask, free_port, keep_alive, main  # noqa: E402

# From the start of a new process to the new configuration, for each node. The new process reads its file 0.1
# to 0.2 s after its start and is linked to the old one after 0.4 to 0.5 s, later on a slower machine.
PUSH_AFTER_S = {"n0": 0.2, "n1": 0.3, "n2": 0.45}
BINDS_AFTER_S = 4.0  # after SIGHUP; the page allows 1.2 s for settings and 4 s for discovery
BAD_SHARE, BAD_FOR_S = 0.5, 15.0  # of one host's sessions that fail, and for how long
CLASS = "desk"  # its effect is at_most_once in the new configuration, idempotent before
RATE, LIFE = 20.0, (4.0, 12.0)


def retuned(config: dict[str, Any]) -> dict[str, Any]:
    """The configuration with the other effect of one class."""
    new = copy.deepcopy(config)
    next(row for row in new["settings"]["listeners"] if row["name"] == CLASS)["effect"] = "at_most_once"
    return new


async def upgrade(fleet: Fleet, name: str, push: bool) -> float:
    """Starts the new process of a node beside the old one, and ends the old one after its yes.

    With `push` a new configuration comes meanwhile. Returns when the old process got SIGHUP.
    """
    platform, old, pushed_at = fleet.platform, fleet.processes[name], 0.0
    config = fleet.configs[name] | {"admin_addr": f"127.0.0.1:{free_port()}"}
    new = platform.start(config, f"{name}-new", f"tmp-{name}")
    if push:
        await asyncio.sleep(PUSH_AFTER_S[name])
        for label, values in ((name, fleet.configs[name]), (f"{name}-new", config)):
            platform.write_config(label, retuned(values))
        # The new process is in its first second and not ready, so it gets no SIGHUP.
        platform.signal(old, signal.SIGHUP)
        pushed_at, config = fleet.record.now(), retuned(config)
    await platform.ready(new, config, within=6.0)
    if old.poll() is None:
        platform.signal(old, signal.SIGTERM)
    if not await platform.ended(old, within=3.7):
        raise CannotRunError("the old process did not end")
    fleet.processes[name], fleet.configs[name] = new, config
    return pushed_at


async def push(fleet: Fleet, name: str) -> float:
    """A new configuration for a node of one process; returns when it got SIGHUP."""
    fleet.configs[name] = retuned(fleet.configs[name])
    fleet.platform.write_config(f"{name}-new", fleet.configs[name])
    fleet.platform.signal(fleet.processes[name], signal.SIGHUP)
    return fleet.record.now()


async def play(record: Record, platform: Platform, trouble: bool) -> bool:
    fleet = Fleet(record, platform, nodes=3, hosts=8, grace=1.0, seed=1)
    await fleet.open()
    fleet.do(keep_alive(list(fleet.agents.values())))
    await fleet.start_nodes()
    fleet.do(fleet.clients.arrive(RATE, LIFE))
    await asyncio.sleep(3.0)
    pushed: dict[str, float] = {}
    for name in fleet.names:
        pushed[name] = await upgrade(fleet, name, push=trouble)
        await asyncio.sleep(0.5)
    if not trouble:
        await asyncio.sleep(1.0)
        pushed = {name: await push(fleet, name) for name in fleet.names}
    await asyncio.sleep(BINDS_AFTER_S)
    record.tell(f"at {record.now():.2f} s one of eight hosts begins to fail {BAD_SHARE:.0%} of its sessions")
    fleet.hosts[0].failing = BAD_SHARE
    await asyncio.sleep(BAD_FOR_S)
    fleet.clients.coming = False
    await asyncio.sleep(2.5)
    if any(process.poll() is not None for process in fleet.processes.values()):
        raise CannotRunError("a node has ended")
    for name, config in fleet.configs.items():
        record.tell(f"{name}: {await ask(config['admin_addr'], 'telemetry', 'app_cfg_accepted')}")
    return fleet.ran_once(CLASS, {name: at + BINDS_AFTER_S for name, at in pushed.items()})


if __name__ == "__main__":
    main(str(FOLDER), play)
