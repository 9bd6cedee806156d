"""Tests that the formats on the wire and in files stay compatible with those of revision 6304284.

The hex and text below were written by that revision's own code. Names here may change, the bytes must not.
"""

import socket
from types import SimpleNamespace

import msgspec
import pytest

from basalthoist import gossip_codec as gossip
from basalthoist.configuration import FleetDocument
from basalthoist.decisions.interface import GossipKind, Outcome
from basalthoist.distribution import store
from basalthoist.distribution import wire as stream
from basalthoist.distribution.catalogue import Catalogue, Change, Entry
from basalthoist.distribution.register_head import RegisterHead
from basalthoist.distribution.tenants import BloomFilter
from basalthoist.fleet import wire as fleet
from basalthoist.fleet.verdicts import Verdict, VerdictSet
from basalthoist.gateway.links import Links
from basalthoist.gateway.sites import Report
from basalthoist.net.control.hint_file import Hint, HintFile
from basalthoist.net.control.maintenance import Maintenance, MaintenanceState
from basalthoist.net.lifecycle.handover_connection import HandoverConnection, HandoverMessage
from basalthoist.net.runtime.disk_worker import outcome_of

# Each message, and its datagram from node-a, incarnation 513, to node-b, incarnation 514.
DATAGRAMS = [
    (
        fleet.HandshakeRequest(4503599627370495),
        "7a0bbd38085b6fa295a66e6f64652d61cd0201a66e6f64652d62cd02029200cf000fffffffffffff",
    ),
    (fleet.HandshakeReply(77), "27c001a07b1fdcfb95a66e6f64652d61cd0201a66e6f64652d62cd020292014d"),
    (
        fleet.VoteRequest(65537, 1001),
        "ff7153b59dd44b1a95a66e6f64652d61cd0201a66e6f64652d62cd02029302ce00010001cd03e9",
    ),
    (
        fleet.Vote(65537, 1001, 65536, 300, b"0123456789abcdef", True),
        "e3e0406dd86735cf95a66e6f64652d61cd0201a66e6f64652d62cd02029703ce00010001cd03e9ce00010000"
        "cd012cc41030313233343536373839616263646566c3",
    ),
    (
        fleet.VoteRefused(65537, 250),
        "b0b2d1a9a4ea3a8f95a66e6f64652d61cd0201a66e6f64652d62cd02029304ce00010001ccfa",
    ),
    (fleet.VoteReleased(65537), "df786aae70916c1295a66e6f64652d61cd0201a66e6f64652d62cd02029205ce00010001"),
    (
        fleet.Heartbeat(65537, 1001, 300, b"0123456789abcdef", -1, 998, True, [(2, 12.5), (3, 0.0)]),
        "d8850499618ffd2995a66e6f64652d61cd0201a66e6f64652d62cd02029906ce00010001cd03e9cd012cc410"
        "30313233343536373839616263646566ffcd03e6c3929202cb40290000000000009203cb0000000000000000",
    ),
    (
        fleet.Heartbeat(65537, 1001, 300, b"0123456789abcdef", 299, 998, False),
        "44db8b90f8c07ff195a66e6f64652d61cd0201a66e6f64652d62cd02029906ce00010001cd03e9cd012cc410"
        "30313233343536373839616263646566cd012bcd03e6c2c0",
    ),
    (
        fleet.HeartbeatReply(
            65537, 1001, 300, 299, 1002, True, False, ["backend-1"], [(2, 7.25)], True, False
        ),
        "01b52f9202ec1c1095a66e6f64652d61cd0201a66e6f64652d62cd02029c07ce00010001cd03e9cd012ccd01"
        "2bcd03eac3c291a96261636b656e642d31919202cb401d000000000000c3c2",
    ),
    (
        fleet.HeartbeatReply(65537, 1001, -1, 299, 1002, False, True),
        "b54bcdff5499935795a66e6f64652d61cd0201a66e6f64652d62cd02029c07ce00010001cd03e9ffcd012bcd"
        "03eac2c39090c2c2",
    ),
    (
        fleet.SetRequest(300, b"0123456789abcdef", [b"fedcba9876543210"], [0, 5]),
        "ed575658324d329295a66e6f64652d61cd0201a66e6f64652d62cd02029508cd012cc4103031323334353637"
        "383961626364656691c41066656463626139383736353433323130920005",
    ),
    (
        fleet.SetDelta(
            65537,
            300,
            b"0123456789abcdef",
            b"fedcba9876543210",
            [
                [Verdict("ban", "backend-1", True, 2.5, "ann", "too slow", 60.0)],
                [Verdict("quota", "customer-1", False)],
            ],
        ),
        "c5e192d9262dbea395a66e6f64652d61cd0201a66e6f64652d62cd02029609ce00010001cd012cc410303132"
        "33343536373839616263646566c41066656463626139383736353433323130929197a362616ea96261636b65"
        "6e642d31c3cb4004000000000000a3616e6ea8746f6f20736c6f77cb404e0000000000009197a571756f7461"
        "aa637573746f6d65722d31c2cb0000000000000000a0a0cb0000000000000000",
    ),
    (
        fleet.SetChunk(300, b"0123456789abcdef", 1, 4, b"data"),
        "28eda10e8087417f95a66e6f64652d61cd0201a66e6f64652d62cd0202960acd012cc4103031323334353637"
        "38396162636465660104c40464617461",
    ),
    (
        fleet.OperatorCall(4242, [Verdict("quota", "customer-1", False)], 5000),
        "e43f76fc350295f295a66e6f64652d61cd0201a66e6f64652d62cd0202940bcd10929197a571756f7461aa63"
        "7573746f6d65722d31c2cb0000000000000000a0a0cb0000000000000000cd1388",
    ),
    (
        fleet.OperatorReply(4242, "SUCCESS 300"),
        "c3d97b7ef85a9d2195a66e6f64652d61cd0201a66e6f64652d62cd0202930ccd1092ab535543434553532033" "3030",
    ),
    (
        fleet.Ping(9, "node-c", [("node-d", 513, 2, 1)]),
        "66d6692f08e83b9f95a66e6f64652d61cd0201a66e6f64652d62cd0202940d09a66e6f64652d639194a66e6f"
        "64652d64cd02010201",
    ),
    (
        fleet.Ack(10, "node-c", [("node-d", 513, 3, 0)]),
        "bb62d21914d817ef95a66e6f64652d61cd0201a66e6f64652d62cd0202940e0aa66e6f64652d639194a66e6f"
        "64652d64cd02010300",
    ),
]
DATAGRAM_FIELDS = {
    fleet.HandshakeRequest: "nonce",
    fleet.HandshakeReply: "nonce",
    fleet.VoteRequest: "term sent_at",
    fleet.Vote: "term requested_at stored_term version digest intact",
    fleet.VoteRefused: "term remaining",
    fleet.VoteReleased: "term",
    fleet.Heartbeat: "term sent_at version digest committed echo confirmed grants",
    fleet.HeartbeatReply: (
        "term heartbeat_sent_at stored_version applied_version sent_at voting intact outliers demand"
        " returns_grants lends"
    ),
    fleet.SetRequest: "version digest known chunks",
    fleet.SetDelta: "term version digest base steps",
    fleet.SetChunk: "version digest index count data",
    fleet.OperatorCall: "call_id changes remaining",
    fleet.OperatorReply: "call_id text",
    fleet.Ping: "number target updates",
    fleet.Ack: "number target updates",
    fleet.Envelope: "sender incarnation recipient recipient_incarnation message",
    Verdict: "kind subject on figure who why duration_s",
}

