"""Capacity planning: arithmetic on invented lines, invalid input, the ranking, and the generated page."""

import json
import re
from functools import cache
from pathlib import Path

import msgspec
import pytest

from caperdeck.__main__ import main
from caperdeck.lab.capacity import page, tables
from caperdeck.lab.capacity.figure import Figure, Origin, largest, total
from caperdeck.lab.capacity.fleet import Fleet
from caperdeck.lab.capacity.lines import MEASUREMENT_NAMES
from caperdeck.lab.capacity.load import process_memory, setup_cost, utilisation, utilisation_shares
from caperdeck.lab.capacity.needs import MECHANISMS, NO_MECHANISM, Need, dependents_of
from caperdeck.lab.capacity.ranking import ranking
from caperdeck.lab.capacity.report import make_report
from caperdeck.lab.capacity.roles import roles
from caperdeck.lab.capacity.row import Kind, Role, make_row
from caperdeck.lab.capacity.sizing import MAX_PROCESSES
from caperdeck.lab.capacity.target import TargetError, load
from caperdeck.lab.capacity.text import format_amount, format_bound_ratio
from caperdeck.lab.slopes.line import Point
from caperdeck.lab.slopes.record import Source, make_measurement, read_record, make_record, write_record

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / "docs/capacity/target.toml"
SLOPES = ROOT / "docs/capacity/slopes.json"
PAGE = ROOT / "docs/CAPACITY.md"

SIZES = (1000, 2000, 4000, 8000)
INVENTED_COSTS = {  # fixed cost and slope, chosen so that products are easy to check
    "node.memory_own": (2e7, 1e4), "node.memory_kernel": (0, 5e3), "node.list_memory": (0, 1e3),
    "node.set_up": (0, 3e-4), "node.end": (0, 1e-4), "node.idle": (0, 1e-6), "node.placement": (0, 1e-7),
    "node.delivery_100": (0, 20e-6), "node.delivery_1000": (0, 38e-6), "node.tick": (0, 1e-6),
    "peers.known": (10, 0.4), "peers.bytes": (96, 1e-3), "owned.cpu_owner": (0, 1e-3),
}  # fmt: skip


@cache
def line(name, fixed, slope, sizes=SIZES):
    points = [Point(size, fixed + slope * size) for size in sizes]
    return make_measurement(name, "invented", "unit", "size", Source.VIRTUAL_TIME, points)


def invented_record(without=(), **costs):
    lines = INVENTED_COSTS | {name.replace("__", "."): cost for name, cost in costs.items()}
    return make_record([line(n, *lines.get(n, (0, 1e-6))) for n in MEASUREMENT_NAMES if n not in without])


def target(**changes):
    """The repository's target with changed fields: `fleet__machines=100`."""
    raw = msgspec.to_builtins(load(str(TARGET)))
    for path, value in changes.items():
        table, field = path.split("__")
        raw[table][field] = value
    return msgspec.convert(raw, type(load(str(TARGET))))


SMALL_TARGET = {
    "fleet__machines": 10, "fleet__zones": 5, "fleet__connections": 100_000, "deliveries__per_second": 80_000,
    "assumed__busy_times": 2.0, "assumed__hosts": 1000, "assumed__connection_life": 1000.0,
    "assumed__utilisation": 0.6, "assumed__rack_machines": 2, "topics__largest_listeners": 1000,
}  # fmt: skip


def small_fleet(measurements=None, **changes):
    return Fleet(target(**SMALL_TARGET | changes), measurements or invented_record())


def find(report_or_roles, what):
    roles = getattr(report_or_roles, "roles", report_or_roles)
    return next(row for role in roles for row in role.rows if row.what == what)


# ---- figures


def test_arithmetic_combines_sources_and_keeps_the_largest_extrapolation():
    one = Figure(6.0, 0.5, frozenset({"a"}))
    other = Figure(2.0, 3.0, frozenset({"b"}), assumed=frozenset({"hosts"}))
    quotient = one / other
    assert (quotient.value, quotient.extrapolation, quotient.measured) == (3.0, 3.0, {"a", "b"})
    assert quotient.origin is Origin.WORKED_OUT and quotient.assumed == {"hosts"}
    assert (1 - one).value == -5.0 and (12 / one).value == 2.0 and total([one, other]).value == 8.0
    assert largest([one, other]).value == 6.0


