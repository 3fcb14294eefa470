"""Capacity at the target: arithmetic on stand-in lines, bad input, the ranking, and the page in the tree."""

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
from caperdeck.lab.capacity.lines import NAMES
from caperdeck.lab.capacity.load import process_memory, set_up_cost, utilisation, utilisation_parts
from caperdeck.lab.capacity.needs import CARRIERS, NOTHING, Need, standing_on
from caperdeck.lab.capacity.ranking import ranking
from caperdeck.lab.capacity.report import report
from caperdeck.lab.capacity.roles import roles
from caperdeck.lab.capacity.row import Kind, Role, row
from caperdeck.lab.capacity.sizing import MOST_PROCESSES
from caperdeck.lab.capacity.target import TargetError, load
from caperdeck.lab.capacity.text import amount, room
from caperdeck.lab.slopes.line import Point
from caperdeck.lab.slopes.record import Source, measurement, read, record, write

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / "docs/capacity/target.toml"
SLOPES = ROOT / "docs/capacity/slopes.json"
PAGE = ROOT / "docs/CAPACITY.md"

SIZES = (1000, 2000, 4000, 8000)
STAND_IN = {  # fixed and slope; invented, so that products are easy to check
    "node.memory_own": (2e7, 1e4), "node.memory_kernel": (0, 5e3), "node.list_memory": (0, 1e3),
    "node.set_up": (0, 3e-4), "node.end": (0, 1e-4), "node.idle": (0, 1e-6), "node.placement": (0, 1e-7),
    "node.delivery_100": (0, 20e-6), "node.delivery_1000": (0, 38e-6), "node.tick": (0, 1e-6),
    "peers.known": (10, 0.4), "peers.bytes": (96, 1e-3), "owned.cpu_owner": (0, 1e-3),
}  # fmt: skip


@cache
def line(name, fixed, slope, sizes=SIZES):
    points = [Point(size, fixed + slope * size) for size in sizes]
    return measurement(name, "stand-in", "unit", "size", Source.VIRTUAL_TIME, points)


def stand_in(without=(), **costs):
    lines = STAND_IN | {name.replace("__", "."): cost for name, cost in costs.items()}
    return record([line(n, *lines.get(n, (0, 1e-6))) for n in NAMES if n not in without])


def target(**changes):
    """The tree's target with fields changed: `fleet__machines=100`."""
    raw = msgspec.to_builtins(load(str(TARGET)))
    for path, value in changes.items():
        table, field = path.split("__")
        raw[table][field] = value
    return msgspec.convert(raw, type(load(str(TARGET))))


SMALL = {
    "fleet__machines": 10, "fleet__zones": 5, "fleet__connections": 100_000, "deliveries__per_second": 80_000,
    "assumed__busy_times": 2.0, "assumed__hosts": 1000, "assumed__connection_life": 1000.0,
    "assumed__utilisation": 0.6, "assumed__rack_machines": 2, "topics__largest_listeners": 1000,
}  # fmt: skip


def small_fleet(made=None, **changes):
    return Fleet(target(**SMALL | changes), made or stand_in())


def find(report_or_roles, what):
    roles = getattr(report_or_roles, "roles", report_or_roles)
    return next(row for role in roles for row in role.rows if row.what == what)


# ---- figures


def test_a_figure_keeps_its_sources_and_the_furthest_stretch():
    one = Figure(6.0, 0.5, frozenset({"a"}))
    other = Figure(2.0, 3.0, frozenset({"b"}), assumed=frozenset({"hosts"}))
    quotient = one / other
    assert (quotient.value, quotient.stretch, quotient.measured) == (3.0, 3.0, {"a", "b"})
    assert quotient.origin is Origin.WORKED_OUT and quotient.assumed == {"hosts"}
    assert (1 - one).value == -5.0 and (12 / one).value == 2.0 and total([one, other]).value == 8.0
    assert largest([one, other]).value == 6.0


def test_a_missing_measurement_is_never_a_number():
    missing = Figure(None, missing=frozenset({"peers.cpu"}))
    for made in (missing + 1, 0 * missing, total([Figure(1.0), missing]), largest([Figure(1.0), missing])):
        assert made.value is None and made.missing == {"peers.cpu"} and made.origin is Origin.NOT_MEASURED


