"""Simulated nodes for owners of work, many in one process: the production target behind its admin address.

The first argument is the control port, the others are the nodes' ports. On the control port, the call
`begin NODES INSTANCE` starts that many nodes for the instance at this address, and `figures` answers with
the counters of all nodes together.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec
import orjson

from caperdeck.leases.target import Target
from caperdeck.lifecycle.owners import MAX_ACT_ARGUMENT_BYTES
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.ops.admin_calls import Answer, AdminCalls, AnswerCallback, nak, ack
from caperdeck.ops.admin_server import AdminConnection, AdminServer
from caperdeck.owner.token_recovery import TokenRecovery
from caperdeck.owner.config import OwnerEndpoints
from caperdeck.state.addresses import Address, parse_address

from .instances import CLUSTER, LOOPBACK

reactor = install_reactor()

HOST_UIDS = [f"s-{i}" for i in range(50)]  # on each node's list; none ever fails
LINE_END_BYTES = 2


class TargetCounters(msgspec.Struct):
    """Counters of all nodes together since the last `begin`."""

    connections: int = 0
    bytes: int = 0  # of lines, in both directions
    refused: int = 0
    reached: int = 0  # nodes that have received an act, accepted or refused


class CountingConnection(AdminConnection):
    """Counts the bytes of lines received and answered."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.server.counters.bytes += len(data)
        super().dataReceived(data)

    def answer(self, lines: Answer, verb: bytes, at: float) -> None:
        self.server.counters.bytes += sum(len(line) + LINE_END_BYTES for line in lines)
        super().answer(lines, verb, at)


class CountingServer(AdminServer):
    """The admin address of a node; `begin` replaces the node behind it."""

    def __init__(self, calls: AdminCalls) -> None:
        super().__init__(reactor, calls)
        self.counters = TargetCounters()

    def buildProtocol(self, addr: Any) -> CountingConnection:  # noqa: N802
        self.counters.connections += 1
        return CountingConnection(self)


class TargetNode:
    """The part of a node that executes acts, without hosts and clients."""

    def __init__(self, number: int, nodes: int, owners: OwnerEndpoints) -> None:
        self.target = Target(number + 1, nodes, lambda: HOST_UIDS, list, lambda uid: False, lambda: 0)
        self.token_recovery = TokenRecovery(reactor, owners, self.target.fence.record_token)

    @property
    def reached(self) -> bool:
        """Whether the node has received an act."""
        return self.target.accepted > 0 or bool(self.target.refused)

    def act(self, work: str, token: str, body: str, on_answer: AnswerCallback) -> None:
        now = reactor.seconds() * 1000.0
        answer = self.target.execute(now, work, int(token), orjson.loads(body))
        reason = answer.get("no")
        if reason is None:
            on_answer(ack(orjson.dumps(answer).decode()))
            return
        if reason == "asks-first":
            self.token_recovery.recover(work)
        on_answer(nak(reason))


class TargetNodes:
    """The admin servers of all ports of the process, and the nodes behind the first of them."""

    def __init__(self, ports: list[int]) -> None:
        self.nodes: list[TargetNode] = []
        self.servers = [self._server(number) for number in range(len(ports))]
        for server, port in zip(self.servers, ports, strict=True):
            server.listen(Address(LOOPBACK, port))

    def _server(self, number: int) -> CountingServer:
        calls = AdminCalls()
        calls.add(
            "act",
            3,
            lambda *args: self.nodes[number].act(*args),
            MAX_ACT_ARGUMENT_BYTES,
            keep_open=True,
        )
        return CountingServer(calls)

    def begin(self, count: str, instance: str, on_answer: AnswerCallback) -> None:
        """Replaces all nodes by `count` new ones for the instance, and resets the counters."""
        for node in self.nodes:
            node.token_recovery.stop()
        owners = OwnerEndpoints(CLUSTER, (parse_address(instance),))
        self.nodes = [TargetNode(number, int(count), owners) for number in range(int(count))]
        for server in self.servers:
            server.counters = TargetCounters()
        on_answer(ack())

    def report_counters(self, on_answer: AnswerCallback) -> None:
        """Answers with the counters of all nodes together, as JSON."""
        total = TargetCounters(reached=sum(node.reached for node in self.nodes))
        total.connections = sum(server.counters.connections for server in self.servers)
        total.bytes = sum(server.counters.bytes for server in self.servers)
        total.refused = sum(sum(node.target.refused.values()) for node in self.nodes)
        on_answer(ack(msgspec.json.encode(total).decode()))


def main(arguments: list[str]) -> None:
    control, *ports = map(int, arguments)
    nodes = TargetNodes(ports)
    calls = AdminCalls()
    calls.add("begin", 2, nodes.begin)
    calls.add("figures", 0, nodes.report_counters)
    AdminServer(reactor, calls).listen(Address(LOOPBACK, control))
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
