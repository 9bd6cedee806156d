"""basalthoist: a reverse proxy that spreads exchanges over HTTP servers by measured latency profiles."""
