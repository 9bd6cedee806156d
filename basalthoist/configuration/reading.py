"""Helpers for all configuration files: TOML reading, addresses, units, and the error type."""

from collections.abc import Mapping
from typing import Annotated, TypeVar

import msgspec

from basalthoist.addresses import address_of

Document = TypeVar("Document")
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Address = tuple[str, int]

TENTHS_PER_SECOND = 10_000  # Internal times are in tenths of a millisecond.


class ConfigurationError(Exception):
    """A configuration is invalid. The message names the faulty key."""


def unexpected(path: str, key: str, expected: str, got: object) -> ConfigurationError:
    """Returns the error for a key of the file at `path` whose value is not the expected one."""
    return ConfigurationError(f"{path}: {key}: expected {expected}, got {got}")


def tenths_of(seconds: float) -> int:
    """Converts seconds to tenths of a millisecond, rounded down."""
    return int(seconds * TENTHS_PER_SECOND)


def address(key: str, text: str) -> Address:
    """Parses "host:port". Raises ConfigurationError, naming `key`."""
    try:
        return address_of(text)
    except ValueError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def read_toml(variable: str, kind: type[Document], environment: Mapping[str, str]) -> Document | None:
    """Decodes the TOML file that an environment variable names; returns None if the variable is not set.

    Raises ConfigurationError if the file cannot be read, is not TOML or does not fit `kind`."""
    path = environment.get(variable)
    if not path:
        return None
    try:
        with open(path, "rb") as file:
            return msgspec.toml.decode(file.read(), type=kind)
    except OSError as error:
        raise ConfigurationError(f"{variable}: {error}") from None
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"{path}: {error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: not TOML: {error}") from None
