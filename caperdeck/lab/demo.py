"""A short demonstration: three nodes, five hosts, clients and one node killed, with a live display."""

from __future__ import annotations

from collections import Counter, deque

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from .history import Event
from .scenario import Scenario, decode

RECENT_LINES = 8  # recent events that are displayed


def demo_scenario() -> Scenario:
    return decode({
        "name": "demo", "seconds": 10, "nodes": 3, "hosts": {"count": 5}, "clients": {"rate": 25.0},
        "fault": [{"do": "kill", "of": "n1", "after": {"seen": "answer", "count": 80}, "for": 2.5}],
    })  # fmt: skip


class LiveView:
    """Counts events of the run and renders them as tables."""

    def __init__(self) -> None:
        self.state: dict[str, str] = {}
        self.count: Counter[tuple[str, str]] = Counter()
        self.sessions: Counter[str] = Counter()
        self.recent: deque[str] = deque(maxlen=RECENT_LINES)

    def __call__(self, e: Event) -> None:
        kind = e["ev"]
        if kind == "life":
            self.state[e["who"]] = e["state"]
            self.recent.append(f"{e['t'] / 1000:6.2f} s  node {e['who']} is {e['state']}")
        elif kind == "answer":
            self.count[e["who"], e["what"]] += 1
        elif kind == "dial":
            self.count[e["who"], "dials"] += 1
        elif kind == "ran":
            self.sessions[e["to"]] += 1
        elif kind == "gone":
            self.sessions[e["to"]] -= 1
        elif kind == "fault":
            what = "sets in" if e["on"] else "is over"
            self.recent.append(f"{e['t'] / 1000:6.2f} s  fault {e['do']} of {', '.join(e['of'])} {what}")

    def draw(self) -> Group:
        nodes = Table(title="nodes")
        for name in ("node", "state", "accepted", "refused", "unanswered", "dials"):
            nodes.add_column(name)
        for n in sorted(self.state):
            counts, state = self.count, self.state[n]
            colour = "green" if state in ("up", "awake") else "red"
            lost = counts[n, "none"] + counts[n, "closed"]
            shown = (counts[n, "up"], counts[n, "busy"], lost, counts[n, "dials"])
            nodes.add_row(n, Text(state, style=colour), *(str(x) for x in shown))
        hosts = Table(title="hosts")
        for h in sorted(self.sessions):
            hosts.add_column(h)
        hosts.add_row(*(str(self.sessions[h]) for h in sorted(self.sessions)))
        return Group(nodes, hosts, *(Text(line) for line in self.recent))


def live_view(console: Console) -> tuple[Live, LiveView]:
    view = LiveView()
    return Live(console=console, refresh_per_second=8, get_renderable=view.draw), view
