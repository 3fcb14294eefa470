"""Stand-ins for clients, hosts and discovery, and the node's processes, for the cases 6 to 10.

Standard library only. Everything listens on 127.0.0.1 at free ports. The stand-ins follow the operators'
protocol page; what a case makes them do beyond a sound peer's answer is set by the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def free_port() -> int:
    """A port that no process listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


WRITERS: set[asyncio.StreamWriter] = set()  # of all connections of the stand-ins, to be closed at the end


class Record:
    """The record of one run: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = open(path, "w")  # noqa: SIM115
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, who: str, what: str, **values: Any) -> None:
        at = self.now()
        self.events.append({"at": at, "who": who, "what": what, **values})
        text = " ".join(f"{key}={value!r}" for key, value in values.items())
        self.file.write(f"{at:9.4f} {who} {what} {text}\n")
        self.file.flush()

    def select(self, what: str) -> list[dict[str, Any]]:
        return [event for event in self.events if event["what"] == what]


# ---- discovery


class Discovery:
    """The list of hosts over HTTP: a watch is a chunked answer with one JSON object a line.

    `call_s` is the time that one call takes; calls are then served one after another, and one that would wait
    for longer than `max_wait_s` is turned away with 503. `down` keeps it silent.
    """

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.rev = 41
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # by uid: the version of its last change
        self.down = False
        self.up: asyncio.Event | None = None  # set at the return from an outage
        self.given_up_at: list[float] = []  # when nodes gave up a call during an outage
        self.call_s, self.max_wait_s, self.busy_until = 0.0, 2.0, 0.0
        self.refuse_until = 0.0
        self.watches: dict[asyncio.StreamWriter, asyncio.Queue] = {}
        self.silent: set[asyncio.StreamWriter] = set()
        self.server: Any = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def put(self, uid: str, port: int, state: str = "Ready", boot_ms: int = 0, zone: str = "east") -> None:
        """Adds or changes a host, and tells the open watches."""
        self.rev += 1
        self.rows[uid] = {
            "uid": uid, "endpoint": f"{HOST}:{port}", "az": zone, "model": "m1", "pod_group": 0,
            "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms,
        }  # fmt: skip
        self.changed[uid] = self.rev
        self.record.add(self.name, "change", rev=self.rev, uid=uid, state=state, boot_ms=boot_ms)
        line = self._line(False, [self.rows[uid]])
        for queue in self.watches.values():
            queue.put_nowait(line)

    def listed(self) -> list[dict[str, Any]]:
        return [row for row in self.rows.values() if row["state"] != "Gone"]

    def known(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": self.listed()}

    def silence_watches(self) -> None:
        """All open watches fall silent: nothing more comes on them, and they stay open."""
        self.record.add(self.name, "watches-silent", count=len(self.watches))
        self.silent |= set(self.watches)

    def begin_outage(self) -> None:
        """From now on nothing is sent; calls wait."""
        self.record.add(self.name, "outage-begins")
        self.down, self.up, self.given_up_at = True, asyncio.Event(), []

    def end_outage(self) -> None:
        """Calls that still wait are answered at once."""
        self.record.add(self.name, "outage-ends")
        self.down = False
        if self.up is not None:
            self.up.set()

    async def _outlast(self, reader: asyncio.StreamReader, peer: int) -> bool:
        """Holds a call until the outage ends; False if the node gave it up before."""
        self.record.add(self.name, "call-waits", peer=peer)
        end = asyncio.ensure_future(reader.read())
        back = asyncio.ensure_future(self.up.wait())
        try:
            await asyncio.wait({end, back}, return_when="FIRST_COMPLETED")
            if not end.done():
                return True
            self.given_up_at.append(self.record.now())
            self.record.add(self.name, "call-given-up", peer=peer)
            return False
        finally:
            back.cancel()
            if not end.done():
                end.cancel()
                with suppress(asyncio.CancelledError):
                    await end

    def refuse_for(self, seconds: float) -> None:
        """Turns all calls away for so long, as a crowded discovery does."""
        self.record.add(self.name, "turns-calls-away", seconds=seconds)
        self.refuse_until = time.monotonic() + seconds

    def reset_watches(self) -> None:
        self.record.add(self.name, "watches-reset", count=len(self.watches))
        for writer in list(self.watches):
            writer.transport.abort()

    def _line(self, whole: bool, rows: list[dict[str, Any]]) -> bytes:
        return json.dumps({"rev": self.rev, "all": whole, "targets": rows}).encode() + b"\n"

    def _first_line(self, since: int) -> bytes:
        if since >= 41 and since <= self.rev:
            return self._line(False, [self.rows[uid] for uid, rev in self.changed.items() if rev > since])
        return self._line(True, self.listed())

    async def _admit(self) -> bool:
        """Waits for the turn of a call; False if it is turned away."""
        now = time.monotonic()
        if now < self.refuse_until:
            return False
        if not self.call_s:
            return True
        done = max(self.busy_until, now) + self.call_s
        if done - now > self.max_wait_s:
            return False
        self.busy_until = done
        await asyncio.sleep(done - now)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            peer = writer.get_extra_info("peername")[1]
            if self.down and not await self._outlast(reader, peer):
                writer.close()
                return
            if not await self._admit():
                self.record.add(self.name, "call-turned-away", peer=peer, target=target)
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
                writer.close()
                return
            since = int(target.partition("from=")[2] or 0) if "from=" in target else 0
            self.record.add(self.name, "call", peer=peer, target=target, rev=self.rev)
            queue: asyncio.Queue = asyncio.Queue()
            self.watches[writer] = queue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self._first_line(since))
            await self._watch(reader, writer, queue)
        self.watches.pop(writer, None)
        self.silent.discard(writer)
        writer.close()

    async def _watch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, queue: asyncio.Queue
    ) -> None:
        end = asyncio.ensure_future(reader.read())
        try:
            while not end.done():
                line_wait = asyncio.ensure_future(queue.get())
                done, _ = await asyncio.wait({end, line_wait}, timeout=1.9, return_when="FIRST_COMPLETED")
                line = line_wait.result() if line_wait in done else b"\n"
                line_wait.cancel()
                if writer not in self.silent and not self.down:
                    self._chunk(writer, line)
                    await writer.drain()
        finally:
            end.cancel()

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def close(self) -> None:
        self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()


# ---- hosts


class Host:
    """A host that echoes lines. `on_open` may answer a request in its own way: it gets the host, the id, the
    line and the writer, and returns True if it has dealt with the request.
    """

    def __init__(self, record: Record, uid: str) -> None:
        self.record, self.uid = record, uid
        self.draining = False
        self.load = 0.1
        self.boot_ms = 0
        self.sessions: dict[str, asyncio.StreamWriter] = {}
        self.on_open: Callable[[Host, str, str, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.server: Any = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        WRITERS.add(writer)
        try:
            while line := (await reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "replace"):
                if name:
                    writer.write(line.encode() + b"\r\n")
                elif line in ("PING", "STATS"):
                    report = f" x0={self.load},inflight={len(self.sessions)}" if line == "STATS" else ""
                    writer.write(f"PONG{report}\r\n".encode())
                else:
                    name = line.split(" ")[1] if line.startswith("OPEN ") else "?"
                    await self._open(name, line, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            if name:
                self.record.add(self.uid, "ended", id=name, how=type(error).__name__)
        finally:
            if self.sessions.get(name) is writer:
                del self.sessions[name]
            writer.close()

    async def _open(self, name: str, line: str, writer: asyncio.StreamWriter) -> None:
        self.record.add(self.uid, "request", id=name, line=line, draining=self.draining)
        if self.draining:
            self.record.add(self.uid, "answer", id=name, line="BUSY")
            writer.write(b"BUSY\r\n")
            return
        if self.on_open is not None and await self.on_open(self, name, line, writer):
            return
        self.accept(name, writer)

    def accept(self, name: str, writer: asyncio.StreamWriter) -> None:
        self.sessions[name] = writer
        self.record.add(self.uid, "run", id=name)
        writer.write(f"UP r-{self.uid}-{name}\r\n".encode())

    def move(self, name: str) -> None:
        """Sends one client away."""
        writer = self.sessions.pop(name, None)
        if writer is not None:
            self.record.add(self.uid, "move", id=name)
            writer.write(b"MOVE\r\n")
            writer.close()

    async def close(self) -> None:
        self.server.close()
        for writer in list(self.sessions.values()):
            writer.transport.abort()


# ---- clients


class Client:
    """One connection to a node. `answer` is its final answer: a line, "end" or "reset"; None while there is
    none.
    """

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.answer: str | None = None
        self.lines: list[str] = []
        self.ended = ""
        self.reader: Any = None
        self.writer: Any = None
        self.task: Any = None

    async def connect(self, port: int) -> bool:
        try:
            self.reader, self.writer = await asyncio.open_connection(HOST, port)
        except OSError as error:
            self.record.add(self.name, "no-connection", error=type(error).__name__)
            return False
        WRITERS.add(self.writer)
        return True

    def send(self, line: str) -> None:
        self.record.add(self.name, "sent", line=line)
        self.writer.write(line.encode() + b"\r\n")

    async def open(self, port: int, line: str, wait: float) -> str | None:
        """Sends the request and returns the first line or the end that came within the time."""
        if not await self.connect(port):
            return "no-connection"
        self.send(line)
        return await self.read(wait)

    async def read(self, wait: float) -> str | None:
        try:
            data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), wait)
            text = data[:-2].decode("utf-8", "replace")
        except TimeoutError:
            return None
        except asyncio.IncompleteReadError:
            text = "end"
        except ConnectionError:
            text = "reset"
        self.record.add(self.name, "got", line=text)
        if self.answer is None:
            self.answer = text
        return text

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def open_line(name: str, listener: str = "chat", wait_ms: Any = 1200, tenant: str = "acme") -> str:
    """A request line; the flow's key is the name again."""
    return f"OPEN {name} {name} c={listener},t={tenant},d={wait_ms},h=0.01"


