"""The limit of descriptors of this process."""

from __future__ import annotations

import os
import resource


def raise_descriptor_limit() -> int:
    """Raises the soft limit of descriptors to the hard one, which stays as it is; gives the limit.

    Processes started later inherit it.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = os.sysconf("SC_OPEN_MAX") if hard == resource.RLIM_INFINITY else hard
    if soft != limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    return limit
