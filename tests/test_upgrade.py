"""Two processes, one node: what they say to each other, what they hand on, and both as processes."""

import errno
import json
import os
import signal
import socket
import threading

import pytest
from helpers import (
    connect, make_handler, opening, row, service_over, up,
)  # fmt: skip
from node_processes import NodeProcesses, FakeFleet, until
from twisted.internet.task import Clock

from caperdeck.ops.link import (
    MAX_PACKET_BYTES, SOCKET_FILE, FolderAddress, NodeAddress, RendezvousSocket, UpgradeLink,
    connect_to_incumbent, encode,
)  # fmt: skip
from caperdeck.ops.upgrade_protocol import (
    BAN_TIMEOUT_S, PROTOCOL_VERSION, ROSTER_TIMEOUT_S, Incumbent, Successor,
)  # fmt: skip
from caperdeck.state.clocks import unix_time

WHO = [PROTOCOL_VERSION, "n1", "127.0.0.1:9000"]


class Wired:
    """A link in memory: what is sent waits until the test carries it over."""

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

    def said(self):
        sent, self.sent = self.sent, []
        return [m["say"] for m in sent]


class NodeStub:
    """Writes down what its succession asks of it; hands three connections on, one a turn."""

    def __init__(self):
        self.did, self.left = [], 3

    def identity(self):
        return WHO[1:]

    def export_state(self):
        return [row(f"s-{i}") for i in range(450)], {"rev": 7, "bans": ["s-1"]}, [5]

    def hand_over_connections(self, limit):
        self.left -= 1
        return self.left < 0

    def open_descriptor_count(self):
        return 40 + self.left

    def hand_over_slots(self):
        self.did.append(("hand_over_slots",))
        return {}

    def __getattr__(self, name):
        return lambda *args: self.did.append((name, *args))


def sides():
    clock, a, b, old, new = Clock(), Wired(), Wired(), NodeStub(), NodeStub()
    incumbent, successor = Incumbent(clock, a, old), Successor(clock, b, new)

    def carry():
        while a.sent or b.sent:
            for source, target in ((a, b), (b, a)):
                sent, source.sent = source.sent, []
                for message in sent:
                    fds, source.fds = (source.fds, []) if message["say"] == "state" else ([], source.fds)
                    target.on_message(json.loads(json.dumps(message)), fds)

    return clock, incumbent, successor, old, new, carry


def names(node):
    return [what[0] for what in node.did if what[0] != "set_descriptors_elsewhere"]


def test_the_port_is_given_only_once_the_successor_knows_the_list_and_then_at_one_moment():
    clock, incumbent, successor, old, new, carry = sides()
    successor.discovery_answered()
    carry()
    assert names(old) == [] and names(new) == ["import_state"]
    _, rows, state, fds = new.did[0]
    assert (len(rows), state["rev"], state["bans"], fds) == (450, 7, ["s-1"], [5])
    successor.discovery_answered()
    carry()
    assert names(old) == ["stop_accepting", "hand_over_slots"]
    assert names(new) == ["import_state", "take_over_slots", "begin"]
    clock.pump([0.01] * 4)
    carry()
    assert (
        names(old) == ["stop_accepting", "hand_over_slots", "finish"]
        and ("set_descriptors_elsewhere", 42) in new.did
    )


def test_a_discovery_that_says_nothing_does_not_hold_the_upgrade_up():
    clock, _, _, old, new, carry = sides()
    carry()
    clock.advance(ROSTER_TIMEOUT_S)
    carry()
    assert "stop_accepting" in names(old) and names(new)[-1] == "begin"


def test_a_successor_that_dies_before_it_takes_leaves_everything_as_it_was():
    _, incumbent, _, old, _, carry = sides()
    carry()
    incumbent.link.close()
    assert names(old) == []


def test_a_successor_that_dies_after_it_took_leaves_the_port_to_the_one_before():
    clock, incumbent, successor, old, _, carry = sides()
    carry()
    successor.discovery_answered()
    carry()
    incumbent.link.close()
    clock.pump([0.01] * 9)
    assert names(old) == ["stop_accepting", "hand_over_slots", "resume_accepting"]


