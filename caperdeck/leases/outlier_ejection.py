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

from .rounds import RoundScheduler
from .runner import Action, SaveState
from .target import HOSTS, MAX_EJECTED_SHARE

ROUND_MS = 700.0  # a round
EJECTION_LEASE_MS = 5000.0  # a node holds hosts out for so long from a word on
REPORT_VALIDITY_MS = 2500.0  # what nodes said counts for so long
MAX_EJECTIONS_PER_MINUTE = 4
MINUTE_MS = 60_000.0
FIRST_EJECTION_MS, MAX_EJECTION_MS = 10_000.0, 120_000.0  # the first time out, and the longest
RESET_AFTER_MS = 60_000.0  # a host back for so long begins anew
MAX_EJECTED = 8
MAX_UID_CHARACTERS = 150  # characters of the uids of a list in one act


def truncate_uids(uids: list[str]) -> list[str]:
    """As many of the first as one act has room for."""
    sizes = accumulate(map(len, uids[:MAX_EJECTED]))
    return [uid for uid, size in zip(uids, sizes, strict=False) if size <= MAX_UID_CHARACTERS]


class OutlierEjection:
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
        self.rounds = RoundScheduler(self.nodes, ROUND_MS, self.seed, now)
        self.dirty = False

    @property
    def due(self) -> float:
        return min(self.rounds.due, min(self.out.values(), default=math.inf))

    def dump(self, now: float) -> str:
        return orjson.dumps({
            "number": self.number, "spans": self.spans, "recent": len(self.recent),
            "out": {uid: max(round(until - now, 1), 0.0) for uid, until in self.out.items()},
        }).decode()  # fmt: skip

    def turn(self, now: float) -> SaveState | list[Action]:
        # Danger: a look at all nodes after each answer costs the square of their number.
        if self.rounds.worth_a_look(now) or min(self.out.values(), default=math.inf) <= now:
            self._decide(now)
            heard = self.rounds.heard(now, REPORT_VALIDITY_MS).values()
            self.ask = truncate_uids(sorted({uid for reply in heard for uid in reply["ill"]}))
        if self.dirty:
            return SaveState(self.dump(now))
        acts = []
        for node in self.rounds.next(now):
            body = {"number": self.number, "out": list(self.out), "ms": EJECTION_LEASE_MS, "ask": self.ask}
            self.rounds.sent(now, node, body)
            acts.append(Action(node, body))
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
        for uid in [u for u, at in self.backs.items() if u not in self.out and now - at > RESET_AFTER_MS]:
            del self.backs[uid], self.spans[uid]
        gone = self._worst(now)
        if not back and gone is None:
            return
        if gone is not None:
            span = self.spans.get(gone, FIRST_EJECTION_MS)
            self.out[gone], self.spans[gone] = now + span, min(2 * span, MAX_EJECTION_MS)
            self.recent = [at for at in self.recent if now - at < MINUTE_MS] + [now]
        self.number, self.dirty = self.number + 1, True
        for node in self.nodes:
            self.rounds.soon(now, node)

    def _worst(self, now: float) -> str | None:
        """The host that most nodes see ill, if enough do and one more may go out."""
        heard = self.rounds.heard(now, REPORT_VALIDITY_MS)
        # Danger: an owner cut off with a few nodes sees what they see; that is no word of the fleet.
        if 2 * len(heard) <= len(self.nodes):
            return None
        if sum(now - at < MINUTE_MS for at in self.recent) >= MAX_EJECTIONS_PER_MINUTE:
            return None
        most = min(
            math.floor(MAX_EJECTED_SHARE * min(reply["hosts"] for reply in heard.values())), MAX_EJECTED
        )
        if len(self.out) >= most:
            return None
        sound = [reply for reply in heard.values() if reply["sound"]]
        ill: dict[str, int] = {}
        for reply in sound:
            for uid in reply["ill"]:
                ill[uid] = ill.get(uid, 0) + 1
        room = MAX_UID_CHARACTERS - sum(len(uid) for uid in self.out)
        for uid, count in sorted(ill.items(), key=lambda row: (-row[1], row[0])):
            well = sum(uid in reply["well"] for reply in sound)
            if uid not in self.out and len(uid) <= room and count >= max(self.witnesses, well + 1):
                return uid
        return None
