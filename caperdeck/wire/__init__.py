"""The protocols spoken on sockets: clients, hosts, probes, discovery and peers. Decides nothing."""
