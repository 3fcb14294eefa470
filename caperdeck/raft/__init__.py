"""Agreement among a few instances: Raft as a pure state machine. No I/O, no clock."""
