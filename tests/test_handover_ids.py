"""The ids of sessions that one process of a node hands over to the other during an upgrade."""

import errno
import os
import socket

import pytest
from helpers import LoopbackNode, open_line, read_all, service_over

from caperdeck.ops.link import UpgradeLink
from caperdeck.ops.upgrade_protocol import Incumbent, Successor
from caperdeck.state.request_ids import IdChange, IdTable, id_digest

REFUSED = b"ERR\r\n"
TAKEN_ON = b""  # no answer yet
NUMBER = 7  # of the id that comes again


class NodeProcess(LoopbackNode):
    """One process of a node, whose end of the link is a socket that only `settle` reads."""

    def __init__(self, folder):
        super().__init__()
        self.service = service_over(self.handler, folder)
        self.service.begin = lambda: None
        self.clients = []  # kept open, so that the process does not end its part of the upgrade

    @property
    def upgrade(self):
        return self.service.upgrade

    def accepted_client(self):
        """A client whose connection the node has accepted, and that has sent nothing."""
        before = self.handler.budget.client_connections
        sock = self.client()
        self.clients.append(sock)
        self.reactor.run_until(lambda: self.handler.budget.client_connections > before)
        return sock

    def answer_to(self, sock, number=NUMBER):
        """What the node has answered to a request with this id, before its host has said anything."""
        sock.sendall(open_line(number) + b"\r\n")
        with self.unread_link():
            self.reactor.settle()
        return read_all(sock)[0]

    def unread_link(self):
        """The reactor does not read the link by itself; a request that needs it still does."""
        return self.reactor.unmonitored(*([self.upgrade.side.link] if self.upgrade.in_progress else []))

    def established_client(self, number=NUMBER):
        sock = self.accepted_client()
        assert self.answer_to(sock, number) == TAKEN_ON
        self.accept_at_host().sendall(b"UP r1\r\n")
        self.reactor.settle()
        assert read_all(sock)[0] == b"UP r1\r\n"
        return sock

    def new_client_is_taken_on(self, number=NUMBER):
        return self.answer_to(self.accepted_client(), number) == TAKEN_ON

    def settle(self):
        self.reactor.now += 0.02
        self.reactor.settle()

    def close(self):
        self.upgrade.detach()
        self.upgrade.side.link.close()
        super().close()


class ProcessPair:
    """The two processes of an upgrade; each runs only when the test says so."""

    def __init__(self, folder):
        self.old, self.new = NodeProcess(folder), NodeProcess(folder)
        here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (here, there):
            sock.setblocking(False)
        successor_link = UpgradeLink(self.new.reactor, there)
        self.new.upgrade.side = Successor(self.new.reactor, successor_link, self.new.upgrade)
        here.recv(4096)  # the hello; the state that it asks for is not needed here
        self.new.upgrade.side.has_state = True
        self.old.upgrade.side = Incumbent(
            self.old.reactor, UpgradeLink(self.old.reactor, here), self.old.upgrade
        )

    def hand_over(self):
        """The old process gives the port away, and hands its sessions over in the same turn."""
        self.old.upgrade.side.handle_message({"say": "take"}, [])

    def settle(self):
        for _ in range(3):
            self.old.settle()
            self.new.settle()

    def close(self):
        self.old.close()
        self.new.close()


@pytest.fixture
def pair(tmp_path):
    made = ProcessPair(tmp_path)
    yield made
    made.close()


def test_the_id_of_a_session_on_its_way_to_the_other_process_is_in_use(pair):
    # Guards against a second client served with an id while neither process holds its session.
    first = pair.old.established_client()
    late = [pair.old.accepted_client() for _ in range(4)]
    pair.hand_over()
    assert pair.old.upgrade.sessions_handed_over == 1
    assert pair.old.answer_to(late[0]) == REFUSED  # the packet is not read yet
    pair.new.settle()
    assert pair.old.answer_to(late[1]) == REFUSED  # adopted, and the link unread at the old process
    pair.settle()
    assert pair.old.answer_to(late[2]) == REFUSED
    assert not pair.new.new_client_is_taken_on()
    first.close()
    pair.settle()
    assert pair.old.answer_to(late[3]) == TAKEN_ON  # free again, once
    assert not pair.new.new_client_is_taken_on()


def test_an_id_that_ends_at_the_other_process_may_be_used_again_there(pair):
    # Guards against clients refused for a session that was handed over and has ended.
    pair.old.accepted_client()
    first = pair.old.established_client()
    pair.hand_over()
    pair.new.settle()
    first.close()
    pair.settle()
    assert pair.new.new_client_is_taken_on()


