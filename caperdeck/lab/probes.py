"""Whether a process of the program has come up, asked over a connection to it."""

from __future__ import annotations

import asyncio

ANSWER_WITHIN = 2.0  # seconds


async def accepts(host: str, port: int) -> bool:
    """Whether a connection can be made."""
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
        return (await asyncio.wait_for(reader.readline(), ANSWER_WITHIN)).startswith(b"PONG")
    except (TimeoutError, OSError):
        return False
    finally:
        writer.close()
