"""Agreement among a few instances: Raft as a pure state machine, without I/O or a clock; and its storage."""
