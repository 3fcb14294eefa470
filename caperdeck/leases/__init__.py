"""Ownership of work that is done on behalf of the fleet: leases, fencing tokens and the works themselves. No
I/O, no clock.
"""
