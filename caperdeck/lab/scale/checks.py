"""Whether a run held: typed checks on what was measured, the same at every size.

A check is held or broken. What the target needs and the program does not reach yet is a gap: printed first
among what held, and no fault of the run. Where the machine was too slow the run is void, whatever held.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable

import msgspec

from .measured import Measured
from .scenario import ScaleScenario

LAB_HELD, LAB_BROKEN, LAB_VOID = 0, 1, 3  # exit codes, as of all of `caperdeck lab`
MOST_NAMED = 5


class Verdict(enum.StrEnum):
    BROKEN = "broken"
    GAP = "gap"
    HELD = "held"


class Check(msgspec.Struct, frozen=True):
    """One row: what is needed and what was measured, in that unit; None where not reached or not run."""

    name: str
    verdict: Verdict
    need: float
    measured: float | None
    unit: str
    evidence: str = ""
    at_least: bool = False
    by_time: bool = False  # a process that is held up can break it

    @property
    def over(self) -> float:
        """How many times worse than needed: over 1 is too bad."""
        if self.measured is None:
            return math.inf
        if self.at_least:
            return self.need / self.measured if self.measured else math.inf
        return self.measured / self.need if self.need else (math.inf if self.measured else 0.0)


def judge(scenario: ScaleScenario, measured: Measured) -> list[Check]:
    """All checks, the worst first."""
    rows = [
        *_life(scenario, measured), *_faults(scenario, measured), *_membership(scenario, measured),
        *_limits(scenario, measured), *_costs(scenario, measured), *_size(scenario, measured),
    ]  # fmt: skip
    order = list(Verdict)
    return sorted(rows, key=lambda row: (order.index(row.verdict), -row.over))


def void_reasons(scenario: ScaleScenario, measured: Measured, checks: Iterable[Check]) -> list[str]:
    """Why the machine was too slow to say anything; empty where it was not.

    As in the rig with real processes, what can break by time alone and broke while a part of the rig ran
    later than the rules' slack says nothing.
    """
    allowed, reasons = scenario.lateness.share, []
    for name, late in sorted(measured.late.items()):
        if late.share > allowed:
            reasons.append(f"{name} ran late for {late.share:.1%} of its time, over {allowed:.1%}")
    rig, slack = measured.late.get("rig"), scenario.real.rules.slack
    broken = [row.name for row in checks if row.verdict is Verdict.BROKEN and row.by_time]
    if broken and rig is not None and rig.worst_ms > slack:
        reasons.append(f"a part of the rig ran {rig.worst_ms:.0f} ms late in a run that broke {broken[0]}")
    return reasons


def exit_code(checks: Iterable[Check], void: list[str]) -> int:
    if void:
        return LAB_VOID
    return LAB_BROKEN if any(c.verdict is Verdict.BROKEN for c in checks) else LAB_HELD


def _row(
    name: str, need: float, measured: float | None, unit: str, worse: Verdict, evidence: str = "",
    at_least: bool = False, by_time: bool = False,
) -> Check:  # fmt: skip
    row = Check(name, Verdict.HELD, need, measured, unit, evidence, at_least, by_time)
    return msgspec.structs.replace(row, verdict=worse) if row.over > 1 else row


def _named(names: list[str]) -> str:
    more = f" and {len(names) - MOST_NAMED} more" if len(names) > MOST_NAMED else ""
    return "; ".join(names[:MOST_NAMED]) + more


def _life(s: ScaleScenario, m: Measured):
    broken, ended, breaches = Verdict.BROKEN, _named(m.missing), _named(m.breaches)
    yield _row("processes that ended by themselves", 0, len(m.missing), "", broken, ended)
    yield _row("breaches of the rules at real nodes", 0, len(m.breaches), "", broken, breaches, by_time=True)
    served = m.served / m.tries if m.tries else None
    kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(m.answers.items()))
    evidence = f"{m.tries} first lines: {kinds}"
    least = s.bounds.served
    yield _row("clients of real nodes served", least, served, "", broken, evidence, True, by_time=True)


def _faults(s: ScaleScenario, m: Measured):
    b, broken = s.bounds, Verdict.BROKEN
    yield _row("owners of all works, at first", b.owner, m.owner_first_s, "s", broken, by_time=True)
    instance, real = m.fault("instance"), m.fault("real node")
    of = f"{instance.of} killed" if instance else "not run"
    yield _row("owners again", b.owner, instance and instance.dead_s, "s", broken, of, by_time=True)
    of = f"{real.of} killed and started" if real else "not run"
    yield _row("real node back", b.real_back, real and real.back_s, "s", broken, of, by_time=True)


def _membership(s: ScaleScenario, m: Measured):
    last = m.views[-1].known if m.views else 0.0
    evidence = f"in the end a node knew {last:.0%} at the mean"
    yield _row("9 in 10 nodes know 9 in 10", s.spans.known, m.known_s, "s", Verdict.GAP, evidence)
    rack = m.fault("rack")
    if rack is None:
        yield _row("killed rack known as silent", s.bounds.dead, None, "s", Verdict.BROKEN, "not run")
        return
    of = f"{rack.of}, {rack.nodes} nodes"
    yield _row("killed rack known as silent", s.bounds.dead, rack.dead_s, "s", Verdict.GAP, of)
    yield _row("started rack known as alive", s.bounds.back, rack.back_s, "s", Verdict.GAP, of)


def _limits(s: ScaleScenario, m: Measured):
    limits, broken = s.limits, Verdict.BROKEN
    yield _row("processes of the run", limits.processes, m.most_processes, "", broken)
    yield _row("memory of the run", limits.memory_mb, m.most_memory_mb, "MB", broken, "the most PSS read")


def _costs(s: ScaleScenario, m: Measured):
    """Against the budget of a machine's control, divided by its node processes."""
    budget, each = s.budget, s.processes_a_machine
    node = m.cost.node if m.cost else None
    lost = Verdict.GAP if node else Verdict.BROKEN
    span = f"a hollow node over {node.seconds:.0f} s" if node else "not run"
    share, memory = node and 100 * node.core_share, node and node.memory_mb
    yield _row("processor time of control", 100 * budget.core_share / each, share, "% of a core", lost, span)
    yield _row("memory of control", budget.memory_mb / each, memory, "MB", lost, span)
    size = f"{span}, {node.datagrams_s:.1f} datagrams a second" if node else span
    yield _row("traffic of control", budget.kb_s / each, node and node.bytes_s / 1000, "KB/s", lost, size)


def _size(s: ScaleScenario, m: Measured):
    target = s.target_nodes
    yield _row("nodes that were played", target, m.members, "", Verdict.GAP, f"{m.hollow} hollow", True)
    evidence = f"{m.instances} instances"
    yield _row("nodes an instance takes", target, m.instance_nodes, "", Verdict.GAP, evidence, True)
