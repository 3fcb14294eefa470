"""Upgrades: the protocol between two processes of one node, the link, the handover, and real processes."""

import errno
import json
import os
import signal
import socket
import threading

import pytest
from helpers import connect, establish, host_row, lose_connection, make_handler, open_line, service_over
from node_processes import FakeFleet, NodeProcesses, until
from twisted.internet.task import Clock

from caperdeck.ops.id_messages import MAX_IDS_PER_PACKET
from caperdeck.ops.link import (
    MAX_PACKET_BYTES, MAX_PACKETS_PER_READ, SOCKET_FILE, FolderAddress, NodeAddress, RendezvousSocket,
    UpgradeLink, connect_to_incumbent, encode,
)  # fmt: skip
from caperdeck.ops.upgrade_protocol import (
    BAN_TIMEOUT_S, PROTOCOL_VERSION, ROSTER_TIMEOUT_S, Incumbent, Successor,
)  # fmt: skip
from caperdeck.state.clocks import unix_time

WHO = [PROTOCOL_VERSION, "n1", "127.0.0.1:9000"]


class MemoryLink:
    """A link in memory: messages wait until the test delivers them."""

    def __init__(self):
        self.sent, self.fds, self.open = [], [], True

    def send(self, message, fds=()):
        self.sent.append(message)
        self.fds += fds

    def try_send(self, message, fds):
        self.send(message, fds)
        return True

    def close(self):
        self.open = False
        self.on_closed()

    def sent_kinds(self):
        sent, self.sent = self.sent, []
        return [m["say"] for m in sent]


class NodeStub:
    """Records the protocol's calls; hands over three connections, one in each batch."""

    def __init__(self):
        self.did, self.left = [], 3

    def identity(self):
        return WHO[1:]

    def export_state(self):
        return [host_row(f"s-{i}") for i in range(450)], {"rev": 7, "bans": ["s-1"]}, [5]

    def hand_over_connections(self, limit):
        self.left -= 1
        return self.left < 0

    def open_descriptor_count(self):
        return 40 + self.left

    def hand_over_slots(self):
        self.did.append(("hand_over_slots",))
        return {}

    def list_state(self):
        return {"rev": 7, "current_until": None}

    def known_ids(self):
        return []

    def forget_other_ids(self):
        """The link has ended; `calls_of` has what follows from that."""

    def __getattr__(self, name):
        return lambda *args: self.did.append((name, *args))


def connected_sides():
    clock, a, b, old, new = Clock(), MemoryLink(), MemoryLink(), NodeStub(), NodeStub()
    incumbent, successor = Incumbent(clock, a, old), Successor(clock, b, new)

    def deliver():
        while a.sent or b.sent:
            for source, target in ((a, b), (b, a)):
                sent, source.sent = source.sent, []
                for message in sent:
                    fds, source.fds = (source.fds, []) if message["say"] == "state" else ([], source.fds)
                    target.on_message(json.loads(json.dumps(message)), fds)

    return clock, incumbent, successor, old, new, deliver


def calls_of(node):
    return [what[0] for what in node.did if what[0] != "set_descriptors_elsewhere"]


def test_the_port_is_given_once_the_successor_has_the_roster():
    clock, incumbent, successor, old, new, deliver = connected_sides()
    successor.discovery_answered()
    deliver()
    assert calls_of(old) == [] and calls_of(new) == ["import_state"]
    _, rows, state, fds = new.did[0]
    assert (len(rows), state["rev"], state["bans"], fds) == (450, 7, ["s-1"], [5])
    successor.discovery_answered()
    deliver()
    assert calls_of(old) == ["stop_accepting", "hand_over_slots"]
    assert calls_of(new) == ["import_state", "take_over_slots", "incumbent_stopped", "begin"]
    assert ("incumbent_stopped", {"rev": 7, "current_until": None}) in new.did
    clock.pump([0.01] * 4)
    deliver()
    assert (
        calls_of(old) == ["stop_accepting", "hand_over_slots", "finish"]
        and ("set_descriptors_elsewhere", 42) in new.did
    )


def test_a_silent_discovery_does_not_delay_the_upgrade():
    clock, _, _, old, new, deliver = connected_sides()
    deliver()
    clock.advance(ROSTER_TIMEOUT_S)
    deliver()
    assert "stop_accepting" in calls_of(old) and calls_of(new)[-1] == "begin"


