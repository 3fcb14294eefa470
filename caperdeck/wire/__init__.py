"""What is spoken on sockets: clients, hosts, probes, discovery. Nothing is decided here."""
