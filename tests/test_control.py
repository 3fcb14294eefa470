"""A node with a published configuration: the control file, merging of versions, the file of the version."""

import errno
import json
import os
from pathlib import Path

import pytest
from helpers import CONFIG, SETUP, write_config

from caperdeck.__main__ import main
from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.document import digest
from caperdeck.distribution.subscriber import NO_VERSION, HeldVersion
from caperdeck.distribution.version_file import (
    NUMBER_BLOCK, DamagedFileError, ForeignFileError, VersionFile, VersionFileError,
)  # fmt: skip
from caperdeck.lifecycle.config import ConfigError, load_config
from caperdeck.lifecycle.control import Instance, load_control
from caperdeck.lifecycle.merge import check_document, apply_version
from caperdeck.state.addresses import Address

# ---- the control file

INSTANCES = """
[instances.o0]
address = "127.0.0.1:7100"
zone = "z0"
region = "north"

[instances.o1]
address = "127.0.0.1:7101"
zone = "z1"
region = "south"
"""


def control_file(path, here, instances=INSTANCES, **changes):
    """Writes a control file with these keys changed; a key that is None is left out."""
    keys = {"cluster": "t", "zone": "z0", "region": "north", "folder": str(here)} | changes
    rows = [f"{key} = {json.dumps(value)}" for key, value in keys.items() if value is not None]
    path.write_text("\n".join(rows) + "\n" + instances)
    return str(path)


def test_a_control_file_is_read_completely(tmp_path):
    control = load_control(control_file(tmp_path / "control", tmp_path), "n1")
    assert control == (
        "t", Place("n1", "z0", "north"), str(tmp_path),
        {"o0": Instance(Place("o0", "z0", "north"), Address("127.0.0.1", 7100)),
         "o1": Instance(Place("o1", "z1", "south"), Address("127.0.0.1", 7101))},
    )  # fmt: skip


MANY = "".join(
    f'[instances.p{i}]\naddress = "127.0.0.1:{7000 + i}"\nzone="z"\nregion="r"\n' for i in range(10)
)


@pytest.mark.parametrize("changes, text", [
    ({"colour": 1}, "colour: unknown key, known are cluster, folder, instances, region, zone"),
    ({"cluster": None}, "cluster: None is not a name"), ({"cluster": "x" * 65}, "cluster: .* is not a name"),
    ({"zone": ""}, "zone: '' is not a name"), ({"region": 7}, "region: 7 is not a name"),
    ({"zone": "a\tb"}, "zone: 'a.*b' cannot be printed"),
    ({"folder": None}, "folder: a path is needed"),
    ({"folder": "/nowhere"}, "folder: /nowhere is not a folder"),
    ({"instances": ""}, "instances: 1 to 9 tables"), ({"instances": MANY}, "instances: 1 to 9 tables"),
    ({"instances": "instances = 7"}, "instances: 1 to 9 tables"), ({"instances": "x = ["}, "not valid TOML"),
    ({"instances": "[instances]\no0 = 7"}, "instances.o0: not a table"),
    ({"instances": INSTANCES + "port = 7"}, "instances.o1.port: unknown key"),
    ({"instances": INSTANCES.replace('zone = "z1"', "")}, "instances.o1.zone: None is not a name"),
    ({"instances": INSTANCES.replace('address = "127.0.0.1:7101"', "")}, "instances.o1.address: missing"),
    ({"instances": INSTANCES.replace("7101", "7100")}, "instances.o1.address: o0 has the same"),
    ({"instances": INSTANCES.replace("7101", "70000")}, "instances.o1.address: no address"),
    ({"instances": INSTANCES.replace("127.0.0.1:7101", "10.0.0.1:7101")}, "o1.address: .* off loopback"),
    ({"instances": INSTANCES.replace("o1", "o0")}, "not valid TOML: Cannot declare"),
])  # fmt: skip
def test_an_unusable_control_file_is_reported_in_one_line(tmp_path, capsys, changes, text):
    path = control_file(tmp_path / "control", tmp_path, **changes)
    with pytest.raises(ConfigError, match=text):
        load_control(path, "n1")
    write_config(tmp_path / "c", CONFIG)
    for command in ("check", "serve"):
        assert main([command, f"--config={tmp_path / 'c'}", f"--control={path}"]) == 2
        said = capsys.readouterr().err
        assert said.startswith(f"caperdeck: control {path}: ") and said.count("\n") == 1


def test_check_accepts_a_control_file(tmp_path, capsys):
    write_config(tmp_path / "c", CONFIG)
    path = control_file(tmp_path / "control", tmp_path)
    assert main(["check", f"--config={tmp_path / 'c'}", f"--control={path}"]) == 0


def test_the_example_control_file_is_valid(tmp_path):
    text = (Path(__file__).parent.parent / "deploy" / "control.toml").read_text()
    (tmp_path / "control").write_text(text.replace("/var/lib/caperdeck", str(tmp_path)))
    assert list(load_control(str(tmp_path / "control"), "n1").instances) == ["o0", "o1", "o2"]


# ---- merging a version into the node's file


