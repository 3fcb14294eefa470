"""Simulates the distribution of configuration in virtual time: instances, publishers, nodes and faults.

Consensus itself is not simulated (`raft_simulation.py` does that): an entry is committed at one point in
time. Instances that reach a majority learn of it and confirm their state, others do not. All properties are
checked throughout a run.
"""
