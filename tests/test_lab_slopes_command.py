"""`caperdeck lab slopes`: choice of parts, merging into records of earlier runs, and refused input."""

import sys
import types

import pytest

from caperdeck.__main__ import main
from caperdeck.lab.slopes import command, record
from caperdeck.lab.slopes.errors import MeasurementError
from caperdeck.lab.slopes.line import Point
from caperdeck.lab.slopes.record import Source, make_measurement, read_record
from caperdeck.lab.slopes.table import table_lines


def sample_measurement(name, cost=3.0, note=""):
    points = [Point(size, 7.0 + cost * size) for size in (1, 2, 4, 8)]
    return make_measurement(name, "a stand-in's cost", "s", "things", Source.IN_PROCESS, points, note)


@pytest.fixture
def fake_parts(monkeypatch):
    """Replaces PARTS by two fake modules and a missing one; returns the list of calls to the fakes."""
    monkeypatch.setattr(command, "PARTS", {"one": "stand_in_one", "two": "stand_in_two", "none": "stand_in"})
    monkeypatch.setattr(record, "revision", lambda: "abc")
    calls = []
    for part in ("one", "two"):
        module = types.ModuleType(f"{command.__package__}.stand_in_{part}")

        def measure(small, progress, part=part):
            calls.append((part, small))
            progress(f"point of {part}")
            return [sample_measurement(f"{part}.cost", len(calls), "as told")]

        module.measure = measure
        monkeypatch.setitem(sys.modules, module.__name__, module)
    return calls


def run_command(*options):
    return main(["lab", "slopes", *options])


def test_parts_are_measured_in_the_order_of_the_table_and_their_lines_are_printed(fake_parts, capsys):
    assert run_command("--only=two,one", "--small") == 0
    assert fake_parts == [("one", True), ("two", True)]
    printed = capsys.readouterr().out.splitlines()
    assert printed[:4] == ["part one", "point of one", "part two", "point of two"]
    assert printed[4].split() == ["measurement", "fixed", "slope", "r²", "unit", "against"]
    assert printed[5].split()[:4] == ["one.cost", "7", "±", "0"]


def test_measurements_of_other_parts_in_the_file_are_kept(fake_parts, tmp_path):
    out = str(tmp_path / "slopes.json")
    for only in ("one", "two", "one"):
        assert run_command(f"--only={only}", f"--out={out}") == 0
    kept = read_record(out)
    assert [measurement.name for measurement in kept.measurements] == ["two.cost", "one.cost"]
    assert [measurement.line.slope for measurement in kept.measurements] == pytest.approx([2.0, 3.0])
    assert kept.revision == "abc" and kept.find("one.cost").note == "as told"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda patch: patch.setattr(record, "revision", lambda: "def"), "is of revision abc, this is def"),
        (lambda patch: patch.setattr(record, "this_machine", lambda: None), "measured on another machine"),
    ],
)
def test_record_of_another_revision_or_machine_is_refused_and_unchanged(
    fake_parts, tmp_path, monkeypatch, capsys, change, reason
):
    out = tmp_path / "slopes.json"
    assert run_command("--only=one", f"--out={out}") == 0
    before = out.read_bytes()
    change(monkeypatch)
    assert run_command("--only=two", f"--out={out}") == 2
    error = capsys.readouterr().err
    assert reason in error and error.count("\n") == 1
    assert out.read_bytes() == before and len(fake_parts) == 1


def test_merged_measurements_carry_their_own_provenance(fake_parts, tmp_path, monkeypatch):
    out = str(tmp_path / "slopes.json")
    assert run_command("--only=one,two", f"--out={out}") == 0
    earlier = read_record(out)
    monkeypatch.setattr(record, "revision", lambda: "def")
    monkeypatch.setattr(record, "this_machine", lambda: record.Machine(1, 2, "another", "Linux", "3"))
    assert run_command("--only=one", f"--out={out}", "--merge") == 0
    new = read_record(out)
    assert (new.provenance, new.find("two.cost")) == (earlier.provenance, earlier.find("two.cost"))
    merged = new.find("one.cost").provenance
    assert (merged.revision, merged.machine.processor) == ("def", "another") and earlier.revision == "abc"


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        (["--merge"], "--merge: into which record?"),
        (["--merge", "--out={out}"], "--merge: there is no"),
        (["--merge", "--out={out}", "--small"], "was measured at full size"),
    ],
)
def test_merge_without_a_matching_record_is_refused(fake_parts, tmp_path, capsys, options, reason):
    out = tmp_path / "slopes.json"
    if "--small" in options:
        assert run_command("--only=one", f"--out={out}") == 0
    before = len(fake_parts)
    assert run_command("--only=two", *(option.format(out=out) for option in options)) == 2
    error = capsys.readouterr().err
    assert reason in error and error.count("\n") == 1 and len(fake_parts) == before


def test_small_sizes_are_marked_and_not_mixed_with_full_sizes(fake_parts, tmp_path, capsys):
    out = str(tmp_path / "slopes.json")
    assert run_command("--only=one", "--small", f"--out={out}") == 0
    assert read_record(out).find("one.cost").note == "small sizes; as told"
    assert run_command("--only=two", f"--out={out}") == 2
    assert "was measured with --small" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        (["--only=one,three"], "--only: three is no part; there are one, two, none"),
        (["--only="], "--only: nothing is no part"),
        (["--only=one,none"], "part none: there is no module caperdeck.lab.slopes.stand_in"),
        ([], "part none: there is no module"),
        (["--only=one", "--out=/nowhere/at/all.json"], "--out: /nowhere/at/all.json is no place for a file"),
    ],
)
def test_invalid_input_is_an_error_of_one_line_and_nothing_is_measured(fake_parts, capsys, options, reason):
    assert run_command(*options) == 2
    error = capsys.readouterr().err
    assert error.startswith(f"caperdeck: {reason}") and error.count("\n") == 1
    assert fake_parts == []


def test_file_that_is_not_a_record_is_left_unchanged(fake_parts, tmp_path, capsys):
    out = tmp_path / "notes.txt"
    out.write_text("not a record")
    assert run_command("--only=one", f"--out={out}") == 2
    assert out.read_text() == "not a record" and fake_parts == []


def test_void_part_ends_the_run_but_earlier_parts_are_recorded(
    fake_parts, tmp_path, monkeypatch, capsys,
):  # fmt: skip
    def measure(small, progress):
        raise MeasurementError("2 valid points")

    monkeypatch.setattr(sys.modules[f"{command.__package__}.stand_in_two"], "measure", measure)
    out = str(tmp_path / "slopes.json")
    assert run_command("--only=one,two", f"--out={out}") == 3
    assert capsys.readouterr().err == "void: 2 valid points\n"
    assert [measurement.name for measurement in read_record(out).measurements] == ["one.cost"]


def test_curve_is_flagged_with_its_largest_residual():
    points = [Point(size, size**2) for size in (1, 10, 100, 1000, 3000)]
    curve = make_measurement("part.curve", "a square", "B", "things", Source.IN_PROCESS, points)
    lines = table_lines([sample_measurement("part.line"), curve])
    assert len(lines) == 4
    worst = max(curve.line.residuals, key=abs)
    at = curve.points[curve.line.residuals.index(worst)].size
    assert lines[3] == f"  a curve: {worst:+.3g} B off its line at {at:g}"
