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
  serve    Run one node until SIGTERM; on SIGHUP it reads its configuration again.
  check    Read the configuration and say whether a node could start with it.
  peers    Print what a node shares with its peers, as its admin address reports it (docs/peers.md).
  owner    Instances that agree on who owns work on behalf of the fleet (docs/owner.md): serve runs one,
           status prints the state of all, watch prints each change of a work's owner, hand-over gives work
           to another owner, release ends a lease whatever its owner does, add and remove change the members,
           lead transfers the leadership.
  config   Versions of the configuration that the instances agree on (docs/distribution.md): publish commits
           the file as the next version, status prints at which nodes the newest version is active. Exit code
           0 done, 1 not known or not confirmed, 2 bad input or refused.
  version  Print the version.
  lab      Run many copies of the program and inject faults (docs/lab.md): fleet runs a scenario, search looks
           for faults that break a rule, compare measures one policy against another, report plots a history,
           slopes measures the cost of each part at several sizes and fits straight lines, demo shows a small
           fleet, capacity computes from the fitted lines what the fleet needs at its target
           (docs/CAPACITY.md), scale runs stub nodes beside real ones, up to the whole target, in-force
           measures how long a version takes from its commit until all nodes use it, soak runs random mixtures
           of faults, one for each seed (docs/lab.md). Exit code 0 all rules held, 1 a rule was broken, 2 bad
           input, 3 the run is void.

Options:
  --config=FILE      The node's configuration, JSON; the file that EDGE_CONFIG names if not given.
  --sharing=FILE     What the node shares with its peers, TOML (deploy/sharing.toml); nothing if not given.
  --owners=FILE      The instances whose owners may act on this node, TOML (deploy/owners.toml).
  --instances=FILE   The instances to ask, TOML (deploy/owners.toml). For lab in-force, the number of
                     instances, 7 if not given.
  --on=REVISION      Publish only if this is the newest version; on any version if not given.
  --control=FILE     The instances that publish the configuration, TOML (deploy/control.toml); the node uses
                     only its own file if not given (docs/distribution-node.md).
  --subsets          The node prefers the hosts of its own subset (docs/turns.md).
  --log-level=LEVEL  DEBUG, INFO, WARNING or ERROR [default: INFO].
  --seed=N           The seed of all random numbers of a run; that of the scenario if not given.
  --virtual          Run in virtual time in this process instead of in real processes.
  --json=FILE        Write the history (one event per line), the comparison or the computed result to FILE.
  --logs=DIR         Keep the nodes' logs in DIR.
  --runs=N           The largest number of schedules, 100 if not given. For lab soak, of seeds, 50 then.
  --out=FILE         The scenario file, page or record to write.
  --only=PARTS       Measure only these parts, separated by commas; FILE keeps its results of the others.
  --small            Measure at tiny sizes, to check that it works; the results are meaningless.
  --merge            Merge into the record FILE, whatever its revision and machine; new lines state theirs.
  --against=WAY      module, two-by-count, least-loaded, settings:FILE, sharing:USES, subsets, checkout:DIR.
  --base=WAY         The baseline of the comparison, module if not given.
  --pairs=N          The number of seeds that both policies run with, 10 if not given.
  --slopes=FILE      The record of fitted lines.
  --target=FILE      The required capacity of the fleet, TOML (docs/capacity/target.toml).
  --page=FILE        Rewrite the tables of this page, between its markers.
  --nodes=N          The number of stub nodes; that of the scenario if not given, as for the next two. For
                     config status, a file with the names of all nodes, one per line.
  --processes=N      The number of processes that run the stub nodes. For lab soak, of runs at once, 2 if not
                     given.
  --seconds=N        The length of the steady phase in which the cost is measured.
  --changes=N        The number of versions to publish, 5 if not given, before a burst of 10.
  --faults=LIST      leader, kill, stop, separated by commas (docs/lab.md); none if not given.
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

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def serve(
    config: Config, level: str, path: str | None, uses: Any = None, owners: Any = None,
    subsets: bool = False, control: Any = None,
) -> int:  # fmt: skip
    """Runs a node until it is stopped; returns the exit code."""
    from twisted.internet.error import CannotListenError

    from caperdeck.lifecycle.logs import start_logging
    from caperdeck.lifecycle.reactor import install_reactor
    from caperdeck.lifecycle.service import Service
    from caperdeck.ops.bans import BansError

    reactor = install_reactor()
    sink, reread, published = start_logging(level), lambda: reload_config(os.environ, path), None
    if control is not None:
        from caperdeck.lifecycle.published import PublishedConfig

        published = PublishedConfig(
            reactor, control, lambda: reload_config(os.environ, path, keep_file_values=True)
        )
        try:
            config, reread = published.initial_config(config), published.reread
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
    # The interpreter restores the default signal handlers as it exits; a SIGTERM at that point would make a
    # node that has stopped normally look killed.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return service.exit_code


def main(argv: list[str] | None = None) -> int:
    """Runs the command of the arguments; returns the exit code."""
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(f"caperdeck {__version__}")
        return 0
    if arguments["lab"]:
        try:
            from caperdeck.lab.cli import main as run_lab
        except ModuleNotFoundError as error:
            print(f"caperdeck: {error.name} is missing: pip install -r requirements-lab.txt", file=sys.stderr)
            return 2
        return run_lab(arguments)
    if arguments["peers"]:
        from caperdeck.ops.show_peers import show_peers

        return show_peers(arguments["ADDRESS"])
    if arguments["config"]:
        from caperdeck.distribution.commands import main as run_config_command

        return run_config_command(arguments)
    if arguments["owner"] and not arguments["serve"]:
        from caperdeck.owner.commands import main as run_owner_command

        return run_owner_command(arguments)
    level = arguments["--log-level"].upper()
    if level not in LOG_LEVELS:
        print(f"caperdeck: --log-level is one of {', '.join(LOG_LEVELS)}", file=sys.stderr)
        return 2
    if arguments["owner"]:
        from caperdeck.owner.process import serve as serve_owner

        return serve_owner(arguments["--config"], level)
    if arguments["serve"]:
        # A SIGHUP while the node starts would end it. The file is read after this, so no reload is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ, arguments["--config"], keep_file_values=bool(arguments["--control"]))
        uses = owners = control = None
        if arguments["--sharing"]:
            from caperdeck.lifecycle.sharing import load_uses

            uses = load_uses(arguments["--sharing"])
        if arguments["--owners"]:
            from caperdeck.lifecycle.owners import load_owners_for_node

            owners = load_owners_for_node(arguments["--owners"], config)
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
    """The entry point of the `caperdeck` command."""
    sys.exit(main())


if __name__ == "__main__":
    script()
