"""`caperdeck lab scale`: runs a scenario, prints the table, and writes the JSON file and the HTML page."""

from __future__ import annotations

import os
from typing import Any

from caperdeck.lab.cli import parse_whole_number, print_line
from caperdeck.lab.scenario import ScenarioError

from .progress import Progress
from .result import conclude, write
from .run import ScaleRun
from .scenario import MAX_PEERS, MAX_SECONDS, MAX_STUB_PROCESSES, load
from .table import result_lines


def check_writable(name: str, path: str | None) -> None:
    """Raises ScenarioError if the result could not be written to `path` after the run."""
    folder = path if name == "--logs" else path and (os.path.dirname(path) or ".")
    if folder is not None and not (os.path.isdir(folder) and os.access(folder, os.W_OK)):
        raise ScenarioError(f"{name}: {folder} is not a writable directory")


def scale(arguments: dict[str, Any]) -> int:
    """Runs the command with its parsed arguments; returns the exit code."""

    def option(name: str, maximum: int) -> int | None:
        text = arguments[f"--{name}"]
        return None if text is None else parse_whole_number(text, name, 1, maximum, 0)

    scenario = load(
        arguments["SCENARIO"][0], option("nodes", MAX_PEERS), option("processes", MAX_STUB_PROCESSES),
        option("seconds", int(MAX_SECONDS)),
    )  # fmt: skip
    for name in ("--json", "--out", "--logs"):
        check_writable(name, arguments[name])
    progress = Progress()
    try:
        measured = ScaleRun(scenario, progress, arguments["--logs"]).run()
    finally:
        progress.end()
    result = conclude(scenario, measured)
    for line in result_lines(result):
        print_line(line)
    if arguments["--json"]:
        write(arguments["--json"], result)
    if arguments["--out"]:
        from .page import page

        with open(arguments["--out"], "w", encoding="utf-8") as file:
            file.write(page(result))
    return result.code
