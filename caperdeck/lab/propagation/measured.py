"""The measurements of a run, and the check of its invariants."""

from __future__ import annotations

import math
from bisect import bisect_left
from itertools import pairwise

import msgspec
from msgspec import field

from caperdeck.distribution.publisher import MAX_CONNECTS_PER_SECOND, CONNECT_BURST, MAX_CONCURRENT_SNAPSHOTS
from caperdeck.lab.scale.heartbeat import LatenessStats

from .instances import PublishedVersion, WatchStats
from .plan import AppliedVersion, RefusedVersion

KIND = "caperdeck in force"
PROPAGATION_BOUND_S = 9.0  # from the commit of a version until every node has applied it
MAX_LATE_SHARE = 0.05  # if a process ran late for more of its time, the machine was too slow


class StatusObservation(msgspec.Struct):
    """The answer of `config status`; times are in ms of the shared clock."""

    asked: float
    answered: float
    confirmed: bool
    revision: int
    applied_nodes: list[str]
    expected_nodes: list[str] = []  # applied it long enough ago that their reports had time to arrive
    stale: list[str] = []
    not_heard: list[str] = []
    refused: list[RefusedVersion] = []


class CutObservation(msgspec.Struct):
    """What each region reported while they were cut off from each other, after nodes had time to notice.

    A status is None if no instance of the region answered.
    """

    majority_nodes: list[str]  # nodes of the larger region, which has the quorum
    cut_off_nodes: list[str]  # nodes of the smaller region
    majority_status: StatusObservation | None  # as operators of the larger region read it
    cut_off_status: StatusObservation | None
    uncurrent: list[str]  # nodes that did not report themselves as current
    stale: list[str]  # those of them that reported themselves as stale


class RefusalObservation(msgspec.Struct):
    """A version that some nodes cannot serve, and the status after the other nodes applied it."""

    revision: int
    refusing_nodes: list[str]  # nodes that have to refuse it
    reason_prefix: str  # with which the reported reason has to begin
    status: StatusObservation | None


class PublishedChange(msgspec.Struct):
    """A published version and the nodes that have to apply it."""

    phase: str
    published: PublishedVersion
    node_names: list[str] | None = None  # nodes that have to apply it; None for all
    since: float | None = None  # ms of the shared clock, if not counted from the request to commit

    @property
    def counted_from(self) -> float:
        """Start of the measured time, in ms of the shared clock."""
        return self.published.asked if self.since is None else self.since


class PropagationTimes(msgspec.Struct):
    """Seconds from the request to commit, or from the end of a cut, over the nodes and changes of a phase.

    `half` and `most` are the 50th and the 99th percentile.
    """

    phase: str
    changes: int
    half: float
    most: float
    last: float
    missing: int  # pairs of node and change that were not applied in time


class NodeCost(msgspec.Struct):
    """Mean cost of a node in one span; `bytes_s` counts payload in both directions."""

    span: str
    seconds: float
    core_share: float
    bytes_s: float
    memory_mb: float  # without what the process used before its nodes were made


class InstanceCost(msgspec.Struct):
    """Highest cost of any instance in one span."""

    span: str
    core_share: float
    memory_mb: float


class RunMeasurements(msgspec.Struct):
    """Everything that a run measured, from which `conclude` computes its result."""

    nodes: int
    instances: int
    processes: int
    document_bytes: int
    descriptors: int  # limit per process; an instance accepts 256 watches fewer, at most 2048
    start_s: float = 0.0  # from the start of the first process of nodes until all nodes are current
    seconds: float = 0.0
    node_names: list[str] = field(default_factory=list)
    published_changes: list[PublishedChange] = field(default_factory=list)
    applied_versions: list[AppliedVersion] = field(default_factory=list)
    status_observations: list[StatusObservation] = field(default_factory=list)
    node_costs: list[NodeCost] = field(default_factory=list)
    instance_costs: list[InstanceCost] = field(default_factory=list)
    initial_versions: list[AppliedVersion] = field(default_factory=list)  # with which nodes started
    emptied_nodes: list[str] = field(default_factory=list)  # nodes restarted with an empty folder
    cut_observations: list[CutObservation] = field(default_factory=list)
    refusal_observations: list[RefusalObservation] = field(default_factory=list)
    watches: list[WatchStats] = field(default_factory=list)  # at the end
    current_nodes: int = 0  # number of nodes that reported themselves as current at the end
    refused_versions: list[RefusedVersion] = field(default_factory=list)  # by the nodes that ran at the end
    dead_processes: list[str] = field(default_factory=list)  # processes that ended too early
    lateness: dict[str, LatenessStats] = field(default_factory=dict)  # by process


