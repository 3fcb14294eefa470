"""Checks the invariants of owned work on a history, and measures how long handovers between owners take.

The tokens of the actions that a target takes never decrease; a token belongs to one grant; an epoch of the
census has the same meaning at all nodes; the shares that are in use never add up to more than 1; and no more
than a fixed share of the hosts is ejected. The checks rely on the programs' own clocks only for the order of
the events of one process.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from caperdeck.leases.target import CENSUS, FLOOR_SHARE, HOSTS, MAX_EJECTED_SHARE

from .history import Event
from .oracle import Check
from .scenario import HOLDER_PREFIX, LEADER, Scenario, decode
from .seeded_random import SeededRandom

ROUNDING_TOLERANCE = 1e-6


class OwnedWorkCheck(Check):
    """Checks the tokens and the contents of the actions that the nodes take."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.highest_token: dict[tuple[str, str], int] = {}  # by target and work
        self.grant_by_token: dict[int, tuple[str, str]] = {}  # work and holder
        self.living_by_epoch: dict[int, int] = {}  # number of live nodes
        floor_share = FLOOR_SHARE / scenario.nodes
        self.floor_share, self.share_by_node = floor_share, dict.fromkeys(scenario.node_names(), floor_share)
        self.epoch_by_node: dict[str, int] = {}  # since the node's last start
        self.hosts_out_by_number: dict[int, tuple] = {}  # by number of an action on hosts
        self.number_by_node: dict[str, int] = {}  # the last one taken since the node's last start

    def on_grant(self, event: Event) -> None:
        if self.grant_by_token.setdefault(event["token"], (event["work"], event["holder"])) != (
            event["work"],
            event["holder"],
        ):
            self.breach("token", f"{event['token']} was granted twice", event)

    def on_held(self, event: Event) -> None:
        if event["holder"] != event["who"]:
            self.breach("token", f"{event['who']} reports a work held by {event['holder']}", event)
        self.on_grant(event)

    def on_acted(self, event: Event) -> None:
        node, work, token = event["who"], event["work"], event["token"]
        if token < self.highest_token.get((node, work), 0):
            highest_token = self.highest_token[node, work]
            self.breach("fence", f"an action on {work} with token {token} taken after {highest_token}", event)
        self.highest_token[node, work] = max(token, self.highest_token.get((node, work), 0))
        if work == HOSTS:
            if event["number"] < self.number_by_node.get(node, 0):
                self.breach(
                    "step", f"hosts go back to {event['number']} from {self.number_by_node[node]}", event
                )
            self.number_by_node[node] = event["number"]
            if self.hosts_out_by_number.setdefault(event["number"], tuple(event["out"])) != tuple(
                event["out"]
            ):
                self.breach("step", f"number {event['number']} has two different lists of hosts", event)
            max_out = math.floor(MAX_EJECTED_SHARE * self.scenario.hosts.count)
            if len(event["out"]) > max_out:
                self.breach("part", f"{len(event['out'])} hosts ejected by the fleet, over {max_out}", event)
        elif work == CENSUS:
            self._census(node, event)

    def _census(self, node: str, event: Event) -> None:
        if event["epoch"] < self.epoch_by_node.get(node, 0):
            self.breach("census", f"epoch {event['epoch']} after {self.epoch_by_node[node]}", event)
        self.epoch_by_node[node], self.share_by_node[node] = event["epoch"], event["share"]
        if self.living_by_epoch.setdefault(event["epoch"], event["living"]) != event["living"]:
            self.breach("census", f"epoch {event['epoch']} has two different numbers of live nodes", event)
        if (total := sum(self.share_by_node.values())) > 1 + ROUNDING_TOLERANCE:
            self.breach("census", f"shares add up to {total:.4f}", event)

    def on_life(self, event: Event) -> None:
        """Forgets what a node that ended was told; the next life starts with the floor share."""
        if event["state"] in ("killed", "exit"):
            # A restarted node uses the floor share until it is assigned more.
            (
                self.share_by_node[event["who"]],
                self.epoch_by_node[event["who"]],
                self.number_by_node[event["who"]],
            ) = self.floor_share, 0, 0


