"""The node's metrics: counters in memory, and their text form. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum


class Status(IntEnum):
    """The final answer to a client's request for a session."""

    FULFILLED = 0
    THROTTLED = 1
    FAULTED = 2


class Metrics:
    """Counters that only grow; each is incremented at one place in the code."""

    def __init__(self) -> None:
        self.answers: dict[str, list[int]] = {}  # by class, indexed by Status
        self.relayed_requests = 0  # request lines written to hosts in full
        self.accepted_configs = 0
        self.rejected_configs = 0
        self.overdue_answers = 0  # sessions past their deadline that only the periodic sweep answered
        self.date_steps = 0  # steps of the wall clock
        self.ended_sessions: Counter[str] = Counter()  # by reason
        self.failed_dials: Counter[str] = Counter()  # by outcome

    def add_classes(self, classes: Iterable[str]) -> None:
        """Starts counting the classes of new settings; classes that were dropped keep their counts."""
        for name in classes:
            self.answers.setdefault(name, [0] * len(Status))

    def count_answer(self, name: str, status: Status) -> None:
        # Only configured classes are counted: otherwise every name that a client makes up would become a
        # label, and a line of the output for good.
        if name in self.answers:
            self.answers[name][status] += 1

    def total_answers(self) -> int:
        """Returns the number of final answers to clients."""
        return sum(sum(counts) for counts in self.answers.values())

    def lines(self, gauges: dict[str, int]) -> list[str]:
        """Returns all metrics in the text form of Prometheus."""
        lines = [
            f'app_operations_total{{priority="{escaped(name)}",status="{status.name.lower()}"}} '
            f"{counts[status]}"
            for name, counts in self.answers.items() for status in Status
        ]  # fmt: skip
        totals = {
            "relayed_total": self.relayed_requests, "cfg_accepted_total": self.accepted_configs,
            "cfg_invalid_total": self.rejected_configs, "overdue_answers_total": self.overdue_answers,
            "date_steps_total": self.date_steps,
        }  # fmt: skip
        lines += [f'app_ended_total{{reason="{reason}"}} {n}' for reason, n in self.ended_sessions.items()]
        lines += [f'app_failed_dials_total{{outcome="{name}"}} {n}' for name, n in self.failed_dials.items()]
        return lines + [f"app_{name} {value}" for name, value in (totals | gauges).items()]


def escaped(label: str) -> str:
    """Escapes a label value."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