# Each message, and its frame in the fleet named fleet-1.
FRAMES = [
    (
        stream.HandshakeRequest(
            "node-a", 513, "node", "west", ["shop", "mail"], 300, b"0123456789abcdef", True
        ),
        "0000003f9c7c4cc3918dd93e9900a66e6f64652d61cd0201a46e6f6465a47765737492a473686f70a46d6169"
        "6ccd012cc41030313233343536373839616263646566c3",
    ),
    (stream.HandshakeReply("relay-1", 514), "00000015b1137c51c4dd6d9e9301a772656c61792d31cd0202"),
    (
        stream.Redirect(50000, ["relay-2"], "full"),
        "0000001b58a40e4485075d469402cdc35091a772656c61792d32a466756c6c",
    ),
    (
        stream.Snapshot(
            300,
            b"0123456789abcdef",
            [Entry("route", "/api", "shop", {"to": "backends-1", "weight": 1.5}, True)],
            [("ann", 4242, 299)],
        ),
        "0000005d6c2300deac528bba9503cd012cc410303132333435363738396162636465669195a5726f757465a4"
        "2f617069a473686f7082a2746faa6261636b656e64732d31a6776569676874cb3ff8000000000000c39193a3"
        "616e6ecd1092cd012b",
    ),
    (
        stream.Delta(
            299,
            300,
            b"0123456789abcdef",
            [
                Entry("route", "/api", "shop", {"to": "backends-1", "weight": 1.5}, True),
                Entry("tenant", "tenant-1", "", {}, False),
            ],
            [("ann", 4242, 300)],
        ),
        "000000743fb680ca46a7059d9604cd012bcd012cc410303132333435363738396162636465669295a5726f75"
        "7465a42f617069a473686f7082a2746faa6261636b656e64732d31a6776569676874cb3ff8000000000000c3"
        "95a674656e616e74a874656e616e742d31a080c29193a3616e6ecd1092cd012c",
    ),
    (stream.TenantFilter(300, b"bits", 7), "00000014da0fbfa158bd40689405cd012cc4046269747307"),
    (
        stream.TenantDemand(["tenant-1"], ["tenant-2"]),
        "0000001eae2f8175865d75a8930691a874656e616e742d3191a874656e616e742d32",
    ),
    (
        stream.TenantUpdate(300, [Entry("tenant", "tenant-1", "", {}, False)]),
        "00000022e074eeec0e6865379307cd012c9195a674656e616e74a874656e616e742d31a080c2",
    ),
    (
        stream.Heartbeat(1001, 300, b"0123456789abcdef", 298, 12, 3, 301, 65537, 2),
        "00000030020e20d36ca155db9a08cd03e9cd012cc41030313233343536373839616263646566cd012a0c03cd"
        "012dce0001000102",
    ),
    (
        stream.HeartbeatReply(1001, 300, b"0123456789abcdef", 17, 65537, 400),
        "0000002b61c30aa63342de709709cd03e9cd012cc4103031323334353637383961626364656611ce00010001" "cd0190",
    ),
    (
        stream.Proposal(
            65537,
            Change(
                301,
                [Entry("route", "/api", "shop", {"to": "backends-1", "weight": 1.5}, True)],
                b"0123456789abcdef",
                b"fedcba9876543210",
                [("ann", 4242)],
            ),
        ),
        "000000720e6e862a268b2ec8930ace0001000195cd012d9195a5726f757465a42f617069a473686f7082a274"
        "6faa6261636b656e64732d31a6776569676874cb3ff8000000000000c3c41030313233343536373839616263"
        "646566c410666564636261393837363534333231309192a3616e6ecd1092",
    ),
    (
        stream.CommitNotice(65537, 301, b"fedcba9876543210"),
        "0000002483f85cd3c8926762940bce00010001cd012dc41066656463626139383736353433323130",
    ),
    (stream.ResyncRequest(-1), "0000000b5c12e4414193e2da920cff"),
    (
        stream.OperatorCall(4242, [Entry("tenant", "tenant-1", "", {}, False)], 5000),
        "000000254065370f410dd23a940dcd10929195a674656e616e74a874656e616e742d31a080c2cd1388",
    ),
    (stream.OperatorReply(4242, "SUCCESS 301"), "00000019446c654001fab499930ecd1092ab5355434345535320333031"),
]
FRAME_FIELDS = {
    stream.HandshakeRequest: "name incarnation role region scopes version digest knows_tenants",
    stream.HandshakeReply: "name incarnation",
    stream.Redirect: "retry_after relays reason",
    stream.Snapshot: "version digest entries calls",
    stream.Delta: "base_version version digest entries calls",
    stream.TenantFilter: "version bits hashes",
    stream.TenantDemand: "requested released",
    stream.TenantUpdate: "version entries",
    stream.Heartbeat: "sent_at version digest oldest_version nodes inactive_nodes pending_version term "
    "redirected_nodes",
    stream.HeartbeatReply: "sent_at version digest age term max_sessions",
    stream.Proposal: "term change",
    stream.CommitNotice: "term version digest",
    stream.ResyncRequest: "version",
    stream.OperatorCall: "call_id entries timeout",
    stream.OperatorReply: "call_id text",
    Entry: "kind name scope body on",
    Change: "version entries digest_before digest_after calls",
}

