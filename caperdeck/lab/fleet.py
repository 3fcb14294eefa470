"""Common part of the real and the virtual fleet: links, faults, host restarts and node clocks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from .faults import HOST_LOSS_NOTICE_MS, Timeline
from .history import Event, History
from .links import Links
from .scenario import HOLDER_PREFIX, LEADER, Scenario

NODE_READY_DELAY_S = 0.5  # from a node's start until the front end uses it
CLIENT_START_S = 1.0  # the first client arrives
LEAVE_NOTICE_S = 0.3  # from SIGTERM until the front end stops using the node
TAIL_S = 0.5  # that a run continues after the last client's wait


class Fleet(ABC):
    """One run of a scenario; subclasses control the processes, the hosts and the host list."""

    def __init__(
        self, scenario: Scenario, seed: int | None, watch: Callable[[Event], None] | None = None,
    ) -> None:  # fmt: skip
        self.scenario = scenario
        self.seed = scenario.seed if seed is None else seed
        self.history = History(self.now)
        self.links = Links(self.seed, scenario.delay)
        self.timeline = Timeline(scenario, self, self.history.emit)
        self.history.watchers.append(self.timeline.observe)
        if watch is not None:
            self.history.watchers.append(watch)
        self.lives: dict[str, int] = {}
        self.clock_skews: dict[str, tuple[float, float]] = {}
        self.host_lives: dict[str, int] = dict.fromkeys(scenario.host_names(), 0)
        self.roles: dict[str, str] = {}  # the instance that leads, and the holder of each work
        self.history.watchers.append(self._update_roles)

    @property
    def duration_s(self) -> float:
        """The duration of the run."""
        return self.scenario.seconds + self.scenario.clients.wait / 1000.0 + TAIL_S

    def apply_initial_clock_skews(self) -> None:
        """Begins clock faults that are due at 0, before any node starts."""
        for i, fault in enumerate(self.scenario.fault):
            if fault.do == "clock" and fault.at == 0:
                self.timeline.begin_fault(i)

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
        """Supported by real processes only."""

    def step_wall_clock(self, node: str, offset: float) -> None:  # noqa: B027
        """Supported by real processes only: virtual ones have no wall clock of the machine."""

    def set_call_error_rate(self, node: str, rate: float) -> None:  # noqa: B027
        """Supported by real processes only: virtual ones make no system calls."""

    def reload(self, node: str) -> None:  # noqa: B027
        """Supported by real processes only: virtual ones receive no signals."""

    def upgrade(self, node: str) -> None:  # noqa: B027
        """Supported by real processes only: a virtual one cannot have a successor beside it."""

    def set_disk_error_rate(self, node: str, rate: float) -> None:  # noqa: B027
        """Supported by real processes only: virtual ones write no files."""

    def exclude_host(self, host: str, out: bool) -> None:  # noqa: B027
        """Supported by real processes only: virtual ones have no admin address."""

    def set_idle_connections(self, node: str, clients: int) -> None:  # noqa: B027
        """Supported by real processes only: virtual ones cannot run out of descriptors."""

    def hold(self, a: str, b: str, on: bool) -> None:  # noqa: B027
        """Supported by links between real processes only."""

    def emit_life(self, name: str, state: str, **values: Any) -> None:
        """Records a change of state of a node or instance process."""
        self.history.emit("instance" if name[0] == "o" else "life", who=name, state=state, **values)

    def process_ended(self, node: str, state: str) -> None:
        """Records the end of a process; the front end notices the death of a node."""
        self.emit_life(node, state)
        if node[0] == "n":
            self.update_front_end("died", node)

    def set_clock_skew(self, node: str, offset: float, drift: float) -> None:
        """Sets the offset and drift of a node's clock from its next start on."""
        self.clock_skews[node] = (offset, drift)

    def link_changed(self, a: str, b: str) -> None:  # noqa: B027
        """Called when the faults of a link have changed."""

    def apply_host_fault(self, name: str, do: str, amount: float) -> None:
        """Drains, kills, starts or breaks a host, and updates the host list with the delay of discovery."""
        if do == "drain":
            self.control_host(name, "drain")
            self.change_listing(name, "drain")
            span = self.scenario.hosts.drain_span / 1000.0
            self.later(span, self._end_host_life, name, self.host_lives[name])
        elif do == "kill":
            self.control_host(name, "stop")
            self.later(
                self.links.between(HOST_LOSS_NOTICE_MS) / 1000.0,
                self._end_host_life,
                name,
                self.host_lives[name],
            )
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
        """Lets the front end use a node, if it still runs in that life."""
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
        """Tells the front end of the clients that a node is `ready`, `leaves` or `died`."""

    @abstractmethod
    def control_host(self, name: str, what: str, amount: float = 0.0) -> None: ...

    @abstractmethod
    def change_listing(self, name: str, state: str) -> None:
        """Changes the state of a host on the list of discovery."""
