"""Two processes of one node serve at once, and a call to either of them applies in both.

Guards against new sessions on a host after its exclusion was acknowledged, in the seconds after an upgrade.
The call came at the time of SIGTERM to the old process, which still served its clients, but the processes had
no link. Once discovery states the start of any host, as it does for one restarted while excluded, the old
process could not encode its state and closed the link. The new process took it for gone, and each process
knew only the calls made to itself. A passing lack of resources while the new process looks for the old one
had the same effect. In the log, no connection outlived the upgrade, and the old process took as long as for a
stop instead of a handover.
"""

import errno
import fcntl
import json
import os
import signal
from dataclasses import replace

import orjson
import pytest
from helpers import (
    CONFIG, NODE_CONFIG, OPEN_LINE, START, accept, captured_log, connect, dials, make_handler, make_settings,
    open_line, report_loads, roster_entry, service_over, session_request, write_config,
)  # fmt: skip
from node_processes import FakeFleet, NodeProcesses, until
from test_upgrade import MemoryLink, PortNumber, calls_of, connected_sides, raised

from caperdeck.core.decide import Node
from caperdeck.core.model import Outcome, RosterScope
from caperdeck.lifecycle.service import UNSIGNALLED_START_S
from caperdeck.ops.bans import FILE_NAME, BanChange, Bans, FileStamp
from caperdeck.ops.upgrade_protocol import Successor
from caperdeck.wire.list_currency import NEW_ADDRESS_GRACE_S

# Resources that are missing: as the old process starts, as the new one starts, and a folder shared by both.
MISSING_RESOURCES = [
    ("", "no_unix_socket_for_a_moment", True),
    ("", "no_unix_connect_for_a_moment", True),
    ("", "no_unix_sockets", True),
    ("no_unix_socket_for_a_moment", "", True),
    ("no_room_in_the_folder", "", True),
    ("", "", False),
]


@pytest.fixture(scope="module")
def fake_fleet():
    return FakeFleet()


@pytest.fixture
def run_nodes(tmp_path, fake_fleet):
    made = []

    def run(folder=True):
        fake_fleet.requests = 0
        made.append(NodeProcesses(tmp_path, fake_fleet, shared_folder=folder))
        return made[-1]

    yield run
    for nodes in made:
        nodes.end()


def test_a_process_that_knows_the_start_of_a_host_hands_over_its_connections(tmp_path):
    nodes = NodeProcesses(tmp_path, FakeFleet(boot=1_790_000_000_000))
    try:
        old = nodes.start()
        # The host is cold and gets a session only once its slow-start budget allows one.
        until(lambda: nodes.client(len(nodes.clients))[1].readline() == b"UP r1\r\n")
        nodes.start()
        old.send_signal(signal.SIGTERM)
        assert old.wait(30) == 0 and nodes.metric(1, b"app_open_requests") == 1
        assert "reason=handed-on" in nodes.log(0)
    finally:
        nodes.end()


@pytest.mark.parametrize("old, new, folder", MISSING_RESOURCES)
def test_the_old_process_sends_nothing_to_a_host_excluded_at_the_new_one(
    run_nodes, fake_fleet, old, new, folder
):
    nodes = run_nodes(folder)
    first = nodes.start(old)
    resting = [nodes.resting_client() for _ in range(3)]
    nodes.start(new)
    first.send_signal(signal.SIGTERM)
    assert nodes.call(1, b"exclude s-0") == [b"ACK"]
    for number, (sock, _) in enumerate(resting):
        sock.sendall(open_line(number) + b"\r\n")
    assert [lines.readline()[:4] for _, lines in resting] == [b"BUSY"] * 3
    assert fake_fleet.requests == 0


@pytest.mark.parametrize("old, new, folder", MISSING_RESOURCES[:4])
def test_the_new_process_sends_nothing_to_a_host_excluded_at_the_old_one(
    run_nodes, fake_fleet, old, new, folder
):
    nodes = run_nodes(folder)
    first = nodes.start(old)
    resting = nodes.resting_client()  # keeps the old process from ending
    nodes.start(new)
    assert nodes.call(0, b"exclude s-0") == [b"ACK"]
    first.send_signal(signal.SIGTERM)
    assert first.wait(30) == 0
    resting[0].close()
    _, lines = nodes.client(1)
    assert lines.readline().startswith(b"BUSY") and fake_fleet.requests == 0


