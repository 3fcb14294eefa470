"""Deadlines that are no number: a bad client names one that only Python reads as a number."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import Client, Run, main, open_line, request_id

USUAL = 20
# An underscore between digits; digits of the full-width and of the Arabic-Indic script, in UTF-8.
NO_NUMBERS = ("1_200", "1_2_0_0", "\uff11\uff12\uff10\uff10", "\u0661\u0662\u0660\u0660")


async def play(run: Run) -> list[str]:
    discovery = await run.discovery()
    await run.add_hosts(discovery, 3)
    node = run.node("n0", discovery)
    await node.start()
    broken = []
    for number in range(USUAL):
        client = Client(run.record, f"client-{number}")
        answer = await client.open(node.port, open_line(request_id(number), wait_ms=1200), 1.7)
        if answer is None or not answer.startswith(("UP ", "BUSY")):
            broken.append(f"usual client {number} got {answer!r}")
        client.close()
        await asyncio.sleep(0.05)
    for number, deadline in enumerate(NO_NUMBERS if run.trouble else ()):
        client = Client(run.record, f"bad-{number}")
        name = request_id(number, 0xBAD)
        answer = await client.open(node.port, open_line(name, wait_ms=deadline), 3.0)
        if answer is not None and answer.startswith("UP "):
            broken.append(f"the request with d={deadline!r} was served: {answer!r}")
        client.close()
        await asyncio.sleep(0.05)
    return broken


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