def load_own(tmp_path, **changes):
    return load_config(write_config(tmp_path / "own", CONFIG | changes), keep_file_values=True)


ROW = SETUP["listeners"][0]


def test_a_version_replaces_what_it_may_set_and_nothing_else(tmp_path):
    config = load_own(tmp_path)
    rows = [ROW | {"name": "chat2"}]
    new = apply_version(
        config, {"discovery": "127.0.0.1:8600", "settings": {"listeners": rows, "fleetSize": 9}}
    )
    assert (new.discovery, new.names.listeners, new.settings.nodes) == ("127.0.0.1:8600", {"chat2": 0}, 9)
    assert (new.name, new.listen, new.sockets, new.file_keys, new.file_values) == (
        config.name, config.listen, config.sockets, config.file_keys, config.file_values,
    )  # fmt: skip
    assert (
        new.settings.max_dials == config.settings.max_dials
        and config.file_values["discovery"] == "127.0.0.1:8500"
    )
    assert apply_version(config, {}) is config


@pytest.mark.parametrize("document, text", [
    ({"listen": "127.0.0.1:1"}, "^listen: not for a version to set, it may set discovery, settings$"),
    ({"seed": "0"}, "^seed: not for"), ({"limits": {"sockets": 9}}, "^limits: not for"),
    ({"settings": []}, "^settings: no JSON object"), ({"settings": {"me": 1}}, "^settings.me: not for"),
    ({"settings": {"locality": "west"}}, "^settings.locality: not for"),
    ({"discovery": "nowhere"}, "^discovery: no address"),
    ({"settings": {"listeners": 7}}, "^settings.listeners: a value of the wrong kind"),
    ({"settings": {"fleetSize": 3, "limits": {"mostDials": 0}}}, "^settings.limits: .*limits.mostDials is 0"),
])  # fmt: skip
def test_an_unusable_version_is_reported_with_its_field(tmp_path, document, text):
    for check in (check_document, lambda x: apply_version(load_own(tmp_path), x)):
        with pytest.raises(ConfigError, match=text) as caught:
            check(document)
        assert "\n" not in str(caught.value)


# ---- the file of the applied version


def held(revision, document=None):
    document = document or {"settings": {"fleetSize": revision}}
    return HeldVersion(revision, digest(document), document)


def version_file(folder, node="n1"):
    return VersionFile(str(folder), "t", node)


def test_the_stored_version_and_the_reserved_numbers_never_decrease(tmp_path):
    assert version_file(tmp_path).read() == (NO_VERSION, 0)
    first = version_file(tmp_path)
    assert first.reserve(5000.0) == (NO_VERSION, 5000, 5000 + NUMBER_BLOCK)
    first.save(held(7))
    second = version_file(tmp_path)
    assert second.read() == (held(7), 5000 + NUMBER_BLOCK)
    assert second.reserve(6000.0) == (held(7), 5000 + NUMBER_BLOCK, 5000 + 2 * NUMBER_BLOCK)
    second.save(held(8))
    with pytest.raises(VersionFileError, match="revision 8 is there already"):
        first.save(held(7))
    assert second.read() == (held(8), 5000 + 2 * NUMBER_BLOCK)


def test_a_file_with_a_changed_byte_or_truncated_counts_as_empty(tmp_path):
    file = version_file(tmp_path)
    file.reserve(0.0)
    file.save(held(7))
    path = tmp_path / "version"
    whole = path.read_bytes()
    damaged = [whole[:i] for i in range(len(whole))]
    damaged += [whole[:i] + bytes([byte ^ 1]) + whole[i + 1 :] for i, byte in enumerate(whole)]
    for data in damaged:
        path.write_bytes(data)
        with pytest.raises(DamagedFileError, match="damaged, counted as nothing held"):
            file.read()
    assert version_file(tmp_path).reserve(9000.0).held == NO_VERSION


def test_a_node_that_loses_its_file_soon_after_a_restart_uses_numbers_above_its_earlier_ones(tmp_path):
    # With lower numbers the instances would ignore the node until they had forgotten its earlier messages,
    # and status would not list it.
    start, restart, lost = 1e12, 1e12 + 9000.0, 1e12 + 15_000.0
    version_file(tmp_path).reserve(start)
    used = version_file(tmp_path).reserve(restart).first + 100
    (tmp_path / "version").unlink()
    assert version_file(tmp_path).reserve(lost).first > used


def test_another_nodes_file_is_neither_used_nor_overwritten(tmp_path):
    version_file(tmp_path).save(held(7))
    other = version_file(tmp_path, "n2")
    for call in (other.read, lambda: other.reserve(0.0), lambda: other.save(held(9))):
        with pytest.raises(ForeignFileError, match="of node n1 of t"):
            call()
    assert version_file(tmp_path).read().held == held(7)


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_a_failed_write_leaves_the_version_before(tmp_path, monkeypatch, call):
    file = version_file(tmp_path)
    file.save(held(7))

    def full(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, call, full)
    with pytest.raises(VersionFileError, match="No space left on device"):
        file.save(held(8))
    assert file.read().held == held(7)
