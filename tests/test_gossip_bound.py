"""The bound of lent rights: every order of three small nodes, and planted faults that it finds."""

import pytest

from caperdeck.lab.exploration import BrokenError, explore
from caperdeck.lab.rights_model import NodeModel, RightsModel
from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS


class DividesByTheLiving(NodeModel):
    def part(self, heard):
        return 1 / heard


class UsesAfterTheEnd(NodeModel):
    def end(self, until):
        return float("inf")


class AnswersTwice(NodeModel):
    """Its questions stay open, so an answer that comes twice is taken twice."""

    def clone(self):
        c = super().clone()
        c.transfers.accept = lambda now, member, number, grants, borrow: [
            borrow(budget, amount, c.transfers.pending_requests[number][1] + TRANSFER_VALIDITY_MS)
            for budget, amount in grants
        ]  # fmt: skip
        return c


@pytest.mark.parametrize("world", [
    {"asks": 2, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 1},
    {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 0},
    {"asks": 1, "doubles": 0, "deaths": 1, "sleeps": 0},
    {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 1},
    {"asks": 1, "doubles": 1, "deaths": 1, "sleeps": 0},
    {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 1},
    {"asks": 1, "doubles": 0, "deaths": 1, "sleeps": 1},
    {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 2, "rates": (1, 2, 1)},
])  # fmt: skip
def test_no_order_of_messages_deaths_and_sleeps_breaks_the_bound(world):
    assert explore(RightsModel(**{"ticks": 2} | world)) > 1000


@pytest.mark.parametrize("kind, world, text", [
    (DividesByTheLiving, {"asks": 0, "doubles": 0, "deaths": 0, "sleeps": 1, "ticks": 2}, "has minted"),
    (UsesAfterTheEnd, {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 4}, "spent after"),
    (AnswersTwice, {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 0, "ticks": 1}, "twice|hands"),
])  # fmt: skip
def test_a_planted_fault_is_caught(kind, world, text):
    """Each of the three would put the fleet over its bound: the search has to find them."""
    with pytest.raises(BrokenError, match=text):
        explore(RightsModel(kind, **world))
