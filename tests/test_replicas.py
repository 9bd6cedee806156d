"""What docs/fleet.md promises, in simulated time, and deliberately broken builds that the judge catches."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basalthoist.decisions.outlier_detection import OutlierTest
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.emulator.explore import explore, led
from basalthoist.emulator.replica_faults import FaultInjector
from basalthoist.emulator.replicas import Broken, Replicas
from basalthoist.fleet import lease, replica
from basalthoist.fleet.bounds import DISTANT_PAST, Bounds
from basalthoist.fleet.leader import Leader
from basalthoist.fleet.outlier_reports import outliers_to_report
from basalthoist.fleet.replica import Replica, Role
from basalthoist.fleet.verdicts import SnapshotFetch, Verdict, VerdictSet
from basalthoist.fleet.wire import (
    Envelope,
    Heartbeat,
    HeartbeatReply,
    SetDelta,
    Vote,
    VoteReleased,
    VoteRequest,
    encode,
)

SHORT_BOUNDS = Bounds(
    lease=10_000, heartbeat_interval=1_500, fresh=5_000, stale=15_000, drift=0.1, call_timeout=30_000
)


def with_faults(seed, bounds=SHORT_BOUNDS, make=Replica, faults=40):
    voters = (3, 5)[seed % 2]
    fleet = Replicas(voters + seed % 3, voters, seed, bounds, make=make)
    FaultInjector(fleet, faults).run()
    return fleet


@pytest.mark.parametrize("first", range(0, 40, 5))
def test_random_faults(first):
    for seed in range(first, first + 5):
        with_faults(seed)


@settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(st.integers(1000, 1 << 30), st.sampled_from([3, 5]), st.integers(0, 3), st.integers(5, 60))
def test_invariants_hold_under_random_faults_in_fleets_of_any_size(seed, voters, more, faults):
    FaultInjector(Replicas(voters + more, voters, seed, SHORT_BOUNDS), faults).run()


def test_every_order_of_two_faults_and_four_rounds():
    count, all_of_them = explore(led(3), 2, 4)
    assert all_of_them and count > 3000


@pytest.mark.parametrize("name, patched", [("Generous", "Voter"), ("Unbounded", "")])
def test_broken_builds_are_caught_by_some_order(name, patched, monkeypatch):
    broken = globals()[name]
    if patched:
        monkeypatch.setattr(replica, patched, broken)
    with pytest.raises(Broken, match="steps: "):
        explore(led(3, Replica if patched else broken), 2, 4)


class Recorder:
    def __init__(self):
        self.sent, self.applied = [], []

    def __getattr__(self, name):
        return lambda *what: None

    def send(self, name, message):
        self.sent.append((name, message))

    def apply(self, verdicts):
        self.applied.append(verdicts.version)


def follower(now=0):
    """It follows n0 in term 3 and has stored version 1; with the changes to versions 1 and 2, and both."""
    host = Recorder()
    node = Replica(host, "n1", ["n0", "n1", "n2"], ["n0", "n1", "n2"], SHORT_BOUNDS, Lcg(1), now)
    empty = VerdictSet(3, 0, {})
    first, second = ([Verdict("ban", name)] for name in ("s1", "s2"))
    version_1 = empty.with_changes(3, first)
    version_2 = version_1.with_changes(3, second)
    deltas = [SetDelta(3, 1, version_1.digest, empty.digest, [first])]
    deltas.append(SetDelta(3, 2, version_2.digest, version_1.digest, [second]))
    node.on_message(now, "n0", Heartbeat(3, 0, 0, empty.digest, 0, 0, False))
    node.on_message(now, "n0", deltas[0])
    return node, host, deltas, (version_1, version_2)


def test_delayed_older_version_does_not_replace_later_one():
    node, _, deltas, _ = make_follower()
    node.on_message(5, "n0", deltas[1])
    node.on_message(6, "n0", deltas[0])
    assert node.sets.stored.version == 2


def test_proposal_not_stored_after_vote_for_another_candidate():
    node, host, deltas, _ = make_follower()
    late = SHORT_BOUNDS.lease + 1
    node.on_message(late, "n2", VoteRequest(5, 0))
    assert isinstance(host.sent[-1][1], Vote) and host.sent[-1][1].version == 1
    made.on_message(late + 1, "n0", changes[1])
    assert made.sets.stored.version == 1
    made.on_message(late + 2, "n2", VoteReleased(5))
    made.on_message(late + 3, "n0", changes[1])
    assert made.sets.stored.version == 2


def test_only_what_a_majority_has_stored_is_applied():
    made, host, changes, (one, two) = follower()
    made.on_message(5, "n0", changes[1])
    made.on_message(6, "n0", Heartbeat(3, 0, 2, two.digest, 1, 0, False))
    assert host.applied == []  # version 1 is not stored any more, 2 is not committed yet
    made.on_message(7, "n0", Heartbeat(3, 0, 2, two.digest, 2, 0, False))
    assert host.applied == [2]


def test_a_snapshot_counts_only_once_it_is_complete():
    verdicts = VerdictSet(
        3, 7, {("ban", f"s{i}"): Verdict("ban", f"s{i}", why="x" * 40) for i in range(4096)}
    )
    fetch = SnapshotFetch(7, verdicts.digest, "n0")
    assert verdicts.chunk_count() > 200
    order = [*range(verdicts.chunk_count())]
    for index in order[:-1]:
        assert fetch.add(index, verdicts.chunk_count(), verdicts.chunk(index), 3) is None
    assert fetch.missing() == [order[-1]]
    assert fetch.add(order[-1], verdicts.chunk_count(), b"?" + verdicts.chunk(order[-1])[1:], 3) is None
    assert fetch.missing() == order[:16]  # one is damaged, which one nobody knows
    for index in reversed(order):
        made = fetch.add(index, verdicts.chunk_count(), verdicts.chunk(index), 3)
    assert made.verdicts == verdicts.verdicts and made.order() == (3, 7)


# Broken builds: each a way in which such a thing is got wrong.


class Loud(lease.Voter):
    """It promises at once after a start, and counts as one that has forgotten nothing."""

    def __init__(self, bounds, now):
        super().__init__(bounds, now)
        self.silent_until, self.intact = now, True


class Forgetful(lease.Voter):
    """It keeps silent, but then counts without having learnt anything."""

    def may_vote(self, now):
        self.intact = self.intact or super().may_vote(now)
        return super().may_vote(now)


class Generous(lease.Voter):
    """A second candidate gets a promise while the first one's runs."""

    def promise(self, now, term):
        self.promised_until = 0
        return super().promise(now, term)


