"""Addresses as text, HOST:PORT."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    host: str
    port: int


class AddressError(ValueError):
    """Text that is no address; the message says what was wrong."""


def parse_address(text: object) -> Address:
    if not isinstance(text, str):
        raise AddressError(f"an address is text, got {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise AddressError(f"no address HOST:PORT: {text!r}")
    return Address(host.strip("[]"), int(port))