def client_is_reset(pair, first):
    first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    first.close()


def damaged_packet(**changes):
    def damage(pair, first):
        deliver = pair.new.upgrade.receive_session
        pair.new.upgrade.receive_session = lambda message, fds: deliver(message | changes, fds)

    return damage


def no_descriptor_for_the_host(pair, first):
    adopt, calls = pair.new.reactor.adoptStreamConnection, []

    def adopt_first_only(*arguments):
        calls.append(arguments)
        if len(calls) == 2:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return adopt(*arguments)

    pair.new.reactor.adoptStreamConnection = adopt_first_only


REFUSALS = {
    "client reset": client_is_reset, "bad line": damaged_packet(line="OPEN"),
    "no data": damaged_packet(unsent=None), "unknown host": damaged_packet(host="s-9"),
    "no descriptor": no_descriptor_for_the_host,
}  # fmt: skip


@pytest.mark.parametrize("fault", REFUSALS.values(), ids=REFUSALS)
def test_the_id_of_a_session_that_the_other_process_cannot_take_is_free_again(pair, fault):
    # Guards against an id refused for good, and sessions left in a table, after a packet that was refused.
    first = pair.old.established_client()
    late = [pair.old.accepted_client() for _ in range(3)]
    pair.hand_over()
    fault(pair, first)
    assert pair.old.answer_to(late[0]) == REFUSED
    old_ids, another = pair.old.handler.sessions.ids, id_digest(open_line(NUMBER).split()[1].decode())
    old_ids.apply(IdChange(IdTable.OPEN, another, True))
    pair.settle()
    assert not pair.new.handler.sessions.by_index and not pair.new.handler.budget.session_count
    assert pair.old.answer_to(late[1]) == REFUSED  # freed once: another session with the id still counts
    old_ids.apply(IdChange(IdTable.OPEN, another, False))
    assert pair.old.answer_to(late[2]) == TAKEN_ON


def test_a_client_whose_session_cannot_be_adopted_is_told_to_open_a_new_one(pair):
    # Guards against a client that waits on a connection without a host.
    first = pair.old.established_client()
    pair.old.accepted_client()
    pair.hand_over()
    no_descriptor_for_the_host(pair, first)
    pair.settle()
    assert read_all(first) == (b"MOVE\r\n", "end")


def test_the_id_of_a_session_that_no_process_has_read_is_free_once_the_other_one_has_gone(pair):
    # Guards against an id refused for good as the new process dies with the session's packet unread.
    pair.old.established_client()
    late = [pair.old.accepted_client() for _ in range(2)]
    pair.hand_over()
    assert pair.old.answer_to(late[0]) == REFUSED
    pair.old.service.start_accepting = pair.old.upgrade.listen_for_successor = lambda: None
    pair.new.upgrade.detach()
    pair.new.upgrade.side.link.close()
    assert pair.old.answer_to(late[1]) == TAKEN_ON


def test_an_old_process_that_does_not_count_handed_over_ids_is_told_of_them(pair):
    # Guards against an id served twice in an upgrade from a version whose packets do not state it.
    pair.old.established_client()
    late = pair.old.accepted_client()
    ids, deliver = pair.old.handler.sessions.ids, pair.new.upgrade.receive_session
    ids.mark_handed_over = ids.mark_closed
    pair.new.upgrade.receive_session = lambda message, fds: deliver(
        {key: message[key] for key in message if key != "id"}, fds
    )
    pair.hand_over()
    pair.settle()
    assert pair.old.answer_to(late) == REFUSED


def test_a_request_is_refused_whose_id_is_adopted_while_it_is_taken_on(pair):
    # Guards against an id served at the new process, as the old one established and handed it over meanwhile.
    late = pair.old.accepted_client()
    pair.old.accepted_client()
    pair.hand_over()
    pair.new.settle()
    read_link = pair.new.handler.refresh_ids

    def read_and_be_held_up():
        read_link()
        pair.new.handler.refresh_ids = read_link
        assert pair.old.answer_to(late) == TAKEN_ON
        pair.old.accept_at_host().sendall(b"UP r1\r\n")
        pair.old.settle()
        pair.old.settle()
        assert pair.old.upgrade.sessions_handed_over == 1

    pair.new.handler.refresh_ids = read_and_be_held_up
    assert not pair.new.new_client_is_taken_on()
    assert len(pair.new.handler.sessions.by_index) == 1 and read_all(late)[0] == b"UP r1\r\n"
