"""The target: the operators' requirements for the fleet and the assumptions made, from a TOML file."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from caperdeck.lifecycle.toml import TomlError, read_toml

MAX_AMOUNT = 10**15  # larger than any amount of a fleet; keeps out infinite values

PERCENTILES = {0.5: "p50", 0.99: "p99", 0.999: "p999"}
"""The shares of all deliveries whose delay is measured, with their names in the measurements."""

Amount = Annotated[float, Meta(gt=0, le=MAX_AMOUNT)]
Count = Annotated[int, Meta(gt=0, le=MAX_AMOUNT)]
Share = Annotated[float, Meta(gt=0, le=1)]
AtLeastTwo = Annotated[int, Meta(ge=2, le=1000)]  # with a single zone nothing would remain after its loss
LineBytes = Annotated[
    float, Meta(ge=100, le=1000)
]  # costs are measured at both limits and interpolated between them


class TargetError(Exception):
    """The target is invalid; the message names file, field and reason in one line."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table of the file, in which every key is required."""


class FleetTarget(Table, frozen=True):
    """Size of the fleet."""

    machines: AtLeastTwo
    connections: Count
    regions: Count
    zones: AtLeastTwo  # over all regions


class Topics(Table, frozen=True):
    """Number of topic shards, and the listeners of the largest topic."""

    shards: Count
    largest_listeners: Count


class Deliveries(Table, frozen=True):
    """Rate of deliveries, and the time within which a share of them must arrive."""

    per_second: Amount
    within: Amount  # seconds
    part_within: Share


class Configuration(Table, frozen=True):
    """Rate of configuration changes, and the time within which one must be active everywhere."""

    changes_a_day: Amount
    within: Amount  # seconds


class Control(Table, frozen=True):
    """Limits for control on each machine of the fleet, and the number of machines reserved for control."""

    core_part: Share
    memory: Amount  # bytes
    bytes_per_second: Amount
    machines: Count


class Faults(Table, frozen=True):
    """Expected rates of faults over the whole fleet."""

    machines_failing_a_day: Amount
    machines_replaced_a_day: Amount
    racks_a_year: Amount
    zones_a_year: Amount
    region_cuts_a_year: Amount
    region_cut: Amount  # seconds


class Assumed(Table, frozen=True):
    """Values that the operators have not specified; docs/capacity-questions.md explains each field."""

    machine_cores: Count
    machine_memory: Amount
    memory_part: Share
    utilisation: Annotated[float, Meta(gt=0, lt=1)]
    busy_times: Annotated[float, Meta(ge=1, le=100)]
    line_bytes: LineBytes
    delay_part: Share
    connection_life: Amount
    return_span: Amount
    back_within: Amount
    hosts: Count
    host_row_bytes: Amount
    hosts_replaced_a_day: Amount
    listeners: Count
    customers: Count
    customer_bytes: Amount
    peak_times: Annotated[float, Meta(ge=1, le=MAX_AMOUNT)]
    change_by_hand: Amount
    address_bytes: Amount
    membership_within: Amount
    rack_machines: Count
    cross_region_part: Share
    discovery_calls: Amount
    process_descriptors: Count


class Target(Table, frozen=True):
    """The whole file."""

    fleet: FleetTarget
    topics: Topics
    deliveries: Deliveries
    configuration: Configuration
    control: Control
    faults: Faults
    assumed: Assumed


def load(path: str) -> Target:
    """Reads a target; raises TargetError if it cannot be read, for unknown or missing keys and bad values."""
    try:
        target = msgspec.convert(read_toml(path), Target)
    except TomlError as error:
        raise TargetError(f"{path}: {error}") from None
    except msgspec.ValidationError as error:
        raise TargetError(f"{path}: {error}") from None
    for field, reason in _contradictions(target):
        raise TargetError(f"{path}: {field}: {reason}")
    return target


def _contradictions(target: Target):
    fleet, assumed = target.fleet, target.assumed
    if fleet.regions > fleet.zones:
        yield "fleet.regions", f"{fleet.regions} regions and {fleet.zones} zones"
    if fleet.zones > fleet.machines:
        yield "fleet.zones", f"{fleet.zones} zones and {fleet.machines} machines"
    if assumed.rack_machines * fleet.zones > fleet.machines:
        yield "assumed.rack_machines", f"{assumed.rack_machines} are more than a zone has"
    if target.topics.largest_listeners > fleet.connections:
        yield "topics.largest_listeners", "more than there are connections"
    if target.deliveries.part_within not in PERCENTILES:
        known = ", ".join(map(str, PERCENTILES))
        yield "deliveries.part_within", f"{target.deliveries.part_within} is not measured, {known} are"
