"""Turning ill hosts out and back for the whole fleet, from what all nodes say of them.

A host goes out by enough nodes that see it ill, more than see it well, while most of the fleet is heard; at
most so many a minute and so large a part of the hosts. Nodes hold it out for a short time from each word on,
so it is back by itself when no owner renews it. Every host comes back after a while that doubles, as a trial.
"""

from __future__ import annotations

import math
from itertools import accumulate
from typing import Any

import orjson

from .rounds import Rounds
from .runner import Act, Keep
from .target import HOSTS, PART

EVERY = 700.0  # a round
HELD = 5000.0  # a node holds hosts out for so long from a word on
FRESH = 2500.0  # what nodes said counts for so long
OUTS_A_MINUTE = 4
MINUTE = 60_000.0
OUT, LONGEST = 10_000.0, 120_000.0  # the first time out, and the longest
WELL_FOR = 60_000.0  # a host back for so long begins anew
MOST_OUT = 8
LONGEST_LIST = 150  # characters of the uids of a list in one act


def short(uids: list[str]) -> list[str]:
    """As many of the first as one act has room for."""
    sizes = accumulate(map(len, uids[:MOST_OUT]))
    return [uid for uid, size in zip(uids, sizes, strict=False) if size <= LONGEST_LIST]


class Turning:
    name = HOSTS

    def __init__(self, nodes: list[str], seed: int) -> None:
        self.nodes, self.seed = nodes, seed
        self.witnesses = 2 if len(nodes) < 5 else 3
        self.begin(0.0, None)

    def begin(self, now: float, state: str | None) -> None:
        told = orjson.loads(state) if state else {}
        self.number: int = told.get("number", 0)
        # Danger: no clock is shared with the owner before; what it did counts as done just now.
        self.out: dict[str, float] = {uid: now + left for uid, left in told.get("out", {}).items()}
        self.spans: dict[str, float] = told.get("spans", {})  # of the next time out
        self.backs: dict[str, float] = dict.fromkeys(self.spans, now)
        self.recent: list[float] = [now] * told.get("recent", 0)
        self.ask: list[str] = []  # hosts that nodes are asked about
        self.rounds = Rounds(self.nodes, EVERY, self.seed, now)
        self.dirty = False

    @property
    def due(self) -> float:
        return min(self.rounds.due, min(self.out.values(), default=math.inf))

    def dump(self, now: float) -> str:
        return orjson.dumps({
            "number": self.number, "spans": self.spans, "recent": len(self.recent),
            "out": {uid: max(round(until - now, 1), 0.0) for uid, until in self.out.items()},
        }).decode()  # fmt: skip

    def turn(self, now: float) -> Keep | list[Act]:
        # Danger: a look at all nodes after each answer costs the square of their number.
        if self.rounds.worth_a_look(now) or min(self.out.values(), default=math.inf) <= now:
            self._decide(now)
            heard = self.rounds.heard(now, FRESH).values()
            self.ask = short(sorted({uid for reply in heard for uid in reply["ill"]}))
        if self.dirty:
            return Keep(self.dump(now))
        acts = []
        for node in self.rounds.next(now):
            body = {"number": self.number, "out": list(self.out), "ms": HELD, "ask": self.ask}
            self.rounds.sent(now, node, body)
            acts.append(Act(node, body))
        return acts

    def kept(self, now: float) -> None:
        self.dirty = False

    def answered(self, now: float, target: str, reply: Any) -> None:
        self.rounds.came(target, reply)

    def _decide(self, now: float) -> None:
        back = [uid for uid, until in self.out.items() if until <= now]
        for uid in back:
            del self.out[uid]
            self.backs[uid] = now
        for uid in [u for u, at in self.backs.items() if u not in self.out and now - at > WELL_FOR]:
            del self.backs[uid], self.spans[uid]
        gone = self._worst(now)
        if not back and gone is None:
            return
        if gone is not None:
            span = self.spans.get(gone, OUT)
            self.out[gone], self.spans[gone] = now + span, min(2 * span, LONGEST)
            self.recent = [at for at in self.recent if now - at < MINUTE] + [now]
        self.number, self.dirty = self.number + 1, True
        for node in self.nodes:
            self.rounds.soon(now, node)

    def _worst(self, now: float) -> str | None:
        """The host that most nodes see ill, if enough do and one more may go out."""
        heard = self.rounds.heard(now, FRESH)
        # Danger: an owner cut off with a few nodes sees what they see; that is no word of the fleet.
        if 2 * len(heard) <= len(self.nodes):
            return None
        if sum(now - at < MINUTE for at in self.recent) >= OUTS_A_MINUTE:
            return None
        most = min(math.floor(PART * min(reply["hosts"] for reply in heard.values())), MOST_OUT)
        if len(self.out) >= most:
            return None
        sound = [reply for reply in heard.values() if reply["sound"]]
        ill: dict[str, int] = {}
        for reply in sound:
            for uid in reply["ill"]:
                ill[uid] = ill.get(uid, 0) + 1
        room = LONGEST_LIST - sum(len(uid) for uid in self.out)
        for uid, count in sorted(ill.items(), key=lambda row: (-row[1], row[0])):
            well = sum(uid in reply["well"] for reply in sound)
            if uid not in self.out and len(uid) <= room and count >= max(self.witnesses, well + 1):
                return uid
        return None
