"""Connections to backends and the calls on them: attempts of requests, and health checks."""
