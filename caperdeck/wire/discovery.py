"""Watches the host list at discovery: a long-lived HTTP response with one JSON object per line."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError as NoListenerError
from twisted.internet.protocol import Protocol
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from caperdeck.state.backoff import REFUSED, UNREACHABLE, BackOff, BackOffPolicy
from caperdeck.state.errors import is_transient
from caperdeck.state.timers import cancel

from .list_currency import ListCurrency

LINE_END = b"\n"
MAX_LIST_BYTES = 16 << 20
MAX_HOSTS = 10_000  # in one list

# A change counts as notified 6 s after discovery has it, if discovery could be reached, whatever became of
# the calls in between. The time-outs below keep within that: a watch that fell silent, a delay, a lost call
# and another delay take SILENCE_TIMEOUT_S + ANSWER_TIMEOUT_S + 2 * 0.6 s = 5.8 s; a refusal and the delay
# after it take 4.8 s. 200 nodes that lose discovery at the same instant make at most 45 calls in 0.1 s. They
# go on with 670 calls a second if no connection comes up, 80 if calls hang and 56 if calls are refused. Where
# lists are pushed, delays after silence are shorter, and requests make nodes call up to twice a grace.

# From the call, including its connection, to the first line. Discovery may serve calls one after another and
# refuse those that would wait for more than 2 s. With a shorter time-out it would still work on calls that
# were given up, and all nodes together would keep it busy with calls that nobody waits for.
ANSWER_TIMEOUT_S = 2.2
LINE_GAP_TIMEOUT_S = 0.5  # without a byte of a line that has begun, after which the watch counts as silent
INITIAL_LINE_TIMEOUT_S = 1.0  # from a line's first byte to its end; doubled each time a line was cut off
MAX_LINE_TIMEOUT_S = 48.0
SILENCE_TIMEOUT_S = 2.4  # without any line; discovery sends at least an empty one every 2 s
LINE_CHECK_INTERVAL_S = 0.1  # between checks whether an unfinished line is still arriving
RECONNECT_AFTER_STALL_S = 0.02


@implementer(IAgentEndpointFactory)
class _AddressEndpointFactory:
    """Connects to a numeric address without resolving it."""

    def __init__(self, reactor: Any, on_connect: Callable[[Any], None]) -> None:
        self.reactor = reactor
        self.on_connect = on_connect

    def endpointForURI(self, uri: URI) -> _ObservedEndpoint:
        # Twisted's default endpoint resolves every host name in a thread, even a numeric address. The node
        # has a single thread; a second one that waits for the first during the start would block both.
        endpoint = _ObservedEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=ANSWER_TIMEOUT_S)
        endpoint.on_connect = self.on_connect
        return endpoint


class _ObservedEndpoint(TCP4ClientEndpoint):
    """Passes the connected transport to a callback, as Agent does not expose it."""

    on_connect: Callable[[Any], None]

    def connect(self, protocolFactory: Any) -> Any:  # noqa: N803
        return super().connect(protocolFactory).addCallback(self._on_connected)

    def _on_connected(self, protocol: Any) -> Any:
        self.on_connect(protocol.transport)
        return protocol


class WatchBody(Protocol):
    """Splits the body of one response into lines."""

    def __init__(self, watch: Discovery, accepted: bool = True) -> None:
        self.watch = watch
        self.accepted = accepted
        self.has_line = False  # at least one complete line has arrived
        self.chunks: list[bytes] = []  # of the unfinished line
        self.length = 0  # bytes in chunks

    def connectionMade(self) -> None:
        if self.accepted:
            self.watch.body = self
        else:
            # Closed at once: a refusal whose body does not end would be waited for as if it were a watch.
            self.transport.loseConnection()
            self.watch.schedule_retry(None, REFUSED)

    def dataReceived(self, data: bytes) -> None:
        self.watch.read_count += 1
        # Chunks are joined once, at the end of a line: joined at each read, they take time quadratic in its
        # length.
        first, *rest = data.split(LINE_END)
        self._add_chunk(first)
        for chunk in rest:
            line, self.chunks, self.length = b"".join(self.chunks), [], 0
            self._end_line(line)
            self._add_chunk(chunk)
        self.watch.line_progress(ended=bool(rest), unfinished=bool(self.chunks))

    def _add_chunk(self, chunk: bytes) -> None:
        if not chunk or self.length > MAX_LIST_BYTES:
            return
        self.chunks.append(chunk)
        self.length += len(chunk)
        if self.length > MAX_LIST_BYTES:
            self.chunks.clear()
            self.watch.on_problem("list-too-long", f"a line of discovery is over {MAX_LIST_BYTES} bytes")
            self.watch.schedule_retry(self)

    def _end_line(self, line: bytes) -> None:
        # The body of a refusal says nothing about hosts; taken for a line of the list, it would end the
        # presumption that hosts drain while discovery is silent.
        if self.watch.body is self and self.accepted:
            self.has_line = True
            self.watch.line_received(line.strip())

    def connectionLost(self, reason) -> None:
        self.watch.schedule_retry(self)


class LineInProgress:
    """Decides whether an unfinished line is still arriving. Times are seconds of the reactor."""

    def __init__(self) -> None:
        self.line_began_at: float | None = None
        self.last_bytes_at = -math.inf
        self.line_timeout = INITIAL_LINE_TIMEOUT_S

    def bytes_received(self, now: float, ended: bool, unfinished: bool) -> None:
        """Records a read: whether a line ended in it, and whether it left one unfinished."""
        if ended:
            self.line_began_at, self.line_timeout = None, INITIAL_LINE_TIMEOUT_S
        if unfinished and self.line_began_at is None:
            self.line_began_at = now
        self.last_bytes_at = now

    def is_arriving(self, now: float) -> bool:
        """Whether the unfinished line has grown recently and is within its time-out."""
        return self.line_began_at is not None and now < min(
            self.last_bytes_at + LINE_GAP_TIMEOUT_S, self.line_began_at + self.line_timeout
        )

    def abandoned(self, now: float) -> None:
        """Ends the line with its watch; doubles the time-out if the line was still arriving."""
        # With a fixed time-out, a list that takes longer to arrive would never be read.
        if self.line_began_at is not None and now < self.last_bytes_at + LINE_GAP_TIMEOUT_S:
            self.line_timeout = min(2 * self.line_timeout, MAX_LINE_TIMEOUT_S)
        self.line_began_at = None


class Discovery:
    """Keeps a watch on the host list open for as long as the node runs."""

    def __init__(
        self, reactor: Any, address: str, rev: int, on_list: Callable[[bool, Any], None],
        on_line: Callable[[], None], on_problem: Callable[[str, str], None], back_off: BackOff,
        is_catching_up: Callable[[], bool] = lambda: False, list_lifetime: float = math.inf,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.address = address
        self.rev = rev
        self.on_list = on_list
        self.on_line = on_line  # called for each line, including empty ones
        self.on_problem = on_problem
        self.is_catching_up = is_catching_up  # whether data that came during a stall is still unread
        self.currency = ListCurrency(list_lifetime, reactor.seconds())
        pool = HTTPConnectionPool(reactor, persistent=False)
        self.agent = Agent.usingEndpointFactory(
            reactor, _AddressEndpointFactory(reactor, self.on_connect), pool
        )
        self.transport: Any = None  # of the pending call or the open watch
        self.body: WatchBody | None = None
        self.line_in_progress = LineInProgress()
        self.call: Any = None  # the pending call
        self.back_off = back_off
        self.silence_timer = None
        self.retry_timer = None
        self.read_count = 0  # reads that brought a part of the list
        self.refreshing = False  # a call was made because the list had expired
        self.adopted_rev: int | None = None  # of a list from another process; None once discovery has spoken

    def start(self, lateness: float = 0.0) -> None:
        """Calls discovery; the time-out is shorter by the seconds that the call is late."""
        # The first call is made without a random delay, although nodes that were killed together then call
        # together: the list that a node has at its start is old, and hosts that left since must get nothing.
        self.retry_timer = None
        self.restart_silence_timer(max(ANSWER_TIMEOUT_S - lateness, RECONNECT_AFTER_STALL_S))
        url = f"http://{self.address}/discovery/hosts?watch=1&from={self.rev}".encode()
        call = self.call = self.agent.request(b"GET", url, Headers({b"User-Agent": [b"caperdeck"]}))
        call.addCallbacks(self.call_answered, lambda failure: self.call_failed(call, failure))

    def on_connect(self, transport: Any) -> None:
        self.transport = transport
        self.currency.connected()

    @property
    def is_open(self) -> bool:
        refreshed = self.refreshing and not self.currency.refresh_pending
        return refreshed or (self.body is not None and self.body.has_line)

    @property
    def is_current(self) -> bool:
        """Whether new sessions may be placed by the list."""
        return self.currency.is_current(self.reactor.seconds())

    @property
    def current_until(self) -> float | None:
        """The second of the reactor at which the list stops being current; None while a watch confirms it."""
        return self.currency.current_until(self.reactor.seconds())

    def adopt_list(self, address: str, rev: int, current_until: float | None) -> None:
        """Continues with the list of another process of this node, before the first call.

        It came from the discovery at the address.
        """
        self.rev, self.currency.unconfirmed_from = rev, current_until
        if address == self.address:
            self.adopted_rev = rev
            return
        # The revision is one of the other discovery's.
        self.rev = 0
        self.currency.address_changed(self.reactor.seconds())

    def other_process_stopped(self, rev: int | None, current_until: float | None) -> None:
        """The process whose list was adopted serves no longer; these are the values of its last list.

        The revision is None if the process ended without telling them.
        """
        if self.adopted_rev is None:
            return
        # It may have heard of changes in the meantime, and this process's own call may hang.
        changed = rev != self.adopted_rev
        self.currency.unconfirmed_from = self.reactor.seconds() if changed else current_until

    def has_unread_data(self) -> bool:
        """Whether the socket holds unread data or the end of the stream."""
        if self.transport is None or not self.transport.connected:
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass  # the reactor will find the same error
        return True

    def take_expiry(self) -> bool:
        """Whether the list has become too old since its watch ended; True once per watch, and calls anew."""
        # A change counts as notified whether or not a watch is open, and the delay before the next watch may
        # be longer than the grace period of a drain.
        if not self.currency.take_expiry(self.reactor.seconds()):
            return False
        self.on_wake()
        self.refreshing = True
        return True

    def on_wake(self) -> None:
        """After a stall of the node: makes a delayed call at once."""
        self.refreshing = False
        # The silence time-out is not restarted: a node that stalls again and again would never reconnect.
        if self.retry_timer is not None and self.retry_timer.active():
            self.retry_timer.cancel()
            self.start()

    def switch_to(self, address: str) -> None:
        """Switches to another discovery; the last list is used until the new one sends its own, or until the
        changes that it has count as notified.
        """
        self.currency.address_changed(self.reactor.seconds())
        # The other discovery may number its revisions anew: asked for changes since the old revision, it
        # might send none.
        self.address, self.rev, self.adopted_rev = address, 0, None
        self.back_off.reset()
        self.close_watch()
        cancel(self.retry_timer)
        self.cancel_call()
        self.start()

    def cancel_call(self) -> None:
        """Cancels the pending call, if any."""
        call, self.call = self.call, None
        if call is not None:
            self.transport = None
            call.cancel()

    def close_watch(self) -> None:
        """Closes the open watch, if any; what it still sends is ignored."""
        body, self.body, self.transport = self.body, None, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()

    def call_failed(self, call: Any, failure: Any) -> None:
        if self.call is call:
            self.call = None
            if failure.check(NoListenerError):
                self.currency.nobody_listens(self.reactor.seconds())
            elif not is_transient(failure.value):
                # What this machine lacks for a moment says nothing about discovery.
                self.currency.call_failed(self.reactor.seconds())
            if self.back_off.is_reset:  # reported once per outage
                self.on_problem("discovery-unreached", failure.getErrorMessage())
            self.schedule_retry(None)

    def call_answered(self, response) -> None:
        self.call = None
        accepted = response.code == 200
        if not accepted:
            self.currency.call_answered()
        if not accepted and self.back_off.is_reset:
            self.on_problem("discovery-refused", f"discovery answered {response.code}")
        response.deliverBody(WatchBody(self, accepted))

    def restart_silence_timer(self, seconds: float) -> None:
        """Restarts the timer after which the watch counts as silent."""
        if self.silence_timer is not None and self.silence_timer.active():
            self.silence_timer.reset(seconds)
        else:
            self.silence_timer = self.reactor.callLater(seconds, self.on_silence)

    def line_progress(self, ended: bool, unfinished: bool) -> None:
        """Records a read: whether a line ended in it, and whether it left one unfinished."""
        self.line_in_progress.bytes_received(self.reactor.seconds(), ended, unfinished)

    def on_silence(self) -> None:
        # After a stall of the node the timer fires before the data in the socket is read.
        if self.is_catching_up():
            self.restart_silence_timer(RECONNECT_AFTER_STALL_S)
            return
        now = self.reactor.seconds()
        if self.body is not None and self.line_in_progress.is_arriving(now):
            self.restart_silence_timer(LINE_CHECK_INTERVAL_S)
            return
        self.line_in_progress.abandoned(now)
        lateness = self._lateness(self.silence_timer)
        if self.back_off.is_reset:
            waited = SILENCE_TIMEOUT_S if self.body else ANSWER_TIMEOUT_S
            self.on_problem("discovery-silent", f"nothing from discovery for {waited} s")
        self.cancel_call()
        self.currency.silence_given_up(now)
        self.close_watch()
        self.schedule_retry(None, lateness=lateness, max_delay=self.currency.max_call_delay)

    def _lateness(self, timer: Any) -> float:
        """Returns by how many seconds a timer that fires now is late."""
        # Subtracted from the next delay: silence, a delay, a failed call and another delay, each late by a
        # short stall, would together exceed the bound on notifications.
        return max(self.reactor.seconds() - timer.getTime(), 0.0)

    def schedule_retry(
        self, body: WatchBody | None, policy: BackOffPolicy = UNREACHABLE, lateness: float = 0.0,
        max_delay: float = math.inf,
    ) -> None:  # fmt: skip
        """Closes the watch and schedules the next call; does nothing for a body of an earlier watch."""
        if body is not self.body or self.retry_timer is not None:
            return
        if body is not None and body.has_line:
            self.currency.watch_ended(self.reactor.seconds(), noticed_late=self.is_catching_up())
        self.close_watch()
        cancel(self.silence_timer)
        # After a stall without the back-off: changes that came meanwhile count as notified.
        wait = (
            RECONNECT_AFTER_STALL_S
            if self.is_catching_up()
            else max(min(self.back_off.next_delay(policy), max_delay) - lateness, 0.0)
        )
        self.retry_timer = self.reactor.callLater(wait, self._start_retry)

    def _start_retry(self) -> None:
        self.start(0.0 if self.is_catching_up() else self._lateness(self.retry_timer))

    def line_received(self, line: bytes) -> None:
        self.restart_silence_timer(SILENCE_TIMEOUT_S)
        self.adopted_rev = None
        self.currency.call_answered()
        self.on_line()
        self.back_off.reset()
        if not line:
            self.currency.line_received()
            return
        try:
            message = orjson.loads(line)
            complete, rows, rev = bool(message["all"]), message["targets"], int(message["rev"])
            # Taken for an empty list, anything else would remove every host.
            if not isinstance(rows, list):
                raise TypeError("targets is no list")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            self.on_problem("bad-list", f"a line of discovery cannot be read: {error!r:.100}")
            return
        if len(rows) > MAX_HOSTS:
            self.on_problem("list-too-long", f"{len(rows)} hosts, over {MAX_HOSTS}; the last list is kept")
            return
        # A change older than the list would bring back hosts that have begun to drain since.
        if rev < self.rev and not complete:
            self.on_problem("list-went-back", f"version {rev} after {self.rev}; the whole list is asked for")
            self.rev = 0
            self.schedule_retry(self.body)
            return
        self.rev = rev
        self.currency.line_received()
        self.on_list(complete, rows)
