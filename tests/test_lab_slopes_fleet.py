"""Measurements of membership, configuration, agreement and owned work, at tiny sizes."""

import gc
import math
import time

import pytest

from caperdeck.lab.slopes import agreement, configuration, membership, membership_fleet, owned_work
from caperdeck.lab.slopes.errors import MeasurementError
from caperdeck.lab.slopes.garbage import without_gc
from caperdeck.lab.slopes.instances import InstanceConnection, InstanceError, Instances, LoggedProcess
from caperdeck.lab.slopes.line import Point, fit
from caperdeck.lab.slopes.membership_costs import SETTLE_MS, silent_share_across, steady_cost
from caperdeck.lab.slopes.membership_fleet import Fleet, WaitTimeoutError
from caperdeck.lab.slopes.object_size import object_bytes
from caperdeck.lab.slopes.record import Source, make_record, write_record
from caperdeck.peers.codec import MemberState


def ignore_progress(_):
    pass


def by_name(measured):
    return {measurement.name: measurement for measurement in measured}


def test_errors_of_all_parts_are_reported_by_the_command_in_one_line():
    for error in (InstanceError, WaitTimeoutError, configuration.ReloadError):
        assert issubclass(error, MeasurementError)


def check(measured, part, sources, tmp_path):
    """Checks names, four sizes or more, costs from 0, finite numbers, and that a record can be written."""
    for measurement in measured:
        assert (
            measurement.name.startswith(f"{part}.")
            and measurement.what
            and measurement.unit
            and measurement.against
            and measurement.note
        )
        assert measurement.source in sources
        assert len({point.size for point in measurement.points}) >= 4
        assert all(point.cost >= 0 for point in measurement.points)
        line = measurement.line
        assert all(map(math.isfinite, (line.fixed, line.slope, line.fixed_error, line.slope_error)))
    write_record(tmp_path / "slopes.json", make_record(measured))


def test_fit_of_equal_costs_is_a_horizontal_line():
    line = fit([Point(size, 1.0) for size in range(4)])
    assert (line.fixed, line.slope, line.slope_error, line.r_squared) == (1.0, 0.0, 0.0, 1.0)


# ---- membership


def test_membership_is_measured_in_virtual_time(tmp_path):
    measured = membership.measure(True, ignore_progress)
    check(measured, "peers", {Source.VIRTUAL_TIME}, tmp_path)
    found = by_name(measured)
    assert found.keys() == {
        "peers.bytes", "peers.messages", "peers.cpu", "peers.state_bytes", "peers.known", "peers.death",
        "peers.false_deaths",
    }  # fmt: skip
    assert found["peers.state_bytes"].line.slope > 0
    # Gossip spreads a start within a few rounds at any number of members; pings alone took 15.5 s at 32.
    assert all(0 < point.cost < 10 for point in found["peers.known"].points)
    assert all(point.cost <= 1 for point in found["peers.false_deaths"].points)


def test_membership_costs_except_processor_time_are_deterministic():
    first, second = (steady_cost(10, 4000.0) for _ in range(2))
    assert first._replace(cpu=0.0) == second._replace(cpu=0.0)
    # On average one ping and its answer every two seconds: one datagram per second.
    assert first.messages == pytest.approx(1.0, rel=0.25)


def test_only_the_killed_member_is_detected_as_silent():
    fleet = Fleet(10, 3, warm=True)
    fleet.run(SETTLE_MS)
    fleet.killed.add(4)
    fleet.run(60_000.0)
    states = [swim.state for swim in fleet.alive]
    assert all(state[4] is MemberState.SILENT and state.count(MemberState.SILENT) == 1 for state in states)


def test_members_across_a_cut_consider_each_other_silent_until_it_heals():
    fleet = Fleet(10, 3, warm=True)
    fleet.cut_below = 4
    fleet.run(60_000.0)
    assert silent_share_across(fleet, 4) == 1.0
    fleet.cut_below = 0
    fleet.run(60_000.0)
    assert silent_share_across(fleet, 4) == 0.0


def test_waiting_for_a_condition_times_out(monkeypatch):
    monkeypatch.setattr(membership_fleet, "MAX_WAIT_MS", 10_000.0)
    fleet = Fleet(4, 3, warm=True)
    with pytest.raises(WaitTimeoutError, match="4 members"):
        fleet.wait_for(lambda: False)


def test_garbage_collector_is_enabled_again_after_a_failed_simulation():
    with pytest.raises(ZeroDivisionError), without_gc():
        assert not gc.isenabled()
        _ = 1 / 0
    assert gc.isenabled()


def test_object_size_counts_shared_objects_once():
    shared = [1.5, 2.5]
    total = object_bytes([shared, shared])
    assert total < 2 * object_bytes(shared) + object_bytes([]) + 16
    assert object_bytes(MemberState.ALIVE) == 0


# ---- configuration


def test_applying_a_configuration_is_measured_in_process(tmp_path):
    measured = configuration.measure(True, ignore_progress)
    check(measured, "configuration", {Source.IN_PROCESS}, tmp_path)
    found = by_name(measured)
    assert found.keys() == {
        "configuration.apply_by_size", "configuration.apply_by_listeners",
        "configuration.apply_by_customers", "configuration.bytes_by_listeners",
    }  # fmt: skip
    assert found["configuration.bytes_by_listeners"].line.fits
    assert all(point.cost > 0 for measurement in measured for point in measurement.points)


