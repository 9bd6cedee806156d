"""Tests of the replicated verdicts in simulated time: docs/fleet.md.

The invariants hold under faults, and deliberately faulty variants of the code are detected by the checks.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basalthoist.decisions.outlier_detection import OutlierTest
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.emulator.explore import explore, led
from basalthoist.emulator.replica_faults import FaultInjector
from basalthoist.emulator.replicas import GuaranteeViolated, Replicas
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
def test_invariants_hold_under_random_faults(first):
    for seed in range(first, first + 5):
        with_faults(seed)


@settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(st.integers(1000, 1 << 30), st.sampled_from([3, 5]), st.integers(0, 3), st.integers(5, 60))
def test_invariants_hold_under_random_faults_in_fleets_of_any_size(seed, voters, more, faults):
    FaultInjector(Replicas(voters + more, voters, seed, SHORT_BOUNDS), faults).run()


def test_invariants_hold_for_every_order_of_two_faults_and_four_rounds():
    count, complete = explore(led(3), 2, 4)
    assert complete and count > 3000


@pytest.mark.parametrize("name, patched", [("PromisesTwoCandidates", "Voter"), ("NeverStale", "")])
def test_faulty_variant_detected_in_some_order(name, patched, monkeypatch):
    variant = globals()[name]
    if patched:
        monkeypatch.setattr(replica, patched, variant)
    with pytest.raises(GuaranteeViolated, match="steps: "):
        explore(led(3, Replica if patched else variant), 2, 4)


class Recorder:
    def __init__(self):
        self.sent, self.applied = [], []

    def __getattr__(self, name):
        return lambda *arguments: None

    def send(self, name, message):
        self.sent.append((name, message))

    def apply(self, verdicts):
        self.applied.append(verdicts.version)


def make_follower(now=0):
    """Returns a follower of n0 in term 3 that has stored version 1, and its host.

    Returns also the deltas to versions 1 and 2, and the sets of both versions.
    """
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
    node.on_message(late + 1, "n0", deltas[1])
    assert node.sets.stored.version == 1
    node.on_message(late + 2, "n2", VoteReleased(5))
    node.on_message(late + 3, "n0", deltas[1])
    assert node.sets.stored.version == 2


def test_version_applied_only_after_commit():
    node, host, deltas, (version_1, version_2) = make_follower()
    node.on_message(5, "n0", deltas[1])
    node.on_message(6, "n0", Heartbeat(3, 0, 2, version_2.digest, 1, 0, False))
    assert host.applied == []  # Version 1 is no longer stored, and version 2 is not committed yet.
    node.on_message(7, "n0", Heartbeat(3, 0, 2, version_2.digest, 2, 0, False))
    assert host.applied == [2]


def test_snapshot_used_only_when_complete_and_intact():
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
    assert fetch.missing() == order[:16]  # One chunk is corrupt, so all are requested again.
    for index in reversed(order):
        decoded = fetch.add(index, verdicts.chunk_count(), verdicts.chunk(index), 3)
    assert decoded.verdicts == verdicts.verdicts and decoded.order() == (3, 7)


# Faulty variants: each one has an error that such an implementation may have.


class NotSilentAfterStart(lease.Voter):
    """A voter that promises right after its start, and counts as intact."""

    def __init__(self, bounds, now):
        super().__init__(bounds, now)
        self.silent_until, self.intact = now, True


class IntactWithoutProposal(lease.Voter):
    """A voter that is silent after its start, but then counts as intact before it has stored any proposal."""

    def may_vote(self, now):
        self.intact = self.intact or super().may_vote(now)
        return super().may_vote(now)


class PromisesTwoCandidates(lease.Voter):
    """A voter that makes a promise to a second candidate while the promise to the first one runs."""

    def promise(self, now, term):
        self.promised_until = 0
        return super().promise(now, term)


class PromiseFromReceipt(Replica):
    """Counts promises from when the reply was received, not from when the request was sent."""

    def on_vote(self, now, name, vote):
        vote.requested_at = now
        super().on_vote(now, name, vote)

    def on_heartbeat_reply(self, now, name, reply):
        reply.heartbeat_sent_at = now
        super().on_heartbeat_reply(now, name, reply)


class CommitsWithoutQuorum(Leader):
    """A leader that commits a version as soon as it has stored the version itself."""

    def commit(self, now):
        self.promises.quorum, quorum = 1, self.promises.quorum
        try:
            super().commit(now)
        finally:
            self.promises.quorum = quorum


class DeltaOnAnyBase(Replica):
    """A replica that applies a delta to any stored set, even if that is not the base of the delta."""

    def on_delta(self, now, delta):
        made = stored = self.sets.stored
        for changes in delta.steps:
            made = made.with_changes(delta.term, changes)
        made.version, made.digest = delta.version, delta.digest
        follows = delta.term == self.term and self.role is Role.FOLLOWER
        if follows and stored.digest != delta.digest:
            self.on_fetched(now, made)


class IgnoresEarlierViews(Leader):
    """A new leader that does not wait for the views that an earlier leader may have confirmed."""

    def may_apply_older(self, now, version):
        self.began_at, began_at = DISTANT_PAST, self.began_at
        try:
            return super().may_apply_older(now, version)
        finally:
            self.began_at = began_at


class ViewFromReceipt(Replica):
    """Counts the age of a view from when the confirmation was received."""

    def on_heartbeat(self, now, name, heartbeat):
        if heartbeat.confirmed:
            heartbeat.echo = now
        super().on_heartbeat(now, name, heartbeat)


class NeverStale(Replica):
    """A replica that forwards requests whatever the age of its view."""

    def may_forward_requests(self, now):
        return self.view_confirmed_at != DISTANT_PAST


class NoDrift(Bounds):
    """Durations without an allowance for clock drift."""

    def min_promise_duration(self):
        return self.lease

    def max_remote_view_duration(self):
        return self.stale


def leader_isolated(seed, bounds, make):
    """Isolates the leader and some other nodes; the rest elects a new leader, which commits a ban."""
    fleet = Replicas(9, 5, seed, bounds, make=make)
    fleet.run(4 * bounds.lease)
    fleet.call("n7", 1, [Verdict("ban", "s1")])
    fleet.run(fleet.at + bounds.lease)
    isolated = {fleet.leader(), "n5", "n6"}
    fleet.split(sorted(isolated), [n for n in fleet.names if n not in isolated])
    for number in range(2, 30):
        fleet.run(fleet.at + 2 * bounds.heartbeat_interval)
        fleet.call("n7" if "n7" not in isolated else "n8", number, [Verdict("ban", "s2")])
    assert any("shut out" in text for text in fleet.answers.values())
    fleet.restore_links()
    fleet.run(fleet.at + 3 * bounds.lease)
    assert not [node for node in fleet.replica_nodes.values() if node.replica.sets.applied.version != 2]


def lossy_links(seed, bounds, make):
    """Makes calls on links that lose, duplicate and delay messages, and sometimes restarts the leader."""
    fleet = Replicas(5, 3, seed, bounds, 0.2, 0.2, (2, bounds.lease // 6), make=make)
    fleet.run(4 * bounds.lease)
    for number in range(60):
        fleet.run(fleet.at + bounds.heartbeat_interval)
        fleet.call(f"n{number % 5}", number, [Verdict("ban", f"s{number % 7}", number % 3 > 0)])
        if number % 20 == 19:
            leader_name = fleet.leader() or "n0"
            fleet.kill(leader_name)
            fleet.run(fleet.at + 3 * bounds.lease)
            fleet.restart(leader_name)


def node_isolated(seed, bounds, make):
    """Isolates one node just before a call, on slow links."""
    fleet = Replicas(7, 5, seed, bounds, delay=(2, bounds.lease // 4), make=make)
    fleet.run(6 * bounds.lease)
    for number in range(6):
        leader_name = fleet.leader() or "n0"
        name = next(n for n in fleet.names[number % 7 :] + fleet.names if n != leader_name)
        fleet.split([name], [n for n in fleet.names if n != name])
        fleet.call(leader_name, number, [Verdict("ban", f"s{number}")])
        fleet.run(fleet.at + 4 * bounds.lease)
        fleet.restore_links()
        fleet.run(fleet.at + 6 * bounds.lease)


def leader_suspended(seed, bounds, make):
    """Suspends the leader repeatedly, each time until another node leads, and resumes it."""
    bounds = bounds._replace(call_timeout=2 * bounds.call_timeout)
    fleet = Replicas(5, 5, seed, bounds, delay=(2, bounds.lease // 6), make=make)
    for number in range(6):
        fleet.run(fleet.at + 6 * bounds.lease)
        leader_name = fleet.leader() or "n0"
        fleet.freeze(leader_name)
        fleet.call(next(n for n in fleet.names if n != leader_name), number, [Verdict("ban", f"s{number}")])
        fleet.run(fleet.at + 4 * bounds.lease)
        fleet.wake(leader_name)
    assert fleet.acknowledged >= 3


def random_faults(seed, bounds, make):
    with_faults(seed, bounds, make)


def voter_data_lost(seed, bounds, make):
    """One voter is behind, one has lost its data and the leader is stopped: no leader can be elected."""
    fleet = Replicas(3, 3, seed, bounds, make=make)
    fleet.run(6 * bounds.lease)
    leader_name = fleet.leader()
    behind, reset = (name for name in fleet.names if name != leader_name)
    fleet.split([behind], [leader_name, reset])
    fleet.call(leader_name, 1, [Verdict("ban", "s1")])
    fleet.run(fleet.at + bounds.lease // 2)
    fleet.kill(leader_name)
    fleet.restart(reset, keeps=False)
    fleet.restore_links()
    fleet.run(fleet.at + 10 * bounds.lease)
    assert not fleet.leader()
    fleet.restart(leader_name)
    fleet.run(fleet.at + 10 * bounds.lease)
    assert fleet.replica_nodes[behind].replica.sets.applied.version == 1


VARIANTS = [
    (NotSilentAfterStart, voter_data_lost, 20),
    (IntactWithoutProposal, voter_data_lost, 20),
    (PromisesTwoCandidates, random_faults, 40),
    (PromiseFromReceipt, leader_suspended, 20),
    (CommitsWithoutQuorum, lossy_links, 20),
    (DeltaOnAnyBase, lossy_links, 20),
    (IgnoresEarlierViews, leader_isolated, 20),
    (ViewFromReceipt, node_isolated, 20),
    (NeverStale, leader_isolated, 20),
    (NoDrift, leader_isolated, 60),
]


@pytest.mark.parametrize(
    "scenario",
    [leader_isolated, lossy_links, node_isolated, leader_suspended, voter_data_lost],
    ids=lambda scenario: scenario.__name__,
)
def test_invariants_hold_in_scenario(scenario):
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
        except GuaranteeViolated:
            return
    pytest.fail("no check failed for the faulty variant")


# Backends that several nodes report as outliers.

OUTLIER_BOUNDS = SHORT_BOUNDS._replace(outlier_quorum=2, outlier_ejection_s=3.0)


def verdicts_of(fleet):
    return {key for node in fleet.replica_nodes.values() for key in node.replica.sets.applied.verdicts}


@pytest.mark.parametrize(
    "reports, ejected",
    [
        ({"n1": {"a"}, "n3": {"a", "b"}, "n4": {"c"}}, {"a"}),  # one node's report is not enough
        ({"n1": {"a"}, "n2": {"b"}, "n3": {"c"}}, set()),
        (
            {f"n{i}": {"a", "b", "c", "d", "e", "f"} for i in range(5)},
            {"a", "b", "c", "d"},
        ),  # at most 4 of 12 backends
        ({}, set()),
    ],
)
def test_backend_ejected_when_quorum_of_nodes_reports_it(reports, ejected):
    fleet = Replicas(5, 3, 4, OUTLIER_BOUNDS)
    fleet.run(4 * OUTLIER_BOUNDS.lease)
    fleet.outliers = reports
    fleet.run(fleet.at + OUTLIER_BOUNDS.lease)
    assert verdicts_of(fleet) == {("sick", name) for name in ejected}
    fleet.outliers = {}
    fleet.run(fleet.at + int(OUTLIER_BOUNDS.outlier_ejection_s * 12_000) + 2 * OUTLIER_BOUNDS.lease)
    assert verdicts_of(fleet) == set(), "verdicts remain after their duration"


def test_reports_of_nodes_out_of_touch_or_behind_not_counted():
    fleet = Replicas(5, 3, 4, OUTLIER_BOUNDS)
    fleet.run(4 * OUTLIER_BOUNDS.lease)
    leader_name = fleet.leader()
    isolated = [name for name in fleet.names if name != leader_name][-1:]
    fleet.outliers = {isolated[0]: {"a"}, leader_name: {"b"}}
    fleet.run(fleet.at + OUTLIER_BOUNDS.lease)
    fleet.split(isolated, [name for name in fleet.names if name not in isolated])
    fleet.run(fleet.at + 2 * OUTLIER_BOUNDS.fresh)
    fleet.outliers[leader_name] = {"a"}
    fleet.run(fleet.at + 2 * OUTLIER_BOUNDS.lease)
    assert verdicts_of(fleet) == set()
    fleet.restore_links()
    fleet.run(fleet.at + 2 * OUTLIER_BOUNDS.lease)
    assert verdicts_of(fleet) == {("sick", "a")}


def test_operator_removes_outlier_verdict_and_bans_reported_backend():
    fleet = Replicas(3, 3, 4, OUTLIER_BOUNDS._replace(outlier_ejection_s=1000.0))
    fleet.run(4 * OUTLIER_BOUNDS.lease)
    fleet.outliers = {name: {"a", "b"} for name in fleet.names}
    fleet.call("n0", 1, [Verdict("ban", "b")])
    fleet.run(fleet.at + OUTLIER_BOUNDS.lease)
    assert verdicts_of(fleet) == {("sick", "a"), ("ban", "b")}
    fleet.outliers = {}
    fleet.call("n1", 2, [Verdict("ban", "a", False), Verdict("sick", "a", False)])
    fleet.run(fleet.at + OUTLIER_BOUNDS.lease)
    assert verdicts_of(fleet) == {("ban", "b")}


class ReportedBackend:
    def __init__(self, name, failure_rate, ejected_until, available=True):
        self.name, self.available = name, available
        self.outlier = OutlierTest()
        self.outlier.failure_rate, self.outlier.ejected_until = failure_rate, ejected_until


@pytest.mark.parametrize(
    "backend, is_reported",
    [
        (ReportedBackend("a", 0.6, 110_000), True),
        (ReportedBackend("a", 0.6, 60_000), True),  # the ejection is over, but not followed by trust
        (ReportedBackend("a", 0.6, 10_000), False),  # the ejection ended too long ago
        (ReportedBackend("a", 0.6, 0), False),  # never ejected
        (ReportedBackend("a", 0.1, 110_000), False),  # ejected without own failed attempts
        (ReportedBackend("a", 0.6, 110_000, available=False), False),  # not available anyway
        (ReportedBackend("a" * 41, 0.6, 110_000), False),
    ],
)
def test_only_outliers_of_own_attempts_reported(backend, is_reported):
    assert outliers_to_report([backend], 100_000) == (["a"] if is_reported else [])


def test_reported_outliers_fit_in_one_datagram():
    many = [ReportedBackend(f"s-{i:037d}", 0.4 + i / 1000, 110_000) for i in range(100)]
    assert len(outliers_to_report(many, 100_000)) == 16
    outliers = outliers_to_report(many, 100_000)
    reply = HeartbeatReply(1 << 60, 1 << 60, 1 << 60, 1 << 60, 1 << 60, True, True, outliers)
    encode(b"k" * 16, Envelope("n" * 60, 1 << 62, "m" * 60, 1 << 62, reply))