def test_result_of_a_missing_measurement_has_no_value():
    missing = Figure(None, missing=frozenset({"peers.cpu"}))
    for result in (missing + 1, 0 * missing, total([Figure(1.0), missing]), largest([Figure(1.0), missing])):
        assert (
            result.value is None and result.missing == {"peers.cpu"} and result.origin is Origin.NOT_MEASURED
        )


def test_origin_is_measured_only_within_the_measured_sizes():
    fleet = small_fleet()
    assert fleet.lines.at("node.tick", 8000).origin is Origin.MEASURED
    stretched = fleet.lines.at("node.tick", 16_000)
    assert (stretched.origin, stretched.extrapolation) == (Origin.WORKED_OUT, 2.0)
    assert fleet.assumed("hosts").origin is Origin.ASSUMED


def test_negative_cost_is_zero_and_a_badly_fitting_line_is_named():
    measurements = invented_record(node__tick=(-1.0, 1e-4))
    assert Fleet(target(), measurements).lines.at("node.tick", 10).value == 0.0
    points = [Point(size, cost) for size, cost in zip(SIZES, (0.0, 9.0, 1.0, 8.0), strict=True)]
    bent = make_measurement("node.tick", "", "s", "hosts", Source.PROCESSES, points)
    fleet = Fleet(target(), make_record([bent]))
    assert (fleet.lines.at("node.tick", 10) + 1).nonlinear == {"node.tick"}


def test_falling_line_is_not_extrapolated_past_the_measured_sizes():
    lines = Fleet(target(), invented_record(peers__bytes=(100.0, -1e-3))).lines
    assert lines.at("peers.bytes", 4000).value == pytest.approx(96.0)
    assert lines.at("peers.bytes", 80_000).value == pytest.approx(92.0)


def test_delay_is_taken_at_the_next_higher_measured_rate():
    lines = Fleet(target(), record_with_delays((0.01, 0.02, 0.1, 0.2))).lines
    assert lines.at_next_measured("node.delivery_p99_100", 1001).value == 0.02
    assert lines.at_next_measured("node.delivery_p99_100", 2000).value == 0.02
    beyond = lines.at_next_measured("node.delivery_p99_100", 9000)
    assert beyond.value == lines.at("node.delivery_p99_100", 9000).value and beyond.extrapolation == 1.125


# ---- the arithmetic of a process


def test_load_cost_and_memory_of_a_process():
    fleet = small_fleet()
    process_load = fleet.load()
    assert fleet.processes.value == 1
    assert (
        process_load.connections.value, process_load.deliveries_per_s.value, process_load.setups_per_s.value,
    ) == (10_000, 8000, 10)  # fmt: skip
    parts = {
        name: part.value for name, part in utilisation_shares(fleet.target, fleet.lines, process_load).items()
    }
    # 20 µs for a line; 1 µs/s for a connection, 300 µs and 0.1 µs per host to set it up, 100 µs to end it.
    assert parts == pytest.approx({
        "deliveries": 0.16, "standing connections": 0.01, "connections that come and end": 0.005,
        "the decisions' tick": 0.002,
    })  # fmt: skip
    assert utilisation(fleet.target, fleet.lines, process_load).value == pytest.approx(2 * 0.177)
    # 20 MB, 15 kB for each connection, 1 kB for each host.
    assert process_memory(fleet.target, fleet.lines, process_load.connections).value == pytest.approx(171e6)
    assert setup_cost(fleet.target, fleet.lines, 10).value == pytest.approx(4e-4)


@pytest.mark.parametrize(("line_bytes", "cost"), [(100, 20e-6), (550, 29e-6), (1000, 38e-6)])
def test_cost_between_the_measured_line_lengths_is_interpolated(line_bytes, cost):
    fleet = small_fleet(assumed__line_bytes=line_bytes)
    parts = utilisation_shares(fleet.target, fleet.lines, fleet.load())
    assert parts["deliveries"].value == pytest.approx(cost * fleet.load().deliveries_per_s.value)


