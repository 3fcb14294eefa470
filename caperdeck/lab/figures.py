"""Summary figures of a history: served, refused and unanswered requests, and their cost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from .history import Event

PRICES = {"looks": 0.004, "datagrams": 0.01, "moves": 0.02}  # utility lost for each one per request
DATAGRAM_BYTES = 256  # the size that one unit of `datagrams` stands for


def figures(events: Iterable[Event]) -> dict[str, float]:
    """Fractions and counts per request; `utility` is the served fraction minus the costs."""
    count: Counter[str] = Counter()
    wanted_ms = well_served_ms = wait_ms = datagram_bytes = 0.0
    for event in events:
        kind = event["ev"]
        count[kind] += 1
        if kind == "datagram":
            datagram_bytes += event["size"]
        elif kind == "wanted":
            wanted_ms += event["ms"]
        elif kind == "end":
            well_served_ms += event["well"]
            count["moved"] += event["how"] == "move"
        elif kind == "answer":
            count[f"answer-{event['what']}"] += 1
            if event["what"] == "up":
                wait_ms += event["ms"]
    tries, up = max(count["ask"], 1), max(count["answer-up"], 1)
    result = {
        "tries": float(count["ask"]), "served": min(well_served_ms / wanted_ms, 1.0) if wanted_ms else 0.0,
        "refused": count["answer-busy"] / tries,
        "unanswered": (count["answer-none"] + count["answer-closed"]) / tries,
        "looks": count["look"] / tries, "dials": count["dial"] / tries, "moves": count["moved"] / tries,
        "datagrams": datagram_bytes / DATAGRAM_BYTES / tries, "wait": wait_ms / up,
    }  # fmt: skip
    result["utility"] = result["served"] - sum(price * result[name] for name, price in PRICES.items())
    return result


def figure_lines(values: dict[str, Any]) -> list[str]:
    """The lines that are printed for the figures."""
    shares = ", ".join(f"{k} {values[k]:.3f}" for k in ("served", "refused", "unanswered", "utility"))
    costs = ", ".join(f"{k} {values[k]:.2f}" for k in ("looks", "dials", "moves", "datagrams"))
    return [f"{values['tries']:.0f} tries: {shares}", f"a try: {costs}; {values['wait']:.0f} ms to an UP"]
