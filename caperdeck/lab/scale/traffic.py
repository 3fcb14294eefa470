"""Counts what a process reads from and writes to its sockets: payload bytes, without headers."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet import tcp, udp


class Traffic(msgspec.Struct):
    """Since the start of the process."""

    datagrams_in: int = 0
    datagrams_out: int = 0
    datagram_bytes_in: int = 0
    datagram_bytes_out: int = 0
    stream_bytes_in: int = 0
    stream_bytes_out: int = 0
    connections_in: int = 0  # accepted


def count_traffic() -> Traffic:
    """Counts from now on, over all sockets of the process that Twisted reads and writes."""
    traffic = Traffic()
    _count_datagrams(traffic)
    _count_streams(traffic)
    return traffic


def _count_datagrams(traffic: Traffic) -> None:
    write = udp.Port.write

    def counted(port: Any, data: bytes, address: Any = None) -> Any:
        traffic.datagrams_out += 1
        traffic.datagram_bytes_out += len(data)
        return write(port, data, address)

    udp.Port.write = counted


def _count_streams(traffic: Traffic) -> None:
    received, written = tcp.Connection._dataReceived, tcp.Connection.writeSomeData

    def count_received(connection: Any, data: bytes) -> Any:
        traffic.stream_bytes_in += len(data)
        return received(connection, data)

    def count_written(connection: Any, data: bytes) -> Any:
        size = written(connection, data)
        if isinstance(size, int) and size > 0:
            traffic.stream_bytes_out += size
        return size

    tcp.Connection._dataReceived, tcp.Connection.writeSomeData = count_received, count_written


def count_received_datagrams(traffic: Traffic, protocol: Any) -> None:
    """Of one protocol; the library reads them in a loop that has no hook."""
    take = protocol.datagramReceived

    def counted(data: bytes, address: Any) -> None:
        traffic.datagrams_in += 1
        traffic.datagram_bytes_in += len(data)
        take(data, address)

    protocol.datagramReceived = counted
