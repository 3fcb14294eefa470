"""The command `caperdeck lab`.

Exit codes: 0 all rules held, 1 a rule broke, 2 bad input, 3 void (the machine was too slow).
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from .figures import figures
from .figures import figure_lines
from .history import Event, read_history, write_history
from .oracle import REORDER_WINDOW_MS, Breach, find_breaches
from .owned_work import CHECKS
from .scenario import Scenario, ScenarioError, load

EXIT_HELD, EXIT_BROKEN, EXIT_BAD_INPUT, EXIT_VOID = 0, 1, 2, 3


class InterruptedRunError(Exception):
    """The run was interrupted by SIGTERM or SIGINT."""


def _raise_interrupted(*unused: Any) -> None:
    raise InterruptedRunError


def print_line(text: str) -> None:
    print(text, flush=True)


def report_bad_input(reason: object) -> int:
    """Prints in one line why the input is bad; returns the exit code."""
    print(f"caperdeck: {reason}", file=sys.stderr)
    return EXIT_BAD_INPUT


def report_void(reason: object) -> int:
    """Prints in one line why a run has no valid result; returns the exit code."""
    print(f"void: {reason}", file=sys.stderr)
    return EXIT_VOID


def write_page(path: str, page: str) -> None:
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)
    print_line(f"written: {path}")


def parse_whole_number(text: str | None, name: str, minimum: int, maximum: int, default: int) -> int:
    if text is None:
        return default
    if not text.isdigit() or not minimum <= int(text) <= maximum:
        raise ScenarioError(f"--{name}: {text} is no whole number from {minimum} to {maximum}")
    return int(text)


def run_fleet(
    scenario: Scenario, seed: int | None, virtual: bool, logs: str | None = None, watch: Any = None,
) -> tuple[list[Event], float]:  # fmt: skip
    """Runs a scenario; returns its history and the largest lateness of a part of the rig, in milliseconds."""
    if virtual:
        from .virtual import VirtualFleet

        fleet = VirtualFleet(scenario, seed, watch=watch)
        events = fleet.run()
        simulated_span = f"{fleet.duration_s:.1f} s of {scenario.nodes} nodes"
        print_line(f"simulated: {simulated_span} in {fleet.wall_seconds:.1f} s, seed {fleet.seed}")
        return events, 0.0
    from .real import RealFleet

    fleet = RealFleet(scenario, seed, watch, logs)
    events = fleet.run()
    print_line(
        f"real: {scenario.nodes} processes, seed {fleet.seed}, "
        f"the relay carries {fleet.relay_rate_per_s:.0f} a second"
    )
    return events, fleet.max_late_ms


def check_history(scenario: Scenario, events: list[Event], virtual: bool) -> list[Breach]:
    return find_breaches(
        scenario, events, CHECKS if scenario.owners else (), 0.0 if virtual else REORDER_WINDOW_MS
    )


def report_outcome(scenario: Scenario, events: list[Event], virtual: bool, max_late_ms: float = 0.0) -> int:
    """Prints the result of a run; breaches do not count if the rig itself ran late."""
    breaches = check_history(scenario, events, virtual)
    for line in [*figure_lines(figures(events)), *(b.line() for b in breaches[:20])]:
        print_line(line)
    if len(breaches) > 20:
        print_line(f"and {len(breaches) - 20} more")
    if breaches and max_late_ms > scenario.rules.slack:
        print_line(f"void: a part of the rig ran {max_late_ms:.0f} ms late; nothing is said about the nodes")
        return EXIT_VOID
    print_line("BROKEN" if breaches else "all rules held")
    return EXIT_BROKEN if breaches else EXIT_HELD


def fleet(arguments: dict[str, Any]) -> int:
    scenario = load(arguments["SCENARIO"][0])
    seed = parse_whole_number(arguments["--seed"], "seed", 0, 2**31, scenario.seed)
    events, max_late_ms = run_fleet(scenario, seed, arguments["--virtual"], arguments["--logs"])
    if arguments["--json"]:
        write_history(arguments["--json"], events)
    return report_outcome(scenario, events, arguments["--virtual"], max_late_ms)


def search(arguments: dict[str, Any]) -> int:
    from .search import search as find_breach
    from .search import scenario_toml

    scenario = load(arguments["SCENARIO"][0])
    runs = parse_whole_number(arguments["--runs"], "runs", 1, 100_000, 100)
    seed = parse_whole_number(arguments["--seed"], "seed", 0, 2**31, scenario.seed)
    found = find_breach(scenario, runs, seed, print_line)
    if found is None:
        print_line(f"nothing broke in {runs} schedules")
        return EXIT_HELD
    smallest, breaches = found
    out = arguments["--out"] or "found.toml"
    with open(out, "w", encoding="utf-8") as file:
        file.write(scenario_toml(smallest))
    print_line(f"smallest: {len(smallest.fault)} faults, {breaches[0].line()}")
    print_line(f"replay it: caperdeck lab fleet {out} --virtual")
    return EXIT_BROKEN


def compare(arguments: dict[str, Any]) -> int:
    import msgspec

    from .compare import MAX_PAIRS
    from .compare import compare as measure
    from .compare import format_result

    pairs = parse_whole_number(arguments["--pairs"], "pairs", 2, MAX_PAIRS, 10)
    seed = parse_whole_number(arguments["--seed"], "seed", 0, 2**31, 1)
    results = []
    for path in arguments["SCENARIO"]:
        result = measure(path, arguments["--base"] or "module", arguments["--against"], pairs, seed)
        results.append(result)
        for line in format_result(result):
            print_line(line)
    if arguments["--json"]:
        with open(arguments["--json"], "wb") as file:
            file.write(msgspec.json.encode(results))
    return EXIT_BROKEN if any(r["breaches"][1] for r in results) else EXIT_HELD


def report(arguments: dict[str, Any]) -> int:
    from .report import page
    from .scale.result import is_result
    from .scale.result import read as read_result

    path = arguments["FILE"]
    out = arguments["--out"] or f"{path}.html"
    if is_result(path):
        from .scale.page import page as scale_page

        write_page(out, scale_page(read_result(path)))
        return EXIT_HELD
    try:
        events = read_history(path)
    except ValueError as error:
        raise ScenarioError(str(error)) from None
    scenario = load(arguments["--scenario"]) if arguments["--scenario"] else None
    unchecked = ["rules not checked: no --scenario"]
    breaches = [b.line() for b in find_breaches(scenario, events)] if scenario else unchecked
    write_page(out, page(events, breaches))
    return EXIT_HELD


def slopes(arguments: dict[str, Any]) -> int:
    from .slopes.command import run
    from .slopes.errors import InputError, MeasurementError

    try:
        run(arguments["--out"], arguments["--only"], arguments["--small"], print_line, arguments["--merge"])
    except InputError as error:
        return report_bad_input(error)
    except MeasurementError as error:
        return report_void(error)
    return EXIT_HELD


def capacity(arguments: dict[str, Any]) -> int:
    from .capacity.command import CapacityError, run

    files = (arguments[f"--{name}"] for name in ("slopes", "target", "json", "page"))
    try:
        missing = run(*files, print_line)
    except CapacityError as error:
        return report_bad_input(error)
    if missing:
        print(f"not measured: {', '.join(missing)}", file=sys.stderr)
    return EXIT_BROKEN if missing else EXIT_HELD


def scale(arguments: dict[str, Any]) -> int:
    from .scale.command import scale as run_scale

    return run_scale(arguments)


def in_force(arguments: dict[str, Any]) -> int:
    from .propagation.command import in_force as run_in_force

    return run_in_force(arguments)


def soak(arguments: dict[str, Any]) -> int:
    from pathlib import Path

    from .soak import format_result
    from .soak import soak as run_seeds

    first = parse_whole_number(arguments["--seed"], "seed", 0, 2**31, 1)
    seeds = parse_whole_number(arguments["--runs"], "runs", 1, 10_000, 50)
    at_once = parse_whole_number(arguments["--processes"], "processes", 1, 8, 2)
    broken = voids = 0
    for result in run_seeds(
        first, seeds, at_once, Path(arguments["--logs"]) if arguments["--logs"] else None
    ):
        print_line(format_result(result))
        broken += bool(result.breaches)
        voids += bool(result.void)
    print_line(f"{seeds - broken - voids} of {seeds} seeds held, {broken} broken, {voids} void")
    return EXIT_BROKEN if broken else EXIT_VOID if voids else EXIT_HELD


def demo(arguments: dict[str, Any]) -> int:
    from rich.console import Console

    from .demo import demo_scenario, live_view

    scenario = demo_scenario()
    live, view = live_view(Console())
    with live:
        events, max_late_ms = run_fleet(scenario, None, False, None, view)
    return report_outcome(scenario, events, False, max_late_ms)


def main(arguments: dict[str, Any]) -> int:
    from .rig_process import VoidError

    for name in (signal.SIGTERM, signal.SIGINT):
        signal.signal(name, _raise_interrupted)
    subcommands = (fleet, search, compare, report, scale, in_force, slopes, capacity, soak, demo)
    subcommand = next(
        candidate for candidate in subcommands if arguments[candidate.__name__.replace("_", "-")]
    )
    try:
        return subcommand(arguments)
    except ScenarioError as error:
        return report_bad_input(error)
    except OSError as error:
        return report_bad_input(f"{error.filename or ''}: {os.strerror(error.errno or 0)}")
    except VoidError as error:
        return report_void(f"{error}; nothing is said about the nodes")
    except InterruptedRunError:
        print("interrupted", file=sys.stderr)
        return EXIT_VOID