class Result(msgspec.Struct):
    """The result as written to the JSON file, without the times of each node."""

    nodes: int
    instances: int
    processes: int
    document_bytes: int
    descriptors: int
    start_s: float
    seconds: float
    times: list[PropagationTimes]
    node_costs: list[NodeCost]
    instance_costs: list[InstanceCost]
    looks: int
    broken: list[str]
    void: list[str]
    worst_beat_ms: float
    watches: list[WatchStats] = []
    kind: str = KIND

    @property
    def code(self) -> int:
        """Exit code of the command: 0 held, 1 broken, 3 void."""
        if self.void:
            return 3
        return 1 if self.broken else 0


class VersionHistories:
    """The versions that each node applied, and when.

    A node has a revision from the time at which it first applied that or a later one.
    """

    def __init__(self, names: list[str], applied_versions: list[AppliedVersion]) -> None:
        self.versions_by_node: dict[str, list[tuple[int, float]]] = {name: [] for name in names}
        for applied in applied_versions:
            self.versions_by_node[applied.node].append((applied.revision, applied.at))

    def regressions(self) -> list[str]:
        """Reports nodes that applied a revision which was not higher than the one before."""
        return [
            f"{name} went from revision {before} to {after}"
            for name, history in self.versions_by_node.items()
            for (before, _), (after, _) in pairwise(history) if after <= before
        ]  # fmt: skip

    def revision_before(self, name: str, at: float) -> int:
        """The highest revision that the node had applied before that time; 0 for none."""
        return max((revision for revision, since in self.versions_by_node[name] if since < at), default=0)

    def applied_at(self, name: str, revision: int) -> float:
        """When the node first applied that revision or a later one; infinity if it never did."""
        history = self.versions_by_node[name]
        i = bisect_left(history, (revision, -math.inf))
        return history[i][1] if i < len(history) else math.inf


def propagation_times(
    published_changes: list[PublishedChange], histories: VersionHistories
) -> list[PropagationTimes]:
    """The times of each phase; pairs that took longer than the bound are counted as missing."""
    rows = []
    for phase in dict.fromkeys(change.phase for change in published_changes):
        changes = [change for change in published_changes if change.phase == phase]
        spans = sorted(
            (histories.applied_at(name, change.published.revision) - change.counted_from) / 1000.0
            for change in changes
            for name in (histories.versions_by_node if change.node_names is None else change.node_names)
        )  # fmt: skip
        in_time = [span for span in spans if span <= PROPAGATION_BOUND_S]
        if in_time:
            half, most = (
                in_time[min(int(len(in_time) * quantile), len(in_time) - 1)] for quantile in (0.5, 0.99)
            )
            rows.append(
                PropagationTimes(phase, len(changes), half, most, in_time[-1], len(spans) - len(in_time))
            )
        else:
            rows.append(
                PropagationTimes(
                    phase,
                    len(changes),
                    PROPAGATION_BOUND_S,
                    PROPAGATION_BOUND_S,
                    PROPAGATION_BOUND_S,
                    len(spans),
                )
            )
    return rows


def status_violations(
    observation: StatusObservation, published_changes: list[PublishedChange], histories: VersionHistories
) -> list[str]:
    """Errors of a status about the applied version.

    It counted a node that had not applied the version, left out one that had applied it long ago, was not
    confirmed although nodes had the version, or confirmed an outdated version as the newest.
    """
    reported = set(observation.applied_nodes)
    newest = max(
        (
            change.published.revision
            for change in published_changes
            if change.published.answered <= observation.asked
        ),
        default=0,
    )
    errors = [
        f"status: revision {observation.revision} in force at {name}, which had not got it"
        for name in observation.applied_nodes
        if histories.applied_at(name, observation.revision) > observation.answered
    ]  # fmt: skip
    if missing := sorted(set(observation.expected_nodes) - reported):
        errors.append(
            f"status: revision {observation.revision} not told of at {len(missing)}, such as {missing[0]}"
        )
    if observation.expected_nodes and not observation.confirmed:
        errors.append(f"status: revision {observation.revision} not confirmed, though nodes had it for long")
    if observation.confirmed and observation.revision < newest:
        errors.append(
            f"status: revision {observation.revision} confirmed as the newest after {newest} was committed"
        )
    return errors


def restart_regressions(measured: RunMeasurements, histories: VersionHistories) -> list[str]:
    """Nodes that restarted with an older version than they had applied, although their folder was kept."""
    found = []
    for life in measured.initial_versions:
        before = histories.revision_before(life.node, life.at)
        emptied = life.revision == 0 and life.node in measured.emptied_nodes
        if life.revision < before and not emptied:
            found.append(f"{life.node} began anew with revision {life.revision} after {before}")
    return found


