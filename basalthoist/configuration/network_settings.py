"""The part of a node's settings that its network code reads. The decision code reads all of them."""

from typing import Annotated

import msgspec


class Route(msgspec.Struct):
    """A route. `overall_timeout` covers a request with all its attempts, in microseconds; 0: not set."""

    name: str
    overall_timeout: Annotated[int, msgspec.Meta(ge=0)] = 0
    streaming: bool = False


class Account(msgspec.Struct):
    """A tenant, identified by the name that its requests carry."""

    name: str


class Feedback(msgspec.Struct):
    """How backends report their load; "off": they do not."""

    how: str = "off"


class PolicyLimits(msgspec.Struct):
    """Connection timeouts in microseconds, 0 for the default, and whether health checks (`probes`) and gossip
    (`peers`) are allowed."""

    connect_timeout: Annotated[int, msgspec.Meta(ge=0)] = 0
    keepalive: Annotated[int, msgspec.Meta(ge=0)] = 0
    probes: bool = False
    peers: bool = False


class NetworkSettings(msgspec.Struct):
    """The settings that the network code needs, with the file's keys and units. Times in microseconds."""

    routes: Annotated[list[Route], msgspec.Meta(min_length=1)]
    siblings: Annotated[int, msgspec.Meta(ge=0)] = 1
    discovery: str = "pushed"
    accounts: list[Account] = []
    zones: list[str] = []
    kinds: list[str] = []
    policy_limits: PolicyLimits = msgspec.field(default_factory=PolicyLimits)
    feedback: Feedback = msgspec.field(default_factory=Feedback)
