"""Loads modules one small step after the other, with a short wait after each.

Loading costs a node half a second of processor time. Hundreds that start together on few cores each take
minutes for that, and one that is seen to wait for nothing all that time is taken for stuck. With the bytecode
at hand no step costs more than 50 ms of a core (time.process_time, Python 3.11, beside other work).
"""

from __future__ import annotations

import importlib
import time
from collections.abc import Sequence

WAIT = 0.001  # seconds

COMMAND = (  # what the command line needs, each after what it builds on
    "typing", "inspect", "docopt", "uuid", "orjson", "caperdeck.core.model", "caperdeck.lifecycle.config",
)  # fmt: skip
NODE = (  # and a node
    "zope.interface", "logging", "ssl", "asyncio", "attr", "automat", "urllib.request",
    "twisted.python.reflect", "twisted.python.failure", "twisted.python.log", "twisted.internet.interfaces",
    "twisted.internet.defer", "twisted.internet.address", "twisted.internet.error",
    "twisted.internet.abstract", "twisted.internet.tcp", "twisted.internet.epollreactor",
    "caperdeck.lifecycle.reactor", "hyperlink", "twisted.internet.endpoints", "twisted.web.http",
    "twisted.web.client", "loguru", "caperdeck.core.facade", "caperdeck.carry.carrier",
    "caperdeck.ops.upgrade", "caperdeck.lifecycle.service",
)  # fmt: skip


def load_in_steps(names: Sequence[str]) -> None:
    """Loads the modules in order and waits after each."""
    for name in names:
        importlib.import_module(name)
        time.sleep(WAIT)
