"""Which keys a new configuration may lack: sound files are taken, files that have lost a key are refused."""

import copy
import json
from dataclasses import replace

import pytest
from helpers import CONFIG, make_handler, service_over, write_config

from caperdeck.lifecycle.config import ConfigError, check_keys_kept, load_config

ROW = {"effect": "idempotent", "group": "all", "handshakeTarget": 0.3, "hardLimit": 1.2, "memorySpan": 5.0,
       "utility": 2.0, "aimStretch": 0.0, "tardyUtility": 0.5}  # fmt: skip
CHAT = ROW | {"name": "chat"}
ORDER = ROW | {"name": "order", "effect": "deduplicated", "group": "zone"}
PAY = ROW | {"name": "pay", "effect": "at_most_once"}
WHOLE = CONFIG | {
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "peers": [], "peer_listen": "127.0.0.1:1",
    "peers_all": None,
    "settings": {
        "fleetSize": 3, "me": 1, "dcs": ["west", "east"], "locality": "east", "discovery": "automatic",
        "limits": {"mostDials": 3, "mayProbe": True, "cancel": True, "retryAfter": True, "maxRetryAfter": 1.0,
                   "dialTimeout": 0.3, "connIdle": 60.0, "peers": True, "multiplex": 64},
        "invariants": {"askEvery": 11.0, "coldFrom": 0.3, "drainGrace": 1.0, "fall": 1.0,
                       "fallMultiple": 2.5, "warmAfter": 8.0, "graceToAnswer": 0.02},
        "listeners": [CHAT, ORDER, PAY], "projects": [{"name": "acme", "quotaRps": 1.0}],
        "report": {"how": "silent", "names": ["x0"]}, "prices": {"crossZone": 0.03, "probe": 0.004},
        "specifics": {"groups": True, "messageAim": [0.1, 0.06, 0.2], "mode": "proxy"}, "tiers": ["front"],
        "weights": "rough", "kinds": ["small"],
    },
}  # fmt: skip


def load(tmp_path, value):
    return load_config(write_config(tmp_path / "c", value))


def with_classes(*rows):
    return WHOLE | {"settings": WHOLE["settings"] | {"listeners": list(rows)}}


def without(table, *keys):
    return {key: value for key, value in table.items() if key not in keys}


def reload_error(tmp_path, old, new):
    """Why the new file may not replace the old one; "" if it may."""
    active = load(tmp_path, old)
    try:
        check_keys_kept(active, load(tmp_path, new))
    except ConfigError as error:
        return str(error)
    return ""


@pytest.mark.parametrize("rows", [
    [CHAT, ORDER, PAY, without(CHAT, "aimStretch") | {"name": "hold"}],
    [CHAT, ORDER, PAY, without(CHAT, "group", "memorySpan", "utility") | {"name": "hold"}],
    [CHAT, ORDER, without(PAY, "aimStretch", "tardyUtility")], [PAY], [PAY, CHAT, ORDER],
], ids=["added, optional key", "added, defaults", "optional keys", "dropped", "other order"])  # fmt: skip
def test_a_sound_file_with_other_classes_is_taken(tmp_path, rows):
    # Guards against a sound file that is refused whole, so that the rules that bind by then are not kept.
    assert not reload_error(tmp_path, with_classes(CHAT, ORDER, PAY), with_classes(*rows))


@pytest.mark.parametrize("effect, rows, key", [
    ("deduplicated", [CHAT, without(ORDER, "group")], "group"),
    ("deduplicated", [CHAT, without(ORDER, "memorySpan")], "memorySpan"),
    ("deduplicated", [CHAT, ORDER | {"group": None}], "group"),
    ("deduplicated", [CHAT, ORDER, without(ORDER, "group") | {"name": "new"}], "group"),
    ("at_most_once", [CHAT, without(PAY, "effect")], "effect"),
], ids=["group", "memorySpan", "empty group", "added", "effect"])  # fmt: skip
def test_a_class_without_a_key_that_its_effect_needs_is_refused(tmp_path, effect, rows, key):
    # Guards against repeats at hosts that do not drop them, by the default of a key that was lost.
    with pytest.raises(ConfigError, match=key):
        load(tmp_path, with_classes(*rows))
    assert effect in [row.get("effect", effect) for row in rows]


def paths_of(value, path=()):
    """The path of each key and of each row in a list of tables."""
    if isinstance(value, dict):
        for key, child in value.items():
            yield (*path, key)
            yield from paths_of(child, (*path, key))
    elif isinstance(value, list):
        for number, row in enumerate(value):
            yield from paths_of(row, (*path, number))


def named(path):
    return ".".join(map(str, path))


ALL_PATHS = list(paths_of(WHOLE))


@pytest.mark.parametrize("path", ALL_PATHS, ids=named)
def test_a_file_that_has_lost_one_key_is_refused_or_means_the_same(tmp_path, path):
    # Guards against a default that silently replaces the value of a key that was lost.
    new = copy.deepcopy(WHOLE)
    table = new
    for step in path[:-1]:
        table = table[step]
    del table[path[-1]]
    active = load(tmp_path, WHOLE)
    try:
        loaded = load(tmp_path, new)
        check_keys_kept(active, loaded)
    except ConfigError as error:
        assert names_key(path, str(error))
        return
    same = replace(
        loaded, file_keys=active.file_keys, known_hosts=active.known_hosts,
        known_revision=active.known_revision,
    )  # fmt: skip
    assert same == active


def names_key(path, text):
    """Whether the text names the key, or one below it."""
    value = WHOLE
    for step in path:
        value = value[step]
    return str(path[-1]) in text or isinstance(value, dict) and any(key in text for key in value)


def test_a_new_class_without_an_optional_key_is_served_after_a_reload(tmp_path):
    # Guards against the same on a node: the new class answered ERR, and the old effects go on.
    service = service_over(make_handler(), tmp_path, **with_classes(CHAT))
    row = without(CHAT, "aimStretch") | {"name": "hold"}
    (tmp_path / "c").write_text(json.dumps(with_classes(CHAT | {"effect": "at_most_once"}, row)))
    service.reload()
    assert service.handler.metrics.accepted_configs == 1 and "hold" in service.handler.names.listeners