def cut_violations(observation: CutObservation) -> list[str]:
    """Wrong reports of nodes or of a status about a region that was cut off."""
    errors = [
        f"{name} cut off and not stale"
        for name in sorted(set(observation.cut_off_nodes) - set(observation.stale))
    ]
    errors += [
        f"{name} not current beside a region cut off"
        for name in observation.uncurrent
        if name in observation.majority_nodes
    ]
    if observation.majority_status is None or observation.cut_off_status is None:
        return [*errors, "status: no instance of a region answered while the other was cut off"]
    if sorted(observation.majority_status.not_heard) != sorted(observation.cut_off_nodes):
        errors.append(
            f"status: {len(observation.majority_status.not_heard)} not heard of, "
            f"{len(observation.cut_off_nodes)} were cut off"
        )
    if observation.cut_off_status.confirmed:
        errors.append(
            f"status: revision {observation.cut_off_status.revision} confirmed in the region cut off"
        )
    if missing := sorted(set(observation.cut_off_nodes) - set(observation.cut_off_status.stale)):
        errors.append(f"status: {len(missing)} cut off not told of as stale, such as {missing[0]}")
    return errors


def refusal_violations(observation: RefusalObservation, histories: VersionHistories) -> list[str]:
    """Nodes that applied a version they cannot serve, and wrong reports of a status about refusals."""
    errors = [
        f"{name} had revision {observation.revision} in force, which it cannot serve"
        for name in observation.refusing_nodes
        if any(revision == observation.revision for revision, _ in histories.versions_by_node[name])
    ]  # fmt: skip
    if observation.status is None:
        return [*errors, f"status: no instance answered after revision {observation.revision}"]
    reported = {row.node for row in observation.status.refused if row.revision == observation.revision}
    errors += [
        f"status: {name} not told of as refusing"
        for name in sorted(set(observation.refusing_nodes) - reported)
    ]
    errors += [
        f"status: {name} said to refuse" for name in sorted(reported - set(observation.refusing_nodes))
    ]
    errors += [
        f"status: {row.node} refused with {row.reason!r}"
        for row in observation.status.refused if not row.reason.startswith(observation.reason_prefix)
    ]  # fmt: skip
    return errors


def cut_leaks(published_changes: list[PublishedChange], histories: VersionHistories) -> list[str]:
    """Nodes that had a version before the cut ended, which shows that the cut was not effective."""
    return [
        f"{change.phase}: {name} had revision {change.published.revision} before"
        for change in published_changes if change.since is not None
        for name in change.node_names or ()
        if histories.applied_at(name, change.published.revision) < change.since
    ]  # fmt: skip


def watch_bound_violations(watches: list[WatchStats]) -> list[str]:
    """Instances that exceeded the limits on new connections or on concurrent snapshots."""
    most = int(CONNECT_BURST + MAX_CONNECTS_PER_SECOND)
    errors = [
        f"{row.instance} took {row.connects_in_a_second} connects within a second, over {most}"
        for row in watches if row.connects_in_a_second > most
    ]  # fmt: skip
    return errors + [
        f"{row.instance} sent {row.snapshots_at_once} snapshots at once, over {MAX_CONCURRENT_SNAPSHOTS}"
        for row in watches if row.snapshots_at_once > MAX_CONCURRENT_SNAPSHOTS
    ]  # fmt: skip


def unplanned_refusals(measured: RunMeasurements) -> list[RefusedVersion]:
    """Refusals by nodes that can serve the version."""
    planned = {
        (name, observation.revision)
        for observation in measured.refusal_observations
        for name in observation.refusing_nodes
    }
    return [row for row in measured.refused_versions if (row.node, row.revision) not in planned]


def conclude(measured: RunMeasurements) -> Result:
    """Checks the invariants of a run; a run on a machine that was too slow is void."""
    histories = VersionHistories(measured.node_names, measured.applied_versions)
    times = propagation_times(measured.published_changes, histories)
    broken = histories.regressions() + restart_regressions(measured, histories)
    broken += [
        f"{row.phase}: {row.missing} times not in force within {PROPAGATION_BOUND_S:g} s"
        for row in times
        if row.missing
    ]
    broken += [
        line
        for observation in measured.status_observations
        for line in status_violations(observation, measured.published_changes, histories)
    ]
    if measured.current_nodes < measured.nodes:
        broken.append(f"{measured.nodes - measured.current_nodes} nodes not current at the end")
    broken += [line for observation in measured.cut_observations for line in cut_violations(observation)]
    broken += [
        line
        for observation in measured.refusal_observations
        for line in refusal_violations(observation, histories)
    ]
    broken += watch_bound_violations(measured.watches)
    if refused := unplanned_refusals(measured):
        broken.append(f"{len(refused)} nodes refused a version, such as {refused[0].node}")
    void = [f"{name} ended" for name in measured.dead_processes]
    void += cut_leaks(measured.published_changes, histories)
    void += [f"{name} ran late {late.share:.1%} of its time" for name, late in measured.lateness.items()
             if late.share > MAX_LATE_SHARE]  # fmt: skip
    return Result(
        measured.nodes, measured.instances, measured.processes, measured.document_bytes,
        measured.descriptors, measured.start_s, measured.seconds, times,
        measured.node_costs, measured.instance_costs, len(measured.status_observations), broken, void,
        max((late.worst_ms for late in measured.lateness.values()), default=0.0), measured.watches,
    )  # fmt: skip
