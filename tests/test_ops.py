"""Operations: admin calls and connections, metrics, excluded hosts, clients that disconnect."""

import pytest
from helpers import (
    OPEN_LINE, START, RecordingTransport, accept, connect, dials, establish, establish_sessions, host_row,
    lose_connection, make_handler, make_node, open_line, report_loads, roster_entry, service_over,
    session_request,
)  # fmt: skip

from caperdeck.core.decide import TICK_TOKEN
from caperdeck.core.model import LoadReport, Move, Outcome, Probe, Refuse, RosterScope
from caperdeck.ops.bans import FILE_NAME, Bans, BansError
from caperdeck.ops.admin_calls import AdminCalls, ack
from caperdeck.state.figures import Metrics, Status
from caperdeck.ops.admin_server import MAX_CONNECTIONS, AdminServer

# ---- admin calls


def admin_calls():
    table = AdminCalls()
    table.add("readyz", 0, lambda then: then(ack()))
    table.add("exclude", 1, lambda uid, then: then(ack(uid)))
    return table


@pytest.mark.parametrize("line, answer", [
    (b"readyz", "ACK"), (b"exclude s-1", "ACK s-1"), (b"", "NAK unknown-verb"),
    (b"READYZ", "NAK unknown-verb READYZ"),
    (b"exclude", "NAK missing-argument"), (b"exclude ", "NAK missing-argument"),
    (b"exclude s-1 s-2", "NAK surplus-argument"), (b"readyz now", "NAK surplus-argument"),
    (b"exclude s\x001", "NAK control-bytes"), (b"exclude s\xff", "NAK bad-id"),
    (b"exclude " + b"x" * 201, "NAK bad-id"),
])  # fmt: skip
def test_a_call_is_carried_out_or_refused_with_its_reason(line, answer):
    answers = []
    admin_calls().call(line, answers.append)
    assert answers == [[answer]]


def connection(server, *pieces):
    """A caller's connection that has received these pieces."""
    made = server.buildProtocol(None)
    made.makeConnection(RecordingTransport())
    for piece in pieces:
        made.dataReceived(piece)
    return made


@pytest.mark.parametrize("pieces, answer", [
    ([b"readyz\r\n"], [b"ACK"]), ([b"re", b"adyz\r", b"\n"], [b"ACK"]), ([b"readyz\n"], [b"ACK"]),
    ([b"readyz\r\nreadyz\r\n"], [b"ACK"]), ([b"x" * 600], [b"NAK long-line"]), ([b"ready"], []),
])  # fmt: skip
def test_a_caller_gets_one_answer_to_one_call(pieces, answer):
    server = AdminServer(make_handler().reactor, admin_calls())
    assert connection(server, *pieces).transport.lines() == answer


def test_idle_callers_are_disconnected_and_do_not_block_a_call():
    reactor = make_handler().reactor
    server = AdminServer(reactor, admin_calls())
    idle = [connection(server, b"rea") for _ in range(MAX_CONNECTIONS)]
    assert (
        connection(server, b"readyz\n").transport.lines() == [b"ACK"] and idle[0].transport.ended == "reset"
    )
    assert not idle[-1].transport.ended and len(server.connections) == MAX_CONNECTIONS
    reactor.advance(6)
    assert all(c.transport.ended for c in idle)


def test_a_caller_that_closes_its_side_at_once_is_still_answered():
    server = AdminServer(make_handler().reactor, admin_calls())
    c = connection(server, b"readyz\n")
    c.readConnectionLost()
    assert c.transport.lines() == [b"ACK"] and c.transport.ended == "end"
    lose_connection(c)
    assert not server.connections


# ---- metrics


def counts(d):
    return d.metrics.answers["chat"], d.metrics.relayed_requests


def test_an_established_session_counts_once_and_is_open_until_its_end():
    d = make_handler()
    client, host = establish(d)
    assert counts(d) == ([1, 0, 0], 1) and d.gauges()["open_requests"] == 1
    host.dataReceived(b"BYE\r\n")
    lose_connection(host)
    assert counts(d) == ([1, 0, 0], 1) and d.gauges()["open_requests"] == 0


