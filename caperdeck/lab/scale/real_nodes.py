"""The real part of a run: `serve` processes under clients' load, hosts, and the instances.

The rig's fleet with real processes, but that the real nodes are members of the whole fleet: datagrams and
owners' acts go straight between processes, clients, hosts and discovery through the relay as always.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from caperdeck.lab.history import Event
from caperdeck.lab.real import RealFleet, format_address

from .instances import Agreement, told_nodes
from .places import Places
from .scenario import ScaleScenario


class RealPart(RealFleet):
    """Opened and played by the run; `everyone_else` has the hollow nodes' addresses by number."""

    def __init__(self, scale: ScaleScenario, places: Places, logs: str | None = None) -> None:
        super().__init__(scale.real_part(), scale.seed, logs=logs)
        self.scale = scale
        self.hollow_addresses = places.of_racks(scale.racks())
        self.agreement = Agreement()
        self.history.watchers.append(self.agreement.take)
        self.killed: dict[str, int] = {}  # by the run itself, so often
        self.states: dict[str, str] = {}  # of real nodes and instances, the last
        self.history.watchers.append(self._mind_state)

    def extra_settings(self, node: str) -> dict[str, Any]:
        return {"fleetSize": self.scale.members}

    async def open_parts(self) -> None:
        nodes, hosts = self.scenario.node_names(), self.scenario.host_names()
        owners = self.scenario.owner_names()
        await self._start_workers()
        ends = await self.workers["hosts"].request("open")
        self._take_ports(nodes, owners)
        ways = [[n, h, ends[h]] for n in nodes for h in hosts]
        ways += [["clients", n, self.addresses[n]] for n in nodes]
        opened = await self.workers["relay"].request("open", ways=ways, peers={})
        at = {(a, b): address for a, b, address in opened["streams"]}
        places = {n: {h: format_address(at[n, h]) for h in hosts} for n in nodes}
        agents = await self.workers["agents"].request("open", places=places)
        more = await self.workers["relay"].request("more", ways=[[n, f"d{n[1:]}", agents[n]] for n in nodes])
        self.discovery_addresses = {a: format_address(address) for a, _, address in more}
        self._tell_addresses(nodes, owners)
        await self.workers["clients"].request("open", addresses={n: at["clients", n] for n in nodes})
        await self._measure_relay()

    def _take_ports(self, nodes: list[str], owners: list[str]) -> None:
        self.addresses = {name: self._take_port(socket.SOCK_STREAM) for name in nodes + owners}
        self.peers = {n: self._take_port(socket.SOCK_DGRAM) for n in nodes}
        self.listen_addresses = {name: format_address(address) for name, address in self.addresses.items()}
        self.admin_addresses = {n: format_address(self._take_port(socket.SOCK_STREAM)) for n in nodes}

    def _tell_addresses(self, nodes: list[str], owners: list[str]) -> None:
        hollow = self.hollow_addresses
        self.everybody = [format_address(self.peers[n]) for n in nodes] + [hollow[i] for i in sorted(hollow)]
        self.peer_addresses_by_node = dict.fromkeys(nodes, self.everybody)
        self.broadcast_addresses = dict.fromkeys(nodes, "")
        instances = {o[1:]: self.listen_addresses[o] for o in owners}
        self.instance_addresses = dict.fromkeys(owners + nodes, instances)
        second = self.admin_addresses | {f"n{i}": hollow[i] for i in sorted(hollow)}
        self.admin_addresses_by_instance = dict.fromkeys(owners, told_nodes(second))

    async def start_all(self) -> None:
        """Instances and real nodes; one that does not come up is found by `missing`."""
        owners = [self._start_instance(o) for o in self.scenario.owner_names()]
        await asyncio.gather(*(self._start_node(n) for n in self.scenario.node_names()), *owners)

    async def start_clients(self) -> None:
        await self._reset_time_origin()
        await self.workers["clients"].request("start")

    async def stop_clients(self) -> None:
        await self.workers["clients"].request("stop")

    def kill(self, name: str) -> None:
        self.killed[name] = self.killed.get(name, 0) + 1
        super().kill(name)

    def missing(self) -> list[str]:
        """Real nodes and instances that do not answer, or have ended though the run did not kill them."""
        ends: dict[str, int] = {}
        for e in self.history.events:
            if e["ev"] in ("life", "instance") and e["state"] in ("killed", "exit"):
                ends[e["who"]] = ends.get(e["who"], 0) + 1
        names = self.scenario.node_names() + self.scenario.owner_names()
        return [n for n in names if not self.answers(n) or ends.get(n, 0) > self.killed.get(n, 0)]

    def answers(self, name: str) -> bool:
        """Whether it lives and has answered in this life; the rig waits for that for a while and goes on."""
        return self.alive(name) and self.states.get(name) == "up"

    def _mind_state(self, event: Event) -> None:
        if event["ev"] in ("life", "instance"):
            self.states[event["who"]] = event["state"]

    def role_by_pid(self) -> dict[int, str]:
        """Roles of its processes by their ids."""
        found = {worker.process.pid: "rig" for worker in self.workers.values() if worker.process is not None}
        for name, process in self.processes.items():
            found[process.pid] = "real nodes" if name[0] == "n" else "instances"
        return found