class FromReceipt(Replica):
    """Promises count from when the answer came."""

    def on_vote(self, now, name, vote):
        vote.requested_at = now
        super().on_vote(now, name, vote)

    def on_heartbeat_reply(self, now, name, reply):
        reply.heartbeat_sent_at = now
        super().on_heartbeat_reply(now, name, reply)


class Hasty(Leader):
    """It counts a version as committed as soon as it has stored it itself."""

    def commit(self, now):
        self.promises.quorum, quorum = 1, self.promises.quorum
        try:
            super().commit(now)
        finally:
            self.promises.quorum = quorum


class OverGaps(Replica):
    """Changes are laid over whatever it has stored."""

    def on_delta(self, now, delta):
        made = stored = self.sets.stored
        for changes in delta.steps:
            made = made.with_changes(delta.term, changes)
        made.version, made.digest = delta.version, delta.digest
        follows = delta.term == self.term and self.role is Role.FOLLOWER
        if follows and stored.digest != delta.digest:
            self.on_fetched(now, made)


class Impatient(Leader):
    """A new leader does not wait out what the one before may have confirmed."""

    def may_apply_older(self, now, version):
        self.began_at, began_at = DISTANT_PAST, self.began_at
        try:
            return super().may_apply_older(now, version)
        finally:
            self.began_at = began_at


class FromArrival(Replica):
    """A view counts from when the confirmation came."""

    def on_heartbeat(self, now, name, heartbeat):
        if heartbeat.confirmed:
            heartbeat.echo = now
        super().on_heartbeat(now, name, heartbeat)


class Unbounded(Replica):
    """It never asks for how long it has been out of touch."""

    def may_forward_requests(self, now):
        return self.view_confirmed_at != DISTANT_PAST


class Undated(Bounds):
    """Drift left out."""

    def own_lease(self):
        return self.lease

    def longest_view(self):
        return self.stale


def isolated(seed, bounds, make):
    """The leader and some of the others are cut off; the rest elects another one, which bans something."""
    fleet = Replicas(9, 5, seed, bounds, make=make)
    fleet.run(4 * bounds.lease)
    fleet.call("n7", 1, [Verdict("ban", "s1")])
    fleet.run(fleet.at + bounds.lease)
    away = {fleet.leader(), "n5", "n6"}
    fleet.split(sorted(away), [n for n in fleet.names if n not in away])
    for number in range(2, 30):
        fleet.run(fleet.at + 2 * bounds.heartbeat_interval)
        fleet.call("n7" if "n7" not in away else "n8", number, [Verdict("ban", "s2")])
    assert any("shut out" in text for text in fleet.answers.values())
    fleet.heal()
    fleet.run(fleet.at + 3 * bounds.lease)
    assert not [f for f in fleet.replica_nodes.values() if f.replica.sets.applied.version != 2]


