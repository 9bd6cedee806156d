"""JSON-RPC 2.0 over TCP, one object a line, from clients to backends: the same decisions and rules."""