def test_origin_says_what_was_read_off_inside_the_measured_sizes():
    fleet = small_fleet()
    assert fleet.lines.at("node.tick", 8000).origin is Origin.MEASURED
    stretched = fleet.lines.at("node.tick", 16_000)
    assert (stretched.origin, stretched.stretch) == (Origin.WORKED_OUT, 2.0)
    assert fleet.assumed("hosts").origin is Origin.ASSUMED


def test_a_line_under_zero_gives_zero_and_one_that_does_not_fit_is_named():
    made = stand_in(node__tick=(-1.0, 1e-4))
    assert Fleet(target(), made).lines.at("node.tick", 10).value == 0.0
    points = [Point(size, cost) for size, cost in zip(SIZES, (0.0, 9.0, 1.0, 8.0), strict=True)]
    bent = measurement("node.tick", "", "s", "hosts", Source.PROCESSES, points)
    fleet = Fleet(target(), record([bent]))
    assert (fleet.lines.at("node.tick", 10) + 1).bent == {"node.tick"}


def test_a_line_that_falls_is_not_followed_past_what_was_measured():
    lines = Fleet(target(), stand_in(peers__bytes=(100.0, -1e-3))).lines
    assert lines.at("peers.bytes", 4000).value == pytest.approx(96.0)
    assert lines.at("peers.bytes", 80_000).value == pytest.approx(92.0)


def test_a_delay_is_that_of_the_next_higher_measured_rate():
    lines = Fleet(target(), delays((0.01, 0.02, 0.1, 0.2))).lines
    assert lines.up_to("node.delivery_p99_100", 1001).value == 0.02
    assert lines.up_to("node.delivery_p99_100", 2000).value == 0.02
    beyond = lines.up_to("node.delivery_p99_100", 9000)
    assert beyond.value == lines.at("node.delivery_p99_100", 9000).value and beyond.stretch == 1.125


# ---- the arithmetic of a process


def test_load_cost_and_memory_of_a_process_are_exact():
    fleet = small_fleet()
    load_of_one = fleet.load()
    assert fleet.processes.value == 1
    assert (load_of_one.connections.value, load_of_one.lines.value, load_of_one.set_ups.value) == (
        10_000, 8000, 10,
    )  # fmt: skip
    parts = {
        name: part.value for name, part in utilisation_parts(fleet.target, fleet.lines, load_of_one).items()
    }
    # a line 20 µs; a connection 1 µs a second; one that comes 300 µs and 0.1 µs a host, one that ends 100 µs
    assert parts == pytest.approx({
        "deliveries": 0.16, "standing connections": 0.01, "connections that come and end": 0.005,
        "the decisions' tick": 0.002,
    })  # fmt: skip
    assert utilisation(fleet.target, fleet.lines, load_of_one).value == pytest.approx(2 * 0.177)
    # 20 MB, 15 kB a connection, 1 kB a host
    assert process_memory(fleet.target, fleet.lines, load_of_one.connections).value == pytest.approx(171e6)
    assert set_up_cost(fleet.target, fleet.lines, 10).value == pytest.approx(4e-4)


@pytest.mark.parametrize(("line_bytes", "cost"), [(100, 20e-6), (550, 29e-6), (1000, 38e-6)])
def test_lines_between_the_measured_lengths_are_interpolated(line_bytes, cost):
    fleet = small_fleet(assumed__line_bytes=line_bytes)
    parts = utilisation_parts(fleet.target, fleet.lines, fleet.load())
    assert parts["deliveries"].value == pytest.approx(cost * fleet.load().lines.value)


def test_processes_follow_from_the_steady_load_with_a_zone_lost():
    # two machines of ten lost: 0.4415 of a reactor; with half as many deliveries more 0.6415, past 0.6
    assert small_fleet().sizing.conditions[0].reached.value == pytest.approx(0.4415)
    more = small_fleet(deliveries__per_second=120_000)
    assert more.processes.value == 2 and more.members.value == 20
    assert more.control.core_part.value == pytest.approx(0.006)


