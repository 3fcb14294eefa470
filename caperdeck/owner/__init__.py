"""Owner instances: replicated processes that own fleet-wide work, their configuration, and their connections
to nodes.
"""
