"""Two sites: the backends of site a are gone, its requests go to the gateways of site b, and the link drops.

A request that backends of one bay recognise again must not take effect a second time in another bay.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import common  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
ROUTES = {"outcome-save": ("at_most_once", 400, 1500), "callback-book": ("deduplicated", 600, 2500)}
WINDOW_S = 12.0  # for so long the backends of one bay drop a repeat of callback-book
WORK_S = {"outcome-save": (0.044, 0.079), "callback-book": (0.068, 0.12)}
ZONES = ["nasea", "siberia-rd", "waiqele"]
RATE = 20.0  # requests a second at site a
PLAY_S = 45.0
DROP_EVERY_S = 2.0
SEED = 54


class Bay:
    """What the backends of one bay remember together, and what took effect."""

    def __init__(self, name):
        self.name, self.begun_at = name, {}


class Backend(common.Server):
    def __init__(self, name, bay, ledger, record, rng):
        super().__init__()
        self.name, self.bay, self.ledger, self.record, self.rng = name, bay, ledger, record, rng
        self.work = set()

    async def serve(self, reader, writer):
        while True:
            request = await common.read_message(reader)
            ident, route = request.headers["request-id"], request.headers["request-class"]
            # Work that runs goes on when its connection ends.
            work = asyncio.create_task(self.run(ident, route))
            self.work.add(work)
            work.add_done_callback(self.work.discard)
            await asyncio.shield(work)
            writer.write(common.answer_of(200, b"answer to " + ident.encode()))

    async def run(self, ident, route):
        begun_at = self.bay.begun_at.get(ident)
        if route == "callback-book" and begun_at is not None and time.monotonic() < begun_at + WINDOW_S:
            self.record(f"drop {ident} at {self.name}: a repeat, known in {self.bay.name}")
            return
        self.bay.begun_at[ident] = time.monotonic()
        self.ledger[ident].append((self.name, self.bay.name))
        self.record(f"run  {ident} {route} at {self.name} of {self.bay.name}")
        await asyncio.sleep(self.rng.uniform(*WORK_S[route]))


class Link(common.Server):
    """The link to one gateway. `drop` resets what is open on it; new connections come up again at once."""

    def __init__(self, target):
        super().__init__()
        self.target, self.pairs = target, set()

    async def serve(self, reader, writer):
        other_reader, other_writer = await common.connect(self.target)
        pair = (writer, other_writer)
        self.pairs.add(pair)
        try:
            await asyncio.wait(
                [
                    asyncio.create_task(self.pass_on(reader, other_writer)),
                    asyncio.create_task(self.pass_on(other_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.pairs.discard(pair)
            for side in pair:
                side.close()

    async def pass_on(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)

    def drop(self):
        for pair in list(self.pairs):
            for side in pair:
                common.reset(side)


def document_of(name, listen, discovery, members, siblings):
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery.address,
        "seed": f"8c1f30d27a5b{len(name):02x}{sum(name.encode()) % 256:02x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "zones": ZONES, "kinds": ["mid-1c"], "zone": 0, "siblings": siblings, "tick": 5000,
            "discovery": "pushed",
            "routes": [
                {
                    "name": route, "semantics": kind, "latency_objective": objective * 1000,
                    "overall_timeout": timeout * 1000, "value": 1.0, "group": "cell",
                    "dedup_window": int(WINDOW_S * 1e6),
                }
                for route, (kind, objective, timeout) in ROUTES.items()
            ],
            "accounts": [{"name": "northern-sales", "quota_per_s": 1000.0}],
            "policy_limits": {
                "connect_timeout": 200_000, "keepalive": 5_000_000, "max_upstream_tries": 4, "cancel": True,
                "parallel_tries": True,
            },
            "rules": {"drain_grace": 250_000, "grace_to_answer": 0},
        },
    }  # fmt: skip


async def start_site(temporary, nodes, site, listen_at, backends, others):
    """Starts a site's discovery and nodes. `others`: the gateways' addresses of the other site."""
    members = [
        common.member(backend.name, backend.address, ZONES[i % 3], "mid-1c", cell)
        for i, (backend, cell) in enumerate(backends)
    ]
    discovery = await common.Discovery(members).start()
    other = "b" if site == "a" else "a"
    text = f"site = '{site}'\n[[sites]]\nname = '{other}'\ngateways = {others}\n"
    path = pathlib.Path(temporary) / f"gateway-{site}.toml"
    path.write_text(text)
    started = []
    for number, listen in enumerate(listen_at):
        document = document_of(f"{site}{number}", listen, discovery, members, len(listen_at))
        node = common.Node(temporary, document, PROXY_GATEWAY=str(path))
        nodes.append(node)
        started.append(node)
    for node in started:
        await node.wait_ready()
    return discovery, members, started


async def play(record, temporary, nodes):
    rng = random.Random(SEED)
    ledger = collections.defaultdict(list)
    bays = {1: Bay("bay 1"), 2: Bay("bay 2")}
    own = [(await Backend(f"a-{i}", Bay("bay 0"), ledger, record, rng).start(), 9) for i in range(2)]
    there = []
    for number in range(6):
        cell = 1 + number % 2
        there.append((await Backend(f"b-{number}", bays[cell], ledger, record, rng).start(), cell))
    own_at, *gateways_at = [f"{common.HOST}:{common.free_port()}" for _ in range(3)]
    await start_site(temporary, nodes, "b", gateways_at, there, [own_at])
    links = [await Link(gateway).start() for gateway in gateways_at]
    discovery, members, [node] = await start_site(
        temporary, nodes, "a", [own_at], own, [link.address for link in links]
    )
    client = common.Client(node.address, record)
    results = {}

    async def ask(ident, route):
        timeout = ROUTES[route][2]
        results[ident] = await client.ask(
            "POST", route, "/save", ident, "northern-sales", timeout, timeout / 1000 + 1, body=b"x" * 200
        )

    for number in range(20):
        await ask(f"own-{number}", "outcome-save")
        await asyncio.sleep(0.1)
    record("the backends of site a are gone")
    discovery.tell(*[entry | {"phase": "gone"} for entry in members])
    await asyncio.sleep(1)
    # Until the other site serves.
    for number in range(100):
        await ask(f"before-{number}", "outcome-save")
        if (answer := results[f"before-{number}"][0]) is not None and answer.status == 200:
            break
        await asyncio.sleep(0.1)
    else:
        raise common.NotRunError("site b served nothing for site a")
    results.clear()
    tasks, at = [], time.monotonic()
    until, drop_at, drops = at + PLAY_S, at + DROP_EVERY_S, 0
    while at < until:
        at += rng.expovariate(RATE)
        await asyncio.sleep(max(at - time.monotonic(), 0))
        route = rng.choice(list(ROUTES))
        tasks.append(asyncio.create_task(ask(f"r-{len(tasks)}", route)))
        if common.trouble() and time.monotonic() >= drop_at:
            await asyncio.sleep(rng.uniform(0.02, 0.06))
            record("the link drops")
            for link in links:
                link.drop()
            drops += 1
            drop_at = time.monotonic() + DROP_EVERY_S
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    client.close()
    twice = {ident: runs for ident, runs in ledger.items() if len(runs) > 1}
    for ident, runs in twice.items():
        answer = results[ident][0]
        record(f"TWICE {ident} ran at {runs}, answered {answer and answer.status}")
    served = sum(answer is not None and answer.status == 200 for answer, _ in results.values())
    across = sum(len({bay for _, bay in runs}) > 1 for runs in twice.values())
    record.say(
        f"{len(results)} requests at site a, {served} answered 200, {drops} drops of the link,"
        f" {len(twice)} requests took effect more than once, {across} of these in more than one bay"
    )
    if served < len(results) / 2:
        raise common.NotRunError("fewer than half of the requests were served")
    return not twice


common.run_case(FOLDER, play)
