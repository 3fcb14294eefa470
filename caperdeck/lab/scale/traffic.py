"""Counts the payload bytes, without headers, that a process reads from and writes to its sockets."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet import tcp, udp


class Traffic(msgspec.Struct):
    """Counters since the start of the process."""

    datagrams_in: int = 0
    datagrams_out: int = 0
    datagram_bytes_in: int = 0
    datagram_bytes_out: int = 0
    stream_bytes_in: int = 0
    stream_bytes_out: int = 0
    connections_in: int = 0  # accepted


def count_traffic() -> Traffic:
    """Starts counters for all sockets of the process that Twisted reads and writes.

    Twisted has no hook for received datagrams; `count_received_datagrams` counts them for one protocol.
    """
    traffic = Traffic()
    _count_datagrams(traffic)
    _count_streams(traffic)
    return traffic


def _count_datagrams(traffic: Traffic) -> None:
    write = udp.Port.write

    def counting_write(port: Any, data: bytes, address: Any = None) -> Any:
        traffic.datagrams_out += 1
        traffic.datagram_bytes_out += len(data)
        return write(port, data, address)

    udp.Port.write = counting_write


def _count_streams(traffic: Traffic) -> None:
    receive, write = tcp.Connection._dataReceived, tcp.Connection.writeSomeData

    def count_received(connection: Any, data: bytes) -> Any:
        traffic.stream_bytes_in += len(data)
        return receive(connection, data)

    def count_written(connection: Any, data: bytes) -> Any:
        size = write(connection, data)
        if isinstance(size, int) and size > 0:
            traffic.stream_bytes_out += size
        return size

    tcp.Connection._dataReceived, tcp.Connection.writeSomeData = count_received, count_written


def count_received_datagrams(traffic: Traffic, protocol: Any) -> None:
    """Counts the datagrams of one protocol; Twisted reads them in a loop without a hook."""
    receive = protocol.datagramReceived

    def counting_receive(data: bytes, address: Any) -> None:
        traffic.datagrams_in += 1
        traffic.datagram_bytes_in += len(data)
        receive(data, address)

    protocol.datagramReceived = counting_receive
