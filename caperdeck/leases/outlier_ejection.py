"""Outlier ejection for the whole fleet, based on the reports of all nodes.

A host is ejected if enough nodes see it fail, and more than see it healthy, while most of the fleet has
reported. The rate of ejections and the share of ejected hosts are limited. Nodes apply each ejection for a
short time only, so a host is readmitted if no owner renews it. Every host is readmitted on trial after a
duration that doubles each time.
"""

from __future__ import annotations

import math
from itertools import accumulate
from typing import Any

import orjson

from .rounds import RoundScheduler
from .runner import Action, SaveState
from .target import HOSTS, MAX_EJECTED_SHARE

ROUND_MS = 700.0
EJECTION_LEASE_MS = 5000.0  # a node applies an ejection for this long after each request
REPORT_VALIDITY_MS = 2500.0  # age up to which reports of nodes count
MAX_EJECTIONS_PER_MINUTE = 4
MINUTE_MS = 60_000.0
# duration of the first ejection of a host, and the limit of the doubling
FIRST_EJECTION_MS, MAX_EJECTION_MS = 10_000.0, 120_000.0
RESET_AFTER_MS = 60_000.0  # a host that stayed in service this long starts over at the first duration
MAX_EJECTED = 8
MAX_UID_CHARACTERS = 150  # total length of the host ids in one request


def truncate_uids(uids: list[str]) -> list[str]:
    """Returns as many of the first uids as fit into one request."""
    sizes = accumulate(map(len, uids[:MAX_EJECTED]))
    return [uid for uid, size in zip(uids, sizes, strict=False) if size <= MAX_UID_CHARACTERS]


class OutlierEjection:
    """Decides which hosts are ejected; implements OwnedWork."""

    name = HOSTS

    def __init__(self, nodes: list[str], seed: int) -> None:
        self.nodes, self.seed = nodes, seed
        self.min_witnesses = 2 if len(nodes) < 5 else 3
        self.begin(0.0, None)

    def begin(self, now: float, state: str | None) -> None:
        """Restores the state of the previous owner."""
        saved = orjson.loads(state) if state else {}
        self.sequence: int = saved.get("number", 0)
        # There is no common clock with the previous owner, so its ejections count as made just now.
        self.ejected_until: dict[str, float] = {uid: now + left for uid, left in saved.get("out", {}).items()}
        # by uid: duration of the next ejection
        self.next_durations: dict[str, float] = saved.get("spans", {})
        self.readmitted_at: dict[str, float] = dict.fromkeys(self.next_durations, now)
        self.recent_ejections: list[float] = [now] * saved.get("recent", 0)
        self.hosts_in_question: list[str] = []  # hosts that nodes are asked to confirm as healthy
        self.scheduler = RoundScheduler(self.nodes, ROUND_MS, self.seed, now)
        self.dirty = False

    @property
    def due(self) -> float:
        return min(self.scheduler.due, min(self.ejected_until.values(), default=math.inf))

    def dump(self, now: float) -> str:
        return orjson.dumps({
            "number": self.sequence, "spans": self.next_durations, "recent": len(self.recent_ejections),
            "out": {uid: max(round(until - now, 1), 0.0) for uid, until in self.ejected_until.items()},
        }).decode()  # fmt: skip

    def next_step(self, now: float) -> SaveState | list[Action]:
        # A review of all nodes after each reply would cost quadratic time in their number.
        if self.scheduler.review_is_due(now) or min(self.ejected_until.values(), default=math.inf) <= now:
            self._review_hosts(now)
            replies = self.scheduler.recent_replies(now, REPORT_VALIDITY_MS).values()
            self.hosts_in_question = truncate_uids(sorted({uid for reply in replies for uid in reply["ill"]}))
        if self.dirty:
            return SaveState(self.dump(now))
        acts = []
        for node in self.scheduler.due_targets(now):
            body = {
                "number": self.sequence,
                "out": list(self.ejected_until),
                "ms": EJECTION_LEASE_MS,
                "ask": self.hosts_in_question,
            }
            self.scheduler.record_sent(now, node, body)
            acts.append(Action(node, body))
        return acts

    def state_committed(self, now: float) -> None:
        self.dirty = False

    def handle_reply(self, now: float, target: str, reply: Any) -> None:
        self.scheduler.record_reply(target, reply)

    def _review_hosts(self, now: float) -> None:
        readmitted = [uid for uid, until in self.ejected_until.items() if until <= now]
        for uid in readmitted:
            del self.ejected_until[uid]
            self.readmitted_at[uid] = now
        for uid in [
            u
            for u, at in self.readmitted_at.items()
            if u not in self.ejected_until and now - at > RESET_AFTER_MS
        ]:
            del self.readmitted_at[uid], self.next_durations[uid]
        ejected = self._host_to_eject(now)
        if not readmitted and ejected is None:
            return
        if ejected is not None:
            duration = self.next_durations.get(ejected, FIRST_EJECTION_MS)
            self.ejected_until[ejected], self.next_durations[ejected] = (
                now + duration,
                min(2 * duration, MAX_EJECTION_MS),
            )
            self.recent_ejections = [at for at in self.recent_ejections if now - at < MINUTE_MS] + [now]
        self.sequence, self.dirty = self.sequence + 1, True
        for node in self.nodes:
            self.scheduler.expedite(now, node)

    def _host_to_eject(self, now: float) -> str | None:
        """Returns the host that most nodes see failing, if there are enough votes and limits allow an
        ejection.
        """
        replies = self.scheduler.recent_replies(now, REPORT_VALIDITY_MS)
        # An owner that is cut off with a few nodes sees only their view, which is no majority of the fleet.
        if 2 * len(replies) <= len(self.nodes):
            return None
        if sum(now - at < MINUTE_MS for at in self.recent_ejections) >= MAX_EJECTIONS_PER_MINUTE:
            return None
        limit = min(
            math.floor(MAX_EJECTED_SHARE * min(reply["hosts"] for reply in replies.values())), MAX_EJECTED
        )
        if len(self.ejected_until) >= limit:
            return None
        sound = [reply for reply in replies.values() if reply["sound"]]
        failing_votes: dict[str, int] = {}
        for reply in sound:
            for uid in reply["ill"]:
                failing_votes[uid] = failing_votes.get(uid, 0) + 1
        free_characters = MAX_UID_CHARACTERS - sum(len(uid) for uid in self.ejected_until)
        for uid, count in sorted(failing_votes.items(), key=lambda row: (-row[1], row[0])):
            healthy_votes = sum(uid in reply["well"] for reply in sound)
            if (
                uid not in self.ejected_until
                and len(uid) <= free_characters
                and count >= max(self.min_witnesses, healthy_votes + 1)
            ):
                return uid
        return None