class SingleOwnerCheck(Check):
    """Checks that no two instances hold a work at the same time, unless the scenario has clock faults."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.suspended: set[str] = set()
        self.holder_by_work: dict[str, str] = {}
        self.has_clock_faults = any(fault.do == "clock" for fault in scenario.fault)

    def on_instance(self, event: Event) -> None:
        if event["state"] == "asleep":
            self.suspended.add(event["who"])
        elif event["state"] == "killed":
            self.suspended.discard(event["who"])
            self.holder_by_work = {
                work: who for work, who in self.holder_by_work.items() if who != event["who"]
            }

    def on_held(self, event: Event) -> None:
        other = self.holder_by_work.get(event["work"])
        # A suspended instance does nothing, and checks its lease after resuming before it does anything. It
        # does not count as the holder until it has reported that it renewed or lost the work.
        if other not in (None, event["who"]) and other not in self.suspended and not self.has_clock_faults:
            self.breach("owner", f"{event['who']} holds {event['work']} while {other} does", event)
        self.holder_by_work[event["work"]] = event["who"]
        self.suspended.discard(event["who"])

    def on_renewed(self, event: Event) -> None:
        self.suspended.discard(event["who"])

    def on_lost(self, event: Event) -> None:
        if self.holder_by_work.get(event["work"]) == event["who"]:
            del self.holder_by_work[event["work"]]


def handover_times(events: Iterable[Event]) -> dict[str, list[float]]:
    """Milliseconds from a fault named after a role until another instance leads or a work is held again.

    Infinity stands for a role that was not taken again.
    """
    waiting: dict[str, tuple[float, tuple[str, ...]]] = {}
    times_by_role: dict[str, list[float]] = {}
    for event in events:
        is_role_fault = event["ev"] == "fault" and (
            event["name"] == LEADER or event["name"].startswith(HOLDER_PREFIX)
        )
        if is_role_fault and event["on"] and event["of"]:
            since, previous = waiting.get(event["name"], (event["t"], ()))
            waiting[event["name"]] = since, (*previous, event["of"][0])
        for role in list(waiting):
            since, previous = waiting[role]
            new_leader = (
                role == LEADER
                and event["ev"] == "leader"
                and event["leader"] == event["who"]
                and event["who"] not in previous
            )
            new_holder = (
                role.startswith(HOLDER_PREFIX)
                and event["ev"] == "held"
                and event["work"] == role[len(HOLDER_PREFIX) :]
            )
            if (new_leader or new_holder) and event["t"] >= since:
                times_by_role.setdefault(role, []).append(event["t"] - since)
                del waiting[role]
    for role in waiting:
        times_by_role.setdefault(role, []).append(math.inf)
    return times_by_role


CHECKS = (OwnedWorkCheck, SingleOwnerCheck)

FAULT_ROUNDS = ("kill leader", "kill holder", "stop leader", "stop holder", "cut leader", "cut holder",
          "silence holder", "stop-before-act holder")  # fmt: skip
FAULT_INTERVAL_S, FAULT_DURATION_S = 3.2, 2.1


def repeated_faults_scenario(seed: int, owners: int, round_count: int) -> Scenario:
    """Scenario with one fault after another of the leader or a holder, while nodes and links fail too."""
    rng, at, faults = SeededRandom(seed), 3.5, []
    for i in range(round_count):
        do, role = FAULT_ROUNDS[i % len(FAULT_ROUNDS)].split()
        of = LEADER if role == LEADER else HOLDER_PREFIX + (HOSTS if rng.chance() < 0.5 else CENSUS)
        row = {"do": do, "of": of, "name": of, "at": round(at + rng.chance() / 3, 2), "for": FAULT_DURATION_S}
        if do in ("cut", "silence"):
            row["to"] = "n*" if do == "silence" else "o*"
            # With one direction cut, or without any node in reach, a holder may go on renewing its lease, so
            # that no handover has to follow and none is measured.
            row["name"] = of if role == LEADER else ""
        faults.append(row)
        at += FAULT_INTERVAL_S
    end = at + FAULT_INTERVAL_S
    background_faults = [
        {"do": "kill", "of": "n1", "at": 8.0, "for": 2.0}, {"do": "stop", "of": "n0", "at": 14.0, "for": 3.0},
        {"do": "delay", "of": "o*", "to": "n*", "spread": [0.0, 300.0], "at": 10.0, "for": 10.0},
        {"do": "loss", "of": "o*", "to": "o*", "amount": 0.1, "at": 20.0, "for": 10.0},
        {"do": "silence", "of": "n*", "to": "h7", "at": 16.0, "for": 12.0},
    ]  # fmt: skip
    return decode({
        "name": "again", "seconds": round(end, 1), "nodes": 3, "owners": owners, "seed": seed,
        "hosts": {"count": 8}, "clients": {"rate": 15.0, "life": [4.0, 10.0]},
        "fault": faults + [fault for fault in background_faults if fault["at"] + fault["for"] < end],
    })  # fmt: skip
