"""The node's figures: plain counters, kept where a thing happens once, and their text. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum


class Status(IntEnum):
    """The final answer of a session."""

    FULFILLED = 0
    THROTTLED = 1
    FAULTED = 2


class Figures:
    def __init__(self) -> None:
        self.operations: dict[str, list[int]] = {}  # by class, in the order of Status
        self.relayed = 0  # heads written whole to hosts
        self.accepted = 0  # files taken at SIGHUP
        self.invalid = 0  # and turned down
        self.overdue = 0  # sessions answered only as a sweep found them past their time
        self.date_steps = 0  # of the wall clock
        self.ended: Counter[str] = Counter()  # sessions by the reason why they ended
        self.dials: Counter[str] = Counter()  # dials that did not come to stand, by outcome

    def know(self, classes: Iterable[str]) -> None:
        """Classes of the settings; one that is dropped later keeps its counts."""
        for name in classes:
            self.operations.setdefault(name, [0] * len(Status))

    def answered(self, name: str, status: Status) -> None:
        # Danger: a name that a client made up would become a label, and each of them a line for good.
        if name in self.operations:
            self.operations[name][status] += 1

    def tries(self) -> int:
        """Answers that clients have had; grows only."""
        return sum(sum(counts) for counts in self.operations.values())

    def lines(self, gauges: dict[str, int]) -> list[str]:
        lines = [
            f'app_operations_total{{priority="{escaped(name)}",status="{status.name.lower()}"}} '
            f"{counts[status]}"
            for name, counts in self.operations.items() for status in Status
        ]  # fmt: skip
        totals = {
            "relayed_total": self.relayed, "cfg_accepted_total": self.accepted,
            "cfg_invalid_total": self.invalid, "overdue_answers_total": self.overdue,
            "date_steps_total": self.date_steps,
        }  # fmt: skip
        lines += [f'app_ended_total{{reason="{reason}"}} {n}' for reason, n in self.ended.items()]
        lines += [f'app_failed_dials_total{{outcome="{name}"}} {n}' for name, n in self.dials.items()]
        return lines + [f"app_{name} {value}" for name, value in (totals | gauges).items()]


def escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