def test_processes_follow_from_the_crowd_of_a_lost_zone():
    # 2,500 connections at 0.8 ms of a busy core each, beside 0.4415 of the reactor: 3.58 s
    crowd = small_fleet().sizing.conditions[2]
    assert (crowd.processes.value, crowd.reached.value) == (1, pytest.approx(2.0 / (1 - 0.4415)))
    assert small_fleet(assumed__back_within=2.0).processes.value == 2


def delays(costs, sizes=SIZES):
    points = [Point(size, cost) for size, cost in zip(sizes, costs, strict=True)]
    slow = measurement("node.delivery_p99_100", "", "s", "lines", Source.PROCESSES, points)
    others = [each for each in stand_in().measurements if each.name != slow.name]
    return record([*others, slow])


def test_processes_follow_from_the_highest_measured_rate_in_time():
    # half of 0.33 s may pass at a node: 4,000 a second do, 8,000 do not, 10,000 are to with a zone lost
    condition = small_fleet(delays((0.01, 0.02, 0.1, 0.2))).sizing.conditions[1]
    assert (condition.processes.value, condition.bound.value) == (3, 4000)
    assert condition.met and condition.processes.stretch == 1.0


def test_a_delay_that_no_rate_keeps_is_not_met():
    sizing = small_fleet(delays((0.2, 0.2, 0.3, 0.3))).sizing
    assert not sizing.conditions[1].met and not sizing.complete
    assert sizing.processes.value == MOST_PROCESSES


def test_delays_all_in_time_stretch_their_line_and_say_so():
    condition = small_fleet(delays((0.01, 0.02, 0.04, 0.08))).sizing.conditions[1]
    assert condition.bound.value == pytest.approx(16_500) and condition.bound.stretch == pytest.approx(2.0625)
    assert small_fleet(delays((0.01, 0.01, 0.01, 0.009))).sizing.conditions[1].processes.value == 1


def test_a_condition_that_is_not_measured_leaves_a_lower_bound():
    sizing = small_fleet(stand_in(without=("node.delivery_p99_100",))).sizing
    assert sizing.processes.value == 1 and not sizing.complete
    assert small_fleet(stand_in(without=("node.idle",))).processes.value is None


# ---- roles and faults


def test_rows_at_the_tree_s_target():
    made = report(target(), stand_in())
    processes = made.sizing.processes.value
    members = 730 * processes
    assert find(made, "members").amount.value == members
    known = find(made, "until nine in ten know nine in ten, after all have started at once")
    assert known.amount.value == pytest.approx(10 + 0.4 * members)
    assert find(made, "membership, bytes").bound.value == 4000
    assert find(made, "the owner's reactor").times == pytest.approx(members / 1000)
    assert find(made, "one change by hand, one node after another").amount.value == pytest.approx(
        10 * members
    )
    # six followers where two were measured, 1 µs an entry
    entries = 4 + 2270 / 86_400 * 10
    leader = find(made, "the leader's share of a core for them")
    assert leader.amount.value == pytest.approx(entries * 1e-6 * 3)
    # the census's own text: 13 bytes a node in base85, and what an instance takes follows from their room
    census = find(made, "characters of the census, as agreed on")
    assert census.amount.value == pytest.approx(13 * 5 / 4 * members, abs=128) and census.times < 1
    assert find(made, "node processes that one instance may own work at").times == pytest.approx(
        census.times, rel=0.01
    )


def versions_report(**costs):
    """Ten machines of one process, two control machines of one region and zone each a five zones."""
    lines = {
        "configuration.bytes_by_listeners": (5000, 100), "configuration.apply_by_listeners": (0, 1e-5),
        "distribution.node_cpu": (0.5, 4e-4), "distribution.node_bytes": (9.0, 300.0),
        "distribution.node_memory": (1e6, 2e4), "distribution.version_cpu": (1e-3, 1e-8),
        "distribution.version_bytes": (400.0, 1.1), "distribution.version_memory": (4e7, 10.0),
        "distribution.instance_cpu": (0.02, 1e-4), "distribution.instance_memory": (3e7, 1e4),
        "distribution.instance_version_cpu_by_size": (1e-4, 1e-9), "distribution.subscribe_cpu": (5.0, 2e-3),
        "distribution.commit_cpu": (0.01, 1e-8), "distribution.history_memory": (3e7, 50.0),
    }  # fmt: skip
    made = stand_in(**{name.replace(".", "__"): line for name, line in lines.items()} | costs)
    changed = {
        "assumed__listeners": 100, "assumed__customers": 1000, "assumed__customer_bytes": 40.0,
        "assumed__peak_times": 10.0, "configuration__changes_a_day": 8640.0, "control__machines": 6,
        "fleet__regions": 2,
    }  # fmt: skip
    return report(target(**SMALL | changed), made)


