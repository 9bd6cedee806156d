"""Simulates a fleet in simulated time: the production decision code runs against models of backends, network,
discovery and clients.
"""
