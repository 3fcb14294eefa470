"""Network addresses in the text form HOST:PORT."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    host: str
    port: int


class AddressError(ValueError):
    """Raised for text that is not a valid address; the message says what is wrong."""


def parse_address(text: object) -> Address:
    """Parses HOST:PORT, where HOST may be in square brackets; raises AddressError."""
    if not isinstance(text, str):
        raise AddressError(f"an address is text, got {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise AddressError(f"no address HOST:PORT: {text!r}")
    return Address(host.strip("[]"), int(port))
