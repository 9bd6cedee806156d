"""Proxies JSON-RPC 2.0 over TCP, one object per line, with the same decisions and rules as for HTTP."""
