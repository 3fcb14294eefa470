"""In-memory state of a node: sessions, hosts and their addresses, metrics and the descriptor budget."""
