"""Tests of fleet-wide rate limits: the sum of all rates never exceeds the limit, and follows the traffic."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basalthoist.emulator.rate_limits import LimitedReplicas, fairness, measure
from basalthoist.emulator.replica_faults import FaultInjector
from basalthoist.emulator.replicas import GuaranteeViolated
from basalthoist.fleet import leader
from basalthoist.fleet.bounds import Bounds
from basalthoist.fleet.quota_leases import Bucket, Limit, QuotaLeaseGranter, QuotaLeaseHolder, max_min
from basalthoist.fleet.verdicts import Verdict

SHORT_BOUNDS = Bounds(
    lease=10_000,
    heartbeat_interval=1_500,
    fresh=5_000,
    stale=15_000,
    drift=0.1,
    call_timeout=30_000,
    grant_duration=8_000,
)
# Longer than a lease, so that grants outlive the leader that made them.
LONG = SHORT_BOUNDS._replace(grant_duration=30_000)
LIMIT = Limit("acme", 200.0, 20.0)


def make_fleet(seed=1, count=9, bounds=SHORT_BOUNDS, limit=LIMIT, make=LimitedReplicas, **more):
    fleet = make(count, 5, seed, bounds, limit, **more)
    fleet.run(6 * bounds.lease)
    return fleet


def moving_traffic(fleet, steps=12, faults=0):
    """Moves the traffic between nodes at random, with random faults.

    Raises GuaranteeViolated if more requests were admitted in a window than the limit allows.
    """
    injector = FaultInjector(fleet, 0)
    kinds = "kill", "freeze", "freeze", "split", "one way", "slow"
    for _ in range(steps):
        hot = fleet.rng.sample(fleet.names, fleet.rng.randint(1, 3))
        fleet.loads = {name: 300.0 if name in hot else 5.0 for name in fleet.names}
        if fleet.rng.random() < faults:
            name = fleet.leader() if fleet.rng.random() < 0.5 else ""
            lasts = int(fleet.rng.choice((0.3, 1.0, 3.0)) * fleet.bounds.lease)
            injector.inject(fleet.rng.choice(kinds), name or fleet.rng.choice(fleet.names), lasts, (2, 30))
        fleet.run(fleet.at + int(fleet.rng.uniform(0.5, 2.0) * fleet.bounds.lease))
    for window, most, allowed in fleet.windows():
        if most > allowed:
            raise GuaranteeViolated(f"{most} requests admitted in {window} s, at most {allowed:.1f} allowed")


@pytest.mark.parametrize("first", range(0, 12, 3))
def test_admitted_requests_within_limit_under_faults(first):
    for seed in range(first, first + 3):
        moving_traffic(make_fleet(seed), faults=0.7)


@settings(max_examples=10, deadline=None, derandomize=True, database=None)
@given(st.integers(100, 1 << 30), st.integers(3, 9), st.floats(1.0, 500.0), st.floats(0.0, 50.0))
def test_admitted_requests_within_any_limit_under_faults(seed, count, rate, burst):
    fleet = LimitedReplicas(count, 3, seed, SHORT_BOUNDS, Limit("acme", rate, burst))
    moving_traffic(fleet, 8, 0.7)


class CountsOnlyLastGrant(QuotaLeaseGranter):
    """A leader that counts only the last grant of a node, not earlier ones that may still be used."""

    def outstanding_rate(self, now, limit_index, node):
        super().outstanding_rate(now, limit_index, node)
        outstanding = self.outstanding[limit_index][node]
        return outstanding[-1].rate if outstanding else 0.0


class IgnoresEarlierGrants(QuotaLeaseGranter):
    """A new leader that does not wait for the end of grants by an earlier leader."""

    def __init__(self, limits, nodes, bounds, now):
        super().__init__(limits, nodes, bounds, now)
        self.silent_until = now


class GrantFromReceipt(QuotaLeaseHolder):
    """Counts a grant's duration from when it was received, so that a repeated grant lasts longer."""

    def on_grants(self, now, grants, replied_at):
        super().on_grants(now, grants, now)


class AcceptsReturnedGrants(QuotaLeaseHolder):
    """Accepts grants that answer a reply from before the node returned its grants."""

    def open(self, now):
        self.closed = False


class NoDrift(Bounds):
    """Bounds in which the longest use of a grant by a node leaves out clock drift."""

    def max_remote_grant_duration(self):
        return self.grant_duration


