"""Tests of the membership protocol in simulated time: false positives, detection times and refutations."""

import pytest

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.emulator.membership import MembershipFleet
from basalthoist.fleet.members import ALIVE, GONE, SUSPECT, Members
from basalthoist.fleet.wire import Ack, MemberUpdate, Ping

PERIOD = 10_000


@pytest.mark.parametrize("count, loss, seconds", [(2, 0.0, 20), (5, 0.0, 20), (5, 0.3, 30), (50, 0.3, 30)])
def test_no_false_positives_and_killed_member_detected_by_all(count, loss, seconds):
    fleet = MembershipFleet(count, 3, loss=loss)
    fleet.run(30)
    assert fleet.false_positives() == 0
    killed_at, fleet.nodes["n1"].alive = fleet.at, False
    fleet.run(seconds)
    times = fleet.detection_times("n1", killed_at)
    assert len(times) == count - 1 and times[0] > 1.0
    assert {detection.name for detection in fleet.detections} == {"n1"}


def test_no_member_gone_when_one_link_loses_one_direction():
    fleet = MembershipFleet(6, 4)
    fleet.cut = {("n0", "n1")}
    fleet.run(120)
    assert fleet.detections == []


def test_resumed_member_detects_no_other_as_gone():
    fleet = MembershipFleet(6, 5)
    fleet.run(20)
    fleet.nodes["n0"].frozen = True
    fleet.run(30)
    assert {detection.name for detection in fleet.detections} == {"n0"}
    fleet.detections.clear()
    fleet.nodes["n0"].frozen = False
    fleet.run(30)
    assert fleet.detections == []
    assert all("n0" in node.members.present() for node in fleet.nodes.values() if node.name != "n0")


def test_members_present_again_after_partition_heals():
    fleet = MembershipFleet(8, 6)
    half, other_half = fleet.names[:4], fleet.names[4:]
    fleet.cut = {(a, b) for a in fleet.names for b in fleet.names if (a in half) != (b in half)}
    fleet.run(60)
    assert all(set(fleet.nodes[n].members.present()) == set(other_half) - {n} for n in other_half)
    fleet.cut = set()
    fleet.run(60)
    assert all(len(node.members.present()) == 7 for node in fleet.nodes.values())


class Host:
    def __init__(self):
        self.sent = []

    def send(self, name, message):
        self.sent.append((name, message))

    def on_member_state(self, name, state):
        pass

    def log(self, line):
        pass


@pytest.mark.parametrize(
    "incarnation, refutations, state, expected",
    [
        (7, 0, SUSPECT, SUSPECT),
        (6, 9, GONE, ALIVE),  # an update about another incarnation is ignored
        (7, 0, ALIVE, ALIVE),
        (7, 0, GONE, GONE),
    ],
)
def test_update_about_other_incarnation_ignored(incarnation, refutations, state, expected):
    members = Members(Host(), "n0", 1, ["n0", "n1", "n2"], PERIOD, Lcg(1), 0)
    members.on_incarnation(0, "n1", 7)
    update = MemberUpdate("n1", incarnation, refutations, state)
    members.on_ping(1, "n2", Ping(1, "n0", [update]))
    assert members.members["n1"].state == expected


def test_refutation_sent_again_to_member_that_repeats_suspicion():
    host = Host()
    members = Members(host, "n0", 1, ["n0", "n1", "n2"], PERIOD, Lcg(1), 0)
    for _ in range(40):
        members.on_ping(1, "n1", Ping(1, "n0", [MemberUpdate("n0", 1, 0, SUSPECT)]))
        assert isinstance(host.sent[-1][1], Ack) and ("n0", 1, 1, ALIVE) in host.sent[-1][1].updates
