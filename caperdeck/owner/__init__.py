"""Owners of work on behalf of the fleet, as processes: instances, their file, what they say to nodes."""
