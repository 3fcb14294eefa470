"""Cost slopes: the fit of a line, and the record that keeps all of them."""

import pytest

from caperdeck.lab.slopes.line import FitError, Point, fit
from caperdeck.lab.slopes.record import (
    RecordError,
    Source,
    make_measurement,
    read_record,
    make_record,
    write_record,
)


def on_a_line(fixed, slope, sizes):
    return [Point(size, fixed + slope * size) for size in sizes]


def test_a_line_through_exact_points_has_no_errors():
    line = fit(on_a_line(7.0, 3.0, [100, 200, 400, 800]))
    assert (line.fixed, line.slope) == pytest.approx((7.0, 3.0))
    assert (line.fixed_error, line.slope_error) == pytest.approx((0.0, 0.0), abs=1e-6)
    assert line.fits and line.at(1000) == pytest.approx(3007.0)


def test_what_the_line_leaves_over_is_kept_and_tells_a_curve():
    line = fit([Point(size, size**2) for size in (1, 10, 100, 1000, 3000)])
    assert not line.fits
    assert line.residuals[2] == pytest.approx(100**2 - line.at(100))


def test_a_cost_that_never_changes_is_a_level_line_that_a_record_can_keep(tmp_path):
    points = on_a_line(5.0, 0.0, [1, 2, 4, 8])
    level = make_measurement("part.level", "messages", "messages", "members", Source.VIRTUAL_TIME, points)
    write_record(tmp_path / "slopes.json", make_record([level]))
    line = read_record(tmp_path / "slopes.json").find("part.level").line
    assert line.fits and (line.at(1000), line.slope_error, line.residuals) == (5.0, 0.0, (0.0,) * 4)


@pytest.mark.parametrize("sizes", [[], [1, 2, 3], [1, 1, 2, 2, 3, 3]])
def test_a_line_needs_four_sizes(sizes):
    with pytest.raises(FitError, match="needs 4"):
        fit(on_a_line(1.0, 1.0, sizes))


def made(name="node.memory"):
    points = on_a_line(2e7, 3e3, [1000, 2000, 4000, 8000])
    return make_measurement(name, "resident memory", "B", "standing connections", Source.PROCESSES, points)


def test_a_record_is_read_back_as_it_was_written(tmp_path):
    written = make_record([made(), made("node.idle")])
    write_record(tmp_path / "slopes.json", written)
    assert read_record(tmp_path / "slopes.json") == written
    assert written.find("node.idle").line.slope == pytest.approx(3e3)
    assert written.machine.cores >= 1 and written.machine.memory_bytes > 0


def test_a_name_stands_once_in_a_record():
    with pytest.raises(RecordError, match="measured twice: node.memory"):
        make_record([made(), made()])


def test_a_missing_measurement_is_named():
    with pytest.raises(RecordError, match="no measurement peers.bytes"):
        make_record([made()]).find("peers.bytes")


@pytest.mark.parametrize(
    "text",
    [b"", b"[]", b"{}", b'{"format": 1, "taken_at": "", "revision": "", "machine": {}, "measurements": []}'],
)
def test_what_is_no_record_is_said_in_one_line(tmp_path, text):
    (tmp_path / "slopes.json").write_bytes(text)
    with pytest.raises(RecordError, match=r"slopes\.json: .+") as error:
        read_record(tmp_path / "slopes.json")
    assert "\n" not in str(error.value)


def test_another_format_is_refused(tmp_path):
    write_record(tmp_path / "slopes.json", make_record([made()]))
    text = (tmp_path / "slopes.json").read_text().replace('"format": 1', '"format": 2')
    (tmp_path / "slopes.json").write_text(text)
    with pytest.raises(RecordError, match="format 2, not 1"):
        read_record(tmp_path / "slopes.json")
