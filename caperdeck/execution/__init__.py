"""What carries out the balancer's orders for sessions, whatever the front speaks."""
