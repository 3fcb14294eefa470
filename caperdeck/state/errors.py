"""Which errors of system calls pass by themselves."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

# The machine lacks something for a moment: the call may be made again, and says nothing about the other side.
# accept(2), socket(2), connect(2) and recv(2) document these.
MOMENTARY = frozenset({
    errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETDOWN,
    errno.ENETUNREACH,
})  # fmt: skip
TRY_AGAIN_AFTER = 0.005  # seconds until a call that failed so is made again


CALLS = 200  # that a start makes at the most, a second's worth


def is_momentary(error: BaseException) -> bool:
    """Whether the machine lacked something for a moment; also of an error of the library's around another."""
    inner = (getattr(error, name, None) for name in ("osError", "socketError"))
    return any(getattr(e, "errno", e) in MOMENTARY for e in (error, *inner))


def call_again(call: Callable[[], T], passes: Callable[[BaseException], bool] = is_momentary) -> T:
    """Calls until it works or fails for good, waiting meanwhile: for a start, when nobody is served yet.

    `passes` tells the errors that may pass by themselves from the others.
    """
    for _ in range(CALLS):
        try:
            return call()
        except Exception as error:
            if not passes(error):
                raise
        time.sleep(TRY_AGAIN_AFTER)
    return call()
