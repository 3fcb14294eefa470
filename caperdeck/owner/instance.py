"""One instance: agreement on a disk and a network, the warden of leases, and the runners of owned work."""

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
from caperdeck.leases.expiry import Warden
from caperdeck.leases.runner import Act, Note, Propose, Runner
from caperdeck.leases.table import Table
from caperdeck.leases.target import CENSUS, HOSTS
from caperdeck.leases.outlier_ejection import Turning
from caperdeck.lifecycle.logs import traceback_line
from caperdeck.raft.core import Raft, Role, Save
from caperdeck.raft.driver import Driver
from caperdeck.raft.log import Entry, Members
from caperdeck.raft.sessions import Sessions
from caperdeck.raft.storage import Storage, StorageError
from caperdeck.raft.transport import Net, Then
from caperdeck.state.timers import cancel

from .replicated_state import Agreed, for_versions, is_for_leases
from .config import OwnerConfig
from .node_links import NodeLinks, line_of

WORKS = {HOSTS: Turning, CENSUS: Census}
LEAST_WAIT = 2.0  # milliseconds between two turns with nothing coming in
EXPIRE_AGAIN = 200.0
LONGEST_WAIT = 250.0  # between two turns at the most
SLEPT = 1250.0  # between two turns, the instance was asleep or starved
WATCH = 10_000.0  # milliseconds that a watch waits at the most
MOST_CALLS = 64  # that wait for the agreement
LARGEST_COMMAND = 1 << 20  # bytes of a command for the leases; what an owner keeps is far below that


