"""A process of many stub nodes: the service of `caperdeck serve` without the protocol front end for clients.

Each node has its own service object, datagram socket, admin address and discovery watch, as a `serve` process
with --sharing and --owners has; docs/scale.md lists what is left out. The process reads its plan as one line
from standard input and ends when its input is closed.
"""

from __future__ import annotations

import gc
import sys
import time
from dataclasses import replace
from typing import Any

import msgspec
import psutil
from twisted.internet import stdio

from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lab.parent_death import end_with_parent
from caperdeck.lab.plan_reader import OrderHandler, OutputWriter, PlanReader
from caperdeck.lab.scenario import Scenario, decode
from caperdeck.lab.setup import node_config
from caperdeck.lifecycle.config import Config, decode_config
from caperdeck.lifecycle.logs import start_logging
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.lifecycle.service import Service
from caperdeck.ops.admin_server import AdminConnection, AdminServer
from caperdeck.owner.config import OwnerEndpoints
from caperdeck.peers.swim import MemberState
from caperdeck.state.addresses import parse_address

from .heartbeat import HEARTBEAT_INTERVAL_S, HeartbeatMonitor
from .plan import Command, Plan, Sample
from .traffic import Traffic, count_received_datagrams, count_traffic

reactor = install_reactor()

CONVERGED_SHARE = 0.9  # share of the members that must be in a state before it counts as known
UNUSED_CLIENT_ADDRESS = "127.0.0.1:9"  # required by the configuration; a stub node does not listen there


class CountingAdminServer(AdminServer):
    """Counts the accepted connections."""

    def __init__(self, reactor: Any, calls: Any, traffic: Traffic) -> None:
        super().__init__(reactor, calls)
        self.traffic = traffic

    def connection_opened(self, connection: AdminConnection) -> None:
        self.traffic.connections_in += 1
        super().connection_opened(connection)


class StubNode(Service):
    """A service without clients and signal handlers that leaves the log of its process unchanged."""

    def start_control(self, traffic: Traffic) -> None:
        """Starts the parts of the service that need no clients: discovery, admin server and membership."""
        self.load_hosts(self.config.known_hosts)
        self.discovery.start()
        CountingAdminServer(self.reactor, self.calls, traffic).listen(self.config.admin)
        self.start_sweeping()
        self.takes_clients = True
        self.join_peers()
        if self.peers is not None:
            count_received_datagrams(traffic, self.peers)

    def set_accepting(self, on: bool) -> None:
        """Does nothing: there is no port for clients."""

    def exit(self, code: int = 0) -> None:
        """Does nothing: the nodes of a process end together with it."""


def alive_share(states: list[MemberState], members: int) -> float:
    """The share of the members that are alive in one node's membership view."""
    return states.count(MemberState.ALIVE) / members


def sees_silent(swim: Any, watched: list[int]) -> bool:
    """Whether 9 in 10 of the watched members that the node has ever known are silent in its view."""
    known, silent = [i for i in watched if swim.life[i]], MemberState.SILENT
    return bool(known) and sum(swim.state[i] is silent for i in known) >= CONVERGED_SHARE * len(known)


def sees_restarted(swim: Any, incarnations: dict[int, int]) -> bool:
    """Whether 9 in 10 of the watched members are alive with a later incarnation than the given one."""
    alive = MemberState.ALIVE
    restarted = sum(
        swim.state[i] is alive and swim.life[i] > incarnation for i, incarnation in incarnations.items()
    )
    return bool(incarnations) and restarted >= CONVERGED_SHARE * len(incarnations)


def limit_gc_to_new_objects() -> None:
    """Enables the garbage collector for objects that are created after this call.

    It would otherwise traverse all nodes of the process at once, a pause that a node in its own process does
    not have.
    """
    gc.freeze()
    gc.enable()


