"""One self-contained page of a scale run: the table, and what was known and used over time."""

from __future__ import annotations

import html
from typing import Any

from matplotlib import pyplot as plt

from caperdeck.lab import plots

from .measured import Measured
from .result import Result
from .table import lines

FAULT = "#c62828"


def page(result: Result) -> str:
    """HTML with the plots in it as SVG."""
    text = "\n".join(html.escape(line) for line in lines(result))
    return "".join((
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        f"<title>caperdeck: scale run {html.escape(result.scenario.name)}</title>",
        "<body style='font-family:sans-serif;max-width:78rem;margin:auto'>",
        f"<h1>Scale run {html.escape(result.scenario.name)}</h1>",
        f"<pre>{text}</pre>{drawn(result.measured)}</body></html>\n",
    ))  # fmt: skip


def drawn(measured: Measured) -> str:
    figure, axes = plt.subplots(3, 1, figsize=(11, 9), sharex=True)
    _draw_views(axes[0], measured)
    _draw_memory(axes[1], measured)
    _draw_cores(axes[2], measured)
    for ax in axes:
        for fault in measured.faults:
            ax.axvline(fault.at, color=FAULT, linewidth=0.8)
    for fault in measured.faults:
        axes[0].text(fault.at, 1.0, f" {fault.what} {fault.of}", fontsize=7, color=FAULT, va="top")
    axes[-1].set_xlabel("seconds since the start")
    figure.tight_layout()
    return plots.svg(figure)


def _draw_views(ax: Any, m: Measured) -> None:
    at = [view.at for view in m.views]
    ax.plot(at, [v.know_most for v in m.views], label="nodes that know 9 in 10 members")
    ax.plot(at, [v.known for v in m.views], label="members that a node knows, mean")
    ax.plot(at, [v.told for v in m.views], label="nodes that an owner has told their share")
    ax.set_ylim(-0.02, 1.05)
    ax.set_title("what hollow nodes know, shares", fontsize=9, loc="left")
    ax.legend(fontsize=7)


def _roles(m: Measured) -> list[str]:
    return sorted({role for reading in m.readings for role in reading.roles})


def _draw_memory(ax: Any, m: Measured) -> None:
    at, roles = [r.at for r in m.readings], _roles(m)
    rows = [[r.roles[role].pss_mb if role in r.roles else 0.0 for r in m.readings] for role in roles]
    if rows:
        ax.stackplot(at, rows, labels=roles)
        ax.legend(fontsize=7, loc="upper left")
    ax.set_title("memory by role, MB of PSS", fontsize=9, loc="left")


def _draw_cores(ax: Any, m: Measured) -> None:
    for role in _roles(m):
        pairs = [(a, b) for a, b in zip(m.readings, m.readings[1:], strict=False)
                 if role in a.roles and role in b.roles]  # fmt: skip
        # a process that was killed takes its processor time with it
        cores = [
            max(b.roles[role].cpu_s - a.roles[role].cpu_s, 0.0) / max(b.at - a.at, 1e-9) for a, b in pairs
        ]
        ax.plot([b.at for _, b in pairs], cores, linewidth=0.9, label=role)
    if ax.lines:
        ax.legend(fontsize=7, loc="upper left")
    ax.set_title("cores used by role", fontsize=9, loc="left")
