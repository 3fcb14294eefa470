"""Stand-ins for discovery, hosts, clients and the platform, for the cases of this review.

Each does what the operators' protocol page says of it. Only the standard library is used, all addresses are
loopback addresses, and every process that is started here is ended by `Platform.end`.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
KEEPALIVE_S = 2.0  # between empty lines on a watch
SLACK_S = 0.05  # by which each limit of the rules is longer on sockets
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def add(self, text: str, at: float | None = None) -> None:
        self.file.write(f"{self.now() if at is None else at:9.3f} {text}\n")

    def tell(self, text: str) -> None:
        """Records a line and prints it."""
        self.add(text)
        print(text, flush=True)


def own_address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


# ---- discovery


class Agent:
    """The discovery agent on one node's machine: answers from what it has been sent, or is silent."""

    def __init__(self, record: Record, name: str, rows: dict[str, dict[str, Any]], rev: int = 41) -> None:
        self.record, self.name = record, name
        self.rows = {uid: dict(row) for uid, row in rows.items()}
        self.rev = rev
        self.changed_at = dict.fromkeys(rows, rev)
        self.silent = False  # discovery is down
        self.retired = False  # a new configuration has named another address: no new connections
        self.watches: list[asyncio.StreamWriter] = []
        self.pending: list[tuple[int, asyncio.StreamWriter]] = []  # calls that came while it was silent
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = own_address(self.server)

    def whole_list(self) -> dict[str, Any]:
        """The whole list in discovery's form."""
        return {
            "rev": self.rev,
            "all": True,
            "targets": [row for row in self.rows.values() if row["state"] != "Gone"],
        }

    def learn(self, **states: str) -> None:
        """Takes in a change of states by uid, and sends it on all open watches."""
        self.rev += 1
        for uid, state in states.items():
            self.rows[uid] = self.rows[uid] | {"state": state}
            self.changed_at[uid] = self.rev
        self.record.add(f"agent {self.name} has rev={self.rev} {states}")
        if not self.silent:
            for writer in self.watches:
                self._send(writer, self._changes_since(self.rev - 1))

    def go_silent(self) -> None:
        self.silent = True
        self.record.add(f"agent {self.name} silent")

    def come_back(self, **states: str) -> None:
        """Discovery is back: takes in what it has to tell, answers the calls that wait, and sends it."""
        self.silent = False
        self.learn(**states)
        pending, self.pending = self.pending, []
        for rev, writer in pending:
            self._open_watch(rev, writer)

    def keep_alive(self) -> None:
        if not self.silent:
            for writer in self.watches:
                self._send(writer, b"")

    def retire(self) -> None:
        """Takes no new connection from now on; `close` ends the open ones."""
        self.retired = True
        self.server.close()
        self.record.add(f"agent {self.name} {self.address} takes no new connection")

    def close(self) -> None:
        for writer in self.watches + [writer for _, writer in self.pending]:
            writer.close()
        self.watches.clear()
        self.pending.clear()

    def _changes_since(self, rev: int) -> bytes:
        if not 0 < rev <= self.rev:
            return json.dumps(self.whole_list()).encode()
        rows = [row for uid, row in self.rows.items() if self.changed_at[uid] > rev]
        return json.dumps({"rev": self.rev, "all": False, "targets": rows}).encode()

    def _send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def _open_watch(self, rev: int, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            writer.write(HEAD)
            self._send(writer, self._changes_since(rev))
            self.watches.append(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self.retired:
                return
            head = await reader.readuntil(b"\r\n\r\n")
            text = head.split(b" ")[1].partition(b"from=")[2]
            rev = int(text) if text.isdigit() else 0
            self.record.add(f"agent {self.name} called from={rev}{' (silent)' if self.silent else ''}")
            if self.silent:
                self.pending.append((rev, writer))
            else:
                self._open_watch(rev, writer)
            await reader.read()
            self.record.add(f"agent {self.name} call or watch closed by the node")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches = [other for other in self.watches if other is not writer]
            self.pending = [row for row in self.pending if row[1] is not writer]
            writer.close()


async def keep_alive(agents: list[Agent], after: float = KEEPALIVE_S) -> None:
    """Sends the empty lines of all agents."""
    while True:
        await asyncio.sleep(after)
        after = KEEPALIVE_S
        for agent in agents:
            agent.keep_alive()


# ---- hosts


class Host:
    """A host: answers probes, takes sessions until it drains, and brings back a line for each one."""

    def __init__(self, record: Record, uid: str, zone: str, cell: int) -> None:
        self.record, self.uid, self.zone, self.cell = record, uid, zone, cell
        self.capacity = 200.0  # sessions that fill it
        self.draining = False
        self.failing = 0.0  # share of its sessions that fail once they have run
        self.ran: list[tuple[float, str]] = []  # time and id of each session that took effect
        self.random = random.Random(uid)
        self.received: list[tuple[float, str]] = []  # time of a request's first byte, its id
        self.sessions: dict[str, asyncio.StreamWriter] = {}
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = own_address(self.server)

    def row(self, state: str = "Ready") -> dict[str, Any]:
        return {
            "uid": self.uid, "endpoint": self.address, "az": self.zone, "model": "m", "pod_group": self.cell,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0,
        }  # fmt: skip

    async def drain(self, span: float) -> None:
        """Takes nothing new, and sends its clients away bit by bit."""
        self.draining = True
        waiting = list(self.sessions.items())
        for session_id, writer in waiting:
            await asyncio.sleep(span / len(waiting))
            if self.sessions.pop(session_id, None) is not None:
                writer.write(b"MOVE\r\n")
                writer.close()

    def serve_again(self) -> None:
        self.draining = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session_id = ""
        try:
            while line := await reader.readline():
                at, line = self.record.now(), line.rstrip(b"\r\n")
                if line in (b"PING", b"STATS"):
                    load = len(self.sessions) / self.capacity
                    figures = b" cpu=%.3f,active=%d,x0=%.3f" % (load, len(self.sessions), load)
                    writer.write(b"PONG" + (figures if line == b"STATS" else b"") + b"\r\n")
                elif line.startswith(b"OPEN ") and not session_id:
                    session_id = line.split(b" ")[1].decode()
                    self.received.append((at, session_id))
                    self.record.add(f"host {self.uid} got {line.decode()}", at)
                    if not await self.answer(session_id, writer):
                        break
                elif session_id:
                    writer.write(line + b"\r\n")
                else:
                    writer.write(b"SYNTAX\r\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.sessions.pop(session_id, None)
            writer.close()

    async def answer(self, session_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answers a request; whether the session goes on."""
        if self.draining:
            self.record.add(f"host {self.uid} answers BUSY id={session_id}")
            writer.write(b"BUSY\r\n")
            return False
        self.ran.append((self.record.now(), session_id))
        if self.random.random() < self.failing:
            self.record.add(f"host {self.uid} ran id={session_id} and answers ERR")
            writer.write(b"ERR\r\n")
            return False
        self.sessions[session_id] = writer
        self.record.add(f"host {self.uid} ran id={session_id}")
        writer.write(b"UP r-" + session_id.encode() + b"\r\n")
        return True


# ---- clients


class Clients:
    """Clients that come through a front: it deals them out among the nodes in `addresses`."""

    def __init__(
        self, record: Record, seed: int, addresses: dict[str, str], classes: dict[str, float]
    ) -> None:
        self.record, self.random, self.addresses = record, random.Random(seed), addresses
        self.classes = classes  # wait for an answer in seconds by class
        self.node_of: dict[str, str] = {}  # by session id
        self.opened: dict[str, tuple[str, float]] = {}  # class and time of the request by session id
        self.answers: dict[str, list[str]] = {}  # final answers by session id
        self.cut_off: list[str] = []  # sessions that were up and ended without MOVE or BYE
        self.tasks: set[asyncio.Task] = set()
        self.coming = True

    async def arrive(self, rate: float, life: tuple[float, float]) -> None:
        """New clients at random times."""
        while self.coming:
            await asyncio.sleep(self.random.expovariate(rate))
            self.start(self.client(life))

    def start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def client(self, life: tuple[float, float]) -> None:
        """One client: retries twice after a refusal or failure, and comes again when it is moved."""
        ends_at = self.record.now() + self.random.uniform(*life)
        again, tries, name = "", 0, self.random.choice(list(self.classes))
        while self.coming and tries < 3:
            end = await self._session(name, again, ends_at)
            if end == "over":
                return
            tries, again = (0, ",again=1") if end == "moved" else (tries + 1, again)
            await asyncio.sleep(self.random.uniform(0.16, 1.9) if end == "moved" else 0.2)

    async def _session(self, name: str, again: str, ends_at: float) -> str:
        node = self.random.choice(list(self.addresses))
        session_id = f"{self.random.getrandbits(64):016x}"
        self.node_of[session_id], self.answers[session_id] = node, []
        wait = self.classes[name]
        key = f"{self.random.getrandbits(64):016x}"
        line = f"OPEN {session_id} {key} c={name},d={wait * 1000:.0f},h=0.02{again}"
        host, _, port = self.addresses[node].partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            self.record.add(f"client {session_id} cannot connect to {node}: {error}")
            return "failed"
        try:
            writer.write(line.encode() + b"\r\n")
            self.opened[session_id] = name, self.record.now()
            self.record.add(f"client to {node}: {line}")
            try:
                answer = (await asyncio.wait_for(reader.readline(), wait + 0.6)).decode().strip()
            except TimeoutError:
                answer = ""
            self.answers[session_id].append(answer)
            self.record.add(f"client {session_id} answered {answer!r} by {node}")
            if not answer.startswith("UP "):
                writer.close()
                if answer.startswith("BUSY ") and answer[5:].isdigit():
                    await asyncio.sleep(int(answer[5:]) / 1000)
                return "failed"
            while (left := ends_at - self.record.now()) > 0:
                await asyncio.sleep(min(left, 2.0))
                writer.write(b"tick\r\n")
                reply = await asyncio.wait_for(reader.readline(), 7.0)
                if reply != b"tick\r\n":
                    self.record.add(f"client {session_id} read {reply!r}, comes again")
                    if not reply.startswith((b"MOVE", b"BYE")):
                        self.cut_off.append(session_id)
                    return "moved"
            return "over"
        except (OSError, TimeoutError) as error:
            self.record.add(f"client {session_id} lost its connection: {error!r}")
            if self.answers[session_id]:
                self.cut_off.append(session_id)
            return "moved"
        finally:
            writer.close()


# ---- the platform


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Platform:
    """Starts and stops nodes by the command `run` of the deploy file."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen] = []

    def start(
        self, config: dict[str, Any], label: str, tmp: str, core: int | None = None
    ) -> subprocess.Popen:
        """Starts a process of a node; its files are named by the label, its $TMPDIR by `tmp`.

        With `core` it runs on that core alone, which all processes of a node share.
        """
        cores = sorted(os.sched_getaffinity(0))
        on = None if core is None else {cores[core % len(cores)]}
        (self.folder / tmp).mkdir(exist_ok=True)
        self.write_config(label, config)
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": str(self.folder / tmp), "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"], "EDGE_DISCOVERY": config["discovery"],
            "EDGE_ADMIN_ADDR": config["admin_addr"], "EDGE_CONFIG": str(self.config_path(label)),
        }  # fmt: skip
        with open(self.folder / f"{label}.log", "ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=on and (lambda: os.sched_setaffinity(0, on)),
            )  # fmt: skip
        self.processes.append(process)
        self.record.add(f"platform starts {label} pid={process.pid}")
        return process

    def config_path(self, label: str) -> Path:
        return self.folder / f"{label}.json"

    def write_config(self, label: str, config: dict[str, Any]) -> None:
        """Replaces a process's file in one step."""
        path = self.config_path(label)
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)

    def signal(self, process: subprocess.Popen, number: signal.Signals) -> None:
        self.record.add(f"platform sends {number.name} to pid={process.pid}")
        process.send_signal(number)

    async def ready(self, process: subprocess.Popen, config: dict[str, Any], within: float = 30.0) -> None:
        """Waits until the process says that it takes clients."""
        until = time.monotonic() + within
        while await ask(config["admin_addr"], "readyz") != "ACK":
            if process.poll() is not None or time.monotonic() > until:
                raise CannotRunError(f"a process of {config['name']} is not ready")
            await asyncio.sleep(0.02)
        self.record.add(f"{config['name']} pid={process.pid} says yes to readyz")

    async def ended(self, process: subprocess.Popen, within: float) -> bool:
        until = time.monotonic() + within
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return process.poll() is not None

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if "KEEP_LOGS" in os.environ:
            for file in (*self.folder.glob("*.log"), *self.folder.glob("*.json")):
                shutil.copy(file, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask(address: str, line: str, starts: str = "") -> str:
    """A line of the answer to a call at the admin address, empty if there is none within 1 s: the first one
    that starts so.
    """
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        writer.write(line.encode() + b"\r\n")
        try:
            while text := (await asyncio.wait_for(reader.readline(), 1.0)).decode():
                if text.startswith(starts):
                    return text.strip()
            return ""
        finally:
            writer.close()
    except (OSError, TimeoutError):
        return ""


class Lag:
    """The longest time by which this process itself ran late since the last reset."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def watch(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.longest = max(self.longest, time.monotonic() - began - 0.01)


HELD, BROKEN, NOT_RUN = 0, 10, 2  # exit codes; Python's own for an error of the program is 1


def main(folder: str, play: Callable[[Record, Platform, bool], Awaitable[bool]]) -> None:
    """Plays a case and exits with HELD, BROKEN or NOT_RUN."""
    record = Record(Path(folder) / "record.txt")
    platform = Platform(record)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    code, loop = NOT_RUN, asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        trouble = os.environ.get("TROUBLE") != "0"
        held = loop.run_until_complete(asyncio.wait_for(play(record, platform, trouble), 110.0))
        record.tell("the rule held" if held else "the rule was broken")
        code = HELD if held else BROKEN
    except CannotRunError as error:
        record.tell(f"the case could not run: {error}")
    except Exception:
        record.tell(f"the case could not run: {traceback.format_exc()}")
    finally:
        platform.end()
        record.file.close()
    # Connections are still open; the loop's tasks would complain about them one by one.
    sys.stdout.flush()
    os._exit(code)
