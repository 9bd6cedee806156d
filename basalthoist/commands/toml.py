"""Encodes nested dictionaries as TOML with msgspec."""

import msgspec


def as_toml(document: dict) -> str:
    """Returns the document as TOML, without the keys whose value is None."""
    return msgspec.toml.encode(without_nones(document)).decode()


def without_nones(value: object) -> object:
    """Returns a copy without the keys whose value is None, at any depth, since TOML has no null."""
    if isinstance(value, dict):
        return {key: without_nones(inner) for key, inner in value.items() if inner is not None}
    if isinstance(value, list | tuple):
        return [without_nones(inner) for inner in value]
    return value
