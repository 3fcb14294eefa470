"""What must hold of owned work, checked on a history from outside, and how long it took to change hands.

At each target tokens never go down among the acts taken; a token belongs to one grant; an epoch of the census
means the same everywhere, and no number is left out; the shares in force never add up to more than the
whole; no more than a part of the hosts is out. Nothing here trusts the programs' own clocks but for the order
of what one process tells.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from caperdeck.leases.target import CENSUS, FLOOR_SHARE, HOSTS, MAX_EJECTED_SHARE

from .history import Event
from .oracle import Check
from .scenario import HOLDER_PREFIX, LEADER, Scenario, decode
from .seeded_random import SeededRandom

ROUNDED = 1e-6


class Owned(Check):
    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.highest: dict[tuple[str, str], int] = {}  # by target, work
        self.grants: dict[int, tuple[str, str]] = {}  # by token: work, holder
        self.epochs: dict[int, int] = {}  # how many live, by epoch
        floor = FLOOR_SHARE / scenario.nodes
        self.floor, self.share = floor, dict.fromkeys(scenario.node_names(), floor)
        self.epoch_of: dict[str, int] = {}  # the epoch that a node is in, in this life
        self.steps: dict[int, tuple] = {}  # what each number of an act on hosts means
        self.number: dict[str, int] = {}  # the last of them that a node took, in this life

    def on_grant(self, e: Event) -> None:
        if self.grants.setdefault(e["token"], (e["work"], e["holder"])) != (e["work"], e["holder"]):
            self.breach("token", f"{e['token']} was granted twice", e)

    def on_held(self, e: Event) -> None:
        if e["holder"] != e["who"]:
            self.breach("token", f"{e['who']} holds for {e['holder']}", e)
        self.on_grant(e)

    def on_acted(self, e: Event) -> None:
        node, work, token = e["who"], e["work"], e["token"]
        if token < self.highest.get((node, work), 0):
            highest = self.highest[node, work]
            self.breach("fence", f"an act on {work} with token {token} taken after {highest}", e)
        self.highest[node, work] = max(token, self.highest.get((node, work), 0))
        if work == HOSTS:
            if e["number"] < self.number.get(node, 0):
                self.breach("step", f"hosts go back to {e['number']} from {self.number[node]}", e)
            self.number[node] = e["number"]
            if self.steps.setdefault(e["number"], tuple(e["out"])) != tuple(e["out"]):
                self.breach("step", f"number {e['number']} is told in two ways", e)
            most = math.floor(MAX_EJECTED_SHARE * self.scenario.hosts.count)
            if len(e["out"]) > most:
                self.breach("part", f"{len(e['out'])} hosts out by the fleet's word, over {most}", e)
        elif work == CENSUS:
            self._census(node, e)

    def _census(self, node: str, e: Event) -> None:
        if e["epoch"] < self.epoch_of.get(node, 0):
            self.breach("census", f"epoch {e['epoch']} after {self.epoch_of[node]}", e)
        self.epoch_of[node], self.share[node] = e["epoch"], e["share"]
        if self.epochs.setdefault(e["epoch"], e["living"]) != e["living"]:
            self.breach("census", f"epoch {e['epoch']} is told in two ways", e)
        if (whole := sum(self.share.values())) > 1 + ROUNDED:
            self.breach("census", f"shares add up to {whole:.4f}", e)

    def on_life(self, e: Event) -> None:
        if e["state"] in ("killed", "exit"):
            # whoever starts next holds the floor until it is told more
            self.share[e["who"]], self.epoch_of[e["who"]], self.number[e["who"]] = self.floor, 0, 0


class OneOwner(Check):
    """Two that say they hold one work at one time: not while clocks keep to their drift."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.suspended: set[str] = set()
        self.holds: dict[str, str] = {}
        self.skewed = any(f.do == "clock" for f in scenario.fault)

    def on_instance(self, e: Event) -> None:
        if e["state"] == "asleep":
            self.suspended.add(e["who"])
        elif e["state"] == "killed":
            self.suspended.discard(e["who"])
            self.holds = {w: who for w, who in self.holds.items() if who != e["who"]}

    def on_held(self, e: Event) -> None:
        other = self.holds.get(e["work"])
        # one that sleeps does nothing, and finds out as it wakes, before it does anything: until it has said
        # that it renewed or lost a work, its word from before counts for nothing
        if other not in (None, e["who"]) and other not in self.suspended and not self.skewed:
            self.breach("owner", f"{e['who']} holds {e['work']} while {other} does", e)
        self.holds[e["work"]] = e["who"]
        self.suspended.discard(e["who"])

    def on_renewed(self, e: Event) -> None:
        self.suspended.discard(e["who"])

    def on_lost(self, e: Event) -> None:
        if self.holds.get(e["work"]) == e["who"]:
            del self.holds[e["work"]]


