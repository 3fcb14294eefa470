"""An id that comes again: a once-only request that may have run is not served a second time."""

import pytest
from helpers import accept, connect, establish, lose_connection, make_handler, open_line
from test_upgrade import serving_pair

from caperdeck.ops.id_messages import UnsentIdChanges, decode_ids
from caperdeck.state.request_ids import MAX_SENT_IDS, IdChange, RequestIds, id_digest

ONCE_ONLY = {"effect": "at_most_once"}
REFUSED = [b"ERR"]


def once_only_handler():
    return make_handler(hosts=2, listener=ONCE_ONLY)


def send_one(handler, number=1):
    """A client whose request has reached a host; returns both connections."""
    client = connect(handler, open_line(number))
    return client, accept(handler)


def client_leaves(client, host):
    lose_connection(client)


def client_is_reset(client, host):
    lose_connection(client, clean=False)


def host_answers_with_an_error(client, host):
    host.dataReceived(b"ERR\r\n")


def host_is_reset(client, host):
    lose_connection(host, clean=False)


def served_and_ended(client, host):
    host.dataReceived(b"UP r1\r\n")
    lose_connection(client)


def served_and_moved(client, host):
    host.dataReceived(b"UP r1\r\nMOVE\r\n")
    lose_connection(host)
    lose_connection(client)


MAY_HAVE_RUN = [
    client_leaves, client_is_reset, host_answers_with_an_error, host_is_reset, served_and_ended,
    served_and_moved,
]  # fmt: skip


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_a_once_only_id_that_may_have_run_is_not_served_again(end):
    # Guards against a once-only request that runs twice as its client comes again with the same id.
    handler = once_only_handler()
    end(*send_one(handler))
    dials = len(handler.reactor.tcpClients)
    assert connect(handler, open_line(1)).transport.lines() == REFUSED
    assert len(handler.reactor.tcpClients) == dials
    assert connect(handler, open_line(2)).transport.lines() == []


def host_is_full(client, host):
    host.dataReceived(b"BUSY\r\n")


def test_a_once_only_id_that_has_never_run_is_served_again():
    # Guards against a client refused for good after a refusal that says that trying again is harmless.
    handler = make_handler(hosts=1, listener=ONCE_ONLY, mostDials=1)
    client, host = send_one(handler)
    host_is_full(client, host)
    assert client.transport.lines()[0].startswith(b"BUSY")
    lose_connection(client)
    handler.reactor.advance(8.0)  # the host counts as full for some seconds
    assert connect(handler, open_line(1)).transport.lines() == []


def test_a_once_only_id_that_was_not_sent_is_served_again():
    handler = once_only_handler()
    client = connect(handler, open_line(1))
    lose_connection(client)
    assert connect(handler, open_line(1)).transport.lines() == []


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_an_idempotent_id_is_served_again(end):
    # Guards against clients refused where a second run does no harm.
    handler = make_handler(hosts=2, mostDials=1)
    client, host = send_one(handler)
    end(client, host)
    lose_connection(client)
    handler.reactor.advance(8.0)
    assert connect(handler, open_line(1)).transport.lines() != REFUSED


def test_a_once_only_id_sent_by_either_process_of_an_upgrade_is_not_served_by_the_other(tmp_path):
    # Guards against the same over an upgrade: sent before it, during it, and by the new process.
    old, new, hand_over_port = serving_pair(tmp_path, listener=ONCE_ONLY)
    idle = [connect(old) for _ in range(2)]
    lose_connection(send_one(old, 1)[0])
    crossing, _ = send_one(old, 2)
    hand_over_port()
    lose_connection(crossing)
    idle[0].dataReceived(open_line(3) + b"\r\n")
    accept(old)
    lose_connection(idle[0])
    for number in (1, 2, 3):
        assert connect(new, open_line(number)).transport.lines() == REFUSED
    lose_connection(send_one(new, 4)[0])
    idle[1].dataReceived(open_line(4) + b"\r\n")
    assert idle[1].transport.lines() == REFUSED


def test_a_once_only_id_stays_used_after_the_other_process_has_gone(tmp_path):
    # Guards against a second run after the process that sent the first one has ended.
    old, new, hand_over_port = serving_pair(tmp_path, listener=ONCE_ONLY)
    establish(old)
    hand_over_port()
    assert connect(new, open_line(0)).transport.lines() == REFUSED
    new.refresh_ids.__self__.side.link.close()
    assert connect(new, open_line(0)).transport.lines() == REFUSED


def unreported_request(tmp_path):
    """An old process whose link had no room for the id of a once-only request that it has sent; also the new
    process, and a function that makes room.
    """
    old, new, hand_over_port = serving_pair(tmp_path, listener=ONCE_ONLY)
    upgrade = old.refresh_ids.__self__
    del upgrade.hand_over_connections
    late = connect(old)
    hand_over_port()
    link = upgrade.side.link
    room, link.try_send = link.try_send, lambda message, fds: False
    late.dataReceived(open_line(1) + b"\r\n")
    accept(old)
    lose_connection(late)
    return upgrade, new, lambda: setattr(link, "try_send", room)


def test_an_old_process_does_not_finish_before_the_new_one_knows_what_it_has_sent(tmp_path):
    # Guards against a once-only request that runs again at the new process, as the old one has ended.
    upgrade, new, make_room = unreported_request(tmp_path)
    finished = []
    upgrade.finish = lambda: finished.append(True)
    upgrade.reactor.advance(0.05)
    assert not finished
    make_room()
    upgrade.reactor.pump([0.01] * 5)
    assert finished and connect(new, open_line(1)).transport.lines() == REFUSED


def test_an_old_process_that_is_stopped_tells_the_new_one_what_it_has_sent(tmp_path):
    # Guards against the same as the old process ends by a signal.
    upgrade, new, make_room = unreported_request(tmp_path)
    make_room()
    upgrade.detach()
    assert connect(new, open_line(1)).transport.lines() == REFUSED


def test_the_memory_of_sent_ids_is_bounded():
    # Guards against memory without end, for ever new ids.
    ids = RequestIds()
    for number in range(MAX_SENT_IDS + 3):
        ids.mark_sent(str(number))
    assert len(ids.sent) == MAX_SENT_IDS
    assert [ids.was_sent(str(number)) for number in (0, 2, 3, MAX_SENT_IDS + 2)] == [False, False, True, True]


def test_the_end_of_one_of_two_sessions_with_an_id_does_not_free_it():
    # Guards against a third client served with an id that two sessions have, as after a lost link.
    ids = RequestIds()
    ids.mark_open("a")
    ids.mark_open("a")
    ids.mark_closed("a")
    assert ids.is_in_use("a")
    ids.mark_closed("a")
    assert not ids.is_in_use("a")


def test_two_requests_of_an_id_at_the_other_process_are_counted_there_too():
    # Guards against the same at the process that does not hold them, also while it has not read of them.
    ids, unsent, told = RequestIds(), UnsentIdChanges(), RequestIds()
    ids.on_change = lambda table, request_id, added: unsent.add(IdChange(table, id_digest(request_id), added))
    for mark in (ids.mark_open, ids.mark_open):
        mark("a")
    unsent.send(lambda message: [told.apply(change) for change in decode_ids(message)])
    for in_use in (True, False):
        ids.mark_closed("a")
        unsent.send(lambda message: [told.apply(change) for change in decode_ids(message)])
        assert told.is_in_use("a") is in_use
