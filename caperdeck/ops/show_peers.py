"""`caperdeck peers show`: prints what a node shares with its peers, as its admin address reports it."""

from __future__ import annotations

import socket
import sys

from caperdeck.state.addresses import AddressError, parse_address

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1 << 20
METRIC_PREFIX = "app_peers_"


def show_peers(address_text: str) -> int:
    """Prints the metrics; returns 0, 1 if the node does not answer or shares nothing, 2 for a bad address."""
    try:
        address = parse_address(address_text)
    except AddressError as error:
        print(f"caperdeck: {error}", file=sys.stderr)
        return 2
    try:
        answer = call_admin(address.host, address.port, b"telemetry\n")
    except OSError as error:
        print(f"caperdeck: {address_text}: {error}", file=sys.stderr)
        return 1
    rows = [
        line.removeprefix(METRIC_PREFIX) for line in answer.splitlines() if line.startswith(METRIC_PREFIX)
    ]
    if not rows:
        print(f"caperdeck: {address_text}: the node shares nothing with its peers", file=sys.stderr)
        return 1
    for row in rows:
        name, _, value = row.rpartition(" ")
        print(f"{name:<40} {value}")
    return 0


def call_admin(host: str, port: int, call: bytes) -> str:
    """Sends one call to an admin address and returns the answer; raises OSError."""
    with socket.create_connection((host, port), TIMEOUT_S) as conn:
        conn.sendall(call)
        answer = bytearray()
        while len(answer) < MAX_ANSWER_BYTES and (data := conn.recv(65536)):
            answer += data
    return answer.decode("utf-8", "replace")
