"""A worker process of the rig: the hosts, the discovery agents, the clients or the relay.

Commands arrive as lines of JSON on standard input, events are written to standard output. The worker exits
when its input ends, so that no process of a run outlives the rig.
"""

from __future__ import annotations

import os
import socket
import sys
import time
from typing import Any

import msgspec
from twisted.internet import stdio
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from twisted.protocols.basic import LineOnlyReceiver

from caperdeck.lifecycle.reactor import install_reactor

from .clients import Clients
from .discovery import Discovery
from .hosts import Host, HostServer
from .links import Links
from .ports import Ports
from .relay import Relay
from .scenario import Scenario, decode

reactor = install_reactor()

BEAT_INTERVAL_S = 0.02  # between checks of how late this process runs
LATE_THRESHOLD_MS = 30.0  # lateness above this is reported
HEADROOM_CONNECTIONS = 200  # made to measure the relay's capacity


class Worker:
    """Common part of the roles: a method `do_COMMAND` handles a command; the event `done` has its result."""

    def __init__(self, setup: dict[str, Any], origin: float, boot: float) -> None:
        self.scenario: Scenario = decode(setup["scenario"])
        self.seed, self.origin, self.origin_unix_ms = setup["seed"], origin, boot
        self.unsent_events: list[bytes] = []
        self.encode = msgspec.json.Encoder().encode
        self.next_check_at = 0.0

    def now(self) -> float:
        return time.monotonic() * 1000.0 - self.origin

    def emit(self, ev: str, **values: Any) -> None:
        if not self.unsent_events:
            reactor.callLater(0.005, self.flush)
        self.unsent_events.append(self.encode({"t": round(self.now(), 3), "ev": ev, **values}) + b"\n")

    def flush(self) -> None:
        unsent_events, self.unsent_events = self.unsent_events, []
        self.transport.write(b"".join(unsent_events))

    def check_lateness(self) -> None:
        now = self.now()
        if self.next_check_at and now - self.next_check_at > LATE_THRESHOLD_MS:
            self.emit("late", worker=type(self).__name__, ms=round(now - self.next_check_at, 1))
        self.next_check_at = now + BEAT_INTERVAL_S * 1000.0
        reactor.callLater(BEAT_INTERVAL_S, self.check_lateness)

    def do_zero(self, origin: float, boot: float) -> None:
        """Sets the origin of the run's times."""
        self.origin, self.origin_unix_ms, self.next_check_at = origin, boot, 0.0

    def run_command(self, command: dict[str, Any]) -> Any:
        return getattr(self, f"do_{command.pop('do')}")(**command)


class HostsWorker(Worker):
    def do_open(self) -> dict[str, Any]:
        self.servers: dict[str, HostServer] = {}
        self.reserved_ports = Ports()
        for i, name in enumerate(self.scenario.host_names()):
            host = Host(self.scenario, name, self.seed * 1000 + i, self.emit)
            self.servers[name] = HostServer(reactor, host, self.now)
            self.servers[name].listen("127.0.0.1", self.reserved_ports.reserve(socket.SOCK_STREAM))
        return {name: server.address for name, server in self.servers.items()}

    def do_host(self, name: str, what: str, amount: float) -> None:
        self.servers[name].apply_command(what, amount)
        if what == "start":
            self.emit("born", to=name, at=self.origin_unix_ms + self.servers[name].host.started_at)


class AgentsWorker(Worker):
    def do_open(self, places: dict[str, dict[str, str]]) -> dict[str, Any]:
        """Starts the agents, each with the addresses at which its node reaches the hosts."""
        links, span = Links(self.seed + 5, lambda a, b: (0.0, 0.0)), self.scenario.net.list_late
        self.discovery = Discovery(reactor, lambda: links.between(span), self.emit)
        self.discovery.list_hosts(self.scenario)
        return {n: self.discovery.add(n, ends).listen("127.0.0.1") for n, ends in places.items()}

    def do_list(self, name: str, state: str, boot: float | None) -> None:
        self.discovery.change(name, state, boot)

    def do_hush(self, node: str, silent: bool) -> None:
        self.discovery.agents[node].set_silent(silent)


