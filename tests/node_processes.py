"""Processes of one node between stand-ins, started with faults of their machine where a test asks."""

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

from helpers import (
    CONFIG, answer_as_host, free_ports, host_row, open_line, serve_host_list, serve_lines, write_config,
)  # fmt: skip

TESTS = Path(__file__).parent
# the fault is in place before the program is loaded
RUN = (
    "import sys; import machine_faults; machine_faults.plant(sys.argv[1])\n"
    "from caperdeck.__main__ import main; sys.exit(main(['serve']))"
)


def until(true, seconds=30.0):
    """Waits for what another process does."""
    end = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < end
        time.sleep(0.02)


def connected(port):
    return socket.create_connection(("127.0.0.1", port), 5)


class StandIns:
    """A discovery and its one host s-0, whose start it tells where it is not 0."""

    def __init__(self, boot=0):
        self.requests = 0  # first lines that the host has had
        self.discovery = serve_host_list(host_row("s-0", port=serve_lines(self._at_host), boot=boot))

    def _at_host(self, line):
        self.requests += line.startswith(b"OPEN")
        return answer_as_host(line)


class NodeProcesses:
    """Processes of one node, and calls to them."""

    def __init__(self, folder, stand_ins, scratch=True):
        self.folder = folder
        self.scratch = {"TMPDIR": str(folder / "tmp")} if scratch else {}
        (folder / "tmp").mkdir(exist_ok=True)
        self.port, *self.admin = free_ports(4)
        self.config = CONFIG | {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{stand_ins.discovery}",
            "known": {"rev": 41, "targets": []},
        }
        self.started, self.clients = [], []

    def start(self, fault=""):
        n, process = len(self.started), self.launch(fault)
        until(lambda: self.call(n, b"readyz") == [b"ACK"])
        return process

    def launch(self, fault=""):
        n = len(self.started)
        config = self.config | {"admin_addr": f"127.0.0.1:{self.admin[n]}"}
        environment = {key: value for key, value in os.environ.items() if key != "TMPDIR"}
        environment |= write_config(self.folder / f"c{n}", config) | self.scratch
        words = ["-m", "caperdeck", "serve"]
        if fault:
            environment["PYTHONPATH"] = f"{TESTS.parent}:{TESTS}"
            words = ["-c", RUN, fault]
        with open(self.folder / f"log{n}", "wb") as log:
            self.started.append(subprocess.Popen([sys.executable, *words], env=environment, stderr=log))
        return self.started[-1]

    def call(self, n, line):
        try:
            with socket.create_connection(("127.0.0.1", self.admin[n]), 2) as sock:
                sock.sendall(line + b"\r\n")
                return sock.makefile("rb").read().split(b"\r\n")[:-1]
        except OSError:
            return []

    def figure(self, n, name):
        return next(int(line.split()[1]) for line in self.call(n, b"telemetry") if line.startswith(name))

    def log(self, n):
        return (self.folder / f"log{n}").read_text()

    def client(self, number):
        sock, lines = self._connect()
        sock.sendall(open_line(number) + b"\r\n")
        return sock, lines

    def resting_client(self):
        """A client that has been let in and has sent no first line."""
        sock, lines = self._connect()
        sock.sendall(b"PING\r\n")
        assert lines.readline() == b"PONG\r\n"
        return sock, lines

    def _connect(self):
        sock = connected(self.port)
        self.clients.append(sock)
        return sock, sock.makefile("rb")

    def end(self):
        for sock in self.clients:
            sock.close()
        for process in self.started:
            process.kill()
            process.wait()
