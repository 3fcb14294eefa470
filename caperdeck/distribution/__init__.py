"""Distribution of configuration versions from the replicated table to every node.

The protocol is made of state machines without I/O, clock or logging: events and times in, messages out.
docs/distribution-design.md has the design.
"""