def test_after_the_death_of_a_successor_that_did_not_take_over_nothing_changes():
    _, incumbent, _, old, _, deliver = connected_sides()
    deliver()
    incumbent.link.close()
    assert calls_of(old) == []


def test_after_the_death_of_a_successor_that_took_over_the_incumbent_accepts_again():
    clock, incumbent, successor, old, _, deliver = connected_sides()
    deliver()
    successor.discovery_answered()
    deliver()
    incumbent.link.close()
    clock.pump([0.01] * 9)
    assert calls_of(old) == ["stop_accepting", "hand_over_slots", "resume_accepting"]


@pytest.mark.parametrize("when", ["unanswered", "known", "taken"])
def test_when_the_incumbent_goes_away_the_successor_begins_once(when):
    clock, incumbent, successor, _, new, deliver = connected_sides()
    if when == "unanswered":
        clock.advance(3)
    else:
        deliver()
        if when == "taken":
            successor.discovery_answered()
            deliver()
        successor.link.close()
    clock.advance(5)
    assert [n for n in calls_of(new) if n.startswith("begin")] == [
        "begin" if when == "taken" else "begin_alone"
    ]
    assert new.did[-1] == ("set_descriptors_elsewhere", 0) or when != "taken"


def test_a_process_of_another_node_or_protocol_version_is_refused():
    clock, incumbent, _, _, new, deliver = connected_sides()
    incumbent.handle_message({"say": "hello", "who": [PROTOCOL_VERSION + 1, *WHO[1:]]}, [])
    assert incumbent.link.sent_kinds() == ["no"]


def test_a_refused_successor_does_not_begin():
    clock, _, successor, _, new, _ = connected_sides()
    successor.handle_message({"say": "no", "reason": "another node"}, [])
    successor.link.close()
    clock.advance(5)
    assert calls_of(new) == ["fail"]


def test_an_incumbent_busy_with_another_successor_is_asked_again():
    _, _, successor, _, new, _ = connected_sides()
    successor.handle_message({"say": "busy"}, [])
    assert calls_of(new) == ["retry_busy_incumbent"] and not successor.link.open
    successor.link.on_closed()
    assert calls_of(new) == ["retry_busy_incumbent"]


@pytest.mark.parametrize("given_to", ["old", "new"])
def test_a_ban_given_to_either_process_is_applied_at_both_before_it_is_acknowledged(given_to):
    clock, incumbent, successor, old, new, deliver = connected_sides()
    deliver()
    here, there = (incumbent, new) if given_to == "old" else (successor, old)
    done = []
    here.send_ban("s-1", True, lambda: done.append(("apply_ban", "s-1", True) in there.did))
    assert not done
    deliver()
    assert done == [True]


def test_a_process_that_hangs_or_has_gone_does_not_delay_a_ban_for_long():
    clock, incumbent, _, _, _, _ = connected_sides()
    done = []
    incumbent.send_ban("s-1", True, lambda: done.append(1))
    clock.advance(BAN_TIMEOUT_S)
    assert done == [1]
    incumbent.send_ban("s-1", False, lambda: done.append(2))
    incumbent.link.close()
    incumbent.send_ban("s-2", True, lambda: done.append(3))
    clock.advance(BAN_TIMEOUT_S)
    assert done == [1, 2, 3]


# ---- the link


class Reactor(Clock):
    def __init__(self):
        super().__init__()
        self.readers, self.writers = set(), set()
        self.addReader, self.removeReader = self.readers.add, self.readers.discard
        self.addWriter, self.removeWriter = self.writers.add, self.writers.discard


def linked_pair():
    reactor, ends = Reactor(), socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in ends:
        end.setblocking(False)
    return reactor, UpgradeLink(reactor, ends[0]), UpgradeLink(reactor, ends[1])


def test_packets_arrive_complete_and_in_order_with_their_descriptors():
    reactor, a, b = linked_pair()
    got = []
    b.on_message = lambda message, fds: got.append((message["n"], len(fds), [os.close(fd) for fd in fds]))
    a.send({"n": 1})
    a.send({"n": 2}, [0, 1])
    b.doRead()
    assert [(n, count) for n, count, _ in got] == [(1, 0), (2, 2)]
    a.close()
    b.doRead()
    assert not b.open and not reactor.readers


