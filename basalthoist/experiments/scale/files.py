"""Makes the files that a node starts with. All names have the same width, so sizes grow linearly."""

import json
from pathlib import Path

import msgspec

from ..loopback import own_address

UNUSED_ADDRESS = "127.0.0.1:9"  # of backends that receive no requests


class Catalogue(msgspec.Struct, frozen=True):
    """The numbers of routes, tenants and backends in a node's file."""

    routes: int = 10
    tenants: int = 20
    backends: int = 12


def route(number: int) -> dict:
    return {"name": f"r{number:06}", "semantics": "idempotent", "group": "cell", "value": 1.0,
            "latency_objective": 300_000, "overall_timeout": 900_000, "dedup_window": 10_000_000}  # fmt: skip


def tenant(number: int) -> dict:
    return {"name": f"t{number:06}", "quota_per_s": 1000.0}


def member(number: int, address: str = UNUSED_ADDRESS, locations: int = 3) -> dict:
    return {"id": f"b{number:06}", "host_port": address, "locality": str(number % locations),
            "flavor": "std", "cell": number % 100, "phase": "ready", "size": 1.0,
            "up_since_ms": 0}  # fmt: skip


def document(name: str, catalogue: Catalogue, discovery: str, nodes: int, me: int = 0,
             members: list[dict] | None = None, saved: bool = True, probes: bool = True) -> dict:  # fmt: skip
    """Returns a node's configuration. `saved`: includes the endpoint list, as the platform does."""
    entries = [member(n) for n in range(catalogue.backends)] if members is None else members
    return {
        "name": name, "listen": own_address(), "admin": own_address(), "discovery": discovery, "seed": "7",
        "known": {"revision": 0, "complete": True, "members": entries if saved else []},
        "limits": {"list_bytes": 64 << 20, "memory_mb": 1024, "sockets": 4096, "cores": 1.0},
        "settings": {
            "routes": [route(n) for n in range(catalogue.routes)],
            "accounts": [tenant(n) for n in range(catalogue.tenants)], "kinds": ["std"], "me": me,
            "zones": ["0", "1", "2"], "zone": 0, "siblings": nodes, "discovery": "pushed", "tick": 1000,
            "feedback": {"how": "inline", "fields": ["rif", "q", "busy"]},
            "prices": {"probe": 0.002, "peer": 0.01, "cross_zone": 0.0},
            "policy_limits": {"max_upstream_tries": 3, "cancel": True, "probes": probes,
                              "parallel_tries": False, "connect_timeout": 250_000, "keepalive": 30_000_000},
        },
    }  # fmt: skip


def fleet_file(addresses: dict[str, str], voters: list[str], beat_s: float, limits: int = 0) -> str:
    lines = ['fleet = "scale"', f"voters = {json.dumps(voters)}", f"beat_s = {beat_s}"]
    lines += [f"lease_s = {max(2.0, 5 * beat_s)}", f"fresh_s = {max(1.0, 3 * beat_s)}"]
    lines += [f"stale_s = {max(4.0, 8 * beat_s)}", f"grant_s = {max(1.0, 5 * beat_s)}"]
    for number in range(limits):
        lines += ["[[limits]]", f'customer = "{tenant(number)["name"]}"', "rate = 100000.0"]
    lines += ["[nodes]", *(f'{name} = "{address}"' for name, address in addresses.items())]
    return "\n".join(lines) + "\n"


def write_document(folder: Path, configuration: dict) -> Path:
    """Writes the node's file into its own folder, which also takes its stored state; returns the path."""
    home = folder / configuration["name"]
    home.mkdir(parents=True, exist_ok=True)
    path = home / "node.json"
    path.write_text(json.dumps(configuration))
    return path
