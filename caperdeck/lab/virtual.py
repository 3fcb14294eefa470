"""The same fleet in virtual time: the program's own service over in-memory transports, on one clock."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from caperdeck.core.decide import Node
from caperdeck.core.facade import Balancer
from caperdeck.lifecycle.config import decode_config
from caperdeck.lifecycle.service import Service
from caperdeck.wire.client import ClientFactory

from .clients import Clients
from .discovery import Discovery
from .fleet import CLIENTS_FROM, LEAVES, READY, Fleet
from .history import Event
from .hosts import Host, HostPort
from .scenario import Scenario, ScenarioError
from .setup import node_config
from .simulated.reactor import Place
from .simulated.world import World

EPOCH = 1_800_000_000_000.0  # Unix milliseconds at which every run begins


class _NoLog:
    """A node's log lines are dropped: the history has what counts."""

    def flush(self) -> None:
        pass


class Copy(Service):
    """The service as it is, but for signals and the port that only a real reactor has."""

    def mind_signals(self) -> None:
        pass

    def listen(self, fd: int = -1) -> None:
        address = self.config.listen
        self.port = self.reactor.listenTCP(address.port, ClientFactory(self.handler), 0, address.host)
        self.port.stopReading()


class VirtualFleet(Fleet):
    """A whole fleet in this process. `decides` makes the decisions of each node."""

    def __init__(
        self, scenario: Scenario, seed: int | None = None, decides: type[Node] = Node,
        settings: dict[str, Any] | None = None, watch: Callable[[Event], None] | None = None,
    ) -> None:  # fmt: skip
        if scenario.owners:
            raise ScenarioError("owners: instances run as real processes only")
        self.world = World()
        super().__init__(scenario, seed, watch)
        self.world.links, self.world.emit = self.links, self.history.emit
        self.decides, self.settings = decides, settings
        self.services: dict[str, Copy] = {}
        self.places: dict[str, Place] = {}
        self.wall_seconds = 0.0  # seconds of real time
        self._build()

    def now(self) -> float:
        return self.world.clock.rightNow * 1000.0

    # ---- the parts

    def _build(self) -> None:
        s, world, emit = self.scenario, self.world, self.history.emit
        hub = Place(world, "discovery")
        self.discovery = Discovery(hub, lambda: self.links.between(s.net.list_late), emit)
        self.hosts: dict[str, HostPort] = {}
        for i, name in enumerate(s.host_names()):
            host = Host(s, name, self.seed * 1000 + i, emit)
            port = self.hosts[name] = HostPort(Place(world, name), host, self.now)
            port.listen(f"127.1.0.{i + 1}", 9000)
        self.discovery.list_hosts(s)
        ends = {name: f"{port.address[0]}:{port.address[1]}" for name, port in self.hosts.items()}
        for i, name in enumerate(s.node_names()):
            agent = self.discovery.add(name, ends, Place(world, f"d{i}"))
            agent.listen(self._ip(3, i), 8500)
        addresses = {n: (self._ip(2, i), 9000) for i, n in enumerate(s.node_names())}
        self.peers = [f"{self._ip(4, i)}:7946" for i in range(s.nodes)]
        for i in range(s.nodes):
            world.everyone[self._ip(5, i), 7946] = [(self._ip(4, j), 7946) for j in range(s.nodes)]
        self.clients = Clients(Place(world, "clients"), s, self.seed + 77, addresses, self.now, emit)

    def _ip(self, net: int, i: int) -> str:
        return f"127.{net}.{i // 250}.{i % 250 + 1}"

    def start(self, node: str) -> None:
        if self.alive(node):
            return
        life = self.lives[node] = self.lives.get(node, 0) + 1
        i, place = int(node[1:]), Place(self.world, node)
        offset, drift = self.clock_skews.get(node, (0.0, 0.0))
        place.rate, place.offset = 1 + drift / 1000.0, offset / 1000.0
        raw = node_config(
            self.scenario, node, f"{self._ip(2, i)}:9000", f"{self._ip(3, i)}:8500", life, self.seed,
            self.peers, f"{self._ip(5, i)}:7946", self.peers[i], self.settings,
        )  # fmt: skip
        config = decode_config(raw)

        def clock() -> float:
            return EPOCH + place.seconds() * 1000.0

        copy = Copy(
            place, config, _NoLog(), lambda: config, clock, clock, self.scenario.uses(),
            subsets=self.scenario.subsets,
        )  # fmt: skip
        copy.handler.balancer = Balancer(config.settings, copy.clock(), self.decides)
        place.exited = lambda: self.process_ended(node, "exit")
        self.places[node], self.services[node] = place, copy
        copy.start()
        self.history.emit("life", who=node, state="up", life=life)
        self.later(READY, self.node_ready, node, life)

    # ---- what a fault asks for

    def later(self, wait: float, do: Callable[..., None], *args: Any) -> Any:
        return self.world.clock.callLater(wait, do, *args)

    def alive(self, node: str) -> bool:
        return node in self.places and self.places[node].up

    def kill(self, node: str) -> None:
        if self.alive(node):
            self.places[node].die()
            self.process_ended(node, "killed")

    def terminate(self, node: str) -> None:
        if self.alive(node):
            self.history.emit("life", who=node, state="stopping")
            self.places[node].callLater(0, self.services[node].stop)
            self.later(LEAVES, self.update_front_end, "leaves", node)

    def suspend(self, node: str) -> None:
        if self.alive(node) and not self.places[node].suspended:
            self.places[node].suspend()
            self.history.emit("life", who=node, state="asleep")

    def resume(self, node: str) -> None:
        if self.alive(node) and self.places[node].suspended:
            self.history.emit("life", who=node, state="awake")
            self.places[node].resume()

    def update_front_end(self, what: str, node: str) -> None:
        self.clients.node(what, node)

    def reset(self, a: str, b: str) -> None:
        for place in list(self.places.values()):
            for end in list(place.ends):
                if {place.name, end.far.name} == {a, b}:
                    end.peer.reset("far")
                    end.reset("far")

    def control_host(self, name: str, what: str, amount: float = 0.0) -> None:
        self.hosts[name].do(what, amount)

    def change_listing(self, name: str, state: str) -> None:
        self.discovery.change(name, state, EPOCH + self.hosts[name].host.born if state == "cold" else None)

    def set_discovery_silent(self, node: str, silent: bool) -> None:
        self.discovery.agents[node].set_silent(silent)

    # ---- the run

    def run(self) -> list[Event]:
        """Plays the scenario and a little longer; returns the history in the order of time."""
        logger.remove()
        gc.disable()  # what a run makes lives to its end
        began = time.perf_counter()
        self.apply_initial_clock_skews()
        for node in self.scenario.node_names():
            self.later(0.02 * self.links.chance(), self.start, node)
        self.timeline.start()
        self.later(CLIENTS_FROM, self.clients.start)
        self.later(self.scenario.seconds, self.clients.stop)
        try:
            self.world.clock.run(self.duration_s)
        finally:
            gc.enable()
        self.wall_seconds = time.perf_counter() - began
        return self.history.sorted()
