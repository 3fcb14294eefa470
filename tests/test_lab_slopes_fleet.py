"""Cost slopes of what the fleet shares: membership, owned work, agreement, configuration; at tiny sizes."""

import gc
import math
import time

import pytest

from caperdeck.lab.slopes import agreement, configuration, membership, membership_fleet, owned_work
from caperdeck.lab.slopes.errors import MeasurementError
from caperdeck.lab.slopes.garbage import without_gc
from caperdeck.lab.slopes.instances import Caller, InstanceError, Instances, Process
from caperdeck.lab.slopes.line import Point, fit
from caperdeck.lab.slopes.membership_costs import SETTLE_MS, silent_share_across, steady_cost
from caperdeck.lab.slopes.membership_fleet import Fleet, WaitTimeoutError
from caperdeck.lab.slopes.object_size import object_bytes
from caperdeck.lab.slopes.record import Source, make_record, write_record
from caperdeck.peers.codec import MemberState


def ignore_progress(_):
    pass


def by_name(measured):
    return {each.name: each for each in measured}


def test_what_a_part_cannot_measure_is_one_line_of_the_command():
    for error in (InstanceError, WaitTimeoutError, configuration.ReloadError):
        assert issubclass(error, MeasurementError)


def check(measured, part, sources, tmp_path):
    """Names, four sizes, nothing under 0, numbers that are numbers, and a record that can be written."""
    for each in measured:
        assert each.name.startswith(f"{part}.") and each.what and each.unit and each.against and each.note
        assert each.source in sources
        assert len({point.size for point in each.points}) >= 4
        assert all(point.cost >= 0 for point in each.points)
        line = each.line
        assert all(map(math.isfinite, (line.fixed, line.slope, line.fixed_error, line.slope_error)))
    write_record(tmp_path / "slopes.json", make_record(measured))


def test_costs_that_are_all_alike_have_a_level_line():
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
    # gossip carries a start to all within a few rounds, however many they are; pings alone took 15.5 s at 32
    assert all(0 < point.cost < 10 for point in found["peers.known"].points)
    assert all(point.cost <= 1 for point in found["peers.false_deaths"].points)


def test_membership_costs_are_the_same_in_each_run_but_for_processor_time():
    first, second = (steady_cost(10, 4000.0) for _ in range(2))
    assert first._replace(cpu=0.0) == second._replace(cpu=0.0)
    # a ping and its answer every two seconds at the mean: a datagram a second
    assert first.messages == pytest.approx(1.0, rel=0.25)


def test_a_killed_member_is_found_and_no_living_one():
    fleet = Fleet(10, 3, warm=True)
    fleet.run(SETTLE_MS)
    fleet.killed.add(4)
    fleet.run(60_000.0)
    states = [swim.state for swim in fleet.alive]
    assert all(state[4] is MemberState.SILENT and state.count(MemberState.SILENT) == 1 for state in states)


def test_members_across_a_cut_hold_each_other_dead_and_come_back():
    fleet = Fleet(10, 3, warm=True)
    fleet.cut_below = 4
    fleet.run(60_000.0)
    assert silent_share_across(fleet, 4) == 1.0
    fleet.cut_below = 0
    fleet.run(60_000.0)
    assert silent_share_across(fleet, 4) == 0.0


def test_what_takes_too_long_is_an_error(monkeypatch):
    monkeypatch.setattr(membership_fleet, "MAX_WAIT_MS", 10_000.0)
    fleet = Fleet(4, 3, warm=True)
    with pytest.raises(WaitTimeoutError, match="4 members"):
        fleet.wait_for(lambda: False)


def test_the_garbage_collector_is_on_again_after_a_simulation_that_fails():
    with pytest.raises(ZeroDivisionError), without_gc():
        assert not gc.isenabled()
        _ = 1 / 0
    assert gc.isenabled()


def test_memory_counts_what_an_object_holds_once():
    shared = [1.5, 2.5]
    held = object_bytes([shared, shared])
    assert held < 2 * object_bytes(shared) + object_bytes([]) + 16
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
    assert all(point.cost > 0 for each in measured for point in each.points)


def test_what_is_timed_puts_the_file_into_force(tmp_path):
    node = configuration.Node(str(tmp_path), configuration.configuration(hosts=3, listeners=2, customers=1))
    assert len(node.service.handler.hosts.uids) == 3
    node.path.write_bytes(configuration.configuration(hosts=3, listeners=5, customers=4))
    node.reload()
    assert len(node.service.handler.names.listeners) == 5 and len(node.service.handler.names.customers) == 4