def test_a_refusal_by_all_hosts_counts_once_and_each_forwarded_request_is_counted():
    d = make_handler(hosts=3)
    client = connect(d, OPEN_LINE)
    for _ in range(3):
        accept(d).dataReceived(b"BUSY\r\n")
    assert client.transport.lines()[0].startswith(b"BUSY") and counts(d) == ([0, 1, 0], 3)


def test_a_dial_that_fails_before_the_request_is_sent_is_not_counted():
    d = make_handler()
    connect(d, OPEN_LINE)
    wire = RecordingTransport()
    wire.broken = True
    accept(d, wire)
    assert counts(d)[1] == 0


@pytest.mark.parametrize("sockets, line, expected", [
    (1024, OPEN_LINE.replace(b"d=1200", b"d=1e300"), [0, 0, 1]),
    (1024, OPEN_LINE.replace(b"c=chat", b"c=made-up"), [0, 0, 0]),
    (32, OPEN_LINE, [0, 1, 0]),
])  # fmt: skip
def test_a_client_refused_on_arrival_counts_under_a_class_of_the_settings(sockets, line, expected):
    d = make_handler(sockets=sockets)
    if sockets == 32:
        d.budget.used = 32
    connect(d, line)
    assert counts(d) == (expected, 0) and list(d.metrics.answers) == ["chat"]


def test_a_client_that_left_before_its_answer_is_not_counted():
    d = make_handler()
    client = connect(d, open_line(1))
    accept(d)
    lose_connection(client)
    assert counts(d) == ([0, 0, 0], 1) and d.gauges()["open_requests"] == 0


def test_metrics_have_one_line_each_and_keep_a_removed_class():
    metrics = Metrics()
    metrics.add_classes(["a", 'b"\\'])
    metrics.add_classes(["a"])
    metrics.count_answer("a", Status.FULFILLED)
    lines = metrics.lines({"open_requests": 14})
    assert 'app_operations_total{priority="a",status="fulfilled"} 1' in lines
    assert 'app_operations_total{priority="b\\"\\\\",status="throttled"} 0' in lines
    assert "app_open_requests 14" in lines and "app_relayed_total 0" in lines


# ---- hosts excluded by an operator


def service_in_memory(tmp_path, hosts=2):
    """A session handler in memory, and a service over it."""
    d = make_handler(hosts=hosts)
    return d, service_over(d, tmp_path)


def admin_call(service, line):
    answers = []
    service.calls.call(line, answers.append)
    return answers[0][0]


def test_a_ban_also_applies_to_dials_that_are_not_connected_yet(tmp_path):
    d, service = service_in_memory(tmp_path, hosts=1)
    client = connect(d, OPEN_LINE)
    assert admin_call(service, b"exclude s-0") == "ACK"
    conn = accept(d)
    assert conn.transport.lines() == [] and d.metrics.relayed_requests == 0
    d.reactor.pump([0.1] * 12)
    assert client.transport.lines()[0].startswith(b"BUSY") and d.gauges()["out_of_rotation"] == 1


@pytest.mark.parametrize("line, answer", [
    (b"exclude s-9", "NAK unknown-host"), (b"include s-9", "NAK unknown-host"), (b"include s-0", "ACK"),
])  # fmt: skip
def test_a_call_for_a_host_that_was_never_listed_is_refused(tmp_path, line, answer):
    _, service = service_in_memory(tmp_path)
    assert admin_call(service, line) == answer


