"""The census: the number of live nodes and each node's share of the fleet's total, in numbered epochs.

A node without instructions holds a floor, half of an equal share. The rest is divided by traffic. The sum of
all shares never exceeds 1, and this does not depend on clocks: `held_shares` is an upper bound of what each
node may hold. It is committed before a share grows, and it is lowered only after the node itself has
confirmed a smaller share. A node that does not answer keeps its share, which nobody else uses, until a new
life of the node reports that it is back at the floor.
"""

from __future__ import annotations

from typing import Any

from .census_state import CensusState, decode, encode
from .rounds import RoundScheduler
from .runner import Action, SaveState
from .target import CENSUS, FLOOR_SHARE

ROUND_MS = 1000.0
ALIVE_WITHIN_MS = 3000.0  # a node counts as alive if a request sent within this time was answered
REBALANCE_THRESHOLD = 0.2  # relative change of a share below which traffic causes no new epoch
MIN_EPOCH_MS = 2000.0  # minimum duration of an epoch
RATE_SMOOTHING = 0.3  # weight of the newest rate in the moving average
EPSILON = 1e-9


class Census:
    """Divides the fleet's total into shares of the nodes; implements OwnedWork."""

    name = CENSUS

    def __init__(self, nodes: list[str], seed: int) -> None:
        self.nodes, self.seed = nodes, seed
        self.begin(0.0, None)

    def begin(self, now: float, state: str | None) -> None:
        """Restores the state of the previous owner; raises StateError if it cannot be read."""
        saved = decode(state, self.nodes)
        self.epoch: int = saved.epoch
        floor = FLOOR_SHARE / len(self.nodes)
        # shares of this epoch by node; a node that is no longer configured counts as gone
        self.wanted_shares = dict(saved.wanted_shares)
        self.living: int = saved.living
        # A newly configured node has been at its floor all along, whoever owned the work.
        self.held_shares = {n: max(saved.held_shares.get(n, floor), floor) for n in self.nodes}
        self.lives: dict[str, int] = {}
        self.scheduler = RoundScheduler(self.nodes, ROUND_MS, self.seed, now)
        self.rates: dict[str, tuple[int, int, float, float]] = {}  # life, attempts, time, attempts per second
        self.epoch_started_at = now
        self.dirty = False  # uncommitted change of held shares or epoch

    @property
    def due(self) -> float:
        return self.scheduler.due

    def dump(self) -> str:
        return encode(CensusState(self.epoch, self.living, self.wanted_shares, self.held_shares))

    # ---- calls of the runner

    def next_step(self, now: float) -> SaveState | list[Action]:
        # A review of all nodes after each reply would cost quadratic time in their number.
        if self.scheduler.review_is_due(now):
            self._review_epoch(now)
            self._grow_shares()
        if self.dirty:
            return SaveState(self.dump())
        acts = []
        for node in self.scheduler.due_targets(now):
            body = self._request_body(node)
            self.scheduler.record_sent(now, node, body)
            acts.append(Action(node, body))
        return acts

    def state_committed(self, now: float) -> None:
        self.dirty = False

    def _request_body(self, node: str) -> dict[str, Any]:
        want = self.wanted_shares.get(node)
        life = self.lives.get(node)
        if want is None or life is None or want > self.held_shares[node] + EPSILON:
            # the share of this epoch cannot be assigned yet, so the request only asks for a report
            return {"epoch": 0, "share": 0.0, "living": 0, "life": 0, "nodes": len(self.nodes)}
        saved = {"epoch": self.epoch, "share": want, "living": self.living}
        return saved | {"life": life, "nodes": len(self.nodes)}

    def handle_reply(self, now: float, target: str, reply: Any) -> None:
        body = self.scheduler.record_reply(target, reply)
        if reply is None:
            # A restarted node refuses requests for its previous life for ever, so the life must be learned
            # again.
            self.lives.pop(target, None)
            return
        self._update_rate(now, target, reply)
        self.lives[target] = reply["life"]
        # A share of this epoch may still be in flight to the node and increase its share there. Only a report
        # made under the current epoch is final.
        if body["epoch"] == self.epoch and reply["epoch"] == self.epoch:
            self.held_shares[target] = reply["share"]
        wanted = self.wanted_shares.get(target)
        if (
            wanted is not None
            and reply["epoch"] != self.epoch
            and wanted <= self.held_shares[target] + EPSILON
        ):
            self.scheduler.expedite(now, target)

    def _update_rate(self, now: float, node: str, reply: dict[str, Any]) -> None:
        last, rate = self.rates.get(node), 0.0
        if last is not None and last[0] == reply["life"] and now > last[2]:
            rate = last[3] + RATE_SMOOTHING * (
                (reply["tries"] - last[1]) * 1000.0 / (now - last[2]) - last[3]
            )
        self.rates[node] = reply["life"], reply["tries"], now, max(rate, 0.0)

    # ---- epochs

    def _review_epoch(self, now: float) -> None:
        """Starts a new epoch if the set of live nodes or the traffic has changed."""
        if now - self.epoch_started_at < MIN_EPOCH_MS:
            return
        replies = self.scheduler.recent_replies(now, ALIVE_WITHIN_MS)
        settled = all(replies[n]["epoch"] == self.epoch for n in replies if n in self.wanted_shares)
        if not replies or not (settled or now - self.epoch_started_at > 3 * ALIVE_WITHIN_MS):
            return
        living = [n for n in self.nodes if n in replies]
        share = self._divide(living)
        known = [n for n in living if n in self.wanted_shares]
        moved = any(
            abs(share[n] - self.wanted_shares[n]) > REBALANCE_THRESHOLD * self.wanted_shares[n] for n in known
        )
        if len(known) == len(living) == len(self.wanted_shares) and not moved:
            return
        self.epoch += 1
        self.wanted_shares, self.living, self.epoch_started_at, self.dirty = share, len(living), now, True
        for node in living:
            self.scheduler.expedite(now, node)

    def _divide(self, living: list[str]) -> dict[str, float]:
        floor = FLOOR_SHARE / len(self.nodes)
        # what a silent node may hold above its floor is not available to others
        lives = set(living)
        silent = sum(max(self.held_shares[n] - floor, 0.0) for n in self.nodes if n not in lives)
        rest = max(1.0 - FLOOR_SHARE - silent, 0.0)
        mean = sum(self.rates.get(n, (0, 0, 0, 0.0))[3] for n in living) / len(living)
        weight = {n: 0.5 * mean + 0.5 * self.rates.get(n, (0, 0, 0, 0.0))[3] if mean else 1.0 for n in living}
        total = sum(weight.values())
        return {n: floor + rest * weight[n] / total for n in living}

    def _grow_shares(self) -> None:
        """Raises bounds to the wanted shares as far as other nodes have released theirs."""
        free = 1.0 - sum(self.held_shares.values())
        for node in self.nodes:
            more = self.wanted_shares.get(node, 0.0) - self.held_shares[node]
            if EPSILON < more <= free + EPSILON:
                self.held_shares[node], self.dirty = self.wanted_shares[node], True
                free -= more
