"""The census: how many nodes live and what share of the whole each holds, in numbered epochs.

A node that has been told nothing holds a floor, a half of an equal share. The rest is dealt out by traffic.
The sum of all shares never passes 1, and no clock is in that: `held` is the most that a node may hold, it is
committed before a share grows, and falls only when the node itself has said that it holds less. A node
that does not answer keeps its share unused by others, until its next life says that it begins at the floor.
"""

from __future__ import annotations

from typing import Any

from .census_state import CensusState, decode, encode
from .rounds import RoundScheduler
from .runner import Action, SaveState
from .target import CENSUS, FLOOR_SHARE

ROUND_MS = 1000.0  # a round
ALIVE_WITHIN_MS = 3000.0  # a node that was asked so long ago at the most and answered
REBALANCE_THRESHOLD = 0.2  # of a share: a smaller change of traffic makes no new epoch
MIN_EPOCH_MS = 2000.0  # between epochs
RATE_SMOOTHING = 0.3  # weight of the newest rate
EPSILON = 1e-9


class Census:
    name = CENSUS

    def __init__(self, nodes: list[str], seed: int) -> None:
        self.nodes, self.seed = nodes, seed
        self.begin(0.0, None)

    def begin(self, now: float, state: str | None) -> None:
        """Raises StateError."""
        told = decode(state, self.nodes)
        self.epoch: int = told.epoch
        floor = FLOOR_SHARE / len(self.nodes)
        # shares of this epoch, by node; one that the file does not name any more has been declared gone
        self.want = dict(told.want)
        self.living: int = told.living
        # Danger: a node that the file names anew was at its floor all along, whoever owned the work.
        self.held = {n: max(told.held.get(n, floor), floor) for n in self.nodes}
        self.lives: dict[str, int] = {}
        self.rounds = RoundScheduler(self.nodes, ROUND_MS, self.seed, now)
        self.rates: dict[str, tuple[int, int, float, float]] = {}  # life, tries, when, a second
        self.changed_at = now
        self.dirty = False  # held has grown, or there is a new epoch: to be committed before it is told

    @property
    def due(self) -> float:
        return self.rounds.due

    def dump(self) -> str:
        return encode(CensusState(self.epoch, self.living, self.want, self.held))

    # ---- the runner's calls

    def turn(self, now: float) -> SaveState | list[Action]:
        # Danger: a look at all nodes after each answer costs the square of their number.
        if self.rounds.worth_a_look(now):
            self._plan(now)
            self._grow()
        if self.dirty:
            return SaveState(self.dump())
        acts = []
        for node in self.rounds.next(now):
            body = self._body(node)
            self.rounds.sent(now, node, body)
            acts.append(Action(node, body))
        return acts

    def kept(self, now: float) -> None:
        self.dirty = False

    def _body(self, node: str) -> dict[str, Any]:
        want = self.want.get(node)
        life = self.lives.get(node)
        if want is None or life is None or want > self.held[node] + EPSILON:
            # nothing of this epoch may be told yet; the question alone
            return {"epoch": 0, "share": 0.0, "living": 0, "life": 0, "nodes": len(self.nodes)}
        told = {"epoch": self.epoch, "share": want, "living": self.living}
        return told | {"life": life, "nodes": len(self.nodes)}

    def answered(self, now: float, target: str, reply: Any) -> None:
        body = self.rounds.came(target, reply)
        if reply is None:
            # Danger: a node that has started anew refuses what is meant for its old life, for ever.
            self.lives.pop(target, None)
            return
        self._rate(now, target, reply)
        self.lives[target] = reply["life"]
        # Danger: a share that was told under this epoch may be under way to the node still, and grow there;
        # only what the node says after the epoch's own word is its last.
        if body["epoch"] == self.epoch and reply["epoch"] == self.epoch:
            self.held[target] = reply["share"]
        wanted = self.want.get(target)
        if wanted is not None and reply["epoch"] != self.epoch and wanted <= self.held[target] + EPSILON:
            self.rounds.soon(now, target)

    def _rate(self, now: float, node: str, reply: dict[str, Any]) -> None:
        last, rate = self.rates.get(node), 0.0
        if last is not None and last[0] == reply["life"] and now > last[2]:
            rate = last[3] + RATE_SMOOTHING * (
                (reply["tries"] - last[1]) * 1000.0 / (now - last[2]) - last[3]
            )
        self.rates[node] = reply["life"], reply["tries"], now, max(rate, 0.0)

    # ---- epochs

    def _plan(self, now: float) -> None:
        """A new epoch where other nodes live, or traffic has moved."""
        if now - self.changed_at < MIN_EPOCH_MS:
            return
        heard = self.rounds.heard(now, ALIVE_WITHIN_MS)
        settled = all(heard[n]["epoch"] == self.epoch for n in heard if n in self.want)
        if not heard or not (settled or now - self.changed_at > 3 * ALIVE_WITHIN_MS):
            return
        living = [n for n in self.nodes if n in heard]
        share = self._shares(living)
        known = [n for n in living if n in self.want]
        moved = any(abs(share[n] - self.want[n]) > REBALANCE_THRESHOLD * self.want[n] for n in known)
        if len(known) == len(living) == len(self.want) and not moved:
            return
        self.epoch += 1
        self.want, self.living, self.changed_at, self.dirty = share, len(living), now, True
        for node in living:
            self.rounds.soon(now, node)

    def _shares(self, living: list[str]) -> dict[str, float]:
        floor = FLOOR_SHARE / len(self.nodes)
        # what a silent node may hold over its floor is nobody else's
        lives = set(living)
        silent = sum(max(self.held[n] - floor, 0.0) for n in self.nodes if n not in lives)
        rest = max(1.0 - FLOOR_SHARE - silent, 0.0)
        mean = sum(self.rates.get(n, (0, 0, 0, 0.0))[3] for n in living) / len(living)
        weight = {n: 0.5 * mean + 0.5 * self.rates.get(n, (0, 0, 0, 0.0))[3] if mean else 1.0 for n in living}
        total = sum(weight.values())
        return {n: floor + rest * weight[n] / total for n in living}

    def _grow(self) -> None:
        """Lets shares grow as far as others have given theirs back."""
        free = 1.0 - sum(self.held.values())
        for node in self.nodes:
            more = self.want.get(node, 0.0) - self.held[node]
            if EPSILON < more <= free + EPSILON:
                self.held[node], self.dirty = self.want[node], True
                free -= more
