"""Start and stop: configuration, logging, the service and its shutdown."""
