"""Transient errors of system calls, and retries."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

# The machine lacks a resource for a moment: the call may be retried, and its failure says nothing about the
# other side. accept(2), socket(2), connect(2) and recv(2) document these errors.
TRANSIENT_ERRNOS = frozenset({
    errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETDOWN,
    errno.ENETUNREACH,
})  # fmt: skip
RETRY_DELAY_S = 0.005
MAX_RETRIES = 200  # during a start; one second at RETRY_DELAY_S


def is_transient(error: BaseException) -> bool:
    """Whether an OSError, or a Twisted error that wraps one, is due to a momentary lack of resources."""
    wrapped = (getattr(error, name, None) for name in ("osError", "socketError"))
    return any(getattr(e, "errno", e) in TRANSIENT_ERRNOS for e in (error, *wrapped))


def call_with_retries(
    call: Callable[[], T], is_retryable: Callable[[BaseException], bool] = is_transient
) -> T:
    """Retries a call that fails with a retryable error, up to MAX_RETRIES times.

    It blocks between the calls, so it is only for the start of a process, before any client is served.
    """
    for _ in range(MAX_RETRIES):
        try:
            return call()
        except Exception as error:
            if not is_retryable(error):
                raise
        time.sleep(RETRY_DELAY_S)
    return call()