def test_number_of_processes_from_the_steady_load_with_a_zone_lost():
    # With two of ten machines lost: 0.4415 of a reactor; with 50 % more deliveries 0.6415, over 0.6.
    assert small_fleet().sizing.conditions[0].reached.value == pytest.approx(0.4415)
    more = small_fleet(deliveries__per_second=120_000)
    assert more.processes.value == 2 and more.members.value == 20
    assert more.control_budget.core_share.value == pytest.approx(0.006)


def test_number_of_processes_from_the_reconnects_of_a_lost_zone():
    # 2,500 connections at 0.8 ms of a busy core each, beside a load of 0.4415 of the reactor: 3.58 s.
    crowd = small_fleet().sizing.conditions[2]
    assert (crowd.processes.value, crowd.reached.value) == (1, pytest.approx(2.0 / (1 - 0.4415)))
    assert small_fleet(assumed__back_within=2.0).processes.value == 2


def record_with_delays(costs, sizes=SIZES):
    points = [Point(size, cost) for size, cost in zip(sizes, costs, strict=True)]
    slow = make_measurement("node.delivery_p99_100", "", "s", "lines", Source.PROCESSES, points)
    others = [measured for measured in invented_record().measurements if measured.name != slow.name]
    return make_record([*others, slow])


def test_number_of_processes_from_the_highest_measured_rate_within_the_delay_bound():
    # The bound is half of 0.33 s: 4,000 lines/s keep it, 8,000 do not, and 10,000 come with a zone lost.
    condition = small_fleet(record_with_delays((0.01, 0.02, 0.1, 0.2))).sizing.conditions[1]
    assert (condition.processes.value, condition.bound.value) == (3, 4000)
    assert condition.met and condition.processes.extrapolation == 1.0


def test_condition_fails_if_no_rate_keeps_the_delay_bound():
    sizing = small_fleet(record_with_delays((0.2, 0.2, 0.3, 0.3))).sizing
    assert not sizing.conditions[1].met and not sizing.complete
    assert sizing.processes.value == MAX_PROCESSES


def test_rate_is_extrapolated_if_all_measured_delays_are_within_the_bound():
    condition = small_fleet(record_with_delays((0.01, 0.02, 0.04, 0.08))).sizing.conditions[1]
    assert condition.bound.value == pytest.approx(16_500) and condition.bound.extrapolation == pytest.approx(
        2.0625
    )
    assert (
        small_fleet(record_with_delays((0.01, 0.01, 0.01, 0.009))).sizing.conditions[1].processes.value == 1
    )


def test_unmeasured_condition_leaves_a_lower_bound():
    sizing = small_fleet(invented_record(without=("node.delivery_p99_100",))).sizing
    assert sizing.processes.value == 1 and not sizing.complete
    assert small_fleet(invented_record(without=("node.idle",))).processes.value is None


# ---- roles and faults


def test_rows_at_the_target_of_the_repository():
    report = make_report(target(), invented_record())
    processes = report.sizing.processes.value
    members = 730 * processes
    assert find(report, "members").amount.value == members
    known = find(report, "until nine in ten know nine in ten, after all have started at once")
    assert known.amount.value == pytest.approx(10 + 0.4 * members)
    assert find(report, "membership, bytes").bound.value == 4000
    assert find(report, "the owner's reactor").bound_ratio == pytest.approx(members / 1000)
    assert find(report, "one change by hand, one node after another").amount.value == pytest.approx(
        10 * members
    )
    # Six followers instead of the two that were measured; 1 µs for each entry.
    entries = 4 + 2270 / 86_400 * 10
    leader = find(report, "the leader's share of a core for them")
    assert leader.amount.value == pytest.approx(entries * 1e-6 * 3)
    # The census has 13 bytes for each node in base85; the limit of nodes follows from the limit of its text.
    census = find(report, "characters of the census, as agreed on")
    assert census.amount.value == pytest.approx(13 * 5 / 4 * members, abs=128) and census.bound_ratio < 1
    assert find(report, "node processes that one instance may own work at").bound_ratio == pytest.approx(
        census.bound_ratio, rel=0.01
    )


