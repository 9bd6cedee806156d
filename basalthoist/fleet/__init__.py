"""Nodes that act on one set of verdicts: docs/fleet.md. Nothing here does I/O."""
