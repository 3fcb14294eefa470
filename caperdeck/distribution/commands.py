"""`caperdeck config publish` and `caperdeck config status`: the operator's commands for the instances.

Exit codes: 0 done; 1 unknown or not confirmed; 2 bad input or refused, and nothing is committed.
"""

from __future__ import annotations

import secrets
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from caperdeck.lifecycle.config import ConfigError
from caperdeck.lifecycle.merge import check_document
from caperdeck.owner.commands import call_instance
from caperdeck.owner.config import OwnerError, OwnerEndpoints, load_owners
from caperdeck.state.addresses import Address

from .document import MAX_DOCUMENT_BYTES, Document, DocumentError, digest, validate
from .messages import MAX_NAME_LENGTH, MessageError
from .status import Status, Summary, decode_status, summarise
from .table import VersionTable, publish_command

RETRY_TIMEOUT_S = 10.0  # how long a call is retried, at one instance after another
RETRY_PAUSE_S = 0.1  # between two rounds
# Of the file with its whitespace, which does not count towards a document's size.
MAX_FILE_BYTES = 2 * MAX_DOCUMENT_BYTES
MAX_NODES = 10_000

# Takes address, cluster and body; returns the answer, None if there was none.
AskInstance = Callable[[Address, str, Any], Any]


class InputError(Exception):
    """The input cannot be used. The text has the field and the reason."""


class UnknownError(Exception):
    """No instance that knows the answer replied."""


class NewestVersion(NamedTuple):
    """The newest committed version, as of after the call."""

    revision: int
    document: Document


def main(arguments: dict[str, Any]) -> int:
    try:
        owners = load_owners(arguments["--instances"])
        if arguments["status"]:
            names = read_node_names(arguments["--nodes"]) if arguments["--nodes"] else None
            return status(owners, names)
        return publish(owners, read_document(arguments["FILE"]), read_revision(arguments["--on"]))
    except (OwnerError, DocumentError, InputError) as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    except UnknownError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 1


# ---- publish


def publish(
    owners: OwnerEndpoints, document: Document, base: int | None, ask: AskInstance = call_instance
) -> int:
    """Publishes a document. `base` is the revision that it was derived from; None stands for the newest."""
    newest = read_newest(owners, ask)
    table = VersionTable()
    version = [newest.revision, 0, digest(newest.document), ""]
    table.load({"oldest": [version, newest.document], "later": []})
    command = publish_command(table, newest.revision if base is None else base, document, 0)
    body = {"do": "publish", **{field: command[field] for field in ("on", "digest", "changes")}}
    # The client id and the serial make a retry of an unanswered call take effect only once.
    body |= {"client": secrets.randbits(52) | 1, "serial": 1}
    for answer in iter_answers(owners, body, ask):
        if "refused" in answer:
            raise InputError(answer["refused"])
        if answer.get("ok") is True:
            print(f"revision {answer['revision']} committed, digest {answer['digest']}")
            return 0
    raise UnknownError("no answer: the version may be committed or not; `config status` tells the newest")


def read_newest(owners: OwnerEndpoints, ask: AskInstance) -> NewestVersion:
    for answer in iter_answers(owners, {"do": "versions", "document": True}, ask):
        revision, document = answer.get("revision"), answer.get("document")
        if isinstance(document, dict) and digest(document) == answer.get("digest"):
            return NewestVersion(revision, document)
    raise UnknownError("no instance answered that knows the newest version; nothing was proposed")


def iter_answers(owners: OwnerEndpoints, body: dict[str, Any], ask: AskInstance) -> Iterator[dict[str, Any]]:
    """Answers from one instance after another until RETRY_TIMEOUT_S has passed; at least one round."""
    deadline = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        for address in owners.instances:
            answer = ask(address, owners.cluster, body)
            if isinstance(answer, dict):
                yield answer
        if time.monotonic() >= deadline:
            return
        time.sleep(RETRY_PAUSE_S)


