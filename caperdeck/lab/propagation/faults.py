"""The faults that a run can inject, each with the changes that are published meanwhile."""

from __future__ import annotations

import asyncio
import shutil
import time
from pathlib import Path

from caperdeck.distribution.publisher_selection import publishers_by_preference
from caperdeck.lifecycle.merge import PLACEHOLDER_CONFIG
from caperdeck.owner.process import boottime_ms

from .measured import PROPAGATION_BOUND_S, CutObservation, RefusalObservation, PublishedChange
from .plan import NORTH, SOUTH, refusing_names
from .run import Fault, PropagationRun, NodesChild

STOP_DURATION_S = 10.0
SETTLE_S = 3.0  # from the end of a fault to the next one
CUT_DURATION_S = 60.0
STALE_VISIBLE_AFTER_S = 13.0  # time after which nodes are stale and their earlier reports have expired
CHANGES_IN_CUT = 2
CROWD_SHARE = 0.7  # share of the processes of nodes that are restarted at once
REFUSAL_REASON_PREFIX = "settings.listeners: "
LISTENER = PLACEHOLDER_CONFIG["settings"]["listeners"][0]
LISTENERS = [LISTENER, LISTENER | {"name": "second"}]


# ---- faults of one instance


async def leader(run: PropagationRun) -> None:
    """Kills the leader as soon as a commit is answered, and publishes another change afterwards."""
    leader_id = await run.instances.leader()
    run.faulty_instances.add(leader_id)
    run.report_progress(
        f"fault: o{leader_id}, the leader, which {preferring(run, leader_id)} nodes prefer, killed"
    )
    await run.change("leader killed", lambda: run.instances.kill(leader_id))
    await run.change("leader gone")
    await restart_instance(run, leader_id)


async def kill(run: PropagationRun) -> None:
    """Kills a follower with all its watches, and publishes a change immediately."""
    instance = await follower(run)
    run.report_progress(
        f"fault: o{instance}, which {preferring(run, instance)} nodes prefer, killed beside a change"
    )
    await run.instances.kill(instance)
    await run.change("instance killed")
    await restart_instance(run, instance)


async def stop(run: PropagationRun) -> None:
    """Stops a follower with all its watches, and publishes a change as it stops and one as it continues."""
    instance = await follower(run)
    run.report_progress(
        f"fault: o{instance}, which {preferring(run, instance)} nodes prefer, stopped {STOP_DURATION_S:g} s"
    )
    until = time.monotonic() + STOP_DURATION_S
    run.instances.stop(instance)
    await run.change("instance stopped")
    await sleep_until(until)
    run.instances.wake(instance)
    await run.change("instance woken")
    await asyncio.sleep(SETTLE_S)


async def follower(run: PropagationRun) -> int:
    """Chooses the follower with the highest number that had no fault before.

    The operators' command asks the instance with the lowest number first. The nodes of an instance that had a
    fault return to it only after a minute or two.
    """
    excluded = run.faulty_instances | {await run.instances.leader()}
    chosen = max(i for i in range(run.settings.instances) if i not in excluded)
    run.faulty_instances.add(chosen)
    return chosen


def preferring(run: PropagationRun, instance: int) -> int:
    """Number of nodes that prefer this instance over the others."""
    places, name = run.instances.places, f"o{instance}"
    return sum(publishers_by_preference(node, places)[0].name == name for node in run.places)


async def restart_instance(run: PropagationRun, i: int) -> None:
    await run.instances.start(i)
    await asyncio.sleep(SETTLE_S)


async def sleep_until(end: float) -> None:
    await asyncio.sleep(max(end - time.monotonic(), 0.0))


# ---- faults of a region


