"""What a node keeps in memory: sessions, hosts and their addresses, the socket budget."""
