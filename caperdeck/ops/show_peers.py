"""`caperdeck peers show`: a node's figures of what it shares, asked of its second address."""

from __future__ import annotations

import socket
import sys

from caperdeck.state.addresses import AddressError, parse_address

WAIT = 5.0  # seconds
MOST = 1 << 20  # bytes of an answer
PREFIX = "app_peers_"


def show_peers(where: str) -> int:
    """Prints them; 0, 1 if the node does not answer or shares nothing, 2 for an address that is none."""
    try:
        address = parse_address(where)
    except AddressError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    try:
        answer = ask(address.host, address.port, b"telemetry\n")
    except OSError as error:
        print(f"caperdeck: {where}: {error}", file=sys.stderr)
        return 1
    rows = [line.removeprefix(PREFIX) for line in answer.splitlines() if line.startswith(PREFIX)]
    if not rows:
        print(f"caperdeck: {where}: the node shares nothing with its peers", file=sys.stderr)
        return 1
    for row in rows:
        name, _, value = row.rpartition(" ")
        print(f"{name:<40} {value}")
    return 0


def ask(host: str, port: int, call: bytes) -> str:
    with socket.create_connection((host, port), WAIT) as conn:
        conn.sendall(call)
        answer = bytearray()
        while len(answer) < MOST and (data := conn.recv(65536)):
            answer += data
    return answer.decode("utf-8", "replace")