def versions_report(**costs):
    """Ten machines with one process each, and six control machines in two regions with five zones."""
    lines = {
        "configuration.bytes_by_listeners": (5000, 100), "configuration.apply_by_listeners": (0, 1e-5),
        "distribution.node_cpu": (0.5, 4e-4), "distribution.node_bytes": (9.0, 300.0),
        "distribution.node_memory": (1e6, 2e4), "distribution.version_cpu": (1e-3, 1e-8),
        "distribution.version_bytes": (400.0, 1.1), "distribution.version_memory": (4e7, 10.0),
        "distribution.instance_cpu": (0.02, 1e-4), "distribution.instance_memory": (3e7, 1e4),
        "distribution.instance_version_cpu_by_size": (1e-4, 1e-9), "distribution.subscribe_cpu": (5.0, 2e-3),
        "distribution.commit_cpu": (0.01, 1e-8), "distribution.history_memory": (3e7, 50.0),
    }  # fmt: skip
    measurements = invented_record(**{name.replace(".", "__"): line for name, line in lines.items()} | costs)
    changed = {
        "assumed__listeners": 100, "assumed__customers": 1000, "assumed__customer_bytes": 40.0,
        "assumed__peak_times": 10.0, "configuration__changes_a_day": 8640.0, "control__machines": 6,
        "fleet__regions": 2,
    }  # fmt: skip
    return make_report(target(**SMALL_TARGET | changed), measurements)


def test_cost_of_versions_at_nodes_and_instances():
    # A document of 100 listeners of 100 B and 1,000 customers of 40 B; a tenth of a version per second.
    report = versions_report()
    assert report.sizing.processes.value == 1

    def amount_of(what):
        return find(report, what).amount.value

    size, watches = 50_000, 2
    assert amount_of("a version's document") == size
    assert amount_of("watches at one instance") == watches
    assert amount_of("the watch at one process, share of a core") == pytest.approx(4e-4)
    version = 1e-3 + 1e-8 * size + 100 * 1e-5
    assert amount_of("versions at one process at the peak, share of a core") == pytest.approx(version)
    assert amount_of("the watch and the version in force at one process") == pytest.approx(2e4 + 10 * size)
    sent = 400 + 1.1 * size
    assert amount_of("bytes of versions to one process at the mean") == pytest.approx(sent / 10)
    assert amount_of("versions at the mean, bytes") == pytest.approx(sent / 10)
    assert amount_of("bytes that one instance sends for a version") == pytest.approx(watches * sent)
    publish = watches * (1e-4 + 1e-9 * size)
    assert amount_of("a version to all that watch at one instance, a core's time") == pytest.approx(publish)
    leader = 0.02 + 1e-4 * watches + publish + 0.01 + 1e-8 * size
    assert amount_of("agreement, watches and versions at the peak, share of a core") == pytest.approx(leader)
    memory = find(report, "the instance with its watches and the versions that it keeps")
    assert memory.amount.value == pytest.approx(3e7 + 1e4 * watches + 50 * size)
    assert amount_of("bytes to and from nodes that watch, at the mean") == pytest.approx(
        watches * (300 + sent / 10)
    )


def test_watches_of_a_lost_control_machine_move_to_the_others_of_its_region():
    # Three instances in each region, so two others; 2 ms of a busy core for each watch taken over.
    report = versions_report()
    assert find(report, "a control machine lost: watches that move").amount.value == 2
    assert find(report, "a control machine lost: watches at one of its region's others").amount.value == 3
    taken_up = "a control machine lost: watches taken up at one of these, a core's time, busy machine"
    assert find(report, taken_up).amount.value == pytest.approx(2 * 2e-3)
    until = "a control machine lost: until all its nodes watch elsewhere"
    assert find(report, until).amount.value == pytest.approx(2.0 + 0.5 + 1.0)
    # At the repository's target connects are paced: 400 a second after the first 100.
    whole = make_report(target(), invented_record())
    moved = 730 * whole.sizing.processes.value / 5 / 2
    paced = max(0.5, (moved - 100) / 400)
    assert find(whole, until).amount.value == pytest.approx(2.0 + paced + 1.0)


