"""What both drivers of a fleet share: links, faults, hosts' lives and the nodes' clocks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from .faults import NOTICE, Timeline
from .history import Event, History
from .links import Links
from .scenario import HOLDER_PREFIX, LEADER, Scenario

READY = 0.5  # seconds from a node's start until the front has taken it in
CLIENTS_FROM = 1.0  # seconds from the start of the run until the first client comes
LEAVES = 0.3  # seconds from SIGTERM until the front sends a node nobody more
AFTER = 0.5  # seconds that a run goes on after the last client's wait


class Fleet(ABC):
    """One run of a scenario; a driver says what is done to processes, hosts and the list."""

    def __init__(
        self, scenario: Scenario, seed: int | None, watch: Callable[[Event], None] | None = None,
    ) -> None:  # fmt: skip
        self.scenario = scenario
        self.seed = scenario.seed if seed is None else seed
        self.history = History(self.now)
        self.links = Links(self.seed, scenario.delay)
        self.timeline = Timeline(scenario, self, self.history.emit)
        self.history.watchers.append(self.timeline.saw)
        if watch is not None:
            self.history.watchers.append(watch)
        self.lives: dict[str, int] = {}
        self.clock_skews: dict[str, tuple[float, float]] = {}
        self.host_lives: dict[str, int] = dict.fromkeys(scenario.host_names(), 0)
        self.roles: dict[str, str] = {}  # who leads the instances, who holds a work
        self.history.watchers.append(self._update_roles)

    @property
    def duration_s(self) -> float:
        """Seconds that a run takes."""
        return self.scenario.seconds + self.scenario.clients.wait / 1000.0 + AFTER

    def apply_initial_clock_skews(self) -> None:
        for i, fault in enumerate(self.scenario.fault):
            if fault.do == "clock" and fault.at == 0:
                self.timeline.begin(i)

    def _update_roles(self, event: Event) -> None:
        if event["ev"] == "leader" and event["leader"] == event["who"]:
            self.roles[LEADER] = event["who"]
        elif event["ev"] == "held":
            self.roles[HOLDER_PREFIX + event["work"]] = event["who"]
        elif event["ev"] == "lost" and self.roles.get(HOLDER_PREFIX + event["work"]) == event["who"]:
            del self.roles[HOLDER_PREFIX + event["work"]]

    def endpoint_in_role(self, role: str) -> str | None:
        return self.roles.get(role)

    def suspend_at_act(self, owner: str, work: str, after: bool) -> None:  # noqa: B027
        """Only real processes have one."""

    def step_wall_clock(self, node: str, offset: float) -> None:  # noqa: B027
        """Only real processes have a clock of the machine's beside the run's."""

    def set_call_error_rate(self, node: str, rate: float) -> None:  # noqa: B027
        """Only real processes make system calls."""

    def reload(self, node: str) -> None:  # noqa: B027
        """Only real processes take signals."""

    def upgrade(self, node: str) -> None:  # noqa: B027
        """Only a real process can have a second one beside it."""

    def set_disk_error_rate(self, node: str, rate: float) -> None:  # noqa: B027
        """Only real processes have a folder."""

    def exclude_host(self, host: str, out: bool) -> None:  # noqa: B027
        """Only real processes have a second address."""

    def set_idle_connections(self, node: str, clients: int) -> None:  # noqa: B027
        """Only real processes run out of descriptors."""

    def hold(self, a: str, b: str, on: bool) -> None:  # noqa: B027
        """Only links between real processes do."""

    def emit_life(self, name: str, state: str, **values: Any) -> None:
        """What has become of a process: a node's, or an instance's."""
        self.history.emit("instance" if name[0] == "o" else "life", who=name, state=state, **values)

    def process_ended(self, node: str, state: str) -> None:
        self.emit_life(node, state)
        if node[0] == "n":
            self.update_front_end("died", node)

    def set_clock_skew(self, node: str, offset: float, drift: float) -> None:
        """Takes effect with the node's next start."""
        self.clock_skews[node] = (offset, drift)

    def link_changed(self, a: str, b: str) -> None:  # noqa: B027
        """The link's troubles are other ones now."""

    def apply_host_fault(self, name: str, do: str, amount: float) -> None:
        if do == "drain":
            self.control_host(name, "drain")
            self.change_listing(name, "drain")
            span = self.scenario.hosts.drain_span / 1000.0
            self.later(span, self._end_host_life, name, self.host_lives[name])
        elif do == "kill":
            self.control_host(name, "stop")
            self.later(self.links.between(NOTICE) / 1000.0, self._end_host_life, name, self.host_lives[name])
        elif do == "start":
            self.host_lives[name] += 1
            self.control_host(name, "start")
            self.change_listing(name, "cold")
        else:
            self.control_host(name, "ill", amount if do == "ill" else 0.0)

    def _end_host_life(self, name: str, life: int) -> None:
        if self.host_lives[name] == life:
            self.control_host(name, "stop")
            self.change_listing(name, "gone")

    def node_ready(self, node: str, life: int) -> None:
        if self.alive(node) and self.lives[node] == life:
            self.update_front_end("ready", node)

    @abstractmethod
    def now(self) -> float:
        """Milliseconds since the run began."""

    @abstractmethod
    def later(self, wait: float, do: Callable[..., None], *args: Any) -> Any: ...

    @abstractmethod
    def alive(self, node: str) -> bool: ...

    @abstractmethod
    def update_front_end(self, what: str, node: str) -> None:
        """The clients' front learns that a node is ready, leaves or died."""

    @abstractmethod
    def control_host(self, name: str, what: str, amount: float = 0.0) -> None: ...

    @abstractmethod
    def change_listing(self, name: str, state: str) -> None:
        """Discovery's list changes."""
