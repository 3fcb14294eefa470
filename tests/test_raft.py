"""Raft: safety properties under random faults, planted faults, and single steps of one instance."""

import orjson
import pytest

from caperdeck.lab.raft_simulation import BrokenError, Line, World, play
from caperdeck.raft.core import (
    ELECTION_TIMEOUT_MS, AppendEntriesRequest, AppendEntriesResponse, Apply, Raft, ReadFailed, ReadReady,
    Role, Save, Send, TimeoutNow, VoteRequest, VoteResponse,
)  # fmt: skip
from caperdeck.raft.driver import Driver
from caperdeck.raft.log import Entry, Kind, Log, Members, Snapshot
from caperdeck.raft.sessions import MAX_CLIENTS, Sessions

THREE = Members((0, 1, 2))


def instance(me=0, term=0, voted_for=None, entries=(), members=THREE, now=0.0, kind=Raft):
    return kind(me, term, voted_for, Log(Snapshot(0, 0, members), list(entries)), 7, now)


def actions_of(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def messages_sent(actions, kind):
    return [action.message for action in actions_of(actions, Send) if isinstance(action.message, kind)]


def lead(raft, now=1000.0, voters=(1, 2)):
    """Makes the instance leader of its next term; returns the actions of the election."""
    raft.tick(now)
    actions = []
    for pre_vote in (True, False):
        for voter in voters:
            actions += raft.receive(now, VoteResponse(raft.term + pre_vote, voter, True, pre_vote))
    assert raft.role is Role.LEADER
    return actions + raft.saved(now, raft.log.last_index, raft.log.last_term)


def command(term, value=b"1"):
    return Entry(term, Kind.COMMAND, value)


@pytest.mark.parametrize("seed", range(60))
def test_raft_properties_hold_under_random_faults(seed):
    play(3 if seed % 2 else 5, seed, 8000.0, die_rate=(0.0, 0.01, 0.1)[seed % 3])


class ReadsAtOnce(Raft):
    def read(self, now, read_id):
        self.actions.append(ReadReady(read_id) if self.role is Role.LEADER else ReadFailed(read_id))
        return self._take_actions()


class VotesForAnyLog(Raft):
    def _on_vote_request(self, now, message):
        super()._on_vote_request(now, message._replace(last_log_index=10**9, last_log_term=10**9))


@pytest.mark.parametrize("kind, text", [(ReadsAtOnce, "a read begun"), (VotesForAnyLog, "completeness")])
def test_a_planted_fault_is_detected(kind, text):
    with pytest.raises(BrokenError, match=text):
        for seed in range(100):
            play(3, seed, 8000.0, kind, die_rate=0.1, loss=0.1)


class ForgetsItsVote(Raft):
    """Loses its vote at a restart, as if it were never written."""

    def __init__(self, me, term, voted_for, *rest):
        super().__init__(me, term, None, *rest)


class CommitsByCountAlone(Raft):
    def _maybe_commit(self, now):
        matched = sorted(
            self.durable_index if i == self.me else self.peers[i].match_index for i in self.members.voters
        )
        if matched[-self.members.quorum] > self.commit_index:
            self._commit(now, matched[-self.members.quorum])


def votes_twice(kind):
    actions = instance(kind=kind).receive(1000.0, VoteRequest(1, 1, 0, 0, False))
    (save,) = actions_of(actions, Save)
    restarted = instance(term=save.term, voted_for=save.voted_for, kind=kind)
    again = restarted.receive(2000.0, VoteRequest(1, 2, 0, 0, False))
    return all(messages_sent(answers, VoteResponse)[0].granted for answers in (actions, again))


def commits_an_older_terms_entry(kind):
    """The paper's figure 8: an entry of an older term on a quorum may still be replaced."""
    raft = instance(term=2, entries=[command(1), command(2)], kind=kind)
    raft.tick(1000.0)
    for pre_vote in (True, False):
        raft.receive(1000.0, VoteResponse(raft.term + pre_vote, 1, True, pre_vote))
    raft.receive(1001.0, AppendEntriesResponse(raft.term, 1, True, 2, 0, raft.heartbeat_round))
    return raft.commit_index > 0


@pytest.mark.parametrize("check, kind", [
    (votes_twice, ForgetsItsVote), (commits_an_older_terms_entry, CommitsByCountAlone),
])  # fmt: skip
def test_planted_faults_that_random_runs_rarely_reach_are_detected_step_by_step(check, kind):
    """Neither fault was reached in 4,000 random runs."""
    assert check(kind) and not check(Raft)


def test_a_vote_is_durable_before_it_is_sent_and_is_not_given_twice_after_a_crash():
    raft = instance()
    actions = raft.receive(5000.0, VoteRequest(3, 1, 0, 0, False))
    save, answer = actions[-2], actions[-1]
    assert save == Save(3, 1, 1, ()) and answer == Send(1, VoteResponse(3, 0, True, False))
    again = instance(term=save.term, voted_for=save.voted_for)
    assert messages_sent(again.receive(5000.0, VoteRequest(3, 2, 9, 9, False)), VoteResponse) == [
        VoteResponse(3, 0, False, False)
    ]
    assert messages_sent(again.receive(5000.0, VoteRequest(3, 1, 0, 0, False)), VoteResponse) == [
        VoteResponse(3, 0, True, False)
    ]


@pytest.mark.parametrize("has_own, committed", [(False, 0), (True, 3)])
def test_entries_of_an_older_term_are_committed_only_with_one_of_the_current_term(has_own, committed):
    """Guards against the paper's figure 8: an entry of an older term on a majority may still be replaced."""
    raft = instance(term=3, entries=[command(1), command(2)])
    lead(raft)
    actions = raft.receive(1000.0, AppendEntriesResponse(4, 1, True, 3 if has_own else 2, 0, 1))
    assert raft.commit_index == committed and len(actions_of(actions, Apply)) == committed


def test_the_leader_counts_towards_a_quorum_only_what_it_has_on_disk():
    raft = instance()
    lead(raft)
    raft.propose(1000.0, b"1")
    raft.receive(1000.0, AppendEntriesResponse(1, 1, True, 2, 0, 1))
    assert raft.commit_index == 1
    raft.saved(1000.0, 2, 1)
    assert raft.commit_index == 2


def test_a_member_that_was_partitioned_does_not_unseat_the_leader():
    raft = instance(1)
    raft.receive(1000.0, AppendEntriesRequest(2, 0, 0, 0, (), 0, 1))
    for pre_vote in (True, False):
        actions = raft.receive(1000.0 + ELECTION_TIMEOUT_MS / 2, VoteRequest(9, 2, 50, 8, pre_vote))
        assert (
            messages_sent(actions, VoteResponse) == [VoteResponse(2, 1, False, pre_vote)]
            and raft.term == 2
            and raft.leader == 0
        )
    assert messages_sent(
        raft.receive(1000.0 + 1.5 * ELECTION_TIMEOUT_MS, VoteRequest(9, 2, 50, 8, True)), VoteResponse
    )[0].granted


def test_a_leader_without_a_quorum_steps_down_and_fails_its_reads():
    raft = instance()
    lead(raft)
    raft.receive(1000.0, AppendEntriesResponse(1, 1, True, 1, 0, 1))
    raft.read(1000.0, 77)
    actions = raft.tick(1000.0 + 3 * ELECTION_TIMEOUT_MS)
    assert raft.role is Role.FOLLOWER and actions_of(actions, ReadFailed) == [ReadFailed(77)]


def test_a_read_waits_for_a_heartbeat_round_that_a_quorum_answered():
    raft = instance()
    lead(raft)
    raft.receive(1000.0, AppendEntriesResponse(1, 1, True, 1, 0, raft.heartbeat_round))
    assert not actions_of(raft.read(1000.0, 77), ReadReady)
    previous_round = raft.heartbeat_round - 1
    assert not actions_of(
        raft.receive(1000.0, AppendEntriesResponse(1, 2, True, 1, 0, previous_round)), ReadReady
    )
    assert actions_of(
        raft.receive(1000.0, AppendEntriesResponse(1, 2, True, 1, 0, raft.heartbeat_round)), ReadReady
    ) == [ReadReady(77)]


def test_an_entry_replaced_during_its_write_does_not_count_as_durable():
    writes = []
    raft = instance(1)
    driver = Driver(
        raft, Sessions(Line()), lambda: 0.0, lambda save, done: writes.append(done), lambda *_: None
    )
    driver.receive(AppendEntriesRequest(1, 0, 0, 0, (command(1),), 0, 1))
    driver.receive(AppendEntriesRequest(2, 2, 0, 0, (command(2),), 0, 1))
    writes.pop(0)()
    assert raft.durable_index == 0 and len(writes) == 1
    writes.pop(0)()
    assert raft.durable_index == 1


def test_a_delayed_message_does_not_truncate_confirmed_entries():
    raft = instance(1)
    three = tuple(command(1, b"%d" % i) for i in range(3))
    raft.receive(0.0, AppendEntriesRequest(1, 0, 0, 0, three, 0, 1))
    actions = raft.receive(0.0, AppendEntriesRequest(1, 0, 0, 0, three[:1], 0, 0))
    assert raft.log.last_index == 3 and messages_sent(actions, AppendEntriesResponse)[0].index == 1


def test_conflicting_entries_are_replaced_and_no_longer_count_as_durable():
    raft = instance(1, term=1, entries=[command(1), command(1)])
    actions = raft.receive(0.0, AppendEntriesRequest(2, 0, 1, 1, (command(2),), 0, 1))
    assert actions_of(actions, Save) == [Save(2, None, 2, (command(2),))] and raft.durable_index == 1
    raft.saved(0.0, 2, 1)  # the write of the replaced entry
    assert raft.durable_index == 1
    raft.saved(0.0, 2, 2)
    assert raft.durable_index == 2


@pytest.mark.parametrize("members, reason", [
    (Members((0, 1)), None),
    (Members((0, 1, 2), (3,)), None),
    (Members((0, 1, 2, 3)), "a-learner-has-not-caught-up"),
    (Members((0,)), "more-than-one-voter-changes"),
    (Members((0, 1, 2), (2,)), "no-voters-or-a-member-twice"),
])  # fmt: skip
def test_members_change_one_voter_at_a_time_learners_first(members, reason):
    raft = instance()
    lead(raft)
    raft.receive(1000.0, AppendEntriesResponse(1, 1, True, 1, 0, 1))
    assert raft.change_members(1000.0, members)[0] == reason
    if reason is None:
        assert raft.change_members(1000.0, THREE)[0] == "another-change-is-under-way"


def test_no_membership_change_before_an_entry_of_the_current_term_is_committed():
    raft = instance(term=3, entries=[command(1)])
    lead(raft)
    assert raft.change_members(1000.0, Members((0, 1)))[0] == "nothing-of-this-term-is-committed"


def test_a_caught_up_learner_becomes_a_voter_and_a_removed_leader_steps_down_after_commit():
    raft = instance()
    lead(raft)
    raft.receive(1000.0, AppendEntriesResponse(1, 1, True, 1, 0, 1))
    raft.change_members(1000.0, Members((0, 1, 2), (3,)))
    for i in (1, 2, 3):
        raft.receive(1000.0, AppendEntriesResponse(1, i, True, 2, 0, 1))
    assert raft.commit_index == 2 and raft.change_members(1000.0, Members((0, 1, 2, 3)))[0] is None
    for i in (1, 2):
        raft.receive(1000.0, AppendEntriesResponse(1, i, True, 3, 0, 1))
    raft.saved(1000.0, 3, 1)
    assert raft.commit_index == 3 and raft.change_members(1000.0, Members((1, 2, 3)))[0] is None
    for i in (1, 2):
        raft.receive(1000.0, AppendEntriesResponse(1, i, True, 4, 0, 1))
    assert raft.commit_index == 4 and raft.role is Role.FOLLOWER
    assert not messages_sent(raft.tick(99_000.0), VoteRequest)


def test_leadership_is_transferred_to_a_member_with_the_whole_log():
    raft = instance()
    lead(raft)
    assert (
        raft.transfer_leadership(1000.0, 5) == "not-another-voter"
        and raft.transfer_leadership(1000.0, 2) is None
    )
    assert raft.propose(1000.0, b"1")[0] is None
    assert not messages_sent(raft.tick(1001.0), TimeoutNow)
    assert messages_sent(raft.receive(1002.0, AppendEntriesResponse(1, 2, True, 1, 0, 1)), TimeoutNow)
    target = instance(2, term=1)
    target.receive(1000.0, AppendEntriesRequest(1, 0, 0, 0, (Entry(1, Kind.NO_OP),), 0, 1))
    requests = messages_sent(target.receive(1002.0, TimeoutNow(1, 0)), VoteRequest)
    assert requests and all(
        request.leadership_transfer and request.term == 2 and not request.pre_vote for request in requests
    )


def test_a_member_that_lacks_compacted_entries_is_sent_the_snapshot():
    world = World(3, 5, loss=0.0, double=0.0)
    world.run(1500.0)
    leader = world.leader()
    member = next(i for i in world.instances if i is not leader)
    member.die()
    for n in range(120):
        leader.driver.propose(orjson.dumps(n), 9, n + 1, lambda result: None)
        world.run(20.0)
    assert leader.raft.log.snapshot.index > 40
    member.start()
    world.run(2000.0)
    assert member.values == leader.values == list(range(120))
    assert member.raft.log.snapshot.index > 40


def test_a_retried_command_is_applied_once_even_across_a_snapshot():
    def entry(client, serial, value):
        return Entry(1, Kind.COMMAND, orjson.dumps(value), client, serial)

    sessions = Sessions(Line())
    assert sessions.apply(entry(1, 1, "a")) == sessions.apply(entry(1, 1, "a")) == 1
    restored = Sessions(Line())
    restored.load(sessions.dump())
    assert restored.apply(entry(1, 1, "a")) == 1 and restored.apply(entry(1, 2, "b")) == 2
    assert restored.apply(entry(1, 1, "a")) is None and restored.machine.values == ["a", "b"]
    for client in range(2, MAX_CLIENTS + 9):
        restored.apply(entry(client, 1, "c"))
    assert len(restored.last_results) == MAX_CLIENTS
