"""Configuration in versions on real processes: machines set aside, and nodes that act on it in service."""

import contextlib
import json
import socket
import subprocess
import sys
import time

import pytest
from helpers import Program, call, reply, request, silent, wait_for

from basalthoist.addresses import address_of
from basalthoist.configuration import ConfigurationError, load_distribution, load_relay
from basalthoist.distribution.catalogue import Entry
from basalthoist.distribution.wire import (
    FrameDecoder,
    HandshakeReply,
    HandshakeRequest,
    Heartbeat,
    OperatorCall,
    OperatorReply,
    Redirect,
    encode,
    key_of,
)
from basalthoist.experiments.loopback import own_address

TIMES = {"touch_s": 0.2, "fresh_s": 0.6, "silent_s": 0.6, "stale_s": 2.0, "wait_most_s": 0.3}
FLEET = "test"


def toml(values):
    """Values with tables last."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items() if not isinstance(value, dict)]
    for key, table in values.items():
        if isinstance(table, dict):
            lines += [f"[{key}.{name}]\n" + toml(inner) for name, inner in table.items()]
    return "\n".join(lines) + "\n"


class Relay:
    def __init__(self, folder, name, listen, voters, **more):
        self.folder, self.name, self.address, self.admin = folder / name, name, listen, own_address()
        self.folder.mkdir()
        told = {"fleet": FLEET, "role": "relay", "region": "a", "name": name, "listen": listen,
                "admin": self.admin, "lease_s": 0.6, "beat_s": 0.1, "voters": voters}  # fmt: skip
        (self.folder / "relay.toml").write_text(toml(TIMES | told | more))
        self.process = None
        self.begin()

    def begin(self):
        with (self.folder / "log").open("a") as log:
            command = [sys.executable, "-m", "basalthoist", "relay", str(self.folder / "relay.toml")]
            environment = {"TMPDIR": str(self.folder), "PATH": ""}
            self.process = subprocess.Popen(command, stderr=log, env=environment)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def ask(self, line):
        with contextlib.suppress(OSError):
            return call(self.admin, line)
        return ""

    def log(self):
        return (self.folder / "log").read_text()


class Control:
    """Three machines that vote, and one that only relays."""

    def __init__(self, folder):
        listen = {f"r{number}": own_address() for number in range(4)}
        voters = {f"r{n}": {"address": listen[f"r{n}"], "register": own_address()} for n in range(3)}
        self.relays = [Relay(folder, name, at, voters) for name, at in listen.items()]
        self.nodes = []
        wait_for(lambda: "r3 0" in self.relays[0].ask("config-status"), 15)

    def set(self, subject, /, **body):
        return self.relays[0].ask(f"config-set {subject} " + json.dumps(body, separators=(",", ":")))

    def there(self, at=0):
        """Relays, and how many nodes each has in touch."""
        said = self.relays[at].ask("config-status")
        rows = said.partition(": ")[2].strip().split(", ") if said.startswith("SUCCESS") else []
        return {row.split()[0]: int(row.split()[2]) for row in rows}

    def close(self):
        for relay in self.relays:
            relay.kill()


@pytest.fixture
def control(tmp_path):
    made = Control(tmp_path)
    yield made
    made.close()


@pytest.fixture
def node(start, tmp_path, control):
    """A node of that control, with the backends named."""

    def begin(*behaviours, seeds=None, scopes=("shop",), told=None, **more):
        path = tmp_path / "distribution.toml"
        path.write_text(toml(TIMES | {"fleet": FLEET, "region": "a", "scopes": scopes, "seeds": seeds or [
            relay.address for relay in control.relays]} | (told or {})))  # fmt: skip
        environment = {"PROXY_DISTRIBUTION": str(path), "TMPDIR": str(tmp_path)}
        program, backends, _ = start(*behaviours, environment=environment, admin=own_address(), **more)
        program.backends = backends
        return program

    return begin


def here(program):
    return call(program.made["admin"], "config-here")


def acts_on(program, version):
    return f"SUCCESS version {version} " in here(program)


def of(tenant, **more):
    return request(**more).replace(b"acme", tenant)


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ({"fleet": "a b"}, "fleet"), ({"seeds": []}, "seeds: expected addresses of relays"),
        ({"seeds": ["nowhere"]}, "seeds[0]: expected host"), ({"role": "relay"}, "role: expected 'node'"),
        ({"touch_s": 0}, "touch_s"), ({"fresh_s": 0.3}, "fresh_s: expected at least two touches"),
        ({"stale_s": 0.5}, "stale_s: expected at least fresh_s"), ({"when_stale": "hope"}, "when_stale"),
        ({"silent_s": 0.3}, "silent_s: expected at least two touches"), ({"colour": 1}, "colour"),
    ],
)  # fmt: skip
def test_a_wrong_file_of_a_node_is_refused_with_its_key(tmp_path, more, said):
    path = tmp_path / "distribution.toml"
    path.write_text(toml(TIMES | {"fleet": FLEET, "seeds": ["127.0.0.1:1"]} | more))
    with pytest.raises(ConfigurationError) as wrong:
        load_distribution({"PROXY_DISTRIBUTION": str(path)})
    assert str(path) in str(wrong.value) and said in str(wrong.value)


VOTER = {"address": "127.0.0.1:1", "register": "127.0.0.1:2"}


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ({"name": ""}, "name: expected"), ({"listen": ""}, "listen: expected host:port"),
        ({"voters": {}}, "voters: expected"), ({"listen": "127.0.0.1:9"}, "listen: expected 127.0.0.1:1"),
        ({"voters": {"r0": VOTER, "r1": VOTER}}, "voters.r1.address: expected an address of its own"),
        ({"voters": {"r0": VOTER | {"register": "x"}}}, "voters.r0.register"), ({"admin": "x"}, "admin"),
        ({"beat_s": 1.0}, "beat_s: expected at most a quarter of lease_s"), ({"role": "node"}, "role"),
    ],
)  # fmt: skip
def test_a_wrong_file_of_a_relay_is_refused_with_its_key(tmp_path, more, said):
    path = tmp_path / "relay.toml"
    usual = {"fleet": FLEET, "role": "relay", "name": "r0", "listen": "127.0.0.1:1", "voters": {"r0": VOTER}}
    path.write_text(toml(usual))
    assert load_relay(str(path)).name == "r0"
    path.write_text(toml(usual | more))
    with pytest.raises(ConfigurationError) as wrong:
        load_relay(str(path))
    assert str(path) in str(wrong.value) and said in str(wrong.value)


def test_without_a_file_that_names_it_nothing_of_it_is_loaded():
    looks = "import sys, basalthoist.__main__, basalthoist.net.service, basalthoist.net.control.fleet\n"
    looks += "sys.exit(any('distribution' in name for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", looks]).returncode == 0


def test_programs_refuse_a_wrong_file_by_one_line_and_exit_code_2(start, tmp_path):
    path = tmp_path / "wrong.toml"
    path.write_text('fleet = "x"\nseeds = ["nowhere"]\n')
    program, _, _ = start(wait=False, environment={"PROXY_DISTRIBUTION": str(path)})
    assert "seeds[0]" in program.wait_refused_start()
    ended = subprocess.run([sys.executable, "-m", "basalthoist", "relay", str(path)], capture_output=True)
    assert ended.returncode == 2 and b"role: expected 'relay'" in ended.stderr


def test_a_change_reaches_a_node_in_service_and_is_acted_upon(control, node):
    program = node(reply(body=b"first"), reply(body=b"second"), silent)
    said = control.set("service/shop")
    assert said == "SUCCESS version 1 in force at 1 nodes in touch by 4 relays, 0 shut out\n"
    assert acts_on(program, 1)
    # A ban: nothing more is sent there.
    assert control.set("verdict/b0", kind="ban", subject="s-0").startswith("SUCCESS version 2 ")
    assert control.set("verdict/b2", kind="ban", subject="s-2").startswith("SUCCESS version 3 ")
    assert {program.ask(request(ident=str(i))).body for i in range(12)} == {b"second"}
    # A route: its objective and overall timeout count for the next exchange.
    for name in ("b0", "b2"):
        assert control.relays[1].ask(f"config-drop verdict/{name}").startswith("SUCCESS version")
    for number in range(2):
        assert control.set(f"verdict/only{number}", kind="ban", subject=f"s-{number}").startswith("SUCCESS")
    changed = control.set("route/shop/read", overall_timeout=200_000, latency_objective=100_000)
    assert changed.startswith("SUCCESS")
    untimed = request(ident="slow").replace(b"Request-Timeout-Ms: 800\r\n", b"")
    began = time.monotonic()
    assert program.ask(untimed).status in ("503", "504")
    assert time.monotonic() - began < 0.6  # by its file it would have been 0.9 s
    # A customer shut out, and let in again by the entry's end.
    assert control.set("verdict/shut", kind="customer", subject="acme").startswith("SUCCESS")
    assert program.ask(request(ident="shut")).status == "403"
    assert control.relays[3].ask("config-drop verdict/shut").startswith("SUCCESS")
    assert program.ask(request(ident="let")).status != "403"


def test_a_node_fronts_some_services_and_holds_no_more(control, node):
    program = node(reply())
    for service in ("shop", "mail"):
        control.set(f"service/{service}")
        control.set(f"route/{service}/{service}-1", value=2.0)
    assert acts_on(program, 4) and "2 entries 0 tenants" in here(program)


def test_operators_call_at_a_node_s_own_door(control, node):
    program = node(reply())
    ask = lambda line: call(program.made["admin"], line)  # noqa: E731
    assert ask("config-set service/shop {}").startswith("SUCCESS version 1 in force at 1 nodes")
    assert ask("config-drop service/shop").startswith("SUCCESS version 2 in force")
    assert ask("config-status").startswith("SUCCESS author r")
    assert ask("config-set service/shop {").startswith("FAILURE service/shop: ")
    for relay in control.relays:
        relay.kill()
    wait_for(lambda: ask("config-status") == "FAILURE no relay in reach\n")


@pytest.mark.parametrize(
    ("subject", "body", "said"),
    [
        ("route/shop/read", {"overall_timeout": "2 s"},
         "FAILURE route/shop/read: Expected `int`, got `str` - at `$.overall_timeout`"),
        ("route/shop/read", {"colour": 1}, "FAILURE route/shop/read: Object contains unknown field `colour`"),
        ("route/mail/read", {}, "FAILURE route/mail/read: scope: no service 'mail'"),
        ("tenant/acme", {}, "FAILURE tenant/acme: Object missing required field `quota_per_s`"),
        ("tenant/acme", {"quota_per_s": -1}, "FAILURE tenant/acme: Expected `float` >= 0.0"),
        ("relay/r9", {"address": "nowhere"}, "FAILURE relay/r9: expected host:port"),
        ("backends/shop/all", {"members": ["x"]}, "FAILURE backends/shop/all: expected host:port"),
        ("verdict/x", {"kind": "sick", "subject": "s"}, "FAILURE verdict/x: Invalid enum value"),
        ("colour/red", {}, "FAILURE colour/red: expected KIND/NAME"),
    ],
)  # fmt: skip
def test_entries_are_checked_as_a_file_is(subject, body, said):
    from basalthoist.configuration import check_entries
    from basalthoist.distribution.catalogue import Catalogue, Entry, EntryError
    from basalthoist.net.control.catalogue_files import entry_of

    catalogue = Catalogue(1, [Entry("service", "shop", "shop")])
    with pytest.raises(EntryError) as wrong:
        check_entries([entry_of(subject, json.dumps(body))], catalogue.get, catalogue)
    assert f"FAILURE {wrong.value}".startswith(said)


def test_a_faulty_change_is_refused_by_its_key_and_nothing_moves(control, node):
    program = node(reply())
    assert control.set("service/shop").startswith("SUCCESS version 1 ")
    said = control.set("route/shop/read", overall_timeout="soon")
    assert said.startswith("FAILURE route/shop/read: Expected `int`") and "overall_timeout" in said
    assert control.set("service/shop").startswith("SUCCESS version 1 ")  # no news: no new version either
    dropped = control.relays[0].ask("config-drop tenant/nobody")
    assert dropped.startswith("FAILURE tenant/nobody: there is none")
    assert acts_on(program, 1) and "version 1 " in control.relays[2].ask("config-status")


class Speaker:
    """Says words to a relay, and hears what it answers."""

    def __init__(self, relay, fleet=FLEET):
        self.key = key_of(fleet)
        self.sock = socket.create_connection(address_of(relay.address), timeout=5)
        self.frames = FrameDecoder(key_of(FLEET))

    def say(self, *messages):
        for message in messages:
            self.sock.sendall(message if isinstance(message, bytes) else encode(self.key, message))
        return self

    def hears(self):
        """The first words, or [] for an end without any."""
        with contextlib.suppress(ConnectionResetError):
            while data := self.sock.recv(65536):
                if messages := self.frames.feed(data):
                    return messages
        return []

    def ended(self):
        with contextlib.suppress(ConnectionResetError):
            while self.sock.recv(65536):
                pass
        return True


def hello(life, name="n9", role="node"):
    return HandshakeRequest(name, life, role, "a", [], -1, bytes(32))


def test_a_stranger_an_old_life_and_another_fleet_are_refused(control):
    relay = control.relays[3]
    assert Speaker(relay).say(b"GET / HTTP/1.1\r\n\r\n" * 20).hears() == []
    assert Speaker(relay, "other").say(hello(5)).hears() == []
    torn = bytearray(encode(key_of(FLEET), hello(5)))
    torn[-1] ^= 1
    assert Speaker(relay).say(bytes(torn)).hears() == []
    assert Speaker(relay).say(hello(5, role="relay")).hears() == []  # r3 does not vote
    assert Speaker(relay).say((1 << 31).to_bytes(4, "big")).hears() == []
    assert Speaker(relay).hears() == []  # it says nothing, and is ended
    first = Speaker(relay).say(hello(5))
    assert type(first.hears()[0]) is HandshakeReply
    second = Speaker(relay).say(hello(7))
    assert type(second.hears()[0]) is HandshakeReply
    assert first.ended()
    [message] = Speaker(relay).say(hello(6)).hears()
    assert type(message) is Redirect and "later incarnation" in message.reason
    assert relay.process.poll() is None and control.set("service/shop").startswith("SUCCESS version 1 ")


def test_one_that_reads_nothing_is_ended_and_the_others_are_told_all_the_same(control):
    relay = control.relays[3]
    assert control.set("service/shop").startswith("SUCCESS")
    deaf = Speaker(relay).say(HandshakeRequest("deaf", 5, "node", "a", ["shop"], -1, bytes(32)))
    able = Speaker(relay).say(hello(5, "able"))
    assert type(able.hears()[0]) is HandshakeReply
    for number in range(14):
        members = [f"127.0.0.1:{1 + (i + number) % 60000}" for i in range(40_000)]
        able.say(OperatorCall(number, [Entry("backends", "all", "shop", {"members": members})], 0))
        answered = []
        while not answered:
            for speaker in (able, deaf):
                speaker.say(Heartbeat(0, 1 << 40, bytes(32)))  # they hold back nobody
            answered = [message for message in able.hears() if type(message) is OperatorReply]
            time.sleep(0.01)
        if "deaf" in relay.log():
            break
    assert "deaf reads too slowly" in relay.log()
    deaf.sock.close()


def test_a_machine_starts_with_a_torn_file_and_is_told_again(control):
    assert control.set("service/shop").startswith("SUCCESS version 1 ")
    assert control.set("tenant/zeta", quota_per_s=1.0).startswith("SUCCESS version 2 ")
    for relay in (control.relays[3], control.relays[2]):
        kept = relay.folder / "distribution.msgpack"
        wait_for(kept.exists)
        relay.kill()
        kept.write_bytes(kept.read_bytes()[:30])
        relay.begin()
        wait_for(lambda r=relay: " version 2 " in r.ask("config-here"), 15)


def test_nodes_of_a_relay_that_is_killed_go_to_another_and_nothing_is_lost(control, node):
    program = node(reply())
    for number, relay in enumerate(control.relays):
        control.set(f"relay/r{number}", address=relay.address, region="a")
    assert acts_on(program, 4)
    by = here(program).split(" by ")[1].split(",")[0]
    [own] = [relay for relay in control.relays if relay.address == by]
    own.kill()
    left = [relay for relay in control.relays if relay is not own]
    wait_for(lambda: "SUCCESS version 5 in force" in left[0].ask("config-set service/shop {}"))
    wait_for(lambda: acts_on(program, 5) and by not in here(program), 5)
    assert program.ask(request()).status == "200"
    own.begin()
    wait_for(lambda: own.ask("config-status").startswith("SUCCESS author"), 10)


def test_a_tenant_that_is_not_held_is_served_at_once_and_then_by_its_quota(control, node):
    control.set("tenant/zeta", quota_per_s=5.0)
    program = node(reply(), settings_more={"accounts": []})
    wait_for(lambda: acts_on(program, 1))
    assert "0 tenants" in here(program)
    assert program.ask(of(b"zeta", ident="a")).status == "200"
    wait_for(lambda: "1 tenants" in here(program))
    assert program.ask(of(b"nobody", ident="b")).status == "400"
    assert program.ask(request(ident="c").replace(b"Tenant: acme\r\n", b"")).status == "400"
    control.set("tenant/theta", quota_per_s=1.0)
    assert program.ask(of(b"theta", ident="d")).status == "200"  # there since a moment ago
    assert control.relays[0].ask("config-drop tenant/zeta").startswith("SUCCESS")
    wait_for(lambda: program.ask(of(b"zeta", ident="e")).status == "400")


def test_a_node_starts_with_a_torn_file_and_with_a_whole_one(control, node, tmp_path):
    program = node(reply(), told={"when_stale": "serve"})
    control.set("service/shop")
    control.set("route/shop/read", value=3.0)
    kept = tmp_path / "distribution.msgpack"
    wait_for(lambda: kept.exists() and acts_on(program, 2))
    time.sleep(1.2)  # it is written a second after a change at the latest
    whole = kept.read_bytes()
    made, environment = program.made, program.environment
    for data, said in ((whole[: len(whole) // 2], "damaged"), (b"", "damaged"), (whole, "")):
        program.close()
        kept.write_bytes(data)
        program = Program(tmp_path, made, **{k: v for k, v in environment.items() if k[:4] != "PATH"})
        try:
            program.wait_ready()
            assert ("not used: damaged" in program.log()) == bool(said), program.log()
            wait_for(lambda p=program: acts_on(p, 2))
        finally:
            program.close()


def test_a_node_that_loses_its_relays_stands_by_and_comes_back(control, node):
    program = node(reply())
    control.set("service/shop")
    assert program.ask(request(ident="1")).status == "200"
    for relay in control.relays:
        relay.kill()
    wait_for(lambda: program.ask(b"GET /ready HTTP/1.1\r\n\r\n").status == "503", 6)
    assert "view of the configuration stale" in call(program.made["admin"], "status")
    for relay in control.relays:
        relay.begin()
    wait_for(lambda: program.ask(b"GET /ready HTTP/1.1\r\n\r\n").status == "200", 15)
    assert acts_on(program, 1) and program.ask(request(ident="2")).status == "200"
