"""Daily service: the second address, its figures, hosts taken out by hand, upgrades."""
