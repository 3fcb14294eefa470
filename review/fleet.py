"""A small deployment of the stand-ins: its settings, hosts, agents and nodes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from standin import SLACK_S, Agent, CannotRunError, Clients, Host, Lag, Platform, Record, free_port

CLASSES = {"desk": ("idempotent", 0.3, 1.2), "browse": ("idempotent", 0.5, 2.0)}  # effect, target, deadline


def settings(nodes: int, number: int, grace: float, zones: list[str], classes: dict[str, tuple]) -> dict:
    """The settings of one node."""
    zone = zones[number % len(zones)]
    return {
        "family": "conn", "fleetSize": nodes, "me": number, "dcs": zones, "locality": zone,
        "discovery": "automatic", "weights": "live", "utilityBy": "work", "tiers": ["servers"], "tier": 0,
        "clients": {"marksRetry": False}, "projects": [], "kinds": ["m"], "tick": 0.005,
        "limits": {
            "cancel": True, "connIdle": 60.0, "dialTimeout": 0.25, "maxRetryAfter": 1.0, "mayProbe": True,
            "mostDials": 5, "parallelTries": False, "peers": False, "retryAfter": True,
        },
        "invariants": {
            "askEvery": 10.0, "coldFrom": 0.3, "drainGrace": grace, "fall": 1.0, "fallMultiple": 2.5,
            "graceToAnswer": 0.02, "warmAfter": 8.3,
        },
        "listeners": [
            {
                "name": name, "effect": effect, "group": "all", "handshakeTarget": target,
                "hardLimit": deadline, "memorySpan": 5.0, "stream": True, "tardyUtility": 0.0, "utility": 1.0,
            }
            for name, (effect, target, deadline) in classes.items()
        ],
        "prices": {"crossZone": 0.03, "moves": 0.02, "probe": 0.004, "waste": 0.04},
        "report": {"how": "pull", "names": ["cpu", "active", "x0"]},
        "specifics": {"groups": False, "mode": "proxy", "messageAim": [0.1] * len(classes)},
    }  # fmt: skip


class Fleet:
    """Hosts, one agent a node, nodes and clients."""

    def __init__(
        self, record: Record, platform: Platform, nodes: int, hosts: int, grace: float, seed: int,
        classes: dict[str, tuple] = CLASSES,
    ) -> None:  # fmt: skip
        self.record, self.platform, self.grace, self.random = record, platform, grace, random.Random(seed)
        self.zones, self.classes, self.seed = ["east", "west"], classes, seed
        self.names = [f"n{number}" for number in range(nodes)]
        self.hosts = [
            Host(record, f"h{number}", self.zones[number % 2], number // 3) for number in range(hosts)
        ]
        self.agents: dict[str, Agent] = {}
        self.configs: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, Any] = {}
        self.lag = Lag()
        self.clients: Clients
        self.background: list[asyncio.Task] = []

    async def open(self) -> None:
        """Opens hosts and agents, and makes the nodes' configurations."""
        self.background.append(asyncio.ensure_future(self.lag.watch()))
        for host in self.hosts:
            await host.listen()
        for number, name in enumerate(self.names):
            self.agents[name] = await self.new_agent(name)
            self.configs[name] = {
                "name": name, "listen": f"127.0.0.1:{free_port()}", "admin_addr": f"127.0.0.1:{free_port()}",
                "discovery": self.agents[name].address, "seed": f"{self.random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": self.agents[name].whole_list(),
                "settings": settings(len(self.names), number, self.grace, self.zones, self.classes),
            }  # fmt: skip
        self.clients = Clients(
            self.record, self.seed, {name: self.configs[name]["listen"] for name in self.names},
            {name: deadline for name, (_, _, deadline) in self.classes.items()},
        )  # fmt: skip

    async def new_agent(self, name: str) -> Agent:
        agent = Agent(self.record, name, {host.uid: host.row() for host in self.hosts})
        await agent.listen()
        return agent

    async def start_nodes(self, own_core: bool = False) -> None:
        for number, name in enumerate(self.names):
            self.processes[name] = self.platform.start(
                self.configs[name], name, f"tmp-{name}", number if own_core else None
            )
        for name in self.names:
            await self.platform.ready(self.processes[name], self.configs[name])

    def do(self, work: Any) -> None:
        self.background.append(asyncio.ensure_future(work))

    def late_sends(
        self, told: dict[str, dict[str, float]], until: float
    ) -> list[tuple[float, str, str, str]]:
        """Requests that came to a draining host later than the grace after their node was told of the drain.

        `told` has the time for each node and host; a result has the lateness, the node, the host and the id.
        """
        late = []
        for host in self.hosts:
            for at, session_id in host.received:
                node = self.clients.node_of.get(session_id, "")
                since = told.get(node, {}).get(host.uid)
                if since is not None and since + self.grace + SLACK_S < at <= until:
                    late.append((at - since, node, host.uid, session_id))
        return late

    def ran_once(self, name: str, since: dict[str, float]) -> bool:
        """Whether no session of the class took effect twice, of those opened at a node from its time on."""
        effects: dict[str, list[str]] = {}
        for host in self.hosts:
            for at, session_id in host.ran:
                effects.setdefault(session_id, []).append(f"{host.uid} at {at:.3f}")
        bound = {
            session_id for session_id, (of_class, at) in self.clients.opened.items()
            if of_class == name and at >= since[self.clients.node_of[session_id]]
        }  # fmt: skip
        if not bound:
            raise CannotRunError("no session of the class was opened")
        twice = {i: effects[i] for i in bound if len(effects.get(i, ())) > 1}
        for session_id, where in sorted(twice.items()):
            self.record.add(
                f"RAN TWICE: {session_id} of {self.clients.node_of[session_id]}: {', '.join(where)}"
            )
        self.record.tell(
            f"{len(bound)} sessions of the once-only class, {len(twice)} of them ran twice or more"
        )
        return not twice
