"""The watch on the list of hosts: a chunked HTTP answer that holds one JSON object a line."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from caperdeck.state.backoff import REFUSED, UNREACHABLE, BackOff, BackOffPolicy
from caperdeck.state.timers import cancel

LINE_END = b"\n"
LONGEST_LIST = 16 << 20
MOST_HOSTS = 10_000  # of one list
# What discovery has to tell counts as told 6 s later, if it could be reached, whatever became of the calls.
# A watch that fell silent, a wait, a lost call and another wait take SILENT + ANSWER and twice 0.6 s, 5.8 s;
# a refusal and the wait after it 4.8 s. 200 nodes that lose it in one instant make at most 45 calls in 0.1 s,
# and go on with 670 a second where no connection comes up, 80 where calls hang, 56 where they are refused.
# Danger: discovery may take calls in turn, and turn away what would wait for over 2 s. A call that is given
# up sooner is worked on all the same, and all nodes together keep it busy with calls that nobody waits for.
ANSWER = 2.2  # seconds from a call, its connection with it, until the first line, or the call is given up
PIECE = 0.5  # seconds without a byte of a line that has begun, after which it is silence
LINE_LIFE = 1.0  # seconds that a line may take from its first byte on, doubled each time it was cut off
LONGEST_LINE_LIFE = 48.0
SILENT = 2.4  # seconds without even an empty line after which the watch is opened anew; one comes every 2 s
CHECK = 0.1  # seconds until it is looked again whether a line is still on its way
BACK = 0.02  # seconds until the watch is opened anew by a node that was away


@implementer(IAgentEndpointFactory)
class _ByAddress:
    """Connects to the address as it stands."""

    def __init__(self, reactor: Any, connected: Callable[[Any], None]) -> None:
        self.reactor = reactor
        self.connected = connected

    def endpointForURI(self, uri: URI) -> _Endpoint:
        # Danger: the library looks every host up in a thread, an address too; the node has one thread, and a
        # second one that waits for the first at a start is all that it takes to stall both.
        endpoint = _Endpoint(self.reactor, uri.host.decode(), uri.port, timeout=ANSWER)
        endpoint.connected = self.connected
        return endpoint


class _Endpoint(TCP4ClientEndpoint):
    """Tells of the transport that it has connected, which the library keeps to itself."""

    connected: Callable[[Any], None]

    def connect(self, protocolFactory: Any) -> Any:  # noqa: N803
        return super().connect(protocolFactory).addCallback(self._told)

    def _told(self, protocol: Any) -> Any:
        self.connected(protocol.transport)
        return protocol


class WatchBody(Protocol):
    """The lines of one watch. What a line has come in is put together once, at its end."""

    def __init__(self, watch: Discovery, granted: bool = True) -> None:
        self.watch = watch
        self.granted = granted
        self.heard = False  # a whole line has come
        self.pieces: list[bytes] = []  # of the line that has yet to end
        self.length = 0  # bytes, of the same

    def connectionMade(self) -> None:
        if self.granted:
            self.watch.body = self
        else:
            # Danger: a refusal whose text does not end would be waited for as if it were a watch.
            self.transport.loseConnection()
            self.watch.again(None, REFUSED)

    def dataReceived(self, data: bytes) -> None:
        self.watch.reads += 1
        # Danger: joined with what came before at each piece, a list takes time by the square of its length.
        first, *rest = data.split(LINE_END)
        self._add(first)
        for piece in rest:
            line, self.pieces, self.length = b"".join(self.pieces), [], 0
            self._line(line)
            self._add(piece)
        self.watch.progress(ended=bool(rest), unfinished=bool(self.pieces))

    def _add(self, piece: bytes) -> None:
        if not piece or self.length > LONGEST_LIST:
            return
        self.pieces.append(piece)
        self.length += len(piece)
        if self.length > LONGEST_LIST:
            self.pieces.clear()
            self.watch.complain("list-too-long", f"a line of discovery is over {LONGEST_LIST} bytes")
            self.watch.again(self)

    def _line(self, line: bytes) -> None:
        # Danger: the text of a refusal is no word of the hosts; hosts held to drain would be let go by it.
        if self.watch.body is self and self.granted:
            self.heard = True
            self.watch.line(line.strip())

    def connectionLost(self, reason) -> None:
        self.watch.again(self)


class LineInProgress:
    """Whether a line that has yet to end is still on its way. Seconds of the reactor."""

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.heard_at = -math.inf
        self.longest = LINE_LIFE

    def heard(self, now: float, ended: bool, unfinished: bool) -> None:
        """Bytes have come: whether a line ended in them, and whether one has yet to end."""
        if ended:
            self.began_at, self.longest = None, LINE_LIFE
        if unfinished and self.began_at is None:
            self.began_at = now
        self.heard_at = now

    def comes(self, now: float) -> bool:
        """Whether more of it has come lately, and it may take longer."""
        return self.began_at is not None and now < min(self.heard_at + PIECE, self.began_at + self.longest)

    def given_up(self, now: float) -> None:
        """The watch ends; the next line may take longer if this one was still on its way."""
        # Danger: a list that takes longer than a node waits for it would never be read.
        if self.began_at is not None and now < self.heard_at + PIECE:
            self.longest = min(2 * self.longest, LONGEST_LINE_LIFE)
        self.began_at = None


class Discovery:
    """Keeps a watch open for as long as the node runs."""

    def __init__(
        self, reactor: Any, address: str, rev: int, listed: Callable[[bool, Any], None],
        spoke: Callable[[], None], complain: Callable[[str, str], None], back_off: BackOff,
        excused: Callable[[], bool] = lambda: False, list_lifetime: float = math.inf,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.address = address
        self.rev = rev
        self.listed = listed
        self.spoke = spoke  # called for each line, empty ones too
        self.complain = complain
        self.excused = excused  # whether the node has yet to read what came while it was away
        self.list_lifetime = list_lifetime  # seconds that the list of a watch that has ended is sent by
        pool = HTTPConnectionPool(reactor, persistent=False)
        self.agent = Agent.usingEndpointFactory(reactor, _ByAddress(reactor, self.connected), pool)
        self.transport: Any = None  # of the call that is out, or the watch
        self.body: WatchBody | None = None
        self.in_progress = LineInProgress()
        self.asked: Any = None  # the call that has no answer yet
        self.back_off = back_off
        self.silence = None
        self.retry = None
        self.reads = 0  # how often anything of the list has come
        self.ended_at: float | None = None  # of a watch, until a call since was answered or failed
        self.renewing = False  # a call was made because the list had expired
        self.renewed = False  # and has brought a line, or failed

    def start(self, late: float = 0.0) -> None:
        """Makes the call; so late, an answer is waited for so much less."""
        # Danger: the list that a node is given at its start is old, and hosts gone since may be sent nothing;
        # so the first call waits for nobody, though nodes killed together then ask together.
        self.retry = None
        self.listen_for(max(ANSWER - late, BACK))
        url = f"http://{self.address}/discovery/hosts?watch=1&from={self.rev}".encode()
        asked = self.asked = self.agent.request(b"GET", url, Headers({b"User-Agent": [b"caperdeck"]}))
        asked.addCallbacks(self.answered, lambda failure: self.failed(asked, failure))

    def connected(self, transport: Any) -> None:
        self.transport = transport

    @property
    def open(self) -> bool:
        return self.renewed or (self.body is not None and self.body.heard)

    def unread(self) -> bool:
        """Whether anything has come that is not read yet, the end of the connection too."""
        if self.transport is None or not self.transport.connected:
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass  # the reactor finds out in the same way
        return True

    def expired(self) -> bool:
        """Whether the list is too old to send by, as its watch has ended: once for each, and asks anew."""
        # Danger: what discovery has counts as told whether or not a watch is open, and the wait for the next
        # watch may be longer than the grace.
        if self.ended_at is None or self.reactor.seconds() - self.ended_at < self.list_lifetime:
            return False
        self.ended_at = None
        self.woke()
        self.renewing = True
        return True

    def woke(self) -> None:
        """The node was away: a call that waits is due at once."""
        self.renewing = self.renewed = False
        # Danger: with the silence counted anew, a node that is away again and again never opens the watch.
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
            self.start()

    def move_to(self, address: str) -> None:
        """Watches another discovery from now on; the list last told holds until it speaks."""
        # Danger: another discovery may count its versions anew, and would be asked for none of its changes.
        self.address, self.rev = address, 0
        self.back_off.reset()
        self.leave()
        cancel(self.retry)
        self.give_up()
        self.start()

    def give_up(self) -> None:
        """Nobody waits for the call that is out any more, if one is."""
        asked, self.asked = self.asked, None
        if asked is not None:
            self.transport = None
            asked.cancel()

    def leave(self) -> None:
        """Ends the watch that is open, if any; nothing that it still says counts."""
        body, self.body, self.transport = self.body, None, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()

    def failed(self, asked: Any, failure: Any) -> None:
        if self.asked is asked:
            self.asked = None
            self._answered_or_failed()
            if self.back_off.is_reset:  # once for each time that discovery is away
                self.complain("discovery-unreached", failure.getErrorMessage())
            self.again(None)

    def answered(self, response) -> None:
        self.asked = None
        granted = response.code == 200
        if not granted:
            self._answered_or_failed()
        if not granted and self.back_off.is_reset:
            self.complain("discovery-refused", f"discovery answered {response.code}")
        response.deliverBody(WatchBody(self, granted))

    def _answered_or_failed(self) -> None:
        """A call has been, as far as sends by the list wait for it."""
        self.ended_at = None
        self.renewed = self.renewing

    def listen_for(self, seconds: float) -> None:
        """The watch on silence starts anew."""
        if self.silence is not None and self.silence.active():
            self.silence.reset(seconds)
        else:
            self.silence = self.reactor.callLater(seconds, self.fell_silent)

    def progress(self, ended: bool, unfinished: bool) -> None:
        """Bytes of the list have come: whether a line ended in them, and whether one has yet to end."""
        self.in_progress.heard(self.reactor.seconds(), ended, unfinished)

    def fell_silent(self) -> None:
        # Danger: after the node itself was away the timer runs out before what lies in the socket is read.
        if self.excused():
            self.listen_for(BACK)
            return
        now = self.reactor.seconds()
        if self.body is not None and self.in_progress.comes(now):
            self.listen_for(CHECK)
            return
        self.in_progress.given_up(now)
        late = self._late(self.silence)
        if self.back_off.is_reset:
            waited = SILENT if self.body else ANSWER
            self.complain("discovery-silent", f"nothing from discovery for {waited} s")
        self.give_up()
        # a change that a silent watch misses is told later than one that any other end hides
        self.leave()
        self.ended_at = None
        self.again(None, late=late)

    def _late(self, timer: Any) -> float:
        """By how much a timer that runs now runs late."""
        # Danger: silence, a wait, a call in vain and a wait, each late by a stall, add up past the bound.
        return max(self.reactor.seconds() - timer.getTime(), 0.0)

    def again(self, body: WatchBody | None, policy: BackOffPolicy = UNREACHABLE, late: float = 0.0) -> None:
        """Opens the watch anew a little later, unless that is on the way already."""
        if body is not self.body or self.retry is not None:
            return
        if body is not None and body.heard:
            self.ended_at = self.reactor.seconds()
        self.leave()
        cancel(self.silence)
        # Danger: what was told while the node was away counts as told, whether or not it still can read it.
        wait = BACK if self.excused() else max(self.back_off.next_delay(policy) - late, 0.0)
        self.retry = self.reactor.callLater(wait, self._due)

    def _due(self) -> None:
        self.start(0.0 if self.excused() else self._late(self.retry))

    def line(self, line: bytes) -> None:
        self.listen_for(SILENT)
        self._answered_or_failed()
        self.spoke()
        self.back_off.reset()
        if not line:
            return
        try:
            news = orjson.loads(line)
            whole, rows, rev = bool(news["all"]), news["targets"], int(news["rev"])
            # Danger: what is no list, taken for an empty one, would take every host away.
            if not isinstance(rows, list):
                raise TypeError("targets is no list")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            self.complain("bad-list", f"a line of discovery cannot be read: {error!r:.100}")
            return
        if len(rows) > MOST_HOSTS:
            self.complain("list-too-long", f"{len(rows)} hosts, over {MOST_HOSTS}; the last list is kept")
            return
        # Danger: a change older than the list would bring back hosts that drain since.
        if rev < self.rev and not whole:
            self.complain("list-went-back", f"version {rev} after {self.rev}; the whole list is asked for")
            self.rev = 0
            self.again(self.body)
            return
        self.rev = rev
        self.listed(whole, rows)
