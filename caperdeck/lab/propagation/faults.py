"""The faults of a run: what is done beside its changes."""

from __future__ import annotations

import asyncio
import shutil
import time
from pathlib import Path

from caperdeck.distribution.publisher_selection import publishers_by_preference
from caperdeck.lifecycle.merge import PLACEHOLDER_CONFIG
from caperdeck.owner.process import boottime_ms

from .measured import WITHIN, CutLook, RefusalLook, Step
from .plan import NORTH, SOUTH, refusing_names
from .run import Fault, InForceRun, NodesChild

STOPPED = 10.0  # seconds that an instance is stopped
SETTLE = 3.0  # seconds from an instance's start or waking to the next fault
CUT = 60.0  # seconds that the regions are cut off from each other
SEEN_BY = (
    13.0  # seconds of a cut after which nodes are stale, and their words of before do not count any more
)
LOOKS_IN_CUT = 2
CROWD = 0.7  # of the processes of nodes
REFUSED_FOR = "settings.listeners: "  # how the reason of a refusal begins
LISTENER = PLACEHOLDER_CONFIG["settings"]["listeners"][0]
LISTENERS = [LISTENER, LISTENER | {"name": "second"}]


# ---- of one instance


async def leader(run: InForceRun) -> None:
    """The leader is killed as soon as a commit is answered; and the change after it."""
    leads = await run.instances.leader()
    run.faulty.add(leads)
    run.tell(f"fault: o{leads}, the leader, which {preferring(run, leads)} nodes prefer, killed")
    await run.change("leader killed", lambda: run.instances.kill(leads))
    await run.change("leader gone")
    await start_again(run, leads)


async def kill(run: InForceRun) -> None:
    """Another instance is killed with all its watches, and a change published at once."""
    other = await follower(run)
    run.tell(f"fault: o{other}, which {preferring(run, other)} nodes prefer, killed beside a change")
    await run.instances.kill(other)
    await run.change("instance killed")
    await start_again(run, other)


async def stop(run: InForceRun) -> None:
    """Another instance is stopped with all its watches; a change as it stops, and one as it wakes."""
    other = await follower(run)
    run.tell(f"fault: o{other}, which {preferring(run, other)} nodes prefer, stopped {STOPPED:g} s")
    until = time.monotonic() + STOPPED
    run.instances.stop(other)
    await run.change("instance stopped")
    await sleep_until(until)
    run.instances.wake(other)
    await run.change("instance woken")
    await asyncio.sleep(SETTLE)


async def follower(run: InForceRun) -> int:
    """One that does not lead, the highest: the operators' command asks the lowest first.

    None that was faulty before: its nodes come back to it only after a minute or two.
    """
    out = run.faulty | {await run.instances.leader()}
    chosen = max(i for i in range(run.settings.instances) if i not in out)
    run.faulty.add(chosen)
    return chosen


def preferring(run: InForceRun, instance: int) -> int:
    places, name = run.instances.places, f"o{instance}"
    return sum(publishers_by_preference(node, places)[0].name == name for node in run.places)


async def start_again(run: InForceRun, i: int) -> None:
    await run.instances.start(i)
    await asyncio.sleep(SETTLE)


async def sleep_until(end: float) -> None:
    await asyncio.sleep(max(end - time.monotonic(), 0.0))


# ---- of a region


async def region_cut(run: InForceRun) -> None:
    """The regions are cut off from each other, the leader in the smaller one; changes all the while."""
    rest, cut_off = run.names_in(NORTH), run.names_in(SOUTH)
    leads = next(i for i, place in enumerate(run.instances.places) if place.region == SOUTH)
    await run.instances.lead_from(leads)
    run.tell(f"fault: {len(cut_off)} nodes and o{leads}, the leader, cut off for {CUT:g} s")
    began = time.monotonic()
    await run.relay.cut(True)
    await run.change("region cut", names=rest)
    await sleep_until(began + SEEN_BY)
    for _ in range(LOOKS_IN_CUT):
        await run.change("region cut", names=rest)
        await look_in_cut(run, rest, cut_off)
    await run.change("region cut", names=rest)
    await sleep_until(began + CUT)
    healed, newest = boottime_ms(), run.measured.steps[-1].published
    run.tell(f"healed after {time.monotonic() - began:.1f} s")
    await run.relay.cut(False)
    run.measured.steps.append(Step("region healed", newest, cut_off, healed))
    await run.settle(newest, run.measured.names)
    await run.change("after the heal")
    await asyncio.sleep(SETTLE)


async def look_in_cut(run: InForceRun, rest: list[str], cut_off: list[str]) -> None:
    uncurrent, stale = run.uncurrent(), run.stale()
    by_rest, by_cut_off = await asyncio.gather(run.look(rest), run.look(region=SOUTH))
    run.measured.cut_looks.append(CutLook(rest, cut_off, by_rest, by_cut_off, uncurrent, stale))


# ---- of nodes


async def crowd(run: InForceRun) -> None:
    """Seven in ten nodes are killed and back at once beside a change; then the same with nothing on disk."""
    chosen = run.children[: max(round(CROWD * len(run.children)), 1)]
    names = [name for child in chosen for name in child.names]
    run.tell(f"fault: {len(names)} nodes in {len(chosen)} processes killed and back, twice")
    await restart(chosen)
    await run.change("crowd killed")
    await asyncio.sleep(SETTLE)
    await restart(chosen, empty=True)
    run.measured.emptied += names
    await run.change("crowd replaced")
    await asyncio.sleep(SETTLE)


async def restart(children: list[NodesChild], empty: bool = False) -> None:
    """All at once. `empty`: with nothing in their folders, as on a new machine."""
    await asyncio.gather(*(child.kill() for child in children))
    for node in (node for child in children for node in child.plan.nodes if empty):
        shutil.rmtree(node.folder)
        Path(node.folder).mkdir()
    await asyncio.gather(*(child.start() for child in children))


async def refuse(run: InForceRun) -> None:
    """A version that half of the nodes cannot serve; and the next one, which all can."""
    refusing = refusing_names(run.places)
    others = [name for name in run.measured.names if name not in refusing]
    run.tell(f"fault: a version that {len(refusing)} nodes cannot serve")
    published = await run.publish("half refuse", others, listeners=LISTENERS)

    def told() -> bool:
        return {row.node for row in run.refused() if row.revision == published.revision} >= refusing

    await run.until(told, WITHIN)
    said = await run.settle(published, others)
    run.measured.refusal_looks.append(
        RefusalLook(published.revision, sorted(refusing), REFUSED_FOR, said)
    )  # fmt: skip
    await run.change("after the refusal")


FAULTS: dict[str, Fault] = {
    "leader": leader, "kill": kill, "stop": stop, "region-cut": region_cut, "crowd": crowd, "refuse": refuse,
}  # fmt: skip
OF_INSTANCES = ("leader", "kill", "stop")  # each takes one of its own