@pytest.mark.parametrize("news", [
    [host_row("s-0")], [host_row("s-0", boot=int(START) + 50)], [host_row("s-0", "Terminating")],
    [host_row("s-0", "Gone")],
])  # fmt: skip
def test_a_ban_lasts_until_an_include_call_whatever_the_roster_says(tmp_path, news):
    d, service = service_in_memory(tmp_path)
    for _ in range(3):
        assert admin_call(service, b"exclude s-0") == "ACK"
    d.update_roster(False, news)
    d.update_roster(False, [host_row("s-0")])
    for _ in range(12):
        connect(d, open_line(d.sessions.created_count))
    assert {port for _, port, *_ in d.reactor.tcpClients} == {9001}
    assert admin_call(service, b"include s-0") == "ACK" and d.balancer.accepts_sessions(0)
    assert d.gauges()["out_of_rotation"] == 0


def test_an_included_host_has_the_state_of_the_current_roster(tmp_path):
    d, service = service_in_memory(tmp_path)
    admin_call(service, b"exclude s-0")
    d.update_roster(False, [host_row("s-0", "Terminating")])
    admin_call(service, b"include s-0")
    assert not d.balancer.accepts_sessions(0)


def test_excluded_and_included_hosts_are_stored_for_the_next_process(tmp_path):
    d, service = service_in_memory(tmp_path)
    admin_call(service, b"exclude s-0")
    admin_call(service, b"exclude s-1")
    admin_call(service, b"include s-1")
    later = Bans(str(tmp_path))
    later.load()
    assert list(later.uids) == ["s-0"] and [p.name for p in tmp_path.glob("*bans*")] == [FILE_NAME]


def test_a_ban_that_cannot_be_written_applies_and_is_not_acknowledged(tmp_path):
    d, service = service_in_memory(tmp_path)
    path, service.bans.folder = service.bans.folder, str(tmp_path / "no" / "folder")
    answers = []
    service.calls.call(b"exclude s-0", answers.append)
    assert not answers and not d.balancer.accepts_sessions(0)
    d.reactor.pump([0.05] * 16)
    assert answers == [["NAK bans-unwritable"]] and not d.balancer.accepts_sessions(0)
    service.bans.folder = path
    service.sweep()
    later = Bans(str(tmp_path))
    later.load()
    assert list(later.uids) == ["s-0"]


@pytest.mark.parametrize("text", ["", "{", '{"s-0": 1}', '["s-0", 7]', '["s-0"'])
def test_a_damaged_file_of_bans_is_reported_and_not_read_in_part(tmp_path, text):
    (tmp_path / FILE_NAME).write_text(text)
    with pytest.raises(BansError, match=FILE_NAME):
        Bans(str(tmp_path)).load()


def test_a_readmitted_host_is_cold_and_soon_gets_a_session():
    n = make_node(12)
    report_loads(n, [0.2] * 12)
    n.set_ban(START, 5, True)
    assert 5 not in {dials(n.open_session(START, session_request(i)))[0].host for i in range(30)}
    n.set_ban(START + 2000, 5, False)
    assert n._warm_share(START + 2000, 5) == pytest.approx(0.3)
    n.unit_capacity = 400.0  # small enough that the budget allows a light session after a few requests
    n.probed_at = [START + 5000.0] * 12
    tried = [
        dials(n.open_session(START + 2100 + 100 * i, session_request(40 + i, load=1.0)))[0].host
        for i in range(20)
    ]
    assert 5 in tried


@pytest.mark.parametrize("others", [[0.9, 0.9, 0.9, 0.5], [0.85, 0.8, 0.8, 0.6]])
def test_a_readmitted_host_is_probed_though_the_mean_load_is_high_and_another_host_has_headroom(others):
    # Judged by the mean load alone, the host got no session and no probe as long as any host had headroom.
    n = make_node(5, nodes=2)
    n.unit_capacity, n.mean_hint, n.request_count = 1200.0, 10.0, 1000
    report_loads(n, [0.1, *others])
    n.set_ban(START - 4000, 0, True)
    n.set_ban(START, 0, False)
    tried = []
    for i in range(20):
        acts = n.open_session(START + 250.0 * i, session_request(i))
        probes = [a.host for a in acts if isinstance(a, Probe)]
        assert not probes or not dials(acts)  # no session is sent before the probe is answered
        for h in probes:
            report = LoadReport(others[h - 1] if h else 0.0, None, 80 if h else 0)
            acts += n.probe_completed(START + 250.0 * i, h, Outcome.GOOD, report)
        tried += [a.host for a in dials(acts)]
    assert len(tried) == 20 and tried.count(0) > 10


