"""The limit of open file descriptors of this process."""

from __future__ import annotations

import os
import resource


def raise_descriptor_limit() -> int:
    """Raises the soft limit to the hard limit, which child processes inherit, and returns it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = os.sysconf("SC_OPEN_MAX") if hard == resource.RLIM_INFINITY else hard
    if soft != limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    return limit
