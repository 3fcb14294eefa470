"""Carries out what an instance of Raft asks for: nothing leaves before the write that it rests on.
The writes, the network and the clock belong to whoever runs it, the rig or a process.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from .actions import Action, Apply, Became, Readable, Restore, Role, Save, Send, Unreadable
from .core import Raft
from .log import Entry, Members, Snapshot
from .messages import Append, Install, Message
from .sessions import Sessions

COMPACT_AT = 512  # applied entries since the last snapshot
Answer = Callable[[Any], None]  # takes the result, None if it is not known to stand


class Driver:
    """`write` is given a Save and what to call once it is on disk; `send` a member and a message."""

    def __init__(
        self, raft: Raft, machine: Sessions, clock: Callable[[], float],
        write: Callable[[Save, Callable[[], None]], None], send: Callable[[int, Message], None],
        became: Callable[[Role, int, int | None], None] = lambda *_: None,
        applied: Callable[[int, Entry, Any], None] = lambda *_: None, compact_at: int = COMPACT_AT,
    ) -> None:  # fmt: skip
        self.raft, self.machine, self.clock = raft, machine, clock
        self.write, self.send, self.became, self.applied = write, send, became, applied
        self.compact_at = compact_at
        self.queue: deque[Action] = deque()
        self.writing = self.working = self.ended = False
        self.term_on_disk = raft.term
        self.waits: dict[int, tuple[int, Answer]] = {}  # by index: the term it was proposed in, who waits
        self.reading: dict[int, Answer] = {}
        self.reads = 0

    def tick(self) -> None:
        self.do(self.raft.tick(self.clock()))

    def receive(self, message: Message) -> None:
        self.do(self.raft.receive(self.clock(), message))

    def propose(self, data: bytes, client: int, serial: int, answer: Answer) -> None:
        """None is the answer where this instance does not lead, or where it is not known whether the command
        will stand: it is to be proposed again under the same number.
        """
        index, actions = self.raft.propose(self.clock(), data, client, serial)
        if index is None:
            answer(None)
        else:
            self.waits[index] = self.raft.term, answer
        self.do(actions)

    def read(self, answer: Answer) -> None:
        """The state machine, as of some time after this call; None where this instance cannot tell."""
        self.reads += 1
        self.reading[self.reads] = answer
        self.do(self.raft.read(self.clock(), self.reads))

    def change(self, members: Members) -> str | None:
        reason, actions = self.raft.change(self.clock(), members)
        self.do(actions)
        return reason

    def end(self) -> None:
        """Nothing more is done or answered."""
        self.ended = True

    # ---- actions

    def do(self, actions: list[Action]) -> None:
        self.queue += actions
        if self.writing:
            self._send_ahead()
        if self.working:
            return
        self.working = True
        try:
            while self.queue and not self.writing and not self.ended:
                self._do(self.queue.popleft())
        finally:
            self.working = False

    def _do(self, act: Action) -> None:
        match act:
            case Save():
                self.writing = True
                self._send_ahead()
                self.write(act, lambda: self._saved(act))
            case Send(to, message):
                self.send(to, message)
            case Apply(index, entry):
                self._apply(index, entry)
            case Restore(snapshot):
                self.machine.load(snapshot.data)
                self._drop(snapshot.index)
            case Readable(number):
                self.reading.pop(number, lambda _: None)(self.machine.machine)
            case Unreadable(number):
                self.reading.pop(number, lambda _: None)(None)
            case Became(role, term, leader):
                if role is not Role.LEADER:
                    self._drop(None)
                self.became(role, term, leader)

    def _send_ahead(self) -> None:
        """What a leader sends rests on no write but that of its term (dissertation, 10.2.1)."""
        # Danger: a disk that takes a second over one write would keep the heartbeats back as well, and the
        # leader would be taken for dead each time.
        if self.ended:
            return
        waiting, self.queue = self.queue, deque()
        for act in waiting:
            ahead = isinstance(act, Send) and isinstance(act.message, Append | Install)
            if ahead and act.message.term <= self.term_on_disk:
                self.send(*act)
            else:
                self.queue.append(act)

    def _saved(self, save: Save) -> None:
        self.writing, self.term_on_disk = False, save.term
        # Danger: the log may have changed since; on disk is what was written, not what stands there now.
        last = save.first + len(save.entries) - 1
        self.do(self.raft.saved(self.clock(), last, save.entries[-1].term) if save.entries else [])

    def _apply(self, index: int, entry: Entry) -> None:
        result = self.machine.apply(entry)
        self.applied(index, entry, result)
        term, answer = self.waits.pop(index, (0, None))
        if answer is not None:
            # Danger: another leader's command may stand at this index; its result is not this one's.
            answer(result if term == entry.term else None)
        if index - self.raft.log.snapshot.index >= self.compact_at and self.raft.applied == index:
            members, at = self.raft.log.members()
            members = members if at <= index else self.raft.log.snapshot.members
            self.do(self.raft.compact(Snapshot(index, entry.term, members, self.machine.dump())))

    def _drop(self, upto: int | None) -> None:
        """Whoever waits for what this instance will not see applied as its own is told that."""
        for index in [i for i in self.waits if upto is None or i <= upto]:
            self.waits.pop(index)[1](None)
