"""A new configuration adds a class that does without a key which the settings page lets be absent."""

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

BINDS_AFTER_S = 4.0  # after SIGHUP; the page allows 1.2 s for settings and 4 s for discovery
BAD_SHARE, BAD_FOR_S = 0.5, 15.0  # of one host's sessions that fail, and for how long
CLASS, ADDED = "desk", "kiosk"
RATE, LIFE = 20.0, (4.0, 12.0)


def retuned(config: dict[str, Any], with_key: bool) -> dict[str, Any]:
    """The configuration with another class, and with the other effect of one that it had."""
    new = copy.deepcopy(config)
    rows = new["settings"]["listeners"]
    added = copy.deepcopy(rows[0]) | {"name": ADDED}
    if not with_key:
        del added["aimStretch"]
    next(row for row in rows if row["name"] == CLASS)["effect"] = "at_most_once"
    rows.append(added)
    new["settings"]["specifics"]["messageAim"].append(0.1)
    return new


async def play(record: Record, platform: Platform, trouble: bool) -> bool:
    fleet = Fleet(record, platform, nodes=3, hosts=8, grace=1.0, seed=3)
    await fleet.open()
    for config in fleet.configs.values():
        for row in config["settings"]["listeners"]:
            row["aimStretch"] = 0.5
    fleet.do(keep_alive(list(fleet.agents.values())))
    await fleet.start_nodes()
    fleet.do(fleet.clients.arrive(RATE, LIFE))
    await asyncio.sleep(3.0)
    pushed: dict[str, float] = {}
    for name in fleet.names:
        platform.write_config(name, retuned(fleet.configs[name], with_key=not trouble))
        platform.signal(fleet.processes[name], signal.SIGHUP)
        pushed[name] = record.now()
    await asyncio.sleep(1.2)
    fleet.clients.classes[ADDED] = 1.2  # clients name the new class from now on
    await asyncio.sleep(BINDS_AFTER_S - 1.2)
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
    added = [session_id for session_id, (name, _) in fleet.clients.opened.items() if name == ADDED]
    served = sum(any(text.startswith("UP ") for text in fleet.clients.answers[i]) for i in added)
    record.tell(f"{len(added)} sessions of the class that was added, {served} of them were served")
    return fleet.ran_once(CLASS, {name: at + BINDS_AFTER_S for name, at in pushed.items()})


if __name__ == "__main__":
    main(str(FOLDER), play)
