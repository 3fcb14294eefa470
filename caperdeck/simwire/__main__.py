"""Reads batches from standard input, one per line, and answers each with one line until the input ends."""

from __future__ import annotations

import gc
import sys

import orjson

from .codec import WireError
from .host import SimulatedNodes


def report_error(text: str) -> None:
    print(f"caperdeck: {text}", file=sys.stderr, flush=True)


def main() -> int:
    gc.freeze()
    nodes = SimulatedNodes()
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            reply = nodes.handle_batch(orjson.loads(line), report_error)
        except (orjson.JSONDecodeError, WireError) as error:
            report_error(f"input line: {error}")
            return 1
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
