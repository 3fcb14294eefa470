"""The schedule of faults and publications in a simulation; times are in milliseconds."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """A fault that begins at a time and lasts for a span.

    The values of `do` are: `kill` and `sleep` (suspend) an instance, `isolate` it from the other instances,
    `cut` the southern region off, `torment` all links of nodes (messages are lost, duplicated and delayed),
    `restart` 70% of the nodes, `replace` 70% of the nodes with new ones without files, and `doze` (suspend
    half of the nodes).
    """

    do: str
    of: int  # number of the instance
    at: float
    span: float


class Publish(NamedTuple):
    """An operator publishes a new version."""

    at: float
    refused_by_half: bool = False