# Kinds: 0 sent, 1 in flight (with a value of 0 to 252), 2 ejected, 3 answered.
GOSSIP = [(0, 258, 0), (1, 513, 0), (1, 65535, 252), (1, 0, 252), (3, 772, 0), (2, 1286, 0)]
GOSSIP_DATA = "010102fe020100fffffc0000fc0304fd0506ff"

BANNED, LISTED = ["backend-1", "käse"], ["backend-2", "backend-1", "käse"]
MAINTENANCE_JSON = '{"banned":["backend-1","käse"],"listed":["backend-2","backend-1","käse"]}'
# Each handover message between two processes of a node, and its line.
LINES = [
    (HandoverMessage("node-a", "127.0.0.1:8080"), '{"node":"node-a","listen":"127.0.0.1:8080"}'),
    (HandoverMessage("", "", MaintenanceState(BANNED, LISTED)), '{"kept":' + MAINTENANCE_JSON + "}"),
    (HandoverMessage("", "", MaintenanceState([])), '{"kept":{"banned":[],"listed":[]}}'),
    (HandoverMessage("", "", None, True, True), '{"ready":true,"shares":true}'),
    (HandoverMessage("", "", None, True), '{"ready":true}'),
    (HandoverMessage("", "", None, False, False, "backend-1", True), '{"name":"backend-1","banned":true}'),
    (HandoverMessage("", "", None, False, False, "backend-1"), '{"name":"backend-1"}'),
]

