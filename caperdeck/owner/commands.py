"""What an operator asks of the instances, with their file: status, hand-over, release, who agrees."""

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

WAIT = 2.0  # seconds
LONG = 15.0  # for an answer that waits for a change
PAUSE = 0.1
LENGTH = struct.Struct("!I")


def main(arguments: dict[str, Any]) -> int:
    """0 done, 1 refused or not known to be done, 2 bad input."""
    try:
        config = load_instance(arguments["--config"])
        if arguments["status"]:
            return status(config)
        if arguments["watch"]:
            return watch(config, arguments["WORK"])
        body = call_of(arguments)
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
        answer = ask(config.instances[number], config.cluster, body)
        if isinstance(answer, dict):
            print(" ".join(f"{key}={value}" for key, value in answer.items()))
            return 1 if "no" in answer else 0
    print("caperdeck: no instance answered that can tell; nothing is known to have changed", file=sys.stderr)
    return 1


def call_of(arguments: dict[str, Any]) -> dict[str, Any]:
    """Raises OwnerError."""
    if arguments["release"]:
        return {"do": "release", "work": arguments["WORK"]}
    if arguments["hand-over"]:
        return {"do": "leave", "work": arguments["WORK"], "to": f"o{_number(arguments['TO'])}"}
    number = _number(arguments["NUMBER"])
    if arguments["lead"]:
        return {"do": "transfer", "number": number}
    return {"do": "members", "number": number, "add": bool(arguments["add"])}


def _number(text: str) -> int:
    digits = text.removeprefix("o")
    if not (digits.isascii() and digits.isdigit()):
        raise OwnerError(f"owner: {text!r:.50} is no number of an instance")
    return int(digits)


def status(config: OwnerConfig) -> int:
    """All instances; 1 if no leader answered."""
    led = False
    for number, address in config.instances.items():
        s = ask(address, config.cluster, {"do": "status"})
        if not isinstance(s, dict):
            print(f"o{number}  no answer")
            continue
        led |= s["role"] == "leader"
        leader = "-" if s["leader"] is None else f"o{s['leader']}"
        print(f"o{number}  {s['role']}  term={s['term']} leader={leader} commit={s['commit']} log={s['log']} "
              f"voters={','.join(map(str, s['voters']))}")  # fmt: skip
        for work, row in s["holds"].items():
            print(f"    holds {work} token={row['token']}, {row['left']} ms left")
        for work, reasons in s["refused"].items():
            print(f"    refused {work} " + " ".join(f"{r}={n}" for r, n in sorted(reasons.items())))
        if s["role"] == "leader":
            for work, row in sorted(s["works"].items()):
                print(f"    {work}: holder={row['holder'] or '-'} token={row['token']}")
    return 0 if led else 1


def watch(config: OwnerConfig, work: str) -> int:
    """A line for each change, as one instance or the next knows it; 1 once none answers."""
    token, holder, silent = 0, "", 0
    while silent < len(config.instances):
        for address in config.instances.values():
            said = ask(address, config.cluster, {"do": "watch", "work": work, "token": token}, LONG)
            silent = 0 if isinstance(said, dict) and "token" in said else silent + 1
            if silent or (said["token"], said["holder"]) == (token, holder) or said["token"] < token:
                continue
            token, holder = said["token"], said["holder"]
            print(f"{work} holder={holder or '-'} token={token}", flush=True)
        time.sleep(PAUSE)
    return 1


def holder_of(config: OwnerConfig, work: str) -> int | None:
    for address in config.instances.values():
        s = ask(address, config.cluster, {"do": "status"})
        if isinstance(s, dict) and work in s["holds"]:
            return s["me"]
    return None


def ask(address: Address, cluster: str, body: dict[str, Any], wait: float = WAIT) -> Any:
    """The answer; None if none came."""
    data = encode_frame(cluster, CALL, [1, body])
    try:
        with socket.create_connection(address, WAIT) as conn:
            conn.settimeout(wait)
            conn.sendall(LENGTH.pack(len(data)) + data)
            length = LENGTH.unpack(_exactly(conn, LENGTH.size))[0]
            if length > MAX_FRAME_BYTES:
                return None
            return decode_frame(_exactly(conn, length), cluster)[1][1]
    except (OSError, FrameError, LookupError, TypeError):
        return None


def _exactly(conn: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = conn.recv(min(size - len(data), 65536))
        if not part:
            raise OSError("ended")
        data += part
    return bytes(data)
