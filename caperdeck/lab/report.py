"""One self-contained page of a history: what each node, host and link did over time, faults marked."""

from __future__ import annotations

import html
from collections import defaultdict
from typing import Any

from matplotlib import pyplot as plt

from . import plots
from .figures import figures
from .figures import lines as figure_lines
from .history import Event

STEP = 250.0  # milliseconds of one point
STATES = {"up": "#2e7d32", "asleep": "#f9a825", "killed": "#c62828", "exit": "#6a1b9a", "stopping": "#8d6e63"}
ANSWERS = {"up": "#2e7d32", "busy": "#f9a825", "err": "#ef6c00", "none": "#c62828", "closed": "#6a1b9a"}
MOST_LANES = 60


def _faults(events: list[Event], end: float) -> list[tuple[float, float, str]]:
    """When each fault was on, and what it was."""
    begun: dict[int, Event] = {}
    spans = []
    for e in events:
        if e["ev"] == "fault" and e["on"]:
            begun[e["number"]] = e
        elif e["ev"] == "fault" and e["number"] in begun:
            spans.append((begun[e["number"]], e["t"]))
            del begun[e["number"]]
    spans += [(e, end) for e in begun.values()]
    out = []
    for e, until in spans:
        of, far = (", ".join(names[:4]) + (" ..." if len(names) > 4 else "") for names in (e["of"], e["far"]))
        out.append((e["t"], until, f"{e['do']} {of}" + (f" to {far}" if far else "")))
    return out


def _lanes(axes: Any, names: list[str], title: str) -> None:
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_ylim(-0.6, len(names) - 0.4)
    axes.set_title(title, fontsize=9, loc="left")


def _node_lanes(axes: Any, events: list[Event], nodes: list[str], end: float) -> None:
    since: dict[str, tuple[float, str]] = {}
    spans = []
    for e in events:
        if e["ev"] == "life" and e["who"] in nodes:
            if e["who"] in since:
                spans.append((e["who"], *since[e["who"]], e["t"]))
            since[e["who"]] = (max(e["t"], 0.0), "up" if e["state"] == "awake" else e["state"])
    spans += [(n, at, state, end) for n, (at, state) in since.items()]
    for node, at, state, until in spans:
        colour = STATES.get(state, "#999")
        axes.barh(nodes.index(node), (until - at) / 1000, left=at / 1000, color=colour, height=0.6)
    seen = [e for e in events if e["ev"] == "dial" and e["who"] in nodes]
    dials = [(e["t"] / 1000, nodes.index(e["who"])) for e in seen]
    axes.plot([t for t, _ in dials], [n for _, n in dials], "|", color="white", markersize=4, alpha=0.5)
    _lanes(axes, nodes, "nodes: up green, asleep yellow, killed red; each dial a mark")


def _host_lines(axes: Any, events: list[Event], hosts: list[str], end: float) -> None:
    loads: dict[str, dict[str, float]] = {h: {} for h in hosts}
    sent: dict[str, float] = {}
    series: dict[str, list[float]] = defaultdict(list)
    times, at = [], 0.0
    for e in [*events, {"t": end, "ev": ""}]:
        while e["t"] >= at + STEP:
            at += STEP
            times.append(at / 1000)
            for h in hosts:
                series[h].append(sum(loads[h].values()) / 1000)
        if e["ev"] == "sent":
            sent[e["id"]] = e["load"]
        elif e["ev"] == "ran" and e["to"] in loads:
            loads[e["to"]][e["id"]] = sent.get(e["id"], 0.0)
        elif e["ev"] == "gone" and e["to"] in loads:
            loads[e["to"]].pop(e["id"], None)
    for h in hosts:
        axes.plot(times, series[h], linewidth=0.9, label=h)
    for e in events:
        if e["ev"] == "host" and e["to"] in hosts:
            axes.annotate(f"{e['to']} {e['state']}", (e["t"] / 1000, 0), fontsize=6, rotation=60)
    axes.set_title("hosts: load held, cores' worth of work", fontsize=9, loc="left")
    if len(hosts) <= 12:
        axes.legend(fontsize=6, ncols=6, loc="upper left")


def _answers(axes: Any, events: list[Event], end: float) -> None:
    steps = int(end / STEP) + 1
    rows = {kind: [0] * steps for kind in ANSWERS}
    for e in events:
        if e["ev"] == "answer" and e["what"] in rows and e["t"] >= 0:
            rows[e["what"]][min(int(e["t"] / STEP), steps - 1)] += 1
    times = [i * STEP / 1000 for i in range(steps)]
    axes.stackplot(times, list(rows.values()), colors=list(ANSWERS.values()), labels=list(rows))
    axes.legend(fontsize=6, ncols=5, loc="upper left")
    axes.set_title(f"answers in {STEP:.0f} ms", fontsize=9, loc="left")


def _links(axes: Any, spans: list[tuple[float, float, str]]) -> None:
    for i, (at, until, text) in enumerate(spans):
        axes.barh(i, max(until - at, 30) / 1000, left=at / 1000, color="#c62828", alpha=0.6, height=0.6)
        axes.text(at / 1000, i, text, fontsize=6, va="center")
    _lanes(axes, [str(i) for i in range(len(spans))], "faults, of processes, hosts and links")


def page(events: list[Event], breaches: list[str]) -> str:
    """HTML with the plots in it as SVG."""
    end = max((e["t"] for e in events), default=1.0)
    nodes = sorted({e["who"] for e in events if e.get("who")}, key=lambda n: (len(n), n))[:MOST_LANES]
    hosts = sorted({e["to"] for e in events if e["ev"] in ("sent", "host")}, key=lambda n: (len(n), n))
    spans = _faults(events, end)
    heights = [1 + 0.22 * len(nodes), 3, 2, 1 + 0.22 * len(spans)]
    figure, rows = plt.subplots(4, 1, figsize=(11, sum(heights)), sharex=True, height_ratios=heights)
    _node_lanes(rows[0], events, nodes, end)
    _host_lines(rows[1], events, hosts, end)
    _answers(rows[2], events, end)
    _links(rows[3], spans)
    for axes in rows:
        for at, until, _ in spans:
            axes.axvspan(at / 1000, max(until, at + 30) / 1000, color="#c62828", alpha=0.05)
    rows[-1].set_xlabel("seconds")
    figure.tight_layout()
    lines = [*figure_lines(figures(events)), *(breaches or ["all rules held"])]
    text = "\n".join(html.escape(line) for line in lines)
    return "".join((
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        "<title>caperdeck: a run of the fleet rig</title>",
        "<body style='font-family:sans-serif;max-width:72rem;margin:auto'>",
        f"<h1>A run of the fleet rig</h1><pre>{text}</pre>{plots.svg(figure)}</body></html>\n",
    ))  # fmt: skip
