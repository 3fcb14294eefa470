"""What happens to a fleet in a play, and when; times in milliseconds."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """`do`: kill, sleep or isolate an instance (from the other instances); cut the south off; torment all
    links of nodes (messages lost, doubled, late); restart seven in ten nodes, or replace them, their files
    lost; doze: half of the nodes are stopped."""

    do: str
    of: int  # instance
    at: float
    span: float


class Publish(NamedTuple):
    """An operator publishes a new version."""

    at: float
    refused_by_half: bool = False
