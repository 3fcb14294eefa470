"""One self-contained HTML page of a scale run: the table, and plots of membership and resources over time."""

from __future__ import annotations

import html
from typing import Any

from matplotlib import pyplot as plt

from caperdeck.lab import plots

from .measured import Measured
from .result import Result
from .table import result_lines

FAULT_COLOR = "#c62828"


def page(result: Result) -> str:
    """The page as HTML, with the plots embedded as SVG."""
    text = "\n".join(html.escape(line) for line in result_lines(result))
    return "".join((
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        f"<title>caperdeck: scale run {html.escape(result.scenario.name)}</title>",
        "<body style='font-family:sans-serif;max-width:78rem;margin:auto'>",
        f"<h1>Scale run {html.escape(result.scenario.name)}</h1>",
        f"<pre>{text}</pre>{draw_plots(result.measured)}</body></html>\n",
    ))  # fmt: skip


def draw_plots(measured: Measured) -> str:
    """Three plots over one time axis as SVG, with a vertical line at each fault."""
    figure, axes = plt.subplots(3, 1, figsize=(11, 9), sharex=True)
    _draw_views(axes[0], measured)
    _draw_memory(axes[1], measured)
    _draw_cores(axes[2], measured)
    for ax in axes:
        for fault in measured.faults:
            ax.axvline(fault.at, color=FAULT_COLOR, linewidth=0.8)
    for fault in measured.faults:
        axes[0].text(fault.at, 1.0, f" {fault.what} {fault.of}", fontsize=7, color=FAULT_COLOR, va="top")
    axes[-1].set_xlabel("seconds since the start")
    figure.tight_layout()
    return plots.svg(figure)


def _draw_views(ax: Any, measured: Measured) -> None:
    times = [view.at for view in measured.views]
    ax.plot(times, [view.know_most for view in measured.views], label="nodes that know 9 in 10 members")
    ax.plot(times, [view.known for view in measured.views], label="members that a node knows, mean")
    ax.plot(times, [view.told for view in measured.views], label="nodes that an owner has told their share")
    ax.set_ylim(-0.02, 1.05)
    ax.set_title("what hollow nodes know, shares", fontsize=9, loc="left")
    ax.legend(fontsize=7)


def _role_names(measured: Measured) -> list[str]:
    return sorted({role for reading in measured.readings for role in reading.roles})


def _draw_memory(ax: Any, measured: Measured) -> None:
    times, roles = [reading.at for reading in measured.readings], _role_names(measured)
    rows = [
        [reading.roles[role].pss_mb if role in reading.roles else 0.0 for reading in measured.readings]
        for role in roles
    ]
    if rows:
        ax.stackplot(times, rows, labels=roles)
        ax.legend(fontsize=7, loc="upper left")
    ax.set_title("memory by role, MB of PSS", fontsize=9, loc="left")


def _draw_cores(ax: Any, measured: Measured) -> None:
    for role in _role_names(measured):
        pairs = [
            (before, after)
            for before, after in zip(measured.readings, measured.readings[1:], strict=False)
            if role in before.roles and role in after.roles
        ]
        # The later reading lacks the processor time of killed processes, so the difference can be negative.
        cores = [
            max(after.roles[role].cpu_s - before.roles[role].cpu_s, 0.0) / max(after.at - before.at, 1e-9)
            for before, after in pairs
        ]
        ax.plot([after.at for _, after in pairs], cores, linewidth=0.9, label=role)
    if ax.lines:
        ax.legend(fontsize=7, loc="upper left")
    ax.set_title("cores used by role", fontsize=9, loc="left")
