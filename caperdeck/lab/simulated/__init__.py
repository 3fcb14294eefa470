"""Simulated processes with reactors, connections and datagrams in memory, on one virtual clock."""