# A replica's hint file: version 300 of the fleet named fleet-1, proposed in term 65537.
VERDICTS = [
    Verdict("ban", "backend-1", True, 0.0, "ann", "too slow", 0.0),
    Verdict("quota", "customer-1", True, 2.5, "ann", "", 60.0),
]
HINT_FILE_HEX = (
    "72172a72d4d3458900d405763ae3162195a7666c6565742d31ce00010001cd012cc410d2c780131848fdf0617e6121d9"
    "befaf0c45a9297a362616ea96261636b656e642d31c3cb0000000000000000a3616e6ea8746f6f20736c6f77cb000000"
    "000000000097a571756f7461aa637573746f6d65722d31c3cb4004000000000000a3616e6ea0cb404e000000000000"
)
FLEET = b"""{"fleet":"fleet-1","nodes":{"b":"127.0.0.1:2","a":"127.0.0.1:1"},"voters":["b","a"],
"limits":[{"customer":"c-1","rate":5}]}"""
FLEET_KEY = "863880906c9fd7c343af01b68c01b957"

# A relay's store file with version 1 and a pending change to version 2, the record of a change to version 3,
# and a node's file.
ROUTE = Entry("route", "/api", "shop", {"to": "backends-1", "weight": 1.5})
TENANT = Entry("tenant", "tenant-1", "", {"plan": "b"})
LIMIT = Entry("limit", "l-1", "shop", {"rate": 5})
STORE_FILE = (
    "000000ee5b24961652a4058c9801bc0a3894686a97a7666c6565742d3101c42007e6f1646c9ebe455e34efada18ed873"
    "2293cf2f56bf63e33d56e601ddc2d7309295a5726f757465a42f617069a473686f7082a2746faa6261636b656e64732d"
    "31a6776569676874cb3ff8000000000000c395a674656e616e74a874656e616e742d31a081a4706c616ea162c39193a3"
    "616e6ecd109201ce0001000195029195a56c696d6974a36c2d31a473686f7081a47261746505c3c42007e6f1646c9ebe"
    "455e34efada18ed8732293cf2f56bf63e33d56e601ddc2d730c420e905bbe1b402196e7b2e97fa873572885af8797174"
    "2331e6aa705c03b7837c569192a3626f6207"
)
STORE_CHANGE = (
    "00000062bedc457bc541a4509c76c26e05d7d90b92ce0001000295039195a674656e616e74a874656e616e742d31a080"
    "c2c420e905bbe1b402196e7b2e97fa873572885af87971742331e6aa705c03b7837c56c420f54a71f21571fbaf37f548"
    "6e18d45adf4f2094dc00ae37c09128026c4db1332290"
)
NODE_FILE = (
    "0000007f9211fb3a21a7b6bc1a9d6d6bd128be8d97ad666c6565742d31000073686f7002c420f54a71f21571fbaf37f5"
    "486e18d45adf4f2094dc00ae37c09128026c4db133229295a5726f757465a42f617069a473686f7082a2746faa626163"
    "6b656e64732d31a6776569676874cb3ff8000000000000c395a56c696d6974a36c2d31a473686f7081a47261746505c3"
    "9000c0"
)
DIGESTS = [  # of versions 1, 2 and 3
    "07e6f1646c9ebe455e34efada18ed8732293cf2f56bf63e33d56e601ddc2d730",
    "e905bbe1b402196e7b2e97fa873572885af87971742331e6aa705c03b7837c56",
    "f54a71f21571fbaf37f5486e18d45adf4f2094dc00ae37c09128026c4db13322",
]
FILE_FIELDS = {
    store.StoredCatalogue: "fleet version digest entries calls term pending",
    store.StoredChange: "term change",
    Hint: "fleet term version digest data",
}


