"""A node under published versions: its own file with the version in force over it, at the start, at SIGHUP
and whenever a version comes; and the figures of that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from caperdeck.distribution.messages import Refusal, one_line
from caperdeck.distribution.node import Disk, DiskThread, NodeWatch, UnservableError
from caperdeck.distribution.subscriber import NOTHING, Held, State
from caperdeck.distribution.version_file import ForeignFileError, VersionFile, VersionFileError
from caperdeck.state.figures import escaped

from .config import Config, ConfigError
from .control import Control
from .merge import apply_version

NEVER = -1  # in place of an age


class Published:
    """`read_own` gives the node's own file as it is now, kept for merging; it raises ConfigError."""

    def __init__(
        self, reactor: Any, control: Control, read_own: Callable[[], Config], disk: Disk | None = None,
    ) -> None:  # fmt: skip
        self.reactor, self.control, self.read_own, self.disk = reactor, control, read_own, disk
        self.file = VersionFile(control.folder, control.cluster, control.place.name)
        self.held, self.refused = NOTHING, None  # at the start
        self.watch: NodeWatch | None = None
        self.service: Any = None

    # ---- before the node serves

    def first(self, own: Config) -> Config:
        """What the node starts with. Raises ConfigError where the folder is another node's."""
        try:
            held = self.file.read().held
        except ForeignFileError as error:
            raise ConfigError(f"control folder: {error}") from None
        except VersionFileError as error:
            logger.error("version reason=file {}", error)
            return own
        try:
            config = apply_version(own, held.document)
        except ConfigError as error:
            # Danger: a node that does not start serves nobody; its own file is one that it can serve.
            self.refused = Refusal(held.revision, one_line(str(error)))
            logger.error("version refused revision={} {}", held.revision, self.refused.reason)
            return own
        self.held = held
        return config

    # ---- the node's calls

    def start(self, service: Any) -> None:
        """The node takes clients: it watches from now on."""
        if self.watch is None:
            self.service = service
            control, disk = self.control, self.disk or DiskThread(self.reactor)
            self.watch = NodeWatch(
                self.reactor, service.clock, control.cluster, control.place, control.instances, self.file,
                disk, self, self.held, self.refused,
            )  # fmt: skip
        self.watch.start()

    def stop(self) -> None:
        if self.watch is not None:
            self.watch.stop()

    def busy(self, reload: Callable[[], None]) -> bool:
        """A version is on its way into force; the call is made after that."""
        return self.watch is not None and self.watch.after_writing(reload)

    def reread(self) -> Config:
        """The node's own file anew, with the version in force over it. Raises ConfigError."""
        held = self.held if self.watch is None else self.watch.in_force
        return apply_version(self.read_own(), held.document)

    # ---- of the watch

    def prepare(self, held: Held) -> Config:
        try:
            return apply_version(self.service.config, held.document)
        except ConfigError as error:
            self.service.desk.figures.invalid += 1
            raise UnservableError(str(error)) from None

    def put_in_force(self, held: Held, prepared: Config) -> None:
        self.service.take(prepared)

    # ---- figures

    def lines(self) -> list[str]:
        watch = self.watch
        if watch is None:
            return [f"app_config_revision {self.held.revision}", *_state_lines(State.STARTING)]
        age = watch.clock() - watch.confirmed_at()
        lines = [
            f"app_config_revision {watch.in_force.revision}", *_state_lines(watch.state()),
            f"app_config_confirmed_ms {NEVER if age == float('inf') else round(age)}",
        ]  # fmt: skip
        if watch.refused is not None:
            revision, reason = watch.refused
            lines.append(f'app_config_refused{{revision="{revision}",reason="{escaped(reason)}"}} 1')
        if watch.publisher is not None:
            lines.append(f'app_config_publisher{{name="{escaped(watch.publisher)}"}} 1')
        dropped = sorted(watch.dropped.items())
        return lines + [f'app_config_dropped_total{{reason="{name}"}} {count}' for name, count in dropped]


def _state_lines(state: State) -> list[str]:
    return [f'app_config_state{{state="{s.name.lower()}"}} {int(s is state)}' for s in State]
