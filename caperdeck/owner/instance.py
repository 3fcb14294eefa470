"""One owner instance: Raft with disk and network, the expiry of leases, and the runners of owned work."""

from __future__ import annotations

import os
import zlib
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson
from loguru import logger
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from caperdeck.core.seeded_random import chance
from caperdeck.distribution.server import Distribution
from caperdeck.leases.census import Census
from caperdeck.leases.expiry import LeaseExpiryMonitor
from caperdeck.leases.outlier_ejection import OutlierEjection
from caperdeck.leases.runner import Action, Proposal, Runner, RunnerEvent
from caperdeck.leases.table import LeaseTable
from caperdeck.leases.target import CENSUS, HOSTS
from caperdeck.lifecycle.logs import traceback_line
from caperdeck.raft.core import Raft, Role, Save
from caperdeck.raft.driver import Driver
from caperdeck.raft.log import Entry, Members
from caperdeck.raft.sessions import Sessions
from caperdeck.raft.storage import Storage, StorageError
from caperdeck.raft.transport import AnswerCallback, Network
from caperdeck.state.timers import cancel

from .config import OwnerConfig
from .node_links import NodeLinks, action_line
from .replicated_state import ReplicatedState, is_lease_command, wrap_versions_command

WORKS = {HOSTS: OutlierEjection, CENSUS: Census}
MIN_WAIT_MS = 2.0  # between two runs of the main loop while nothing arrives
EXPIRE_RETRY_MS = 200.0
MAX_WAIT_MS = 250.0  # between two runs of the main loop
SUSPENDED_AFTER_MS = 1250.0  # a longer gap means that the process was suspended or starved
MAX_WATCH_MS = 10_000.0  # limit of the time that a watch call waits
MAX_PENDING_CALLS = 64  # calls that wait for a result
MAX_COMMAND_BYTES = 1 << 20  # limit of a lease command; saved states are far smaller


