"""The id of another client's open request, during an upgrade.

A third of the requests are answered late by their hosts, so that some are open when the new process begins
to take clients. Bad clients send the ids of open requests, again as soon as they are turned away. Without the
upgrade each of them gets its error.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import Client, Host, Node, Run, main, open_line, request_id

HOSTS = 6
CLIENT_EVERY_S = 0.03
LATE_S = 0.25  # how late every third answer comes; the first dial is given 0.3 s
COPIED_AFTER_S = 0.04  # a request that is open for so long has its id copied
AGAIN_S = 0.02  # until a bad client that was turned away comes again
HELD_S = 1.0  # how long the first client stays after its UP
AFTER_READY_S = 1.0
WITHOUT_UPGRADE_S = 2.5


class LateAnswers:
    """Every third request is answered late, whichever host it reaches."""

    def __init__(self) -> None:
        self.requests = 0

    async def __call__(self, host: Host, name: str, line: str, writer: asyncio.StreamWriter) -> bool:
        self.requests += 1
        if self.requests % 3 == 0:
            await asyncio.sleep(LATE_S)
        return writer.is_closing()


class Pair:
    """A usual client, and the bad client that sends its id again while its request is open."""

    def __init__(self, run: Run, node: Node, number: int) -> None:
        self.run, self.node, self.name = run, node, request_id(number)
        self.first = Client(run.record, f"client-{number}")
        self.turned_away = 0
        self.ended_at: float | None = None  # the end of the first client's connection
        self.served_at: float | None = None  # the UP that the second one got

    async def play(self) -> None:
        copy = self.run.task(self.copy())
        answer = await self.first.open(self.node.port, open_line(self.name, wait_ms=2000), 2.5)
        if answer is not None and answer.startswith("UP "):
            await asyncio.sleep(HELD_S)
        self.ended_at = self.run.record.now()
        self.first.close()
        await copy

    async def copy(self) -> None:
        await asyncio.sleep(COPIED_AFTER_S)
        while self.ended_at is None and self.served_at is None:
            client = Client(self.run.record, f"bad-{self.name[-4:]}-{self.turned_away}")
            answer = await client.open(self.node.port, open_line(self.name, wait_ms=2000), 2.5)
            if answer is not None and answer.startswith("UP "):
                self.served_at = self.run.record.now()
            else:
                self.turned_away += 1
            client.close()
            await asyncio.sleep(AGAIN_S)

    @property
    def is_broken(self) -> bool:
        return self.served_at is not None and (self.ended_at is None or self.ended_at > self.served_at)


async def send_pairs(run: Run, node: Node, pairs: list[Pair]) -> None:
    while True:
        pair = Pair(run, node, len(pairs) + 1)
        pairs.append(pair)
        run.task(pair.play())
        await asyncio.sleep(CLIENT_EVERY_S)


async def play(run: Run) -> list[str]:
    discovery = await run.discovery()
    await run.add_hosts(discovery, HOSTS)
    node = run.node("n0", discovery)
    await node.start()
    await asyncio.sleep(1.2)
    late = LateAnswers()
    for host in run.hosts.values():
        host.on_open = late
    pairs: list[Pair] = []
    sending = run.task(send_pairs(run, node, pairs))
    if run.trouble:
        await node.start()
        await asyncio.sleep(AFTER_READY_S)
    else:
        await asyncio.sleep(WITHOUT_UPGRADE_S)
    sending.cancel()
    await asyncio.sleep(3.5)
    run.record.add("case", "turned-away", times=sum(pair.turned_away for pair in pairs))
    return [
        f"id {pair.name} was served to a second client at {pair.served_at:.3f} s, while the first one's "
        f"request was open until {'the end' if pair.ended_at is None else f'{pair.ended_at:.3f} s'}"
        for pair in pairs
        if pair.is_broken
    ]


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
