"""Capacity planning: the resources that the fleet needs at its target size, computed from measured slopes."""