@pytest.mark.parametrize("when", ["unanswered", "known", "taken"])
def test_where_the_one_before_goes_away_the_successor_begins_once_and_alone(when):
    clock, incumbent, successor, _, new, carry = sides()
    if when == "unanswered":
        clock.advance(3)
    else:
        carry()
        if when == "taken":
            successor.discovery_answered()
            carry()
        successor.link.close()
    clock.advance(5)
    assert [n for n in names(new) if n.startswith("begin")] == ["begin" if when == "taken" else "begin_alone"]
    assert new.did[-1] == ("set_descriptors_elsewhere", 0) or when != "taken"


def test_another_node_or_version_is_turned_away():
    clock, incumbent, _, _, new, carry = sides()
    incumbent.handle_message({"say": "hello", "who": [PROTOCOL_VERSION + 1, *WHO[1:]]}, [])
    assert incumbent.link.said() == ["no"]


def test_one_that_was_turned_away_begins_nothing():
    clock, _, successor, _, new, _ = sides()
    successor.handle_message({"say": "no", "reason": "another node"}, [])
    successor.link.close()
    clock.advance(5)
    assert names(new) == ["fail"]


def test_one_that_is_busy_with_another_successor_is_asked_again():
    _, _, successor, _, new, _ = sides()
    successor.handle_message({"say": "busy"}, [])
    assert names(new) == ["retry_busy_incumbent"] and not successor.link.open
    successor.link.on_closed()
    assert names(new) == ["retry_busy_incumbent"]


@pytest.mark.parametrize("given_to", ["old", "new"])
def test_a_ban_given_to_either_is_in_force_at_both_before_the_yes(given_to):
    clock, incumbent, successor, old, new, carry = sides()
    carry()
    here, there = (incumbent, new) if given_to == "old" else (successor, old)
    said = []
    here.send_ban("s-1", True, lambda: said.append(("apply_ban", "s-1", True) in there.did))
    assert not said
    carry()
    assert said == [True]


def test_a_yes_does_not_wait_long_for_a_process_that_hangs_or_has_gone():
    clock, incumbent, _, _, _, _ = sides()
    said = []
    incumbent.send_ban("s-1", True, lambda: said.append(1))
    clock.advance(BAN_TIMEOUT_S)
    assert said == [1]
    incumbent.send_ban("s-1", False, lambda: said.append(2))
    incumbent.link.close()
    incumbent.send_ban("s-2", True, lambda: said.append(3))
    clock.advance(BAN_TIMEOUT_S)
    assert said == [1, 2, 3]


# ---- the link


class Reactor(Clock):
    def __init__(self):
        super().__init__()
        self.readers, self.writers = set(), set()
        self.addReader, self.removeReader = self.readers.add, self.readers.discard
        self.addWriter, self.removeWriter = self.writers.add, self.writers.discard


def linked():
    reactor, ends = Reactor(), socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in ends:
        end.setblocking(False)
    return reactor, UpgradeLink(reactor, ends[0]), UpgradeLink(reactor, ends[1])


def test_packets_come_whole_and_in_order_with_their_descriptors():
    reactor, a, b = linked()
    got = []
    b.on_message = lambda message, fds: got.append((message["n"], len(fds), [os.close(fd) for fd in fds]))
    a.send({"n": 1})
    a.send({"n": 2}, [0, 1])
    b.doRead()
    assert [(n, count) for n, count, _ in got] == [(1, 0), (2, 2)]
    a.close()
    b.doRead()
    assert not b.open and not reactor.readers


def test_a_link_that_is_full_takes_no_connection_and_loses_no_word():
    reactor, a, b = linked()
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


def test_what_is_no_packet_ends_the_link_and_keeps_no_descriptor():
    _, a, b = linked()
    before = len(os.listdir("/proc/self/fd"))
    socket.send_fds(a.sock, [b"[]"], [0])
    b.doRead()
    assert not b.open and len(os.listdir("/proc/self/fd")) == before - 1


def test_the_socket_of_a_killed_process_is_no_predecessor_and_is_replaced(tmp_path):
    folder = tmp_path / ("deep" * 25)
    folder.mkdir()
    address = FolderAddress(str(folder))
    assert connect_to_incumbent([address]) is None
    RendezvousSocket(Reactor(), address, None).sock.close()
    assert (folder / SOCKET_FILE).exists() and connect_to_incumbent([address]) is None
    is_found_at(address)


