"""Instances of owners as real processes on loopback, and calls to them over one connection."""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import psutil
import tomli_w

from caperdeck.lab.ports import Ports
from caperdeck.owner.commands import LENGTH_PREFIX, call_instance
from caperdeck.raft.codec import encode_frame, decode_frame
from caperdeck.raft.transport import CALL
from caperdeck.state.addresses import Address

from .errors import MeasuringError
from .process import processor_seconds

CLUSTER = "slopes"
LOOPBACK = "127.0.0.1"
POLL_EVERY = 0.005  # seconds between two polls of a process that starts
STARTED = 20.0  # seconds that a start, or an election, may take
ENDED = 5.0  # seconds until a process that was told to end is killed
ANSWERED = 30.0  # seconds until a call counts as lost
OWN_END = """
import sys
from caperdeck.lab.parent_death import end_with_parent
end_with_parent()
"""  # a process that is started so ends with the one that started it
SERVE = OWN_END + "from caperdeck.__main__ import main\nsys.exit(main(sys.argv[1:]))"


class InstanceError(MeasuringError):
    """A process has not started, has ended, or does not answer in time."""


class Process:
    """A process of this rig: ended by its own number, also when what is measured fails."""

    def __init__(self, code: str, *arguments: str, log: Path) -> None:
        self.log = log
        with open(log, "wb") as output:
            command = [sys.executable, "-c", code, *arguments]
            self.popen = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)
        self.figures = psutil.Process(self.popen.pid)

    def check(self) -> None:
        """Raises InstanceError if it has ended by itself."""
        if self.popen.poll() is not None:
            said = self.log.read_text(encoding="utf-8", errors="replace").strip().splitlines()
            raise InstanceError(f"exit {self.popen.returncode}: {said[-1] if said else 'nothing was said'}")

    def cpu(self) -> float:
        """Seconds of processor time, of user and system, so far."""
        return processor_seconds(self.popen.pid)

    def written(self) -> int:
        """Bytes that it has handed to write() so far: files and the log, not sockets."""
        return self.figures.io_counters().write_chars

    def end(self) -> None:
        if self.popen.poll() is None:
            self.popen.terminate()
            try:
                self.popen.wait(ENDED)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()


class Instances:
    """So many instances that agree. They begin at `start` and end with the block."""

    def __init__(
        self, count: int, folder: Path, nodes: dict[str, Address] | None = None, cluster: str = CLUSTER,
    ) -> None:  # fmt: skip
        self.folder, self.ports, self.cluster = folder, Ports(), cluster
        self.addresses = [Address(LOOPBACK, self.ports.reserve(socket.SOCK_STREAM)) for _ in range(count)]
        self.nodes = nodes or {}
        self.processes: list[Process] = []

    def __enter__(self) -> Instances:
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self.processes:
            process.end()
        self.ports.close()

    def disk(self, number: int) -> Path:
        return self.folder / f"disk-{number}"

    def start(self) -> None:
        """Starts all; returns before they are up."""
        for number in range(len(self.addresses)):
            path = self.folder / f"owner-{number}.toml"
            path.write_text(tomli_w.dumps(self._file(number)), encoding="utf-8")
            log = self.folder / f"owner-{number}.log"
            arguments = ["owner", "serve", f"--config={path}"]
            self.processes.append(Process(SERVE, *arguments, log=log))

    def _file(self, number: int) -> dict[str, Any]:
        return {
            "cluster": self.cluster, "me": number, "folder": str(self.disk(number)),
            "instances": {str(i): _text(address) for i, address in enumerate(self.addresses)},
            "nodes": {name: _text(address) for name, address in self.nodes.items()},
        }  # fmt: skip

    def status(self, number: int) -> dict[str, Any] | None:
        return call_instance(self.addresses[number], self.cluster, {"do": "status"})

    def count(self, number: int, event: str) -> int:
        """How often that has happened at an instance; raises InstanceError where it does not answer."""
        status = self.status(number)
        if status is None:
            raise InstanceError(f"o{number} does not answer")
        return status["events"].get(event, 0)

    def until_answered(self, number: int) -> None:
        """Raises InstanceError."""
        self._wait(lambda: self.status(number) is not None, "no answer")

    def leader(self) -> int:
        """The number of the one that leads, once there is one; raises InstanceError."""
        found: list[int] = []

        def one_leads() -> bool:
            found[:] = [i for i in range(len(self.addresses)) if _leads(self.status(i))]
            return bool(found)

        self._wait(one_leads, "no leader")
        return found[0]

    def _wait(self, true: Callable[[], bool], text: str) -> None:
        until = time.monotonic() + STARTED
        while not true():
            for process in self.processes:
                process.check()
            if time.monotonic() > until:
                raise InstanceError(f"{text} in {STARTED:g} s")
            time.sleep(POLL_EVERY)


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"


def _leads(status: dict[str, Any] | None) -> bool:
    return isinstance(status, dict) and status["role"] == "leader"


class Caller:
    """One connection to an instance, on which many calls may wait for their answers at once."""

    def __init__(self, address: Address) -> None:
        self.connection = socket.create_connection(address, ANSWERED)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.connection.makefile("rb")

    def __enter__(self) -> Caller:
        return self

    def __exit__(self, *unused: object) -> None:
        self.reader.close()
        self.connection.close()

    def send(self, number: int, body: dict[str, Any]) -> None:
        data = encode_frame(CLUSTER, CALL, [number, body])
        self.connection.sendall(LENGTH_PREFIX.pack(len(data)) + data)

    def receive(self) -> tuple[int, Any]:
        """The number of a call and its answer; raises OSError where the connection has ended."""
        length = LENGTH_PREFIX.unpack(self._exactly(LENGTH_PREFIX.size))[0]
        number, answer = decode_frame(self._exactly(length), CLUSTER)[1]
        return number, answer

    def _exactly(self, size: int) -> bytes:
        data = self.reader.read(size)
        if len(data) < size:
            raise OSError("the connection has ended")
        return data

    def call_all(
        self, bodies: Iterable[dict[str, Any]], at_once: int,
        answered: Callable[[int], None] = lambda number: None,
    ) -> list[Any]:  # fmt: skip
        """The answers in the order of the calls, of which so many wait at once; `answered` takes numbers."""
        answers: dict[int, Any] = {}

        def receive_one() -> None:
            number, answer = self.receive()
            answered(number)
            answers[number] = answer

        sent = 0
        for body in bodies:
            self.send(sent, body)
            sent += 1
            if sent - len(answers) >= at_once:
                receive_one()
        while len(answers) < sent:
            receive_one()
        return [answers[number] for number in range(sent)]
