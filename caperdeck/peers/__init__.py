"""Fleet membership: the SWIM state machine and its message codec. No I/O."""
