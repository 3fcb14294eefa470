"""A node as the target of owners: they act on it through its admin address, and it asks the instances for the
current tokens.
"""

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

MAX_ACT_ARGUMENT_BYTES = 480
EXPIRY_DELAY_S = 0.05  # the node checks for expired ejections this long after the first is due


def load_owners_for_node(path: str, config: Config) -> OwnerEndpoints:
    """Reads the file of the instances whose owners may act on the node; raises ConfigError."""
    if config.admin is None:
        raise ConfigError(f"owner {path}: the configuration names no admin_addr, by which owners act")
    try:
        return load_owners(path)
    except OwnerError as error:
        raise ConfigError(str(error)) from None


class OwnedNode:
    """Carries out the acts of owners, and readmits ejected hosts whose ejection has expired."""

    max_argument_bytes = MAX_ACT_ARGUMENT_BYTES

    def __init__(
        self, reactor: Any, handler: SessionHandler, owners: OwnerEndpoints, name: str, nodes: int,
        operator_bans: Callable[[], Iterable[str]],
    ) -> None:  # fmt: skip
        self.name, self.reactor, self.handler, self.operator_bans = name, reactor, handler, operator_bans
        # The second process of an upgrade is another target, to which the owners have to send their state
        # again. The number of the life is random: one taken from a clock that was set back could be that of
        # an earlier life, and this process would be taken for one that has the state.
        life = int.from_bytes(os.urandom(6), "big") + 1
        self.target = Target(
            life,
            max(nodes, 1),
            self._running_hosts,
            self._failing_hosts,
            self._is_healthy,
            handler.metrics.total_answers,
        )
        self.token_recovery = TokenRecovery(reactor, owners, self.target.fence.record_token)
        self.expiry_timer: Any = None
        self.ejected: set[str] = set()  # uids of the hosts that are ejected here by the owner of hosts

    def act(self, work: str, token: str, body: str, on_answer: AnswerCallback) -> None:
        """Carries out an act completely within this call, or refuses it."""
        now = self.handler.clock()
        try:
            number, fields = int(token), orjson.loads(body)
        except ValueError:
            on_answer(nak("bad-act"))
            return
        # An act that arrived while the process was suspended may be out of date; an owner that still wants it
        # sends it again.
        answer = (
            {"no": "was-away"}
            if self.handler.read_delay()
            else self.target.execute(now, work, number, fields)
        )
        values = {"work": work, "token": number, "at": now, "target": self.name}
        if "no" in answer:
            reason = answer["no"]
            if reason == "asks-first":
                self.token_recovery.recover(work)
            logger.bind(event={"ev": "refused-at", "reason": reason, **values}).info(
                "owner refused work={} token={} reason={}", work, number, reason
            )
            on_answer(nak(reason))
            return
        logger.bind(event={
            "ev": "acted", "number": fields.get("number", fields.get("epoch")), "share": self.target.share,
            "epoch": self.target.epoch, "living": self.target.living, "out": list(self.target.ejected_until),
            **values,
        }).debug("owner act work={} token={}", work, number)  # fmt: skip
        self._apply_ejections(now)
        on_answer(ack(orjson.dumps(answer).decode()))

    def is_ejected(self, uid: str) -> bool:
        return self.target.is_out(self.handler.clock(), uid)

    def stop(self) -> None:
        cancel(self.expiry_timer)
        self.token_recovery.stop()

    def lines(self) -> list[str]:
        return self.target.lines(self.handler.clock())

    # ---- hosts

    def _apply_ejections(self, now: float) -> None:
        """Excludes ejected hosts and readmits the others, except for those that an operator has excluded."""
        self.target.tick(now)
        hosts, banned_by_operator = self.handler.hosts, set(self.operator_bans())
        wanted = {uid for uid in self.target.ejected_until if uid in hosts.index_by_uid}
        for uid in sorted(wanted ^ self.ejected):
            if uid not in banned_by_operator:
                self.handler.set_ban(uid, uid in wanted)
        self.ejected = wanted
        cancel(self.expiry_timer)
        self.expiry_timer = None
        if self.target.ejected_until:
            wait = max(self.target.due - now, 0.0) / 1000.0 + EXPIRY_DELAY_S
            self.expiry_timer = self.reactor.callLater(wait, self._ejection_expired)

    def _ejection_expired(self) -> None:
        self.expiry_timer = None
        self._apply_ejections(self.handler.clock())

    def _running_hosts(self) -> list[str]:
        hosts = self.handler.hosts
        return [u for u, state in zip(hosts.uids, hosts.states, strict=True) if state is HostState.RUNNING]

    def _observations(self) -> list:
        return self.handler.balancer.fleet_state.host_observations(self.handler.clock())

    def _failing_hosts(self) -> list[str] | None:
        if self.handler.balancer.fleet_state.sees_most_failing(FAILING_SHARE_LIMIT):
            return None
        uids = [
            self.handler.hosts.uids[observation.host]
            for observation in self._observations()
            if not observation.reachable
        ]
        return [
            uid for uid in uids if ID_PATTERN.fullmatch(uid.encode()) and '"' not in uid and "\\" not in uid
        ]

    def _is_healthy(self, uid: str) -> bool:
        h = self.handler.hosts.index_by_uid.get(uid)
        return any(observation.reachable and observation.host == h for observation in self._observations())
