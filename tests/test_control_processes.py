"""A node process whose configuration is published by three real instances."""

import os
import signal
import subprocess
import sys
import time

import tomli_w
from helpers import CONFIG, SETUP, free_ports, write_config
from test_distribution_processes import ROOT, Instances, until

from caperdeck.distribution import commands
from caperdeck.ops.show_peers import call_admin


class ServedNode:
    """A process of `serve --control`, observed through its admin address."""

    def __init__(self, folder, instances):
        self.folder = folder
        listen, self.admin = free_ports(2)
        self.config = CONFIG | {"listen": f"127.0.0.1:{listen}", "admin_addr": f"127.0.0.1:{self.admin}"}
        rows = {
            f"o{i}": {"address": f"127.0.0.1:{port}", "zone": "a", "region": "north"}
            for i, port in enumerate(instances.ports)
        }
        control = {"cluster": "t", "zone": "a", "region": "north", "folder": str(folder), "instances": rows}
        (folder / "control").write_text(tomli_w.dumps(control))
        self.start()

    def start(self):
        environment = os.environ | write_config(self.folder / "c", self.config)
        words = [sys.executable, "-m", "caperdeck", "serve", f"--control={self.folder / 'control'}"]
        self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stderr=subprocess.PIPE)
        assert b"start node=n1" in next(x for x in self.process.stderr if b"version " not in x)

    def metrics(self):
        said = call_admin("127.0.0.1", self.admin, b"telemetry\n").splitlines()
        return dict(line.rpartition(" ")[::2] for line in said if line.startswith("app_config_"))

    def is_current_at(self, revision):
        said = self.metrics()
        current = said['app_config_state{state="current"}'] == "1"
        return current and said["app_config_revision"] == str(revision)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()


def settings(**changes):
    """The settings that are the same on all nodes."""
    node_settings = ("dcs", "locality")
    return {key: value for key, value in (SETUP | changes).items() if key not in node_settings}


def document(**changes):
    return {"discovery": "127.0.0.1:8500", "settings": settings(**changes)}


def test_a_node_applies_versions_keeps_them_over_a_kill_and_refuses_what_it_cannot_use(tmp_path):
    instances = Instances(tmp_path)
    node = None
    try:
        until(lambda: instances.leader() is not None, 20.0)
        assert commands.publish(instances.owners, document(fleetSize=5), None) == 0
        node = ServedNode(tmp_path, instances)
        until(lambda: node.is_current_at(1), 9.0)
        node.process.send_signal(signal.SIGHUP)
        assert commands.publish(instances.owners, document(fleetSize=6), None) == 0
        committed = time.monotonic()
        until(lambda: node.is_current_at(2), 9.0)
        assert time.monotonic() - committed < 9.0
        node.kill()
        node.start()
        assert node.metrics()["app_config_revision"] == "2"
        until(lambda: node.is_current_at(2), 9.0)
        unusable = document(fleetSize=7) | {"seed": "1"}
        assert commands.publish(instances.owners, unusable, None) == 0
        reason = 'app_config_refused{revision="3",reason="seed: not for a version to set'
        until(lambda: any(name.startswith(reason) for name in node.metrics()), 9.0)
        assert node.metrics()["app_config_revision"] == "2"
        assert commands.publish(instances.owners, document(fleetSize=8), None) == 0
        until(lambda: node.is_current_at(4), 9.0)
        node.process.send_signal(signal.SIGTERM)
        assert node.process.wait(10) == 0
    finally:
        if node is not None:
            node.kill()
        instances.stop()
