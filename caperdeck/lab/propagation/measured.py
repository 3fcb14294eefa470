"""What a run has measured, and whether it held."""

from __future__ import annotations

import math
from bisect import bisect_left
from itertools import pairwise

import msgspec
from msgspec import field

from caperdeck.distribution.publisher import MAX_CONNECTS_PER_SECOND, CONNECT_BURST, MAX_CONCURRENT_SNAPSHOTS
from caperdeck.lab.scale.heartbeat import LatenessStats

from .instances import Published, WatchFigures
from .plan import InForce, Refused

KIND = "caperdeck in force"
WITHIN = 9.0  # seconds from the commit, at every node
LATE_SHARE = 0.05  # of its time that a process may run late; past this the machine is too slow


class StatusLook(msgspec.Struct):
    """What `config status` said; times in ms of the shared clock."""

    asked: float
    answered: float
    confirmed: bool
    revision: int
    in_force: list[str]
    had_it: list[str] = []  # nodes that had it for so long that their words had time to come in
    stale: list[str] = []
    not_heard: list[str] = []
    refused: list[Refused] = []


class CutLook(msgspec.Struct):
    """While the regions were cut off from each other, and nodes had time to see it: what was said in each.

    None where no instance of a region answered.
    """

    rest: list[str]  # nodes of the larger region, which has the quorum
    cut_off: list[str]  # of the smaller one
    by_rest: StatusLook | None  # the status that operators of the larger region have
    by_cut_off: StatusLook | None
    uncurrent: list[str]  # nodes that did not call themselves current then
    stale: list[str]  # of these the ones that called themselves stale


class RefusalLook(msgspec.Struct):
    """A version that some nodes cannot serve: what the status said once the others had it."""

    revision: int
    refusing: list[str]  # that have to refuse it
    reason: str  # how the reason has to begin
    said: StatusLook | None


class Step(msgspec.Struct):
    """One change, with what was done beside it, until it was in force everywhere or the bound passed."""

    phase: str
    published: Published
    names: list[str] | None = None  # nodes that were to have it; None for all
    since: float | None = None  # counted from this time, not from the commit; ms of the shared clock

    @property
    def counted_from(self) -> float:
        return self.published.asked if self.since is None else self.since


class Times(msgspec.Struct):
    """Seconds from when the commit was asked for, or from the heal, over the nodes and changes of a phase."""

    phase: str
    changes: int
    half: float
    most: float  # 99 in 100
    last: float
    missing: int  # nodes and changes that did not come into force in time


class NodeCost(msgspec.Struct):
    """Of a node in one span; bytes are payload, in and out."""

    span: str
    seconds: float
    core_share: float
    bytes_s: float
    memory_mb: float  # of its own, without the interpreter and the program


class InstanceCost(msgspec.Struct):
    """Of the dearest instance in one span."""

    span: str
    core_share: float
    memory_mb: float


class Measured(msgspec.Struct):
    nodes: int
    instances: int
    processes: int
    document_bytes: int
    descriptors: int  # that a process may have; an instance takes 256 watches less, 2,048 at most
    start_s: float = 0.0  # from the first process of nodes until all nodes are current
    seconds: float = 0.0
    names: list[str] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    put: list[InForce] = field(default_factory=list)
    looks: list[StatusLook] = field(default_factory=list)
    node_costs: list[NodeCost] = field(default_factory=list)
    instance_costs: list[InstanceCost] = field(default_factory=list)
    begun: list[InForce] = field(default_factory=list)  # with what a node began each of its lives
    emptied: list[str] = field(default_factory=list)  # nodes whose folder was emptied between two lives
    cut_looks: list[CutLook] = field(default_factory=list)
    refusal_looks: list[RefusalLook] = field(default_factory=list)
    watches: list[WatchFigures] = field(default_factory=list)  # at the end
    current: int = 0  # nodes that called themselves current at the end
    refused: list[Refused] = field(default_factory=list)  # by nodes of the lives at the end
    dead: list[str] = field(default_factory=list)  # processes that should live at the end and do not
    late: dict[str, LatenessStats] = field(default_factory=dict)  # by process


