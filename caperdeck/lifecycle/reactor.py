"""The reactor of every process of the program: its timers run on the monotonic clock.

The library sets all timers, connect time-outs and loops by `reactor.seconds`, which is the wall clock unless
a reactor says otherwise.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from caperdeck.state.errors import call_with_retries

INSTALLED = "twisted.internet.reactor"  # where the library keeps the one of the process


class WallClockReactorError(RuntimeError):
    """Another reactor was installed first, so timers would run on the wall clock."""


class MonotonicReactor(EPollReactor):
    """Waits on epoll; a step of the wall clock neither delays a timer nor runs it early."""

    # Waits, deadlines and graces are spans of real time: on a wall clock set back by an hour no dial is given
    # up and no host found silent for that hour, set forward all are at once.
    seconds = staticmethod(time.monotonic)


def install_reactor() -> Any:
    """The reactor of this process, installed now if there is none; raises WallClockReactorError."""
    installed = sys.modules.get(INSTALLED)
    if installed is None:
        installed = call_with_retries(MonotonicReactor)
        installReactor(installed)
    if not isinstance(installed, MonotonicReactor):
        raise WallClockReactorError(f"{type(installed).__name__} is installed already")
    return installed