async def region_cut(run: PropagationRun) -> None:
    """Cuts the regions off from each other, with the leader in the smaller one, and publishes changes."""
    majority_nodes, cut_off_nodes = run.names_in(NORTH), run.names_in(SOUTH)
    leader_id = next(i for i, place in enumerate(run.instances.places) if place.region == SOUTH)
    await run.instances.transfer_leadership(leader_id)
    run.report_progress(
        f"fault: {len(cut_off_nodes)} nodes and o{leader_id}, the leader, cut off for {CUT_DURATION_S:g} s"
    )
    started_at = time.monotonic()
    await run.relay.cut(True)
    await run.change("region cut", node_names=majority_nodes)
    await sleep_until(started_at + STALE_VISIBLE_AFTER_S)
    for _ in range(CHANGES_IN_CUT):
        await run.change("region cut", node_names=majority_nodes)
        await observe_cut(run, majority_nodes, cut_off_nodes)
    await run.change("region cut", node_names=majority_nodes)
    await sleep_until(started_at + CUT_DURATION_S)
    healed_at, newest = boottime_ms(), run.measured.published_changes[-1].published
    run.report_progress(f"healed after {time.monotonic() - started_at:.1f} s")
    await run.relay.cut(False)
    run.measured.published_changes.append(PublishedChange("region healed", newest, cut_off_nodes, healed_at))
    await run.settle(newest, run.measured.node_names)
    await run.change("after the heal")
    await asyncio.sleep(SETTLE_S)


async def observe_cut(run: PropagationRun, majority_nodes: list[str], cut_off_nodes: list[str]) -> None:
    """Records what nodes and the status in each region report during a cut."""
    uncurrent, stale = run.uncurrent(), run.stale()
    majority_status, cut_off_status = await asyncio.gather(
        run.read_status(majority_nodes), run.read_status(region=SOUTH)
    )
    run.measured.cut_observations.append(
        CutObservation(majority_nodes, cut_off_nodes, majority_status, cut_off_status, uncurrent, stale)
    )


# ---- faults of nodes


async def crowd(run: PropagationRun) -> None:
    """Restarts 70% of the nodes at once during a change, then again with empty folders."""
    chosen = run.children[: max(round(CROWD_SHARE * len(run.children)), 1)]
    names = [name for child in chosen for name in child.node_names]
    run.report_progress(f"fault: {len(names)} nodes in {len(chosen)} processes killed and back, twice")
    await restart_nodes(chosen)
    await run.change("crowd killed")
    await asyncio.sleep(SETTLE_S)
    await restart_nodes(chosen, empty=True)
    run.measured.emptied_nodes += names
    await run.change("crowd replaced")
    await asyncio.sleep(SETTLE_S)


async def restart_nodes(children: list[NodesChild], empty: bool = False) -> None:
    """Restarts processes of nodes at once; `empty` removes the files of the nodes, as on a new machine."""
    await asyncio.gather(*(child.kill() for child in children))
    for node in (node for child in children for node in child.plan.nodes if empty):
        shutil.rmtree(node.folder)
        Path(node.folder).mkdir()
    await asyncio.gather(*(child.start() for child in children))


async def refuse(run: PropagationRun) -> None:
    """Publishes a version that half of the nodes cannot serve, and then one that all can serve."""
    refusing = refusing_names(run.places)
    others = [name for name in run.measured.node_names if name not in refusing]
    run.report_progress(f"fault: a version that {len(refusing)} nodes cannot serve")
    published = await run.publish("half refuse", others, listeners=LISTENERS)

    def all_refused() -> bool:
        return {row.node for row in run.refused() if row.revision == published.revision} >= refusing

    await run.wait_until(all_refused, PROPAGATION_BOUND_S)
    status = await run.settle(published, others)
    run.measured.refusal_observations.append(
        RefusalObservation(published.revision, sorted(refusing), REFUSAL_REASON_PREFIX, status)
    )  # fmt: skip
    await run.change("after the refusal")


FAULTS: dict[str, Fault] = {
    "leader": leader, "kill": kill, "stop": stop, "region-cut": region_cut, "crowd": crowd, "refuse": refuse,
}  # fmt: skip
INSTANCE_FAULTS = ("leader", "kill", "stop")  # each needs a different instance
