"""Distributes versioned configuration from the leader through relays to the nodes, as deltas by scope.

The modules do no I/O. docs/distribution.md describes the protocol.
"""
