"""Runs any owned work: takes the lease, resumes from the state that the last owner committed, acts under the
token.

A pure state machine: time and results in; proposals, actions and events out. Nothing is done before the state
that it is based on is committed, and nothing is sent without checking the lease just before. An action that
is late nevertheless is refused by its target because of the token.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple, Protocol

from caperdeck.core.seeded_random import chance

from .census_state import StateError
from .expiry import RETRY_SHARE, LeaseHolder

# the two client sessions of a runner; each has one command in flight
LEASE_SESSION, STATE_SESSION = 0, 1
REQUEST_BACKOFF = (0.1, 0.3)  # shares of the span, while another instance holds the work
# spans; an instance that cannot read the saved state leaves the work to others for this long
UNREADABLE_STATE_BACKOFF = 4.0


class SaveState(NamedTuple):
    """The state of a work, to be committed before the work continues."""

    state: str


class Action(NamedTuple):
    """A request to a target, executed under the token."""

    target: str
    body: dict[str, Any]
    token: int = 0


class Proposal(NamedTuple):
    """A command to propose to the replicated state machine."""

    session: int
    serial: int
    command: dict[str, Any]


class RunnerEvent(NamedTuple):
    """An event for the log and for recorded histories."""

    name: str  # held, renewed, lost, refused
    token: int
    target: str = ""
    reason: str = ""
    body: Any = None


class OwnedWork(Protocol):
    """Work that can be owned. Its actions must be repeatable: one without a reply may have been executed, or
    may be later.
    """

    name: str

    @property
    def due(self) -> float:
        """Time of the next step if nothing arrives before."""
        ...

    def begin(self, now: float, state: str | None) -> None:
        """Restores the state that the previous owner saved; raises StateError if it cannot."""
        ...

    def next_step(self, now: float) -> SaveState | list[Action]:
        """Returns a state to commit, or the actions to send now."""
        ...

    def state_committed(self, now: float) -> None:
        """Called once the returned state is committed."""
        ...

    def handle_reply(self, now: float, target: str, reply: Any) -> None:
        """Handles the reply of a target, None if there was none."""
        ...


class PendingProposal:
    """A command without a known result; it is resent under the same serial number."""

    __slots__ = ("serial", "command", "first_sent_at", "sent_at")

    def __init__(self, serial: int, command: dict[str, Any], now: float) -> None:
        self.serial, self.command, self.first_sent_at, self.sent_at = serial, command, now, now


class Runner:
    """Holds the lease of one work as long as possible and runs the work meanwhile."""

    def __init__(self, work: OwnedWork, name: str, span: float, seed: int) -> None:
        self.work, self.holder, self.seed, self.draws = work, LeaseHolder(work.name, name, span), seed, 0
        self.token = 0  # the token that the work runs under; 0 if it does not run
        self.pending: list[PendingProposal | None] = [None, None]
        self.last_serials = [0, 0]
        self.next_request_at = 0.0
        self.held_elsewhere = False  # according to this instance's copy of the table
        self.pending_handover: dict[str, Any] | None = None  # the command to release the lease or pass it on
        self.outputs: list[Proposal | Action | RunnerEvent] = []
        self.refused: dict[str, int] = {}

    @property
    def due(self) -> float:
        """Time of the next call if nothing arrives before."""
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
        """Returns the proposals, actions and events that are due."""
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

    # ---- lease

    def _maintain_lease(self, now: float) -> None:
        holder = self.holder
        if self.token and not holder.may_act(now):
            # A renewal in flight would revive the lease with the state of its grant, although the work has
            # progressed since.
            self._lose_lease("ended")
        pending = self.pending[LEASE_SESSION]
        if pending is not None and now - pending.first_sent_at >= holder.span:
            # A grant counts from its first request; an answer after a whole span would grant nothing.
            pending = self.pending[LEASE_SESSION] = None
        if pending is not None or (not holder.token and now < self.next_request_at):
            return
        if not holder.token and self.held_elsewhere:
            # a request that is certain to be refused would cost a log entry
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
        """Handles the result of a proposal; None means unknown, so the proposal is resent later."""
        proposal = self.pending[session]
        if proposal is None or proposal.serial != serial or result is None:
            return
        self.pending[session] = None
        if session == LEASE_SESSION:
            self._handle_lease_result(now, proposal, result)
        elif "no" in result:
            # The state was not committed, so actions based on it would belong to another owner.
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
            # Without the saved state the work would assign again what is already held.
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
        """Stops the work under its token; results that arrive later are ignored."""
        if self.token:
            self.outputs.append(RunnerEvent("lost", self.token, reason=reason))
            # a requested handover applies to this lease only
            self.token, self.pending[STATE_SESSION], self.pending_handover = 0, None, None

    def _lose_lease(self, reason: str) -> None:
        self.holder.token, self.holder.loss_reason = 0, reason
        self._stop_work(reason)

    def give_up(self, to: str | None) -> str | None:
        """Releases the lease or passes it on to an heir; returns the reason if it is not held."""
        if not self.token:
            return "not-held"
        self.pending_handover = {"do": "give"} if to is None else {"do": "hand", "to": to}
        return None

    # ---- work

    def _run_work(self, now: float) -> None:
        step = self.work.next_step(now)
        if isinstance(step, SaveState):
            command = {"do": "save", "work": self.work.name, "token": self.token, "state": step.state}
            self._propose(now, STATE_SESSION, command)
            return
        for action in step:
            self.outputs.append(action._replace(token=self.token))

    def handle_reply(self, now: float, action: Action, reply: Any) -> None:
        """Handles the reply of a target: None if there was none, a dict with `no` if it refused."""
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
