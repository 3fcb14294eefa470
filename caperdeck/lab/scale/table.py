"""The result as text lines: requirements of the target against measurements, the worst first."""

from __future__ import annotations

from .checks import Check
from .measured import Measured, Reading
from .result import Result

VERDICT_TEXTS = {0: "all checks held", 1: "BROKEN"}


def result_lines(result: Result) -> list[str]:
    """The whole result: resource usage, checks, verdict."""
    return [*usage_lines(result.measured), "", *check_lines(result.checks), "", *verdict_lines(result)]


def verdict_lines(result: Result) -> list[str]:
    """The reasons for a void run, or the verdict with the number of gaps."""
    if result.void:
        return [*(f"void: {reason}" for reason in result.void), "nothing is said about the nodes"]
    gaps = sum(check.verdict == "gap" for check in result.checks)
    return [VERDICT_TEXTS[result.code] + (f"; {gaps} gaps to what the target needs" if gaps else "")]


def usage_lines(measured: Measured) -> list[str]:
    """Sizes of the run and its resource usage by role."""
    lines = [
        f"{measured.members} nodes, {measured.stub_nodes} of them hollow; {measured.instances} instances; "
        f"up after {measured.start_s:.1f} s, {measured.seconds:.0f} s in all"
    ]
    lines += (
        role_lines(measured, max(measured.readings, key=lambda reading: reading.pss_mb))
        if measured.readings
        else []
    )
    if measured.cost is not None:
        node = measured.cost.node
        lines.append(f"a hollow node: {100 * node.core_share:.2f} % of a core, {node.memory_mb:.2f} MB, "
                     f"{node.bytes_s:.0f} bytes/s, {node.datagrams_s:.2f} datagrams/s, made in "
                     f"{1000 * measured.cost.make_s:.0f} ms of processor time")  # fmt: skip
        lines.append(f"owners to hollow nodes: {measured.cost.connections_s:.0f} connections a second, "
                     f"{node.connections_s:.2f} to each")  # fmt: skip
        if measured.cost.machine_cores:
            busy = (
                f"{measured.cost.busy_cores:.1f} of the machine's "
                f"{measured.cost.machine_cores} cores were busy"
            )
            run, stolen = measured.cost.run_cores, measured.cost.stolen_cores
            lines.append(
                f"{busy} in the steady span, {run:.1f} by the run; its host kept {stolen:.1f} from it"
            )
    latest = max(measured.late.items(), key=lambda row: row[1].share, default=None)
    if latest is not None:
        lines.append(f"latest process: {latest[0]}, {latest[1].share:.1%} of its time late")
    return lines


def role_lines(measured: Measured, reading: Reading) -> list[str]:
    """Table of the processes, memory and cores of each role at one reading, the largest memory first."""
    cores = measured.cost.cores if measured.cost else {}
    head = f"{'role':<14}{'processes':>10}{'PSS MB':>9}{'USS MB':>9}{'cores':>7}"
    rows = [
        f"{role:<14}{use.processes:>10}{use.pss_mb:>9.0f}{use.uss_mb:>9.0f}{cores.get(role, 0.0):>7.2f}"
        for role, use in sorted(reading.roles.items(), key=lambda row: -row[1].pss_mb)
    ]  # fmt: skip
    return [head, *rows, f"{'all':<14}{reading.processes:>10}{reading.pss_mb:>9.0f}"]


def check_lines(checks: list[Check]) -> list[str]:
    """A table of the checks with its heading."""
    head = f"{'':<8}{'what':<37}{'needed':>16}  {'measured':>20}  evidence"
    return [head, *map(check_line, checks)]


def check_line(check: Check) -> str:
    needed = f"{'>=' if check.at_least else '<='} {check.need:.4g} {check.unit}".rstrip()
    measured = "not reached" if check.measured is None else f"{check.measured:.4g} {check.unit}".rstrip()
    return f"{check.verdict:<8}{check.name:<37}{needed:>16}  {measured:>20}  {check.evidence}".rstrip()
