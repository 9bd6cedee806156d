"""Generates the catalogue, its changes and the nodes' subscriptions from a seed."""

from random import Random
from typing import NamedTuple

from basalthoist.distribution.catalogue import Entry

REGIONS = ("a", "b", "c", "d", "e")
FLEET = "full-size"


class Size(NamedTuple):
    nodes: int = 3_300
    machines: int = 17
    voters: int = 5
    workers: int = 12
    services: int = 2_000
    routes: int = 11_000
    tenants: int = 200_000
    backends: int = 32_000

    def scaled(self, percent: float) -> "Size":
        """Returns this size with a catalogue of so many percent."""
        counts = (self.services, self.routes, self.tenants, self.backends)
        services, routes, tenants, backends = (max(int(count * percent / 100), 10) for count in counts)
        return self._replace(services=services, routes=routes, tenants=tenants, backends=backends)


def region_of(number: int) -> str:
    return REGIONS[number % len(REGIONS)]


def members(service: int, size: Size, rng: Random) -> list[str]:
    each, net = max(size.backends // size.services, 1), f"10.{service >> 8 & 255}.{service & 255}"
    return [f"{net}.{rng.randrange(1, 255)}:{8000 + number}" for number in range(each)]


def route(number: int, size: Size, rng: Random) -> Entry:
    body = {"overall_timeout": rng.randrange(500, 5_000) * 1000, "value": float(rng.randrange(1, 9))}
    return Entry("route", f"r{number:05}", f"s{number % size.services:04}", body)


def backends(service: int, size: Size, rng: Random) -> Entry:
    return Entry("backends", f"b{service:04}", f"s{service:04}", {"members": members(service, size, rng)})


def tenant(number: int, rng: Random) -> Entry:
    return Entry("tenant", f"t{number:06}", "", {"quota_per_s": float(rng.randrange(1, 400))})


def catalogue(size: Size, relays: dict[str, tuple[str, str]], rng: Random) -> list[Entry]:
    """Returns all entries. `relays`: names to address and region."""
    entries = [Entry("relay", name, "", {"address": at, "region": r}) for name, (at, r) in relays.items()]
    entries += [Entry("service", f"s{number:04}", f"s{number:04}") for number in range(size.services)]
    entries += [route(number, size, rng) for number in range(size.routes)]
    entries += [backends(number, size, rng) for number in range(size.services)]
    return entries + [tenant(number, rng) for number in range(size.tenants)]


def change(number: int, size: Size, rng: Random) -> Entry:
    """Returns a random change: a quota, a route, a set of backends, a verdict, or a new tenant."""
    kind = rng.random()
    if kind < 0.4:
        return tenant(rng.randrange(size.tenants), rng)
    if kind < 0.65:
        return route(rng.randrange(size.routes), size, rng)
    if kind < 0.9:
        return backends(rng.randrange(size.services), size, rng)
    if kind < 0.95:
        subject = f"x{rng.randrange(10**6)}"
        return Entry("verdict", f"v{number % 50}", "", {"kind": "ban", "subject": subject})
    return Entry("tenant", f"new{number:06}-{rng.randrange(10**6)}", "", {"quota_per_s": 5.0})


def node(number: int, size: Size, seeds: dict[str, list[str]], rng: Random) -> dict:
    """Returns a node with a few services and tens to hundreds of tenants, seeded by its region's relays."""
    scopes = [f"s{rng.randrange(size.services):04}" for _ in range(rng.randint(1, 6))]
    count = min(int(10 ** rng.uniform(1.3, 2.6)), size.tenants)
    return {"name": f"n{number:05}", "region": region_of(number), "scopes": sorted(set(scopes)),
            "seeds": seeds[region_of(number)], "tenants": count}  # fmt: skip
