"""The watch on the list of hosts: a chunked HTTP answer that holds one JSON object a line."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from .lines import cancel

LONGEST_LIST = 16 << 20
AGAIN = 0.1  # seconds until the watch is opened again, doubled up to
AGAIN_MOST = 1.0
SILENT = 5.0  # seconds without even an empty line after which the watch is opened anew


class _WatchBody(LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = LONGEST_LIST

    def __init__(self, watch: Discovery) -> None:
        self.watch = watch

    def connectionMade(self) -> None:
        self.watch.body = self

    def lineReceived(self, line: bytes) -> None:
        if self.watch.body is self:
            self.watch.line(line.strip())

    def lineLengthExceeded(self, line: bytes) -> None:
        self.watch.complain("list-too-long", f"a line of discovery is over {LONGEST_LIST} bytes")
        self.watch.again(self)

    def connectionLost(self, reason) -> None:
        self.watch.again(self)


class Discovery:
    """Keeps a watch open for as long as the node runs."""

    def __init__(
        self, reactor: Any, address: str, rev: int, listed: Callable[[bool, Any], None],
        spoke: Callable[[], None], complain: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.address = address
        self.rev = rev
        self.listed = listed
        self.spoke = spoke  # called for each line, empty ones too
        self.complain = complain
        self.agent = Agent(reactor, connectTimeout=2.0, pool=HTTPConnectionPool(reactor, persistent=False))
        self.body: _WatchBody | None = None
        self.asked = None
        self.wait = AGAIN
        self.silence = None
        self.retry = None

    def start(self) -> None:
        self.retry = None
        self.heard()
        url = f"http://{self.address}/discovery/hosts?watch=1&from={self.rev}".encode()
        asked = self.asked = self.agent.request(b"GET", url, Headers({b"User-Agent": [b"caperdeck"]}))
        asked.addCallbacks(self.answered, lambda failure: self.failed(asked, failure))

    def move_to(self, address: str) -> None:
        """Watches another discovery from now on; the list last told holds until it speaks."""
        # Danger: another discovery may count its versions anew, and would be asked for none of its changes.
        self.address, self.rev, self.wait = address, 0, AGAIN
        asked, self.asked = self.asked, None
        self.leave()
        cancel(self.retry)
        if asked is not None:
            asked.cancel()
        self.start()

    def leave(self) -> None:
        """Ends the watch that is open, if any; nothing that it still says counts."""
        body, self.body = self.body, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()

    def failed(self, asked: Any, failure: Any) -> None:
        if self.asked is asked:
            if self.wait == AGAIN:  # once for each time that discovery is away
                self.complain("discovery-unreached", failure.getErrorMessage())
            self.again(None)

    def answered(self, response) -> None:
        if response.code != 200:
            self.complain("discovery-refused", f"discovery answered {response.code}")
        response.deliverBody(_WatchBody(self))

    def heard(self) -> None:
        """Something has come; the watch on silence starts anew."""
        if self.silence is not None and self.silence.active():
            self.silence.reset(SILENT)
        else:
            self.silence = self.reactor.callLater(SILENT, self.fell_silent)

    def fell_silent(self) -> None:
        self.complain("discovery-silent", f"nothing from discovery for {SILENT} s")
        body = self.body
        if body is None:
            self.asked.cancel()
        else:
            self.again(body)

    def again(self, body: _WatchBody | None) -> None:
        """Opens the watch anew a little later, unless that is on the way already."""
        if body is not self.body or self.retry is not None:
            return
        self.leave()
        self.retry = self.reactor.callLater(self.wait, self.start)
        self.wait = min(self.wait * 2, AGAIN_MOST)

    def line(self, line: bytes) -> None:
        self.heard()
        self.spoke()
        self.wait = AGAIN
        if not line:
            return
        try:
            news = orjson.loads(line)
            whole, rows, rev = bool(news["all"]), news["targets"], int(news["rev"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            self.complain("bad-list", f"a line of discovery cannot be read: {error!r:.100}")
            return
        self.rev = rev
        self.listed(whole, rows)
