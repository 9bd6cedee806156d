"""Merges the settings of a shadow balancer into the node's own and validates them.

A shadow balancer makes decisions that are counted but not carried out.
"""

import msgspec

from basalthoist.settings_codec import flatten

from .network_settings import NetworkSettings
from .reading import ConfigurationError


def merged_settings(base: dict, changes: dict) -> dict:
    """Returns a copy of `base` with `changes` merged in recursively. Lists are replaced, not merged."""
    nested = [key for key in changes if isinstance(base.get(key), dict) and isinstance(changes[key], dict)]
    return base | changes | {key: merged_settings(base[key], changes[key]) for key in nested}


def shadow_of(settings: dict, differing: dict) -> dict:
    """Returns the shadow's settings, flattened for the decision code. `differing`: the keys that differ.

    Raises ConfigurationError, naming the faulty key, also if routes or tenants are not the same as in
    `settings`."""
    merged = merged_settings(settings, differing)
    try:
        msgspec.convert(merged, NetworkSettings)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error).replace("`$", "`$.shadow.settings")) from None
    for key in ("routes", "accounts"):
        names = [[entry.get("name") for entry in tree.get(key, [])] for tree in (settings, merged)]
        if names[0] != names[1]:
            raise ConfigurationError(f"shadow.settings.{key}: expected the same names in the same order")
    try:
        return flatten(merged)
    except (TypeError, ValueError) as error:
        raise ConfigurationError(f"shadow.settings.{error}") from None