def test_configuration_has_a_mechanism_and_names_where_it_is_off():
    mechanism = MECHANISMS[Need.CONFIGURATION]
    assert mechanism.name != NO_MECHANISM and "off in `run`" in mechanism.name
    by_hand = find(make_report(target(), invented_record()), "one change by hand, one node after another")
    assert by_hand.bound is None and "`run`" in by_hand.note


def test_measurements_merged_from_another_run_are_listed_with_its_revision():
    base_record = invented_record()
    other = msgspec.structs.replace(base_record.provenance, revision="fedcba9876")
    merged = [
        msgspec.structs.replace(measured, provenance=other)
        if measured.name.startswith("peers.")
        else measured
        for measured in base_record.measurements
    ]
    first, _ = tables.markdown(
        make_report(target(), msgspec.structs.replace(base_record, measurements=tuple(merged)))
    ).split("## How many node processes")
    names = ", ".join(name for name in MEASUREMENT_NAMES if name.startswith("peers."))
    assert f"But {names}: taken " in first and "at revision fedcba9876:" in first
    assert f"at revision {base_record.revision}:" in first


def test_connections_of_a_lost_zone_return_to_the_other_zones():
    zone = next(fault for fault in make_report(target(), invented_record()).faults if fault.name == "a zone")
    processes = make_report(target(), invented_record()).sizing.processes.value
    assert zone.returning_connections.value == pytest.approx(7_000_000)
    assert zone.returning_per_process.value == pytest.approx(7_000_000 / (584 * processes))
    assert zone.returning_per_s.value == pytest.approx(zone.returning_per_process.value / 2)
    assert zone.core_seconds.value == pytest.approx(zone.returning_per_process.value * (3e-4 + 1.2e-4) * 1.9)
    assert zone.seconds_until_served.value > zone.core_seconds.value
    assert zone.files_to_change.value == pytest.approx(584 * processes)


def test_time_spent_on_reconnects_is_a_share_of_the_year():
    faults = {"machines_failing_a_day": 1.0, "machines_replaced_a_day": 1.0, "racks_a_year": 1e-9}
    fleet = small_fleet(
        **{f"faults__{key}": value for key, value in faults.items()}, faults__zones_a_year=1e-9
    )
    # 730 losses a year each send a ninth of 10,000 connections to each of nine processes, at 0.8 ms.
    left = 1 - utilisation(fleet.target, fleet.lines, fleet.load(1)).value
    spent = find(roles(fleet), "time in which a process takes up crowds, and deliveries wait, part of all")
    seconds = 730 * (10_000 / 9) * 8e-4 / left
    assert spent.amount.value == pytest.approx(seconds / (365 * 86_400), rel=1e-6)
    assert spent.bound.value == pytest.approx(0.01)


def test_region_cut_removes_no_node():
    cut = next(
        fault
        for fault in make_report(target(), invented_record()).faults
        if fault.name == "regions lose each other"
    )
    assert (cut.returning_connections.value, cut.files_to_change.value) == (pytest.approx(700_000), 0)


@pytest.mark.parametrize("name", MEASUREMENT_NAMES)
def test_every_missing_measurement_is_listed(name):
    report = make_report(target(), invented_record(without=(name,)))
    assert report.missing == (name,)
    text = tables.markdown(report)
    assert f"**not measured:** {name}." in text and f"| {name} | not measured |" in text


def test_without_measurements_only_figures_that_need_no_line_have_a_value():
    report = make_report(target(), make_record([]))
    assert report.missing == MEASUREMENT_NAMES and report.sizing.processes.value is None
    assert (
        find(report, "memory").amount.value is None and find(report, "shards of one host").amount.value == 100
    )
    assert "must run is **not measured**" in tables.markdown(report)


def test_record_of_small_sizes_is_marked():
    small = [
        msgspec.structs.replace(measured, note="small sizes; x")
        for measured in invented_record().measurements
    ]
    assert "the figures say nothing" in tables.markdown(make_report(target(), make_record(small)))
    assert "the figures say nothing" not in tables.markdown(make_report(target(), invented_record()))


# ---- the ranking


def test_dependents_include_indirect_ones():
    assert Need.MEMBERSHIP in dependents_of(Need.CONFIGURATION)
    assert Need.REGIONS in dependents_of(Need.MEMBER_LIST)
    assert dependents_of(Need.DELIVERY) == frozenset()