class Instance:
    """Runs an instance on a Twisted reactor.

    `clock` returns milliseconds, never steps and counts while the machine sleeps. `on_failure` is called
    once, with a reason, if the disk fails.
    """

    def __init__(
        self, reactor: Any, config: OwnerConfig, clock: Callable[[], float],
        on_failure: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.reactor, self.config, self.clock, self.on_failure = reactor, config, clock, on_failure
        self.storage = Storage(config.folder, config.cluster, config.me, Members(config.initial_voters))
        self.seed, self.draws = zlib.crc32(f"{config.cluster}/{config.me}".encode(), os.getpid()), 0
        self.replicated_state = ReplicatedState()
        self.table = self.replicated_state.leases
        self.sessions = Sessions(self.replicated_state)
        log, now = self.storage.log, clock()
        self.sessions.load(log.snapshot.data)
        raft = Raft(config.me, self.storage.term, self.storage.voted_for, copy_log(log), self.seed, now)
        self.pool = ThreadPool(1, 1, "disk")
        self.driver = Driver(
            raft, self.sessions, clock, self._write, self._send, self._role_changed, self._applied
        )
        self.net = Network(
            reactor, config.cluster, config.me, config.instances, self._receive, self._handle_call,
            self._random,
        )  # fmt: skip
        self.distribution = Distribution(
            self.driver, self.net, self.replicated_state.versions, f"o{config.me}", self._at_leader,
            wrap_versions_command,
        )  # fmt: skip
        self.expiry_monitor: LeaseExpiryMonitor | None = None
        self.expiry_proposed_at: dict[str, float] = {}
        self.nodes = NodeLinks(reactor, config.nodes)
        names = list(config.nodes)
        self.runners = {
            w: Runner(WORKS[w](names, self.seed), f"o{config.me}", config.span, self.seed + i)
            for i, w in enumerate(config.works) if names
        }  # fmt: skip
        # random: a new process restarts its serial numbers, so it must not reuse the client ids of another
        self.client_ids = {w: int.from_bytes(os.urandom(6), "big") * 2 + 2 for w in self.runners}
        self.timer: Any = None
        self.pending_calls = 0
        self.watchers: list[
            tuple[str, int, float, AnswerCallback]
        ] = []  # work, known token, deadline, callback
        self.last_run_at = now
        self.closed = False
        self.event_counts: dict[str, int] = {}

    def start(self) -> None:
        """Listens for other instances and starts the main loop."""
        self.pool.start()
        if self.storage.torn_bytes:
            logger.warning("owner reason=torn-tail bytes={}", self.storage.torn_bytes)
        self.net.listen(self.config.listen)
        logger.info("owner start cluster={} me=o{} members={} log={}", self.config.cluster, self.config.me,
                    ",".join(map(str, self.raft.members.all)), self.raft.log.last_index)  # fmt: skip
        self._run_due()

    def close(self) -> None:
        """Stops the instance; a write in progress is completed."""
        if not self.closed:
            self.closed = True
            self.driver.close()
            self.net.close()
            self.nodes.close()
            self.distribution.close()
            cancel(self.timer)
            # Wait for a write in progress: half of it would be cut off as torn, and nothing depends on it
            # yet.
            self.pool.stop()
            self.storage.close()

    @property
    def raft(self) -> Raft:
        return self.driver.raft

    def _random(self) -> float:
        self.draws += 1
        return chance(self.seed + 1, self.draws)

    def event(self, ev: str, level: str = "INFO", **values: Any) -> None:
        """Logs an event as one line, and as structured data for collectors of histories."""
        self.event_counts[ev] = self.event_counts.get(ev, 0) + 1
        fields = " ".join(f"{key}={value}" for key, value in values.items())
        logger.bind(event={"ev": ev, **values}).log(level, "owner {} {}", ev, fields)

    # ---- main loop

    def _run_due(self) -> None:
        """Runs all that is due and sets the timer for the next run."""
        cancel(self.timer)
        self.timer = None
        if self.closed:
            return
        now = self.clock()
        if now - self.last_run_at > SUSPENDED_AFTER_MS:
            # Leases and elections are based on the clock, not on runs of this loop, so nothing else needs to
            # be done.
            logger.warning("owner away ms={:.0f}", now - self.last_run_at)
        self.last_run_at = now
        self.driver.tick()
        self._expire_leases(now)
        self._answer_watchers()
        self.distribution.run_due()
        for work in self.runners:
            self._run_work(work)
        if self.closed:
            return
        now = self.clock()
        runners = (r.due for r in self.runners.values())
        due = min([self.raft.due, now + MAX_WAIT_MS, self.distribution.due, *runners])
        self.timer = self.reactor.callLater(max(due - now, MIN_WAIT_MS) / 1000.0, self._run_due)

    def _wake(self) -> None:
        if self.timer is not None and not self.closed:
            self.timer.reset(0)

    def _expire_leases(self, now: float) -> None:
        if self.expiry_monitor is None or self.raft.role is not Role.LEADER:
            return
        for command in self.expiry_monitor.check(now):
            if now >= self.expiry_proposed_at.get(command["work"], 0.0):
                self.expiry_proposed_at[command["work"]] = now + EXPIRE_RETRY_MS
                self.driver.propose(orjson.dumps(command), 0, 0, lambda _: None)

    def _run_work(self, work: str) -> None:
        runner, row = self.runners[work], self.table.row(work)
        runner.held_elsewhere = row is not None and not {row["holder"], row["heir"]} <= {
            None,
            runner.holder.name,
        }
        for output in runner.tick(self.clock()):
            match output:
                case Proposal(session, serial, command):
                    on_answer = partial(self._proposal_answered, work, session, serial)
                    self._submit(command, self.client_ids[work] + session, serial, on_answer)
                case Action():
                    self._execute(work, output)
                case RunnerEvent():
                    self._log_runner_event(work, output)

    def _proposal_answered(self, work: str, session: int, serial: int, result: Any) -> None:
        if result is not None:
            self.runners[work].handle_result(self.clock(), session, serial, result)
            self._wake()

    def _execute(self, work: str, action: Action) -> None:
        runner = self.runners[work]
        # The process may have been suspended since the runner checked the lease. If it is suspended after
        # this line, only the check at the target refuses the action.
        if not runner.holder.may_act(self.clock()) or runner.holder.token != action.token:
            return
        line = action_line(work, action.token, action.body)
        self.nodes.send(action.target, line, lambda reply: self._action_answered(work, action, reply))

    def _action_answered(self, work: str, action: Action, reply: Any) -> None:
        if not self.closed:
            self.runners[work].handle_reply(self.clock(), action, reply)
            self._wake()

    def _log_runner_event(self, work: str, runner_event: RunnerEvent) -> None:
        values = {"work": work, "holder": f"o{self.config.me}", "token": runner_event.token}
        if runner_event.target:
            values["target"] = runner_event.target
        if runner_event.reason:
            values["reason"] = runner_event.reason
        self.event(runner_event.name, "DEBUG" if runner_event.name == "renewed" else "INFO", **values)

    # ---- proposals and reads, here or at the leader

    def _submit(self, command: dict[str, Any], client: int, serial: int, on_answer: AnswerCallback) -> None:
        if self.raft.role is Role.LEADER:
            self.driver.propose(orjson.dumps(command), client, serial, on_answer)
        elif self.raft.leader is not None:
            body = {"do": "propose", "command": command, "client": client, "serial": serial}
            self.net.call(self.raft.leader, body, on_answer)
        else:
            on_answer(None)

    def _handle_call(self, body: Any, on_answer: AnswerCallback) -> None:
        """Handles a call from an instance, a node or an operator; the answer is None if it is unknown."""
        call_name = body.get("do") if isinstance(body, dict) else None
        handler = {
            "propose": self._on_propose, "token": self._on_token, "status": self._on_status,
            "leave": self._on_leave, "release": self._on_release, "members": self._on_members,
            "transfer": self._on_transfer, "watch": self._on_watch, **self.distribution.calls,
        }.get(call_name) if isinstance(call_name, str) else None  # fmt: skip
        if handler is None or self.closed:
            on_answer({"no": "unknown-call"})
            return
        if self.pending_calls >= MAX_PENDING_CALLS:
            on_answer({"no": "too-many-calls"})
            return
        self.pending_calls += 1
        waiting = [on_answer]

        def answer(value: Any) -> None:
            if waiting:
                self.pending_calls -= 1
                waiting.pop()(value)
                self._wake()

        try:
            handler(body, answer)
        except (KeyError, TypeError, ValueError):
            answer({"no": "bad-call"})

    def _at_leader(self, body: dict[str, Any], on_answer: AnswerCallback) -> bool:
        """Tells whether this instance is the leader; otherwise forwards the call to the leader, once."""
        if self.raft.role is Role.LEADER:
            return True
        if body.get("passed") or self.raft.leader is None:
            on_answer(None)
        else:
            self.net.call(self.raft.leader, body | {"passed": True}, on_answer)
        return False

    def _on_propose(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        client, serial = body["client"], body["serial"]
        if not all(isinstance(x, int) and 0 <= x < 1 << 53 for x in (client, serial)):
            raise ValueError
        data = orjson.dumps(body["command"])
        # An entry that fits into no frame would be resent to the other instances for ever.
        if len(data) > MAX_COMMAND_BYTES or not is_lease_command(body["command"]):
            raise ValueError
        if self.raft.role is Role.LEADER:
            self.driver.propose(data, client, serial, on_answer)
        else:
            on_answer(None)

    def _on_token(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        """Answers with the highest token granted for a work, read linearizably."""
        work = body["work"]
        if not isinstance(work, str):
            raise ValueError
        if self._at_leader(body, on_answer):
            self.driver.read(
                lambda state: on_answer(None if state is None else {"token": last_token(state.leases, work)})
            )

    def _on_status(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        raft, now = self.raft, self.clock()
        # after a suspension a lease may have expired without the runner having noticed it yet
        active = {w: r for w, r in self.runners.items() if r.token and r.holder.may_act(now)}
        on_answer({
            "me": self.config.me, "role": raft.role.name.lower(), "term": raft.term, "leader": raft.leader,
            "voters": raft.members.voters, "learners": raft.members.learners, "log": raft.log.last_index,
            "commit": raft.commit_index, "snapshot": raft.log.snapshot.index, "dropped": self.net.dropped,
            "events": self.event_counts, "watches": self.distribution.watch_server.statistics(),
            # this copy of the table may be older than the answers to the runner
            "holds": {
                w: {"token": r.token, "left": round(r.holder.expires_at - now)} for w, r in active.items()
            },
            "refused": {w: r.refused for w, r in self.runners.items() if r.refused},
            "works": {
                w: {"holder": row["holder"], "heir": row["heir"], "token": row["token"]}
                for w, row in self.table.works.items()
            },
        })  # fmt: skip

    def _on_watch(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        """Answers once the holder differs from the known one in the local copy, or after a time limit."""
        work, known = body["work"], body.get("token", 0)
        if not isinstance(work, str) or isinstance(known, bool) or not isinstance(known, int):
            raise ValueError
        self.watchers.append((work, known, self.clock() + MAX_WATCH_MS, on_answer))
        self._answer_watchers()

    def _answer_watchers(self) -> None:
        now, waiting, self.watchers = self.clock(), self.watchers, []
        for work, known, until, on_answer in waiting:
            row = self.table.row(work) or {"holder": None, "token": 0}
            if row["token"] == known and row["holder"] is not None and now < until:
                self.watchers.append((work, known, until, on_answer))
            else:
                on_answer({"holder": row["holder"], "token": row["token"]})

    def _on_leave(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        runner = self.runners.get(body["work"])
        to = body.get("to")
        if runner is None or not (to is None or isinstance(to, str)):
            raise ValueError
        reason = runner.give_up(to)
        on_answer({"no": reason} if reason else {"ok": True})

    def _on_release(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        """Ends a lease whatever its holder does; actions of the holder are refused once another instance is
        granted it.
        """
        row = self.table.row(body["work"])
        if row is None:
            on_answer({"no": "unknown-work"})
        elif self._at_leader(body, on_answer):
            # An expire command names the count of renewals, so it could not end a lease that is still
            # renewed.
            command = {"do": "release", "work": body["work"], "token": row["token"]}
            self.driver.propose(orjson.dumps(command), 0, 0, on_answer)

    def _on_members(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        """Adds an instance as a learner, promotes a learner to a voter, or removes an instance."""
        number, add = body["number"], body["add"]
        if isinstance(number, bool) or not isinstance(number, int) or number not in self.config.instances:
            on_answer({"no": "unknown-instance"})
        elif self._at_leader(body, on_answer):
            voters, learners = (tuple(i for i in ids if i != number) for ids in self.raft.members)
            if add and number in self.raft.members.all:
                voters = (*voters, number)
            elif add:
                learners = (*learners, number)
            reason = self.driver.change_members(Members(voters, learners))
            on_answer({"no": reason} if reason else {"voters": voters, "learners": learners})

    def _on_transfer(self, body: dict[str, Any], on_answer: AnswerCallback) -> None:
        if self._at_leader(body, on_answer):
            reason = self.raft.transfer_leadership(self.clock(), body["number"])
            on_answer({"no": reason} if reason else {"ok": True})

    # ---- callbacks of the driver

    def _write(self, save: Save, done: Callable[[], None]) -> None:
        deferred = deferToThreadPool(self.reactor, self.pool, self.storage.write, save)
        deferred.addCallback(lambda _: self._written(done)).addErrback(self._write_failed)

    def _written(self, done: Callable[[], None]) -> None:
        if not self.closed:
            done()
            self._wake()

    def _write_failed(self, failure: Any) -> None:
        # Nothing may be answered or sent that depends on a write which may not be on disk.
        self.driver.close()
        known = failure.check(StorageError) is not None
        self.on_failure(str(failure.value) if known else traceback_line(failure))

    def _receive(self, message: Any) -> None:
        self.driver.receive(message)
        self._wake()

    def _send(self, to: int, message: Any) -> None:
        self.net.send(to, message)

    def _role_changed(self, role: Role, term: int, leader: int | None) -> None:
        self.expiry_monitor = LeaseExpiryMonitor(self.table, self.clock()) if role is Role.LEADER else None
        self.expiry_proposed_at = {}
        if role in (Role.LEADER, Role.FOLLOWER):
            name = "-" if leader is None else f"o{leader}"
            self.event("leader", at=f"o{self.config.me}", leader=name, term=term)

    def _applied(self, index: int, entry: Entry, result: Any) -> None:
        now = self.clock()
        if self.expiry_monitor is not None:
            self.expiry_monitor.check(now)
        if isinstance(result, dict) and "state" in result and self.raft.role is Role.LEADER:
            command = orjson.loads(entry.data)
            self.event("grant", at=f"o{self.config.me}", work=command["work"], holder=command["holder"],
                       token=result["token"])  # fmt: skip


def copy_log(log: Any) -> Any:
    """Returns a separate log for Raft; the storage's log reflects what is on disk."""
    return type(log)(log.snapshot, log.entries)


def last_token(table: LeaseTable, work: str) -> int:
    """Returns the highest token granted for the work; 0, which is never granted, if there was none."""
    row = table.row(work)
    return row["token"] if row is not None else 0
