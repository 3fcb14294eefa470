"""Tests that fail for a known fault: KNOWN-RED.txt names at most three, one a line: test | cause | issue.

Each is expected to fail, and its passing fails the run; so do a fourth line and a name that no test has.
Besides, no test file may leave descriptors open.
"""

import gc
import os
from pathlib import Path

import pytest

from caperdeck.lifecycle.reactor import install_reactor

install_reactor()  # before a test loads a part of the library that would install another one

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3
MOST_LEFT_OPEN = 24  # by a test file: the shared stand-ins that run until the process ends


def known_red(text):
    """By test what is said of it; raises UsageError for a list that cannot be."""
    rows = [[part.strip() for part in line.split("|")] for line in text.splitlines() if line.strip()]
    if len(rows) > MOST:
        raise pytest.UsageError(f"{LIST.name} has {len(rows)} lines, {MOST} at the most")
    for row in rows:
        if len(row) != 3 or not all(row):
            raise pytest.UsageError(f"{LIST.name}: a line is `test | cause | issue`, not {' | '.join(row)!r}")
    if len(known := {name: f"{cause} ({issue})" for name, cause, issue in rows}) < len(rows):
        raise pytest.UsageError(f"{LIST.name} names a test twice")
    return known


def read_list():
    return known_red(LIST.read_text()) if LIST.exists() else {}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    known, found = read_list(), set()
    for item in items:
        name = item.nodeid.partition("[")[0]
        if name in known:
            found.add(name)
            item.add_marker(pytest.mark.xfail(reason=known[name], strict=True))
    files = {item.nodeid.partition("::")[0] for item in items}
    for name in known.keys() - found:
        file = name.partition("::")[0]
        if not (LIST.parent / file).exists() or (file in files and not any("::" in x for x in config.args)):
            raise pytest.UsageError(f"{LIST.name} names {name}, which no test has")


def pytest_terminal_summary(terminalreporter):
    for name, said in read_list().items():
        terminalreporter.write_line(f"KNOWN RED {name}: {said}")


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.fixture(scope="module", autouse=True)
def descriptors_are_closed():
    """A node counts its process's descriptors against its limit: what one file leaves, others lack."""
    before = open_descriptors()
    yield
    gc.collect()
    left = open_descriptors() - before
    assert left <= MOST_LEFT_OPEN, f"{left} descriptors were left open"
