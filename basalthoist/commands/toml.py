"""Writes plain nested maps as TOML by msgspec."""

import msgspec


def as_toml(found: dict) -> str:
    def full(value):
        if isinstance(value, dict):
            return {key: full(inner) for key, inner in value.items() if inner is not None}
        if isinstance(value, list | tuple):
            return [full(inner) for inner in value]
        return value

    return msgspec.toml.encode(full(found)).decode()
