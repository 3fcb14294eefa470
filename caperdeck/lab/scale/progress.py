"""What a run says while it goes on: a line a phase, and on a terminal a line that changes."""

from __future__ import annotations

import sys
import time

from .measured import Reading, View

CLEAR = "\r\x1b[K"


class Progress:
    def __init__(self) -> None:
        self.began, self.live = time.monotonic(), sys.stdout.isatty()
        self.now = ""

    def phase(self, text: str) -> None:
        self.now = text
        print(f"{CLEAR if self.live else ''}{time.monotonic() - self.began:6.1f} s  {text}", flush=True)

    def show(self, view: View, reading: Reading | None) -> None:
        if not self.live:
            return
        text = f"{time.monotonic() - self.began:6.1f} s  {self.now} | {view.know_most:.0%} know 9 in 10"
        text += f", {view.known:.0%} known, {view.told:.0%} told by an owner"
        if reading is not None:
            text += f" | {reading.processes} processes, {reading.pss_mb / 1024:.2f} GiB"
        print(CLEAR + text, end="", flush=True)

    def end(self) -> None:
        if self.live:
            print(CLEAR, end="", flush=True)
