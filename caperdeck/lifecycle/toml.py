"""Operators' files in TOML, and the checks that several of them share."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Collection
from typing import Any

from caperdeck.state.addresses import Address, AddressError, parse_address


class TomlError(Exception):
    """The file cannot be read, is no TOML, or a key of it cannot be used; the text says why, without the
    file's name.
    """


def read_toml(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise TomlError(error.strerror) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TomlError(f"no TOML: {error}") from None


def check_keys(table: dict[str, Any], known: Collection[str], where: str = "") -> None:
    """Raises TomlError for a key that is not known; `where` is the path of the table, with its dot."""
    if unknown := sorted(table.keys() - set(known)):
        raise TomlError(f"{where}{unknown[0]}: unknown key, known are {', '.join(sorted(known))}")


def name_of(value: Any, key: str, longest: int) -> str:
    """A text of 1 to `longest` characters, or TomlError."""
    if not isinstance(value, str) or not 0 < len(value) <= longest:
        raise TomlError(f"{key}: {value!r:.50} is no name")
    return value


def loopback_address(value: Any, key: str) -> Address:
    """An address HOST:PORT on loopback, or TomlError."""
    try:
        address = parse_address(value)
        if not ipaddress.ip_address(address.host).is_loopback:
            raise TomlError(f"{key}: {value} is off loopback, and nothing is sealed or signed yet")
    except (AddressError, ValueError) as error:
        raise TomlError(f"{key}: {error}") from None
    return address