def test_a_passing_failure_of_the_link_does_not_separate_the_processes(run_nodes):
    nodes = run_nodes()
    old = nodes.start("a_link_that_fails_once")
    clients = [nodes.client(number) for number in range(3)]
    assert [lines.readline() for _, lines in clients] == [b"UP r1\r\n"] * 3
    nodes.start()
    assert old.wait(10) == 0 and nodes.metric(1, b"app_open_requests") == 3
    for sock, lines in clients:
        sock.sendall(b"still\r\n")
        assert lines.readline() == b"still\r\n"


# ---- the shared file, where the processes have no link


def unlinked_services(folder, hosts=2):
    """Two services of one node without a link, each with its own session handler."""
    return [service_over(make_handler(hosts=hosts), folder) for _ in range(2)]


def admin_call(service, line):
    answers = []
    service.calls.call(line, answers.append)
    return answers[0][0] if answers else None


def test_a_request_is_not_sent_to_a_host_excluded_meanwhile_at_the_other_process(tmp_path):
    here, there = unlinked_services(tmp_path, hosts=1)
    client = connect(here.handler, OPEN_LINE)
    assert admin_call(there, b"exclude s-0") == "ACK"
    host = accept(here.handler)
    assert host.transport.value() == b"" and not client.transport.value().startswith(b"UP")


def test_a_host_included_at_one_process_serves_again_at_both(tmp_path):
    here, there = unlinked_services(tmp_path)
    assert admin_call(there, b"exclude s-0") == "ACK"
    here.sweep()
    assert not here.handler.balancer.accepts_sessions(0) and list(here.bans.uids) == ["s-0"]
    assert admin_call(here, b"include s-0") == "ACK"
    there.sweep()
    assert there.handler.balancer.accepts_sessions(0) and not there.bans.uids


def test_concurrent_calls_to_both_processes_are_all_saved(tmp_path):
    here, there = unlinked_services(tmp_path)
    assert admin_call(here, b"exclude s-0") == admin_call(there, b"exclude s-1") == "ACK"
    here.sweep()
    assert set(here.bans.uids) == {"s-0", "s-1"} == set(orjson.loads((tmp_path / FILE_NAME).read_bytes()))


def test_changes_that_leave_the_stamp_of_the_file_the_same_are_read(tmp_path, monkeypatch):
    here, there = Bans(str(tmp_path)), Bans(str(tmp_path))
    monkeypatch.setattr(
        Bans, "_read_stamp", lambda bans: FileStamp(1, 1, 1)
    )  # as within one tick of the kernel
    for out in (True, False, True):
        there.apply(BanChange("s-0", out))
        there.save()
        here.read_external_changes(1000.0)
        assert ("s-0" in here.uids) is out


def test_a_call_that_is_saved_after_a_retry_is_acknowledged(tmp_path, monkeypatch):
    here, there = unlinked_services(tmp_path)
    answers = []
    with monkeypatch.context() as full:
        full.setattr("caperdeck.ops.bans.os.rename", lambda *_: raised(errno.EIO))
        here.calls.call(b"exclude s-0", answers.append)
        here.handler.reactor.pump([0.02] * 10)
        assert not answers and not here.handler.balancer.accepts_sessions(0)
    here.handler.reactor.pump([0.02] * 2)
    there.sweep()
    assert answers == [["ACK"]] and not there.handler.balancer.accepts_sessions(0)


def test_an_unsaved_include_call_is_not_undone_by_the_old_file(tmp_path, monkeypatch):
    (here, _) = unlinked_services(tmp_path)
    assert admin_call(here, b"exclude s-0") == "ACK"
    monkeypatch.setattr("caperdeck.ops.bans.os.rename", lambda *_: raised(errno.ENOSPC))
    assert admin_call(here, b"include s-0") is None
    here.sweep()
    assert here.handler.balancer.accepts_sessions(0)
    successor = Bans(str(tmp_path))
    successor.adopt(list(here.bans.uids), here.bans.unsaved)
    assert not successor.uids


def test_a_call_that_crosses_the_state_sent_to_a_successor_still_applies(tmp_path):
    here, there = unlinked_services(tmp_path)
    rows, state, _ = export_state(here)
    assert admin_call(here, b"exclude s-0") == "ACK"
    there.load_hosts(rows, json.loads(orjson.dumps(state)))
    here.sweep()
    assert not here.handler.balancer.accepts_sessions(0) and not there.handler.balancer.accepts_sessions(0)


