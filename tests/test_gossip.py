"""Gossip between nodes: the codec, its effect on the decisions, and datagrams of a running program."""

import io
import socket
from base64 import b64encode

import pytest
from helpers import (
    NOW,
    SECOND,
    DiscoveryStandIn,
    Program,
    StandIn,
    document,
    listed,
    member,
    node,
    own_address,
    reply,
    request,
    wait_for,
)  # fmt: skip

from basalthoist.addresses import address_of
from basalthoist.decisions.interface import GossipKind, GossipMessage, LoadReport, Outcome
from basalthoist.decisions.outlier_detection import SUSPECT_THRESHOLD
from basalthoist.decisions.request import Request
from basalthoist.gossip_codec import MAX_DATAGRAM_BYTES, decode, encode
from basalthoist.simulator.adapter import serve

GOSSIP_SETTINGS = {
    "nodes": 40, "policy_limits__probes": True, "policy_limits__peers": True, "prices__probe": 0.08,
    "prices__peer": 0.01, "feedback.fields": ["inflight"],
}  # fmt: skip


def gossiping_node(*names, **more):
    return node([listed(name) for name in names], **(GOSSIP_SETTINGS | more))


def new_request(balancer):
    return Request(99, balancer.routes[0], NOW, NOW + 8000, NOW + 3000, False)


@pytest.mark.parametrize(
    "messages",
    [
        [],
        [(GossipKind.SENT, 0, 0)],
        [(GossipKind.EJECTED, 65535, 0), (GossipKind.ANSWERED, 9, 0)],
        [(GossipKind.SENT, 258, 0), (GossipKind.IN_FLIGHT, 7, 252)],
    ],
)
def test_messages_survive_encoding_and_decoding(messages):
    assert decode(encode(messages)) == messages


def test_encoding_caps_in_flight_and_datagram_size():
    assert decode(encode([(GossipKind.IN_FLIGHT, 1, 4000)])) == [(GossipKind.IN_FLIGHT, 1, 252)]
    assert len(encode([(GossipKind.SENT, 1, 0)] * 500)) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("data", [b"", b"\2", b"\x01\x00", b"\x01\x00\x00", b"\x00abc", b"\1" + 90 * b"abc"])
def test_decoding_malformed_datagram_raises_value_error(data):
    with pytest.raises(ValueError):
        decode(data)


def test_backend_kept_busy_by_peers_is_skipped():
    balancer, host = gossiping_node("a", "b")
    for peer in range(3):
        balancer.on_gossip(NOW, peer, [GossipMessage(GossipKind.SENT, balancer.backends["a"].key, 0)])
    for ident in range(2):
        balancer.on_request(NOW, ident, 0, 0, 8000, False)
        balancer.on_attempt_ended(NOW, ident, 0, Outcome.COMPLETED, 10, True, None)
    assert [call[2] for call in host.take("send")] == ["b", "b"]
    assert balancer.backends["a"].profile.count == 0  # profiles are learned only from own attempts


def test_idle_backend_is_preferred_to_one_soon_idle():
    balancer, host = gossiping_node("a", "b")
    first = balancer.rotation.candidates(NOW, new_request(balancer))[0]
    balancer.on_gossip(
        NOW - int(0.6 * balancer.loads.service_time), 1, [GossipMessage(GossipKind.SENT, first.key, 0)]
    )
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    assert [call[2] for call in host.take("send")] == [{"a": "b", "b": "a"}[first.name]]


def test_load_announced_by_peers_decays_with_time():
    balancer, _ = gossiping_node("a", "b")
    backend = balancer.backends["a"]
    balancer.on_gossip(NOW, 1, [GossipMessage(GossipKind.SENT, backend.key, 0)] * 2)
    assert balancer.loads.ahead(backend, NOW) == 2.0
    assert balancer.loads.ahead(backend, NOW + int(balancer.loads.service_time)) == pytest.approx(
        1.0, abs=0.01
    )
    assert balancer.loads.ahead(backend, NOW + SECOND) == 0.0


@pytest.mark.parametrize(
    ("peers", "ejected"),
    [((1,), False), ((1, 1, 1), False), ((1, 2), True)],
)
def test_two_peers_are_needed_to_eject_a_backend(peers, ejected):
    balancer, _ = gossiping_node("a", "b", "c", "d")
    backend = balancer.backends["a"]
    for peer in peers:
        balancer.on_gossip(NOW, peer, [GossipMessage(GossipKind.EJECTED, backend.key, 0)])
    assert (backend.outlier.ejected_until > NOW) == ejected


def test_peers_reporting_all_backends_eject_at_most_half():
    balancer, _ = gossiping_node(*"abcdef")
    for backend in balancer.backends.values():
        for peer in range(5):
            balancer.on_gossip(NOW, peer, [GossipMessage(GossipKind.EJECTED, backend.key, 0)])
    assert sum(b.outlier.ejected_until > NOW for b in balancer.backends.values()) == 3