def test_a_host_excluded_again_before_it_got_a_session_gets_none():
    n = make_node(3)
    report_loads(n, [0.2] * 3)
    for out in (True, False, True):
        n.set_ban(START, 1, out)
    assert 1 not in n.cold and 1 not in {
        a.host for i in range(30) for a in dials(n.open_session(START, session_request(i)))
    }


@pytest.mark.parametrize("listed_born, born", [(0.0, 2000.0), (500.0, 2000.0), (1500.0, 1500.0)])
def test_a_readmitted_host_counts_as_started_at_its_restart_or_the_call_whichever_is_later(listed_born, born):
    n = make_node(2)
    n.set_ban(START + 1000, 0, True)
    n.update_roster(
        START + 1600,
        RosterScope.CHANGES,
        [roster_entry(0, started_at=START + listed_born if listed_born else 0.0)],
    )
    n.set_ban(START + 2000, 0, False)
    assert n.started_at[0] == START + born
    n.update_roster(START + 2100, RosterScope.CHANGES, [roster_entry(0)])
    assert n.started_at[0] == START + born


@pytest.mark.parametrize("held", [40, 60, 20, 200])
def test_a_restarted_host_is_filled_up_to_its_own_earlier_capacity(held, figure=0.4):
    n = make_node(4)
    for h in range(4):
        establish_sessions(n, h, [10.0] * 20, first=100 * h + 100)
        n.probe_completed(START, h, Outcome.GOOD, LoadReport(figure, None, held if h == 0 else 40))
    n._update_fleet_view(START)
    mean = n.unit_capacity
    assert n._warm_capacity(1) == pytest.approx(10.0 * 40 / 0.4, rel=0.05)
    assert n._warm_capacity(0) == pytest.approx(min(10.0 * held / 0.4, 2 * mean), rel=0.05)
    assert n._warm_capacity(0) >= mean / 2
    n.set_ban(START, 0, True)
    n.set_ban(START + 3000, 0, False)
    assert n._warm_capacity(0) == pytest.approx(min(10.0 * held / 0.4, 2 * mean), rel=0.05)


def test_the_load_of_a_cold_host_does_not_set_its_capacity():
    n = make_node(entries=[roster_entry(0, started_at=START - 1000.0), roster_entry(1)])
    for h in range(2):
        establish_sessions(n, h, [10.0] * 20, first=100 * h + 100)
        n.probe_completed(START, h, Outcome.GOOD, LoadReport(0.4, None, 40))
    n._update_fleet_view(START)
    assert not n.warm_capacity[0] and n.warm_capacity[1]


def test_the_budget_of_a_cold_host_depends_on_established_sessions_not_on_retries():
    n = make_node(4)
    for h in range(4):
        establish_sessions(n, h, [10.0] * 20, first=100 * h + 100)
        n.probe_completed(START, h, Outcome.GOOD, LoadReport(0.4, None, 40))
    n._update_fleet_view(START)
    for i in range(300):
        n._new_session(START, session_request(1000 + i, load=500.0))
    n._update_fleet_view(START)
    n.update_roster(START, RosterScope.CHANGES, [roster_entry(0, started_at=START)])
    assert n._slot_price(START + 900, n.sessions[100]) < 60.0 and n.mean_hint > 300.0


def test_a_successor_takes_over_the_learned_state_of_each_host():
    d, later = make_handler(hosts=3), make_handler(hosts=0)
    n = d.balancer._node
    n.unit_capacity, n.mean_session_load, n.warm_capacity[1] = 4000.0, 25.0, 5000.0
    later.update_roster(True, [host_row("s-2", port=9002), host_row("s-1", port=9001)])
    memory = d.balancer.learned_state()
    later.restore_learned_state(memory, dict(zip(d.hosts.uids, memory["able"], strict=True)))
    m = later.balancer._node
    assert (m.unit_capacity, m.mean_session_load, m.warm_capacity[later.hosts.index_by_uid["s-1"]]) == (
        4000.0,
        25.0,
        5000.0,
    )


