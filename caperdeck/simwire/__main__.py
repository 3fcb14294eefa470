"""Reads batches from standard input, one a line, and answers each with one line until the input ends."""

from __future__ import annotations

import gc
import sys

import orjson

from .codec import WireError
from .host import Host


def complain(text: str) -> None:
    print(f"caperdeck: {text}", file=sys.stderr, flush=True)


def main() -> int:
    gc.freeze()
    host = Host()
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            reply = host.batch(orjson.loads(line), complain)
        except (orjson.JSONDecodeError, WireError) as error:
            complain(f"input line: {error}")
            return 1
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