class ClientsWorker(Worker):
    def do_open(self, addresses: dict[str, list]) -> None:
        node_addresses = {n: (host, port) for n, (host, port) in addresses.items()}
        self.clients = Clients(reactor, self.scenario, self.seed + 77, node_addresses, self.now, self.emit)

    def do_start(self) -> None:
        self.clients.start()

    def do_stop(self) -> None:
        self.clients.stop()

    def do_crowd(self, node: str, number_of: int) -> None:
        self.clients.open_idle_connections(node, number_of)

    def do_front(self, what: str, node: str) -> None:
        self.clients.update_node(what, node)


class RelayWorker(Worker):
    def do_open(self, ways: list, peers: dict[str, list]) -> dict[str, Any]:
        self.relay = Relay(reactor, Links(self.seed, self.scenario.delay), self.emit)
        self.relay.peers = {n: (host, port) for n, (host, port) in peers.items()}
        streams = [[a, b, self.relay.add_stream_route(a, b, (host, port))] for a, b, (host, port) in ways]
        nodes = list(peers)
        wires = [[a, b, self.relay.add_datagram_route(a, b)] for a in nodes for b in [*nodes, "*"] if a != b]
        return {"streams": streams, "wires": wires}

    def do_more(self, ways: list) -> list:
        return [[a, b, self.relay.add_stream_route(a, b, (host, port))] for a, b, (host, port) in ways]

    def do_down(self, name: str, down: bool) -> None:
        self.relay.set_down(name, down)

    def do_trouble(self, a: str, b: str, values: dict[str, Any]) -> None:
        self.relay.set_link_faults(a, b, values)

    def do_hold(self, a: str, b: str, on: bool) -> None:
        self.relay.hold(a, b, on)

    def do_reset(self, a: str, b: str) -> None:
        self.relay.reset(a, b)

    def do_headroom(self) -> None:
        """Measures how many connections per second the relay carries, each with a line either way."""
        echo = ServerFactory()
        echo.noisy, echo.protocol = False, _EchoServer
        port = reactor.listenTCP(0, echo, 512, "127.0.0.1")
        bound = port.getHost()
        relay_address = self.relay.add_stream_route("clients", "echo", (bound.host, bound.port))
        began, remaining = time.perf_counter(), [HEADROOM_CONNECTIONS]

        def connection_ended() -> None:
            remaining[0] -= 1
            if not remaining[0]:
                port.stopListening()
                self.relay.stream_routes.pop(("clients", "echo")).port.stopListening()
                # The work of the measuring side is included, so the relay carries at least this.
                self.emit("headroom", per_s=round(HEADROOM_CONNECTIONS / (time.perf_counter() - began), 1))
                self.next_check_at = 0.0

        for _ in range(HEADROOM_CONNECTIONS):
            reactor.connectTCP(*relay_address, _EchoClientFactory(connection_ended))


class _EchoServer(Protocol):
    def dataReceived(self, data: bytes) -> None:
        self.transport.write(data)


class _EchoClient(Protocol):
    def connectionMade(self) -> None:
        self.transport.write(b"OPEN 1 k\r\n")

    def dataReceived(self, data: bytes) -> None:
        self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:
        self.factory.done()


class _EchoClientFactory(ClientFactory):
    noisy = False
    protocol = _EchoClient

    def __init__(self, done: Any) -> None:
        self.done = done

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.done()


ROLES = {"hosts": HostsWorker, "agents": AgentsWorker, "clients": ClientsWorker, "relay": RelayWorker}


class Commands(LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 16 << 20
    worker: Worker | None = None

    def lineReceived(self, line: bytes) -> None:
        command = msgspec.json.decode(line)
        if self.worker is None:
            self.worker = ROLES[sys.argv[1]](command, command["origin"], command["boot"])
            self.worker.transport = self.transport
            self.worker.check_lateness()
            return
        number = command.pop("number")
        answer = self.worker.run_command(command)
        self.worker.emit("done", number=number, answer=answer)

    def connectionLost(self, reason: Any) -> None:
        os._exit(0)


def main() -> None:
    stdio.StandardIO(Commands())
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