def lossy(seed, bounds, make):
    """Calls all the time on links that lose, double and delay, and now and then a leader that ends."""
    fleet = Replicas(5, 3, seed, bounds, 0.2, 0.2, (2, bounds.lease // 6), make=make)
    fleet.run(4 * bounds.lease)
    for number in range(60):
        fleet.run(fleet.at + bounds.heartbeat_interval)
        fleet.call(f"n{number % 5}", number, [Verdict("ban", f"s{number % 7}", number % 3 > 0)])
        if number % 20 == 19:
            leading = fleet.leader() or "n0"
            fleet.kill(leading)
            fleet.run(fleet.at + 3 * bounds.lease)
            fleet.restart(leading)


def alone(seed, bounds, make):
    """On slow links one node is cut off just before a call."""
    fleet = Replicas(7, 5, seed, bounds, delay=(2, bounds.lease // 4), make=make)
    fleet.run(6 * bounds.lease)
    for number in range(6):
        leading = fleet.leader() or "n0"
        name = next(n for n in fleet.names[number % 7 :] + fleet.names if n != leading)
        fleet.split([name], [n for n in fleet.names if n != name])
        fleet.call(leading, number, [Verdict("ban", f"s{number}")])
        fleet.run(fleet.at + 4 * bounds.lease)
        fleet.heal()
        fleet.run(fleet.at + 6 * bounds.lease)


def frozen(seed, bounds, make):
    """The leader stands still again and again, each time until somebody else leads, and wakes."""
    bounds = bounds._replace(call_timeout=2 * bounds.call_timeout)
    fleet = Replicas(5, 5, seed, bounds, delay=(2, bounds.lease // 6), make=make)
    for number in range(6):
        fleet.run(fleet.at + 6 * bounds.lease)
        leading = fleet.leader() or "n0"
        fleet.freeze(leading)
        fleet.call(next(n for n in fleet.names if n != leading), number, [Verdict("ban", f"s{number}")])
        fleet.run(fleet.at + 4 * bounds.lease)
        fleet.wake(leading)
    assert fleet.acknowledged >= 3


def random_faults(seed, bounds, make):
    with_faults(seed, bounds, make)


def amnesia(seed, bounds, make):
    """One voter is behind, one has forgotten all, the leader is away: there can be no other."""
    fleet = Replicas(3, 3, seed, bounds, make=make)
    fleet.run(6 * bounds.lease)
    leading = fleet.leader()
    behind, loses = (name for name in fleet.names if name != leading)
    fleet.split([behind], [leading, loses])
    fleet.call(leading, 1, [Verdict("ban", "s1")])
    fleet.run(fleet.at + bounds.lease // 2)
    fleet.kill(leading)
    fleet.restart(loses, keeps=False)
    fleet.heal()
    fleet.run(fleet.at + 10 * bounds.lease)
    assert not fleet.leader()
    fleet.restart(leading)
    fleet.run(fleet.at + 10 * bounds.lease)
    assert fleet.replica_nodes[behind].replica.sets.applied.version == 1


BUILDS = [
    (Loud, amnesia, 20),
    (Forgetful, amnesia, 20),
    (Generous, random_faults, 40),
    (FromReceipt, frozen, 20),
    (Hasty, lossy, 20),
    (OverGaps, lossy, 20),
    (Impatient, isolated, 20),
    (FromArrival, alone, 20),
    (Unbounded, isolated, 20),
    (Undated, isolated, 60),
]


@pytest.mark.parametrize("play", [isolated, lossy, alone, frozen, amnesia], ids=lambda one: one.__name__)
def test_plays(play):
    for seed in range(6):
        scenario(seed, SHORT_BOUNDS, Replica)


@pytest.mark.parametrize(
    "variant, scenario, seeds", VARIANTS, ids=lambda value: getattr(value, "__name__", str(value))
)
def test_faulty_variant_detected(variant, scenario, seeds, monkeypatch):
    bounds, make = SHORT_BOUNDS, Replica
    if issubclass(variant, lease.Voter):
        monkeypatch.setattr(replica, "Voter", variant)
    elif issubclass(variant, Leader):
        monkeypatch.setattr(replica, "Leader", variant)
    elif issubclass(variant, Bounds):
        bounds = variant(*SHORT_BOUNDS)
    else:
        make = variant
    for seed in range(seeds):
        try:
            scenario(seed, bounds, make)
        except Broken:
            return
    pytest.fail("no check failed for the faulty variant")


# Backends that several nodes report as outliers.

OUTLIER_BOUNDS = SHORT_BOUNDS._replace(outlier_quorum=2, outlier_ejection_s=3.0)


def verdicts_of(fleet):
    return {key for node in fleet.replica_nodes.values() for key in node.replica.sets.applied.verdicts}


@pytest.mark.parametrize(
    "sick, found",
    [
        ({"n1": {"a"}, "n3": {"a", "b"}, "n4": {"c"}}, {"a"}),  # one node's evidence is none
        ({"n1": {"a"}, "n2": {"b"}, "n3": {"c"}}, set()),
        ({f"n{i}": {"a", "b", "c", "d", "e", "f"} for i in range(5)}, {"a", "b", "c", "d"}),  # 4 of 12
        ({}, set()),
    ],
)
def test_a_backend_is_sick_by_the_evidence_of_several(sick, found):
    fleet = Replicas(5, 3, 4, FINDS)
    fleet.run(4 * FINDS.lease)
    fleet.outliers = sick
    fleet.run(fleet.at + FINDS.lease)
    assert verdicts_of(fleet) == {("sick", name) for name in found}
    fleet.outliers = {}
    fleet.run(fleet.at + int(FINDS.outlier_ejection_s * 12_000) + 2 * FINDS.lease)
    assert verdicts_of(fleet) == set(), "no verdict outlives its time"


def test_claims_of_nodes_out_of_touch_or_behind_do_not_count():
    fleet = Replicas(5, 3, 4, FINDS)
    fleet.run(4 * FINDS.lease)
    leading = fleet.leader()
    away = [name for name in fleet.names if name != leading][-1:]
    fleet.outliers = {away[0]: {"a"}, leading: {"b"}}
    fleet.run(fleet.at + FINDS.lease)
    fleet.split(away, [name for name in fleet.names if name not in away])
    fleet.run(fleet.at + 2 * FINDS.fresh)
    fleet.outliers[leading] = {"a"}
    fleet.run(fleet.at + 2 * FINDS.lease)
    assert verdicts_of(fleet) == set()
    fleet.heal()
    fleet.run(fleet.at + 2 * FINDS.lease)
    assert verdicts_of(fleet) == {("sick", "a")}


def test_operators_take_back_what_the_fleet_found_and_ban_what_is_found():
    fleet = Replicas(3, 3, 4, FINDS._replace(outlier_ejection_s=1000.0))
    fleet.run(4 * FINDS.lease)
    fleet.outliers = {name: {"a", "b"} for name in fleet.names}
    fleet.call("n0", 1, [Verdict("ban", "b")])
    fleet.run(fleet.at + FINDS.lease)
    assert verdicts_of(fleet) == {("sick", "a"), ("ban", "b")}
    fleet.outliers = {}
    fleet.call("n1", 2, [Verdict("ban", "a", False), Verdict("sick", "a", False)])
    fleet.run(fleet.at + FINDS.lease)
    assert verdicts_of(fleet) == {("ban", "b")}


class Seen:
    def __init__(self, name, failure_rate, ejected_until, available=True):
        self.name, self.available = name, available
        self.outlier = OutlierTest()
        self.outlier.failure_rate, self.outlier.ejected_until = failure_rate, ejected_until


@pytest.mark.parametrize(
    "seen, counts",
    [
        (Seen("a", 0.6, 110_000), True),
        (Seen("a", 0.6, 60_000), True),  # its pause is over, and it has not been trusted since
        (Seen("a", 0.6, 10_000), False),  # too long ago
        (Seen("a", 0.6, 0), False),  # never put out
        (Seen("a", 0.1, 110_000), False),  # by hearsay alone
        (Seen("a", 0.6, 110_000, available=False), False),  # left out already
        (Seen("a" * 41, 0.6, 110_000), False),
    ],
)
def test_a_node_claims_outliers_that_it_has_met_itself(seen, counts):
    assert outliers_to_report([seen], 100_000) == (["a"] if counts else [])


def test_no_more_is_claimed_than_one_datagram_holds():
    many = [Seen(f"s-{i:037d}", 0.4 + i / 1000, 110_000) for i in range(100)]
    assert len(outliers_to_report(many, 100_000)) == 16
    outliers = outliers_to_report(many, 100_000)
    reply = HeartbeatReply(1 << 60, 1 << 60, 1 << 60, 1 << 60, 1 << 60, True, True, outliers)
    encode(b"k" * 16, Envelope("n" * 60, 1 << 62, "m" * 60, 1 << 62, reply))
