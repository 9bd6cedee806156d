"""The replicated verdicts, membership and rate limits of a fleet of nodes: docs/fleet.md. Does no I/O."""
