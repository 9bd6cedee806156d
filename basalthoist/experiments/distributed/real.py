"""Two real nodes beside the hollow nodes: one subscribes to a relay, and one does not, for comparison."""

from pathlib import Path

from basalthoist.addresses import address_of

from ..loopback import end_nodes, open_discovery, own_address, ready, start_node
from .processes import encode_toml, usage
from .sizes import FLEET


class Pair:
    def __init__(self, folder: Path, spec: dict, times: dict) -> None:
        self.folder, self.spec, self.times, self.processes = folder, spec, times, []

    def document(self, name: str, discovery: str) -> dict:
        route = {"name": "any", "semantics": "idempotent", "overall_timeout": 2_000_000}
        settings = {"routes": [route], "zones": ["0"], "kinds": ["std"], "discovery": "pushed"}
        return {"name": name, "listen": own_address(), "admin": own_address(), "discovery": discovery,
                "seed": "1", "settings": settings}  # fmt: skip

    async def start(self) -> None:
        member = {"id": "s", "host_port": "127.0.0.1:9", "locality": "0", "flavor": "std"}
        discovery = await open_discovery([member])
        for name in ("told", "alone"):
            folder, more = self.folder / name, {}
            folder.mkdir(parents=True)
            if name == "told":
                keys = {"fleet": FLEET, "region": self.spec["region"], "scopes": self.spec["scopes"]}
                (folder / "told.toml").write_text(
                    encode_toml(self.times | keys | {"seeds": self.spec["seeds"]})
                )
                more = {"PROXY_DISTRIBUTION": str(folder / "told.toml")}
            document = self.document(name, discovery)
            process, log = await start_node(folder, name, document, TMPDIR=str(folder), **more)
            self.processes.append(process)
            await ready(address_of(document["listen"]), process, log)

    def read(self) -> dict:
        found = [usage(process.pid) for process in self.processes]
        return {"cpu_s": [cpu for cpu, _ in found], "memory_kb": [memory for _, memory in found]}

    async def stop(self) -> None:
        await end_nodes(*self.processes)


def difference(old: dict, new: dict, seconds: float) -> dict:
    """Returns the cores and megabytes of the subscribed node, and how much more these are than without."""
    cores = [(b - a) / seconds for a, b in zip(old["cpu_s"], new["cpu_s"], strict=True)]
    subscribed, alone = (memory / 1024 for memory in new["memory_kb"])
    return {"real_core": round(cores[0], 4), "real_core_more": round(cores[0] - cores[1], 4),
            "real_mb": round(subscribed, 1), "real_mb_more": round(subscribed - alone, 1)}  # fmt: skip
