"""caperdeck: a balancer for long-lived connections."""
