"""Distribution of configuration from the agreed table to every node, as pure state machines.

Events and time in, messages out: no I/O, no clock, no logging. docs/distribution-design.md has the argument.
"""
