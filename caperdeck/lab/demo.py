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
    """The scenario of the demonstration."""
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

    def __call__(self, event: Event) -> None:
        kind = event["ev"]
        if kind == "life":
            self.state[event["who"]] = event["state"]
            self.recent.append(f"{event['t'] / 1000:6.2f} s  node {event['who']} is {event['state']}")
        elif kind == "answer":
            self.count[event["who"], event["what"]] += 1
        elif kind == "dial":
            self.count[event["who"], "dials"] += 1
        elif kind == "ran":
            self.sessions[event["to"]] += 1
        elif kind == "gone":
            self.sessions[event["to"]] -= 1
        elif kind == "fault":
            what = "begins" if event["on"] else "ends"
            self.recent.append(
                f"{event['t'] / 1000:6.2f} s  fault {event['do']} of {', '.join(event['of'])} {what}"
            )

    def draw(self) -> Group:
        nodes = Table(title="nodes")
        for name in ("node", "state", "accepted", "refused", "unanswered", "dials"):
            nodes.add_column(name)
        for node in sorted(self.state):
            counts, state = self.count, self.state[node]
            colour = "green" if state in ("up", "awake") else "red"
            unanswered = counts[node, "none"] + counts[node, "closed"]
            cells = (counts[node, "up"], counts[node, "busy"], unanswered, counts[node, "dials"])
            nodes.add_row(node, Text(state, style=colour), *(str(x) for x in cells))
        hosts = Table(title="hosts")
        for host in sorted(self.sessions):
            hosts.add_column(host)
        hosts.add_row(*(str(self.sessions[host]) for host in sorted(self.sessions)))
        return Group(nodes, hosts, *(Text(line) for line in self.recent))


def live_view(console: Console) -> tuple[Live, LiveView]:
    """A live display, and the view that it draws and that receives the events."""
    view = LiveView()
    return Live(console=console, refresh_per_second=8, get_renderable=view.draw), view
