"""Operators' files in TOML."""

from __future__ import annotations

import tomllib
from typing import Any


class TomlError(Exception):
    """The file cannot be read, or is no TOML; the text says why, without the file's name."""


def read_toml(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise TomlError(error.strerror) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TomlError(f"no TOML: {error}") from None
