"""The fleet rig: many copies of the program with faults between them, as processes or in virtual time."""
