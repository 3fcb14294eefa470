"""Slots of cold hosts' budgets, as one process of a node hands them to another. Loads; float milliseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .decide import Node


def hand_over(node: Node, now: float) -> dict[int, float]:
    """Another process of this node sends to the cold hosts from now on: what it goes on with, by host."""
    # Danger: the slots are the node's; two processes that use them at once use them twice.
    node.slots_elsewhere = True
    for h in node.cold:
        node._slot(now, h)
    return {h: node.rights.saved[h + 1] for h in node.cold if node.in_turn[h]}


def take_over(node: Node, now: float, slots: dict[int, float]) -> None:
    """The same at that process."""
    for h, saved in slots.items():
        node.rights.settle(now, h + 1, saved)
        node.in_turn[h] = True


def take_back(node: Node) -> None:
    """That process has ended; the slots are taken up anew, as at a start."""
    node.slots_elsewhere = False
    for h in node.cold:
        node.in_turn[h] = False
