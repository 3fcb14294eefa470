"""Three instances that agree and publish versions, one of which is watched; and the versions' documents."""

from __future__ import annotations

import contextlib
import io
from pathlib import Path
from typing import Any

import tomli_w

from caperdeck.distribution import commands
from caperdeck.distribution.document import Document, canonical
from caperdeck.lab.propagation.plan import CLUSTER
from caperdeck.owner.commands import call_instance
from caperdeck.owner.config import OwnerEndpoints
from caperdeck.state.addresses import Address

from .errors import MeasurementError
from .instances import Instances
from .process import unique_set_size
from .watching_nodes import REGION, ZONE, ProcessorMeter, wait_for

INSTANCES = 3
CUSTOMER_BYTES = 40  # of one in a document, with the comma
EMPTY_BYTES = 29  # of a document without customers


def document(size: int, change: int) -> Document:
    """Of so many bytes, less than a customer's; each change renames one customer of a list."""
    count = max((size - EMPTY_BYTES) // CUSTOMER_BYTES, 1)
    names = [f"customer-{i:08}-{0:010}" for i in range(count)]
    i = change % count
    names[i] = f"customer-{i:08}-{change + 1:010}"
    return {"settings": {"projects": [{"name": name} for name in names]}}


class PublishingInstances:
    """`watched` follows: it serves watches and bears nothing of the leader's work."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir()
        self.folder, self.instances = folder, Instances(INSTANCES, folder, cluster=CLUSTER)
        self.owners = OwnerEndpoints(CLUSTER, tuple(self.instances.addresses))
        self.changes = 0

    def __enter__(self) -> PublishingInstances:
        try:
            self.instances.start()
            self.leader = self.instances.leader()
            self.watched = min({*range(INSTANCES)} - {self.leader})
            for number in range(INSTANCES):
                self.instances.wait_for_answer(number)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *unused: object) -> None:
        self.instances.__exit__()

    def publish(self, size: int) -> int:
        """The revision of a new version of so many bytes; as the operators' command does it."""
        self.changes += 1
        revisions: list[int] = []

        def noted(address: Address, cluster: str, body: Any) -> Any:
            answer = call_instance(address, cluster, body)
            if body["do"] == "publish" and isinstance(answer, dict) and answer.get("ok") is True:
                revisions.append(answer["revision"])
            return answer

        try:
            with contextlib.redirect_stdout(io.StringIO()):
                commands.publish(self.owners, document(size, self.changes), None, noted)
        except (commands.InputError, commands.UnknownError) as error:
            raise MeasurementError(f"publish: {error}") from None
        return revisions[-1]

    def check_alive(self) -> None:
        """Raises MeasurementError."""
        for process in self.instances.processes:
            process.check()

    def check(self) -> None:
        """Raises MeasurementError where one has ended, or the roles have changed and so what was measured."""
        self.check_alive()
        if self.instances.leader() != self.leader:
            raise MeasurementError("another instance leads now")

    @property
    def address(self) -> Address:
        return self.instances.addresses[self.watched]

    def pid(self, number: int) -> int:
        return self.instances.processes[number].popen.pid

    def meter(self, number: int) -> ProcessorMeter:
        return ProcessorMeter(self.pid(number))

    def memory(self, number: int) -> int:
        return unique_set_size(self.pid(number))

    def said(self) -> list[dict[str, Any]]:
        """The last words of the nodes that the watched instance has heard lately."""
        answer = call_instance(self.address, CLUSTER, {"do": "distribution"})
        return answer["rows"] if isinstance(answer, dict) else []

    def wait_until_reported(self, node: str, revision: int) -> None:
        """Until a node has said that this revision is in force there; raises MeasurementError."""

        def in_force() -> bool:
            return any(row["node"] == node and row["revision"] >= revision for row in self.said())

        wait_for(in_force, self.check_alive, f"{node} does not say that revision {revision} is in force")

    def control_file(self, name: str) -> Path:
        """What a node of that name is given by `--control`: the watched instance alone."""
        kept, path = self.folder / f"kept-{name}", self.folder / f"control-{name}.toml"
        kept.mkdir()
        address = f"{self.address.host}:{self.address.port}"
        instance = {"address": address, "zone": ZONE, "region": REGION}
        file = {
            "cluster": CLUSTER, "zone": ZONE, "region": REGION, "folder": str(kept),
            "instances": {"o": instance},
        }  # fmt: skip
        path.write_text(tomli_w.dumps(file), encoding="utf-8")
        return path


def document_bytes(size: int) -> int:
    """Of the canonical text of a document that was asked for by that size."""
    return len(canonical(document(size, 0)))