def test_timed_reload_applies_the_file(tmp_path):
    node = configuration.ServiceNode(
        str(tmp_path), configuration.configuration_text(hosts=3, listeners=2, customers=1)
    )
    assert len(node.service.handler.hosts.uids) == 3
    node.path.write_bytes(configuration.configuration_text(hosts=3, listeners=5, customers=4))
    node.reload()
    assert len(node.service.handler.names.listeners) == 5 and len(node.service.handler.names.customers) == 4


def test_reload_of_an_invalid_file_is_an_error(tmp_path):
    node = configuration.ServiceNode(str(tmp_path), configuration.configuration_text())
    node.path.write_bytes(b"{}")
    with pytest.raises(configuration.ReloadError, match="2 bytes"):
        node.reload()


# ---- processes


def test_instance_answers_every_call_and_ends_with_its_block(tmp_path):
    with Instances(1, tmp_path) as instances:
        instances.start()
        leader = instances.wait_for_leader()
        with InstanceConnection(instances.addresses[leader]) as connection:
            answers = connection.call_all([{"do": "status"}, {"do": "dance"}] * 4, max_pending=3)
        process = instances.processes[leader]
        assert process.cpu_seconds() > 0 and process.bytes_written() > 0
    assert [answer.get("role", answer.get("no")) for answer in answers] == ["leader", "unknown-call"] * 4
    assert process.popen.returncode is not None and not instances.ports.reserved


def test_processes_end_when_a_measurement_fails(tmp_path):
    with pytest.raises(ZeroDivisionError), Instances(1, tmp_path) as instances:
        instances.start()
        _ = 1 / 0
    assert all(process.popen.returncode is not None for process in instances.processes)


def test_error_of_an_instance_that_cannot_start_has_its_reason(tmp_path):
    with Instances(1, tmp_path) as instances:
        instances.disk(0).write_text("a file where the folder should be")
        instances.start()
        with pytest.raises(InstanceError, match="exit 2: caperdeck: .*disk-0"):
            instances.wait_for_leader()


def test_process_that_ignores_sigterm_is_killed(tmp_path, monkeypatch):
    monkeypatch.setattr("caperdeck.lab.slopes.instances.STOP_TIMEOUT_S", 0.1)
    ignore_sigterm = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print(flush=True)"
    process = LoggedProcess(f"{ignore_sigterm}; time.sleep(600)", log=tmp_path / "log")
    while not (tmp_path / "log").read_bytes():
        time.sleep(0.01)
    process.end()
    assert process.popen.returncode == -9


# ---- agreement


def test_agreement_is_measured_on_three_processes(tmp_path):
    measured = agreement.measure(True, ignore_progress)
    check(measured, "raft", {Source.PROCESSES, Source.VIRTUAL_TIME}, tmp_path)
    found = by_name(measured)
    axes = {"entries proposed": "", "bytes of an entry": "_by_size"}
    for cost in ("cpu", "bytes", "disk", "time"):
        for against, suffix in axes.items():
            assert found.pop(f"raft.commit_{cost}{suffix}").against == against
    assert found.keys() == {"raft.start_time"}


def test_more_or_larger_entries_write_and_send_more_bytes(tmp_path):
    with Instances(1, tmp_path) as instances:
        instances.start()
        cluster = agreement.Cluster(instances)
        small, many, large = (cluster.commit(*row, 4) for row in ((4, 100), (16, 100), (4, 4000)))
    assert small.written < many.written and small.written < large.written
    assert many.size == small.size < large.size
    assert small.written >= 4 * small.size and large.written >= 4 * large.size
    sent = agreement.leader_bytes_sent(20, 100)
    assert sent == agreement.leader_bytes_sent(20, 100)
    # Sent to two followers, in base 64.
    assert sent[1] > 20 * 2 * 4 / 3 * sent[0]


def test_proposal_with_unknown_outcome_is_an_error():
    for answer in (None, {"no": "older-token"}):
        with pytest.raises(agreement.LeaderChangedError, match="answer 1"):
            agreement._require_committed([{"ok": True}, answer])


# ---- owned work


def test_owned_work_is_measured_on_an_instance_and_nodes(tmp_path):
    measured = owned_work.measure(True, ignore_progress)
    check(measured, "owned", {Source.PROCESSES}, tmp_path)
    found = by_name(measured)
    assert found.keys() == {"owned.connections", "owned.bytes", "owned.cpu_owner", "owned.cpu_node"}
    assert found["owned.bytes"].points[-1].cost > 0
    # Connections opened at the start are kept, so later rounds open none.
    assert all(point.cost == 0 for point in found["owned.connections"].points)


def test_nodes_that_fail_to_start_are_an_error(tmp_path, monkeypatch):
    monkeypatch.setattr(owned_work, "TARGETS_CODE", "import sys; print('no reactor'); sys.exit(3)")
    with pytest.raises(InstanceError, match="exit 3: no reactor"), owned_work.running_targets(1, tmp_path):
        pass


def test_note_lists_leases_lost_during_the_measurement():
    sizes = owned_work.Sizes((4, 8, 12, 16), 0.0, 1.0)
    loads = {count: owned_work.OwnerLoad(1.0 * count, 1.0, 0.1, 0.1, lost=0) for count in sizes.nodes}
    assert all("measured: none" in measurement.note for measurement in owned_work._measurements(loads, sizes))
    loads[8] = loads[8]._replace(lost=2)
    assert all(
        "measured: 2 at 8;" in measurement.note for measurement in owned_work._measurements(loads, sizes)
    )


def test_seeds_of_members_are_far_apart():
    """With consecutive seeds members would ping the same targets at the same time, and some never."""
    seeds = sorted(swim.seed for swim in Fleet(40, 3, warm=True).members)
    assert min(b - a for a, b in zip(seeds, seeds[1:], strict=False)) > 1000
