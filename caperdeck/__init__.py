"""caperdeck: a balancer for long-lived connections."""

__version__ = "0.2.0"
