"""Scenario files: invalid input is refused before anything starts, with the field and the reason."""

from pathlib import Path

import pytest
from test_lab_virtual import SCENARIOS

from caperdeck.lab.scenario import ScenarioError, decode, load
from caperdeck.lab.search import scenario_toml

GOOD = {"name": "t", "seconds": 10}


def fault(**values):
    return {"fault": [{"do": "stop", "of": "n1", "at": 1.0, "for": 2.0} | values]}


BAD = [
    ({"surplus": 1}, "surplus"),
    ({"seconds": -1}, "seconds: -1"),
    ({"seconds": float("inf")}, "not finite"),
    ({"seconds": "ten"}, "seconds"),
    ({"nodes": 0}, "nodes: is 0"),
    ({"nodes": 5000}, "over"),
    ({"zones": ["a", "a"]}, "twice"),
    ({"clients": {"rate": float("nan")}}, "clients.rate"),
    ({"clients": {"life": [9.0, 2.0]}}, "goes down"),
    ({"clients": {"effect": "sometimes"}}, "effect"),
    ({"hosts": {"cores": 2.5}}, "cores"),
    (fault(do="explode"), "do"),
    (fault(of="n9"), "n9"),
    (fault(of="h0"), "no node"),
    (fault(do="drain", of="n1"), "no host"),
    (fault(do="drain", of="h77"), "h77"),
    (fault(do="cut", of="n1", to="x3"), "x3"),
    (fault(do="cut-zone", of="mars"), "no zone 'mars'"),
    (fault(at=11.0), "past the end"),
    (fault(**{"for": 60.0}), "past the end"),
    (fault(at=None), "one of at and after"),
    (fault(after={"seen": "answer"}), "one of at and after"),
    (fault(at=None, after={"seen": "moon"}), "no kind of event"),
    (fault(until=[{"seen": "moon"}], **{"for": None}), "no kind of event"),
    (fault(until=[{"seen": "ask", "within": "nothing"}], **{"for": None}), "no fault 'nothing'"),
    (fault(until=[{"seen": "ask"}]), "exclude each other"),
    (fault(do="hold", of="n0", to="h0", **{"for": None}), "hold needs an end"),
    (fault(at=None, after={"seen": "ask", "within": "nothing"}), "no fault 'nothing'"),
    (fault(do="loss", of="n1", amount=3.0), "over 1"),
    (fault(**{"for": None}), "needs an end"),
    (fault(do="clock", drift=900.0), "over 500"),
]


@pytest.mark.parametrize("changes, reason", BAD)
def test_invalid_scenario_is_refused_with_field_and_reason(changes, reason):
    with pytest.raises(ScenarioError, match="^file.toml: ") as error:
        decode(GOOD | changes, "file.toml")
    assert reason in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("content", [b"name = ", b"\xff\xfe", b"name = 'x'\n"])
def test_invalid_scenario_file_is_refused_with_its_path(tmp_path, content):
    path = tmp_path / "s.toml"
    path.write_bytes(content)
    with pytest.raises(ScenarioError, match=str(path)):
        load(str(path))
    with pytest.raises(ScenarioError, match="No such file"):
        load(str(path) + "x")


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_survives_writing_and_reading(name, tmp_path):
    scenario = load(name)
    path = Path(tmp_path / "again.toml")
    path.write_text(scenario_toml(scenario))
    assert load(str(path)) == scenario
