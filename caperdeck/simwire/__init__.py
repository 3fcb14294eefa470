"""The front for the simulator's wire: reads events, writes actions, decides nothing."""