def export_state(service):
    service.port = PortNumber()
    return service.upgrade.export_state()


def hand_over_state(here, there):
    """Makes the second service a successor that has the first one's state, as it arrives."""
    rows, state, _ = export_state(here)
    there.listen = there.discovery.start = lambda *_: None
    there.upgrade.import_state(rows, json.loads(orjson.dumps(state)), [0])


def test_emptying_the_folder_includes_no_host(tmp_path):
    here, there = unlinked_services(tmp_path)
    assert admin_call(there, b"exclude s-0") == "ACK"
    here.sweep()
    (tmp_path / FILE_NAME).unlink()
    here.sweep()
    assert not here.handler.balancer.accepts_sessions(0)
    later = Bans(str(tmp_path))
    later.load()
    assert list(later.uids) == ["s-0"]


def test_damaging_the_file_while_a_node_serves_includes_no_host(tmp_path):
    here, _ = unlinked_services(tmp_path)
    assert admin_call(here, b"exclude s-0") == "ACK"
    (tmp_path / FILE_NAME).write_text('["s-')
    with captured_log() as lines:
        here.sweep()
        here.sweep()
    assert not here.handler.balancer.accepts_sessions(0) and len(lines) == 1 and "bans-unreadable" in lines[0]
    assert admin_call(here, b"exclude s-1") == "ACK"
    assert set(orjson.loads((tmp_path / FILE_NAME).read_bytes())) == {"s-0", "s-1"}


def test_a_write_waits_for_the_lock_of_another_process(tmp_path):
    here, _ = unlinked_services(tmp_path)
    answers = []
    fd = os.open(tmp_path, os.O_RDONLY)
    fcntl.flock(fd, fcntl.LOCK_EX)
    here.calls.call(b"exclude s-0", answers.append)
    here.handler.reactor.advance(0.02)
    assert not answers and not here.handler.balancer.accepts_sessions(0)
    os.close(fd)
    here.handler.reactor.advance(0.02)
    assert answers == [["ACK"]]


@pytest.mark.parametrize("number", [errno.EIO, errno.EMFILE])
def test_a_passing_read_error_of_the_bans_does_not_keep_a_node_from_starting(tmp_path, monkeypatch, number):
    (tmp_path / FILE_NAME).write_text('["s-0"]')
    left, read = [3], open

    def failing(path, *rest, **named):
        if str(path).endswith(FILE_NAME) and left[0]:
            left[0] -= 1
            raise OSError(number, os.strerror(number))
        return read(path, *rest, **named)

    monkeypatch.setattr("builtins.open", failing)
    monkeypatch.setattr("caperdeck.state.errors.time.sleep", lambda seconds: None)
    bans = Bans(str(tmp_path))
    bans.load()
    assert list(bans.uids) == ["s-0"] and not left[0]


# ---- what else applies to the whole node


def test_a_host_included_before_an_upgrade_is_cold_at_the_new_process_too(tmp_path):
    here, there = unlinked_services(tmp_path)
    admin_call(here, b"exclude s-0")
    admin_call(here, b"include s-0")
    at = here.handler.balancer.readmitted[0]
    hand_over_state(here, there)
    node = there.handler.balancer._node
    assert node.started_at[0] == at and node._warm_share(at + 1.0, 0) == pytest.approx(0.3, abs=0.01)
    assert node._warm_share(at + 1.0, 1) == 1.0


DURATION_MS = 4000.0  # in which sessions arrive at both processes
INTERVAL_MS = 10.0


def cold_node(now):
    """A node of three that has learned the load of a session; the first of its two hosts has just started."""
    made = Node(make_settings(), now)
    made.update_roster(now, RosterScope.SAVED, [roster_entry(0, started_at=START), roster_entry(1)])
    made.unit_capacity, made.mean_hint, made.request_count, made.mean_session_load = 2000.0, 10.0, 1000, 10.0
    return made


def sent_cold(nodes, first, until):
    """How many requests the nodes, asked alternately, send to the cold host between these times."""
    count, now = 0, first
    while now < until:
        for number, made in enumerate(nodes):
            made.probed_at = [now, now]
            report_loads(made, [0.1, 0.1], now)
            sid = int(now) * len(nodes) + number
            count += sum(dial.host == 0 for dial in dials(made.open_session(now, session_request(sid))))
            made.client_disconnected(now, sid)
            made.dial_ended(now, sid, 0, Outcome.WITHDRAWN, True)
        now += INTERVAL_MS
    return count