def request_id(number: int, prefix: int = 0) -> str:
    return f"{prefix:04x}{number:012x}"


# ---- the node

LISTENER = {"name": "chat", "effect": "idempotent", "group": "all", "handshakeTarget": 0.5, "hardLimit": 2.0,
            "memorySpan": 5.0, "utility": 1.0}  # fmt: skip


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment; `limits` and `invariants` are merged, other keys replaced."""
    value: dict[str, Any] = {
        "fleetSize": 3, "me": 0, "dcs": ["east", "west"], "locality": "east", "discovery": "automatic",
        "limits": {"mostDials": 5, "mayProbe": True, "cancel": True, "retryAfter": True, "maxRetryAfter": 1.0,
                   "dialTimeout": 0.25, "connIdle": 60.0, "parallelTries": False, "peers": False},
        "invariants": {"askEvery": 10.0, "coldFrom": 0.3, "drainGrace": 1.0, "fall": 1.0,
                       "fallMultiple": 2.5, "graceToAnswer": 0.02, "warmAfter": 8.0},
        "listeners": [LISTENER], "projects": [{"name": "acme"}],
        "report": {"how": "pull", "names": ["util", "inflight", "x0"]}, "weights": "rough",
    }  # fmt: skip
    for key, change in changes.items():
        value[key] = value[key] | change if key in ("limits", "invariants") else change
    return value


class Node:
    """One node: its configuration, and the processes that `run` of the deploy file starts for it."""

    def __init__(self, record: Record, folder: Path, name: str, source: Discovery, **changes: Any) -> None:
        self.record, self.name = record, name
        self.folder = folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self.port = free_port()
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": source.address,
            "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": source.known(), "settings": settings(**changes),
        }  # fmt: skip
        self.file = self.folder / "config.json"
        self.processes: list[subprocess.Popen] = []
        self.admin_ports: list[int] = []
        self.write()

    def write(self) -> None:
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.rename(self.file)

    def launch(self) -> int:
        """Starts a process with an admin address of its own; returns its number."""
        number = len(self.processes)
        self.admin_ports.append(free_port())
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment |= {
            "EDGE_NAME": self.name, "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": str(self.file),
            "EDGE_ADMIN_ADDR": f"{HOST}:{self.admin_ports[number]}", "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with open(self.folder / f"log{number}", "wb") as log:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stderr=log)
        self.processes.append(process)
        self.record.add(self.name, "started", process=number)
        return number

    async def start(self) -> int:
        """Starts a process and waits until it takes clients."""
        number = self.launch()
        for _ in range(600):
            if await self.call(number, "readyz") == ["ACK"]:
                self.record.add(self.name, "ready", process=number)
                return number
            if self.processes[number].poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name}: process {number} did not become ready: {self.log(number)[-600:]}")

    async def call(self, number: int, line: str) -> list[str]:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.admin_ports[number])
            WRITERS.add(writer)
            writer.write(line.encode() + b"\n")
            data = await asyncio.wait_for(reader.read(), 3)
            writer.close()
        except (OSError, TimeoutError):
            return []
        return data.decode().split("\r\n")[:-1]

    def signal(self, number: int, what: signal.Signals) -> None:
        self.record.add(self.name, "signal", process=number, signal=what.name)
        self.processes[number].send_signal(what)

    def log(self, number: int) -> str:
        return (self.folder / f"log{number}").read_text(errors="replace")

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


class CannotRunError(Exception):
    """The case could not be played."""


# ---- a run


class Run:
    """What one play of a case needs; everything it started is ended by `end`."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="caperdeck-case-"))
        self.nodes: list[Node] = []
        self.hosts: dict[str, Host] = {}
        self.tasks: list[asyncio.Task] = []
        self.record.add("case", "begins", trouble=self.trouble)

    async def discovery(self, name: str = "discovery") -> Discovery:
        discovery = Discovery(self.record, name)
        await discovery.start()
        return discovery

    async def add_hosts(self, discovery: Discovery, count: int) -> None:
        for number in range(count):
            host = self.hosts[f"s-{number}"] = Host(self.record, f"s-{number}")
            await host.start()
            discovery.put(host.uid, host.port)

    def node(self, name: str, source: Discovery, **changes: Any) -> Node:
        node = Node(self.record, self.temporary, name, source, **changes)
        self.nodes.append(node)
        return node

    def task(self, work: Any) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def end(self) -> None:
        for node in self.nodes:
            node.end()
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(play: Callable[[Run], Awaitable[list[str]]], folder: Path) -> int:
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `play` returns what broke the rule, a line each.
    """

    async def timed(run: Run) -> list[str]:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(play(run), 110)
        finally:
            for task in run.tasks:
                task.cancel()
            for writer in WRITERS:
                writer.transport.abort()
            await asyncio.sleep(0.1)

    # Connections that are still referenced when the loop is gone would be reported one by one.
    sys.unraisablehook = lambda _: None
    run = Run(folder)
    try:
        broken = asyncio.run(timed(run))
    except (CannotRunError, TimeoutError, OSError) as error:
        run.record.add("case", "cannot-run", reason=repr(error))
        print(f"cannot run: {error!r}")
        return 2
    finally:
        run.end()
    for line in broken:
        run.record.add("case", "broken", line=line)
        print(line)
    run.record.add("case", "ends", broken=len(broken))
    print(f"{len(broken)} breaks of the rule" if broken else "the rule held")
    return 1 if broken else 0