def took(events: Iterable[Event]) -> dict[str, list[float]]:
    """Milliseconds until another leads, or a work is held anew, after a fault by that name; inf for never."""
    waiting: dict[str, tuple[float, tuple[str, ...]]] = {}
    out: dict[str, list[float]] = {}
    for e in events:
        named = e["ev"] == "fault" and (e["name"] == LEADER or e["name"].startswith(HOLDER_PREFIX))
        if named and e["on"] and e["of"]:
            began, old = waiting.get(e["name"], (e["t"], ()))
            waiting[e["name"]] = began, (*old, e["of"][0])
        for role in list(waiting):
            began, old = waiting[role]
            led = role == LEADER and e["ev"] == "leader" and e["leader"] == e["who"] and e["who"] not in old
            held = (
                role.startswith(HOLDER_PREFIX)
                and e["ev"] == "held"
                and e["work"] == role[len(HOLDER_PREFIX) :]
            )
            if (led or held) and e["t"] >= began:
                out.setdefault(role, []).append(e["t"] - began)
                del waiting[role]
    for role in waiting:
        out.setdefault(role, []).append(math.inf)
    return out


CHECKS = (Owned, OneOwner)

ROUNDS = ("kill leader", "kill holder", "stop leader", "stop holder", "cut leader", "cut holder",
          "silence holder", "stop-before-act holder")  # fmt: skip
GAP, LASTS = 3.2, 2.1  # seconds between faults, and of each


def again(seed: int, owners: int, rounds: int) -> Scenario:
    """One fault after another on whoever leads or holds, with nodes and links that fail beside."""
    draw, at, faults = SeededRandom(seed), 3.5, []
    for i in range(rounds):
        do, role = ROUNDS[i % len(ROUNDS)].split()
        of = LEADER if role == LEADER else HOLDER_PREFIX + (HOSTS if draw.chance() < 0.5 else CENSUS)
        row = {"do": do, "of": of, "name": of, "at": round(at + draw.chance() / 3, 2), "for": LASTS}
        if do in ("cut", "silence"):
            row["to"] = "n*" if do == "silence" else "o*"
            # with one way dead, or no node in reach, it may go on renewing: no other has to come
            row["name"] = of if role == LEADER else ""
        faults.append(row)
        at += GAP
    end = at + GAP
    beside = [
        {"do": "kill", "of": "n1", "at": 8.0, "for": 2.0}, {"do": "stop", "of": "n0", "at": 14.0, "for": 3.0},
        {"do": "delay", "of": "o*", "to": "n*", "spread": [0.0, 300.0], "at": 10.0, "for": 10.0},
        {"do": "loss", "of": "o*", "to": "o*", "amount": 0.1, "at": 20.0, "for": 10.0},
        {"do": "silence", "of": "n*", "to": "h7", "at": 16.0, "for": 12.0},
    ]  # fmt: skip
    return decode({
        "name": "again", "seconds": round(end, 1), "nodes": 3, "owners": owners, "seed": seed,
        "hosts": {"count": 8}, "clients": {"rate": 15.0, "life": [4.0, 10.0]},
        "fault": faults + [f for f in beside if f["at"] + f["for"] < end],
    })  # fmt: skip
