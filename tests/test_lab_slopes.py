"""Cost slopes: the fit of a line, and the record that stores all measurements."""

import pytest

from caperdeck.lab.slopes.line import FitError, Point, fit
from caperdeck.lab.slopes.record import (
    RecordError,
    Source,
    make_measurement,
    make_record,
    read_record,
    write_record,
)


def points_on_line(fixed, slope, sizes):
    return [Point(size, fixed + slope * size) for size in sizes]


def test_fit_through_exact_points_has_no_errors():
    line = fit(points_on_line(7.0, 3.0, [100, 200, 400, 800]))
    assert (line.fixed, line.slope) == pytest.approx((7.0, 3.0))
    assert (line.fixed_error, line.slope_error) == pytest.approx((0.0, 0.0), abs=1e-6)
    assert line.fits and line.at(1000) == pytest.approx(3007.0)


def test_fit_of_a_curve_is_flagged_and_keeps_its_residuals():
    line = fit([Point(size, size**2) for size in (1, 10, 100, 1000, 3000)])
    assert not line.fits
    assert line.residuals[2] == pytest.approx(100**2 - line.at(100))


def test_constant_cost_is_a_horizontal_line_that_a_record_can_store(tmp_path):
    """scipy gives NaN for the errors of a horizontal line, which JSON cannot represent."""
    points = points_on_line(5.0, 0.0, [1, 2, 4, 8])
    level = make_measurement("part.level", "messages", "messages", "members", Source.VIRTUAL_TIME, points)
    write_record(tmp_path / "slopes.json", make_record([level]))
    line = read_record(tmp_path / "slopes.json").find("part.level").line
    assert line.fits and (line.at(1000), line.slope_error, line.residuals) == (5.0, 0.0, (0.0,) * 4)


@pytest.mark.parametrize("sizes", [[], [1, 2, 3], [1, 1, 2, 2, 3, 3]])
def test_fit_needs_four_different_sizes(sizes):
    with pytest.raises(FitError, match="needs 4"):
        fit(points_on_line(1.0, 1.0, sizes))


def sample_measurement(name="node.memory"):
    points = points_on_line(2e7, 3e3, [1000, 2000, 4000, 8000])
    return make_measurement(name, "resident memory", "B", "standing connections", Source.PROCESSES, points)


def test_record_is_read_back_as_written(tmp_path):
    written = make_record([sample_measurement(), sample_measurement("node.idle")])
    write_record(tmp_path / "slopes.json", written)
    assert read_record(tmp_path / "slopes.json") == written
    assert written.find("node.idle").line.slope == pytest.approx(3e3)
    assert written.machine.cores >= 1 and written.machine.memory_bytes > 0


def test_duplicate_names_in_a_record_are_refused():
    with pytest.raises(RecordError, match="measured twice: node.memory"):
        make_record([sample_measurement(), sample_measurement()])


def test_error_names_the_missing_measurement():
    with pytest.raises(RecordError, match="no measurement peers.bytes"):
        make_record([sample_measurement()]).find("peers.bytes")


@pytest.mark.parametrize(
    "text",
    [b"", b"[]", b"{}", b'{"format": 1, "taken_at": "", "revision": "", "machine": {}, "measurements": []}'],
)
def test_invalid_record_is_an_error_of_one_line(tmp_path, text):
    (tmp_path / "slopes.json").write_bytes(text)
    with pytest.raises(RecordError, match=r"slopes\.json: .+") as error:
        read_record(tmp_path / "slopes.json")
    assert "\n" not in str(error.value)


def test_record_of_another_format_is_refused(tmp_path):
    write_record(tmp_path / "slopes.json", make_record([sample_measurement()]))
    text = (tmp_path / "slopes.json").read_text().replace('"format": 1', '"format": 2')
    (tmp_path / "slopes.json").write_text(text)
    with pytest.raises(RecordError, match="format 2, not 1"):
        read_record(tmp_path / "slopes.json")
