"""Soak test: one node as a real process under seeded faults up to SIGKILL, checked from outside."""