def test_old_peer_ejections_do_not_count():
    balancer, _ = gossiping_node("a", "b", "c", "d")
    backend = balancer.backends["a"]
    balancer.on_gossip(NOW, 1, [GossipMessage(GossipKind.EJECTED, backend.key, 0)])
    backend.outlier.suspicion = 0.0
    balancer.on_gossip(NOW + 60 * SECOND, 2, [GossipMessage(GossipKind.EJECTED, backend.key, 0)])
    assert backend.outlier.ejected_until <= NOW


def test_own_failure_after_a_peer_ejection_ejects_and_is_announced():
    balancer, host = gossiping_node("a", "b", "c", "d")
    for backend in balancer.backends.values():
        balancer.on_gossip(NOW, 1, [GossipMessage(GossipKind.EJECTED, backend.key, 0)])
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    [sent] = [call[2] for call in host.take("send")]
    balancer.on_attempt_ended(NOW, 1, 0, Outcome.ERROR, 10, True, None)
    assert balancer.backends[sent].outlier.ejected_until > NOW
    assert (GossipKind.EJECTED, balancer.backends[sent].key, 0) in [
        message for call in host.take("gossip") for message in call[1]
    ]


def test_load_report_is_gossiped_with_the_next_send():
    balancer, host = gossiping_node("a", "b")
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    [first] = [call[2] for call in host.take("send")]
    balancer.on_attempt_ended(NOW, 1, 0, Outcome.COMPLETED, 10, True, LoadReport(4.0, None, None))
    balancer.on_request(NOW, 2, 0, 0, 8000, False)
    [call] = host.take("gossip")
    other = "b" if first == "a" else "a"
    # The report of four counts the request just answered, so three are left.
    assert call[1] == [
        (GossipKind.SENT, balancer.backends[other].key, 0),
        (GossipKind.IN_FLIGHT, balancer.backends[first].key, 12),
    ]


@pytest.mark.parametrize(
    "more",
    [{"policy_limits__peers": False}, {"nodes": 1}, {"prices__probe": 0.0001}],
)
def test_no_gossip_if_disabled_or_health_checks_are_cheap(more):
    balancer, host = gossiping_node("a", "b", **more)
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    assert not host.take("gossip")


@pytest.mark.parametrize(
    ("nodes", "price", "min_sent", "max_sent"),
    [(40, 0.01, 200, 200), (500, 0.01, 5, 60), (40, 1.0, 0, 10)],
)
def test_gossip_stays_within_its_budget_at_any_fleet_size(nodes, price, min_sent, max_sent):
    balancer, host = gossiping_node("a", "b", nodes=nodes, prices__peer=price)
    for ident in range(200):
        balancer.on_request(NOW, ident, 0, 0, 8000, False)
        balancer.on_attempt_ended(NOW, ident, 0, Outcome.COMPLETED, 10, True, None)
    assert min_sent <= len(host.take("gossip")) <= max_sent


def test_messages_with_unknown_keys_are_ignored():
    balancer, _ = gossiping_node("a", "b")
    balancer.on_gossip(
        NOW,
        1,
        [
            GossipMessage(GossipKind.EJECTED, 1, 0),
            GossipMessage(GossipKind.IN_FLIGHT, 2, 200),
            GossipMessage(GossipKind.SENT, 3, 0),
        ],
    )
    assert all(b.reported_in_flight == 0.0 for b in balancer.backends.values())


@pytest.fixture
def peer():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(address_of(own_address()))
        sock.settimeout(10)
        yield sock


@pytest.fixture
def program(tmp_path, peer):
    backend = StandIn(reply(200, b"done", Server_Load="inflight=1"))
    discovery = DiscoveryStandIn([member("s-0", backend)])
    gossip_address = own_address()
    configuration = document(discovery.address, [member("s-0", backend)], peer_listen=gossip_address,
                             peers=[gossip_address, "{}:{}".format(*peer.getsockname())])  # fmt: skip
    settings = configuration["settings"]
    settings["siblings"], settings["prices"] = 2, {"probe": 0.08, "peer": 0.01}
    settings["policy_limits"] |= {"peers": True, "probes": True}
    settings["feedback"] = {"how": "inline", "fields": ["inflight"]}
    started = Program(tmp_path, configuration)
    yield started.wait_ready()
    started.close()
    backend.close()
    discovery.close()


def test_program_announces_a_send_to_its_peers(program, peer):
    assert program.ask(request()).status == "200"
    [(kind, _, _), *_] = decode(peer.recv(512))
    assert kind == GossipKind.SENT


