"""Renders a history as one self-contained HTML page: nodes, hosts, answers and faults over time."""

from __future__ import annotations

import html
from collections import defaultdict
from typing import Any

from matplotlib import pyplot as plt

from . import plots
from .figures import figures
from .figures import figure_lines
from .history import Event

SAMPLE_MS = 250.0  # between points of a plot
STATES = {"up": "#2e7d32", "asleep": "#f9a825", "killed": "#c62828", "exit": "#6a1b9a", "stopping": "#8d6e63"}
ANSWERS = {"up": "#2e7d32", "busy": "#f9a825", "err": "#ef6c00", "none": "#c62828", "closed": "#6a1b9a"}
MAX_LANES = 60


def _faults(events: list[Event], end: float) -> list[tuple[float, float, str]]:
    """Start, end and description of each fault."""
    begun: dict[int, Event] = {}
    spans = []
    for event in events:
        if event["ev"] == "fault" and event["on"]:
            begun[event["number"]] = event
        elif event["ev"] == "fault" and event["number"] in begun:
            spans.append((begun[event["number"]], event["t"]))
            del begun[event["number"]]
    spans += [(event, end) for event in begun.values()]
    descriptions = []
    for event, until in spans:
        of, target = (
            ", ".join(names[:4]) + (" ..." if len(names) > 4 else "") for names in (event["of"], event["far"])
        )
        descriptions.append((event["t"], until, f"{event['do']} {of}" + (f" to {target}" if target else "")))
    return descriptions


def _lanes(axes: Any, names: list[str], title: str) -> None:
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_ylim(-0.6, len(names) - 0.4)
    axes.set_title(title, fontsize=9, loc="left")


def _node_lanes(axes: Any, events: list[Event], nodes: list[str], end: float) -> None:
    since: dict[str, tuple[float, str]] = {}
    spans = []
    for event in events:
        if event["ev"] == "life" and event["who"] in nodes:
            if event["who"] in since:
                spans.append((event["who"], *since[event["who"]], event["t"]))
            since[event["who"]] = (
                max(event["t"], 0.0),
                "up" if event["state"] == "awake" else event["state"],
            )
    spans += [(n, at, state, end) for n, (at, state) in since.items()]
    for node, at, state, until in spans:
        colour = STATES.get(state, "#999")
        axes.barh(nodes.index(node), (until - at) / 1000, left=at / 1000, color=colour, height=0.6)
    seen = [event for event in events if event["ev"] == "dial" and event["who"] in nodes]
    dials = [(event["t"] / 1000, nodes.index(event["who"])) for event in seen]
    axes.plot([t for t, _ in dials], [n for _, n in dials], "|", color="white", markersize=4, alpha=0.5)
    _lanes(axes, nodes, "nodes: up green, asleep yellow, killed red; each dial a mark")


def _host_lines(axes: Any, events: list[Event], hosts: list[str], end: float) -> None:
    loads: dict[str, dict[str, float]] = {host: {} for host in hosts}
    sent: dict[str, float] = {}
    series: dict[str, list[float]] = defaultdict(list)
    times, at = [], 0.0
    for event in [*events, {"t": end, "ev": ""}]:
        while event["t"] >= at + SAMPLE_MS:
            at += SAMPLE_MS
            times.append(at / 1000)
            for host in hosts:
                series[host].append(sum(loads[host].values()) / 1000)
        if event["ev"] == "sent":
            sent[event["id"]] = event["load"]
        elif event["ev"] == "ran" and event["to"] in loads:
            loads[event["to"]][event["id"]] = sent.get(event["id"], 0.0)
        elif event["ev"] == "gone" and event["to"] in loads:
            loads[event["to"]].pop(event["id"], None)
    for host in hosts:
        axes.plot(times, series[host], linewidth=0.9, label=host)
    for event in events:
        if event["ev"] == "host" and event["to"] in hosts:
            axes.annotate(f"{event['to']} {event['state']}", (event["t"] / 1000, 0), fontsize=6, rotation=60)
    axes.set_title("hosts: load held, cores' worth of work", fontsize=9, loc="left")
    if len(hosts) <= 12:
        axes.legend(fontsize=6, ncols=6, loc="upper left")


def _answers(axes: Any, events: list[Event], end: float) -> None:
    steps = int(end / SAMPLE_MS) + 1
    rows = {kind: [0] * steps for kind in ANSWERS}
    for event in events:
        if event["ev"] == "answer" and event["what"] in rows and event["t"] >= 0:
            rows[event["what"]][min(int(event["t"] / SAMPLE_MS), steps - 1)] += 1
    times = [i * SAMPLE_MS / 1000 for i in range(steps)]
    axes.stackplot(times, list(rows.values()), colors=list(ANSWERS.values()), labels=list(rows))
    axes.legend(fontsize=6, ncols=5, loc="upper left")
    axes.set_title(f"answers in {SAMPLE_MS:.0f} ms", fontsize=9, loc="left")


def _links(axes: Any, spans: list[tuple[float, float, str]]) -> None:
    for i, (at, until, text) in enumerate(spans):
        axes.barh(i, max(until - at, 30) / 1000, left=at / 1000, color="#c62828", alpha=0.6, height=0.6)
        axes.text(at / 1000, i, text, fontsize=6, va="center")
    _lanes(axes, [str(i) for i in range(len(spans))], "faults, of processes, hosts and links")


def page(events: list[Event], breaches: list[str]) -> str:
    """The page as HTML, with the plots as embedded SVG."""
    end = max((event["t"] for event in events), default=1.0)
    nodes = sorted({event["who"] for event in events if event.get("who")}, key=lambda n: (len(n), n))[
        :MAX_LANES
    ]
    hosts = sorted(
        {event["to"] for event in events if event["ev"] in ("sent", "host")}, key=lambda n: (len(n), n)
    )
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
    summary = [*figure_lines(figures(events)), *(breaches or ["all rules held"])]
    text = "\n".join(html.escape(line) for line in summary)
    return "".join((
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        "<title>caperdeck: a run of the fleet rig</title>",
        "<body style='font-family:sans-serif;max-width:72rem;margin:auto'>",
        f"<h1>A run of the fleet rig</h1><pre>{text}</pre>{plots.svg(figure)}</body></html>\n",
    ))  # fmt: skip
