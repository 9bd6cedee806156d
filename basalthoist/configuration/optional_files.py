"""Loads the optional configuration files of a node, each named by an environment variable.

The module that validates a file is imported only if the variable is set.
"""

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING

from .reading import read_toml

if TYPE_CHECKING:
    from .distribution import DistributionDocument
    from .fleet import FleetDocument
    from .gateway import GatewayDocument
    from .jsonrpc import JsonRpcDocument
    from .node import Configuration


def load_gateway(environment: Mapping[str, str] = os.environ) -> "GatewayDocument | None":
    """Loads the file that PROXY_GATEWAY names, if any. Raises ConfigurationError, naming the faulty key."""
    if not environment.get("PROXY_GATEWAY"):
        return None
    from .gateway import GatewayDocument, checked_gateway

    document = read_toml("PROXY_GATEWAY", GatewayDocument, environment)
    return checked_gateway(environment["PROXY_GATEWAY"], document)


def load_jsonrpc(
    configuration: "Configuration", environment: Mapping[str, str] = os.environ
) -> "JsonRpcDocument | None":
    """Loads the file that PROXY_JSONRPC names, if any. Raises ConfigurationError, naming the faulty key."""
    if not environment.get("PROXY_JSONRPC"):
        return None
    from .jsonrpc import JsonRpcDocument, checked_jsonrpc

    document = read_toml("PROXY_JSONRPC", JsonRpcDocument, environment)
    return checked_jsonrpc(environment["PROXY_JSONRPC"], document, configuration)


def load_fleet(
    configuration: "Configuration", environment: Mapping[str, str] = os.environ
) -> "FleetDocument | None":
    """Loads the file that PROXY_FLEET names, if any. Raises ConfigurationError, naming the faulty key."""
    if not environment.get("PROXY_FLEET"):
        return None
    from .fleet import FleetDocument, checked_fleet

    document = read_toml("PROXY_FLEET", FleetDocument, environment)
    return checked_fleet(environment["PROXY_FLEET"], document, configuration)


def load_distribution(environment: Mapping[str, str] = os.environ) -> "DistributionDocument | None":
    """Loads a node's file that PROXY_DISTRIBUTION names, if any.

    Raises ConfigurationError, naming the faulty key."""
    if not environment.get("PROXY_DISTRIBUTION"):
        return None
    from .distribution import DistributionDocument, checked_distribution

    document = read_toml("PROXY_DISTRIBUTION", DistributionDocument, environment)
    return checked_distribution(environment["PROXY_DISTRIBUTION"], document, "node")


def load_relay(path: str) -> "DistributionDocument":
    """Loads a relay's file at `path`. Raises ConfigurationError, naming the faulty key."""
    from .distribution import DistributionDocument, checked_distribution

    document = read_toml("FILE", DistributionDocument, {"FILE": path})
    return checked_distribution(path, document, "relay")
