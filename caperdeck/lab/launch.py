"""Starts a node of the rig: it dies with the rig, and its clock may be ahead, behind, or drift.

The program has no hook for this; the standard library's clocks are put in place before it is loaded.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys
import time

PR_SET_PDEATHSIG = 1


def skew(offset: float, drift: float) -> None:
    """A wall clock that is off by so many milliseconds, and clocks that gain so many a second."""
    wall, steady, rate = time.time, time.monotonic, 1 + drift / 1000.0
    wall_from, steady_from = wall(), steady()
    time.time = lambda: wall_from + (wall() - wall_from) * rate + offset / 1000.0
    time.monotonic = lambda: steady_from + (steady() - steady_from) * rate


def main() -> int:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:
        return 1
    offset, drift = float(os.environ["LAB_OFFSET"]), float(os.environ["LAB_DRIFT"])
    if offset or drift:
        skew(offset, drift)
    from caperdeck.__main__ import main as serve

    return serve(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