class Result(msgspec.Struct):
    """The JSON file; without each node's own times."""

    nodes: int
    instances: int
    processes: int
    document_bytes: int
    descriptors: int
    start_s: float
    seconds: float
    times: list[Times]
    node_costs: list[NodeCost]
    instance_costs: list[InstanceCost]
    looks: int
    broken: list[str]
    void: list[str]
    worst_beat_ms: float
    watches: list[WatchFigures] = []
    kind: str = KIND

    @property
    def code(self) -> int:
        """Of the command: 0 held, 1 broken, 3 void."""
        if self.void:
            return 3
        return 1 if self.broken else 0


class Histories:
    """By node, what it put in force and when; a node has a revision from the first at or above it on."""

    def __init__(self, names: list[str], put: list[InForce]) -> None:
        self.of: dict[str, list[tuple[int, float]]] = {name: [] for name in names}
        for each in put:
            self.of[each.node].append((each.revision, each.at))

    def went_back(self) -> list[str]:
        return [
            f"{name} went from revision {before} to {after}"
            for name, history in self.of.items()
            for (before, _), (after, _) in pairwise(history) if after <= before
        ]  # fmt: skip

    def before(self, name: str, at: float) -> int:
        """The revision that the node had put in force by then; 0 for none."""
        return max((revision for revision, since in self.of[name] if since < at), default=0)

    def had(self, name: str, revision: int) -> float:
        """When the node had that revision or a later one; infinity if it never did."""
        history = self.of[name]
        i = bisect_left(history, (revision, -math.inf))
        return history[i][1] if i < len(history) else math.inf


def times_of(steps: list[Step], histories: Histories) -> list[Times]:
    found = []
    for phase in dict.fromkeys(step.phase for step in steps):
        changes = [step for step in steps if step.phase == phase]
        spans = sorted(
            (histories.had(name, step.published.revision) - step.counted_from) / 1000.0
            for step in changes for name in (histories.of if step.names is None else step.names)
        )  # fmt: skip
        there = [span for span in spans if span <= WITHIN]
        if there:
            half, most = (there[min(int(len(there) * part), len(there) - 1)] for part in (0.5, 0.99))
            found.append(Times(phase, len(changes), half, most, there[-1], len(spans) - len(there)))
        else:
            found.append(Times(phase, len(changes), WITHIN, WITHIN, WITHIN, len(spans)))
    return found


def false_words(look: StatusLook, steps: list[Step], histories: Histories) -> list[str]:
    """Where a status counted a node that had not said so, left one out after its time, or named as newest
    a version that was not.
    """
    said = set(look.in_force)
    newest = max((s.published.revision for s in steps if s.published.answered <= look.asked), default=0)
    wrong = [
        f"status: revision {look.revision} in force at {name}, which had not got it"
        for name in look.in_force if histories.had(name, look.revision) > look.answered
    ]  # fmt: skip
    if missing := sorted(set(look.had_it) - said):
        wrong.append(f"status: revision {look.revision} not told of at {len(missing)}, such as {missing[0]}")
    if look.had_it and not look.confirmed:
        wrong.append(f"status: revision {look.revision} not confirmed, though nodes had it for long")
    if look.confirmed and look.revision < newest:
        wrong.append(f"status: revision {look.revision} confirmed as the newest after {newest} was committed")
    return wrong


def fallen_back(m: Measured, histories: Histories) -> list[str]:
    """Lives that began with less than the node had in force in an earlier one, its folder not emptied."""
    found = []
    for life in m.begun:
        before = histories.before(life.node, life.at)
        emptied = life.revision == 0 and life.node in m.emptied
        if life.revision < before and not emptied:
            found.append(f"{life.node} began anew with revision {life.revision} after {before}")
    return found