def test_malformed_datagrams_and_strangers_are_only_logged(program, peer):
    gossip_address = address_of(program.made["peer_listen"])
    for data in (b"", b"\xff" * 300, b"\x01\x00", b"\x00" * 4):
        peer.sendto(data, gossip_address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(encode([(GossipKind.EJECTED, 1, 0)]), gossip_address)
    wait_for(lambda: "malformed" in program.log() and "stranger" in program.log())
    assert program.ask(request()).status == "200"


@pytest.mark.parametrize(("nodes", "fleet"), [(40, 60), (7, 30), (300, 400)])
def test_node_computes_which_peers_use_a_backend(nodes, fleet):
    entries = [listed(f"s-{number}", zone=number % 3) for number in range(fleet)]
    balancers = [
        node(entries, seed=me, **(GOSSIP_SETTINGS | {"nodes": nodes, "me": me}))[0] for me in range(nodes)
    ]
    for name in list(balancers[0].backends)[:: max(fleet // 50, 1)]:
        users = {
            balancer.settings.own_number
            for balancer in balancers
            if balancer.backends[name] in balancer.subset.backends
        }
        for balancer in balancers:
            assert set(balancer.gossip.peers_using(balancer.backends[name])) == users - {
                balancer.settings.own_number
            }
    assert all(0 < len(balancer.subset.backends) < fleet / 2 for balancer in balancers)


def test_idle_backend_is_used_though_its_service_time_exceeds_the_bound():
    balancer, host = gossiping_node("a", "b")
    for backend in balancer.backends.values():
        backend.service_time_sum, backend.service_time_count = 40 * 2200.0, 40.0
    balancer.loads.service_time = 2200.0
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    assert host.take("send")


def test_simulator_wire_carries_gossip_messages():
    blob = b64encode(encode([(GossipKind.SENT, 9, 0)])).decode()
    text = "\n".join([
        "FRAME\t1000000\t1", "START\t0\t5\tsiblings=3\tzone=0", "CATALOG\t0\t1",
        "BACKEND\t10.0.0.1:80\t0\t0\t0\thealthy\t1\t-", "TOPOLOGY\t0\tSAVED\t1\t0", f"MESSAGE\t0\t1\t{blob}",
        "MESSAGE\t0\t2\tAAAA", "MESSAGE\t0\t2\t-", "YOUR_TURN", "",
    ])  # fmt: skip
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    assert "PANIC" not in sink.getvalue() and sink.getvalue().endswith("OK\t1\n")


def node_without_load_reports(*names, **more):
    """Makes a node that gossips although backends report no load."""
    balancer, host = gossiping_node(*names, **more, **{"feedback.fields": []})
    assert balancer.settings.without_load_reports
    return balancer, host


def test_without_load_reports_a_send_and_its_response_are_announced():
    balancer, host = node_without_load_reports("a", "b")
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    [sent] = [call[2] for call in host.calls if call[0] == "send"]
    balancer.on_attempt_ended(NOW + 50, 1, 0, Outcome.COMPLETED, 50, True, None)
    key = balancer.backends[sent].key
    assert [call[1] for call in host.take("gossip")] == [
        [(GossipKind.SENT, key, 0)],
        [(GossipKind.ANSWERED, key, 0)],
    ]
    assert balancer.loads.ahead(balancer.backends[sent], NOW + 50) == 0.0


def test_answered_message_lowers_the_load_and_counts_as_a_response():
    balancer, _ = node_without_load_reports("a", "b")
    backend = balancer.backends["a"]
    balancer.on_gossip(NOW, 1, [GossipMessage(GossipKind.SENT, backend.key, 0)] * 3)
    balancer.on_gossip(NOW + 10, 2, [GossipMessage(GossipKind.ANSWERED, backend.key, 0)])
    assert balancer.loads.ahead(backend, NOW + 10) == pytest.approx(2.0, abs=0.01)
    assert backend.last_response_at == NOW + 10


def test_messages_go_to_the_top_senders_of_a_zone():
    balancer, host = node_without_load_reports("a", "b")
    key = balancer.backends["a"].key
    for peer, count in ((1, 60), (2, 30), (3, 1)):
        balancer.on_gossip(NOW, peer, [GossipMessage(GossipKind.SENT, key, 0)] * count)
    balancer.tick(NOW + SECOND)
    host.calls.clear()
    balancer.gossip.announce(NOW + SECOND, GossipKind.ANSWERED, balancer.backends["a"])
    balancer.gossip.announce(NOW + SECOND, GossipKind.EJECTED, balancer.backends["a"])
    answered_to, ejected_to = [call[2] for call in host.take("gossip")]
    assert answered_to == [1]
    assert set(ejected_to) == set(range(balancer.settings.nodes)) - {balancer.settings.own_number}


def test_without_load_reports_peer_ejections_alone_eject_nothing():
    balancer, _ = node_without_load_reports("a", "b", "c", "d")
    for peer in range(5):
        balancer.on_gossip(NOW, peer, [GossipMessage(GossipKind.EJECTED, balancer.backends["a"].key, 0)])
    assert balancer.backends["a"].outlier.ejected_until <= NOW
    assert balancer.backends["a"].outlier.suspicion > SUSPECT_THRESHOLD
