"""The result in lines: what the target needs against what was measured, the worst first."""

from __future__ import annotations

from .checks import Check
from .measured import Measured, Reading
from .result import Result

WORDS = {0: "all checks held", 1: "BROKEN"}


def lines(result: Result) -> list[str]:
    return [*use_lines(result.measured), "", *check_lines(result.checks), "", *word_lines(result)]


def word_lines(result: Result) -> list[str]:
    if result.void:
        return [*(f"void: {reason}" for reason in result.void), "nothing is said about the nodes"]
    gaps = sum(c.verdict == "gap" for c in result.checks)
    return [WORDS[result.code] + (f"; {gaps} gaps to what the target needs" if gaps else "")]


def use_lines(m: Measured) -> list[str]:
    """What the run took, by role."""
    out = [
        f"{m.members} nodes, {m.hollow} of them hollow; {m.instances} instances; "
        f"up after {m.start_s:.1f} s, {m.seconds:.0f} s in all"
    ]
    out += role_lines(m, max(m.readings, key=lambda r: r.pss_mb)) if m.readings else []
    if m.cost is not None:
        node = m.cost.node
        out.append(f"a hollow node: {100 * node.core_share:.2f} % of a core, {node.memory_mb:.2f} MB, "
                   f"{node.bytes_s:.0f} bytes/s, {node.datagrams_s:.2f} datagrams/s, made in "
                   f"{1000 * m.cost.make_s:.0f} ms of processor time")  # fmt: skip
        out.append(f"owners to hollow nodes: {m.cost.connections_s:.0f} connections a second, "
                   f"{node.connections_s:.2f} to each")  # fmt: skip
        if m.cost.machine_cores:
            busy = f"{m.cost.busy_cores:.1f} of the machine's {m.cost.machine_cores} cores were busy"
            own, stolen = m.cost.own_cores, m.cost.stolen_cores
            out.append(f"{busy} in the steady span, {own:.1f} by the run; its host kept {stolen:.1f} from it")
    worst = max(m.late.items(), key=lambda row: row[1].share, default=None)
    if worst is not None:
        out.append(f"latest process: {worst[0]}, {worst[1].share:.1%} of its time late")
    return out


def role_lines(m: Measured, reading: Reading) -> list[str]:
    cores = m.cost.cores if m.cost else {}
    head = f"{'role':<14}{'processes':>10}{'PSS MB':>9}{'USS MB':>9}{'cores':>7}"
    rows = [
        f"{role:<14}{use.processes:>10}{use.pss_mb:>9.0f}{use.uss_mb:>9.0f}{cores.get(role, 0.0):>7.2f}"
        for role, use in sorted(reading.roles.items(), key=lambda row: -row[1].pss_mb)
    ]  # fmt: skip
    return [head, *rows, f"{'all':<14}{reading.processes:>10}{reading.pss_mb:>9.0f}"]


def check_lines(checks: list[Check]) -> list[str]:
    head = f"{'':<8}{'what':<37}{'needed':>16}  {'measured':>20}  evidence"
    return [head, *map(check_line, checks)]


def check_line(c: Check) -> str:
    needed = f"{'>=' if c.at_least else '<='} {c.need:.4g} {c.unit}".rstrip()
    got = "not reached" if c.measured is None else f"{c.measured:.4g} {c.unit}".rstrip()
    return f"{c.verdict:<8}{c.name:<37}{needed:>16}  {got:>20}  {c.evidence}".rstrip()
