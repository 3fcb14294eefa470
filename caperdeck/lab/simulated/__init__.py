"""Simulated processes whose reactors, connections and datagrams are in memory, on one virtual clock."""
