"""One real node on loopback between a process of hosts and a process of clients, and its figures."""

from __future__ import annotations

import os
import select
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Generator, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from caperdeck.lab.parent_death import end_with_parent
from caperdeck.lab.ports import Ports
from caperdeck.lab.scenario import Scenario
from caperdeck.lab.setup import node_config
from caperdeck.state.descriptors import raise_descriptor_limit

from .errors import MeasuringError
from .process import ProcessError, processor_seconds

ROOT = Path(__file__).resolve().parents[3]
LOOPBACK = "127.0.0.1"
HOSTS = 10
HOST_CAPACITY = 8000  # sessions that fill a host: those of a run fill a tenth of all hosts
SPARE = 1000  # descriptors of the limit that sessions leave to everything else
START = 30.0  # seconds until a part has to answer
ANSWER = 120.0  # seconds until a command has to be answered
POLL_EVERY = 0.02  # seconds between polls of what is waited for
MOST_REFUSED = 0.01  # of the connections, past which a set-up is not what is measured
IDLE = 3600.0  # seconds after which a client that says nothing would be sent away


def spawn(words: list[str], **options: Any) -> subprocess.Popen:
    command = [sys.executable, "-B", "-m", *words]
    return subprocess.Popen(command, cwd=ROOT, preexec_fn=end_with_parent, **options)


class EndProcess:
    """One of the processes at the ends."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.process = spawn(
            ["caperdeck.lab.slopes.ends", role], stdin=subprocess.PIPE, stdout=subprocess.PIPE, bufsize=0
        )

    def tell(self, do: str, **values: Any) -> None:
        """Sends a command whose answer is taken later."""
        try:
            self.process.stdin.write(msgspec.json.encode({"do": do, **values}) + b"\n")
        except BrokenPipeError:
            raise MeasuringError(f"the process of {self.role} ended") from None

    def answer(self) -> Any:
        """The answer to the oldest command without one."""
        until, held = time.monotonic() + ANSWER, b""
        while not held.endswith(b"\n"):
            ready, _, _ = select.select([self.process.stdout], [], [], max(until - time.monotonic(), 0.0))
            if not ready:
                raise MeasuringError(f"the process of {self.role} gave no answer in {ANSWER:g} s")
            if not (data := self.process.stdout.read(1 << 16)):
                raise MeasuringError(f"the process of {self.role} ended")
            held += data
        return msgspec.json.decode(held)

    def ask(self, do: str, **values: Any) -> Any:
        self.tell(do, **values)
        return self.answer()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class Bench:
    """The hosts and the clients, for as many nodes one after the other as are wanted."""

    def __init__(self) -> None:
        self.descriptors = raise_descriptor_limit()
        self.ports = Ports()
        self.folder = tempfile.TemporaryDirectory(prefix="caperdeck-slopes-")
        self.hosts, self.clients = EndProcess("hosts"), EndProcess("clients")

    def __enter__(self) -> Bench:
        try:
            self.listed = self.hosts.ask("open", hosts=HOSTS, capacity=HOST_CAPACITY)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *unused: Any) -> None:
        self.hosts.end()
        self.clients.end()
        self.ports.close()
        self.folder.cleanup()

    @property
    def most_connections(self) -> int:
        """Sessions that a node here can hold; each takes two descriptors."""
        return (self.descriptors - SPARE) // 2

    def possible(self, sizes: Sequence[int], say: Callable[[str], None]) -> list[int]:
        """The numbers of connections that the limit of descriptors allows; says which are left out."""
        if left_out := [size for size in sizes if size > self.most_connections]:
            say(f"left out, too many for {self.descriptors} descriptors: {left_out}")
        return [size for size in sizes if size <= self.most_connections]

    def nodes(
        self, sizes: Sequence[int], small: bool, say: Callable[[str], None]
    ) -> Generator[tuple[int, NodeProcess], None, None]:
        """A new node for each possible number of connections; at small sizes, to save time, one for all."""
        sizes = self.possible(sizes, say)
        if small:
            with self.node() as node:
                for size in sizes:
                    yield size, node
            return
        for size in sizes:
            with self.node() as node:
                yield size, node

    def node(self, control: Path | None = None) -> NodeProcess:
        """`control`: the file of that name for `caperdeck serve`."""
        return NodeProcess(self, control)


class NodeProcess:
    """A node as `caperdeck serve`, ready for clients within its `with` block."""

    def __init__(self, bench: Bench, control: Path | None = None) -> None:
        self.bench, self.control = bench, control
        self.port = bench.ports.reserve(socket.SOCK_STREAM)

    def __enter__(self) -> NodeProcess:
        folder = Path(self.bench.folder.name)
        config, log = folder / "node.json", folder / "node.log"
        config.write_bytes(msgspec.json.encode(self.config()))
        words = ["caperdeck", "serve", f"--config={config}"]
        if self.control is not None:
            words.append(f"--control={self.control}")
        with open(log, "wb") as file:
            self.process = spawn(
                words, stdin=subprocess.DEVNULL, stdout=file, stderr=file,
                env=os.environ | {"TMPDIR": str(folder)},
            )  # fmt: skip
        try:
            self.await_ready(log)
        except BaseException:
            self.__exit__()
            raise
        return self

    def config(self) -> dict[str, Any]:
        made = node_config(
            Scenario(name="slopes", seconds=1.0, nodes=1), "n0", f"{LOOPBACK}:{self.port}",
            self.bench.listed["discovery"], 1, 1,
        )  # fmt: skip
        made["limits"]["sockets"] = self.bench.descriptors
        made["known"]["targets"] = self.bench.listed["rows"]
        made["settings"]["limits"]["connIdle"] = IDLE
        return made

    def await_ready(self, log: Path) -> None:
        """Until the node answers PING."""
        until = time.monotonic() + START
        while time.monotonic() < until and self.process.poll() is None:
            with suppress(OSError), socket.create_connection((LOOPBACK, self.port), 1.0) as sock:
                sock.sendall(b"PING\r\n")
                if sock.recv(64).startswith(b"PONG"):
                    return
            time.sleep(POLL_EVERY)
        raise MeasuringError(f"the node did not start: {log.read_text(errors='replace')[-200:].strip()}")

    def __exit__(self, *unused: Any) -> None:
        self.process.kill()
        self.process.wait()

    # ---- what is done to it

    def open(self, count: int, prefix: str = "i") -> None:
        """So many connections more; raises MeasuringError if the node refused too many of them first."""
        asked = {"host": LOOPBACK, "port": self.port, "prefix": prefix, "count": count}
        refused = self.bench.clients.ask("open", **asked)["refused"]
        if refused > MOST_REFUSED * count + 1:
            raise MeasuringError(f"{refused} of {count} connections were refused at first")

    def close(self, reset: bool = False) -> None:
        """Ends all connections, and waits until the hosts have seen it."""
        self.bench.clients.ask("close", reset=reset)
        until = time.monotonic() + START
        while self.bench.hosts.ask("sessions"):
            if time.monotonic() > until:
                raise MeasuringError("hosts still hold connections that clients have ended")
            time.sleep(POLL_EVERY)

    def processor(self) -> float:
        """Processor seconds that the node has used."""
        try:
            return processor_seconds(self.process.pid)
        except (ProcessError, OSError):
            raise MeasuringError("the node ended") from None

    @property
    def pid(self) -> int:
        return self.process.pid