def test_a_full_link_takes_no_connection_and_loses_no_message():
    reactor, a, b = linked_pair()
    got = []
    b.on_message = lambda message, fds: got.append(message["n"])
    sent = 0
    while a.try_send({"n": sent, "x": "y" * 9000}, ()):
        sent += 1
    a.send({"n": sent})
    assert sent > 3 and reactor.writers == {a} and not a.try_send({"n": -1}, ())
    b.doRead()
    a.doWrite()
    b.doRead()
    assert got == list(range(sent + 1)) and not reactor.writers


def test_an_invalid_packet_closes_the_link_and_its_descriptors():
    _, a, b = linked_pair()
    before = len(os.listdir("/proc/self/fd"))
    socket.send_fds(a.sock, [b"[]"], [0])
    b.doRead()
    assert not b.open and len(os.listdir("/proc/self/fd")) == before - 1


def test_the_socket_file_of_a_killed_process_is_ignored_and_replaced(tmp_path):
    folder = tmp_path / ("deep" * 25)
    folder.mkdir()
    address = FolderAddress(str(folder))
    assert connect_to_incumbent([address]) is None
    RendezvousSocket(Reactor(), address, None).sock.close()
    assert (folder / SOCKET_FILE).exists() and connect_to_incumbent([address]) is None
    is_found_at(address)


def test_a_process_is_found_without_a_folder_and_only_by_its_own_successor():
    address, other = NodeAddress(["n1", f"127.0.0.1:{os.getpid()}"]), NodeAddress(["n2", "127.0.0.1:9000"])
    is_found_at(address)
    listener = RendezvousSocket(Reactor(), address, None)
    with pytest.raises(OSError):
        RendezvousSocket(Reactor(), NodeAddress(["n1", f"127.0.0.1:{os.getpid()}"]), None)
    assert connect_to_incumbent([other]) is None
    listener.close()


def is_found_at(address):
    accepted = []
    listener = RendezvousSocket(Reactor(), address, accepted.append)
    sock = connect_to_incumbent([address])
    listener.doRead()
    assert len(accepted) == 1
    for s in (sock, accepted[0], listener.sock):
        s.close()


def test_an_address_that_cannot_be_bound_is_retried_until_it_can(tmp_path, monkeypatch):
    d = make_handler()
    service = service_over(d, tmp_path)
    left, made = [3], RendezvousSocket.__init__

    def failing(*arguments):
        if left[0]:
            left[0] -= 1
            raise OSError(errno.ENFILE, "no file left")
        made(*arguments)

    monkeypatch.setattr(RendezvousSocket, "__init__", failing)
    d.reactor.addReader = d.reactor.removeReader = lambda reader: None
    service.upgrade.listen_for_successor()
    assert len(service.upgrade.rendezvous_sockets) == 0
    d.reactor.pump([0.25] * 3)
    assert len(service.upgrade.rendezvous_sockets) == 2
    service.upgrade.stop_listening()
    assert not d.reactor.getDelayedCalls() or not service.upgrade.rendezvous_sockets


def test_a_link_sends_everything_after_a_passing_lack_of_memory(monkeypatch):
    reactor, a, b = linked_pair()
    got, left = [], [2]
    b.on_message = lambda message, fds: got.append(message["n"])
    send = socket.send_fds

    def failing(*arguments):
        if left[0]:
            left[0] -= 1
            raise OSError(errno.ETOOMANYREFS if left[0] else errno.ENOBUFS, "not now")
        return send(*arguments)

    monkeypatch.setattr("caperdeck.ops.link.socket.send_fds", failing)
    assert not a.try_send({"n": 0}, ())
    a.send({"n": 1})
    a.send({"n": 2})
    assert a.open and not reactor.writers
    reactor.pump([0.006] * 3)
    b.doRead()
    assert got == [1, 2]


@pytest.mark.parametrize("number", [errno.EINTR, errno.ENOMEM, errno.ENOBUFS])
def test_a_passing_read_error_does_not_close_the_link(monkeypatch, number):
    _, a, b = linked_pair()
    with monkeypatch.context() as lacking:
        lacking.setattr("caperdeck.ops.link.socket.recv_fds", lambda *_: raised(number))
        b.doRead()
    assert b.open
    a.send({"n": 1})
    got = []
    b.on_message = lambda message, fds: got.append(message)
    b.doRead()
    assert got == [{"n": 1}]