def false_in_cut(look: CutLook) -> list[str]:
    """Where nodes, or a status, did not say of a region cut off what is so."""
    wrong = [f"{name} cut off and not stale" for name in sorted(set(look.cut_off) - set(look.stale))]
    wrong += [f"{name} not current beside a region cut off" for name in look.uncurrent if name in look.rest]
    if look.by_rest is None or look.by_cut_off is None:
        return [*wrong, "status: no instance of a region answered while the other was cut off"]
    if sorted(look.by_rest.not_heard) != sorted(look.cut_off):
        wrong.append(f"status: {len(look.by_rest.not_heard)} not heard of, {len(look.cut_off)} were cut off")
    if look.by_cut_off.confirmed:
        wrong.append(f"status: revision {look.by_cut_off.revision} confirmed in the region cut off")
    if missing := sorted(set(look.cut_off) - set(look.by_cut_off.stale)):
        wrong.append(f"status: {len(missing)} cut off not told of as stale, such as {missing[0]}")
    return wrong


def false_refusals(look: RefusalLook, histories: Histories) -> list[str]:
    """Where nodes that cannot serve a version had it, or a status did not tell which they are, and why."""
    wrong = [
        f"{name} had revision {look.revision} in force, which it cannot serve"
        for name in look.refusing if any(revision == look.revision for revision, _ in histories.of[name])
    ]  # fmt: skip
    if look.said is None:
        return [*wrong, f"status: no instance answered after revision {look.revision}"]
    said = {row.node for row in look.said.refused if row.revision == look.revision}
    wrong += [f"status: {name} not told of as refusing" for name in sorted(set(look.refusing) - said)]
    wrong += [f"status: {name} said to refuse" for name in sorted(said - set(look.refusing))]
    wrong += [
        f"status: {row.node} refused with {row.reason!r}"
        for row in look.said.refused if not row.reason.startswith(look.reason)
    ]  # fmt: skip
    return wrong


def leaks(steps: list[Step], histories: Histories) -> list[str]:
    """Nodes that had a version before the time from which on they could: the cut was none."""
    return [
        f"{step.phase}: {name} had revision {step.published.revision} before"
        for step in steps if step.since is not None
        for name in step.names or () if histories.had(name, step.published.revision) < step.since
    ]  # fmt: skip


def past_bounds(watches: list[WatchFigures]) -> list[str]:
    """Instances that took more at once than they may."""
    most = int(CONNECT_BURST + MAX_CONNECTS_PER_SECOND)
    wrong = [
        f"{row.instance} took {row.connects_in_a_second} connects within a second, over {most}"
        for row in watches if row.connects_in_a_second > most
    ]  # fmt: skip
    return wrong + [
        f"{row.instance} sent {row.snapshots_at_once} snapshots at once, over {MAX_CONCURRENT_SNAPSHOTS}"
        for row in watches if row.snapshots_at_once > MAX_CONCURRENT_SNAPSHOTS
    ]  # fmt: skip


def unplanned(m: Measured) -> list[Refused]:
    planned = {(name, look.revision) for look in m.refusal_looks for name in look.refusing}
    return [row for row in m.refused if (row.node, row.revision) not in planned]


def conclude(m: Measured) -> Result:
    histories = Histories(m.names, m.put)
    times = times_of(m.steps, histories)
    broken = histories.went_back() + fallen_back(m, histories)
    broken += [
        f"{row.phase}: {row.missing} times not in force within {WITHIN:g} s" for row in times if row.missing
    ]
    broken += [line for look in m.looks for line in false_words(look, m.steps, histories)]
    if m.current < m.nodes:
        broken.append(f"{m.nodes - m.current} nodes not current at the end")
    broken += [line for look in m.cut_looks for line in false_in_cut(look)]
    broken += [line for look in m.refusal_looks for line in false_refusals(look, histories)]
    broken += past_bounds(m.watches)
    if refused := unplanned(m):
        broken.append(f"{len(refused)} nodes refused a version, such as {refused[0].node}")
    void = [f"{name} ended" for name in m.dead]
    void += leaks(m.steps, histories)
    void += [f"{name} ran late {late.share:.1%} of its time" for name, late in m.late.items()
             if late.share > LATE_SHARE]  # fmt: skip
    return Result(
        m.nodes, m.instances, m.processes, m.document_bytes, m.descriptors, m.start_s, m.seconds, times,
        m.node_costs, m.instance_costs, len(m.looks), broken, void,
        max((late.worst_ms for late in m.late.values()), default=0.0), m.watches,
    )  # fmt: skip
