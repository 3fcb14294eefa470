"""`caperdeck owner serve`: runs one instance until SIGTERM or until its disk fails."""

from __future__ import annotations

import signal
import sys
import time


def boottime_ms() -> float:
    """Returns milliseconds of a clock that never steps and counts while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def serve(path: str, level: str) -> int:
    """Runs an instance with the given configuration file and log level; returns the exit code."""
    from twisted.internet.error import CannotListenError

    from caperdeck.lifecycle.logs import start_logging
    from caperdeck.lifecycle.reactor import install_reactor
    from caperdeck.raft.storage import StorageError
    from caperdeck.state.descriptors import raise_descriptor_limit

    from .config import OwnerError, load_instance
    from .instance import Instance

    reactor, code = install_reactor(), [0]

    def end(number: int) -> None:
        code[0] = code[0] or number
        if reactor.running:
            instance.close()
            reactor.stop()

    def failed(text: str) -> None:
        logger.error("owner reason=disk {}", text)
        end(1)

    try:
        config = load_instance(path)
        raise_descriptor_limit()  # each watch of a node takes a descriptor
        sink = start_logging(level)
        from loguru import logger

        instance = Instance(reactor, config, boottime_ms, failed)
    except (OwnerError, StorageError) as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(end, 0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        instance.start()
    except (OSError, CannotListenError) as error:
        print(f"caperdeck: cannot listen: {error}", file=sys.stderr)
        instance.close()
        return 1
    reactor.run(installSignalHandlers=False)
    sink.flush()
    return code[0]
