"""`caperdeck lab scale`: plays a scenario, prints the table, keeps JSON and page."""

from __future__ import annotations

import os
from typing import Any

from caperdeck.lab.cli import parse_whole_number, print_line
from caperdeck.lab.scenario import ScenarioError

from .progress import Progress
from .result import conclude, write
from .run import ScaleRun
from .scenario import MOST_HOLLOW_PROCESSES, MAX_PEERS, MOST_SECONDS, load
from .table import lines


def check_place(name: str, path: str | None) -> None:
    """That a file can be written there once the run is over; raises ScenarioError."""
    folder = path if name == "--logs" else path and (os.path.dirname(path) or ".")
    if folder is not None and not (os.path.isdir(folder) and os.access(folder, os.W_OK)):
        raise ScenarioError(f"{name}: {folder} is no folder that can be written to")


def scale(arguments: dict[str, Any]) -> int:
    def given(name: str, most: int) -> int | None:
        text = arguments[f"--{name}"]
        return None if text is None else parse_whole_number(text, name, 1, most, 0)

    scenario = load(
        arguments["SCENARIO"][0], given("nodes", MAX_PEERS), given("processes", MOST_HOLLOW_PROCESSES),
        given("seconds", int(MOST_SECONDS)),
    )  # fmt: skip
    for name in ("--json", "--out", "--logs"):
        check_place(name, arguments[name])
    progress = Progress()
    try:
        measured = ScaleRun(scenario, progress, arguments["--logs"]).play()
    finally:
        progress.end()
    result = conclude(scenario, measured)
    for line in lines(result):
        print_line(line)
    if arguments["--json"]:
        write(arguments["--json"], result)
    if arguments["--out"]:
        from .page import page

        with open(arguments["--out"], "w", encoding="utf-8") as file:
            file.write(page(result))
    return result.code
