"""Capacity: what the fleet needs at its target size, worked out from measured cost slopes."""