def test_a_process_is_found_without_a_folder_by_its_own_successor_alone():
    address, other = NodeAddress(["n1", f"127.0.0.1:{os.getpid()}"]), NodeAddress(["n2", "127.0.0.1:9000"])
    is_found_at(address)
    bell = RendezvousSocket(Reactor(), address, None)
    with pytest.raises(OSError):
        RendezvousSocket(Reactor(), NodeAddress(["n1", f"127.0.0.1:{os.getpid()}"]), None)
    assert connect_to_incumbent([other]) is None
    bell.close()


def is_found_at(address):
    rung = []
    bell = RendezvousSocket(Reactor(), address, rung.append)
    sock = connect_to_incumbent([address])
    bell.doRead()
    assert len(rung) == 1
    for s in (sock, rung[0], bell.sock):
        s.close()


def test_an_address_that_cannot_be_had_just_now_is_tried_until_it_can(tmp_path, monkeypatch):
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


def test_a_link_that_finds_no_memory_for_a_moment_sends_all_of_it_after_that(monkeypatch):
    reactor, a, b = linked()
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
def test_a_link_that_cannot_read_just_now_is_not_at_its_end(monkeypatch, number):
    _, a, b = linked()
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


# ---- what each side does


def test_bans_and_hosts_are_told_whole(tmp_path):
    d = make_handler(hosts=2)
    service = service_over(d, tmp_path)
    d.update_roster(False, [row("s-1", "Terminating")])
    service.calls.call(b"exclude s-0", lambda answer: None)
    rows = {r["uid"]: r["state"] for r in d.hosts.export_rows()}
    assert rows == {"s-0": "Ready", "s-1": "Terminating"}
    later = make_handler(hosts=0)
    successor = service_over(later, tmp_path)
    successor.load_hosts(d.hosts.export_rows(), {"bans": ["s-0"]})
    assert not later.balancer.accepts_sessions(later.hosts.index_by_uid["s-0"])
    assert not later.balancer.accepts_sessions(later.hosts.index_by_uid["s-1"])


