"""Checks over a connection whether a process under test is up."""

from __future__ import annotations

import asyncio

ANSWER_TIMEOUT_S = 2.0


async def accepts(host: str, port: int) -> bool:
    """Whether the address accepts a connection."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


async def answers_ping(host: str, port: int) -> bool:
    """Whether a node answers PING with PONG."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return (await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)).startswith(b"PONG")
    except (TimeoutError, OSError):
        return False
    finally:
        writer.close()
