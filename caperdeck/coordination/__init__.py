"""Choices of many nodes that add up, from lists, numbers, hashes and time alone. No I/O, no messages."""
