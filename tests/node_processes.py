"""Starts processes of one node between a fake discovery and host, with faults of the machine on request."""

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
# installs the fault before the program is loaded
RUN_WITH_FAULT = (
    "import sys; import machine_faults; machine_faults.plant(sys.argv[1])\n"
    "from caperdeck.__main__ import main; sys.exit(main(['serve']))"
)


def until(condition, seconds=30.0):
    """Waits for a condition that another process brings about."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


def connected(port):
    return socket.create_connection(("127.0.0.1", port), 5)


class FakeFleet:
    """A discovery with one host, s-0; the list states the host's start if it is not 0."""

    def __init__(self, boot=0):
        self.requests = 0  # that the host has received
        self.discovery = serve_host_list(host_row("s-0", port=serve_lines(self._at_host), boot=boot))

    def _at_host(self, line):
        self.requests += line.startswith(b"OPEN")
        return answer_as_host(line)


class NodeProcesses:
    """Processes of one node, and admin calls to them."""

    def __init__(self, folder, fleet, shared_folder=True):
        self.folder = folder
        self.shared_folder = {"TMPDIR": str(folder / "tmp")} if shared_folder else {}
        (folder / "tmp").mkdir(exist_ok=True)
        self.port, *self.admin = free_ports(4)
        self.config = CONFIG | {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{fleet.discovery}",
            "known": {"rev": 41, "targets": []},
        }
        self.started, self.clients = [], []

    def start(self, fault=""):
        n, process = len(self.started), self.launch(fault)
        until(lambda: self.call(n, b"readyz") == [b"ACK"])
        return process

    def launch(self, fault=""):
        n = len(self.started)
        environment = {key: value for key, value in os.environ.items() if key != "TMPDIR"}
        environment |= self.write_config(n) | self.shared_folder
        words = ["-m", "caperdeck", "serve"]
        if fault:
            environment["PYTHONPATH"] = f"{TESTS.parent}:{TESTS}"
            words = ["-c", RUN_WITH_FAULT, fault]
        with open(self.folder / f"log{n}", "wb") as log:
            self.started.append(subprocess.Popen([sys.executable, *words], env=environment, stderr=log))
        return self.started[-1]

    def write_config(self, n):
        """Writes the configuration of the process with this number."""
        config = self.config | {"admin_addr": f"127.0.0.1:{self.admin[n]}"}
        return write_config(self.folder / f"c{n}", config)

    def call(self, n, line):
        try:
            with socket.create_connection(("127.0.0.1", self.admin[n]), 2) as sock:
                sock.sendall(line + b"\r\n")
                return sock.makefile("rb").read().split(b"\r\n")[:-1]
        except OSError:
            return []

    def metric(self, n, name):
        return next(int(line.split()[1]) for line in self.call(n, b"telemetry") if line.startswith(name))

    def log(self, n):
        return (self.folder / f"log{n}").read_text()

    def client(self, number):
        sock, lines = self._connect()
        sock.sendall(open_line(number) + b"\r\n")
        return sock, lines

    def resting_client(self):
        """A client whose connection was accepted and that has sent no request."""
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