def test_a_file_that_is_not_taken_is_no_measurement(tmp_path):
    node = configuration.Node(str(tmp_path), configuration.configuration())
    node.path.write_bytes(b"{}")
    with pytest.raises(configuration.ReloadError, match="2 bytes"):
        node.reload()


# ---- processes


def test_an_instance_answers_every_call_and_ends_with_its_block(tmp_path):
    with Instances(1, tmp_path) as instances:
        instances.start()
        leader = instances.leader()
        with Caller(instances.addresses[leader]) as caller:
            answers = caller.call_all([{"do": "status"}, {"do": "dance"}] * 4, at_once=3)
        process = instances.processes[leader]
        assert process.cpu() > 0 and process.written() > 0
    assert [answer.get("role", answer.get("no")) for answer in answers] == ["leader", "unknown-call"] * 4
    assert process.popen.returncode is not None and not instances.ports.kept


def test_processes_end_where_a_measurement_fails(tmp_path):
    with pytest.raises(ZeroDivisionError), Instances(1, tmp_path) as instances:
        instances.start()
        _ = 1 / 0
    assert all(process.popen.returncode is not None for process in instances.processes)


def test_an_instance_that_cannot_start_says_why(tmp_path):
    with Instances(1, tmp_path) as instances:
        instances.disk(0).write_text("a file where the folder should be")
        instances.start()
        with pytest.raises(InstanceError, match="exit 2: caperdeck: .*disk-0"):
            instances.leader()


def test_a_process_that_does_not_heed_its_end_is_killed(tmp_path, monkeypatch):
    monkeypatch.setattr("caperdeck.lab.slopes.instances.ENDED", 0.1)
    deaf = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print(flush=True)"
    process = Process(f"{deaf}; time.sleep(600)", log=tmp_path / "log")
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
        for against, ending in axes.items():
            assert found.pop(f"raft.commit_{cost}{ending}").against == against
    assert found.keys() == {"raft.start_time"}


def test_more_and_larger_entries_write_and_send_more(tmp_path):
    with Instances(1, tmp_path) as instances:
        instances.start()
        cluster = agreement.Cluster(instances)
        small, many, large = (cluster.commit(*row, 4) for row in ((4, 100), (16, 100), (4, 4000)))
    assert small.written < many.written and small.written < large.written
    assert many.size == small.size < large.size
    assert small.written >= 4 * small.size and large.written >= 4 * large.size
    sent = agreement.leader_bytes_sent(20, 100)
    assert sent == agreement.leader_bytes_sent(20, 100)
    # to two others, in base 64
    assert sent[1] > 20 * 2 * 4 / 3 * sent[0]


def test_a_proposal_that_may_not_stand_is_no_measurement():
    for answer in (None, {"no": "older-token"}):
        with pytest.raises(agreement.LeaderChangedError, match="answer 1"):
            agreement._stood([{"ok": True}, answer])


# ---- owned work


def test_owned_work_is_measured_on_an_instance_and_nodes(tmp_path):
    measured = owned_work.measure(True, ignore_progress)
    check(measured, "owned", {Source.PROCESSES}, tmp_path)
    found = by_name(measured)
    assert found.keys() == {"owned.connections", "owned.bytes", "owned.cpu_owner", "owned.cpu_node"}
    assert found["owned.bytes"].points[-1].cost > 0
    # the connections that were counted at the start are kept: a round opens none
    assert all(point.cost == 0 for point in found["owned.connections"].points)


def test_nodes_that_do_not_come_up_are_an_error(tmp_path, monkeypatch):
    monkeypatch.setattr(owned_work, "TARGETS", "import sys; print('no reactor'); sys.exit(3)")
    with pytest.raises(InstanceError, match="exit 3: no reactor"), owned_work.targets(1, tmp_path):
        pass


def test_leases_that_were_lost_in_a_measurement_are_in_the_note():
    sizes = owned_work.Sizes((4, 8, 12, 16), 0.0, 1.0)
    found = {count: owned_work.Load(1.0 * count, 1.0, 0.1, 0.1, lost=0) for count in sizes.nodes}
    assert all("measured: none" in each.note for each in owned_work._measurements(found, sizes))
    found[8] = found[8]._replace(lost=2)
    assert all("measured: 2 at 8;" in each.note for each in owned_work._measurements(found, sizes))


def test_members_draw_from_seeds_that_are_far_apart():
    seeds = sorted(swim.seed for swim in Fleet(40, 3, warm=True).members)
    assert min(b - a for a, b in zip(seeds, seeds[1:], strict=False)) > 1000
