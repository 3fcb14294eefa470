"""Three instances that publish versions, one of which is watched, and the documents of the versions."""

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
CUSTOMER_BYTES = 40  # of one customer in a document, with the comma
EMPTY_DOCUMENT_BYTES = 29  # of a document without customers


def make_document(size: int, change: int) -> Document:
    """A document of about `size` bytes, to within one customer; each `change` renames one customer."""
    count = max((size - EMPTY_DOCUMENT_BYTES) // CUSTOMER_BYTES, 1)
    names = [f"customer-{i:08}-{0:010}" for i in range(count)]
    renamed = change % count
    names[renamed] = f"customer-{renamed:08}-{change + 1:010}"
    return {"settings": {"projects": [{"name": name} for name in names]}}


class PublishingInstances:
    """A cluster whose instance `watched` is a follower: it serves watches but does no work of the leader."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir()
        self.folder, self.instances = folder, Instances(INSTANCES, folder, cluster=CLUSTER)
        self.owners = OwnerEndpoints(CLUSTER, tuple(self.instances.addresses))
        self.changes = 0

    def __enter__(self) -> PublishingInstances:
        try:
            self.instances.start()
            self.leader = self.instances.wait_for_leader()
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
        """Publishes a new version of about `size` bytes by `config publish`; returns its revision."""
        self.changes += 1
        revisions: list[int] = []

        def call_and_record(address: Address, cluster: str, body: Any) -> Any:
            answer = call_instance(address, cluster, body)
            if body["do"] == "publish" and isinstance(answer, dict) and answer.get("ok") is True:
                revisions.append(answer["revision"])
            return answer

        try:
            with contextlib.redirect_stdout(io.StringIO()):
                commands.publish(self.owners, make_document(size, self.changes), None, call_and_record)
        except (commands.InputError, commands.UnknownError) as error:
            raise MeasurementError(f"publish: {error}") from None
        return revisions[-1]

    def check_alive(self) -> None:
        """Raises MeasurementError if an instance has ended."""
        for process in self.instances.processes:
            process.check()

    def check(self) -> None:
        """Raises MeasurementError if an instance has ended or the leader has changed."""
        self.check_alive()
        if self.instances.wait_for_leader() != self.leader:
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

    def node_reports(self) -> list[dict[str, Any]]:
        """The latest reports of nodes to the watched instance."""
        answer = call_instance(self.address, CLUSTER, {"do": "distribution"})
        return answer["rows"] if isinstance(answer, dict) else []

    def wait_until_reported(self, node: str, revision: int) -> None:
        """Waits until a node has reported the revision as active; raises MeasurementError."""

        def is_reported() -> bool:
            return any(
                report["node"] == node and report["revision"] >= revision for report in self.node_reports()
            )

        wait_for(is_reported, self.check_alive, f"{node} did not report that revision {revision} is active")

    def control_file(self, name: str) -> Path:
        """Writes the file for `caperdeck serve --control` of a node, with the watched instance alone."""
        node_folder, path = self.folder / f"kept-{name}", self.folder / f"control-{name}.toml"
        node_folder.mkdir()
        address = f"{self.address.host}:{self.address.port}"
        instance = {"address": address, "zone": ZONE, "region": REGION}
        settings = {
            "cluster": CLUSTER, "zone": ZONE, "region": REGION, "folder": str(node_folder),
            "instances": {"o": instance},
        }  # fmt: skip
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        return path


def document_bytes(size: int) -> int:
    """Bytes of the canonical text of `make_document(size, ...)`."""
    return len(canonical(make_document(size, 0)))
