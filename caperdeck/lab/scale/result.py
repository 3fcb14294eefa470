"""The JSON file of a run: scenario, measurements, checks and exit code."""

from __future__ import annotations

import msgspec

from caperdeck.lab.scenario import ScenarioError

from .checks import Check, exit_code, judge, void_reasons
from .measured import FILE_KIND, Measured
from .scenario import ScaleScenario

KIND_SEARCH_BYTES = len(FILE_KIND) + 40  # the kind of a result file is within its first bytes


class Result(msgspec.Struct):
    """A run with its checks; `void` holds the reasons why the machine was too slow, if it was."""

    scenario: ScaleScenario
    measured: Measured
    checks: list[Check]
    void: list[str]
    code: int
    kind: str = FILE_KIND


def conclude(scenario: ScaleScenario, measured: Measured) -> Result:
    """Evaluates all checks of a run."""
    checks = judge(scenario, measured)
    void = void_reasons(scenario, measured, checks)
    return Result(scenario, measured, checks, void, exit_code(checks, void))


def write(path: str, result: Result) -> None:
    body = {"kind": FILE_KIND, **msgspec.to_builtins(result)}
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(body) + b"\n")


def is_result(path: str) -> bool:
    """Whether a file is the result of a scale run, by its first bytes."""
    with open(path, "rb") as file:
        return FILE_KIND.encode() in file.read(KIND_SEARCH_BYTES)


def read(path: str) -> Result:
    """Reads a result file; raises ScenarioError if it is incomplete or not a result."""
    with open(path, "rb") as file:
        try:
            return msgspec.json.decode(file.read(), type=Result)
        except msgspec.MsgspecError as error:
            raise ScenarioError(f"{path}: {error}") from None
