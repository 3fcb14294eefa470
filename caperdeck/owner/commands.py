"""Operator commands to the instances: status, hand-over, release, membership and leadership."""

from __future__ import annotations

import socket
import struct
import sys
import time
from typing import Any

from caperdeck.raft.codec import MAX_FRAME_BYTES, FrameError, decode_frame, encode_frame
from caperdeck.raft.transport import CALL
from caperdeck.state.addresses import Address

from .config import OwnerConfig, OwnerError, load_instance

TIMEOUT_S = 2.0  # for a connection, and for most answers
WATCH_TIMEOUT_S = 15.0  # for an answer that waits for a change
WATCH_PAUSE_S = 0.1
LENGTH_PREFIX = struct.Struct("!I")


def main(arguments: dict[str, Any]) -> int:
    """Runs a command; returns 0 if it was done, 1 if it was refused or its outcome is unknown, 2 for invalid
    input.
    """
    try:
        config = load_instance(arguments["--config"])
        if arguments["status"]:
            return status(config)
        if arguments["watch"]:
            return watch(config, arguments["WORK"])
        body = request_for(arguments)
    except OwnerError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    if body["do"] == "leave":
        number = holder_of(config, body["work"])
        numbers = [number] if number in config.instances else []
        if not numbers:
            print(f"caperdeck: nobody is known to hold {body['work']}", file=sys.stderr)
            return 1
    else:
        numbers = list(config.instances)
    for number in numbers:
        answer = call_instance(config.instances[number], config.cluster, body)
        if isinstance(answer, dict):
            print(" ".join(f"{key}={value}" for key, value in answer.items()))
            return 1 if "no" in answer else 0
    print("caperdeck: no instance answered that can tell; nothing is known to have changed", file=sys.stderr)
    return 1


def request_for(arguments: dict[str, Any]) -> dict[str, Any]:
    """Builds the call for a command; raises OwnerError if an argument is invalid."""
    if arguments["release"]:
        return {"do": "release", "work": arguments["WORK"]}
    if arguments["hand-over"]:
        return {"do": "leave", "work": arguments["WORK"], "to": f"o{_instance_number(arguments['TO'])}"}
    number = _instance_number(arguments["NUMBER"])
    if arguments["lead"]:
        return {"do": "transfer", "number": number}
    return {"do": "members", "number": number, "add": bool(arguments["add"])}


def _instance_number(text: str) -> int:
    digits = text.removeprefix("o")
    if not (digits.isascii() and digits.isdigit()):
        raise OwnerError(f"owner: {text!r:.50} is no number of an instance")
    return int(digits)


def status(config: OwnerConfig) -> int:
    """Prints the status of all instances; returns 1 if no leader answered."""
    leader_seen = False
    for number, address in config.instances.items():
        answer = call_instance(address, config.cluster, {"do": "status"})
        if not isinstance(answer, dict):
            print(f"o{number}  no answer")
            continue
        leader_seen |= answer["role"] == "leader"
        leader = "-" if answer["leader"] is None else f"o{answer['leader']}"
        print(f"o{number}  {answer['role']}  term={answer['term']} leader={leader} commit={answer['commit']} "
              f"log={answer['log']} voters={','.join(map(str, answer['voters']))}")  # fmt: skip
        for work, row in answer["holds"].items():
            print(f"    holds {work} token={row['token']}, {row['left']} ms left")
        for work, reasons in answer["refused"].items():
            print(f"    refused {work} " + " ".join(f"{r}={n}" for r, n in sorted(reasons.items())))
        if answer["role"] == "leader":
            for work, row in sorted(answer["works"].items()):
                print(f"    {work}: holder={row['holder'] or '-'} token={row['token']}")
    return 0 if leader_seen else 1


def watch(config: OwnerConfig, work: str) -> int:
    """Prints a line for each change of the work's holder as seen by any instance; returns 1 once none
    answers.
    """
    token, holder, silent = 0, "", 0
    while silent < len(config.instances):
        for address in config.instances.values():
            answer = call_instance(
                address, config.cluster, {"do": "watch", "work": work, "token": token}, WATCH_TIMEOUT_S
            )
            silent = 0 if isinstance(answer, dict) and "token" in answer else silent + 1
            if silent or (answer["token"], answer["holder"]) == (token, holder) or answer["token"] < token:
                continue
            token, holder = answer["token"], answer["holder"]
            print(f"{work} holder={holder or '-'} token={token}", flush=True)
        time.sleep(WATCH_PAUSE_S)
    return 1


def holder_of(config: OwnerConfig, work: str) -> int | None:
    """Returns the number of the instance that reports to hold the work, or None."""
    for address in config.instances.values():
        answer = call_instance(address, config.cluster, {"do": "status"})
        if isinstance(answer, dict) and work in answer["holds"]:
            return answer["me"]
    return None


def call_instance(address: Address, cluster: str, body: dict[str, Any], timeout: float = TIMEOUT_S) -> Any:
    """Sends one call and returns the answer, or None if none arrived."""
    data = encode_frame(cluster, CALL, [1, body])
    try:
        with socket.create_connection(address, TIMEOUT_S) as conn:
            conn.settimeout(timeout)
            conn.sendall(LENGTH_PREFIX.pack(len(data)) + data)
            length = LENGTH_PREFIX.unpack(_receive_exactly(conn, LENGTH_PREFIX.size))[0]
            if length > MAX_FRAME_BYTES:
                return None
            return decode_frame(_receive_exactly(conn, length), cluster)[1][1]
    except (OSError, FrameError, LookupError, TypeError):
        return None


def _receive_exactly(conn: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        chunk = conn.recv(min(size - len(data), 65536))
        if not chunk:
            raise OSError("connection closed before the answer was complete")
        data += chunk
    return bytes(data)
