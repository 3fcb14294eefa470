"""Runs a scenario in virtual time: the program's own service over in-memory transports, on one clock."""

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
from .fleet import CLIENT_START_S, LEAVE_NOTICE_S, NODE_READY_DELAY_S, Fleet
from .history import Event
from .hosts import Host, HostServer
from .scenario import Scenario, ScenarioError
from .setup import node_config
from .simulated.reactor import SimulatedReactor
from .simulated.world import World

EPOCH_MS = 1_800_000_000_000.0  # Unix time at which every run begins


class _NoLog:
    """Drops the log of a node; the history has all that is checked."""

    def flush(self) -> None:
        pass


class SimulatedService(Service):
    """The service without signal handlers, and with a port of the simulated reactor."""

    def install_signal_handlers(self) -> None:
        pass

    def listen(self, fd: int = -1) -> None:
        address = self.config.listen
        self.port = self.reactor.listenTCP(address.port, ClientFactory(self.handler), 0, address.host)
        self.port.stopReading()


class VirtualFleet(Fleet):
    """A whole fleet in this process; `node_type` makes the decisions of each node."""

    def __init__(
        self, scenario: Scenario, seed: int | None = None, node_type: type[Node] = Node,
        settings: dict[str, Any] | None = None, watch: Callable[[Event], None] | None = None,
    ) -> None:  # fmt: skip
        if scenario.owners:
            raise ScenarioError("owners: instances run as real processes only")
        self.world = World()
        super().__init__(scenario, seed, watch)
        self.world.links, self.world.emit = self.links, self.history.emit
        self.node_type, self.settings = node_type, settings
        self.services: dict[str, SimulatedService] = {}
        self.places: dict[str, SimulatedReactor] = {}
        self.wall_seconds = 0.0  # real time that the run took
        self._build()

    def now(self) -> float:
        return self.world.clock.rightNow * 1000.0

    # ---- set-up

    def _build(self) -> None:
        scenario, world, emit = self.scenario, self.world, self.history.emit
        hub = SimulatedReactor(world, "discovery")
        self.discovery = Discovery(hub, lambda: self.links.between(scenario.net.list_late), emit)
        self.hosts: dict[str, HostServer] = {}
        for i, name in enumerate(scenario.host_names()):
            host = Host(scenario, name, self.seed * 1000 + i, emit)
            server = self.hosts[name] = HostServer(SimulatedReactor(world, name), host, self.now)
            server.listen(f"127.1.0.{i + 1}", 9000)
        self.discovery.list_hosts(scenario)
        host_addresses = {
            name: f"{server.address[0]}:{server.address[1]}" for name, server in self.hosts.items()
        }
        for i, name in enumerate(scenario.node_names()):
            agent = self.discovery.add(name, host_addresses, SimulatedReactor(world, f"d{i}"))
            agent.listen(self._ip(3, i), 8500)
        addresses = {n: (self._ip(2, i), 9000) for i, n in enumerate(scenario.node_names())}
        self.peers = [f"{self._ip(4, i)}:7946" for i in range(scenario.nodes)]
        for i in range(scenario.nodes):
            world.broadcast_members[self._ip(5, i), 7946] = [
                (self._ip(4, j), 7946) for j in range(scenario.nodes)
            ]
        self.clients = Clients(
            SimulatedReactor(world, "clients"), scenario, self.seed + 77, addresses, self.now, emit
        )

    def _ip(self, net: int, i: int) -> str:
        return f"127.{net}.{i // 250}.{i % 250 + 1}"

    def start(self, node: str) -> None:
        if self.alive(node):
            return
        life = self.lives[node] = self.lives.get(node, 0) + 1
        i, place = int(node[1:]), SimulatedReactor(self.world, node)
        offset, drift = self.clock_skews.get(node, (0.0, 0.0))
        place.rate, place.offset = 1 + drift / 1000.0, offset / 1000.0
        config_data = node_config(
            self.scenario, node, f"{self._ip(2, i)}:9000", f"{self._ip(3, i)}:8500", life, self.seed,
            self.peers, f"{self._ip(5, i)}:7946", self.peers[i], self.settings,
        )  # fmt: skip
        config = decode_config(config_data)

        def clock() -> float:
            return EPOCH_MS + place.seconds() * 1000.0

        service = SimulatedService(
            place, config, _NoLog(), lambda: config, clock, clock, self.scenario.sharing_features(),
            subsets=self.scenario.subsets,
        )  # fmt: skip
        service.handler.balancer = Balancer(config.settings, service.clock(), self.node_type)
        place.on_exit = lambda: self.process_ended(node, "exit")
        self.places[node], self.services[node] = place, service
        service.start()
        self.history.emit("life", who=node, state="up", life=life)
        self.later(NODE_READY_DELAY_S, self.node_ready, node, life)

    # ---- operations for faults

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
            self.later(LEAVE_NOTICE_S, self.update_front_end, "leaves", node)

    def suspend(self, node: str) -> None:
        if self.alive(node) and not self.places[node].suspended:
            self.places[node].suspend()
            self.history.emit("life", who=node, state="asleep")

    def resume(self, node: str) -> None:
        if self.alive(node) and self.places[node].suspended:
            self.history.emit("life", who=node, state="awake")
            self.places[node].resume()

    def update_front_end(self, what: str, node: str) -> None:
        self.clients.update_node(what, node)

    def reset(self, a: str, b: str) -> None:
        for place in list(self.places.values()):
            for end in list(place.connections):
                if {place.name, end.peer_process.name} == {a, b}:
                    end.peer.reset("far")
                    end.reset("far")

    def control_host(self, name: str, what: str, amount: float = 0.0) -> None:
        self.hosts[name].apply_command(what, amount)

    def change_listing(self, name: str, state: str) -> None:
        self.discovery.change(
            name, state, EPOCH_MS + self.hosts[name].host.started_at if state == "cold" else None
        )

    def set_discovery_silent(self, node: str, silent: bool) -> None:
        self.discovery.agents[node].set_silent(silent)

    # ---- the run

    def run(self) -> list[Event]:
        """Runs the scenario to the end of the last client's wait; returns the history ordered by time."""
        logger.remove()
        gc.disable()  # most objects of a run live to its end
        began = time.perf_counter()
        self.apply_initial_clock_skews()
        for node in self.scenario.node_names():
            self.later(0.02 * self.links.chance(), self.start, node)
        self.timeline.start()
        self.later(CLIENT_START_S, self.clients.start)
        self.later(self.scenario.seconds, self.clients.stop)
        try:
            self.world.clock.run(self.duration_s)
        finally:
            gc.enable()
        self.wall_seconds = time.perf_counter() - began
        return self.history.sorted()
