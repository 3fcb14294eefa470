"""Owned work, whatever it is: take the lease, go on from what the last owner committed, act under the token.

A pure state machine: time and answers in; commands to propose, acts to send and what to note out. Nothing is
done under a state that is not committed, and nothing is sent without a look at the lease just before; what is
late all the same is refused where it acts, by its token.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple, Protocol

from caperdeck.core.seeded_random import chance

from .census_state import StateError
from .expiry import RETRY_SHARE, LeaseHolder

# a runner's two client sessions: one command of each is under way at a time
LEASE_SESSION, STATE_SESSION = 0, 1
REQUEST_BACKOFF = (0.1, 0.3)  # of a span, while somebody else holds the work
# spans in which one that cannot read the last owner's state leaves the work to others
UNREADABLE_STATE_BACKOFF = 4.0


class SaveState(NamedTuple):
    """A work's state, to be committed before anything else is done."""

    state: str


class Action(NamedTuple):
    target: str
    body: dict[str, Any]
    token: int = 0


class Proposal(NamedTuple):
    session: int
    serial: int
    command: dict[str, Any]


class RunnerEvent(NamedTuple):
    """Something that operators and histories are told."""

    name: str  # held, renewed, lost, refused
    token: int
    target: str = ""
    reason: str = ""
    body: Any = None


class OwnedWork(Protocol):
    """Steps that may be repeated; an act that got no answer may have been carried out, or be so later."""

    name: str

    @property
    def due(self) -> float: ...

    def begin(self, now: float, state: str | None) -> None: ...

    def next_step(self, now: float) -> SaveState | list[Action]: ...

    def state_committed(self, now: float) -> None: ...

    def handle_reply(self, now: float, target: str, reply: Any) -> None: ...


class PendingProposal:
    """A proposal under way, sent again under its own number until its answer is known."""

    __slots__ = ("serial", "command", "first_sent_at", "sent_at")

    def __init__(self, serial: int, command: dict[str, Any], now: float) -> None:
        self.serial, self.command, self.first_sent_at, self.sent_at = serial, command, now, now


