"""Parsing of socket addresses in the form `host:port`."""

import socket


def address_of(host_port: str) -> tuple[str, int]:
    """Returns the host and the port in `host_port`. Raises ValueError for text of another form."""
    host, _, port = host_port.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {host_port!r}")
    return host, int(port)


def family_of(address: tuple[str, int]) -> socket.AddressFamily:
    """Returns the address family of a host and port: IPv6 if the host contains a colon, else IPv4."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
