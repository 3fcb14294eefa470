"""The roles of the fleet, one module each, whose function `role` computes its table from a Fleet."""

from ..fleet import Fleet
from ..row import Role
from . import (
    configuration,
    control,
    control_machine,
    discovery,
    host,
    machine,
    membership,
    process,
    reconnect,
    regions,
    topics,
)

ROLES = (
    process,
    machine,
    control,
    membership,
    configuration,
    control_machine,
    discovery,
    host,
    topics,
    reconnect,
    regions,
)


def roles(fleet: Fleet) -> tuple[Role, ...]:
    """The tables of all roles, in the order of the page."""
    return tuple(module.role(fleet) for module in ROLES)
