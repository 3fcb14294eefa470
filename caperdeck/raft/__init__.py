"""Raft consensus as a pure state machine, and its driver, network and stable storage."""
