"""Test rig for fleets: runs many nodes under injected faults, as real processes or in virtual time."""
