"""A process of many hollow nodes: the service of `caperdeck serve` without the front for clients.

Each node has its own service object, datagram socket, second address and watch on discovery, as a `serve`
process with --sharing and --owners has; docs/scale.md lists what is left out. The process is told its plan by
one line on its standard input and ends with it.
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

from caperdeck.lab.parent_death import end_with_parent
from caperdeck.lab.plan_reader import PlanReader, OrderHandler, OutputWriter
from caperdeck.lab.scenario import Scenario, decode
from caperdeck.lab.setup import node_config
from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lifecycle.config import Config, decode_config
from caperdeck.lifecycle.logs import start_logging
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.lifecycle.service import Service
from caperdeck.ops.admin_server import AdminConnection, AdminServer
from caperdeck.owner.config import OwnerEndpoints
from caperdeck.peers.swim import MemberState
from caperdeck.state.addresses import parse_address

from .heartbeat import BEAT, Beats
from .plan import Order, Plan, Sample
from .traffic import Traffic, count_received_datagrams, count_traffic

reactor = install_reactor()

MOST = 0.9  # of the members
NO_CLIENTS = "127.0.0.1:9"  # where a hollow node would listen for clients


class CountedAdminServer(AdminServer):
    def __init__(self, reactor: Any, calls: Any, traffic: Traffic) -> None:
        super().__init__(reactor, calls)
        self.traffic = traffic

    def connection_opened(self, caller: AdminConnection) -> None:
        self.traffic.connections_in += 1
        super().connection_opened(caller)


class HollowNode(Service):
    """A service that takes no clients, minds no signals and leaves its process's log alone."""

    def start_control(self, traffic: Traffic) -> None:
        self.load_hosts(self.config.known_hosts)
        self.discovery.start()
        CountedAdminServer(self.reactor, self.calls, traffic).listen(self.config.admin)
        self.start_sweeping()
        self.takes_clients = True
        self.join_peers()
        if self.peers is not None:
            count_received_datagrams(traffic, self.peers)

    def set_accepting(self, on: bool) -> None:
        """There is no port for clients."""

    def exit(self, code: int = 0) -> None:
        """The process ends as a whole."""


def knows(states: list[MemberState], members: int) -> float:
    """The share of the members that a view has as alive."""
    return states.count(MemberState.ALIVE) / members


def holds_dead(swim: Any, watched: list[int]) -> bool:
    """Whether 9 in 10 of the watched members that the view ever knew are silent in it."""
    seen, silent = [i for i in watched if swim.life[i]], MemberState.SILENT
    return bool(seen) and sum(swim.state[i] is silent for i in seen) >= MOST * len(seen)


def holds_alive(swim: Any, lives: dict[int, int]) -> bool:
    """Whether 9 in 10 of the watched members are alive in another life than the one given."""
    alive = MemberState.ALIVE
    back = sum(swim.state[i] is alive and swim.life[i] > life for i, life in lives.items())
    return bool(lives) and back >= MOST * len(lives)


def collect_from_now_on() -> None:
    """Lets the collector look at what is made after this call only.

    It walks all nodes of the process in one go otherwise, a pause that no node with a process of its own has.
    """
    gc.freeze()
    gc.enable()


class HollowProcess:
    def __init__(self, plan: Plan, traffic: Traffic, write: Any) -> None:
        self.plan, self.traffic, self.write = plan, traffic, write
        self.scenario: Scenario = decode(plan.scenario)
        self.sink = start_logging("ERROR")
        self.nodes: list[HollowNode] = []
        self.watched: list[int] = []
        self.lives: list[dict[int, int]] = []  # by node: of the members that are watched, as it knew them
        self.beats = Beats(plan.beat_ms)
        self.base_uss = psutil.Process().memory_full_info().uss
        self.made_s = 0.0
        self.encode = msgspec.json.Encoder().encode
        owners = OwnerEndpoints(plan.cluster, tuple(parse_address(a) for a in plan.instances))
        # what `serve` is given by its flags, by keyword; another part of control is one more row
        self.flags: dict[str, Any] = {
            "uses": SharingFeatures(**dict.fromkeys(plan.sharing, True)),
            "owners": owners,
        }

    def start(self) -> None:
        # Danger: the collector would walk all nodes made so far again and again while more are made.
        gc.disable()
        reactor.callLater(0, self.start_next)
        reactor.callLater(self.plan.sample, self.tell)

    def start_next(self) -> None:
        began, i = time.process_time(), len(self.nodes)
        config = self.config(self.plan.numbers[i], self.plan.addresses[i])
        node = HollowNode(reactor, config, self.sink, lambda: config, **self.flags)
        node.start_control(self.traffic)
        self.nodes.append(node)
        self.made_s += time.process_time() - began
        if self.ready:
            collect_from_now_on()
            self.beats.zero(time.monotonic())
            self.beat()
        else:
            reactor.callLater(0, self.start_next)

    @property
    def ready(self) -> bool:
        return len(self.nodes) == len(self.plan.numbers)

    def config(self, number: int, address: str) -> Config:
        plan = self.plan
        raw = node_config(
            self.scenario, f"n{number}", NO_CLIENTS, plan.discovery, plan.life, plan.seed, (), "", address,
            settings={"fleetSize": len(plan.peers)}, admin=address,
        )  # fmt: skip
        config = decode_config(raw)
        # a process reads its own list of peers; here each node's is taken apart on its own all the same
        return replace(config, peers=config.peers._replace(addresses=plan.peers, all_peers_address=None))

    def beat(self) -> None:
        self.beats.beat(time.monotonic())
        reactor.callLater(BEAT, self.beat)

    def views(self) -> list[Any]:
        return [node.peers.sharing.swim for node in self.nodes if node.peers is not None]

    def order(self, order: Order) -> None:
        if order.zero_beats:
            self.beats.zero(time.monotonic())
        if order.watch is not None:
            self.watched = order.watch
            self.lives = [{i: swim.life[i] for i in order.watch} for swim in self.views()]

    def tell(self) -> None:
        reactor.callLater(self.plan.sample, self.tell)
        self.write(self.encode(self.sample()) + b"\n")

    def sample(self) -> Sample:
        views = self.views()
        shares = [knows(swim.state, swim.members) for swim in views]
        watched, lives = self.watched, self.lives
        return Sample(
            nodes=len(views), ready=self.ready, know_most=sum(share >= MOST for share in shares),
            known=sum(shares) / max(len(shares), 1),
            told=sum(node.owned_node.target.epoch > 0 for node in self.nodes),
            watched_dead=sum(holds_dead(swim, watched) for swim in views),
            watched_alive=sum(map(holds_alive, views, lives)),
            cpu=time.process_time(), base_uss=self.base_uss, traffic=self.traffic, late=self.beats.late,
            made_s=self.made_s,
        )  # fmt: skip


def main() -> int:
    end_with_parent()
    traffic = count_traffic()

    def begin(plan: Plan, write: OutputWriter) -> OrderHandler:
        process = HollowProcess(plan, traffic, write)
        process.start()
        return lambda line: process.order(msgspec.json.decode(line, type=Order))

    stdio.StandardIO(PlanReader(Plan, begin))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
