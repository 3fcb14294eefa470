"""A node as the target of owners' requests: the fence, and the local side of both works. No I/O.

An action is executed completely in the call that checks its token, or not at all. This node limits what an
action can do, whoever sends it: only a share of the hosts can be ejected, each for a limited time, and the
node's share changes only with a later epoch.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from .fence import Fence

HOSTS, CENSUS = "hosts", "census"
MAX_EJECTED_SHARE = 0.25  # of the listed hosts, by fleet-wide ejections
MAX_ACTION_MS = 30_000.0  # limit of one ejection request
FLOOR_SHARE = 0.5  # share of an equal share that a node holds without instructions
MAX_REPORTED_HOSTS = 16  # hosts per category in a reply
NO_ACTION = (0, 0)


class Target:
    """Executes requests of owners.

    `listed_hosts` returns the uids of the hosts on this node's list; `failing_hosts` those that do not answer
    it, or None if it sees most hosts failing; `is_healthy` tells whether a host has answered recently;
    `session_count` returns the session attempts so far.
    """

    def __init__(
        self, life: int, nodes: int, listed_hosts: Callable[[], list[str]],
        failing_hosts: Callable[[], list[str] | None], is_healthy: Callable[[str], bool],
        session_count: Callable[[], int],
    ) -> None:  # fmt: skip
        self.fence = Fence()
        self.life, self.nodes = life, nodes
        self.listed_hosts, self.failing_hosts, self.is_healthy, self.session_count = (
            listed_hosts,
            failing_hosts,
            is_healthy,
            session_count,
        )
        self.ejected_until: dict[str, float] = {}  # by uid
        self.last_ejection = NO_ACTION  # token and sequence number
        self.epoch, self.share, self.living = 0, FLOOR_SHARE / nodes, 0
        self.refused: dict[str, int] = {}
        self.accepted = 0

    def execute(self, now: float, work: str, token: int, body: Any) -> dict[str, Any]:
        """Executes a request; returns its result, or `no` with the reason if it was refused."""
        prepare = {HOSTS: self._prepare_ejection, CENSUS: self._prepare_share}.get(work)
        if prepare is None or not isinstance(body, dict):
            return self._refuse("no-such-work" if prepare is None else "bad-act")
        if (reason := self.fence.check(work, token)) is not None:
            return self._refuse(reason)
        try:
            outcome = prepare(now, token, body)
        except (KeyError, TypeError, ValueError):
            return self._refuse("bad-act")
        if isinstance(outcome, str):
            return self._refuse(outcome)
        self.accepted += 1
        return outcome()

    def _refuse(self, reason: str) -> dict[str, Any]:
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return {"no": reason}

    # ---- outlier ejection

    def _prepare_ejection(self, now: float, token: int, body: dict[str, Any]) -> Any:
        """Prepares an ejection: exactly these hosts are ejected for the duration from now on."""
        sequence, uids, duration = (token, body["number"]), list(dict.fromkeys(body["out"])), body["ms"]
        if not all(isinstance(x, str) for x in [*uids, *body["ask"]]) or not isinstance(sequence[1], int):
            return "bad-act"
        if isinstance(duration, bool) or not math.isfinite(duration) or not 0 < duration <= MAX_ACTION_MS:
            return "bad-span"
        if len(uids) > math.floor(MAX_EJECTED_SHARE * len(self.listed_hosts())):
            return "too-many-hosts"
        if sequence < self.last_ejection and token == self.last_ejection[0]:
            # A delayed request must not undo a later decision.
            return "older-act"

        def apply() -> dict[str, Any]:
            self.last_ejection = sequence
            self.ejected_until = dict.fromkeys(uids, now + duration)
            failing = self.failing_hosts()
            return {
                "life": self.life, "sound": failing is not None,
                "ill": (failing or [])[:MAX_REPORTED_HOSTS],
                "well": [uid for uid in body["ask"][:MAX_REPORTED_HOSTS] if self.is_healthy(uid)],
                "hosts": len(self.listed_hosts()),
            }  # fmt: skip

        return apply

    def is_out(self, now: float, uid: str) -> bool:
        """Tells whether the fleet has ejected the host."""
        return self.ejected_until.get(uid, -math.inf) > now

    @property
    def due(self) -> float:
        """Time at which the next ejection expires."""
        return min(self.ejected_until.values(), default=math.inf)

    def tick(self, now: float) -> list[str]:
        """Readmits hosts whose ejection was not renewed and returns their uids."""
        expired = [uid for uid, until in self.ejected_until.items() if until <= now]
        for uid in expired:
            del self.ejected_until[uid]
        return expired

    # ---- census

    def _prepare_share(self, now: float, token: int, body: dict[str, Any]) -> Any:
        """Prepares a new epoch; with epoch 0 the request only asks for a report."""
        epoch, share, living = body["epoch"], body["share"], body["living"]
        if not all(isinstance(x, int) and not isinstance(x, bool) and x >= 0 for x in (epoch, living)):
            return "bad-act"
        if isinstance(share, bool) or not math.isfinite(share) or not 0 <= share <= 1:
            return "bad-share"
        if body["nodes"] != self.nodes:
            # The node's floor is a share of another number of nodes, so the owner's sum would be wrong.
            return "other-count"
        if epoch and epoch < self.epoch:
            return "older-epoch"
        if epoch and body["life"] != self.life:
            # A delayed request of an old epoch could bring a larger share to a node that has restarted since.
            return "other-life"

        def apply() -> dict[str, Any]:
            if epoch:
                self.epoch, self.share, self.living = epoch, share, living
            return {
                "life": self.life,
                "epoch": self.epoch,
                "share": self.share,
                "tries": self.session_count(),
            }

        return apply

    # ---- metrics

    def lines(self, now: float) -> list[str]:
        """Returns the metrics as lines."""
        rows = {
            "epoch": self.epoch, "share": round(self.share, 6), "living": self.living,
            "hosts_out": sum(until > now for until in self.ejected_until.values()),
            "acts_taken": self.accepted,
        }  # fmt: skip
        lines = [f"app_owner_{name} {value}" for name, value in rows.items()]
        lines += [f'app_owner_token{{work="{w}"}} {t}' for w, t in sorted(self.fence.highest.items())]
        refused = sorted(self.refused.items())
        return lines + [f'app_owner_refused_total{{reason="{reason}"}} {n}' for reason, n in refused]
