"""Distribution of configuration between real processes: relays, voters and nodes that serve requests."""

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
    """Returns values as TOML, tables last."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items() if not isinstance(value, dict)]
    for key, table in values.items():
        if isinstance(table, dict):
            lines += [f"[{key}.{name}]\n" + toml(inner) for name, inner in table.items()]
    return "\n".join(lines) + "\n"


class Relay:
    """A relay process with a folder and a configuration file of its own."""

    def __init__(self, folder, name, listen, voters, **more):
        self.folder, self.name, self.address, self.admin = folder / name, name, listen, own_address()
        self.folder.mkdir()
        settings = {"fleet": FLEET, "role": "relay", "region": "a", "name": name, "listen": listen,
                "admin": self.admin, "lease_s": 0.6, "beat_s": 0.1, "voters": voters}  # fmt: skip
        (self.folder / "relay.toml").write_text(toml(TIMES | settings | more))
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

    def operator_call(self, line):
        with contextlib.suppress(OSError):
            return call(self.admin, line)
        return ""

    def log(self):
        return (self.folder / "log").read_text()


class Control:
    """Three relays that vote, and one that does not."""

    def __init__(self, folder):
        listen = {f"r{number}": own_address() for number in range(4)}
        voters = {f"r{n}": {"address": listen[f"r{n}"], "register": own_address()} for n in range(3)}
        self.relays = [Relay(folder, name, at, voters) for name, at in listen.items()]
        self.nodes = []
        wait_for(lambda: "r3 0" in self.relays[0].operator_call("config-status"), 15)

    def set(self, subject, /, **body):
        return self.relays[0].operator_call(
            f"config-set {subject} " + json.dumps(body, separators=(",", ":"))
        )

    def connected_nodes(self, at=0):
        """Returns the number of connected nodes of each relay."""
        answer = self.relays[at].operator_call("config-status")
        rows = answer.partition(": ")[2].strip().split(", ") if answer.startswith("SUCCESS") else []
        return {row.split()[0]: int(row.split()[2]) for row in rows}

    def close(self):
        for relay in self.relays:
            relay.kill()


@pytest.fixture
def control(tmp_path):
    cluster = Control(tmp_path)
    yield cluster
    cluster.close()


@pytest.fixture
def node(start, tmp_path, control):
    """Returns a function that starts a node of these relays with the given backends."""

    def begin(*behaviours, seeds=None, scopes=("shop",), settings=None, **more):
        path = tmp_path / "distribution.toml"
        path.write_text(toml(TIMES | {"fleet": FLEET, "region": "a", "scopes": scopes, "seeds": seeds or [
            relay.address for relay in control.relays]} | (settings or {})))  # fmt: skip
        environment = {"PROXY_DISTRIBUTION": str(path), "TMPDIR": str(tmp_path)}
        program, backends, _ = start(*behaviours, environment=environment, admin=own_address(), **more)
        program.backends = backends
        return program

    return begin


def config_here(program):
    return call(program.made["admin"], "config-here")


def acts_on_version(program, version):
    return f"SUCCESS version {version} " in config_here(program)


def request_of(tenant, **more):
    return request(**more).replace(b"acme", tenant)


@pytest.mark.parametrize(
    ("more", "error_text"),
    [
        ({"fleet": "a b"}, "fleet"), ({"seeds": []}, "seeds: expected addresses of relays"),
        ({"seeds": ["nowhere"]}, "seeds[0]: expected host"), ({"role": "relay"}, "role: expected 'node'"),
        ({"touch_s": 0}, "touch_s"), ({"fresh_s": 0.3}, "fresh_s: expected at least two touches"),
        ({"stale_s": 0.5}, "stale_s: expected at least fresh_s"), ({"when_stale": "hope"}, "when_stale"),
        ({"silent_s": 0.3}, "silent_s: expected at least two touches"), ({"colour": 1}, "colour"),
    ],
)  # fmt: skip
def test_invalid_node_file_rejected_naming_the_key(tmp_path, more, error_text):
    path = tmp_path / "distribution.toml"
    path.write_text(toml(TIMES | {"fleet": FLEET, "seeds": ["127.0.0.1:1"]} | more))
    with pytest.raises(ConfigurationError) as raised:
        load_distribution({"PROXY_DISTRIBUTION": str(path)})
    assert str(path) in str(raised.value) and error_text in str(raised.value)


VOTER = {"address": "127.0.0.1:1", "register": "127.0.0.1:2"}


@pytest.mark.parametrize(
    ("more", "error_text"),
    [
        ({"name": ""}, "name: expected"), ({"listen": ""}, "listen: expected host:port"),
        ({"voters": {}}, "voters: expected"), ({"listen": "127.0.0.1:9"}, "listen: expected 127.0.0.1:1"),
        ({"voters": {"r0": VOTER, "r1": VOTER}}, "voters.r1.address: expected an address of its own"),
        ({"voters": {"r0": VOTER | {"register": "x"}}}, "voters.r0.register"), ({"admin": "x"}, "admin"),
        ({"beat_s": 1.0}, "beat_s: expected at most a quarter of lease_s"), ({"role": "node"}, "role"),
    ],
)  # fmt: skip
def test_invalid_relay_file_rejected_naming_the_key(tmp_path, more, error_text):
    path = tmp_path / "relay.toml"
    usual = {"fleet": FLEET, "role": "relay", "name": "r0", "listen": "127.0.0.1:1", "voters": {"r0": VOTER}}
    path.write_text(toml(usual))
    assert load_relay(str(path)).name == "r0"
    path.write_text(toml(usual | more))
    with pytest.raises(ConfigurationError) as raised:
        load_relay(str(path))
    assert str(path) in str(raised.value) and error_text in str(raised.value)


def test_distribution_not_imported_without_its_file():
    code = "import sys, basalthoist.__main__, basalthoist.net.service, basalthoist.net.control.fleet\n"
    code += "sys.exit(any('distribution' in name for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_programs_exit_with_code_2_on_invalid_file(start, tmp_path):
    path = tmp_path / "wrong.toml"
    path.write_text('fleet = "x"\nseeds = ["nowhere"]\n')
    program, _, _ = start(wait=False, environment={"PROXY_DISTRIBUTION": str(path)})
    assert "seeds[0]" in program.wait_refused_start()
    ended = subprocess.run([sys.executable, "-m", "basalthoist", "relay", str(path)], capture_output=True)
    assert ended.returncode == 2 and b"role: expected 'relay'" in ended.stderr


def test_node_in_service_applies_changes(control, node):
    program = node(reply(body=b"first"), reply(body=b"second"), silent)
    answer = control.set("service/shop")
    assert answer == "SUCCESS version 1 in force at 1 nodes in touch by 4 relays, 0 shut out\n"
    assert acts_on_version(program, 1)
    # A ban: no requests are sent to the backend.
    assert control.set("verdict/b0", kind="ban", subject="s-0").startswith("SUCCESS version 2 ")
    assert control.set("verdict/b2", kind="ban", subject="s-2").startswith("SUCCESS version 3 ")
    assert {program.ask(request(ident=str(i))).body for i in range(12)} == {b"second"}
    # A route: its latency objective and overall timeout apply to the next request.
    for name in ("b0", "b2"):
        assert control.relays[1].operator_call(f"config-drop verdict/{name}").startswith("SUCCESS version")
    for number in range(2):
        assert control.set(f"verdict/only{number}", kind="ban", subject=f"s-{number}").startswith("SUCCESS")
    changed = control.set("route/shop/read", overall_timeout=200_000, latency_objective=100_000)
    assert changed.startswith("SUCCESS")
    untimed = request(ident="slow").replace(b"Request-Timeout-Ms: 800\r\n", b"")
    began = time.monotonic()
    assert program.ask(untimed).status in ("503", "504")
    assert time.monotonic() - began < 0.6  # with the settings of the file the timeout would be 0.9 s
    # A tenant banned, and admitted again once the entry is removed.
    assert control.set("verdict/shut", kind="customer", subject="acme").startswith("SUCCESS")
    assert program.ask(request(ident="shut")).status == "403"
    assert control.relays[3].operator_call("config-drop verdict/shut").startswith("SUCCESS")
    assert program.ask(request(ident="let")).status != "403"


def test_node_has_only_entries_of_its_scopes(control, node):
    program = node(reply())
    for service in ("shop", "mail"):
        control.set(f"service/{service}")
        control.set(f"route/{service}/{service}-1", value=2.0)
    assert acts_on_version(program, 4) and "2 entries 0 tenants" in config_here(program)


def test_operator_calls_at_admin_interface_of_node(control, node):
    program = node(reply())
    operator_call = lambda line: call(program.made["admin"], line)  # noqa: E731
    assert operator_call("config-set service/shop {}").startswith("SUCCESS version 1 in force at 1 nodes")
    assert operator_call("config-drop service/shop").startswith("SUCCESS version 2 in force")
    assert operator_call("config-status").startswith("SUCCESS author r")
    assert operator_call("config-set service/shop {").startswith("FAILURE service/shop: ")
    for relay in control.relays:
        relay.kill()
    wait_for(lambda: operator_call("config-status") == "FAILURE no relay in reach\n")


@pytest.mark.parametrize(
    ("subject", "body", "expected"),
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
def test_entries_are_validated_like_a_settings_file(subject, body, expected):
    from basalthoist.configuration import check_entries
    from basalthoist.distribution.catalogue import Catalogue, Entry, EntryError
    from basalthoist.net.control.catalogue_files import entry_of

    catalogue = Catalogue(1, [Entry("service", "shop", "shop")])
    with pytest.raises(EntryError) as raised:
        check_entries([entry_of(subject, json.dumps(body))], catalogue.get, catalogue)
    assert f"FAILURE {raised.value}".startswith(expected)


def test_invalid_change_rejected_naming_the_key_without_new_version(control, node):
    program = node(reply())
    assert control.set("service/shop").startswith("SUCCESS version 1 ")
    answer = control.set("route/shop/read", overall_timeout="soon")
    assert answer.startswith("FAILURE route/shop/read: Expected `int`") and "overall_timeout" in answer
    assert control.set("service/shop").startswith("SUCCESS version 1 ")  # no change, so no new version
    dropped = control.relays[0].operator_call("config-drop tenant/nobody")
    assert dropped.startswith("FAILURE tenant/nobody: there is none")
    assert acts_on_version(program, 1) and "version 1 " in control.relays[2].operator_call("config-status")


class RelayClient:
    """A client that sends messages to a relay and reads its replies."""

    def __init__(self, relay, fleet=FLEET):
        self.key = key_of(fleet)
        self.sock = socket.create_connection(address_of(relay.address), timeout=5)
        self.frames = FrameDecoder(key_of(FLEET))

    def send(self, *messages):
        for message in messages:
            self.sock.sendall(message if isinstance(message, bytes) else encode(self.key, message))
        return self

    def receive(self):
        """Returns the first messages, or [] if the connection ends without any."""
        with contextlib.suppress(ConnectionResetError):
            while data := self.sock.recv(65536):
                if messages := self.frames.feed(data):
                    return messages
        return []

    def connection_ended(self):
        with contextlib.suppress(ConnectionResetError):
            while self.sock.recv(65536):
                pass
        return True


def handshake(incarnation, name="n9", role="node"):
    return HandshakeRequest(name, incarnation, role, "a", [], -1, bytes(32))


def test_relay_rejects_invalid_data_older_incarnation_and_other_fleet(control):
    relay = control.relays[3]
    assert RelayClient(relay).send(b"GET / HTTP/1.1\r\n\r\n" * 20).receive() == []
    assert RelayClient(relay, "other").send(handshake(5)).receive() == []
    torn = bytearray(encode(key_of(FLEET), handshake(5)))
    torn[-1] ^= 1
    assert RelayClient(relay).send(bytes(torn)).receive() == []
    assert RelayClient(relay).send(handshake(5, role="relay")).receive() == []  # r3 is not a voter
    assert RelayClient(relay).send((1 << 31).to_bytes(4, "big")).receive() == []
    assert RelayClient(relay).receive() == []  # a connection on which nothing is sent is closed
    first = RelayClient(relay).send(handshake(5))
    assert type(first.receive()[0]) is HandshakeReply
    second = RelayClient(relay).send(handshake(7))
    assert type(second.receive()[0]) is HandshakeReply
    assert first.connection_ended()
    [message] = RelayClient(relay).send(handshake(6)).receive()
    assert type(message) is Redirect and "later incarnation" in message.reason
    assert relay.process.poll() is None and control.set("service/shop").startswith("SUCCESS version 1 ")


def test_client_that_reads_nothing_disconnected_and_others_answered(control):
    relay = control.relays[3]
    assert control.set("service/shop").startswith("SUCCESS")
    slow_reader = RelayClient(relay).send(
        HandshakeRequest("slow-reader", 5, "node", "a", ["shop"], -1, bytes(32))
    )
    able = RelayClient(relay).send(handshake(5, "able"))
    assert type(able.receive()[0]) is HandshakeReply
    for number in range(14):
        members = [f"127.0.0.1:{1 + (i + number) % 60000}" for i in range(40_000)]
        able.send(OperatorCall(number, [Entry("backends", "all", "shop", {"members": members})], 0))
        answered = []
        while not answered:
            for client in (able, slow_reader):
                client.send(Heartbeat(0, 1 << 40, bytes(32)))  # acknowledges every version
            answered = [message for message in able.receive() if type(message) is OperatorReply]
            time.sleep(0.01)
        if "slow-reader" in relay.log():
            break
    assert "slow-reader reads too slowly" in relay.log()
    slow_reader.sock.close()


def test_relay_with_truncated_file_catches_up_after_restart(control):
    assert control.set("service/shop").startswith("SUCCESS version 1 ")
    assert control.set("tenant/zeta", quota_per_s=1.0).startswith("SUCCESS version 2 ")
    for relay in (control.relays[3], control.relays[2]):
        store_file = relay.folder / "distribution.msgpack"
        wait_for(store_file.exists)
        relay.kill()
        store_file.write_bytes(store_file.read_bytes()[:30])
        relay.begin()
        wait_for(lambda r=relay: " version 2 " in r.operator_call("config-here"), 15)


def test_nodes_of_killed_relay_reconnect_to_another(control, node):
    program = node(reply())
    for number, relay in enumerate(control.relays):
        control.set(f"relay/r{number}", address=relay.address, region="a")
    assert acts_on_version(program, 4)
    relay_address = config_here(program).split(" by ")[1].split(",")[0]
    [killed] = [relay for relay in control.relays if relay.address == relay_address]
    killed.kill()
    remaining = [relay for relay in control.relays if relay is not killed]
    wait_for(lambda: "SUCCESS version 5 in force" in remaining[0].operator_call("config-set service/shop {}"))
    wait_for(lambda: acts_on_version(program, 5) and relay_address not in config_here(program), 5)
    assert program.ask(request()).status == "200"
    killed.begin()
    wait_for(lambda: killed.operator_call("config-status").startswith("SUCCESS author"), 10)


def test_uncached_tenant_served_at_once_and_removed_tenant_rejected(control, node):
    control.set("tenant/zeta", quota_per_s=5.0)
    program = node(reply(), settings_more={"accounts": []})
    wait_for(lambda: acts_on_version(program, 1))
    assert "0 tenants" in config_here(program)
    assert program.ask(request_of(b"zeta", ident="a")).status == "200"
    wait_for(lambda: "1 tenants" in config_here(program))
    assert program.ask(request_of(b"nobody", ident="b")).status == "400"
    assert program.ask(request(ident="c").replace(b"Tenant: acme\r\n", b"")).status == "400"
    control.set("tenant/theta", quota_per_s=1.0)
    assert program.ask(request_of(b"theta", ident="d")).status == "200"  # a tenant that was just added
    assert control.relays[0].operator_call("config-drop tenant/zeta").startswith("SUCCESS")
    wait_for(lambda: program.ask(request_of(b"zeta", ident="e")).status == "400")


def test_node_starts_with_damaged_and_with_intact_file(control, node, tmp_path):
    program = node(reply(), settings={"when_stale": "serve"})
    control.set("service/shop")
    control.set("route/shop/read", value=3.0)
    hint_file = tmp_path / "distribution.msgpack"
    wait_for(lambda: hint_file.exists() and acts_on_version(program, 2))
    time.sleep(1.2)  # the file is written within a second after a change
    intact = hint_file.read_bytes()
    configuration, environment = program.made, program.environment
    for data, message in ((intact[: len(intact) // 2], "damaged"), (b"", "damaged"), (intact, "")):
        program.close()
        hint_file.write_bytes(data)
        program = Program(
            tmp_path, configuration, **{k: v for k, v in environment.items() if k[:4] != "PATH"}
        )
        try:
            program.wait_ready()
            assert ("not used: damaged" in program.log()) == bool(message), program.log()
            wait_for(lambda p=program: acts_on_version(p, 2))
        finally:
            program.close()


def test_node_without_relays_in_standby_until_they_return(control, node):
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
    assert acts_on_version(program, 1) and program.ask(request(ident="2")).status == "200"
