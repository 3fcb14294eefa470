"""The JSON file of a run: scenario, what was measured, the checks, and the word on them."""

from __future__ import annotations

import msgspec

from caperdeck.lab.scenario import ScenarioError

from .checks import Check, exit_code, judge, void_reasons
from .measured import KIND, Measured
from .scenario import ScaleScenario

HEAD = len(KIND) + 40  # bytes in which the kind of file stands


class Result(msgspec.Struct):
    scenario: ScaleScenario
    measured: Measured
    checks: list[Check]
    void: list[str]
    code: int
    kind: str = KIND


def conclude(scenario: ScaleScenario, measured: Measured) -> Result:
    checks = judge(scenario, measured)
    void = void_reasons(scenario, measured, checks)
    return Result(scenario, measured, checks, void, exit_code(checks, void))


def write(path: str, result: Result) -> None:
    body = {"kind": KIND, **msgspec.to_builtins(result)}
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(body) + b"\n")


def is_result(path: str) -> bool:
    with open(path, "rb") as file:
        return KIND.encode() in file.read(HEAD)


def read(path: str) -> Result:
    """Raises ScenarioError where the file is no whole result."""
    with open(path, "rb") as file:
        try:
            return msgspec.json.decode(file.read(), type=Result)
        except msgspec.MsgspecError as error:
            raise ScenarioError(f"{path}: {error}") from None
