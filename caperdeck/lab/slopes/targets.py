"""Stand-in nodes for owners of work, many in one process: the program's target behind its second address.

The first argument is the control port, the others are the nodes' ports. A caller of the control port says
`begin NODES INSTANCE` with an instance's address, and reads what all nodes together have taken by `figures`.
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

HOSTS = [f"s-{i}" for i in range(50)]  # on each node's list; none is ever ill
LINE_END = 2  # bytes


class Figures(msgspec.Struct):
    """Of all nodes together since they began."""

    connections: int = 0
    bytes: int = 0  # of lines, both ways
    refused: int = 0
    reached: int = 0  # nodes that an act has come to, taken or refused


class CountedAdminConnection(AdminConnection):
    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.server.figures.bytes += len(data)
        super().dataReceived(data)

    def answer(self, lines: Answer, verb: bytes, at: float) -> None:
        self.server.figures.bytes += sum(len(line) + LINE_END for line in lines)
        super().answer(lines, verb, at)


class CountedAdminServer(AdminServer):
    """A node's second address; which node that is changes with each size."""

    def __init__(self, calls: AdminCalls) -> None:
        super().__init__(reactor, calls)
        self.figures = Figures()

    def buildProtocol(self, addr: Any) -> CountedAdminConnection:  # noqa: N802
        self.figures.connections += 1
        return CountedAdminConnection(self)


class Node:
    """What a node does with an act, without the hosts and clients of a whole one."""

    def __init__(self, number: int, nodes: int, owners: OwnerEndpoints) -> None:
        self.target = Target(number + 1, nodes, lambda: HOSTS, list, lambda uid: False, lambda: 0)
        self.token_recovery = TokenRecovery(reactor, owners, self.target.fence.record_token)

    @property
    def reached(self) -> bool:
        return self.target.accepted > 0 or bool(self.target.refused)

    def act(self, work: str, token: str, body: str, then: AnswerCallback) -> None:
        now = reactor.seconds() * 1000.0
        answer = self.target.execute(now, work, int(token), orjson.loads(body))
        reason = answer.get("no")
        if reason is None:
            then(ack(orjson.dumps(answer).decode()))
            return
        if reason == "asks-first":
            self.token_recovery.recover(work)
        then(nak(reason))


class Nodes:
    """All ports of the process, and the nodes behind the first of them."""

    def __init__(self, ports: list[int]) -> None:
        self.nodes: list[Node] = []
        self.fronts = [self._front(number) for number in range(len(ports))]
        for front, port in zip(self.fronts, ports, strict=True):
            front.listen(Address(LOOPBACK, port))

    def _front(self, number: int) -> CountedAdminServer:
        calls = AdminCalls()
        calls.add(
            "act", 3, lambda *rest: self.nodes[number].act(*rest), MAX_ACT_ARGUMENT_BYTES, keep_open=True
        )
        return CountedAdminServer(calls)

    def begin(self, count: str, instance: str, then: AnswerCallback) -> None:
        for node in self.nodes:
            node.token_recovery.stop()
        owners = OwnerEndpoints(CLUSTER, (parse_address(instance),))
        self.nodes = [Node(number, int(count), owners) for number in range(int(count))]
        for front in self.fronts:
            front.figures = Figures()
        then(ack())

    def figures(self, then: AnswerCallback) -> None:
        whole = Figures(reached=sum(node.reached for node in self.nodes))
        whole.connections = sum(front.figures.connections for front in self.fronts)
        whole.bytes = sum(front.figures.bytes for front in self.fronts)
        whole.refused = sum(sum(node.target.refused.values()) for node in self.nodes)
        then(ack(msgspec.json.encode(whole).decode()))


def main(arguments: list[str]) -> None:
    control, *ports = map(int, arguments)
    nodes = Nodes(ports)
    calls = AdminCalls()
    calls.add("begin", 2, nodes.begin)
    calls.add("figures", 0, nodes.figures)
    AdminServer(reactor, calls).listen(Address(LOOPBACK, control))
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