def test_established_sessions_stay_on_an_excluded_host():
    n = make_node(3)
    establish_sessions(n, 0, [10.0] * 20)
    report_loads(n, [0.3, 0.3, 0.1])
    n.set_ban(START, 0, True)
    assert not [
        a for i in range(1, 4) for a in n.timer_fired(START + 500 * i, TICK_TOKEN) if isinstance(a, Move)
    ]


def test_with_every_host_excluded_a_session_is_refused_with_a_back_off():
    n = make_node(2, may_probe=False)
    for h in range(2):
        n.set_ban(START, h, True)
    n.open_session(START, session_request(1, time_left=50.0))
    acts = n.open_session(START, session_request(2, time_left=50.0))
    assert isinstance(acts[-1], Refuse) and acts[-1].back_off > 0


# ---- partial input, idle connections, clients that disconnect


def tables(d):
    n = d.balancer._node
    return (
        len(d.sessions.by_index), len(d.sessions.ids.open_here), len(d.sessions.unanswered),
        len(d.idle_clients), d.budget.client_connections, d.budget.session_count, len(n.sessions),
        sum(n.connections), sum(n.pending_dials), sum(map(len, n.established)), len(n.used_hosts),
        len(d.balancer._dials), sum(map(len, n.probe_waiters)),
    )  # fmt: skip


def nothing(d):
    return connect(d), None


def half_a_head(d):
    client = connect(d)
    client.dataReceived(open_line(d.sessions.created_count)[:30])
    return client, None


def dialling(d):
    client = connect(d, open_line(d.sessions.created_count))
    return client, None


def head_sent(d):
    client = connect(d, open_line(d.sessions.created_count))
    return client, accept(d)


def half_an_up(d):
    client, host = head_sent(d)
    host.dataReceived(b"UP r")
    return client, host


def standing_quiet(d):
    return establish(d)


def half_a_line(d):
    client, host = establish(d)
    client.dataReceived(b"one\r\ntw")
    host.dataReceived(b"MO")
    return client, host


@pytest.mark.parametrize("state", [
    nothing, half_a_head, dialling, head_sent, half_an_up, standing_quiet, half_a_line,
])  # fmt: skip
@pytest.mark.parametrize("clean", [True, False])
def test_clients_that_disconnect_in_any_state_leave_no_entry_behind(state, clean):
    d = make_handler(hosts=3)
    start = tables(d)
    for _ in range(100):
        client, host = state(d)
        if clean:
            client.readConnectionLost()
        lose_connection(client, clean)
        if host is not None and not host.ended:
            lose_connection(host)
    d.reactor.pump([0.1] * 30)
    assert tables(d) == start


@pytest.mark.parametrize("cut", range(1, 9))
def test_lines_split_at_any_byte_are_forwarded_complete(cut):
    d = make_handler(hosts=1)
    client = connect(d)
    line = OPEN_LINE + b"\r\n"
    at = len(line) - cut
    client.dataReceived(line[:at])
    client.dataReceived(line[at:])
    host = accept(d)
    for piece in (b"UP r1\r\nMOVE\r\n"[:cut], b"UP r1\r\nMOVE\r\n"[cut:]):
        host.dataReceived(piece)
    lose_connection(host)
    assert client.transport.lines() == [b"UP r1", b"MOVE"] and client.transport.ended == "end"


def test_a_redirect_by_the_node_is_not_written_into_a_line(tmp_path):
    d = make_handler(hosts=1)
    client, host = establish(d)
    host.dataReceived(b"whole\r\nha")
    d.redirect(next(iter(d.sessions.by_index.values())), "stop")
    assert client.transport.value() == b"whole\r\nMOVE\r\n"