def test_a_process_that_has_given_its_port_takes_nobody_and_is_not_ready(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    said = []
    service.calls.call(b"readyz", said.append)
    assert said == [["NAK not-taking-clients"]]
    up(d)
    connect(d, opening(77))
    assert d.gauges()["open_requests"] == 2


def test_a_call_that_comes_before_the_list_waits_for_it(tmp_path):
    d = make_handler(hosts=0)
    service = service_over(d, tmp_path)
    said = []
    service.calls.call(b"exclude s-0", said.append)
    service.calls.call(b"include s-9", said.append)
    assert not said
    service.load_hosts([row("s-0")])
    assert said == [["ACK"], ["NAK unknown-host"]] and not d.balancer.accepts_sessions(0)


def test_an_incumbent_that_is_told_to_stop_hands_on_before_it_ends(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    service.port = Port()
    service.start_accepting()
    ended = []
    d.reactor.stop = lambda: ended.append(d.clock())
    client, _ = up(d)
    service.upgrade.side = Incumbent(d.reactor, Wired(), service.upgrade)
    service.upgrade.side.port_given = True
    service.upgrade.stop_accepting()
    service.stop()
    d.reactor.advance(0.1)
    assert not ended and not client.closing and d.sessions.by_index


class Port:
    """Whether the clients' port is read, as last asked for."""

    def __init__(self):
        self.reads = True

    def startReading(self):
        self.reads = True

    def stopReading(self):
        self.reads = False


def test_a_port_that_was_given_is_read_again_once_the_successor_has_gone(tmp_path):
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


def test_a_successor_that_is_stopped_before_it_took_over_takes_nothing(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    service.upgrade.side = Successor(d.reactor, Wired(), service.upgrade)
    d.reactor.stop = lambda: d.reactor.callLater(0, ended.append, 1)
    ended = []
    service.stop()
    d.reactor.advance(0.01)
    assert ended == [1] and not service.upgrade.in_progress


# ---- processes


@pytest.fixture
def nodes(tmp_path):
    nodes = NodeProcesses(tmp_path, FakeFleet())
    yield nodes
    nodes.end()


def test_connections_live_on_through_two_upgrades_and_bans_too(nodes):
    first = nodes.start()
    clients = [nodes.client(i) for i in range(12)]
    assert [lines.readline() for _, lines in clients] == [b"UP r1\r\n"] * 12
    clients[0][0].sendall(b"half a li")
    assert nodes.call(0, b"exclude s-0") == [b"ACK"]
    second = nodes.start()
    first.send_signal(signal.SIGTERM)  # as the platform does, as soon as the new one is ready
    assert first.wait(30) == 0 and nodes.figure(1, b"app_open_requests") == 12
    clients[0][0].sendall(b"ne\r\n")
    assert clients[0][1].readline() == b"half a line\r\n"
    refused, lines = nodes.client(50)
    assert lines.readline().startswith(b"BUSY") and nodes.figure(1, b"app_out_of_rotation") == 1
    third = nodes.start()
    assert second.wait(30) == 0 and nodes.call(2, b"include s-0") == [b"ACK"]
    for sock, lines in clients:
        sock.sendall(b"still\r\n")
        assert lines.readline() == b"still\r\n"
    # it counts as cold now, and takes a session only once its budget has one saved up
    until(lambda: nodes.client(51)[1].readline() == b"UP r1\r\n")
    third.send_signal(signal.SIGTERM)
    assert [lines.readline() for _, lines in clients] == [b"MOVE\r\n"] * 12
    assert third.wait(30) == 0 and not list((nodes.folder / "tmp").glob("*.sock.*"))


def test_no_connection_ends_at_the_door_while_processes_change(nodes):
    nodes.start()
    ends, stop = [], threading.Event()

    def knock():
        for number in range(1000, 9000):
            if stop.is_set():
                return
            sock, lines = nodes.client(number)
            ends.append(lines.readline())
            sock.close()

    knocker = threading.Thread(target=knock)
    knocker.start()
    for _ in range(2):
        nodes.start()
    stop.set()
    knocker.join()
    assert set(ends) == {b"UP r1\r\n"} and nodes.started[0].wait(30) == nodes.started[1].wait(30) == 0


def test_a_successor_killed_after_it_took_over_leaves_the_port_to_nobody_but_the_next(nodes):
    nodes.start()
    second = nodes.start()
    nodes.started[0].wait(30)
    second.kill()
    second.wait()
    nodes.start()
    _, lines = nodes.client(1)
    assert lines.readline() == b"UP r1\r\n"


def test_with_damaged_bans_and_nobody_to_ask_a_node_does_not_start(nodes):
    (nodes.folder / "tmp" / "caperdeck-bans.json").write_text('["s-0"')
    process = nodes.launch()
    assert process.wait(30) == 2 and b"caperdeck-bans.json" in (nodes.folder / "log0").read_bytes()


def test_a_second_process_with_a_broken_file_ends_and_the_first_serves_on(nodes):
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


def test_all_that_a_process_knows_goes_into_packets(tmp_path):
    d = make_handler(hosts=0)
    service = service_over(d, tmp_path)
    d.update_roster(True, [row("s-0", boot=1_790_000_000_000), row("s-1")])
    up(d)
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


# guards against: an upgrade that ends the link, as what is told of thousands of servers is over a packet
@pytest.mark.parametrize("uid", ["s-{:08x}", "slot-server-{:04}.portland-east.cells.example.org-long-name"])
def test_the_state_of_the_largest_fleet_fits_into_its_packets(tmp_path, uid):
    d = make_handler(hosts=0)
    service = service_over(d, tmp_path)
    started = unix_time() - 1000.0
    d.update_roster(True, [row(uid.format(i), boot=started + i / 10) for i in range(3200)])
    node = d.balancer._node
    node.warm_capacity = [123.456789012345678 + i for i in range(3200)]
    node.slots_started = [True] * 3200
    service.port = PortNumber()
    sent = []
    side = Incumbent(d.reactor, Wired(), service.upgrade)
    side.link.send = lambda message, fds=(): sent.append(encode(message))
    service.stop_accepting = lambda: None
    side.handle_message({"say": "hello", "who": [PROTOCOL_VERSION, *service.upgrade.identity()]}, [])
    side.handle_message({"say": "take"}, [])
    assert len(node.cold) == 3200 and max(map(len, sent)) < MAX_PACKET_BYTES
    assert sum(len(json.loads(packet).get("slots", ())) for packet in sent) == 3200
    later = service_over(make_handler(hosts=0), tmp_path)
    later.listen = later.discovery.start = later.begin = lambda *_: None
    successor = Successor(later.reactor, Wired(), later.upgrade)
    for packet in sent:
        successor.handle_message(json.loads(packet), [0])
    learned = later.handler.balancer._node
    assert learned.warm_capacity == node.warm_capacity and sum(learned.slots_started) == 3200


class PortNumber:
    def fileno(self):
        return 0