def with_ids(cases):
    return [pytest.param(*case, id=f"{number}-{type(case[0]).__name__}") for number, case in enumerate(cases)]


def covers_every_type(messages, cases):
    return set(messages.__args__) == {type(message) for message, _ in cases}


@pytest.mark.parametrize(("message", "data"), with_ids(DATAGRAMS))
def test_datagram_format_unchanged(message, data):
    """Guards against nodes of two versions that drop each other's datagrams as corrupt."""
    envelope = fleet.Envelope("node-a", 513, "node-b", 514, message)
    assert fleet.decode(b"key", bytes.fromhex(data)) == envelope
    assert fleet.encode(b"key", envelope).hex() == data


@pytest.mark.parametrize(("kind", "fields"), DATAGRAM_FIELDS.items())
def test_datagram_fields_in_unchanged_order(kind, fields):
    """Guards against two fields of one type in swapped order: the wire format has no field names."""
    assert " ".join(kind.__struct_fields__) == fields


def test_every_fleet_message_has_expected_bytes():
    """Guards against a new message type whose format no test checks."""
    assert covers_every_type(fleet.Message, DATAGRAMS)


@pytest.mark.parametrize(("message", "data"), with_ids(FRAMES))
def test_frame_format_unchanged(message, data):
    """Guards against a relay and a node of two versions that close every connection between them."""
    key = stream.key_of("fleet-1")
    assert stream.FrameDecoder(key).feed(bytes.fromhex(data)) == [message]
    assert (
        stream.encode(key, message).hex() == stream.encode(key, stream.EncodedMessage(message)).hex() == data
    )


def test_frames_decoded_from_stream_in_small_reads():
    """Guards against another length or checksum in front of a message, which would end every connection."""
    frames, data = (
        stream.FrameDecoder(stream.key_of("fleet-1")),
        bytes.fromhex("".join(data for _, data in FRAMES)),
    )
    found = [message for at in range(0, len(data), 7) for message in frames.feed(data[at : at + 7])]
    assert found == [message for message, _ in FRAMES]


@pytest.mark.parametrize(("kind", "fields"), FRAME_FIELDS.items())
def test_frame_fields_in_unchanged_order(kind, fields):
    """Guards against two fields of one type in swapped order: the wire format has no field names."""
    assert " ".join(kind.__struct_fields__) == fields


def test_every_stream_message_has_expected_bytes():
    """Guards against a new message type whose format no test checks."""
    assert covers_every_type(stream.Message, FRAMES)


def test_gossip_format_unchanged():
    """Guards against a kind of gossip with the number or marker byte of another kind, which peers misread."""
    messages = [(GossipKind(kind), key, figure) for kind, key, figure in GOSSIP]
    found = gossip.decode(bytes.fromhex(GOSSIP_DATA))
    assert found == messages and all(type(kind) is GossipKind for kind, _, _ in found)
    assert gossip.encode(messages).hex() == GOSSIP_DATA
    # Values out of a byte's range, and values of kinds without one, are encoded in the same way.
    out_of_range = [(0, 258, 9), (1, 513, -1), (1, 65535, 252), (1, 0, 400), (3, 772, 1), (2, 1286, 7)]
    assert (
        gossip.encode([(GossipKind(kind), key, figure) for kind, key, figure in out_of_range]).hex()
        == GOSSIP_DATA
    )
    assert {int(kind) for kind in GossipKind} == {kind for kind, _, _ in GOSSIP}


