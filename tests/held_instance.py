"""An instance that stands still between a commit and its first word of it to a watcher, when ordered to.

    python tests/held_instance.py CONFIG ORDER

The program's own instance. Once the file ORDER exists, with a revision in it, the first message to a watcher
that would tell of that revision is not written: the process creates ORDER.held and stops itself (SIGSTOP).
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
