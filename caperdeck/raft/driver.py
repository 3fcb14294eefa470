"""Carries out the actions of a Raft instance: nothing is sent before the write that it depends on.

Writes, the network and the clock are supplied by the caller, a process or a simulation.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from .actions import Action, Apply, ReadFailed, ReadReady, Restore, Role, RoleChanged, Save, Send
from .core import Raft
from .log import Entry, Members, Snapshot
from .messages import AppendEntriesRequest, InstallSnapshotRequest, Message
from .sessions import Sessions

COMPACT_AFTER_ENTRIES = 512  # applied entries since the last snapshot
ResultCallback = Callable[[Any], None]  # takes the result; None if it is unknown or there is none


class Driver:
    """Drives one Raft instance.

    `write` takes a Save and a callback for when it is on disk; `send` takes a member and a message.
    """

    def __init__(
        self, raft: Raft, machine: Sessions, clock: Callable[[], float],
        write: Callable[[Save, Callable[[], None]], None], send: Callable[[int, Message], None],
        on_role_change: Callable[[Role, int, int | None], None] = lambda *_: None,
        on_applied: Callable[[int, Entry, Any], None] = lambda *_: None,
        compact_after: int = COMPACT_AFTER_ENTRIES,
    ) -> None:  # fmt: skip
        self.raft, self.machine, self.clock = raft, machine, clock
        self.write, self.send, self.on_role_change, self.on_applied = write, send, on_role_change, on_applied
        self.compact_after = compact_after
        self.queue: deque[Action] = deque()
        self.writing = self.executing = self.closed = False
        self.durable_term = raft.term
        # Proposals that wait to be applied, by index: the term they were proposed in, and the callback.
        self.pending_proposals: dict[int, tuple[int, ResultCallback]] = {}
        self.pending_reads: dict[int, ResultCallback] = {}
        self.last_read_id = 0

    def tick(self) -> None:
        self.execute(self.raft.tick(self.clock()))

    def receive(self, message: Message) -> None:
        self.execute(self.raft.receive(self.clock(), message))

    def propose(self, data: bytes, client: int, serial: int, callback: ResultCallback) -> None:
        """Proposes a command.

        The result is None if this instance does not lead, or if it is unknown whether the command will be
        committed; it should then be proposed again with the same client and serial.
        """
        index, actions = self.raft.propose(self.clock(), data, client, serial)
        if index is None:
            callback(None)
        else:
            self.pending_proposals[index] = self.raft.term, callback
        self.execute(actions)

    def read(self, callback: ResultCallback) -> None:
        """Calls back with the state machine as of a moment after this call, or with None if that fails."""
        self.last_read_id += 1
        self.pending_reads[self.last_read_id] = callback
        self.execute(self.raft.read(self.clock(), self.last_read_id))

    def change_members(self, members: Members) -> str | None:
        """Starts a membership change; returns the reason if it was rejected."""
        reason, actions = self.raft.change_members(self.clock(), members)
        self.execute(actions)
        return reason

    def close(self) -> None:
        """Stops: no further action is carried out and no callback is called."""
        self.closed = True

    # ---- actions

    def execute(self, actions: list[Action]) -> None:
        self.queue += actions
        if self.writing:
            self._send_before_write()
        if self.executing:
            return
        self.executing = True
        try:
            while self.queue and not self.writing and not self.closed:
                self._execute(self.queue.popleft())
        finally:
            self.executing = False

    def _execute(self, action: Action) -> None:
        match action:
            case Save():
                self.writing = True
                self._send_before_write()
                self.write(action, lambda: self._saved(action))
            case Send(to, message):
                self.send(to, message)
            case Apply(index, entry):
                self._apply(index, entry)
            case Restore(snapshot):
                self.machine.load(snapshot.data)
                self._fail_proposals(snapshot.index)
            case ReadReady(read_id):
                self.pending_reads.pop(read_id, lambda _: None)(self.machine.machine)
            case ReadFailed(read_id):
                self.pending_reads.pop(read_id, lambda _: None)(None)
            case RoleChanged(role, term, leader):
                if role is not Role.LEADER:
                    self._fail_proposals(None)
                self.on_role_change(role, term, leader)

    def _send_before_write(self) -> None:
        """Sends the leader's queued messages, which depend on no write but that of its term.

        See the dissertation, 10.2.1. Otherwise a disk that takes a second for one write would hold back the
        heartbeats too, and followers would start an election each time.
        """
        if self.closed:
            return
        waiting, self.queue = self.queue, deque()
        for action in waiting:
            from_leader = isinstance(action, Send) and isinstance(
                action.message, AppendEntriesRequest | InstallSnapshotRequest
            )
            if from_leader and action.message.term <= self.durable_term:
                self.send(*action)
            else:
                self.queue.append(action)

    def _saved(self, save: Save) -> None:
        self.writing, self.durable_term = False, save.term
        # The log may have changed since: report what was written, not what the log has now.
        last_index = save.first + len(save.entries) - 1
        self.execute(self.raft.saved(self.clock(), last_index, save.entries[-1].term) if save.entries else [])

    def _apply(self, index: int, entry: Entry) -> None:
        result = self.machine.apply(entry)
        self.on_applied(index, entry, result)
        term, callback = self.pending_proposals.pop(index, (0, None))
        if callback is not None:
            # Another leader's command may have been committed at this index; its result is not this one's.
            callback(result if term == entry.term else None)
        if index - self.raft.log.snapshot.index >= self.compact_after and self.raft.last_applied == index:
            members, members_index = self.raft.log.latest_members()
            members = members if members_index <= index else self.raft.log.snapshot.members
            self.execute(self.raft.compact(Snapshot(index, entry.term, members, self.machine.dump())))

    def _fail_proposals(self, up_to: int | None) -> None:
        """Answers None to proposals whose outcome this instance will not see, up to an index or all."""
        for index in [i for i in self.pending_proposals if up_to is None or i <= up_to]:
            self.pending_proposals.pop(index)[1](None)
