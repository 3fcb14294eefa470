"""`caperdeck lab in-force`: executes a run, prints its tables and writes its result as JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from caperdeck.lab.cli import parse_whole_number, print_line
from caperdeck.lab.scale.command import check_writable
from caperdeck.lab.scenario import ScenarioError

from .faults import FAULTS, INSTANCE_FAULTS
from .measured import Result, conclude
from .plan import MIN_INSTANCES, MAX_INSTANCES
from .run import PropagationRun, Settings

MAX_NODES, MAX_PROCESSES, MAX_CHANGES, MAX_REST_S = 4000, 120, 100, 120
CHANGE_INTERVAL_S = 2.0


def in_force(arguments: dict[str, Any]) -> int:
    """Runs the command; returns its exit code."""
    check_writable("--json", arguments["--json"])
    result = conclude(PropagationRun(read_settings(arguments), print_line, FAULTS).run())
    for line in summary_lines(result):
        print_line(line)
    if arguments["--json"]:
        with open(arguments["--json"], "wb") as file:
            file.write(msgspec.json.encode(result) + b"\n")
    return result.code


def read_settings(arguments: dict[str, Any]) -> Settings:
    """Reads the options; raises ScenarioError."""

    def read_number(name: str, minimum: int, maximum: int, default: int) -> int:
        return parse_whole_number(arguments[f"--{name}"], name, minimum, maximum, default)

    nodes = read_number("nodes", 1, MAX_NODES, 100)
    faults = parse_faults(arguments["--faults"])
    instances = read_number("instances", MIN_INSTANCES, MAX_INSTANCES, MAX_INSTANCES)
    needed = len([fault for fault in faults if fault in INSTANCE_FAULTS]) + 1
    if instances < needed:
        raise ScenarioError(f"--faults: these need {needed} instances, each has its own")
    return Settings(
        nodes, instances,
        read_number("processes", 1, min(MAX_PROCESSES, nodes), min(8, nodes)),
        read_number("changes", 1, MAX_CHANGES, 5), CHANGE_INTERVAL_S,
        read_number("seconds", 0, MAX_REST_S, 10), faults,
    )  # fmt: skip


def parse_faults(text: str | None) -> tuple[str, ...]:
    """Parses the list of faults; raises ScenarioError."""
    faults = tuple(text.split(",")) if text else ()
    if len(set(faults)) < len(faults):
        raise ScenarioError(f"--faults: {text:.50} has one twice")
    if unknown := [fault for fault in faults if fault not in FAULTS]:
        raise ScenarioError(f"--faults: no fault {unknown[0]!r:.50}, there are {', '.join(FAULTS)}")
    return faults


def summary_lines(result: Result) -> list[str]:
    """The lines that are printed for a result."""
    output = [
        f"{result.nodes} nodes in {result.processes} processes, {result.instances} instances, "
        f"a document of {result.document_bytes} bytes; all current {result.start_s:.1f} s after the start"
    ]
    output += [
        f"{row.phase:17} {row.changes:3} changes  50 in 100 {row.half:.3f} s  99 in 100 {row.most:.3f} s  "
        f"last {row.last:.3f} s  missing {row.missing}" for row in result.times
    ]  # fmt: skip
    output += [
        f"a node, {cost.span}: {cost.core_share:.3%} of a core, {cost.bytes_s:.0f} bytes a second, "
        f"{cost.memory_mb:.2f} MB" for cost in result.node_costs
    ]  # fmt: skip
    output += [
        f"the dearest instance, {cost.span}: {cost.core_share:.1%} of a core, {cost.memory_mb:.0f} MB"
        for cost in result.instance_costs
    ]
    output += [
        f"{row.instance}: {row.connects_in_a_second} connects within a second, {row.snapshots_at_once} "
        f"snapshots at once at the most, {row.turned_away} turned away" for row in result.watches
    ]  # fmt: skip
    output += [f"broken: {line}" for line in result.broken] + [f"void: {line}" for line in result.void]
    verdict = {0: "held", 1: "broken", 3: "void"}[result.code]
    return [
        *output,
        f"{verdict}; {result.looks} looks at the status, worst beat {result.worst_beat_ms:.0f} ms late",
    ]
