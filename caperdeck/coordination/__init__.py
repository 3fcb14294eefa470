"""Decisions that add up over many nodes, from lists, numbers, hashes and time alone. No I/O, no messages."""
