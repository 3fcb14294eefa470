"""Owner instances as real processes on loopback, and calls to them over one connection."""

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

from .errors import MeasurementError
from .process import processor_seconds

CLUSTER = "slopes"
LOOPBACK = "127.0.0.1"
POLL_INTERVAL_S = 0.005
START_TIMEOUT_S = 20.0  # for a start or an election
STOP_TIMEOUT_S = 5.0  # from SIGTERM to SIGKILL
CALL_TIMEOUT_S = 30.0
# Start of the code of a child process: lets it end with the process that started it.
END_WITH_PARENT = """
import sys
from caperdeck.lab.parent_death import end_with_parent
end_with_parent()
"""
SERVE = END_WITH_PARENT + "from caperdeck.__main__ import main\nsys.exit(main(sys.argv[1:]))"


class InstanceError(MeasurementError):
    """A process did not start, has ended, or did not answer in time."""


class LoggedProcess:
    """A child process whose output goes to a log file."""

    def __init__(self, code: str, *arguments: str, log: Path) -> None:
        self.log = log
        with open(log, "wb") as output:
            command = [sys.executable, "-c", code, *arguments]
            self.popen = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)
        self.psutil_process = psutil.Process(self.popen.pid)

    def check(self) -> None:
        """Raises InstanceError with the last line of the log if the process has ended by itself."""
        if self.popen.poll() is not None:
            lines = self.log.read_text(encoding="utf-8", errors="replace").strip().splitlines()
            raise InstanceError(f"exit {self.popen.returncode}: {lines[-1] if lines else 'no output'}")

    def cpu_seconds(self) -> float:
        """User and system time since the start."""
        return processor_seconds(self.popen.pid)

    def bytes_written(self) -> int:
        """Bytes passed to write() since the start: files and the log, not sockets."""
        return self.psutil_process.io_counters().write_chars

    def end(self) -> None:
        """Terminates the process, and kills it if it has not ended after STOP_TIMEOUT_S."""
        if self.popen.poll() is None:
            self.popen.terminate()
            try:
                self.popen.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()


class Instances:
    """The instances of a cluster. `start` starts them; they end with the `with` block."""

    def __init__(
        self, count: int, folder: Path, nodes: dict[str, Address] | None = None, cluster: str = CLUSTER,
    ) -> None:  # fmt: skip
        self.folder, self.ports, self.cluster = folder, Ports(), cluster
        self.addresses = [Address(LOOPBACK, self.ports.reserve(socket.SOCK_STREAM)) for _ in range(count)]
        self.nodes = nodes or {}
        self.processes: list[LoggedProcess] = []

    def __enter__(self) -> Instances:
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self.processes:
            process.end()
        self.ports.close()

    def disk(self, number: int) -> Path:
        """The data folder of an instance."""
        return self.folder / f"disk-{number}"

    def start(self) -> None:
        """Starts all instances without waiting until they are ready."""
        for number in range(len(self.addresses)):
            path = self.folder / f"owner-{number}.toml"
            path.write_text(tomli_w.dumps(self._config(number)), encoding="utf-8")
            log = self.folder / f"owner-{number}.log"
            arguments = ["owner", "serve", f"--config={path}"]
            self.processes.append(LoggedProcess(SERVE, *arguments, log=log))

    def _config(self, number: int) -> dict[str, Any]:
        return {
            "cluster": self.cluster, "me": number, "folder": str(self.disk(number)),
            "instances": {str(i): _address_text(address) for i, address in enumerate(self.addresses)},
            "nodes": {name: _address_text(address) for name, address in self.nodes.items()},
        }  # fmt: skip

    def status(self, number: int) -> dict[str, Any] | None:
        """The status of an instance; None if it does not answer."""
        return call_instance(self.addresses[number], self.cluster, {"do": "status"})

    def event_count(self, number: int, event: str) -> int:
        """How often an event has occurred at an instance; raises InstanceError if it does not answer."""
        status = self.status(number)
        if status is None:
            raise InstanceError(f"o{number} does not answer")
        return status["events"].get(event, 0)

    def wait_for_answer(self, number: int) -> None:
        """Waits until an instance answers; raises InstanceError after START_TIMEOUT_S."""
        self._wait_for(lambda: self.status(number) is not None, "no answer")

    def wait_for_leader(self) -> int:
        """Waits for a leader and returns its number; raises InstanceError after START_TIMEOUT_S."""
        leaders: list[int] = []

        def one_leads() -> bool:
            leaders[:] = [i for i in range(len(self.addresses)) if _is_leader(self.status(i))]
            return bool(leaders)

        self._wait_for(one_leads, "no leader")
        return leaders[0]

    def _wait_for(self, condition: Callable[[], bool], failure: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            for process in self.processes:
                process.check()
            if time.monotonic() > deadline:
                raise InstanceError(f"{failure} in {START_TIMEOUT_S:g} s")
            time.sleep(POLL_INTERVAL_S)


def _address_text(address: Address) -> str:
    return f"{address.host}:{address.port}"


def _is_leader(status: dict[str, Any] | None) -> bool:
    return isinstance(status, dict) and status["role"] == "leader"


class InstanceConnection:
    """A connection to an instance, on which several calls can be pending at once."""

    def __init__(self, address: Address) -> None:
        self.connection = socket.create_connection(address, CALL_TIMEOUT_S)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.connection.makefile("rb")

    def __enter__(self) -> InstanceConnection:
        return self

    def __exit__(self, *unused: object) -> None:
        self.reader.close()
        self.connection.close()

    def send(self, number: int, body: dict[str, Any]) -> None:
        data = encode_frame(CLUSTER, CALL, [number, body])
        self.connection.sendall(LENGTH_PREFIX.pack(len(data)) + data)

    def receive(self) -> tuple[int, Any]:
        """The number of a call and its answer; raises OSError if the connection has ended."""
        length = LENGTH_PREFIX.unpack(self._read_exactly(LENGTH_PREFIX.size))[0]
        number, answer = decode_frame(self._read_exactly(length), CLUSTER)[1]
        return number, answer

    def _read_exactly(self, size: int) -> bytes:
        data = self.reader.read(size)
        if len(data) < size:
            raise OSError("the instance closed the connection")
        return data

    def call_all(
        self, bodies: Iterable[dict[str, Any]], max_pending: int,
        on_answer: Callable[[int], None] = lambda number: None,
    ) -> list[Any]:  # fmt: skip
        """Makes all calls, at most `max_pending` at once, and returns the answers in the order of the calls.

        `on_answer` is called with the number of each call when its answer arrives.
        """
        answers: dict[int, Any] = {}

        def receive_one() -> None:
            number, answer = self.receive()
            on_answer(number)
            answers[number] = answer

        sent = 0
        for body in bodies:
            self.send(sent, body)
            sent += 1
            if sent - len(answers) >= max_pending:
                receive_one()
        while len(answers) < sent:
            receive_one()
        return [answers[number] for number in range(sent)]
