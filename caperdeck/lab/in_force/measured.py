"""What a run has measured, and whether it held."""

from __future__ import annotations

import math
from bisect import bisect_left
from itertools import pairwise

import msgspec
from msgspec import field

from caperdeck.lab.scale.beat import Late

from .instances import Published
from .plan import InForce

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
    when_all_had_it: bool = False  # asked after all nodes had it, and their words had time to come in


class Step(msgspec.Struct):
    """One change, with what was done beside it, until it was in force everywhere or the bound passed."""

    phase: str
    published: Published


class Times(msgspec.Struct):
    """Seconds from when the commit was asked for, over all nodes and changes of a phase."""

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
    current: int = 0  # nodes that called themselves current at the end
    refused: int = 0  # nodes that had refused a version at the end
    dead: list[str] = field(default_factory=list)  # processes that should live at the end and do not
    late: dict[str, Late] = field(default_factory=dict)  # by process


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

    def had(self, name: str, revision: int) -> float:
        """When the node had that revision or a later one; infinity if it never did."""
        history = self.of[name]
        i = bisect_left(history, (revision, -math.inf))
        return history[i][1] if i < len(history) else math.inf


def times_of(steps: list[Step], histories: Histories) -> list[Times]:
    found = []
    for phase in dict.fromkeys(step.phase for step in steps):
        changes = [step.published for step in steps if step.phase == phase]
        spans = sorted(
            (histories.had(name, change.revision) - change.asked) / 1000.0
            for change in changes for name in histories.of
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
    if look.when_all_had_it and (missing := sorted(histories.of.keys() - said)):
        wrong.append(f"status: revision {look.revision} not told of at {len(missing)}, such as {missing[0]}")
    if look.when_all_had_it and not look.confirmed:
        wrong.append(f"status: revision {look.revision} not confirmed, though all nodes had it")
    if look.confirmed and look.revision < newest:
        wrong.append(f"status: revision {look.revision} confirmed as the newest after {newest} was committed")
    return wrong


def conclude(m: Measured) -> Result:
    histories = Histories(m.names, m.put)
    times = times_of(m.steps, histories)
    broken = histories.went_back()
    broken += [
        f"{row.phase}: {row.missing} times not in force within {WITHIN:g} s" for row in times if row.missing
    ]
    broken += [line for look in m.looks for line in false_words(look, m.steps, histories)]
    if m.current < m.nodes:
        broken.append(f"{m.nodes - m.current} nodes not current at the end")
    if m.refused:
        broken.append(f"{m.refused} nodes refused a version")
    void = [f"{name} ended" for name in m.dead]
    void += [f"{name} ran late {late.share:.1%} of its time" for name, late in m.late.items()
             if late.share > LATE_SHARE]  # fmt: skip
    return Result(
        m.nodes, m.instances, m.processes, m.document_bytes, m.descriptors, m.start_s, m.seconds, times,
        m.node_costs, m.instance_costs, len(m.looks), broken, void,
        max((late.worst_ms for late in m.late.values()), default=0.0),
    )  # fmt: skip