def raised(number):
    raise OSError(number, os.strerror(number))


SESSIONS = MAX_PACKETS_PER_READ + 30  # more than one iteration of the reactor reads


class ClosedIncumbent:
    """The successor's end of a link whose incumbent has sent its sessions and has ended."""

    def __init__(self, leaves_unread=False):
        self.reactor, incumbent, self.link = linked_pair()
        self.received, self.ended = [], []
        self.link.on_message = self.handle
        self.link.on_closed = lambda: self.ended.append(len(self.received))
        if leaves_unread:
            self.link.send({"say": "ban"})
        incumbent.send({"say": "ban"})
        for number in range(SESSIONS):
            incumbent.send({"say": "session", "number": number}, [0, 1])
        assert not incumbent.unsent
        incumbent.close()

    def handle(self, message, fds):
        for fd in fds:
            os.close(fd)
        if message["say"] == "ban":
            self.link.send({"say": "banned"})
            self.link.try_send({"say": "banned"}, ())
        else:
            self.received.append((message["number"], len(fds)))

    def read_all(self):
        for _ in range(5):
            if self.link in self.reactor.readers:
                self.link.doRead()
            self.reactor.advance(0.1)


@pytest.mark.parametrize("leaves_unread", [False, True], ids=["write fails", "read fails"])
def test_sessions_that_an_ended_incumbent_has_sent_are_all_received(leaves_unread):
    # Guards against connections cut off in an upgrade: a failed write, or ECONNRESET, closed the link unread.
    successor = ClosedIncumbent(leaves_unread)
    successor.read_all()
    assert successor.received == [(number, 2) for number in range(SESSIONS)]
    assert successor.ended == [SESSIONS] and not successor.link.open
    assert not successor.reactor.readers and not successor.reactor.writers


def test_after_a_failed_write_the_other_side_learns_that_the_link_has_ended(monkeypatch):
    # Guards against two processes of which one waits for messages that the other no longer sends.
    reactor, a, b = linked_pair()
    with monkeypatch.context() as failing:
        failing.setattr("caperdeck.ops.link.socket.send_fds", lambda *_: raised(errno.EMSGSIZE))
        a.send({"n": 1})
    reactor.advance(0)
    b.doRead()
    if a in reactor.readers:
        a.doRead()
    assert not a.open and not b.open


# ---- what each side does


def test_a_successor_gets_all_bans_and_hosts(tmp_path):
    d = make_handler(hosts=2)
    service = service_over(d, tmp_path)
    d.update_roster(False, [host_row("s-1", "Terminating")])
    service.calls.call(b"exclude s-0", lambda answer: None)
    rows = {r["uid"]: r["state"] for r in d.hosts.export_rows()}
    assert rows == {"s-0": "Ready", "s-1": "Terminating"}
    later = make_handler(hosts=0)
    successor = service_over(later, tmp_path)
    successor.load_hosts(d.hosts.export_rows(), {"bans": ["s-0"]})
    assert not later.balancer.accepts_sessions(later.hosts.index_by_uid["s-0"])
    assert not later.balancer.accepts_sessions(later.hosts.index_by_uid["s-1"])


