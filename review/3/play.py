"""A configuration comes that is short of a key: the group of a referenced class."""

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
from standin import CannotRunError, Platform, Record, ask, keep_alive, main  # noqa: E402

BINDS_AFTER_S = 4.0  # after SIGHUP; nothing is judged before
BAD_SHARE, BAD_FOR_S = 0.5, 15.0  # of one host's sessions that fail, and for how long
CLASS = "hold"  # referenced; the hosts of one zone drop its repeats
CLASSES = {"browse": ("idempotent", 0.5, 2.0), CLASS: ("deduplicated", 0.3, 1.2)}
RATE, LIFE = 40.0, (4.0, 12.0)


def row_of(config: dict[str, Any], name: str) -> dict[str, Any]:
    return next(row for row in config["settings"]["listeners"] if row["name"] == name)


def short_of_a_key(config: dict[str, Any]) -> dict[str, Any]:
    broken = copy.deepcopy(config)
    del row_of(broken, CLASS)["group"]
    return broken


async def play(record: Record, platform: Platform, trouble: bool) -> bool:
    fleet = Fleet(record, platform, nodes=3, hosts=8, grace=1.0, seed=3, classes=CLASSES)
    await fleet.open()
    for config in fleet.configs.values():
        config["settings"]["prices"]["crossZone"] = 0.0
        row_of(config, CLASS)["group"] = "zone"
        # Both keys are for referenced classes.
        del row_of(config, "browse")["group"], row_of(config, "browse")["memorySpan"]
    fleet.do(keep_alive(list(fleet.agents.values())))
    await fleet.start_nodes()
    fleet.do(fleet.clients.arrive(RATE, LIFE))
    await asyncio.sleep(3.0)
    pushed = dict.fromkeys(fleet.names, record.now())
    if trouble:
        for name in fleet.names:
            platform.write_config(name, short_of_a_key(fleet.configs[name]))
            platform.signal(fleet.processes[name], signal.SIGHUP)
    await asyncio.sleep(BINDS_AFTER_S)
    record.tell(f"at {record.now():.2f} s one of eight hosts begins to fail {BAD_SHARE:.0%} of its sessions")
    fleet.hosts[0].failing = BAD_SHARE
    await asyncio.sleep(BAD_FOR_S)
    fleet.clients.coming = False
    await asyncio.sleep(2.5)
    if any(process.poll() is not None for process in fleet.processes.values()):
        raise CannotRunError("a node has ended")
    for name, config in fleet.configs.items():
        counts = [await ask(config["admin_addr"], "telemetry", f"app_cfg_{kind}") for kind in ("acc", "inv")]
        record.tell(f"{name}: {', '.join(counts)}")
    return check(fleet, {name: at + BINDS_AFTER_S for name, at in pushed.items()})


def check(fleet: Fleet, since: dict[str, float]) -> bool:
    """Whether no session of the class took effect in two zones; within one, the hosts drop the repeat."""
    clients, zones = fleet.clients, {}
    for host in fleet.hosts:
        for at, session_id in host.ran:
            zones.setdefault(session_id, {}).setdefault(host.zone, f"{host.uid} in {host.zone} at {at:.3f}")
    bound = [
        session_id for session_id, (name, at) in clients.opened.items()
        if name == CLASS and at >= since[clients.node_of[session_id]]
    ]  # fmt: skip
    if not bound:
        raise CannotRunError("no session of the class was opened")
    twice = [session_id for session_id in bound if len(zones.get(session_id, ())) > 1]
    for session_id in twice:
        fleet.record.add(f"RAN TWICE: {session_id}: {', '.join(zones[session_id].values())}")
    fleet.record.tell(f"{len(bound)} sessions of the referenced class, {len(twice)} took effect in two zones")
    return not twice


if __name__ == "__main__":
    main(str(FOLDER), play)