def test_versions_cost_nodes_and_instances_what_their_lines_say():
    # a document of 100 listeners of 100 B and 1,000 customers of 40 B; a tenth of a version a second
    made = versions_report()
    assert made.sizing.processes.value == 1

    def amount_of(what):
        return find(made, what).amount.value

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
    memory = find(made, "the instance with its watches and the versions that it keeps")
    assert memory.amount.value == pytest.approx(3e7 + 1e4 * watches + 50 * size)
    assert amount_of("bytes to and from nodes that watch, at the mean") == pytest.approx(
        watches * (300 + sent / 10)
    )


def test_a_lost_control_machine_moves_its_watches_to_its_region_s_rest():
    # three instances a region, so two others; 2 ms of a busy core for each watch taken up
    made = versions_report()
    assert find(made, "a control machine lost: watches that move").amount.value == 2
    assert find(made, "a control machine lost: watches at one of its region's others").amount.value == 3
    taken_up = "a control machine lost: watches taken up at one of these, a core's time, busy machine"
    assert find(made, taken_up).amount.value == pytest.approx(2 * 2e-3)
    until = "a control machine lost: until all its nodes watch elsewhere"
    assert find(made, until).amount.value == pytest.approx(2.0 + 0.5 + 1.0)
    # at the tree's target the connects are paced: 400 a second after the first 100
    whole = report(target(), stand_in())
    moved = 730 * whole.sizing.processes.value / 5 / 2
    paced = max(0.5, (moved - 100) / 400)
    assert find(whole, until).amount.value == pytest.approx(2.0 + paced + 1.0)


def test_configuration_is_carried_and_says_where_it_is_off():
    mechanism = CARRIERS[Need.CONFIGURATION]
    assert mechanism.mechanism != NOTHING and "off in `run`" in mechanism.mechanism
    by_hand = find(report(target(), stand_in()), "one change by hand, one node after another")
    assert by_hand.bound is None and "`run`" in by_hand.note


def test_lines_merged_from_another_run_are_named_with_it():
    made = stand_in()
    other = msgspec.structs.replace(made.provenance, revision="fedcba9876")
    merged = [
        msgspec.structs.replace(each, provenance=other) if each.name.startswith("peers.") else each
        for each in made.measurements
    ]
    first, _ = tables.markdown(
        report(target(), msgspec.structs.replace(made, measurements=tuple(merged)))
    ).split("## How many node processes")
    names = ", ".join(name for name in NAMES if name.startswith("peers."))
    assert f"But {names}: taken " in first and "at revision fedcba9876:" in first
    assert f"at revision {made.revision}:" in first


def test_a_lost_zone_brings_its_connections_to_the_rest():
    zone = next(fault for fault in report(target(), stand_in()).faults if fault.name == "a zone")
    processes = report(target(), stand_in()).sizing.processes.value
    assert zone.back.value == pytest.approx(7_000_000)
    assert zone.crowd.value == pytest.approx(7_000_000 / (584 * processes))
    assert zone.rate.value == pytest.approx(zone.crowd.value / 2)
    assert zone.core_seconds.value == pytest.approx(zone.crowd.value * (3e-4 + 1.2e-4) * 1.9)
    assert zone.until_served.value > zone.core_seconds.value
    assert zone.lists.value == pytest.approx(584 * processes)


