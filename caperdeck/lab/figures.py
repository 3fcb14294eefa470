"""What a history comes to: served, refused, and what it cost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from .history import Event

PRICES = {"looks": 0.004, "datagrams": 0.01, "moves": 0.02}  # of the whole, for one a try
DATAGRAM = 256  # bytes that one is, in the prices


def figures(events: Iterable[Event]) -> dict[str, float]:
    """Shares and counts a try; `utility` is what was served less the prices."""
    count: Counter[str] = Counter()
    wanted = well = waits = size = 0.0
    for e in events:
        kind = e["ev"]
        count[kind] += 1
        if kind == "datagram":
            size += e["size"]
        elif kind == "wanted":
            wanted += e["ms"]
        elif kind == "end":
            well += e["well"]
            count["moved"] += e["how"] == "move"
        elif kind == "answer":
            count[f"answer-{e['what']}"] += 1
            if e["what"] == "up":
                waits += e["ms"]
    tries, up = max(count["ask"], 1), max(count["answer-up"], 1)
    out = {
        "tries": float(count["ask"]), "served": min(well / wanted, 1.0) if wanted else 0.0,
        "refused": count["answer-busy"] / tries,
        "unanswered": (count["answer-none"] + count["answer-closed"]) / tries,
        "looks": count["look"] / tries, "dials": count["dial"] / tries, "moves": count["moved"] / tries,
        "datagrams": size / DATAGRAM / tries, "wait": waits / up,
    }  # fmt: skip
    out["utility"] = out["served"] - sum(price * out[name] for name, price in PRICES.items())
    return out


def lines(values: dict[str, Any]) -> list[str]:
    shares = ", ".join(f"{k} {values[k]:.3f}" for k in ("served", "refused", "unanswered", "utility"))
    costs = ", ".join(f"{k} {values[k]:.2f}" for k in ("looks", "dials", "moves", "datagrams"))
    return [f"{values['tries']:.0f} tries: {shares}", f"a try: {costs}; {values['wait']:.0f} ms to an UP"]
