"""A node that shares state with its peers: configuration, port and metrics, partly with real processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from helpers import (
    CONFIG,
    SETUP,
    free_ports,
    captured_log,
    make_handler,
    ping_until_ready,
    host_row,
    serve_lines,
    serve_host_list,
    service_over,
    write_config,
)  # fmt: skip

from caperdeck.core.fleet_state import FleetState
from caperdeck.core.quotas import HEADROOM_BUDGET
from caperdeck.gossip.shared_decisions import SharedIdDecisions
from caperdeck.gossip.sharing import SHARED_HEADROOM_BUDGET, SharingFeatures, life_from
from caperdeck.lifecycle.config import ConfigError, decode_config
from caperdeck.lifecycle.sharing import PeersError, load_uses, create_peer_port, parse_peers
from caperdeck.ops.show_peers import show_peers
from caperdeck.state.addresses import Address
from caperdeck.wire.peers import PeerPort

PEERS = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
SHARED = {
    "peers": PEERS, "peer_listen": PEERS[1],
    "settings": SETUP | {"me": 1, "limits": SETUP["limits"] | {"peers": True}},
}  # fmt: skip


@pytest.mark.parametrize("text, reason", [
    ("room = 1", "room is neither true nor false"),
    ("rooms = true", "unknown key rooms"),
    ("room = ", "not valid TOML"),
    (None, "No such file"),
])  # fmt: skip
def test_an_invalid_file_names_the_reason(text, reason, tmp_path):
    path = tmp_path / "s.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError, match=reason):
        load_uses(str(path))


def test_the_file_under_deploy_is_complete():
    assert load_uses("deploy/sharing.toml") == SharingFeatures(*[True] * len(SharingFeatures._fields))


@pytest.mark.parametrize("peers, listen, me, reason", [
    (None, PEERS[0], 0, "no peers"),
    (PEERS, PEERS[0], 3, "not the number of a peer"),
    (PEERS, PEERS[0], True, "not the number of a peer"),
    (PEERS, None, 0, "address"),
    ([*PEERS, "nowhere"], PEERS[0], 0, "nowhere"),
    ([PEERS[0], PEERS[0]], PEERS[0], 0, "twice"),
    (PEERS * 2000, PEERS[0], 0, "over 4096"),
])  # fmt: skip
def test_unusable_peers_have_a_reason(peers, listen, me, reason):
    with pytest.raises(PeersError, match=reason):
        parse_peers(peers, listen, me)


class ComparedAddress(Address):
    """An address that counts comparisons with others."""

    comparisons = 0

    def __eq__(self, other):
        ComparedAddress.comparisons += 1
        return tuple.__eq__(self, other)

    __hash__ = Address.__hash__


def test_members_with_a_shared_address_are_ignored_without_quadratic_comparisons():
    addresses = [ComparedAddress("10.0.0.1", 1000 + i) for i in range(2000)]
    addresses.append(ComparedAddress("10.0.0.1", 1000))
    ComparedAddress.comparisons = 0
    port = PeerPort(None, None, None, addresses)
    # Lookups are by hash; some addresses share the upper bits of their hash and are compared.
    assert ComparedAddress.comparisons < 10 * len(addresses)
    assert addresses[0] not in port.members
    assert port.members == {address: i for i, address in enumerate(addresses) if 0 < i < 2000}


@pytest.mark.parametrize("changes, line", [
    ({"peers": None}, "reason=unusable"),
    ({"settings": SETUP | {"me": 1}}, "reason=not-allowed"),
])  # fmt: skip
def test_a_node_without_usable_peers_runs_alone(changes, line):
    d = make_handler()
    with captured_log() as lines:
        assert (
            create_peer_port(d.reactor, d, decode_config(CONFIG | SHARED | changes), SharingFeatures())
            is None
        )
    assert line in lines[0]


class RecordingTransport:
    """A datagram transport that records what is written."""

    def __init__(self):
        self.sent = []

    def write(self, data, address):
        if address[1] == 7003:
            raise OSError("refused")
        self.sent.append((data, address))


class StubSocket:
    def stopListening(self):
        pass


def make_test_port(uses=SharingFeatures()):  # noqa: B008
    d = make_handler()
    port, _ = create_peer_port(d.reactor, d, decode_config(CONFIG | SHARED), uses)
    port.transport, port.port = RecordingTransport(), object()
    return d, port


def test_invalid_datagrams_are_counted_and_logged_once_per_second():
    d, port = make_test_port()
    with captured_log() as lines:
        for _ in range(2000):
            port.datagramReceived(b"x" * 300, ("127.0.0.1", 7001))
            d.reactor.advance(0.001)
    dropped = port.sharing.swim.dropped
    assert sum(dropped.values()) == 2000 and set(dropped) == {"too-long", "flood"}
    assert 1 <= len(lines) <= 3 and "too-long=" in lines[-1] and port.transport.sent == []


def test_the_port_pings_peers_and_counts_failed_sends():
    d, port = make_test_port()
    port._set_timer()
    for _ in range(400):
        d.reactor.advance(0.05)
    assert {to for _, to in port.transport.sent} == {("127.0.0.1", 7001)}
    assert port.sharing.swim.dropped["unsent"] > 0


def test_a_changed_list_of_peers_reopens_the_port(tmp_path):
    d = make_handler()
    service = service_over(d, tmp_path, **SHARED)
    service.uses, service.takes_clients = SharingFeatures(), True
    d.reactor.listenUDP = lambda *_, **__: StubSocket()
    service.join_peers()
    first = service.peers
    assert first.sharing.swim.members == 3
    longer = SHARED | {"peers": [*PEERS, "127.0.0.1:7004"]}
    write_config(tmp_path / "c", CONFIG | {"admin_addr": "127.0.0.1:9100"} | longer)
    service.reload()
    assert service.peers is not first and service.peers.sharing.swim.members == 4 and first.port is None


# ---- interface to the decisions


def make_decisions(cold=False):
    d = make_handler()
    if cold:
        d.update_roster(True, [host_row("s-0"), host_row("s-1", port=9001, boot=d.clock() - 100)])
    s = FleetState(d.balancer._node)
    return d, s, SharedIdDecisions(s, SharingFeatures(*[True] * len(SharingFeatures._fields)), d.report_event)


def test_a_node_lends_half_of_its_saved_room_once_the_room_is_known():
    d, s, _ = make_decisions()
    assert s.lend(d.clock(), HEADROOM_BUDGET, 10.0) == 0.0
    s.node.headroom_share, s.node.quotas.saved[HEADROOM_BUDGET] = 8.0, 8.0
    assert s.lend(d.clock(), HEADROOM_BUDGET, 10.0) == 4.0 and s.lend(d.clock(), HEADROOM_BUDGET, 1.0) == 1.0


def test_a_slot_that_was_won_is_not_lent():
    d, s, _ = make_decisions(cold=True)
    s.node.unit_capacity = 1000.0
    s.node.quotas.set_balance(d.clock(), 2, 500.0)  # far above the limit of saved quota
    assert s.node.cold == [1] and s.lend(d.clock(), 2, 500.0) == 0.0
    assert s.lend(d.clock(), 1, 500.0) == 0.0  # a warm host has no such budget


def test_quota_borrowed_for_a_cold_host_counts_for_the_next_slot_and_expires():
    d, s, _ = make_decisions(cold=True)
    n, now = s.node, d.clock()
    s.borrow(now, 2, 3.0, now + 500)
    assert n.quotas.available(now, 2) == 3.0 and n.quotas.available(now + 500, 2) == 0.0
    s.borrow(now, 1, 3.0, now + 500)
    assert n.quotas.available(now, 1) == 0.0


def test_quota_is_wanted_only_just_after_a_session_found_no_room():
    d, s, m = make_decisions()
    n, now = s.node, d.clock()
    n.headroom_share, n.quotas.saved[HEADROOM_BUDGET] = 8.0, 0.0
    assert m.wanted_quota(now) == []
    n.no_headroom_at = now
    assert m.wanted_quota(now) == [(SHARED_HEADROOM_BUDGET, 8.0)] and m.wanted_quota(now + 1000) == []


def test_a_peer_load_replaces_the_mean_and_expires():
    d, s, m = make_decisions()
    n, now = s.node, d.clock()
    n.has_reports, n.mean_reported_load = True, 0.5  # there is a mean only if hosts report loads
    m.take_peer_load(now, n.stable_id[0], 0.9, now - 100)
    assert n._load(now, 0) == 0.9 and n._load(now, 1) == 0.5
    m.take_peer_load(now, n.stable_id[0], 0.1, now - 500)  # older
    m.take_peer_load(now, 12345, 0.1, now)  # a host that is not on this node's list
    assert n._load(now, 0) == 0.9 and n._load(now + 5000, 0) == 0.5


def test_probes_of_a_host_reported_lost_are_postponed_unless_it_just_answered():
    d, s, m = make_decisions()
    n, now = s.node, d.clock()
    n.probed_at = [now - 5000, now]
    for mark in n.stable_id[:2]:
        m.take_unreachable_report(now, mark, now + 9000)
    assert now < n.no_probe_until[0] <= now + 1250 and n.no_probe_until[1] <= now


def test_two_hosts_with_one_stable_id_are_not_shared():
    d, s, m = make_decisions()
    s.node.stable_id[:] = [7, 7]
    assert m.lend(d.clock(), 7, 1.0) == 0.0 and m._host(7) is None


def test_a_life_increases_with_time_and_is_never_0():
    assert 0 < life_from(0.0) <= life_from(1.8e12) < life_from(1.8e12 + 1000) < 2**31
    assert life_from(float("nan")) == 1


# ---- real processes


def start(folder, number, ports, admin, peers, settings):
    config = CONFIG | {
        "name": f"n{number}", "listen": f"127.0.0.1:{ports[number]}", "discovery": settings["discovery"],
        "admin_addr": f"127.0.0.1:{admin[number]}", "peers": peers, "peer_listen": peers[number],
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": SETUP | {"me": number, "limits": SETUP["limits"] | {"peers": True, "mayProbe": True}},
    }  # fmt: skip
    path = folder / f"n{number}.json"
    path.write_text(json.dumps(config))
    (folder / "s.toml").write_text("room = true\ncold = true\n")
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "caperdeck", "serve", f"--config={path}",
         f"--sharing={folder / 's.toml'}"],
        stderr=subprocess.DEVNULL, env={k: v for k, v in os.environ.items() if k != "TMPDIR"},
    )  # fmt: skip


def shown_metrics(capsys, port):
    assert show_peers(f"127.0.0.1:{port}") == 0
    return dict(line.rsplit(None, 1) for line in capsys.readouterr().out.splitlines())


def wait_for(check):
    end = time.monotonic() + 30
    while not check():
        assert time.monotonic() < end
        time.sleep(0.2)


def test_three_nodes_show_live_members_through_a_crash_a_suspension_and_a_flood(tmp_path, capsys):
    host = serve_lines(lambda line: b"PONG x0=0.2\r\n")
    settings = {"discovery": f"127.0.0.1:{serve_host_list(host_row('s-0', port=host))}"}
    numbers = free_ports(9)
    ports, admin, peers = numbers[:3], numbers[3:6], [f"127.0.0.1:{p}" for p in numbers[6:]]
    nodes = [start(tmp_path, i, ports, admin, peers, settings) for i in range(3)]
    try:
        for port in ports:
            ping_until_ready(port, time.monotonic() + 20)
        wait_for(lambda: shown_metrics(capsys, admin[0])["members_alive"] == "3")
        nodes[1].kill()
        nodes[2].send_signal(signal.SIGSTOP)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
            for i in range(3000):
                flood.sendto(b"rubbish" * (i % 30), ("127.0.0.1", numbers[6]))
        ping_until_ready(ports[0], time.monotonic() + 2)
        wait_for(lambda: shown_metrics(capsys, admin[0])["members_alive"] == "1")
        figures = shown_metrics(capsys, admin[0])
        assert sum(int(v) for k, v in figures.items() if k.startswith("dropped_total")) >= 100
        nodes[2].send_signal(signal.SIGCONT)
        nodes[1].wait(5)
        nodes[1] = start(tmp_path, 1, ports, admin, peers, settings)
        wait_for(lambda: shown_metrics(capsys, admin[0])["members_alive"] == "3")
        assert shown_metrics(capsys, admin[0])["members_returned"] == "1"
    finally:
        for node in nodes:
            node.kill()
            node.wait()


def test_show_peers_returns_an_exit_code_for_a_bad_or_silent_address(capsys):
    assert show_peers("nowhere") == 2 and "nowhere" in capsys.readouterr().err
    assert show_peers(f"127.0.0.1:{free_ports(1)[0]}") == 1
