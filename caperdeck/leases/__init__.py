"""Ownership of work on behalf of the fleet: leases, fencing tokens, who checks them. No I/O, no clock."""
