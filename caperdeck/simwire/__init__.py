"""The front end for the simulator's protocol: decodes events and encodes actions, decides nothing."""