def grants_returned(fleet):
    """Busy nodes repeatedly return their grants and soon accept new ones, on slow links."""
    fleet.delay = (2, fleet.bounds.grant_duration // 3)
    for number in range(40):
        hot, other = fleet.rng.sample(fleet.names, 2)
        fleet.loads = {hot: 400.0, other: 400.0}
        fleet.run(fleet.at + 2 * fleet.bounds.heartbeat_interval)
        node = fleet.replica_nodes[hot]
        node.holder.close(node.now())
        fleet.run(fleet.at + fleet.bounds.heartbeat_interval * (1 + number % 4))
        node.holder.open(node.now())
        fleet.run(fleet.at + 2 * fleet.bounds.heartbeat_interval)


def random_faults(fleet):
    moving_traffic(fleet, 20, 0.7)


def leaders_suspended(fleet):
    fleet.delay = (2, 600)
    for number in range(8):
        fleet.loads = {fleet.names[number % 9]: 400.0, fleet.names[(number + 4) % 9]: 400.0 * (number % 2)}
        fleet.run(fleet.at + 3 * fleet.bounds.heartbeat_interval)
        leader_name = fleet.leader() or "n0"
        fleet.freeze(leader_name)
        fleet.run(fleet.at + 3 * fleet.bounds.lease)
        fleet.loads = {fleet.names[(number + 2) % 9]: 400.0}
        fleet.wake(leader_name)
        fleet.run(fleet.at + fleet.bounds.lease)


def busiest_nodes_isolated(fleet):
    """Isolates one node after the other while it has the largest grant, and moves its traffic."""
    for name in fleet.names:
        fleet.loads = {name: 400.0}
        fleet.run(fleet.at + 3 * fleet.bounds.grant_duration)
        if fleet.leader() in ("", name):
            continue
        fleet.split([name], [other for other in fleet.names if other != name])
        fleet.loads = {fleet.leader(): 400.0}
        fleet.run(fleet.at + 2 * fleet.bounds.grant_duration)
        fleet.restore_links()
        fleet.run(fleet.at + 2 * fleet.bounds.lease)


def slow_links(fleet):
    """Isolates nodes on links with a delay of up to half a grant's duration."""
    fleet.delay = (2, fleet.bounds.grant_duration // 2)
    busiest_nodes_isolated(fleet)


SCENARIOS = [grants_returned, leaders_suspended, busiest_nodes_isolated, slow_links]
VARIANTS = [
    (CountsOnlyLastGrant, random_faults),
    (IgnoresEarlierGrants, leaders_suspended),
    (GrantFromReceipt, slow_links),
    (NoDrift, busiest_nodes_isolated),
    (AcceptsReturnedGrants, grants_returned),
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda value: value.__name__)
def test_limit_kept_in_scenario(scenario):
    for seed in range(4):
        scenario(make_fleet(seed, bounds=(SHORT_BOUNDS, LONG)[seed % 2]))


@pytest.mark.parametrize("variant, scenario", VARIANTS, ids=lambda value: value.__name__)
def test_faulty_variant_detected(variant, scenario, monkeypatch):
    bounds = variant(*SHORT_BOUNDS) if issubclass(variant, Bounds) else SHORT_BOUNDS
    bounds = LONG if variant is IgnoresEarlierGrants else variant(*LONG) if variant is NoDrift else bounds
    if issubclass(variant, QuotaLeaseGranter):
        monkeypatch.setattr(leader, "QuotaLeaseGranter", variant)
    holder = variant if issubclass(variant, QuotaLeaseHolder) else QuotaLeaseHolder
    make = type("Broken", (LimitedReplicas,), {"make_holder": holder})
    for seed in range(20):
        try:
            scenario(make_fleet(seed, bounds=bounds, make=make))
        except GuaranteeViolated:
            return
    pytest.fail("no check failed for the faulty variant")


@pytest.mark.parametrize("hot", [["n0"], ["n3", "n8"], [f"n{i}" for i in range(9)]])
def test_limit_used_within_two_seconds_of_traffic_shift(hot):
    fleet = make_fleet(bounds=SHORT_BOUNDS._replace(drift=0.01), limit=LIMIT._replace(burst=90.0))
    fleet.loads = {"n5": 400.0}
    fleet.run(fleet.at + 50_000)
    fleet.loads = {name: 400.0 / len(hot) for name in hot}
    fleet.run(fleet.at + 20_000)
    since = fleet.at
    fleet.run(fleet.at + 50_000)
    assert fleet.admitted_rate(since, fleet.at) >= 0.95 * LIMIT.rate
    assert fleet.highest_rate <= LIMIT.rate + 0.01


def test_partition_with_leader_gets_rate_beyond_other_sides_guarantee():
    fleet = make_fleet(3)
    fleet.loads = dict.fromkeys(fleet.names, 60.0)
    fleet.run(fleet.at + 50_000)
    leader_name = fleet.leader()
    isolated = [name for name in fleet.names if name != leader_name][-4:]  # at most one of them is a voter
    fleet.split(isolated, [name for name in fleet.names if name not in isolated])
    fleet.run(fleet.at + 3 * SHORT_BOUNDS.lease)
    before = dict(fleet.admitted_by)
    fleet.run(fleet.at + 50_000)
    leader_side = sum(fleet.admitted_by[n] - before[n] for n in fleet.names if n not in isolated) / 5
    other_side = sum(fleet.admitted_by[n] - before[n] for n in isolated) / 5
    guaranteed = SHORT_BOUNDS.guaranteed_fraction * LIMIT.rate * 4 / 9
    assert other_side == pytest.approx(guaranteed, rel=0.15)
    assert leader_side + guaranteed >= 0.95 * LIMIT.rate


def test_measured_fairness_shift_time_and_traffic():
    found = measure(9)
    assert found["worst"] <= 1.0 + 1e-6 and found["shift_s"] <= 2.0
    assert found["jain"] > 0.98 and found["other_bytes_s"] < found["author_bytes_s"] < 20_000


def test_rate_of_closed_nodes_used_by_others():
    fleet = make_fleet(4, limit=LIMIT._replace(burst=90.0), bounds=SHORT_BOUNDS._replace(drift=0.01))
    fleet.loads = {"n1": 400.0}
    for name in fleet.names[3:]:
        fleet.replica_nodes[name].holder.close(fleet.replica_nodes[name].now())
    fleet.run(fleet.at + 20_000)
    since = fleet.at
    fleet.run(fleet.at + 50_000)
    assert fleet.admitted_rate(since, fleet.at) >= 0.95 * LIMIT.rate


def test_equal_rates_when_all_demands_exceed_limit():
    fleet = make_fleet(2)
    fleet.loads = dict.fromkeys(fleet.names, 100.0)
    fleet.run(fleet.at + 100_000)
    assert fairness(list(fleet.admitted_by.values())) > 0.98


def test_changed_quota_in_force_within_three_leases():
    fleet = make_fleet(2, limit=LIMIT._replace(burst=200.0))
    fleet.loads = dict.fromkeys(fleet.names, 300.0)
    for number, rate in enumerate((2000.0, 20.0, 0.0, 200.0)):
        fleet.limit = fleet.limit._replace(rate=max(rate, fleet.limit.rate))
        fleet.call(fleet.leader(), number, [Verdict("quota", "acme", figure=rate)])
        fleet.run(fleet.at + 3 * SHORT_BOUNDS.lease)
        fleet.limit = fleet.limit._replace(rate=rate)
        since = fleet.at
        fleet.run(fleet.at + 50_000)
        assert 0.94 * rate <= fleet.admitted_rate(since, fleet.at) <= 1.12 * rate


@pytest.mark.parametrize(
    "pool, demand, expected",
    [
        (90, {"a": 10, "b": 50, "c": 50}, {"a": 10, "b": 40, "c": 40}),
        (90, {"a": 0, "b": 0, "c": 0}, {"a": 30, "b": 30, "c": 30}),
        (90, {"a": 60, "b": 0}, {"a": 75, "b": 15}),
        (0, {"a": 5}, {"a": 0}),
        (9, {"a": float("inf"), "b": 1}, {"a": 8, "b": 1}),
    ],
)
def test_max_min_fair_allocation(pool, demand, expected):
    assert max_min(pool, demand) == pytest.approx(expected)


def test_bucket_filled_at_granted_rate_until_grant_expires():
    bucket = Bucket(50.0, 0)
    bucket.guaranteed_rate, bucket.guaranteed_from = 1.0, 10_000
    bucket.granted_rate, bucket.granted_until = 10.0, 20_000
    assert sum(bucket.take(40_000) for _ in range(100)) == 23  # 3 s at 1 per second, 2 s at 10 per second
    assert sum(bucket.take(50_000) for _ in range(100)) == 1
    assert Bucket(1.0, 0).take(0) is False, "a new incarnation must start with an empty bucket"
