"""The configuration of a node under published versions: its own file with the active version merged in, at
the start, on SIGHUP and whenever a version arrives; and the metrics of that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from caperdeck.distribution.messages import Refusal, one_line
from caperdeck.distribution.node import DiskExecutor, DiskThread, NodeWatch, UnservableError
from caperdeck.distribution.subscriber import NO_VERSION, HeldVersion, State
from caperdeck.distribution.version_file import ForeignFileError, VersionFile, VersionFileError
from caperdeck.state.figures import escaped

from .config import Config, ConfigError
from .control import Control
from .merge import apply_version

NEVER_CONFIRMED = -1  # is printed in place of an age in milliseconds


class PublishedConfig:
    """Merges versions into the node's file, and watches for new ones while the node takes clients.

    `read_file` reads the node's file with its values kept for merging; it raises ConfigError.
    """

    def __init__(
        self, reactor: Any, control: Control, read_file: Callable[[], Config],
        disk: DiskExecutor | None = None,
    ) -> None:  # fmt: skip
        self.reactor, self.control, self.read_file, self.disk = reactor, control, read_file, disk
        self.version_file = VersionFile(control.folder, control.cluster, control.place.name)
        self.initial_version, self.initial_refusal = NO_VERSION, None
        self.watch: NodeWatch | None = None
        self.service: Any = None

    # ---- before the node serves

    def initial_config(self, file_config: Config) -> Config:
        """The configuration that the node starts with; raises ConfigError if the folder is another node's."""
        try:
            held = self.version_file.read().held
        except ForeignFileError as error:
            raise ConfigError(f"control folder: {error}") from None
        except VersionFileError as error:
            logger.error("version reason=file {}", error)
            return file_config
        try:
            config = apply_version(file_config, held.document)
        except ConfigError as error:
            # A node that does not start serves nobody, and its own file is known to be usable.
            self.initial_refusal = Refusal(held.revision, one_line(str(error)))
            logger.error("version refused revision={} {}", held.revision, self.initial_refusal.reason)
            return file_config
        self.initial_version = held
        return config

    # ---- called by the node

    def start(self, service: Any) -> None:
        """The node takes clients: watches for versions from now on."""
        if self.watch is None:
            self.service = service
            control, disk = self.control, self.disk or DiskThread(self.reactor)
            self.watch = NodeWatch(
                self.reactor, service.clock, control.cluster, control.place, control.instances,
                self.version_file, disk, self, self.initial_version, self.initial_refusal,
            )  # fmt: skip
        self.watch.start()

    def stop(self) -> None:
        if self.watch is not None:
            self.watch.stop()

    def defer_reload(self, reload: Callable[[], None]) -> bool:
        """Whether a version is being applied; the reload is then called after that."""
        return self.watch is not None and self.watch.after_writing(reload)

    def reread(self) -> Config:
        """Reads the node's file again and merges the active version into it; raises ConfigError."""
        held = self.initial_version if self.watch is None else self.watch.active
        return apply_version(self.read_file(), held.document)

    # ---- called by the watch

    def prepare(self, held: HeldVersion) -> Config:
        """The configuration under the version; raises UnservableError."""
        try:
            return apply_version(self.service.config, held.document)
        except ConfigError as error:
            self.service.handler.metrics.rejected_configs += 1
            raise UnservableError(str(error)) from None

    def activate(self, held: HeldVersion, prepared: Config) -> None:
        """Makes the node use a configuration that `prepare` returned."""
        self.service.apply_config(prepared)

    # ---- metrics

    def lines(self) -> list[str]:
        """The metrics in the text format, one per line."""
        watch = self.watch
        if watch is None:
            return [f"app_config_revision {self.initial_version.revision}", *_state_lines(State.STARTING)]
        age = watch.clock() - watch.confirmed_at()
        lines = [
            f"app_config_revision {watch.active.revision}", *_state_lines(watch.state()),
            f"app_config_confirmed_ms {NEVER_CONFIRMED if age == float('inf') else round(age)}",
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
