"""What the nodes of a fleet share beside their membership: counts, lent rights, judgements. No I/O."""
