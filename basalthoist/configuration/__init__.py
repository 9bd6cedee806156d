"""Reads and validates all configuration files of a node and supplies their defaults.

The public names of the submodules can be imported from this package. A submodule is loaded on first access to
one of its names."""

from importlib import import_module

NAMES = {
    "reading": "ConfigurationError address address_of read_toml",
    "optional_files": "load_gateway load_jsonrpc load_fleet load_distribution load_relay",
    "limits": "Limits",
    "network_settings": "Route Account Feedback PolicyLimits NetworkSettings",
    "node": "ShadowDocument Document Configuration decode load",
    "shadow": "merged_settings shadow_of",
    "gateway": "Site GatewayDocument checked_gateway",
    "jsonrpc": "JsonRpcDocument checked_jsonrpc",
    "fleet": "LimitDocument FleetDocument checked_fleet",
    "distribution": "Voter DistributionDocument checked_distribution",
    "bodies": "ServiceBody RouteBody TenantBody BackendsBody LimitBody VerdictBody RelayBody BODIES "
    "check_entries",
    "strict_entries": "check_entries_as_files",
}
MODULES = {name: module for module, names in NAMES.items() for name in names.split()}


def __getattr__(name: str) -> object:
    """Imports the submodule that defines `name` and returns the object. Raises AttributeError for other
    names."""
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f"{__name__}.{MODULES[name]}"), name)
    globals()[name] = value
    return value
