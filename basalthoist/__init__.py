"""basalthoist: a reverse proxy that spreads requests over HTTP servers by measured latency profiles."""
