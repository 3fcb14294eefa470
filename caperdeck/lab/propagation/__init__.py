"""Measures how long a version takes from its commit until all nodes have applied it, over loopback TCP."""
