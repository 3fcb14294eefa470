"""The Twisted reactor of every process of the program: its timers run on the monotonic clock.

Twisted schedules all timers, connect time-outs and loops by `reactor.seconds`, which is the wall clock unless
a reactor overrides it.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from caperdeck.state.errors import call_with_retries

REACTOR_MODULE = "twisted.internet.reactor"  # where Twisted keeps the reactor of the process


class WallClockReactorError(RuntimeError):
    """Another reactor is installed already, so timers would run on the wall clock."""


class MonotonicReactor(EPollReactor):
    """An epoll reactor on which a step of the wall clock neither delays a timer nor fires it early."""

    # On a wall clock set back by an hour, no dial would time out and no silent host would be found for that
    # hour; on one set forward, all dials would time out and all hosts would seem silent at once.
    seconds = staticmethod(time.monotonic)


def install_reactor() -> Any:
    """Returns the reactor of this process, and installs it if there is none; raises WallClockReactorError."""
    installed = sys.modules.get(REACTOR_MODULE)
    if installed is None:
        installed = call_with_retries(MonotonicReactor)
        installReactor(installed)
    if not isinstance(installed, MonotonicReactor):
        raise WallClockReactorError(f"{type(installed).__name__} is installed already")
    return installed
