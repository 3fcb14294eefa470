"""State that the nodes of a fleet share besides membership: counters, quota transfers, judgements of hosts.
No I/O.
"""
