"""Runs several processes of the program on loopback, with injected faults of links and machines."""