class Runner:
    def __init__(self, work: OwnedWork, name: str, span: float, seed: int) -> None:
        self.work, self.holder, self.seed, self.draws = work, LeaseHolder(work.name, name, span), seed, 0
        self.token = 0  # under which the work runs
        self.pending: list[PendingProposal | None] = [None, None]
        self.last_serials = [0, 0]
        self.next_request_at = 0.0
        self.held_elsewhere = False  # as far as this instance knows, somebody else holds the work
        self.pending_handover: dict[str, Any] | None = None  # to give the work back or hand it over
        self.outputs: list[Proposal | Action | RunnerEvent] = []
        self.refused: dict[str, int] = {}

    @property
    def due(self) -> float:
        """When to be called next, with nothing coming in."""
        span = self.holder.span
        times = [proposal.sent_at + span * RETRY_SHARE for proposal in self.pending if proposal is not None]
        if self.pending[LEASE_SESSION] is None:
            times.append(self.holder.renew_at if self.token else self.next_request_at)
        if self.token:
            times += [
                self.holder.expires_at,
                self.work.due if self.pending[STATE_SESSION] is None else math.inf,
            ]
        return min(times)

    def tick(self, now: float) -> list[Proposal | Action | RunnerEvent]:
        self._maintain_lease(now)
        for session in (LEASE_SESSION, STATE_SESSION):
            proposal = self.pending[session]
            if proposal is not None and now - proposal.sent_at >= self.holder.span * RETRY_SHARE:
                proposal.sent_at = now
                self.outputs.append(Proposal(session, proposal.serial, proposal.command))
        if self.token and self.pending[STATE_SESSION] is None:
            self._run_work(now)
        outputs, self.outputs = self.outputs, []
        return outputs

    # ---- the lease

    def _maintain_lease(self, now: float) -> None:
        holder = self.holder
        if self.token and not holder.may_act(now):
            # Danger: a renewal still under way would give the lease back, and with it the state as of the
            # grant, which the work has long gone on from.
            self._lose_lease("ended")
        pending = self.pending[LEASE_SESSION]
        if pending is not None and now - pending.first_sent_at >= holder.span:
            # Danger: a grant counts from when it was first asked for; past a span its answer gives nothing.
            pending = self.pending[LEASE_SESSION] = None
        if pending is not None or (not holder.token and now < self.next_request_at):
            return
        if not holder.token and self.held_elsewhere:
            # it costs the agreement an entry a question to be told so
            self._back_off(now)
            return
        command = holder.next_command(now)
        if holder.token and self.pending_handover is not None:
            command = self.pending_handover | {"work": self.work.name, "token": holder.token}
            self._stop_work(command["do"])
            holder.token, self.next_request_at = 0, now + holder.span
        if command is not None:
            self._propose(now, LEASE_SESSION, command)

    def _propose(self, now: float, session: int, command: dict[str, Any]) -> None:
        self.last_serials[session] += 1
        self.pending[session] = PendingProposal(self.last_serials[session], command, now)
        self.outputs.append(Proposal(session, self.last_serials[session], command))

    def handle_result(self, now: float, session: int, serial: int, result: Any) -> None:
        """What became of a proposal; None is not known, and it is asked again in its time."""
        proposal = self.pending[session]
        if proposal is None or proposal.serial != serial or result is None:
            return
        self.pending[session] = None
        if session == LEASE_SESSION:
            self._handle_lease_result(now, proposal, result)
        elif "no" in result:
            # Danger: the state did not stand; acts that rest on it would be another owner's to make.
            self._lose_lease(result["no"])
        elif self.token == proposal.command["token"]:
            self.work.state_committed(now)

    def _handle_lease_result(self, now: float, proposal: PendingProposal, result: dict[str, Any]) -> None:
        if proposal.command["do"] in ("acquire", "renew"):
            self.holder.handle_answer(now, proposal.first_sent_at, result)
        if not self.holder.token:
            self._back_off(now)
        elif proposal.command["do"] == "renew" and self.token == self.holder.token and "no" not in result:
            self.outputs.append(RunnerEvent("renewed", self.token))
        if self.token != self.holder.token:
            self._stop_work(self.holder.loss_reason or "granted-anew")
            if self.holder.may_act(now):
                self.token = self.holder.token
                self._start_work(now)

    def _start_work(self, now: float) -> None:
        try:
            self.work.begin(now, self.holder.state)
        except StateError as error:
            # Danger: work begun without what the last owner kept would deal out anew what is held already.
            self._count_refused(f"state-{error}")
            self._lose_lease(f"state-{error}")
            self.next_request_at = now + UNREADABLE_STATE_BACKOFF * self.holder.span
        else:
            self.outputs.append(RunnerEvent("held", self.token))

    def _count_refused(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def _back_off(self, now: float) -> None:
        low, high = REQUEST_BACKOFF
        self.draws += 1
        wait = self.holder.span * (low + (high - low) * chance(self.seed, self.draws))
        self.next_request_at = max(self.next_request_at, now + wait)

    def _stop_work(self, reason: str) -> None:
        """Nothing more is done under the token; answers to what is under way are not taken."""
        if self.token:
            self.outputs.append(RunnerEvent("lost", self.token, reason=reason))
            # what an operator wished of this lease is no wish for a later one
            self.token, self.pending[STATE_SESSION], self.pending_handover = 0, None, None

    def _lose_lease(self, reason: str) -> None:
        self.holder.token, self.holder.loss_reason = 0, reason
        self._stop_work(reason)

    def give_up(self, to: str | None) -> str | None:
        """Gives the work back, or hands it over; the reason if it is not held."""
        if not self.token:
            return "not-held"
        self.pending_handover = {"do": "give"} if to is None else {"do": "hand", "to": to}
        return None

    # ---- the work

    def _run_work(self, now: float) -> None:
        step = self.work.next_step(now)
        if isinstance(step, SaveState):
            command = {"do": "save", "work": self.work.name, "token": self.token, "state": step.state}
            self._propose(now, STATE_SESSION, command)
            return
        for action in step:
            self.outputs.append(action._replace(token=self.token))

    def handle_reply(self, now: float, action: Action, reply: Any) -> None:
        """The target's answer; None if none came, a dict with `no` if it was refused."""
        if action.token != self.token:
            return
        if isinstance(reply, dict) and "no" in reply:
            reason = str(reply["no"])
            self._count_refused(reason)
            self.outputs.append(RunnerEvent("refused", self.token, action.target, reason))
            if reason == "older-token":
                self._lose_lease(reason)
                return
            reply = None
        self.work.handle_reply(now, action.target, reply)
