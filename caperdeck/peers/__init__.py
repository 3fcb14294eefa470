"""Membership of the fleet: SWIM, its messages, and what a node knows of its own hearing. No I/O."""
