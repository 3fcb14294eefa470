"""`caperdeck lab in-force`: plays a run, prints its tables, keeps JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from caperdeck.lab.cli import parse_whole_number, print_line
from caperdeck.lab.scale.command import check_writable
from caperdeck.lab.scenario import ScenarioError

from .faults import FAULTS, OF_INSTANCES
from .measured import Result, conclude
from .plan import LEAST_INSTANCES, MOST_INSTANCES
from .run import InForceRun, Settings

MOST_NODES, MOST_PROCESSES, MOST_CHANGES, MOST_REST = 4000, 120, 100, 120
EVERY = 2.0  # seconds between changes: 30 a minute


def in_force(arguments: dict[str, Any]) -> int:
    check_writable("--json", arguments["--json"])
    result = conclude(InForceRun(settings_of(arguments), print_line, FAULTS).play())
    for line in lines(result):
        print_line(line)
    if arguments["--json"]:
        with open(arguments["--json"], "wb") as file:
            file.write(msgspec.json.encode(result) + b"\n")
    return result.code


def settings_of(arguments: dict[str, Any]) -> Settings:
    """Raises ScenarioError."""

    def given(name: str, least: int, most: int, default: int) -> int:
        return parse_whole_number(arguments[f"--{name}"], name, least, most, default)

    nodes = given("nodes", 1, MOST_NODES, 100)
    faults = faults_of(arguments["--faults"])
    instances = given("instances", LEAST_INSTANCES, MOST_INSTANCES, MOST_INSTANCES)
    needed = len([fault for fault in faults if fault in OF_INSTANCES]) + 1
    if instances < needed:
        raise ScenarioError(f"--faults: these need {needed} instances, each has its own")
    return Settings(
        nodes, instances,
        given("processes", 1, min(MOST_PROCESSES, nodes), min(8, nodes)),
        given("changes", 1, MOST_CHANGES, 5), EVERY, given("seconds", 0, MOST_REST, 10),
        faults,
    )  # fmt: skip


def faults_of(text: str | None) -> tuple[str, ...]:
    faults = tuple(text.split(",")) if text else ()
    if len(set(faults)) < len(faults):
        raise ScenarioError(f"--faults: {text:.50} has one twice")
    if unknown := [fault for fault in faults if fault not in FAULTS]:
        raise ScenarioError(f"--faults: no fault {unknown[0]!r:.50}, there are {', '.join(FAULTS)}")
    return faults


def lines(result: Result) -> list[str]:
    found = [
        f"{result.nodes} nodes in {result.processes} processes, {result.instances} instances, "
        f"a document of {result.document_bytes} bytes; all current {result.start_s:.1f} s after the start"
    ]
    found += [
        f"{row.phase:17} {row.changes:3} changes  50 in 100 {row.half:.3f} s  99 in 100 {row.most:.3f} s  "
        f"last {row.last:.3f} s  missing {row.missing}" for row in result.times
    ]  # fmt: skip
    found += [
        f"a node, {cost.span}: {cost.core_share:.3%} of a core, {cost.bytes_s:.0f} bytes a second, "
        f"{cost.memory_mb:.2f} MB" for cost in result.node_costs
    ]  # fmt: skip
    found += [
        f"the dearest instance, {cost.span}: {cost.core_share:.1%} of a core, {cost.memory_mb:.0f} MB"
        for cost in result.instance_costs
    ]
    found += [
        f"{row.instance}: {row.connects_in_a_second} connects within a second, {row.snapshots_at_once} "
        f"snapshots at once at the most, {row.turned_away} turned away" for row in result.watches
    ]  # fmt: skip
    found += [f"broken: {line}" for line in result.broken] + [f"void: {line}" for line in result.void]
    word = {0: "held", 1: "broken", 3: "void"}[result.code]
    return [
        *found,
        f"{word}; {result.looks} looks at the status, worst beat {result.worst_beat_ms:.0f} ms late",
    ]