def test_a_process_that_does_not_accept_clients_is_not_ready_and_serves_its_sessions(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    answers = []
    service.calls.call(b"readyz", answers.append)
    assert answers == [["NAK not-taking-clients"]]
    establish(d)
    connect(d, open_line(77))
    assert d.gauges()["open_requests"] == 2


def test_a_ban_call_waits_for_the_roster(tmp_path):
    d = make_handler(hosts=0)
    service = service_over(d, tmp_path)
    answers = []
    service.calls.call(b"exclude s-0", answers.append)
    service.calls.call(b"include s-9", answers.append)
    assert not answers
    service.load_hosts([host_row("s-0")])
    assert answers == [["ACK"], ["NAK unknown-host"]] and not d.balancer.accepts_sessions(0)


def test_a_stopped_incumbent_hands_over_its_sessions_before_it_ends(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    service.port = Port()
    service.start_accepting()
    ended = []
    d.reactor.stop = lambda: ended.append(d.clock())
    client, _ = establish(d)
    service.upgrade.side = Incumbent(d.reactor, MemoryLink(), service.upgrade)
    service.upgrade.side.port_given = True
    service.upgrade.stop_accepting()
    service.stop()
    d.reactor.advance(0.1)
    assert not ended and not client.closing and d.sessions.by_index


class Port:
    """A clients' port that records whether it is read."""

    def __init__(self):
        self.reads = True

    def startReading(self):
        self.reads = True

    def stopReading(self):
        self.reads = False


def test_a_handed_over_port_is_read_again_once_the_successor_has_gone(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path, admin_addr=None)
    service.port = Port()
    service.start_accepting()
    service.upgrade.stop_accepting()
    service.set_accepting(False)
    service.set_accepting(True)
    assert not service.port.reads and not service.takes_clients
    service.upgrade.resume_accepting()
    assert service.port.reads and service.takes_clients
    service.set_accepting(False)
    assert not service.port.reads


def test_a_successor_stopped_before_it_took_over_exits_at_once(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    service.upgrade.side = Successor(d.reactor, MemoryLink(), service.upgrade)
    d.reactor.stop = lambda: d.reactor.callLater(0, ended.append, 1)
    ended = []
    service.stop()
    d.reactor.advance(0.01)
    assert ended == [1] and not service.upgrade.in_progress


# ---- ids of requests


class PairedLink(MemoryLink):
    """One of two ends in memory; what the other end has sent waits until it is read."""

    def read_pending(self):
        sent, self.other.sent = self.other.sent, []
        for message in sent:
            self.on_message(json.loads(encode(message)), [])


def serving_pair(tmp_path, **parts):
    """The session handlers of an old and a new process of one node, just after the port was handed over."""
    old, new = (service_over(make_handler(hosts=1, **parts), tmp_path) for _ in range(2))
    here, there = PairedLink(), PairedLink()
    here.other, there.other = there, here
    old.upgrade.side = Incumbent(old.handler.reactor, here, old.upgrade)
    new.upgrade.side = Successor(new.handler.reactor, there, new.upgrade)
    there.sent.clear()
    new.begin = lambda: None
    old.upgrade.hand_over_connections = lambda limit: False
    return old.handler, new.handler, lambda: here.on_message({"say": "take"}, [])


def is_taken_on(handler, number):
    return connect(handler, open_line(number)).transport.lines() == []


def test_an_id_in_use_at_the_old_process_of_an_upgrade_is_refused_at_the_new_one(tmp_path):
    # Guards against two requests of one id that are served at once, by the two processes of an upgrade.
    old, new, hand_over_port = serving_pair(tmp_path)
    establish(old)
    opening = connect(old, open_line(1))
    hand_over_port()
    assert [is_taken_on(new, number) for number in (0, 1, 2)] == [False, False, True]
    lose_connection(opening)
    assert [is_taken_on(new, number) for number in (0, 1)] == [False, True]


def test_an_id_in_use_at_the_new_process_of_an_upgrade_is_refused_at_the_old_one(tmp_path):
    # Guards against the same by a client that the old process accepted before it handed over the port.
    old, new, hand_over_port = serving_pair(tmp_path)
    idle = [connect(old) for _ in range(2)]
    hand_over_port()
    assert is_taken_on(new, 1)
    for number, client in enumerate(idle):
        client.dataReceived(open_line(number) + b"\r\n")
    assert [client.transport.lines() for client in idle] == [[], [b"ERR"]]
    assert [is_taken_on(new, number) for number in (0, 1)] == [False, False]


@pytest.mark.parametrize("read", [1, 2], ids=["before it tells the other", "after it has told the other"])
@pytest.mark.parametrize("first", ["old", "new"])
def test_an_id_that_both_processes_read_in_the_same_instant_is_served_once(tmp_path, first, read):
    # Guards against two requests of one id, each taken on before its process has read of the other.
    old, new, hand_over_port = serving_pair(tmp_path)
    clients = {"old": connect(old), "new": connect(new)}
    hand_over_port()
    handler, other = (old, new) if first == "old" else (new, old)
    (other_client,) = (client for client in clients.values() if client.handler is other)
    read_link, reads = handler.refresh_ids, []

    def read_and_be_held_up():
        read_link()
        reads.append(1)
        if len(reads) == read:
            other_client.dataReceived(open_line(1) + b"\r\n")

    handler.refresh_ids = read_and_be_held_up
    clients[first].dataReceived(open_line(1) + b"\r\n")
    if len(reads) < read:
        other_client.dataReceived(open_line(1) + b"\r\n")
    assert sorted(client.transport.lines() for client in clients.values()) == [[], [b"ERR"]]


def test_ids_of_a_process_that_has_gone_are_free_again(tmp_path):
    # Guards against clients refused for the requests of a process that died during an upgrade.
    old, new, hand_over_port = serving_pair(tmp_path)
    connect(old, open_line(1))
    hand_over_port()
    assert not is_taken_on(new, 1)
    new.refresh_ids.__self__.side.link.close()
    assert is_taken_on(new, 1)


def test_ids_for_a_process_that_does_not_read_wait_in_bounded_memory(tmp_path):
    # Guards against memory without end in an upgrade whose other process has stopped.
    old, new, hand_over_port = serving_pair(tmp_path)
    lasting = connect(old, open_line(0))
    hand_over_port()
    side = old.refresh_ids.__self__.side
    room, side.link.try_send = side.link.try_send, lambda message, fds: False
    lose_connection(lasting)
    for number in range(1, 200):
        lose_connection(connect(old, open_line(number)))
    connect(old, open_line(200))
    assert len(side.unsent_ids) == 2
    side.link.try_send = room
    old.reactor.advance(0.1)
    assert [is_taken_on(new, number) for number in (0, 7, 200)] == [True, True, False]


def test_the_ids_of_thousands_of_requests_fit_into_packets(tmp_path):
    # Guards against an upgrade that closes its link because the ids in use exceed a packet.
    old, _, hand_over_port = serving_pair(tmp_path)
    sent = old.refresh_ids.__self__.side.link.sent
    for number in range(2 * MAX_IDS_PER_PACKET + 1):
        old.sessions.ids.mark_open("\u20ac" * 1300 + str(number))
    hand_over_port()
    ids = [message for message in sent if message["say"] == "ids"]
    assert len(ids) == 3 and max(len(encode(message)) for message in ids) < MAX_PACKET_BYTES


# ---- processes


@pytest.fixture
def nodes(tmp_path):
    nodes = NodeProcesses(tmp_path, FakeFleet())
    yield nodes
    nodes.end()


def test_connections_and_bans_survive_two_upgrades(nodes):
    first = nodes.start()
    clients = [nodes.client(i) for i in range(12)]
    assert [lines.readline() for _, lines in clients] == [b"UP r1\r\n"] * 12
    clients[0][0].sendall(b"half a li")
    assert nodes.call(0, b"exclude s-0") == [b"ACK"]
    second = nodes.start()
    first.send_signal(signal.SIGTERM)  # as the platform does, as soon as the new one is ready
    assert first.wait(30) == 0 and nodes.metric(1, b"app_open_requests") == 12
    clients[0][0].sendall(b"ne\r\n")
    assert clients[0][1].readline() == b"half a line\r\n"
    refused, lines = nodes.client(50)
    assert lines.readline().startswith(b"BUSY") and nodes.metric(1, b"app_out_of_rotation") == 1
    third = nodes.start()
    assert second.wait(30) == 0 and nodes.call(2, b"include s-0") == [b"ACK"]
    for sock, lines in clients:
        sock.sendall(b"still\r\n")
        assert lines.readline() == b"still\r\n"
    # The host is cold now and gets a session only once its slow-start budget allows one.
    until(lambda: nodes.client(51)[1].readline() == b"UP r1\r\n")
    third.send_signal(signal.SIGTERM)
    assert [lines.readline() for _, lines in clients] == [b"MOVE\r\n"] * 12
    assert third.wait(30) == 0 and not list((nodes.folder / "tmp").glob("*.sock.*"))


def test_no_new_connection_is_lost_during_an_upgrade(nodes):
    nodes.start()
    ends, stop = [], threading.Event()

    def connect_repeatedly():
        for number in range(1000, 9000):
            if stop.is_set():
                return
            sock, lines = nodes.client(number)
            ends.append(lines.readline())
            sock.close()

    thread = threading.Thread(target=connect_repeatedly)
    thread.start()
    for _ in range(2):
        nodes.start()
    stop.set()
    thread.join()
    assert set(ends) == {b"UP r1\r\n"} and nodes.started[0].wait(30) == nodes.started[1].wait(30) == 0


def test_a_process_started_after_the_kill_of_a_successor_serves(nodes):
    nodes.start()
    second = nodes.start()
    nodes.started[0].wait(30)
    second.kill()
    second.wait()
    nodes.start()
    _, lines = nodes.client(1)
    assert lines.readline() == b"UP r1\r\n"


def test_a_node_with_damaged_bans_and_no_incumbent_does_not_start(nodes):
    (nodes.folder / "tmp" / "caperdeck-bans.json").write_text('["s-0"')
    process = nodes.launch()
    assert process.wait(30) == 2 and b"caperdeck-bans.json" in (nodes.folder / "log0").read_bytes()


def test_a_second_process_with_an_unusable_file_exits_and_the_first_goes_on_serving(nodes):
    nodes.start()
    sock, lines = nodes.client(1)
    assert lines.readline() == b"UP r1\r\n"
    whole, nodes.config = nodes.config, nodes.config | {"settings": {}}
    assert nodes.launch().wait(30) == 2
    nodes.config = whole | {"name": "another"}
    assert nodes.launch().wait(30) == 1
    assert nodes.call(0, b"readyz") == [b"ACK"] and nodes.client(2)[1].readline() == b"UP r1\r\n"
    sock.sendall(b"still\r\n")
    assert lines.readline() == b"still\r\n"


def test_the_whole_state_of_a_process_can_be_encoded(tmp_path):
    d = make_handler(hosts=0)
    service = service_over(d, tmp_path)
    d.update_roster(True, [host_row("s-0", boot=1_790_000_000_000), host_row("s-1")])
    establish(d)
    service.ban_calls.begin()
    for call in (b"exclude s-0", b"include s-0", b"exclude s-1"):
        service.calls.call(call, lambda answer: None)
    service.port = PortNumber()
    rows, state, _ = service.upgrade.export_state()
    sent = json.loads(encode({"say": "state", "rows": rows, **state}))
    assert sent["rows"][0]["start"][0] == 1_790_000_000_000 and sent["bans"] == ["s-1"]
    later = service_over(make_handler(hosts=0), tmp_path)
    later.listen = later.discovery.start = lambda *_: None
    later.upgrade.import_state(sent["rows"], sent, [0])
    assert later.handler.hosts.export_starts() == d.hosts.export_starts() and list(later.bans.uids) == ["s-1"]
    assert json.loads(encode({"slots": service.upgrade.hand_over_slots(), "held": 1}))


# Guards against an upgrade that closes the link because the state of thousands of hosts exceeds a packet.
@pytest.mark.parametrize("uid", ["s-{:08x}", "slot-server-{:04}.portland-east.cells.example.org-long-name"])
def test_the_state_of_the_largest_fleet_fits_into_its_packets(tmp_path, uid):
    d = make_handler(hosts=0)
    service = service_over(d, tmp_path)
    started = unix_time() - 1000.0
    d.update_roster(True, [host_row(uid.format(i), boot=started + i / 10) for i in range(3200)])
    node = d.balancer._node
    node.warm_capacity = [123.456789012345678 + i for i in range(3200)]
    node.slots_started = [True] * 3200
    service.port = PortNumber()
    sent = []
    side = Incumbent(d.reactor, MemoryLink(), service.upgrade)
    side.link.send = lambda message, fds=(): sent.append(encode(message))
    service.stop_accepting = lambda: None
    side.handle_message({"say": "hello", "who": [PROTOCOL_VERSION, *service.upgrade.identity()]}, [])
    side.handle_message({"say": "take"}, [])
    assert len(node.cold) == 3200 and max(map(len, sent)) < MAX_PACKET_BYTES
    assert sum(len(json.loads(packet).get("slots", ())) for packet in sent) == 3200
    later = service_over(make_handler(hosts=0), tmp_path)
    later.listen = later.discovery.start = later.begin = lambda *_: None
    successor = Successor(later.reactor, MemoryLink(), later.upgrade)
    for packet in sent:
        successor.handle_message(json.loads(packet), [0])
    learned = later.handler.balancer._node
    assert learned.warm_capacity == node.warm_capacity and sum(learned.slots_started) == 3200


class PortNumber:
    def fileno(self):
        return 0
