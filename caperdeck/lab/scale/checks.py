"""Evaluates the measurements of a scale run with typed checks that are the same at every size.

A check is held or broken. A gap is a requirement of the target that the program does not meet yet: it is
printed before the held checks and does not fail the run. If the machine was too slow, the run is void,
whatever the checks say.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable

import msgspec

from .measured import Measured
from .scenario import ScaleScenario

LAB_HELD, LAB_BROKEN, LAB_VOID = 0, 1, 3  # exit codes shared by all `caperdeck lab` commands
MAX_NAMES_SHOWN = 5


class Verdict(enum.StrEnum):
    """The result of a check, in the order in which checks are listed."""

    BROKEN = "broken"
    GAP = "gap"
    HELD = "held"


class Check(msgspec.Struct, frozen=True):
    """One row of the result: the requirement and the measured value in `unit`.

    `measured` is None if the value was not reached or the step did not run.
    """

    name: str
    verdict: Verdict
    need: float
    measured: float | None
    unit: str
    evidence: str = ""
    at_least: bool = False
    by_time: bool = False  # a delayed process can break this check

    @property
    def excess(self) -> float:
        """The ratio by which the requirement is missed; over 1 the check fails."""
        if self.measured is None:
            return math.inf
        if self.at_least:
            return self.need / self.measured if self.measured else math.inf
        return self.measured / self.need if self.need else (math.inf if self.measured else 0.0)


def judge(scenario: ScaleScenario, measured: Measured) -> list[Check]:
    """All checks, the worst first."""
    rows = [
        *_process_and_client_checks(scenario, measured),
        *_fault_checks(scenario, measured),
        *_membership_checks(scenario, measured),
        *_limit_checks(scenario, measured),
        *_cost_checks(scenario, measured),
        *_size_checks(scenario, measured),
    ]
    order = list(Verdict)
    return sorted(rows, key=lambda row: (order.index(row.verdict), -row.excess))


def void_reasons(scenario: ScaleScenario, measured: Measured, checks: Iterable[Check]) -> list[str]:
    """The reasons why the machine was too slow for a result; empty if it was fast enough.

    A broken check that depends on time proves nothing if a part of the test rig ran later than the slack of
    the rules. The rig with real processes treats such a check in the same way.
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
    """The exit code of a run; the reasons in `void` take precedence over all checks."""
    if void:
        return LAB_VOID
    return LAB_BROKEN if any(check.verdict is Verdict.BROKEN for check in checks) else LAB_HELD


def _check(
    name: str, need: float, measured: float | None, unit: str, failure: Verdict, evidence: str = "",
    at_least: bool = False, by_time: bool = False,
) -> Check:  # fmt: skip
    """A check with the verdict `failure` if the requirement is not met."""
    row = Check(name, Verdict.HELD, need, measured, unit, evidence, at_least, by_time)
    return msgspec.structs.replace(row, verdict=failure) if row.excess > 1 else row


def _join_names(names: list[str]) -> str:
    more = f" and {len(names) - MAX_NAMES_SHOWN} more" if len(names) > MAX_NAMES_SHOWN else ""
    return "; ".join(names[:MAX_NAMES_SHOWN]) + more


def _process_and_client_checks(scenario: ScaleScenario, measured: Measured):
    broken, ended, breaches = Verdict.BROKEN, _join_names(measured.missing), _join_names(measured.breaches)
    yield _check("processes that ended by themselves", 0, len(measured.missing), "", broken, ended)
    yield _check(
        "breaches of the rules at real nodes", 0, len(measured.breaches), "", broken, breaches, by_time=True,
    )  # fmt: skip
    served = measured.served / measured.tries if measured.tries else None
    kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(measured.answers.items()))
    evidence = f"{measured.tries} first lines: {kinds}"
    least = scenario.bounds.served
    yield _check("clients of real nodes served", least, served, "", broken, evidence, True, by_time=True)


def _fault_checks(scenario: ScaleScenario, measured: Measured):
    bounds, broken = scenario.bounds, Verdict.BROKEN
    yield _check(
        "owners of all works, at first", bounds.owner, measured.owner_first_s, "s", broken, by_time=True,
    )  # fmt: skip
    instance, real = measured.fault("instance"), measured.fault("real node")
    evidence = f"{instance.of} killed" if instance else "not run"
    yield _check(
        "owners again", bounds.owner, instance and instance.dead_s, "s", broken, evidence, by_time=True,
    )  # fmt: skip
    evidence = f"{real.of} killed and started" if real else "not run"
    yield _check(
        "real node back", bounds.real_back, real and real.back_s, "s", broken, evidence, by_time=True,
    )  # fmt: skip


def _membership_checks(scenario: ScaleScenario, measured: Measured):
    last = measured.views[-1].known if measured.views else 0.0
    evidence = f"in the end a node knew {last:.0%} at the mean"
    yield _check(
        "9 in 10 nodes know 9 in 10", scenario.spans.known, measured.known_s, "s", Verdict.GAP, evidence,
    )  # fmt: skip
    rack = measured.fault("rack")
    if rack is None:
        yield _check(
            "killed rack known as silent", scenario.bounds.dead, None, "s", Verdict.BROKEN, "not run",
        )  # fmt: skip
        return
    evidence = f"{rack.of}, {rack.nodes} nodes"
    yield _check(
        "killed rack known as silent", scenario.bounds.dead, rack.dead_s, "s", Verdict.GAP, evidence,
    )  # fmt: skip
    yield _check(
        "started rack known as alive", scenario.bounds.back, rack.back_s, "s", Verdict.GAP, evidence,
    )  # fmt: skip


def _limit_checks(scenario: ScaleScenario, measured: Measured):
    limits, broken = scenario.limits, Verdict.BROKEN
    yield _check("processes of the run", limits.processes, measured.peak_processes, "", broken)
    yield _check(
        "memory of the run", limits.memory_mb, measured.peak_memory_mb, "MB", broken, "the most PSS read",
    )  # fmt: skip


def _cost_checks(scenario: ScaleScenario, measured: Measured):
    """Compares a stub node with the machine's budget for control, divided by its node processes."""
    budget, nodes = scenario.budget, scenario.processes_a_machine
    node = measured.cost.node if measured.cost else None
    failure = Verdict.GAP if node else Verdict.BROKEN
    span = f"a hollow node over {node.seconds:.0f} s" if node else "not run"
    share, memory = node and 100 * node.core_share, node and node.memory_mb
    yield _check(
        "processor time of control", 100 * budget.core_share / nodes, share, "% of a core", failure, span,
    )  # fmt: skip
    yield _check("memory of control", budget.memory_mb / nodes, memory, "MB", failure, span)
    rate = f"{span}, {node.datagrams_s:.1f} datagrams a second" if node else span
    yield _check(
        "traffic of control", budget.kb_s / nodes, node and node.bytes_s / 1000, "KB/s", failure, rate,
    )  # fmt: skip


def _size_checks(scenario: ScaleScenario, measured: Measured):
    target = scenario.target_nodes
    yield _check(
        "nodes that were played", target, measured.members, "", Verdict.GAP, f"{measured.stub_nodes} hollow",
        True,
    )  # fmt: skip
    evidence = f"{measured.instances} instances"
    yield _check("nodes an instance takes", target, measured.instance_nodes, "", Verdict.GAP, evidence, True)
