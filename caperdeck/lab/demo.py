"""The first thing to try: three nodes, five hosts, clients, and one node killed, shown as it runs."""

from __future__ import annotations

from collections import Counter, deque

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from .history import Event
from .scenario import Scenario, decode

SHOWN = 8  # of the last things that happened


def scenario() -> Scenario:
    return decode({
        "name": "demo", "seconds": 10, "nodes": 3, "hosts": {"count": 5}, "clients": {"rate": 25.0},
        "fault": [{"do": "kill", "of": "n1", "after": {"seen": "answer", "count": 80}, "for": 2.5}],
    })  # fmt: skip


class Show:
    """Counts what is seen; the screen draws it again a few times a second."""

    def __init__(self) -> None:
        self.state: dict[str, str] = {}
        self.count: Counter[tuple[str, str]] = Counter()
        self.held: Counter[str] = Counter()
        self.last: deque[str] = deque(maxlen=SHOWN)

    def __call__(self, e: Event) -> None:
        kind = e["ev"]
        if kind == "life":
            self.state[e["who"]] = e["state"]
            self.last.append(f"{e['t'] / 1000:6.2f} s  node {e['who']} is {e['state']}")
        elif kind == "answer":
            self.count[e["who"], e["what"]] += 1
        elif kind == "dial":
            self.count[e["who"], "dials"] += 1
        elif kind == "ran":
            self.held[e["to"]] += 1
        elif kind == "gone":
            self.held[e["to"]] -= 1
        elif kind == "fault":
            what = "sets in" if e["on"] else "is over"
            self.last.append(f"{e['t'] / 1000:6.2f} s  fault {e['do']} of {', '.join(e['of'])} {what}")

    def draw(self) -> Group:
        nodes = Table(title="nodes")
        for name in ("node", "state", "accepted", "refused", "unanswered", "dials"):
            nodes.add_column(name)
        for n in sorted(self.state):
            c, state = self.count, self.state[n]
            colour = "green" if state in ("up", "awake") else "red"
            lost = c[n, "none"] + c[n, "closed"]
            shown = (c[n, "up"], c[n, "busy"], lost, c[n, "dials"])
            nodes.add_row(n, Text(state, style=colour), *(str(x) for x in shown))
        hosts = Table(title="hosts")
        for h in sorted(self.held):
            hosts.add_column(h)
        hosts.add_row(*(str(self.held[h]) for h in sorted(self.held)))
        return Group(nodes, hosts, *(Text(line) for line in self.last))


def live(console: Console) -> tuple[Live, Show]:
    show = Show()
    return Live(console=console, refresh_per_second=8, get_renderable=show.draw), show
