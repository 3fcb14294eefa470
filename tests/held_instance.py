"""An owner instance that suspends itself between a commit and the first message about it to a watcher.

    python tests/held_instance.py CONFIG ORDER

Runs the program's own instance. Once the file ORDER exists and contains a revision, the first message to a
watcher about that revision is not written: the process creates ORDER.held and stops itself (SIGSTOP).
"""

import os
import signal
import sys
from pathlib import Path

from caperdeck.distribution.watch_server import WatchServer
from caperdeck.owner import process


def hold_at(order):
    send = WatchServer._send

    def held_send(server, session, message):
        if order.exists() and getattr(message, "revision", 0) >= int(order.read_text()):
            Path(f"{order}.held").touch()
            os.kill(os.getpid(), signal.SIGSTOP)
        send(server, session, message)

    WatchServer._send = held_send


if __name__ == "__main__":
    hold_at(Path(sys.argv[2]))
    sys.exit(process.serve(sys.argv[1], "INFO"))
