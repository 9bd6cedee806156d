"""Graceful shutdown, handover to the next process, and reload of the configuration."""