def test_ranking_lists_the_worst_need_first():
    over = make_row(Need.DELIVERY, Kind.PROCESSOR, "over", "", 3.0, 1.0)
    further = make_row(Need.HOST_LIST, Kind.PROCESSOR, "further", "", 9.0, 1.0)
    room_left = make_row(Need.STANDING, Kind.MEMORY, "room", "B", 1.0, 2.0)
    unknown = make_row(
        Need.HOST_FIGURES, Kind.TIME, "unknown", "s", Figure(None, missing=frozenset({"x"})), 1.0
    )
    topics = make_row(Need.TOPICS, Kind.STATE, "topics", "", 1.0, 2.0)
    ranks = ranking([Role("all", (room_left, unknown, over, further, topics))])
    assert len(ranks) == len(Need)
    first = [rank.need for rank in ranks if rank.mechanism == NO_MECHANISM]
    assert [rank.need for rank in ranks[: len(first)]] == first == [
        Need.MEMBER_LIST, Need.TOPICS, Need.REGIONS,
    ]  # fmt: skip
    rest = [rank.need for rank in ranks[len(first) :]]
    assert rest[:2] == [Need.HOST_LIST, Need.DELIVERY] and rest[-1] is Need.STANDING
    assert next(rank for rank in ranks if rank.need is Need.HOST_FIGURES).not_measured == ("x",)


def test_every_need_has_an_entry_for_its_mechanism():
    assert set(MECHANISMS) == set(Need)


# ---- text


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (None, "B", "not measured"), (0.0, "s", "0 s"), (47e-6, "s", "47 µs"), (0.33, "s", "330 ms"),
        (7300.0, "s", "2.03 h"), (32e6, "B", "32 MB"), (23_288.0, "/s", "23,288/s"), (0.0123, "", "0.0123"),
        (float("inf"), "s", "without end"), (9.999, "s", "10 s"),
    ],
)  # fmt: skip
def test_format_amount(value, unit, text):
    assert format_amount(value, unit) == text


def test_format_bound_ratio():
    assert (format_bound_ratio(None), format_bound_ratio(2.5), format_bound_ratio(0.5)) == (
        "",
        "**2.5 times over**",
        "2 times under",
    )


# ---- invalid input


def changed(text, path):
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ("machines = 730", "machines = 730\nmachine = 1", r"unknown field `machine` - at `\$\.fleet`"),
        ("machines = 730", "", r"missing required field `machines` - at `\$\.fleet`"),
        ("machines = 730", "machines = 0", r">= 2 - at `\$\.fleet\.machines`"),
        ("machines = 730", "machines = 3.5", r"`int`, got `float` - at `\$\.fleet\.machines`"),
        ("machines = 730", "machines = true", r"`int`, got `bool` - at `\$\.fleet\.machines`"),
        ("connections = 35_000_000", "connections = -1", r"> 0|>= 1 - at `\$\.fleet\.connections`"),
        ("within = 0.330", "within = 0.0", r"> 0.* - at `\$\.deliveries\.within`"),
        ("within = 0.330", "within = nan", r" - at `\$\.deliveries\.within`"),
        ("within = 0.330", "within = inf", r" - at `\$\.deliveries\.within`"),
        ("core_part = 0.012", "core_part = 1.2", r"<= 1.* - at `\$\.control\.core_part`"),
        ("line_bytes = 100", "line_bytes = 99", r">= 100.* - at `\$\.assumed\.line_bytes`"),
        ("[topics]", "[topic]", r"unknown field `topic`|missing required field `topics`"),
        ("regions = 2", "regions = 6", r"fleet\.regions: 6 regions and 5 zones"),
        ("zones = 5", "zones = 900", r"fleet\.zones: 900 zones and 730 machines"),
        ("rack_machines = 20", "rack_machines = 147", r"assumed\.rack_machines: 147"),
        ("largest_listeners = 1_100_000", "largest_listeners = 36_000_000", r"topics\.largest_listeners"),
        ("part_within = 0.99", "part_within = 0.98", r"deliveries\.part_within: 0\.98 is not measured"),
        ("[fleet]", "[fleet", "not valid TOML"),
    ],
)  # fmt: skip
def test_invalid_target_prints_one_line_with_field_and_reason(tmp_path, capsys, old, new, reason):
    text = TARGET.read_text()
    assert text.count(old) == 1
    path = changed(text.replace(old, new), tmp_path / "target.toml")
    with pytest.raises(TargetError, match=reason) as error:
        load(path)
    assert str(error.value).startswith(f"{path}: ") and "\n" not in str(error.value)
    write_record(tmp_path / "slopes.json", invented_record())
    out = tmp_path / "out.json"
    assert main(command(tmp_path / "slopes.json", path, "--json", out)) == 2
    printed = capsys.readouterr()
    assert printed.out == "" and printed.err.count("\n") == 1 and not out.exists()


