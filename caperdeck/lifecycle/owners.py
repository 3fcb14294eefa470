"""A node under owners: their acts come in by the second address; what is asked of the instances goes out."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from typing import Any

import orjson
from loguru import logger

from caperdeck.core.model import HostState
from caperdeck.leases.target import Target
from caperdeck.gossip.judgements import FAILING_SHARE_LIMIT
from caperdeck.ops.admin_calls import ID_PATTERN, AnswerCallback, nak, ack
from caperdeck.owner.token_recovery import TokenRecovery
from caperdeck.owner.config import OwnerError, OwnerEndpoints, load_owners
from caperdeck.state.timers import cancel
from caperdeck.wire.session_handler import SessionHandler

from .config import Config, ConfigError

LONGEST_ACT = 480
BEHIND = 0.05  # seconds after a host's time that the node looks for it


def load_owners_for_node(path: str, config: Config) -> OwnerEndpoints:
    """Raises ConfigError."""
    if config.admin is None:
        raise ConfigError(f"owner {path}: the configuration names no admin_addr, by which owners act")
    try:
        return load_owners(path)
    except OwnerError as error:
        raise ConfigError(str(error)) from None


class OwnedNode:
    longest = LONGEST_ACT

    def __init__(
        self, reactor: Any, handler: SessionHandler, owners: OwnerEndpoints, name: str, nodes: int,
        bans: Callable[[], Iterable[str]],
    ) -> None:  # fmt: skip
        self.name, self.reactor, self.handler, self.bans = name, reactor, handler, bans
        # the second process of an upgrade is another target, which has yet to be told
        # Danger: by a clock that went back a new life could be taken for an old one, and be told its word.
        life = int.from_bytes(os.urandom(6), "big") + 1
        self.target = Target(
            life, max(nodes, 1), self._listed, self._ill, self._well, handler.metrics.total_answers
        )
        self.token_recovery = TokenRecovery(reactor, owners, self.target.fence.record_token)
        self.timer: Any = None
        self.in_force: set[str] = set()  # uids that are out here by the fleet's word

    def act(self, work: str, token: str, body: str, then: AnswerCallback) -> None:
        """Carried out whole in this call, or refused."""
        now = self.handler.clock()
        try:
            number, what = int(token), orjson.loads(body)
        except ValueError:
            then(nak("bad-act"))
            return
        # Danger: what lay here while the node slept was meant for another time; whoever still wants it asks
        # again.
        answer = (
            {"no": "was-away"} if self.handler.read_delay() else self.target.execute(now, work, number, what)
        )
        values = {"work": work, "token": number, "at": now, "target": self.name}
        if "no" in answer:
            reason = answer["no"]
            if reason == "asks-first":
                self.token_recovery.recover(work)
            logger.bind(event={"ev": "refused-at", "reason": reason, **values}).info(
                "owner refused work={} token={} reason={}", work, number, reason
            )
            then(nak(reason))
            return
        logger.bind(event={
            "ev": "acted", "number": what.get("number", what.get("epoch")), "share": self.target.share,
            "epoch": self.target.epoch, "living": self.target.living, "out": list(self.target.ejected_until),
            **values,
        }).debug("owner act work={} token={}", work, number)  # fmt: skip
        self._take_out(now)
        then(ack(orjson.dumps(answer).decode()))

    def is_out(self, uid: str) -> bool:
        return self.target.is_out(self.handler.clock(), uid)

    def stop(self) -> None:
        cancel(self.timer)
        self.token_recovery.stop()

    def lines(self) -> list[str]:
        return self.target.lines(self.handler.clock())

    # ---- hosts

    def _take_out(self, now: float) -> None:
        """Puts into force what the target holds: out by the fleet's word, or by an operator's here."""
        self.target.tick(now)
        hosts, by_hand = self.handler.hosts, set(self.bans())
        wanted = {uid for uid in self.target.ejected_until if uid in hosts.index_by_uid}
        for uid in sorted(wanted ^ self.in_force):
            if uid not in by_hand:
                self.handler.set_ban(uid, uid in wanted)
        self.in_force = wanted
        cancel(self.timer)
        self.timer = None
        if self.target.ejected_until:
            wait = max(self.target.due - now, 0.0) / 1000.0 + BEHIND
            self.timer = self.reactor.callLater(wait, self._timer_fired)

    in_force: set[str] = set()

    def _timer_fired(self) -> None:
        self.timer = None
        self._take_out(self.handler.clock())

    def _listed(self) -> list[str]:
        hosts = self.handler.hosts
        return [u for u, state in zip(hosts.uids, hosts.states, strict=True) if state is HostState.RUNNING]

    def _words(self) -> list:
        return self.handler.balancer.fleet_state.host_observations(self.handler.clock())

    def _ill(self) -> list[str] | None:
        if self.handler.balancer.fleet_state.sees_most_failing(FAILING_SHARE_LIMIT):
            return None
        uids = [self.handler.hosts.uids[w.host] for w in self._words() if not w.reachable]
        return [
            uid for uid in uids if ID_PATTERN.fullmatch(uid.encode()) and '"' not in uid and "\\" not in uid
        ]

    def _well(self, uid: str) -> bool:
        h = self.handler.hosts.index_by_uid.get(uid)
        return any(w.reachable and w.host == h for w in self._words())