def test_time_taken_up_by_crowds_is_a_part_of_the_year():
    faults = {"machines_failing_a_day": 1.0, "machines_replaced_a_day": 1.0, "racks_a_year": 1e-9}
    fleet = small_fleet(
        **{f"faults__{key}": value for key, value in faults.items()}, faults__zones_a_year=1e-9
    )
    # each of 730 machines a year sends a ninth of 10,000 connections to each of nine, at 0.8 ms
    left = 1 - utilisation(fleet.target, fleet.lines, fleet.load(1)).value
    spent = find(roles(fleet), "time in which a process takes up crowds, and deliveries wait, part of all")
    seconds = 730 * (10_000 / 9) * 8e-4 / left
    assert spent.amount.value == pytest.approx(seconds / (365 * 86_400), rel=1e-6)
    assert spent.bound.value == pytest.approx(0.01)


def test_a_cut_between_regions_takes_no_node_away():
    cut = next(f for f in report(target(), stand_in()).faults if f.name == "regions lose each other")
    assert (cut.back.value, cut.lists.value) == (pytest.approx(700_000), 0)


@pytest.mark.parametrize("name", NAMES)
def test_any_missing_measurement_is_named_and_shown(name):
    made = report(target(), stand_in(without=(name,)))
    assert made.missing == (name,)
    text = tables.markdown(made)
    assert f"**not measured:** {name}." in text and f"| {name} | not measured |" in text


def test_nothing_measured_gives_no_figure_that_needs_a_line():
    made = report(target(), record([]))
    assert made.missing == NAMES and made.sizing.processes.value is None
    assert find(made, "memory").amount.value is None and find(made, "shards of one host").amount.value == 100
    assert "must run is **not measured**" in tables.markdown(made)


def test_a_record_of_small_sizes_is_called_that():
    small = [msgspec.structs.replace(each, note="small sizes; x") for each in stand_in().measurements]
    assert "the figures say nothing" in tables.markdown(report(target(), record(small)))
    assert "the figures say nothing" not in tables.markdown(report(target(), stand_in()))


# ---- the ranking


def test_needs_that_others_stand_on_are_counted_through_others():
    assert Need.MEMBERSHIP in standing_on(Need.CONFIGURATION)
    assert Need.REGIONS in standing_on(Need.MEMBER_LIST)
    assert standing_on(Need.DELIVERY) == frozenset()


def test_the_worst_comes_first():
    over = row(Need.DELIVERY, Kind.PROCESSOR, "over", "", 3.0, 1.0)
    further = row(Need.HOST_LIST, Kind.PROCESSOR, "further", "", 9.0, 1.0)
    room_left = row(Need.STANDING, Kind.MEMORY, "room", "B", 1.0, 2.0)
    unknown = row(Need.HOST_FIGURES, Kind.TIME, "unknown", "s", Figure(None, missing=frozenset({"x"})), 1.0)
    topics = row(Need.TOPICS, Kind.STATE, "topics", "", 1.0, 2.0)
    ranks = ranking([Role("all", (room_left, unknown, over, further, topics))])
    assert len(ranks) == len(Need)
    first = [rank.need for rank in ranks if rank.mechanism == NOTHING]
    assert [rank.need for rank in ranks[: len(first)]] == first == [
        Need.MEMBER_LIST, Need.TOPICS, Need.REGIONS,
    ]  # fmt: skip
    rest = [rank.need for rank in ranks[len(first) :]]
    assert rest[:2] == [Need.HOST_LIST, Need.DELIVERY] and rest[-1] is Need.STANDING
    assert next(rank for rank in ranks if rank.need is Need.HOST_FIGURES).not_measured == ("x",)


def test_every_need_has_a_carrier():
    assert set(CARRIERS) == set(Need)


# ---- text


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (None, "B", "not measured"), (0.0, "s", "0 s"), (47e-6, "s", "47 µs"), (0.33, "s", "330 ms"),
        (7300.0, "s", "2.03 h"), (32e6, "B", "32 MB"), (23_288.0, "/s", "23,288/s"), (0.0123, "", "0.0123"),
        (float("inf"), "s", "without end"), (9.999, "s", "10 s"),
    ],
)  # fmt: skip
def test_amounts_as_text(value, unit, text):
    assert amount(value, unit) == text