def test_both_processes_of_an_upgrade_together_use_the_slow_start_slots_of_one():
    alone = sent_cold([cold_node(START)], START, START + DURATION_MS)
    half = START + DURATION_MS / 2
    old, new = cold_node(START), cold_node(half)
    count = sent_cold([old], START, half)
    new.take_over_slots(half, old.hand_over_slots(half))
    count += sent_cold([old, new], half, START + DURATION_MS)
    assert alone > 10 and abs(count - alone) <= 1
    apart = sent_cold([cold_node(START), cold_node(START)], START, START + DURATION_MS)
    assert apart > 1.5 * alone  # two processes that do not share the slots send more


def test_slots_are_returned_by_a_process_that_has_ended():
    old = cold_node(START)
    old.hand_over_slots(START + 100.0)
    assert sent_cold([old], START + 100.0, START + 1000.0) == 0
    old.take_slots_back()
    assert sent_cold([old], START + 1000.0, START + DURATION_MS) > 5


@pytest.mark.parametrize("line, current", [(b"", True), (None, False)], ids=["heard", "silent"])
def test_a_new_process_takes_the_list_for_as_current_as_the_old_one_does(tmp_path, line, current):
    # Guards against requests by a saved list after an upgrade in the outage in which the old process started.
    here, there = unlinked_services(tmp_path)
    if line is not None:
        here.discovery.line_received(line)
    hand_over_state(here, there)
    assert here.discovery.is_current is there.discovery.is_current is current


@pytest.mark.parametrize("same, revision", [(True, 41), (False, 0)])
def test_a_new_process_with_another_discovery_asks_it_for_its_whole_list(tmp_path, same, revision):
    # Guards against drains missed because the new discovery is asked for changes since the old one's version.
    here, there = unlinked_services(tmp_path)
    here.discovery.line_received(b"")
    if not same:
        here.discovery.address = "127.0.0.1:8501"
    hand_over_state(here, there)
    assert there.discovery.rev == revision and there.discovery.is_current
    there.handler.reactor.advance(NEW_ADDRESS_GRACE_S)
    assert there.discovery.is_current is same


HEARD_SINCE = {
    "nothing new": (None, True),
    "a change": (b'{"rev":42,"all":false,"targets":[]}', False),
}


@pytest.mark.parametrize("line, current", HEARD_SINCE.values(), ids=HEARD_SINCE)
@pytest.mark.parametrize("own_line", [False, True], ids=["silent", "heard"])
def test_a_change_that_the_old_process_hears_after_its_state_makes_the_list_old(
    tmp_path, line, current, own_line
):
    # Guards against requests by the list of the state, where an outage hides what was heard after it.
    here, there = unlinked_services(tmp_path)
    here.discovery.line_received(b"")
    hand_over_state(here, there)
    if line is not None:
        here.discovery.line_received(line)
    if own_line:
        there.discovery.line_received(b"")
    there.upgrade.incumbent_stopped(json.loads(orjson.dumps(here.upgrade.list_state())))
    assert there.discovery.is_current is (current or own_line)


def test_a_list_from_a_process_that_has_died_is_not_current(tmp_path):
    # Guards against requests by a list from the state of a process that is killed before it gives the port.
    here, there = unlinked_services(tmp_path)
    here.discovery.line_received(b"")
    there.port, there.begin = PortNumber(), lambda: None
    hand_over_state(here, there)
    assert there.discovery.is_current
    there.upgrade.begin_alone()
    assert not there.discovery.is_current
    there.discovery.line_received(b"")
    assert there.discovery.is_current


CLASSES = CONFIG["settings"]["listeners"]
ANOTHER_CLASS = {"settings": CONFIG["settings"] | {"listeners": [*CLASSES, CLASSES[0] | {"name": "desk"}]}}