class Instance:
    """`clock` counts milliseconds, never steps, and counts on while the machine sleeps; `ended` is called
    once if the disk fails.
    """

    def __init__(
        self, reactor: Any, config: OwnerConfig, clock: Callable[[], float], ended: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.reactor, self.config, self.clock, self.ended = reactor, config, clock, ended
        self.storage = Storage(config.folder, config.cluster, config.me, Members(config.first))
        self.seed, self.draws = zlib.crc32(f"{config.cluster}/{config.me}".encode(), os.getpid()), 0
        self.agreed = Agreed()
        self.table = self.agreed.leases
        self.machine = Sessions(self.agreed)
        log, now = self.storage.log, clock()
        self.machine.load(log.snapshot.data)
        raft = Raft(config.me, self.storage.term, self.storage.vote, log_copy(log), self.seed, now)
        self.pool = ThreadPool(1, 1, "disk")
        self.driver = Driver(raft, self.machine, clock, self._write, self._send, self._became, self._applied)
        self.net = Net(
            reactor, config.cluster, config.me, config.instances, self._receive, self._call, self._chance,
        )  # fmt: skip
        self.distribution = Distribution(
            self.driver, self.net, self.agreed.versions, f"o{config.me}", self._at_leader, for_versions,
        )  # fmt: skip
        self.warden: Warden | None = None
        self.expiring: dict[str, float] = {}
        self.nodes = NodeLinks(reactor, config.nodes)
        names = list(config.nodes)
        self.runners = {
            w: Runner(WORKS[w](names, self.seed), f"o{config.me}", config.span, self.seed + i)
            for i, w in enumerate(config.works) if names
        }  # fmt: skip
        # a process that begins has made no proposal yet; no two have the same numbers
        self.clients = {w: int.from_bytes(os.urandom(6), "big") * 2 + 2 for w in self.runners}
        self.timer: Any = None
        self.calling = 0
        self.watching: list[tuple[str, int, float, Then]] = []  # work, token known, until when, who waits
        self.turn_at = now
        self.closed = False
        self.counted: dict[str, int] = {}

    def start(self) -> None:
        self.pool.start()
        if self.storage.cut_off:
            logger.warning("owner reason=torn-tail bytes={}", self.storage.cut_off)
        self.net.listen(self.config.listen)
        logger.info("owner start cluster={} me=o{} members={} log={}", self.config.cluster, self.config.me,
                    ",".join(map(str, self.raft.members.all)), self.raft.log.last)  # fmt: skip
        self._turn()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.driver.end()
            self.net.close()
            self.nodes.close()
            self.distribution.close()
            cancel(self.timer)
            # a write under way ends first: half of it would be cut as torn, and nothing rests on it
            self.pool.stop()
            self.storage.close()

    @property
    def raft(self) -> Raft:
        return self.driver.raft

    def _chance(self) -> float:
        self.draws += 1
        return chance(self.seed + 1, self.draws)

    def event(self, ev: str, level: str = "INFO", **values: Any) -> None:
        """One line of the log, which whoever collects a history can take apart."""
        self.counted[ev] = self.counted.get(ev, 0) + 1
        words = " ".join(f"{key}={value}" for key, value in values.items())
        logger.bind(event={"ev": ev, **values}).log(level, "owner {} {}", ev, words)

    # ---- turns

    def _turn(self) -> None:
        """All that is due; whatever came in has led here too."""
        cancel(self.timer)
        self.timer = None
        if self.closed:
            return
        now = self.clock()
        if now - self.turn_at > SLEPT:
            # leases and elections count by the clock, not by turns: nothing more is to be done about it
            logger.warning("owner away ms={:.0f}", now - self.turn_at)
        self.turn_at = now
        self.driver.tick()
        self._watch(now)
        self._tell_watchers()
        self.distribution.turn()
        for work in self.runners:
            self._run(work)
        if self.closed:
            return
        now = self.clock()
        runners = (r.due for r in self.runners.values())
        due = min([self.raft.due, now + LONGEST_WAIT, self.distribution.due, *runners])
        self.timer = self.reactor.callLater(max(due - now, LEAST_WAIT) / 1000.0, self._turn)

    def _soon(self) -> None:
        if self.timer is not None and not self.closed:
            self.timer.reset(0)

    def _watch(self, now: float) -> None:
        if self.warden is None or self.raft.role is not Role.LEADER:
            return
        for command in self.warden.look(now):
            if now >= self.expiring.get(command["work"], 0.0):
                self.expiring[command["work"]] = now + EXPIRE_AGAIN
                self.driver.propose(orjson.dumps(command), 0, 0, lambda _: None)

    def _run(self, work: str) -> None:
        runner, row = self.runners[work], self.table.row(work)
        runner.elsewhere = row is not None and not {row["holder"], row["heir"]} <= {None, runner.holder.name}
        for out in runner.tick(self.clock()):
            match out:
                case Propose(session, serial, command):
                    told = partial(self._told, work, session, serial)
                    self._submit(command, self.clients[work] + session, serial, told)
                case Act():
                    self._act(work, out)
                case Note():
                    self._note(work, out)

    def _told(self, work: str, session: int, serial: int, result: Any) -> None:
        if result is not None:
            self.runners[work].answer(self.clock(), session, serial, result)
            self._soon()

    def _act(self, work: str, act: Act) -> None:
        runner = self.runners[work]
        # Danger: the process may have been stopped since the runner looked; and may be again just after this,
        # which only the target's check keeps out.
        if not runner.holder.may_act(self.clock()) or runner.holder.token != act.token:
            return
        line = line_of(work, act.token, act.body)
        self.nodes.act(act.target, line, lambda reply: self._acted(work, act, reply))

    def _acted(self, work: str, act: Act, reply: Any) -> None:
        if not self.closed:
            self.runners[work].acted(self.clock(), act, reply)
            self._soon()

    def _note(self, work: str, note: Note) -> None:
        values = {"work": work, "holder": f"o{self.config.me}", "token": note.token}
        if note.target:
            values["target"] = note.target
        if note.reason:
            values["reason"] = note.reason
        self.event(note.what, "DEBUG" if note.what == "renewed" else "INFO", **values)

    # ---- proposals and reads, here or at the leader

    def _submit(self, command: dict[str, Any], client: int, serial: int, then: Then) -> None:
        if self.raft.role is Role.LEADER:
            self.driver.propose(orjson.dumps(command), client, serial, then)
        elif self.raft.leader is not None:
            body = {"do": "propose", "command": command, "client": client, "serial": serial}
            self.net.ask(self.raft.leader, body, then)
        else:
            then(None)

    def _call(self, body: Any, then: Then) -> None:
        """A call from another instance, a node or an operator; None is the answer where nobody knows."""
        do = body.get("do") if isinstance(body, dict) else None
        handler = {
            "propose": self._on_propose, "token": self._on_token, "status": self._on_status,
            "leave": self._on_leave, "release": self._on_release, "members": self._on_members,
            "transfer": self._on_transfer, "watch": self._on_watch, **self.distribution.calls,
        }.get(do) if isinstance(do, str) else None  # fmt: skip
        if handler is None or self.closed:
            then({"no": "unknown-call"})
            return
        if self.calling >= MOST_CALLS:
            then({"no": "too-many-calls"})
            return
        self.calling += 1
        waits = [then]

        def answer(value: Any) -> None:
            if waits:
                self.calling -= 1
                waits.pop()(value)
                self._soon()

        try:
            handler(body, answer)
        except (KeyError, TypeError, ValueError):
            answer({"no": "bad-call"})

    def _at_leader(self, body: dict[str, Any], then: Then) -> bool:
        """Whether this one leads; otherwise the call has gone on to the one that does, once."""
        if self.raft.role is Role.LEADER:
            return True
        if body.get("passed") or self.raft.leader is None:
            then(None)
        else:
            self.net.ask(self.raft.leader, body | {"passed": True}, then)
        return False

    def _on_propose(self, body: dict[str, Any], then: Then) -> None:
        client, serial = body["client"], body["serial"]
        if not all(isinstance(x, int) and 0 <= x < 1 << 53 for x in (client, serial)):
            raise ValueError
        data = orjson.dumps(body["command"])
        # Danger: an entry that fits into no frame would be sent to the others again for ever.
        if len(data) > LARGEST_COMMAND or not is_for_leases(body["command"]):
            raise ValueError
        if self.raft.role is Role.LEADER:
            self.driver.propose(data, client, serial, then)
        else:
            then(None)

    def _on_token(self, body: dict[str, Any], then: Then) -> None:
        """The highest token given for a work, as of after the call."""
        work = body["work"]
        if not isinstance(work, str):
            raise ValueError
        if self._at_leader(body, then):
            self.driver.read(
                lambda agreed: then(None if agreed is None else {"token": token_of(agreed.leases, work)})
            )

    def _on_status(self, body: dict[str, Any], then: Then) -> None:
        raft, now = self.raft, self.clock()
        # one that has been kept from running may have a lease that ended and have yet to see it
        held = {w: r for w, r in self.runners.items() if r.token and r.holder.may_act(now)}
        then({
            "me": self.config.me, "role": raft.role.name.lower(), "term": raft.term, "leader": raft.leader,
            "voters": raft.members.voters, "learners": raft.members.learners, "log": raft.log.last,
            "commit": raft.commit, "snapshot": raft.log.snapshot.index, "dropped": self.net.dropped,
            "events": self.counted, "watches": self.distribution.watches.figures(),
            # its own copy of the table below may lag behind what it was told
            "holds": {w: {"token": r.token, "left": round(r.holder.until - now)} for w, r in held.items()},
            "refused": {w: r.refused for w, r in self.runners.items() if r.refused},
            "works": {
                w: {"holder": row["holder"], "heir": row["heir"], "token": row["token"]}
                for w, row in self.table.works.items()
            },
        })  # fmt: skip

    def _on_watch(self, body: dict[str, Any], then: Then) -> None:
        """Answered once the work is another's than the one said, as this instance knows, or in a while."""
        work, known = body["work"], body.get("token", 0)
        if not isinstance(work, str) or isinstance(known, bool) or not isinstance(known, int):
            raise ValueError
        self.watching.append((work, known, self.clock() + WATCH, then))
        self._tell_watchers()

    def _tell_watchers(self) -> None:
        now, waiting, self.watching = self.clock(), self.watching, []
        for work, known, until, then in waiting:
            row = self.table.row(work) or {"holder": None, "token": 0}
            if row["token"] == known and row["holder"] is not None and now < until:
                self.watching.append((work, known, until, then))
            else:
                then({"holder": row["holder"], "token": row["token"]})

    def _on_leave(self, body: dict[str, Any], then: Then) -> None:
        runner = self.runners.get(body["work"])
        to = body.get("to")
        if runner is None or not (to is None or isinstance(to, str)):
            raise ValueError
        reason = runner.leave(to)
        then({"no": reason} if reason else {"ok": True})

    def _on_release(self, body: dict[str, Any], then: Then) -> None:
        """Ends a lease whatever its owner does; the owner's acts are refused once another has the work."""
        row = self.table.row(body["work"])
        if row is None:
            then({"no": "unknown-work"})
        elif self._at_leader(body, then):
            # Danger: by its count of renewals an owner that goes on renewing could not be ended.
            command = {"do": "release", "work": body["work"], "token": row["token"]}
            self.driver.propose(orjson.dumps(command), 0, 0, then)

    def _on_members(self, body: dict[str, Any], then: Then) -> None:
        """One instance more as a learner, a learner to a voter, or one less."""
        number, add = body["number"], body["add"]
        if isinstance(number, bool) or not isinstance(number, int) or number not in self.config.instances:
            then({"no": "unknown-instance"})
        elif self._at_leader(body, then):
            voters, learners = (tuple(i for i in ids if i != number) for ids in self.raft.members)
            if add and number in self.raft.members.all:
                voters = (*voters, number)
            elif add:
                learners = (*learners, number)
            reason = self.driver.change(Members(voters, learners))
            then({"no": reason} if reason else {"voters": voters, "learners": learners})

    def _on_transfer(self, body: dict[str, Any], then: Then) -> None:
        if self._at_leader(body, then):
            reason = self.raft.transfer(self.clock(), body["number"])
            then({"no": reason} if reason else {"ok": True})

    # ---- the driver's hands

    def _write(self, save: Save, done: Callable[[], None]) -> None:
        deferred = deferToThreadPool(self.reactor, self.pool, self.storage.write, save)
        deferred.addCallback(lambda _: self._written(done)).addErrback(self._failed)

    def _written(self, done: Callable[[], None]) -> None:
        if not self.closed:
            done()
            self._soon()

    def _failed(self, failure: Any) -> None:
        # Danger: whatever rests on a write that may not be there must never be said.
        self.driver.end()
        known = failure.check(StorageError) is not None
        self.ended(str(failure.value) if known else traceback_line(failure))

    def _receive(self, message: Any) -> None:
        self.driver.receive(message)
        self._soon()

    def _send(self, to: int, message: Any) -> None:
        self.net.send(to, message)

    def _became(self, role: Role, term: int, leader: int | None) -> None:
        self.warden = Warden(self.table, self.clock()) if role is Role.LEADER else None
        self.expiring = {}
        if role in (Role.LEADER, Role.FOLLOWER):
            name = "-" if leader is None else f"o{leader}"
            self.event("leader", at=f"o{self.config.me}", leader=name, term=term)

    def _applied(self, index: int, entry: Entry, result: Any) -> None:
        now = self.clock()
        if self.warden is not None:
            self.warden.look(now)
        if isinstance(result, dict) and "state" in result and self.raft.role is Role.LEADER:
            command = orjson.loads(entry.data)
            self.event("grant", at=f"o{self.config.me}", work=command["work"], holder=command["holder"],
                       token=result["token"])  # fmt: skip


def log_copy(log: Any) -> Any:
    """Raft's own; the storage's is what is on disk."""
    return type(log)(log.snapshot, log.entries)


def token_of(table: Table, work: str) -> int:
    """The highest that was given for the work; the one that nobody has yet where none was."""
    row = table.row(work)
    return row["token"] if row is not None else 0
