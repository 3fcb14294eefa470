"""Reading of the operator's TOML files, and the checks that several of them share."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Collection
from typing import Any

from caperdeck.state.addresses import Address, AddressError, parse_address


class TomlError(Exception):
    """The file cannot be read, is not TOML, or has a key that cannot be used. The text gives the reason
    without the file's name.
    """


def read_toml(path: str) -> dict[str, Any]:
    """The tables of a file; raises TomlError."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise TomlError(error.strerror) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TomlError(f"not valid TOML: {error}") from None


def check_keys(table: dict[str, Any], allowed: Collection[str], where: str = "") -> None:
    """Raises TomlError for a key that is not allowed; `where` is the path of the table with a final dot."""
    if unknown_keys := sorted(table.keys() - set(allowed)):
        raise TomlError(f"{where}{unknown_keys[0]}: unknown key, known are {', '.join(sorted(allowed))}")


def parse_name(value: Any, key: str, max_length: int) -> str:
    """A text of 1 to `max_length` characters; raises TomlError."""
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise TomlError(f"{key}: {value!r:.50} is not a name")
    return value


def parse_loopback_address(value: Any, key: str) -> Address:
    """An address HOST:PORT on loopback; raises TomlError."""
    try:
        address = parse_address(value)
        if not ipaddress.ip_address(address.host).is_loopback:
            raise TomlError(f"{key}: {value} is off loopback, and traffic is not encrypted or signed yet")
    except (AddressError, ValueError) as error:
        raise TomlError(f"{key}: {error}") from None
    return address
