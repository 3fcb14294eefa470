"""New settings that renumber or drop classes while requests wait for the list of hosts."""

import pytest
from helpers import SETUP, accept, connect, make_handler, open_line

from caperdeck.core.settings import decode_names, decode_settings
from caperdeck.lifecycle.config import decode_limits

CHAT, DESK = (SETUP["listeners"][0] | {"name": name} for name in ("chat", "desk"))
PAY = CHAT | {"name": "pay", "effect": "at_most_once"}


def apply_classes(handler, classes):
    setup = SETUP | {"listeners": classes}
    handler.apply_settings(decode_settings(7, setup), decode_names(setup), decode_limits(setup))


def request(handler, number, name):
    return connect(handler, open_line(number).replace(b"c=chat", b"c=" + name))


def settings_change_during_the_wait(before, after, *names):
    """A handler that has placed a request of each class, which came before the settings changed."""
    handler = make_handler(hosts=3)
    apply_classes(handler, before)
    handler.wait_for_list()
    clients = [request(handler, number, name) for number, name in enumerate(names)]
    apply_classes(handler, after)
    handler.reactor.pump([0.0] * 5)
    return handler, clients


@pytest.mark.parametrize(
    "before, after",
    [([CHAT, PAY, DESK], [PAY, DESK]), ([PAY, DESK], [CHAT, PAY, DESK]), ([CHAT, PAY], [PAY])],
    ids=["dropped before", "added before", "fewer classes than its number"],
)
def test_a_request_that_waits_over_new_settings_keeps_its_class(before, after):
    # Guards against once-only sessions that run twice by the rule of another class.
    handler, [client] = settings_change_during_the_wait(before, after, b"pay")
    accept(handler).dataReceived(b"ERR\r\n")
    assert len(handler.reactor.tcpClients) == 1 and client.transport.lines() == [b"ERR"]


def test_a_request_whose_class_is_dropped_while_it_waits_is_refused_and_the_next_one_served():
    # Guards against requests without an answer behind one whose class is no longer in the settings.
    handler, (dropped, kept) = settings_change_during_the_wait([CHAT, PAY], [PAY], b"chat", b"pay")
    assert dropped.transport.lines() == [b"BUSY"]
    accept(handler).dataReceived(b"UP r1\r\n")
    assert kept.transport.lines() == [b"UP r1"]
