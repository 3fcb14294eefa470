"""Progress output of a run: a line for each phase, and on a terminal a status line that is rewritten."""

from __future__ import annotations

import sys
import time

from .measured import Reading, View

CLEAR_LINE = "\r\x1b[K"


class Progress:
    """Prints to standard output."""

    def __init__(self) -> None:
        self.started_at, self.on_terminal = time.monotonic(), sys.stdout.isatty()
        self.current_phase = ""

    def phase(self, text: str) -> None:
        """Begins a phase."""
        self.current_phase = text
        print(
            f"{CLEAR_LINE if self.on_terminal else ''}{time.monotonic() - self.started_at:6.1f} s  {text}",
            flush=True,
        )

    def show(self, view: View, reading: Reading | None) -> None:
        """Rewrites the status line."""
        if not self.on_terminal:
            return
        text = (
            f"{time.monotonic() - self.started_at:6.1f} s  {self.current_phase} | "
            f"{view.know_most:.0%} know 9 in 10"
        )
        text += f", {view.known:.0%} known, {view.told:.0%} told by an owner"
        if reading is not None:
            text += f" | {reading.processes} processes, {reading.pss_mb / 1024:.2f} GiB"
        print(CLEAR_LINE + text, end="", flush=True)

    def end(self) -> None:
        """Clears the status line."""
        if self.on_terminal:
            print(CLEAR_LINE, end="", flush=True)