def command(slopes, target_file, *options):
    arguments = [f"{option}={value}" for option, value in zip(options[::2], options[1::2], strict=True)]
    return ["lab", "capacity", f"--slopes={slopes}", f"--target={target_file}", *arguments]


@pytest.mark.parametrize("text", [None, "{}", "[]", "\xff"])
def test_invalid_record_prints_one_line(tmp_path, capsys, text):
    path = tmp_path / "slopes.json"
    if text is not None:
        path.write_bytes(text.encode("latin-1"))
    assert main(command(path, TARGET)) == 2
    printed = capsys.readouterr()
    assert printed.out == "" and printed.err.count("\n") == 1 and "slopes.json" in printed.err


def test_missing_target_prints_one_line(tmp_path, capsys):
    write_record(tmp_path / "slopes.json", invented_record())
    assert main(command(tmp_path / "slopes.json", tmp_path / "none.toml")) == 2
    assert "none.toml: No such file" in capsys.readouterr().err


@pytest.mark.parametrize(
    "text",
    ["", page.BEGIN, page.END + page.BEGIN, page.BEGIN + page.END + page.END, page.BEGIN * 2 + page.END],
)
def test_page_without_both_marks_is_not_changed(tmp_path, capsys, text):
    write_record(tmp_path / "slopes.json", invented_record())
    file = tmp_path / "page.md"
    file.write_text(text)
    assert main(command(tmp_path / "slopes.json", TARGET, "--page", file)) == 2
    assert file.read_text() == text and "mark" in capsys.readouterr().err


# ---- the command and the page


def test_command_writes_page_and_json(tmp_path, capsys):
    write_record(tmp_path / "slopes.json", invented_record())
    file, out = tmp_path / "page.md", tmp_path / "out.json"
    file.write_text(f"before\n{page.BEGIN}\nold\n{page.END}\nafter\n")
    arguments = command(tmp_path / "slopes.json", TARGET, "--page", file, "--json", out)
    assert main(arguments) == 0
    text = file.read_text()
    assert text.startswith("before\n") and text.endswith(f"{page.END}\nafter\n") and "\nold\n" not in text
    assert page.generated_part(text).strip() in capsys.readouterr().out
    assert json.loads(out.read_text())["missing"] == []
    first = out.read_bytes()
    assert main(arguments) == 0 and (file.read_text(), out.read_bytes()) == (text, first)


def test_missing_measurements_are_printed_and_exit_with_1(tmp_path, capsys):
    write_record(tmp_path / "slopes.json", invented_record(without=("peers.cpu", "raft.commit_cpu")))
    assert main(command(tmp_path / "slopes.json", TARGET)) == 1
    assert capsys.readouterr().err == "not measured: peers.cpu, raft.commit_cpu\n"


def generated():
    """The generated part of the page for the files in the repository."""
    return (
        tables.markdown(make_report(load(str(TARGET)), read_record(SLOPES)))
        if SLOPES.exists()
        else page.MISSING
    )


def test_page_matches_slopes_and_target_of_the_repository():
    assert page.generated_part(PAGE.read_text()) == generated()


def test_every_assumption_has_a_question_in_the_docs():
    text = (ROOT / "docs/capacity-questions.md").read_text()
    fields = msgspec.to_builtins(load(str(TARGET)).assumed)
    assert set(re.findall(r"`assumed\.(\w+)`", text)) == set(fields)
