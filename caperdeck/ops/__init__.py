"""Operations: the admin address, its metrics, hosts excluded by hand, and upgrades without downtime."""