def test_room_as_text():
    assert (room(None), room(2.5), room(0.5)) == ("", "**2.5 times over**", "2 times under")


# ---- bad input


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
def test_a_bad_target_is_one_line_with_field_and_reason(tmp_path, capsys, old, new, reason):
    text = TARGET.read_text()
    assert text.count(old) == 1
    path = changed(text.replace(old, new), tmp_path / "target.toml")
    with pytest.raises(TargetError, match=reason) as error:
        load(path)
    assert str(error.value).startswith(f"{path}: ") and "\n" not in str(error.value)
    write(tmp_path / "slopes.json", stand_in())
    out = tmp_path / "out.json"
    assert main(command(tmp_path / "slopes.json", path, "--json", out)) == 2
    said = capsys.readouterr()
    assert said.out == "" and said.err.count("\n") == 1 and not out.exists()


def command(slopes, target_file, *options):
    words = [f"{a}={b}" for a, b in zip(options[::2], options[1::2], strict=True)]
    return ["lab", "capacity", f"--slopes={slopes}", f"--target={target_file}", *words]


@pytest.mark.parametrize("text", [None, "{}", "[]", "\xff"])
def test_a_bad_record_is_one_line(tmp_path, capsys, text):
    path = tmp_path / "slopes.json"
    if text is not None:
        path.write_bytes(text.encode("latin-1"))
    assert main(command(path, TARGET)) == 2
    said = capsys.readouterr()
    assert said.out == "" and said.err.count("\n") == 1 and "slopes.json" in said.err


def test_a_missing_target_is_one_line(tmp_path, capsys):
    write(tmp_path / "slopes.json", stand_in())
    assert main(command(tmp_path / "slopes.json", tmp_path / "none.toml")) == 2
    assert "none.toml: No such file" in capsys.readouterr().err


@pytest.mark.parametrize(
    "text",
    ["", page.BEGIN, page.END + page.BEGIN, page.BEGIN + page.END + page.END, page.BEGIN * 2 + page.END],
)
def test_a_page_without_its_marks_is_left_alone(tmp_path, capsys, text):
    write(tmp_path / "slopes.json", stand_in())
    file = tmp_path / "page.md"
    file.write_text(text)
    assert main(command(tmp_path / "slopes.json", TARGET, "--page", file)) == 2
    assert file.read_text() == text and "mark" in capsys.readouterr().err


# ---- the command and the page


def test_the_command_writes_page_and_figures(tmp_path, capsys):
    write(tmp_path / "slopes.json", stand_in())
    file, out = tmp_path / "page.md", tmp_path / "out.json"
    file.write_text(f"before\n{page.BEGIN}\nold\n{page.END}\nafter\n")
    words = command(tmp_path / "slopes.json", TARGET, "--page", file, "--json", out)
    assert main(words) == 0
    text = file.read_text()
    assert text.startswith("before\n") and text.endswith(f"{page.END}\nafter\n") and "\nold\n" not in text
    assert page.between(text).strip() in capsys.readouterr().out
    assert json.loads(out.read_text())["missing"] == []
    first = out.read_bytes()
    assert main(words) == 0 and (file.read_text(), out.read_bytes()) == (text, first)


def test_what_is_not_measured_ends_with_one(tmp_path, capsys):
    write(tmp_path / "slopes.json", stand_in(without=("peers.cpu", "raft.commit_cpu")))
    assert main(command(tmp_path / "slopes.json", TARGET)) == 1
    assert capsys.readouterr().err == "not measured: peers.cpu, raft.commit_cpu\n"


def generated():
    """What the page has to say for the files in the tree."""
    return tables.markdown(report(load(str(TARGET)), read(SLOPES))) if SLOPES.exists() else page.MISSING


def test_page_slopes_and_target_in_the_tree_agree():
    assert page.between(PAGE.read_text()) == generated()


def test_every_assumption_has_its_question():
    text = (ROOT / "docs/capacity-questions.md").read_text()
    fields = msgspec.to_builtins(load(str(TARGET)).assumed)
    assert set(re.findall(r"`assumed\.(\w+)`", text)) == set(fields)