def test_a_reload_before_the_processes_are_linked_applies_at_the_new_one_too(run_nodes, fake_fleet):
    # Guards against a node that serves on with old classes and effects: a signal to the old process in the
    # time between the new one's reading of its file and its link to the old one.
    nodes = run_nodes()
    old = nodes.start()
    nodes.launch("a_connect_that_waits")
    until((nodes.folder / "tmp" / "waiting").exists)
    nodes.config |= ANOTHER_CLASS
    for number in range(2):
        nodes.write_config(number)
    old.send_signal(signal.SIGHUP)
    until(lambda: nodes.metric(0, b"app_cfg_accepted_total") == 1)
    (nodes.folder / "tmp" / "go").touch()
    until(lambda: nodes.call(1, b"readyz") == [b"ACK"])
    assert old.wait(30) == 0
    sock, lines = nodes.resting_client()
    sock.sendall(open_line(1).replace(b"c=chat", b"c=desk") + b"\r\n")
    assert lines.readline() == b"UP r1\r\n" and nodes.metric(1, b"app_cfg_accepted_total") == 1


def successor_state(tmp_path):
    """A service that has become a successor, and the state that its incumbent sends."""
    incumbent, successor = unlinked_services(tmp_path)
    rows, state, _ = export_state(incumbent)
    successor.listen = successor.discovery.start = lambda *_: None
    successor.upgrade.side = Successor(successor.handler.reactor, MemoryLink(), successor.upgrade)
    return successor, rows, json.loads(orjson.dumps(state))


def alone(tmp_path):
    (service, _) = unlinked_services(tmp_path)
    service.listen = service.discovery.start = lambda *_: None
    return service


def as_it_opens_alone(tmp_path, replace_file):
    service = alone(tmp_path)
    replace_file()
    service.open_alone()
    return service


def as_it_gets_the_state(tmp_path, replace_file):
    service, rows, state = successor_state(tmp_path)
    replace_file()
    service.upgrade.import_state(rows, state, [0])
    return service


def as_the_incumbent_ends(tmp_path, replace_file):
    service, rows, state = successor_state(tmp_path)
    service.upgrade.import_state(rows, state, [0])
    service.upgrade.side.has_state = service.upgrade.side.began = True
    replace_file()
    service.upgrade.side.link.close()
    return service


def after_the_first_second(tmp_path, replace_file):
    service = alone(tmp_path)
    service.install_signal_handlers = lambda: None
    service.upgrade.contact_incumbent = lambda: True
    service.config = replace(service.config, admin=None)
    service.start()
    replace_file()
    service.reactor.advance(UNSIGNALLED_START_S)
    return service


MOMENTS = [as_it_opens_alone, as_it_gets_the_state, as_the_incumbent_ends, after_the_first_second]


# Guards against a reload that is lost because its signal went to a process that could not pass it on.
@pytest.mark.parametrize("read", MOMENTS)
def test_a_file_replaced_before_this_process_can_be_told_is_applied(tmp_path, read):
    service = read(tmp_path, lambda: write_config(tmp_path / "c", NODE_CONFIG | ANOTHER_CLASS))
    assert "desk" in service.config.names.listeners and service.handler.metrics.accepted_configs == 1


@pytest.mark.parametrize("read", MOMENTS)
def test_a_file_that_still_applies_is_not_counted_as_a_reload(tmp_path, read):
    known = {"known": {"rev": 50, "targets": []}}
    service = read(tmp_path, lambda: write_config(tmp_path / "c", NODE_CONFIG | known))
    metrics = service.handler.metrics
    assert metrics.accepted_configs == metrics.rejected_configs == 0


@pytest.mark.parametrize("read", MOMENTS)
def test_a_broken_file_found_by_a_new_process_changes_nothing(tmp_path, read):
    service = read(tmp_path, lambda: write_config(tmp_path / "c", '{"name": "n1", "list'))
    metrics = service.handler.metrics
    assert metrics.accepted_configs == metrics.rejected_configs == 0
    assert list(service.config.names.listeners) == ["chat"]


@pytest.mark.parametrize("signalled", ["old", "new"])
def test_a_reload_of_one_process_makes_both_reload(signalled):
    _, incumbent, successor, old, new, deliver = connected_sides()
    deliver()
    here, there = (incumbent, new) if signalled == "old" else (successor, old)
    here.send_reload()
    deliver()
    assert calls_of(there).count("reload") == 1


def test_a_successor_reloads_only_after_it_has_the_state():
    _, incumbent, successor, _, new, deliver = connected_sides()
    incumbent.send_reload()
    for message in incumbent.link.sent:
        successor.handle_message(message, [])
    incumbent.link.sent.clear()
    assert calls_of(new) == []
    deliver()
    assert calls_of(new) == ["import_state", "reload"]
