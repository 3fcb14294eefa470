"""The bench: one real node on loopback between a process of hosts and a process of clients."""

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

from .errors import MeasurementError
from .process import ProcessError, processor_seconds

REPOSITORY_ROOT = Path(__file__).resolve().parents[3]
LOOPBACK = "127.0.0.1"
HOSTS = 10
HOST_CAPACITY = 8000  # in sessions; the sessions of a run fill a tenth of all hosts
RESERVED_DESCRIPTORS = 1000  # not available to sessions
START_TIMEOUT_S = 30.0  # also for the hosts to see all connections closed
ANSWER_TIMEOUT_S = 120.0  # for the answer to a command
POLL_INTERVAL_S = 0.02
MAX_REFUSED_SHARE = 0.01  # of the connections; with more, the cost is not that of set-up
CLIENT_IDLE_TIMEOUT_S = 3600.0  # longer than any run, so that no idle client is disconnected


def spawn_module(arguments: list[str], **options: Any) -> subprocess.Popen:
    """Starts `python -m` with these arguments, as a process that ends with this one."""
    command = [sys.executable, "-B", "-m", *arguments]
    return subprocess.Popen(command, cwd=REPOSITORY_ROOT, preexec_fn=end_with_parent, **options)


class EndpointProcess:
    """The process of all hosts or of all clients, driven by commands on its standard input."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.process = spawn_module(
            ["caperdeck.lab.slopes.ends", role], stdin=subprocess.PIPE, stdout=subprocess.PIPE, bufsize=0
        )

    def send_command(self, do: str, **values: Any) -> None:
        """Sends a command without waiting for its answer."""
        try:
            self.process.stdin.write(msgspec.json.encode({"do": do, **values}) + b"\n")
        except BrokenPipeError:
            raise MeasurementError(f"the process of {self.role} ended") from None

    def receive_answer(self) -> Any:
        """Waits for the answer to the oldest unanswered command."""
        deadline, received = time.monotonic() + ANSWER_TIMEOUT_S, b""
        while not received.endswith(b"\n"):
            ready, _, _ = select.select([self.process.stdout], [], [], max(deadline - time.monotonic(), 0.0))
            if not ready:
                raise MeasurementError(f"the process of {self.role} gave no answer in {ANSWER_TIMEOUT_S:g} s")
            if not (data := self.process.stdout.read(1 << 16)):
                raise MeasurementError(f"the process of {self.role} ended")
            received += data
        return msgspec.json.decode(received)

    def call(self, do: str, **values: Any) -> Any:
        """Sends a command and returns its answer."""
        self.send_command(do, **values)
        return self.receive_answer()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class Bench:
    """The processes of hosts and clients, which serve any number of nodes one after the other."""

    def __init__(self) -> None:
        self.descriptors = raise_descriptor_limit()
        self.ports = Ports()
        self.folder = tempfile.TemporaryDirectory(prefix="caperdeck-slopes-")
        self.hosts, self.clients = EndpointProcess("hosts"), EndpointProcess("clients")

    def __enter__(self) -> Bench:
        try:
            self.opened_hosts = self.hosts.call("open", hosts=HOSTS, capacity=HOST_CAPACITY)
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
    def max_connections(self) -> int:
        """Sessions that a node can hold within the descriptor limit; each takes two descriptors."""
        return (self.descriptors - RESERVED_DESCRIPTORS) // 2

    def feasible_sizes(self, sizes: Sequence[int], progress: Callable[[str], None]) -> list[int]:
        """The numbers of connections that the descriptor limit allows; reports those left out."""
        if left_out := [size for size in sizes if size > self.max_connections]:
            progress(f"left out, too many for {self.descriptors} descriptors: {left_out}")
        return [size for size in sizes if size <= self.max_connections]

    def nodes(
        self, sizes: Sequence[int], small: bool, progress: Callable[[str], None]
    ) -> Generator[tuple[int, NodeProcess], None, None]:
        """A new node for each feasible number of connections; at small sizes one for all, to save time."""
        sizes = self.feasible_sizes(sizes, progress)
        if small:
            with self.node() as node:
                for size in sizes:
                    yield size, node
            return
        for size in sizes:
            with self.node() as node:
                yield size, node

    def node(self, control: Path | None = None) -> NodeProcess:
        """A node; `control` is the file for `caperdeck serve --control`, if any."""
        return NodeProcess(self, control)


class NodeProcess:
    """A node started by `caperdeck serve`, which accepts clients within its `with` block."""

    def __init__(self, bench: Bench, control: Path | None = None) -> None:
        self.bench, self.control = bench, control
        self.port = bench.ports.reserve(socket.SOCK_STREAM)

    def __enter__(self) -> NodeProcess:
        folder = Path(self.bench.folder.name)
        config, log = folder / "node.json", folder / "node.log"
        config.write_bytes(msgspec.json.encode(self.config()))
        arguments = ["caperdeck", "serve", f"--config={config}"]
        if self.control is not None:
            arguments.append(f"--control={self.control}")
        with open(log, "wb") as output:
            self.process = spawn_module(
                arguments, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                env=os.environ | {"TMPDIR": str(folder)},
            )  # fmt: skip
        try:
            self.wait_until_ready(log)
        except BaseException:
            self.__exit__()
            raise
        return self

    def config(self) -> dict[str, Any]:
        """The configuration, with the descriptor limit and the hosts of the bench."""
        document = node_config(
            Scenario(name="slopes", seconds=1.0, nodes=1), "n0", f"{LOOPBACK}:{self.port}",
            self.bench.opened_hosts["discovery"], 1, 1,
        )  # fmt: skip
        document["limits"]["sockets"] = self.bench.descriptors
        document["known"]["targets"] = self.bench.opened_hosts["rows"]
        document["settings"]["limits"]["connIdle"] = CLIENT_IDLE_TIMEOUT_S
        return document

    def wait_until_ready(self, log: Path) -> None:
        """Waits until the node answers PING; raises MeasurementError with the end of its log."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            with suppress(OSError), socket.create_connection((LOOPBACK, self.port), 1.0) as sock:
                sock.sendall(b"PING\r\n")
                if sock.recv(64).startswith(b"PONG"):
                    return
            time.sleep(POLL_INTERVAL_S)
        raise MeasurementError(f"the node did not start: {log.read_text(errors='replace')[-200:].strip()}")

    def __exit__(self, *unused: Any) -> None:
        self.process.kill()
        self.process.wait()

    # ---- load on the node and its usage

    def open_connections(self, count: int, prefix: str = "i") -> None:
        """Opens `count` more connections; raises MeasurementError if the node refused too many at first."""
        request = {"host": LOOPBACK, "port": self.port, "prefix": prefix, "count": count}
        refused = self.bench.clients.call("open", **request)["refused"]
        if refused > MAX_REFUSED_SHARE * count + 1:
            raise MeasurementError(f"{refused} of {count} connections were refused at first")

    def close_connections(self, reset: bool = False) -> None:
        """Closes all connections, and waits until the hosts have seen it."""
        self.bench.clients.call("close", reset=reset)
        deadline = time.monotonic() + START_TIMEOUT_S
        while self.bench.hosts.call("sessions"):
            if time.monotonic() > deadline:
                raise MeasurementError("hosts still hold connections that clients have closed")
            time.sleep(POLL_INTERVAL_S)

    def processor_time(self) -> float:
        """Processor seconds that the node has used since its start."""
        try:
            return processor_seconds(self.process.pid)
        except (ProcessError, OSError):
            raise MeasurementError("the node ended") from None

    @property
    def pid(self) -> int:
        return self.process.pid
