"""Distribution of configuration in virtual time: instances with one agreed log, publishers, nodes, faults.

Agreement itself is not played (`raft_simulation.py` does that): an entry is committed at one moment,
instances that reach a majority learn of it and confirm themselves, others do not. Every property is
checked all along.
"""
