"""Safety properties of distribution under random faults, and planted faults that each violate one of them."""

from functools import cache
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, find, given, seed, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from caperdeck.distribution.document import DocumentError, difference
from caperdeck.distribution.publisher import Publisher
from caperdeck.distribution.subscriber import Subscriber
from caperdeck.lab.distribution.instance import Instance
from caperdeck.lab.distribution.schedule import Fault, Publish
from caperdeck.lab.distribution.world import simulate

RULES = ["back", "committed", "whole", "in-force", "status", "current"]
FAULTS_END = 32_000  # milliseconds; every fault has ended by then
SPAN = FAULTS_END + 12_000.0

KINDS = ["kill", "sleep", "isolate", "cut", "torment", "restart", "replace", "doze"]
SPANS = [300.0, 1000.0, 4000.0, 13_000.0]
changes = st.lists(st.builds(
    Publish, at=st.sampled_from([20.0, 150.0, 700.0, 1500.0, 2500.0, 5000.0]),
    refused_by_half=st.sampled_from([False, False, False, True]),
), min_size=1, max_size=4)  # fmt: skip


def schedule_of(scenes):
    """The faults, and the changes that are published after each of them began."""
    later = [change._replace(at=change.at + fault.at) for fault, during in scenes for change in during]
    return tuple(later), tuple(fault for fault, _ in scenes)


def schedules(kinds=KINDS, spans=SPANS):
    faults = st.builds(
        Fault, do=st.sampled_from(kinds), of=st.integers(0, 6), span=st.sampled_from(spans),
        at=st.integers(0, 180).map(lambda tenths: tenths * 100.0),
    )  # fmt: skip
    return st.lists(st.tuples(faults, changes), min_size=1, max_size=5).map(schedule_of)


limits = settings(
    max_examples=50, derandomize=True, database=None, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


@cache  # each rule checks the same schedules, so every schedule is run once
def run_schedule(schedule):
    return simulate(*schedule, SPAN)


@pytest.mark.parametrize("rule", RULES)
@seed(41)
@limits
@given(schedule=schedules())
def test_a_property_holds_under_faults(rule, schedule):
    assert [breach for breach in run_schedule(schedule).breaches if breach.rule == rule] == []


def test_the_simulated_runs_are_not_empty():
    """They commit versions, lose proposals, and apply what was committed."""
    cut_off = simulate([Publish(3000.0)], [Fault("isolate", 0, 2900.0, 8000.0)], SPAN)
    assert len(cut_off.log) == 0
    calm = simulate([Publish(at * 2000.0 + 1000.0) for at in range(5)], [], 20_000.0)
    assert [node.active_version.revision for node in calm.nodes] == [5] * 6
    assert len(calm.reported_states) > 6 * 15


# ---- planted faults


class GoesBack(Subscriber):
    def _is_newer(self, revision):
        return revision != self.held.revision


class StaysWithUnconfirmedPublisher(Subscriber):
    def _must_leave(self, message):
        return message.revision < self.highest


class TakesAnyBase(Subscriber):
    def _document_of(self, message):
        try:
            return super()._document_of(message)
        except DocumentError:
            document = dict(self.held.document)
            document.update((change.path[0], change.value) for change in message.changes)
            return document


class CountsFromArrival(Subscriber):
    def _confirm(self, message):
        self.request_times[message.number] = self.heard_at
        super()._confirm(message)


class SendsOnlyTheLastChange(Publisher):
    def _delta(self, report):
        history = self.table.history
        return difference(history[-2].document, history[-1].document) if len(history) > 1 else None


class AlwaysConfirmed(Publisher):
    def age(self, now):
        return 0.0


class CountsSilenceAsConsent(Publisher):
    def status(self, now):
        status = super().status(now)
        sent = {
            node: subscription.sent_revision
            for node, subscription in self.subscriptions.items()
            if subscription.sent_revision is not None
        }
        rows = [
            row._replace(revision=sent[row.node], digest=status.digest) if row.node in sent else row
            for row in status.rows
        ]
        return status._replace(rows=tuple(rows))


class PublishesProposals(Instance):
    def proposed(self, entry):
        self.machine.apply(entry)
        self.send(self.publisher.versions_changed(self.world.now))


LONG_ISOLATION = schedules(["isolate"], [13_000.0])
PLANTED = [
    ("back", {"subscriber_kind": GoesBack}, schedules(["torment", "replace"], [1000.0, 4000.0])),
    ("committed", {"instance_kind": PublishesProposals}, schedules()),
    ("whole", {"subscriber_kind": TakesAnyBase, "publisher_kind": SendsOnlyTheLastChange}, schedules()),
    ("in-force", {"subscriber_kind": StaysWithUnconfirmedPublisher}, LONG_ISOLATION),
    ("in-force", {"publisher_kind": AlwaysConfirmed}, LONG_ISOLATION),
    ("status", {"publisher_kind": CountsSilenceAsConsent}, schedules()),
    ("current", {"publisher_kind": AlwaysConfirmed}, LONG_ISOLATION),
    ("current", {"subscriber_kind": CountsFromArrival}, schedules(["doze"], [13_000.0])),
]


@pytest.mark.parametrize("rule, kinds, drawn", PLANTED)
def test_a_planted_fault_is_detected(rule, kinds, drawn):
    def breaks(schedule):
        return any(breach.rule == rule for breach in simulate(*schedule, SPAN, **kinds).breaches)

    search = settings(limits, max_examples=150, phases=[Phase.generate])
    try:
        find(drawn, breaks, settings=search, random=Random(41))
    except NoSuchExample:
        pytest.fail(f"nothing breaks {rule!r}")