def read_document(path: str) -> Document:
    """Raises InputError or DocumentError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise InputError(f"{path}: over {MAX_FILE_BYTES} bytes")
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InputError(f"{path}: no JSON: {error}") from None
    validate(document)
    try:
        check_document(document)
    except ConfigError as error:
        raise InputError(f"document: {error}") from None
    return document


def read_revision(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise InputError(f"--on: {text!r:.50} is no revision")
    return int(text)


# ---- status


def status(owners: OwnerEndpoints, names: list[str] | None, ask: AskInstance = call_instance) -> int:
    """Prints the status. `names` are the expected nodes; if None, those that have reported to an instance."""
    known = read_statuses(owners, ask)
    heard = [status for status in known.values() if status is not None]
    if not heard:
        raise UnknownError("no instance answered")
    summary = read_summary(owners, heard, names, ask)
    for line in status_lines(known, summary, names):
        print(line)
    return 0 if summary.confirmed else 1


def read_statuses(owners: OwnerEndpoints, ask: AskInstance) -> dict[Address, Status | None]:
    """The status at each instance, None if it did not answer, with ages as of after the last answer."""
    started = time.monotonic()
    with ThreadPoolExecutor(len(owners.instances)) as pool:
        body = {"do": "distribution"}
        received = list(pool.map(lambda address: ask(address, owners.cluster, body), owners.instances))
    elapsed_ms = (time.monotonic() - started) * 1000.0
    return {
        address: _status(answer, elapsed_ms)
        for address, answer in zip(owners.instances, received, strict=True)
    }


def _status(answer: Any, elapsed_ms: float) -> Status | None:
    try:
        status = decode_status(answer)
    except MessageError:
        return None
    # Without this a report that was recent when the first instance answered would still count, although
    # it may be too old once the last instance has answered.
    return status._replace(rows=tuple(row._replace(age=row.age + elapsed_ms) for row in status.rows))


def read_summary(
    owners: OwnerEndpoints, heard: list[Status], names: list[str] | None, ask: AskInstance
) -> Summary:
    """Combines the statuses that were received with the newest version, which is read from the quorum after
    them.
    """
    # A confirmation at an instance may be two seconds old, and a leader killed right after a commit may
    # have been the only one to know of it.
    known = [status._replace(confirmed=False) for status in heard]
    newest = read_newest_status(owners, ask)
    if newest is not None:
        known.append(newest)
    expected = {row.node for status in heard for row in status.rows} if names is None else names
    return summarise(known, expected)


def read_newest_status(owners: OwnerEndpoints, ask: AskInstance) -> Status | None:
    """The newest committed version as of after the call, without rows; None if no quorum answers."""
    for address in owners.instances:
        answer = ask(address, owners.cluster, {"do": "versions"})
        if isinstance(answer, dict) and isinstance(answer.get("revision"), int):
            return Status("quorum", True, answer["revision"], answer["digest"], ())
    return None


def status_lines(
    known: dict[Address, Status | None], summary: Summary, names: list[str] | None,
) -> list[str]:  # fmt: skip
    certain = "confirmed" if summary.confirmed else "not confirmed: there may be a newer one"
    lines = [f"revision {summary.revision}, {certain}"]
    node_count = (
        summary.expected if names is not None else f"{summary.expected} that were heard (without --nodes)"
    )
    lines.append(f"in force at {len(summary.up_to_date)} of {node_count}")
    lines.append(f"oldest revision {'-' if summary.oldest is None else summary.oldest}")
    lines += [
        f"refused {node} revision={refusal.revision} {refusal.reason}" for node, refusal in summary.refused
    ]
    lists = {"not heard of": summary.not_heard, "stale": summary.stale, "unexpected": summary.unexpected}
    lines += [f"{title}: {' '.join(nodes)}" for title, nodes in lists.items() if nodes]
    for (host, port), status in known.items():
        if status is None:
            lines.append(f"instance {host}:{port} no answer")
        elif not status.confirmed:
            lines.append(f"instance {host}:{port} {status.publisher} unconfirmed, revision {status.revision}")
    return lines


def read_node_names(path: str) -> list[str]:
    """Node names, one a line. Raises InputError."""
    try:
        lines = Path(path).read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(f"{path}: {getattr(error, 'strerror', None) or 'no text'}") from None
    names = [line.strip() for line in lines if line.strip()]
    if not 0 < len(names) <= MAX_NODES:
        raise InputError(f"{path}: {len(names)} names, 1 to {MAX_NODES} are possible")
    for name in names:
        if len(name) > MAX_NAME_LENGTH or not name.isprintable():
            raise InputError(f"{path}: {name!r:.50} is no name")
    if len(set(names)) < len(names):
        duplicate = next(name for name in names if names.count(name) > 1)
        raise InputError(f"{path}: {duplicate!r:.50} twice")
    return names
