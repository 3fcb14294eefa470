"""caperdeck: a balancer for long-lived connections.

Usage:
  caperdeck serve [--config=FILE] [--log-level=LEVEL]
  caperdeck check [--config=FILE]
  caperdeck version
  caperdeck (-h | --help)

Commands:
  serve    Run one node until SIGTERM; SIGHUP makes it read its configuration again.
  check    Read the configuration and say whether a node could start on it.
  version  Print the version.

Options:
  --config=FILE      The node's configuration, JSON; EDGE_CONFIG names it otherwise.
  --log-level=LEVEL  DEBUG, INFO, WARNING or ERROR [default: INFO].
  -h --help          Show this text.
"""

from __future__ import annotations

import gc
import os
import signal
import sys

from docopt import docopt

from caperdeck import __version__
from caperdeck.lifecycle.config import Config, ConfigError, load_config, reload_config

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def serve(config: Config, level: str, path: str | None) -> int:
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from caperdeck.lifecycle.logs import start_logging
    from caperdeck.lifecycle.service import Service
    from caperdeck.ops.bans import BansError

    service = Service(reactor, config, start_logging(level), lambda: reload_config(os.environ, path))
    try:
        service.start()
    except BansError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    except (OSError, CannotListenError) as error:
        print(f"caperdeck: cannot listen: {error}", file=sys.stderr)
        return 1
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return service.exit_code


def main(argv: list[str] | None = None) -> int:
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(f"caperdeck {__version__}")
        return 0
    level = arguments["--log-level"].upper()
    if level not in LEVELS:
        print(f"caperdeck: --log-level is one of {', '.join(LEVELS)}", file=sys.stderr)
        return 2
    if arguments["serve"]:
        # Danger: a SIGHUP that comes while the node starts would end it; the file is read after this.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ, arguments["--config"])
    except ConfigError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    if arguments["check"]:
        print(f"node {config.name}: {len(config.names.listeners)} classes, {len(config.known)} known hosts")
        return 0
    return serve(config, level, arguments["--config"])


def script() -> None:
    sys.exit(main())


if __name__ == "__main__":
    script()