def maintenance(folder, log_lines):
    def run_now(task, on_done):
        on_done(outcome_of(task))

    return Maintenance(str(folder), log_lines.append, lambda name, banned: None, run_now)


def test_maintenance_file_format_unchanged(tmp_path):
    """Guards against a renamed key in the file: after an upgrade a banned backend would receive requests."""
    path, log_lines, answers = tmp_path / "maintenance.json", [], []
    path.write_bytes(MAINTENANCE_JSON.encode())
    read = maintenance(tmp_path, log_lines)
    read.read()
    assert sorted(read.banned) == BANNED and list(read.listed) == LISTED
    assert len(log_lines) == 2 and all("begins" in line for line in log_lines)

    path.unlink()
    written, published = maintenance(tmp_path, []), []
    written.publish = lambda name, banned: published.append((name, banned))
    written.on_listed(LISTED)
    for name in reversed(BANNED):
        written.call(name, True, answers.append)
    assert path.read_bytes() == MAINTENANCE_JSON.encode()
    assert answers == ["", ""] and published == [(name, True) for name in reversed(BANNED)]


@pytest.mark.parametrize(("message", "line"), with_ids(LINES))
def test_handover_line_format_unchanged(message, line):
    """Guards against a renamed key: unknown keys are ignored, so nothing would be handed over."""
    received, ended = [], []
    loop = SimpleNamespace(add_reader=lambda sock, read: None, remove_reader=lambda sock: None)
    here, there = socket.socketpair()
    with there:
        link = HandoverConnection(loop, here, lambda link, message: received.append(message), ended.append)
        there.sendall(line.encode() + b"\n")
        link.read()
        assert received == [message] and not ended
        link.send(message)
        assert there.recv(4096) == line.encode() + b"\n"
        link.close()


def test_hint_file_format_unchanged(tmp_path):
    """Guards against a verdict set that is lost, or gets another digest, after an upgrade."""
    path, logged = tmp_path / "fleet.msgpack", []

    def run_now(task, on_done):
        on_done(outcome_of(task))

    hint_file = HintFile("fleet-1", str(tmp_path), run_now, logged.append)
    path.write_bytes(bytes.fromhex(HINT_FILE_HEX))
    hint = hint_file.read()
    verdicts = {(verdict.kind, verdict.subject): verdict for verdict in VERDICTS}
    assert (hint.term, hint.version, hint.verdicts) == (65537, 300, verdicts)
    assert hint.digest.hex() == "d2c780131848fdf0617e6121d9befaf0"
    path.unlink()
    hint_file.store(VerdictSet(65537, 300, verdicts))
    assert path.read_bytes().hex() == HINT_FILE_HEX and not logged


def test_fleet_key_unchanged():
    """Guards against bounds in another order: nodes of two versions would drop each other's datagrams."""
    assert msgspec.json.decode(FLEET, type=FleetDocument).key().hex() == FLEET_KEY


def test_store_file_format_unchanged():
    """Guards against a relay that starts empty, or misreads a change, after an upgrade."""
    first, second, third = (bytes.fromhex(digest) for digest in DIGESTS)
    changes = [
        Change(1, [ROUTE, TENANT], bytes(32), first, [("ann", 4242)]),
        Change(2, [LIMIT], first, second, [("bob", 7)]),
        Change(3, [Entry("tenant", "tenant-1", "", {}, False)], second, third),
    ]
    read = store.Store.from_bytes("fleet-1", bytes.fromhex(STORE_FILE), 1 << 20)
    assert read.head == (1, first) and read.catalogue.all_entries() == [ROUTE, TENANT]
    assert (read.calls, read.term, read.pending) == ({("ann", 4242): 1}, 65537, changes[1])
    read = store.Store.from_bytes("fleet-1", bytes.fromhex(STORE_FILE + STORE_CHANGE), 1 << 20)
    assert read.head == (2, second) and read.catalogue.all_entries() == [ROUTE, LIMIT, TENANT]
    assert (read.calls, read.term) == ({("ann", 4242): 1, ("bob", 7): 2}, 65538)
    assert read.pending == changes[2]

    written = store.Store(1 << 20)
    assert written.propose(65537, changes[0]) and written.commit(1, first)
    assert written.propose(65537, changes[1])
    assert written.to_bytes("fleet-1").hex() == STORE_FILE
    assert written.commit(2, second) and written.propose(65538, changes[2])
    assert written.pending_record().hex() == STORE_CHANGE


