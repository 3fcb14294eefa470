"""caperdeck: a balancer for long-lived connections.

Usage:
  caperdeck serve [--config=FILE] [--log-level=LEVEL] [--sharing=FILE] [--owners=FILE]
                  [--control=FILE] [--subsets]
  caperdeck check [--config=FILE] [--sharing=FILE] [--owners=FILE] [--control=FILE]
  caperdeck peers show ADDRESS
  caperdeck owner serve --config=FILE [--log-level=LEVEL]
  caperdeck owner status --config=FILE
  caperdeck owner watch WORK --config=FILE
  caperdeck owner hand-over WORK TO --config=FILE
  caperdeck owner release WORK --config=FILE
  caperdeck owner (add | remove | lead) NUMBER --config=FILE
  caperdeck config publish FILE --instances=FILE [--on=REVISION]
  caperdeck config status --instances=FILE [--nodes=N]
  caperdeck version
  caperdeck lab fleet SCENARIO [--seed=N] [--virtual] [--json=FILE] [--logs=DIR]
  caperdeck lab search SCENARIO [--runs=N] [--seed=N] [--out=FILE]
  caperdeck lab compare SCENARIO... --against=WAY [--base=WAY] [--pairs=N] [--seed=N] [--json=FILE]
  caperdeck lab scale SCENARIO [--nodes=N] [--processes=N] [--seconds=N] [--json=FILE] [--out=FILE]
                      [--logs=DIR]
  caperdeck lab in-force [--nodes=N] [--instances=N] [--processes=N] [--changes=N] [--faults=LIST]
                         [--seconds=N] [--json=FILE]
  caperdeck lab report FILE [--scenario=FILE] [--out=FILE]
  caperdeck lab slopes [--out=FILE] [--only=PARTS] [--small] [--merge]
  caperdeck lab capacity --slopes=FILE --target=FILE [--json=FILE] [--page=FILE]
  caperdeck lab soak [--runs=N] [--seed=N] [--processes=N] [--logs=DIR]
  caperdeck lab demo
  caperdeck (-h | --help)

Commands:
  serve    Run one node until SIGTERM; SIGHUP makes it read its configuration again.
  check    Read the configuration and say whether a node could start on it.
  peers    Print what a node shares with its peers, by the figures of its second address (docs/peers.md).
  owner    Instances that agree on who owns work on behalf of the fleet (docs/owner.md): serve runs one,
           status prints all, watch each change of a work's owner, hand-over gives work to another, release
           ends a lease whatever its owner does, add and remove change who agrees, lead hands the lead to one.
  config   Versions of the configuration that the instances agree on (docs/distribution.md): publish commits
           the file as the next one, status says at which nodes the newest is in force. Exit code 0 done, 1
           not known or not confirmed, 2 bad input or refused.
  version  Print the version.
  lab      Run many copies of the program with faults between them (docs/lab.md): fleet plays a scenario,
           search looks for faults that break a rule, compare measures one way against another, report draws
           a history, slopes measures what each part costs at several sizes and fits straight lines, demo
           shows a small fleet, capacity works out from measured lines what the fleet needs at its target
           (docs/CAPACITY.md), scale plays hollow nodes beside real ones, up to the whole target, in-force
           measures how long a version takes from its commit until all nodes have it, soak plays seeded
           mixtures of faults (docs/lab.md). Exit code 0 all held, 1 broken, 2 bad input, 3 void.

Options:
  --config=FILE      The node's configuration, JSON; EDGE_CONFIG names it otherwise.
  --sharing=FILE     What the node shares with its peers, TOML (deploy/sharing.toml); nothing if not given.
  --owners=FILE      The instances whose owners may act on this node, TOML (deploy/owners.toml).
  --instances=FILE   The instances to ask, TOML (deploy/owners.toml). Of lab in-force, how many there are, 7
                     if not given.
  --on=REVISION      Refuse to publish on any other version than this; on the newest if not given.
  --control=FILE     The instances that publish the configuration, TOML (deploy/control.toml); the node's
                     file alone if not given (docs/distribution-node.md).
  --subsets          The node draws the hosts of a subset of its own first (docs/turns.md).
  --log-level=LEVEL  DEBUG, INFO, WARNING or ERROR [default: INFO].
  --seed=N           Of all draws of a run; the scenario's own otherwise.
  --virtual          In virtual time, in this process, instead of real processes.
  --json=FILE        Keep the history, one event a line, the comparison, or what was worked out.
  --logs=DIR         Keep the nodes' logs.
  --runs=N           So many schedules at the most, 100 if not given. Of lab soak, seeds, 50 if not given.
  --out=FILE         The scenario file, page or record to write.
  --only=PARTS       Measure these parts alone, with commas between; what FILE has of others is kept.
  --small            At tiny sizes, to see that it works; the figures say nothing.
  --merge            Into the record FILE, of whatever revision and machine; new lines carry their own.
  --against=WAY      module, two-by-count, least-loaded, settings:FILE, sharing:USES, subsets, checkout:DIR.
  --base=WAY         What that is measured against, module if not given.
  --pairs=N          Seeds that both ways play, 10 if not given.
  --slopes=FILE      The record of measured lines.
  --target=FILE      What is asked of the fleet, TOML (docs/capacity/target.toml).
  --page=FILE        Rewrite the tables of this page, between its marks.
  --nodes=N          Hollow nodes; the scenario's own otherwise, as with the next two. Of config status, a
                     file with the names of all nodes, one a line.
  --processes=N      Processes that the hollow nodes share. Of lab soak, runs at once, 2 if not given.
  --seconds=N        Of the steady span, in which the cost is measured.
  --changes=N        So many versions are published, 5 if not given, and a burst of 10 after them.
  --faults=LIST      With commas between: leader, kill, stop (docs/lab.md); none if not given.
  --scenario=FILE    Check the rules on the history as well.
  -h --help          Show this text.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import Any

from docopt import docopt

from caperdeck import __version__
from caperdeck.lifecycle.config import Config, ConfigError, load_config, reload_config

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def serve(
    config: Config, level: str, path: str | None, uses: Any = None, owners: Any = None,
    subsets: bool = False, control: Any = None,
) -> int:  # fmt: skip
    from twisted.internet.error import CannotListenError

    from caperdeck.lifecycle.logs import start_logging
    from caperdeck.lifecycle.reactor import install_reactor
    from caperdeck.lifecycle.service import Service
    from caperdeck.ops.bans import BansError

    reactor = install_reactor()
    sink, reread, published = start_logging(level), lambda: reload_config(os.environ, path), None
    if control is not None:
        from caperdeck.lifecycle.published import Published

        published = Published(
            reactor, control, lambda: reload_config(os.environ, path, keep_file_values=True)
        )
        try:
            config, reread = published.first(config), published.reread
        except ConfigError as error:
            print(f"caperdeck: {error}", file=sys.stderr)
            return 2
    service = Service(
        reactor, config, sink, reread, uses=uses, owners=owners, subsets=subsets, published=published,
    )  # fmt: skip
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
    # Danger: the interpreter puts the signals' defaults back as it ends, and a SIGTERM that comes then would
    # make a node that has served to its end look killed.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return service.exit_code


def main(argv: list[str] | None = None) -> int:
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(f"caperdeck {__version__}")
        return 0
    if arguments["lab"]:
        try:
            from caperdeck.lab.cli import main as lab
        except ModuleNotFoundError as error:
            print(f"caperdeck: {error.name} is missing: pip install -r requirements-lab.txt", file=sys.stderr)
            return 2
        return lab(arguments)
    if arguments["peers"]:
        from caperdeck.ops.show_peers import show_peers

        return show_peers(arguments["ADDRESS"])
    if arguments["config"]:
        from caperdeck.distribution.commands import main as configuration

        return configuration(arguments)
    if arguments["owner"] and not arguments["serve"]:
        from caperdeck.owner.commands import main as command

        return command(arguments)
    level = arguments["--log-level"].upper()
    if level not in LEVELS:
        print(f"caperdeck: --log-level is one of {', '.join(LEVELS)}", file=sys.stderr)
        return 2
    if arguments["owner"]:
        from caperdeck.owner.process import serve as serve_owner

        return serve_owner(arguments["--config"], level)
    if arguments["serve"]:
        # Danger: a SIGHUP that comes while the node starts would end it; the file is read after this.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ, arguments["--config"], keep_file_values=bool(arguments["--control"]))
        uses = owners = control = None
        if arguments["--sharing"]:
            from caperdeck.lifecycle.sharing import load_uses

            uses = load_uses(arguments["--sharing"])
        if arguments["--owners"]:
            from caperdeck.lifecycle.owners import load

            owners = load(arguments["--owners"], config)
        if arguments["--control"]:
            from caperdeck.lifecycle.control import load_control

            control = load_control(arguments["--control"], config.name)
    except ConfigError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    if arguments["check"]:
        print(
            f"node {config.name}: {len(config.names.listeners)} classes, "
            f"{len(config.known_hosts)} known hosts"
        )
        return 0
    return serve(config, level, arguments["--config"], uses, owners, arguments["--subsets"], control)


def script() -> None:
    sys.exit(main())


if __name__ == "__main__":
    script()