class StubProcess:
    """Creates the nodes of a plan one after another, and writes samples of their state at intervals."""

    def __init__(self, plan: Plan, traffic: Traffic, write: Any) -> None:
        self.plan, self.traffic, self.write = plan, traffic, write
        self.scenario: Scenario = decode(plan.scenario)
        self.sink = start_logging("ERROR")
        self.nodes: list[StubNode] = []
        self.watched: list[int] = []
        self.incarnations: list[dict[int, int]] = []  # by node: of the watched members, when the watch began
        self.heartbeat = HeartbeatMonitor(plan.beat_ms)
        self.base_uss = psutil.Process().memory_full_info().uss
        self.made_s = 0.0
        self.encode = msgspec.json.Encoder().encode
        owners = OwnerEndpoints(plan.cluster, tuple(parse_address(a) for a in plan.instances))
        # Keyword arguments of Service that `serve` sets from its flags.
        self.service_options: dict[str, Any] = {
            "uses": SharingFeatures(**dict.fromkeys(plan.sharing, True)),
            "owners": owners,
        }

    def start(self) -> None:
        # The garbage collector would traverse all existing nodes again and again while more are created.
        gc.disable()
        reactor.callLater(0, self.start_next_node)
        reactor.callLater(self.plan.sample, self.send_sample)

    def start_next_node(self) -> None:
        """Creates one node, so that the reactor runs between two of them."""
        cpu_before, index = time.process_time(), len(self.nodes)
        config = self.config(self.plan.numbers[index], self.plan.addresses[index])
        node = StubNode(reactor, config, self.sink, lambda: config, **self.service_options)
        node.start_control(self.traffic)
        self.nodes.append(node)
        self.made_s += time.process_time() - cpu_before
        if self.ready:
            limit_gc_to_new_objects()
            self.heartbeat.reset(time.monotonic())
            self.record_heartbeat()
        else:
            reactor.callLater(0, self.start_next_node)

    @property
    def ready(self) -> bool:
        """Whether all nodes are started."""
        return len(self.nodes) == len(self.plan.numbers)

    def config(self, number: int, address: str) -> Config:
        """The configuration of one node, as a `serve` process would read it from its file."""
        plan = self.plan
        raw = node_config(
            self.scenario, f"n{number}", UNUSED_CLIENT_ADDRESS, plan.discovery, plan.life, plan.seed, (), "",
            address, settings={"fleetSize": len(plan.peers)}, admin=address,
        )  # fmt: skip
        config = decode_config(raw)
        # Each node parses the peer addresses itself, at the cost that a node in its own process has.
        return replace(config, peers=config.peers._replace(addresses=plan.peers, all_peers_address=None))

    def record_heartbeat(self) -> None:
        self.heartbeat.record_beat(time.monotonic())
        reactor.callLater(HEARTBEAT_INTERVAL_S, self.record_heartbeat)

    def membership_views(self) -> list[Any]:
        return [node.peers.sharing.swim for node in self.nodes if node.peers is not None]

    def handle_command(self, command: Command) -> None:
        if command.zero_beats:
            self.heartbeat.reset(time.monotonic())
        if command.watch is not None:
            self.watched = command.watch
            self.incarnations = [{i: swim.life[i] for i in command.watch} for swim in self.membership_views()]

    def send_sample(self) -> None:
        reactor.callLater(self.plan.sample, self.send_sample)
        self.write(self.encode(self.sample()) + b"\n")

    def sample(self) -> Sample:
        views = self.membership_views()
        shares = [alive_share(swim.state, swim.members) for swim in views]
        watched, incarnations = self.watched, self.incarnations
        return Sample(
            nodes=len(views), ready=self.ready, know_most=sum(share >= CONVERGED_SHARE for share in shares),
            known=sum(shares) / max(len(shares), 1),
            told=sum(node.owned_node.target.epoch > 0 for node in self.nodes),
            watched_dead=sum(sees_silent(swim, watched) for swim in views),
            watched_alive=sum(map(sees_restarted, views, incarnations)),
            cpu=time.process_time(), base_uss=self.base_uss, traffic=self.traffic, late=self.heartbeat.stats,
            made_s=self.made_s,
        )  # fmt: skip


def main() -> int:
    end_with_parent()
    traffic = count_traffic()

    def begin(plan: Plan, write: OutputWriter) -> OrderHandler:
        process = StubProcess(plan, traffic, write)
        process.start()
        return lambda line: process.handle_command(msgspec.json.decode(line, type=Command))

    stdio.StandardIO(PlanReader(Plan, begin))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
