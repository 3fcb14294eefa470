"""How long a version takes from its commit until it is in force at all nodes, over loopback TCP."""