def test_node_file_format_unchanged():
    """Guards against a node without a catalogue after an upgrade, until a relay answers."""
    tag, stored = "fleet-1\0\0shop", Catalogue(2, [ROUTE, LIMIT])
    assert stored.digest().hex() == DIGESTS[2]  # without the tenant
    read = store.from_bytes(tag, bytes.fromhex(NODE_FILE))
    assert (read.version, read.all_entries()) == (2, [ROUTE, LIMIT])
    assert (
        store.to_bytes(tag, 2, stored.entries_in(("shop",)), stored.digest_of(("shop",))).hex() == NODE_FILE
    )


@pytest.mark.parametrize(("kind", "fields"), FILE_FIELDS.items())
def test_file_fields_in_unchanged_order(kind, fields):
    """Guards against two fields of one type in swapped order: the file has no field names."""
    assert " ".join(kind.__struct_fields__) == fields


def test_tenant_filter_format_unchanged():
    """Guards against names hashed to other bits: a node would reject an existing tenant as unknown."""
    bits = [24, 106, 161, 335, 363, 500, 564, 637, 672, 774, 793, 901, 911, 1022]
    data = sum(1 << bit for bit in bits).to_bytes(128, "little")
    names = ["tenant-1", "tenant-2"]
    built, read = BloomFilter.of_names(names), BloomFilter(bytearray(data), 7)
    assert (bytes(built.bits), built.hashes) == (data, 7)
    assert all(name in read for name in names) and "tenant-3" not in read


@pytest.mark.parametrize(
    ("usable", "hot", "data"),
    [
        (7, True, b'{"site":"west","usable":7,"hot":true}'),
        (0, False, b'{"site":"west","usable":0,"hot":false}'),
    ],
)
def test_gateway_heartbeat_format_unchanged(usable, hot, data):
    """Guards against a renamed key: each site would ignore the reports of the other's gateways."""
    at_west = SimpleNamespace(own_site="west", usable=lambda: usable, sites=SimpleNamespace(hot=lambda: hot))
    assert Links.report(at_west) == data
    received, logged = [], []
    sites = SimpleNamespace(
        on_heard=lambda at, name, report, round_trip: received.append((name, report)),
        on_failed=lambda at, name: received.append((name, None)),
    )
    at_east = SimpleNamespace(
        sites=sites,
        site_of={"west/0": "west"},
        log=logged.append,
        update_links=lambda: received.append("shown"),
    )
    Links.on_heartbeat_ended(at_east, "west/0", 0, Outcome.COMPLETED, SimpleNamespace(body=data))
    assert received == [("west/0", Report(usable, hot)), "shown"] and not logged


def test_catalogue_head_verdict_unchanged():
    """Guards against voters of two versions that find different heads of one catalogue, or none."""
    head = Verdict("head", "catalogue", True, 2.0, "author", DIGESTS[1], 0.0)
    leader = SimpleNamespace(queue=[], commit=lambda now: None)
    applied = SimpleNamespace(verdicts={("head", "catalogue"): head})
    replica = SimpleNamespace(leader=leader, sets=SimpleNamespace(applied=applied))
    assert RegisterHead(replica).head() == (2, bytes.fromhex(DIGESTS[1]))
    RegisterHead(replica).propose_head(0, 2, bytes.fromhex(DIGESTS[1]))
    assert leader.queue == [head]


def test_spilled_request_headers_unchanged():
    """Guards against a site of another version that spills an already spilled request again."""
    sites = SimpleNamespace(round_trip_to=lambda gateway: 30)
    at_west = SimpleNamespace(own_site="west", links={"site:east:0": "east/0"}, sites=sites)
    headers = b"Site-Hops: 1\r\nSite-From: west\r\n"
    assert Links.headers_for(at_west, "site:east:0", 1000) == (headers, 970)
    assert Links.headers_for(at_west, "backend-1", 1000) == (b"", 1000)
