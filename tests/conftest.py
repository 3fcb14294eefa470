"""Marks known failures as expected, and checks that test files close their descriptors.

KNOWN-RED.txt lists at most three known failures, one per line: test | cause | issue. Each is expected to
fail. The run fails if one passes, if there is a fourth line, or if a line names a test that does not exist.
"""

import gc
import os
from pathlib import Path

import pytest

from caperdeck.lifecycle.reactor import install_reactor

install_reactor()  # before a test imports a Twisted module that would install another one

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
MAX_LEAKED_DESCRIPTORS = 24  # per test file: shared fake peers run until the process ends


def known_red(text):
    """Parses the list into reasons by test; raises UsageError for an invalid one."""
    rows = [[field.strip() for field in line.split("|")] for line in text.splitlines() if line.strip()]
    if len(rows) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"{LIST.name} has {len(rows)} lines, {MAX_KNOWN_FAILURES} at the most")
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
    for name, reason in read_list().items():
        terminalreporter.write_line(f"KNOWN RED {name}: {reason}")


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.fixture(scope="module", autouse=True)
def descriptors_are_closed():
    """Descriptors left open by one file count against the limit of nodes in the files after it."""
    before = open_descriptors()
    yield
    gc.collect()
    leaked = open_descriptors() - before
    assert leaked <= MAX_LEAKED_DESCRIPTORS, f"{leaked} descriptors were left open"
