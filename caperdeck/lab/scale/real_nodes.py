"""The real processes of a run: `serve` processes under load from clients, their hosts, and the instances.

This is the test rig's fleet of real processes, with two differences. The real nodes are members of the whole
fleet. Datagrams and owners' calls go directly between processes; clients, hosts and discovery are still
connected through the relay.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from caperdeck.lab.history import Event
from caperdeck.lab.real import RealFleet, format_address

from .instances import OwnershipTracker, configured_nodes
from .places import LoopbackAddresses
from .scenario import ScaleScenario


class RealNodeFleet(RealFleet):
    """Opened, started and closed by the run; `stub_addresses` holds the stub nodes' addresses by number."""

    def __init__(self, scale: ScaleScenario, addresses: LoopbackAddresses, logs: str | None = None) -> None:
        super().__init__(scale.real_scenario(), scale.seed, logs=logs)
        self.scale = scale
        self.stub_addresses = addresses.node_addresses(scale.racks())
        self.ownership = OwnershipTracker()
        self.history.watchers.append(self.ownership.record)
        self.kill_counts: dict[str, int] = {}  # kills by the run itself, by process name
        self.states: dict[str, str] = {}  # last state of each real node and instance
        self.history.watchers.append(self._record_state)

    def extra_settings(self, node: str) -> dict[str, Any]:
        return {"fleetSize": self.scale.members}

    async def open_parts(self) -> None:
        """Starts the rig's worker processes and assigns all addresses."""
        nodes, hosts = self.scenario.node_names(), self.scenario.host_names()
        owners = self.scenario.owner_names()
        await self._start_workers()
        host_addresses = await self.workers["hosts"].request("open")
        self._take_ports(nodes, owners)
        routes = [[node, host, host_addresses[host]] for node in nodes for host in hosts]
        routes += [["clients", node, self.addresses[node]] for node in nodes]
        opened = await self.workers["relay"].request("open", ways=routes, peers={})
        relay_addresses = {(source, target): address for source, target, address in opened["streams"]}
        hosts_by_node = {
            node: {host: format_address(relay_addresses[node, host]) for host in hosts} for node in nodes
        }
        agents = await self.workers["agents"].request("open", places=hosts_by_node)
        agent_routes = await self.workers["relay"].request(
            "more", ways=[[node, f"d{node[1:]}", agents[node]] for node in nodes]
        )
        self.discovery_addresses = {agent: format_address(address) for agent, _, address in agent_routes}
        self._set_known_addresses(nodes, owners)
        await self.workers["clients"].request(
            "open", addresses={node: relay_addresses["clients", node] for node in nodes}
        )
        await self._measure_relay()

    def _take_ports(self, nodes: list[str], owners: list[str]) -> None:
        self.addresses = {name: self._take_port(socket.SOCK_STREAM) for name in nodes + owners}
        self.peers = {node: self._take_port(socket.SOCK_DGRAM) for node in nodes}
        self.listen_addresses = {name: format_address(address) for name, address in self.addresses.items()}
        self.admin_addresses = {node: format_address(self._take_port(socket.SOCK_STREAM)) for node in nodes}

    def _set_known_addresses(self, nodes: list[str], owners: list[str]) -> None:
        """Sets the addresses of members and instances that the processes find in their configuration."""
        stubs = self.stub_addresses
        self.member_addresses = [format_address(self.peers[node]) for node in nodes] + [
            stubs[number] for number in sorted(stubs)
        ]
        self.peer_addresses_by_node = dict.fromkeys(nodes, self.member_addresses)
        self.broadcast_addresses = dict.fromkeys(nodes, "")
        instances = {owner[1:]: self.listen_addresses[owner] for owner in owners}
        self.instance_addresses = dict.fromkeys(owners + nodes, instances)
        admin_addresses = self.admin_addresses | {f"n{number}": stubs[number] for number in sorted(stubs)}
        self.admin_addresses_by_instance = dict.fromkeys(owners, configured_nodes(admin_addresses))

    async def start_all(self) -> None:
        """Starts instances and real nodes; `missing` names those that did not come up."""
        owners = [self._start_instance(owner) for owner in self.scenario.owner_names()]
        await asyncio.gather(*(self._start_node(node) for node in self.scenario.node_names()), *owners)

    async def start_clients(self) -> None:
        await self._reset_time_origin()
        await self.workers["clients"].request("start")

    async def stop_clients(self) -> None:
        await self.workers["clients"].request("stop")

    def kill(self, name: str) -> None:
        self.kill_counts[name] = self.kill_counts.get(name, 0) + 1
        super().kill(name)

    def missing(self) -> list[str]:
        """Real nodes and instances that do not answer, or that ended without being killed by the run."""
        end_counts: dict[str, int] = {}
        for event in self.history.events:
            if event["ev"] in ("life", "instance") and event["state"] in ("killed", "exit"):
                end_counts[event["who"]] = end_counts.get(event["who"], 0) + 1
        names = self.scenario.node_names() + self.scenario.owner_names()
        return [
            name
            for name in names
            if not self.is_up(name) or end_counts.get(name, 0) > self.kill_counts.get(name, 0)
        ]

    def is_up(self, name: str) -> bool:
        """Whether the process runs and has answered since its last start.

        The rig waits for the first answer for a limited time only, so a process may run without an answer.
        """
        return self.alive(name) and self.states.get(name) == "up"

    def _record_state(self, event: Event) -> None:
        if event["ev"] in ("life", "instance"):
            self.states[event["who"]] = event["state"]

    def role_by_pid(self) -> dict[int, str]:
        """The roles of the rig's processes by process id."""
        found = {worker.process.pid: "rig" for worker in self.workers.values() if worker.process is not None}
        for name, process in self.processes.items():
            found[process.pid] = "real nodes" if name[0] == "n" else "instances"
        return found
