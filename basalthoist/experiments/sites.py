"""Plays two sites on loopback, joined by links with a delay. The backends of one leave and return."""

import asyncio
import json
import tempfile
from pathlib import Path

from basalthoist.addresses import address_of
from basalthoist.emulator.scenario import Backends, Kind, Load, Network, Node, Route, Scenario

from .loopback import (
    Clients,
    ScriptedBackend,
    document_for,
    end_nodes,
    members_of,
    open_discovery,
    own_address,
    ready,
    start_node,
    void_reason,
)

GATEWAY = "site = '{own}'\nbeat_s = 0.2\nsilent_s = 1.0\nsteady_s = 0.5\ncalm_s = 1.0\n"
GATEWAY += "[[sites]]\nname = '{other}'\ngateways = ['{gateway}']\n"


class DelayedConnection(asyncio.Protocol):
    """One end of a connection over a link. Forwards data to the other end in order, after the delay."""

    def __init__(self, link: "Link", other: "DelayedConnection | None" = None) -> None:
        self.link, self.other, self.transport, self.pending = link, other, None, []

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.other is None:
            asyncio.get_running_loop().create_task(self.open())
        else:
            self.other.other = self
            for data in self.other.pending:
                self.other.forward(data)

    async def open(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: DelayedConnection(self.link, self), *self.link.to
            )
        except OSError:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.pending.append(data)
        else:
            self.forward(data)

    def forward(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(self.link.delay_s, self.deliver, data)

    def deliver(self, data: bytes) -> None:
        if not self.link.cut and not self.other.transport.is_closing():
            self.other.transport.write(data)

    def connection_lost(self, error) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abort()


class Link:
    """Links one site's node to a gateway of the other. A cut link accepts bytes and drops them silently."""

    def __init__(self, to: tuple[str, int], delay_s: float) -> None:
        self.to, self.delay_s, self.cut, self.address = to, delay_s, False, ""

    async def listen(self) -> None:
        server = await asyncio.get_running_loop().create_server(
            lambda: DelayedConnection(self), "127.0.0.1", 0
        )
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class Site:
    def __init__(self, name: str, scenario: Scenario, runs: dict[str, int], folder: Path) -> None:
        self.name, self.scenario, self.runs, self.folder = name, scenario, runs, folder
        self.backends = [ScriptedBackend(scenario, number, runs) for number in range(scenario.backends.count)]
        self.watches: list = []
        self.address, self.process, self.members = address_of(own_address()), None, []

    async def open(self) -> None:
        self.members = await members_of(self.backends, self.name)
        self.discovery = await open_discovery(self.members, self.watches)

    async def start(self, other: str, link: Link | None) -> None:
        listen = "{}:{}".format(*self.address)
        configuration = document_for(self.scenario, 0, listen, self.discovery, self.members)
        more = {}
        if link is not None:
            gateway = self.folder / f"{self.name}.toml"
            gateway.write_text(GATEWAY.format(own=self.name, other=other, gateway=link.address))
            more["PROXY_GATEWAY"] = str(gateway)
        self.process, log = await start_node(self.folder, self.name, configuration, **more)
        await ready(self.address, self.process, log)

    def announce_phase(self, phase: str) -> None:
        """Sends the phase of all backends of the site to the open watches, as discovery does on a change."""
        members = [member | {"phase": phase} for member in self.members]
        line = json.dumps({"revision": 2, "complete": False, "members": members}).encode() + b"\n"
        for transport in self.watches:
            if not transport.is_closing():
                transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def end(self) -> None:
        if self.process is not None:
            await end_nodes(self.process)


def scenario_of(rate: float, backends: int, seed: int) -> Scenario:
    routes = (
        Route("load", 0.5, "retriable", 20, "lognormal", 0.4, 150, 800, 1),
        Route("save", 0.5, "non-retriable", 20, "lognormal", 0.4, 150, 800, 5),
    )
    return Scenario(nodes=1, seed=seed, backends=Backends(count=backends, kinds=(Kind(),)), routes=routes,
                    network=Network(), node=Node(probes=True), load=Load(rate=rate))  # fmt: skip


async def play_on(linked: bool, seconds: float, delay_ms: float, rate: float, seed: int, fault: str,
                  folder: Path) -> dict:  # fmt: skip
    runs: dict[str, int] = {}
    a, b = (Site(name, scenario_of(rate, 6, seed + at), runs, folder) for at, name in enumerate("ab"))
    to_b, to_a = Link(b.address, delay_ms / 1000), Link(a.address, delay_ms / 1000)
    for one in (a, b, to_a, to_b):
        await (one.open() if isinstance(one, Site) else one.listen())
    try:
        await asyncio.gather(a.start("b", to_b if linked else None), b.start("a", to_a if linked else None))
        clients = [Clients(site.scenario, [site.address], seconds, site.name) for site in (a, b)]
        loop = asyncio.get_running_loop()
        loop.call_later(seconds / 3, a.announce_phase, "gone")
        if fault == "cut":
            loop.call_later(seconds / 2, setattr, to_b, "cut", True)
        loop.call_later(2 * seconds / 3, a.announce_phase, "ready")
        await asyncio.gather(*(one.run() for one in clients))
    finally:
        await asyncio.gather(a.end(), b.end())
    return figures_of(clients, runs, seconds)


def figures_of(clients: list[Clients], runs: dict[str, int], seconds: float) -> dict:
    a, b = clients
    thirds = [(0, seconds / 3), (seconds / 3, 2 * seconds / 3), (2 * seconds / 3, seconds)]
    parts = {}
    for name, one in (("a", a), ("b", b)):
        for phase, (begin, end) in zip(("before", "gone", "back"), thirds, strict=True):
            at = [second for second in one.offered_by_second if begin <= second < end]
            offered = sum(one.offered_by_second[second] for second in at)
            parts[f"{name}_{phase}"] = sum(one.in_time_by_second.get(s, 0) for s in at) / max(offered, 1)
    gone = sorted(s for s in a.offered_by_second if seconds / 3 <= s < 2 * seconds / 3)
    good = [s for s in gone if a.in_time_by_second.get(s, 0) >= 0.9 * a.offered_by_second[s]]
    lateness = max(one.late_ms() for one in clients)
    return {
        "kept": {name: one.value_in_time / one.value_offered for name, one in (("a", a), ("b", b))},
        "in_time": parts,
        "seconds_to_leave": (good[0] - seconds / 3) if good else None,
        "ran_twice": sum(times > 1 for times in runs.values()), "lateness_p99_ms": lateness,
        "void": void_reason(lateness),
    }  # fmt: skip


def play(linked: bool, seconds: float, delay_ms: float, rate: float, seed: int, fault: str) -> dict:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play_on(linked, seconds, delay_ms, rate, seed, fault, Path(folder)))


def said(result: dict, name: str) -> list[str]:
    lines = [f"{name}: kept a {result['kept']['a']:.1%}, b {result['kept']['b']:.1%}"]
    lines.append("  in time  " + "  ".join(f"{key} {part:.1%}" for key, part in result["in_time"].items()))
    left = result["seconds_to_leave"]
    lines.append(f"  seconds until 90% in time again: {'never' if left is None else f'{left:.1f}'}")
    lines.append(
        f"  ran twice: {result['ran_twice']}; "
        f"lateness of the load generator p99 {result['lateness_p99_ms']:.2f} ms"
    )
    return lines
