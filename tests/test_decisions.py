import random

import pytest
from helpers import NOW, SECOND, listed, node

from basalthoist.decisions.admission import MAX_IDLE_SECONDS, TenantQuota
from basalthoist.decisions.backend import Backend
from basalthoist.decisions.interface import LoadReport, Outcome
from basalthoist.decisions.outlier_detection import EJECT_THRESHOLD, SUSPECT_THRESHOLD
from basalthoist.decisions.profile import Point
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.decisions.request import Attempt, Request
from basalthoist.decisions.subset import MIN_SUBSET_CAPACITY


def backend_with_profile(name, *points):
    backend = Backend(listed(name), NOW, Lcg(1))
    backend.profile.points = [Point(rate, time, 1000.0, NOW) for rate, time in points]
    return backend


def test_lcg_repeats_for_the_same_seed():
    assert [Lcg(5).uniform() for _ in range(3)] == [Lcg(5).uniform()] * 3
    assert Lcg(5).uniform() != Lcg(6).uniform()


@pytest.mark.parametrize(
    ("fast", "slow"),
    [(([10, 400], [20, 800]), ([10, 800], [20, 1600])), (([5, 300], [30, 900]), ([5, 500], [12, 900]))],
)
def test_solver_equalizes_times_and_rates_sum_to_the_demand(fast, slow):
    balancer, _ = node([listed("a"), listed("b")], nodes=1)
    balancer.backends["a"].profile.points = backend_with_profile("a", *fast).profile.points
    balancer.backends["b"].profile.points = backend_with_profile("b", *slow).profile.points
    balancer.demand = 30.0
    balancer.solver.solve(NOW, balancer.demand)
    a, b = balancer.backends["a"], balancer.backends["b"]
    # Target rates move half-way with each solve, towards the rates at the solved time.
    for backend in (a, b):
        assert backend.profile.rate_at(balancer.solver.equal_time) > 0
    assert a.profile.rate_at(balancer.solver.equal_time) + b.profile.rate_at(
        balancer.solver.equal_time
    ) == pytest.approx(30.0, rel=0.01)
    assert a.profile.rate_at(balancer.solver.equal_time) > b.profile.rate_at(balancer.solver.equal_time)


def test_profile_line_is_non_decreasing():
    backend = backend_with_profile("a", (5, 900), (10, 500), (20, 700))
    backend.profile.fit(10.0, 600.0, 1.0, NOW)
    times = [time for _, time in backend.profile.line]
    assert times == sorted(times)


def test_rates_follow_listed_weights_before_two_profiles():
    balancer, _ = node([listed("a", weight=1.0), listed("b", weight=3.0)])
    assert balancer.backends["b"].target_rate == pytest.approx(3 * balancer.backends["a"].target_rate)


def test_rotation_follows_target_rates():
    balancer, host = node([listed("a"), listed("b")])
    balancer.backends["a"].target_rate, balancer.backends["b"].target_rate = 3.0, 1.0
    sent = []
    for ident in range(40):
        balancer.on_request(NOW, ident, 0, 0, 8000, False)
        sent += [c[2] for c in host.take("send")]
        balancer.on_attempt_ended(NOW, ident, 0, Outcome.COMPLETED, 1, True, None)
    assert sent.count("a") == pytest.approx(30, abs=1)


def test_new_backend_starts_at_fastest_rate_over_the_spread_and_advances():
    balancer, host = node([listed("a"), listed("b"), listed("new", started=NOW - 10)])
    balancer.backends["a"].target_rate = 8.0
    balancer.solver.solve(NOW, balancer.demand)
    new = balancer.backends["new"]
    assert (new.profiling_stage, new.target_rate) == (1, 2.0)
    balancer.backends["a"].target_rate = 8.0
    new.profile.points = [Point(2.0, 400.0, 4.0, NOW)]
    balancer.profiling.advance(NOW, new)
    assert new.profiling_stage == 2
    assert new.profiling_rate == 8.0  # at most the highest target rate, however fast the first responses were
    balancer.profiling.advance(NOW, new)
    assert new.profiling_stage == 0


def test_new_backend_without_samples_leaves_stepwise_profiling_once_warm():
    balancer, _ = node([listed("a"), listed("b"), listed("new", started=NOW - 10)])
    balancer.profiling.advance(NOW, balancer.backends["new"])
    assert balancer.backends["new"].profiling_stage == 1
    balancer.profiling.advance(NOW + 5 * SECOND, balancer.backends["new"])
    assert balancer.backends["new"].profiling_stage == 0


@pytest.mark.parametrize(
    ("usual_failure_rate", "outcomes", "ejected"),
    [
        (0.0, [True, True], True),
        (0.0, [True, False, False, False, False, False, False], False),
        (0.8, [True] * 4, False),  # all backends fail, so this one is no outlier
    ],
)
def test_outlier_test_ejects_by_outcomes(usual_failure_rate, outcomes, ejected):
    backend = Backend(listed("a"), NOW, Lcg(1))
    for failed in outcomes:
        backend.outlier.test(failed, usual_failure_rate)
    assert (backend.outlier.suspicion >= EJECT_THRESHOLD) is ejected


def test_a_few_failing_backends_do_not_raise_the_usual_failure_rate():
    balancer, _ = node([listed(n) for n in "abcde"])
    balancer.backends["a"].outlier.failure_rate = balancer.backends["b"].outlier.failure_rate = 0.9
    balancer.choose(NOW)
    assert balancer.outliers.usual_failure_rate == 0.0


def test_silence_counts_as_failure_and_a_health_check_ends_the_ejection():
    balancer, host = node([listed("a"), listed("b")], policy_limits__probes=True)
    backend = balancer.backends["a"]
    silent = Request(1, balancer.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    for _ in range(3):
        balancer.check_silence(NOW + 1, Attempt(silent, backend, NOW + 1, 0.0))
    assert backend.outlier.ejected_until > NOW
    host.take()
    balancer.check_ejected(backend.outlier.ejected_until, backend)
    assert host.take("health_check") == [("health_check", "a")]
    back = backend.outlier.ejected_until - 1
    balancer.on_health_check_ended(back, "a", Outcome.TIMED_OUT, 2500, None)
    assert backend.outlier.ejected_until > back
    balancer.on_health_check_ended(back, "a", Outcome.COMPLETED, 10, None)
    assert backend.outlier.ejected_until == back


def node_with_health_checks(names, **kw):
    kw = {"feedback__fields": ["inflight"]} | kw
    return node([listed(n) for n in names], policy_limits__probes=True, prices__probe=0.005, **kw)


# Without load reports, an overloaded backend would get no rest if a response ended its ejection.
@pytest.mark.parametrize("reports", [True, False])
def test_response_ends_the_ejection_of_a_stalled_backend(reports):
    balancer, _ = node_with_health_checks("ab", **({} if reports else {"feedback__fields": []}))
    backend = balancer.backends["a"]
    request = Request(1, balancer.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    attempts = [Attempt(request, backend, NOW + 1, 0.0) for _ in range(3)]
    for attempt in attempts:
        balancer.check_silence(NOW + 1000, attempt)
    ejected_until = backend.outlier.ejected_until
    assert ejected_until > NOW + 1000
    balancer.update_estimates(NOW + 1100, attempts[0], Outcome.COMPLETED, 1099)
    if not reports:
        assert backend.outlier.ejected_until == ejected_until
        return
    assert backend.outlier.ejected_until <= NOW + 1100
    assert backend.outlier.suspicion > SUSPECT_THRESHOLD  # one attempt at a time until several were answered


@pytest.mark.parametrize(
    ("in_flight", "consecutive", "full"), [(0.0, 1, False), (0.0, 3, True), (9.0, 1, True), (None, 1, True)]
)
def test_rejection_by_a_backend_with_capacity_does_not_mark_it_full(in_flight, consecutive, full):
    balancer, host = node_with_health_checks("ab")
    load = in_flight if in_flight is None else LoadReport(in_flight, 0.0, 0.5)
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    for name in "ab":
        balancer.on_health_check_ended(NOW + 5, name, Outcome.COMPLETED, 5, LoadReport(0.0, 0.0, 0.0))
    (_, _, name, _) = host.take("send")[0]
    backend = balancer.backends[name]
    backend.consecutive_rejections = consecutive - 1
    balancer.on_attempt_ended(NOW + 100, 1, 0, Outcome.REJECTED, 95, False, load)
    assert (backend.saturated_until > NOW + 100) is full
    assert (backend.service_time_sum == balancer.route_bounds.objective) is full
    assert host.take("health_check")  # the retry starts new health checks


def test_queued_request_checks_other_backends_after_overloaded_ones():
    balancer, host = node_with_health_checks("abcd")
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    first = [c[1] for c in host.take("health_check")]
    for name in first:
        balancer.on_health_check_ended(NOW + 5, name, Outcome.COMPLETED, 5, LoadReport(9.0, 8.0, 1.0))
    balancer.on_wake(NOW + 50, "due")
    balancer.on_wake(NOW + 400, "due")
    second = {c[1] for c in host.take("health_check")}
    assert len(first) == 2
    assert second == set("abcd") - set(first)


def test_endpoint_list_is_requested_again_after_a_failure():
    balancer, host = node([listed("a")], discovery="on_request")
    balancer.on_endpoint_list_failed(NOW)
    host.take()
    for second in range(1, 5):
        balancer.on_wake(NOW + second * SECOND, "tick")
    assert len(host.take("subscribe")) == 1


def test_node_with_few_requests_uses_a_subset_of_every_zone():
    fleet = [listed(f"{zone}-{i}", zone=zone) for zone in range(4) for i in range(25)]
    balancer, _ = node(fleet)
    used = {b.name for b in balancer.subset.backends}
    assert MIN_SUBSET_CAPACITY <= len(used) <= MIN_SUBSET_CAPACITY + 4
    assert {name[0] for name in used} == set("0123")
    # The order of the list does not matter, and removing one entry changes at most one backend of the subset.
    balancer.on_endpoint_list(NOW, fleet[::-1][:-1], True)
    assert len(used - {b.name for b in balancer.subset.backends}) <= 1
    assert len({b.name for b in node(fleet[:5])[0].subset.backends}) == 5  # a small fleet is used completely


@pytest.mark.parametrize(("requests", "uses_all"), [(2, False), (60, True)])
def test_busy_node_uses_all_backends_within_its_first_second(requests, uses_all):
    balancer, _ = node([listed(f"s-{i}", zone=i % 3) for i in range(30)])
    for ident in range(requests):
        balancer.on_request(NOW + ident, ident, 0, 0, 8000, False)
    assert (len(balancer.subset.backends) == 30) is uses_all
    assert all(b.target_rate > 0.0 for b in balancer.subset.backends)


def test_backend_without_samples_uses_the_estimates_of_its_kind():
    balancer, _ = node([listed("a", kind=0), listed("b", kind=1), listed("c", kind=1)])
    for name, time in (("a", 500.0), ("b", 1500.0)):
        backend = balancer.backends[name]
        backend.service_time_sum, backend.service_time_count, backend.profile.points = (
            50 * time,
            50.0,
            [Point(5.0, time, 50.0, NOW)],
        )
    balancer.solver.solve(NOW, balancer.demand)
    a, b, c = (balancer.backends[name] for name in "abc")
    assert balancer.loads.expected_time(c, NOW) == pytest.approx(
        balancer.loads.expected_time(b, NOW), rel=0.1
    )
    assert c.profile.line[0][1] > 2 * a.profile.line[0][1]


def test_load_report_of_a_loaded_backend_does_not_drain_the_queue():
    balancer, _ = node_with_health_checks("ab")
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    picks, pick = [], balancer.rotation.pick
    balancer.rotation.pick = lambda now, request, *more: picks.append(request) or pick(now, request, *more)
    balancer.on_health_check_ended(NOW + 5, "a", Outcome.COMPLETED, 5, LoadReport(9.0, 8.0, 1.0))
    assert not picks
    balancer.on_health_check_ended(NOW + 5, "b", Outcome.COMPLETED, 5, LoadReport(0.0, 0.0, 0.0))
    assert picks


def test_profile_points_use_the_reported_total_rate():
    balancer, host = node([listed("a")], nodes=100)
    for ident in range(4):
        balancer.on_request(NOW + ident, ident, 0, 0, 8000, False)
        balancer.on_attempt_ended(
            NOW + ident, ident, 0, Outcome.COMPLETED, 900, True, LoadReport(None, 0.0, None, 25.0)
        )
    balancer.tick(NOW + 3 * SECOND)
    [[rate, time, *_]] = balancer.backends["a"].profile.points
    assert (rate, time) == (25.0, 900.0)


def test_slower_backend_of_equal_reported_rate_gets_a_lower_target_rate():
    balancer, _ = node([listed("a", weight=3.0), listed("b", weight=3.0)], nodes=100)
    balancer.demand = 1.0
    for name, time in (("a", 900.0), ("b", 4000.0)):
        balancer.backends[name].profile.points, balancer.backends[name].profile.reported_rate = (
            [Point(25.0, time, 50.0, NOW)],
            25.0,
        )
    for _ in range(5):
        balancer.solver.solve(NOW, balancer.demand)
    a, b = balancer.backends["a"].target_rate, balancer.backends["b"].target_rate
    assert a + b == pytest.approx(1.0, rel=0.1)
    # By 3 cores: 25/s at 90 ms can take 58/s, 25/s at 400 ms can take 32/s.
    assert a > 1.2 * b


def test_backend_with_reported_rate_is_skipped_before_it_is_overloaded():
    balancer, host = node([listed("a"), listed("b")], nodes=100, routes__0__latency_objective=10_000)
    a, b = balancer.backends["a"], balancer.backends["b"]
    for backend, time in ((a, 3000.0), (b, 1000.0)):
        backend.profile.reported_rate, backend.profile.line = 25.0, [(0.0, 1000.0), (25.0, 1000.0)]
        backend.service_time_sum, backend.service_time_count = 100 * time, 100.0
    a.target_rate, a.credit = 5.0, 5.0  # it is next in the rotation
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    assert [call[2] for call in host.take("send")] == ["b"]


def tenant_settings(quotas):
    return {"tenants.count": len(quotas)} | {f"tenants.{i}.quota_per_s": q for i, q in enumerate(quotas)}


def test_busy_node_has_a_larger_quota_fraction_and_a_burst_does_not_raise_it():
    balancer, _ = node([listed("a")], nodes=100, **tenant_settings([100.0] * 4))
    for second in range(60):
        for number in range(4):
            for _ in range(4 if number else 40):  # tenant 0 sends ten times as much
                balancer.quotas.tenants[number].take(
                    NOW + second * SECOND, False, balancer.quotas.node_fraction
                )
        balancer.tick(NOW + second * SECOND)
    assert 100.0 * balancer.quotas.node_fraction == pytest.approx(4.0, rel=0.1)


def test_quota_change_takes_effect_at_once():
    """Ten requests per second come for ten seconds per quota; the first and last quota are as configured."""
    balancer, _ = node([listed("a")], nodes=2, **tenant_settings([10.0, 10.0]))

    def count_within_quota(start):
        times = range(NOW + start * SECOND, NOW + (start + 10) * SECOND, SECOND // 10)
        return sum(balancer.quotas.tenants[0].take(at, False, balancer.quotas.node_fraction) for at in times)

    quotas = [None, 40.0, 0.0, 10.0]
    counts = []
    for number, quota in enumerate(quotas):
        if quota is not None:
            balancer.on_quota(NOW + 10 * number * SECOND, 0, quota)
        counts.append(count_within_quota(10 * number))
    assert counts[0] == pytest.approx(50, abs=16) == counts[3]
    assert counts[2] <= 15 and counts[1] == 100
    assert balancer.quotas.tenants[1].quota == 10.0


class AllTenants:
    """A reference for the update of the quota fraction, over all tenants and not only the active ones."""

    def __init__(self, quotas, nodes):
        self.nodes, self.quotas, self.arrivals = nodes, quotas, [0] * len(quotas)
        self.rates = [quota * (1 / nodes) for quota in quotas]

    def tick(self):
        for number, arrivals in enumerate(self.arrivals):
            self.rates[number] = self.rates[number] + (arrivals - self.rates[number]) * 0.05
        self.arrivals = [0] * len(self.arrivals)
        fractions = sorted(r / max(q, 1e-6) for r, q in zip(self.rates, self.quotas, strict=True))
        return max([1 / self.nodes, *fractions[len(fractions) // 4 :][:1]])


@pytest.mark.parametrize("seed", range(10))
def test_update_over_active_tenants_equals_update_over_all_tenants(seed):
    rng = random.Random(seed)
    count, nodes = [0, 1, 2, 3, 4, 5, 7, 8, 12, 40][seed], rng.choice([30, 100])
    quotas = [rng.choice([0.0, 0.4, 3.0, 17.3]) for _ in range(count)]
    balancer, _ = node([listed("a")], nodes=nodes, **tenant_settings(quotas))
    reference, uneven = AllTenants(quotas, nodes), 0
    busy = [
        rng.choice([0.0, 0.002, 1.0, 6.0, 6.0, 6.0]) for _ in quotas
    ]  # some tenants become idle and active again
    for second in range(2000):
        at = NOW + second * SECOND
        if second % 500 == 499:
            rng.shuffle(busy)
        if count and second % 400 == 399:
            number, quota = rng.randrange(count), rng.choice([0.0, 1.0, 50.0])
            reference.quotas[number] = quota
            balancer.on_quota(at, number, quota)
        for number, rate in enumerate(busy):
            for _ in range(int(rate + rng.random())):
                is_retry = rng.random() < 0.2
                reference.arrivals[number] += not is_retry
                balancer.quotas.tenants[number].take(at, is_retry, balancer.quotas.node_fraction)
        balancer.tick(at)
        assert balancer.quotas.node_fraction == reference.tick()
        uneven += balancer.quotas.node_fraction > 1 / nodes
    assert uneven or seed in (0, 4, 7)  # else only even fractions would have been compared


def test_update_of_quotas_visits_only_active_tenants(monkeypatch):
    balancer, _ = node([listed("a")], nodes=100, **tenant_settings([1.0] * 5000))
    updated, end_second = [], TenantQuota.end_second
    monkeypatch.setattr(
        TenantQuota,
        "end_second",
        lambda tenant, ended_seconds: updated.append(tenant) or end_second(tenant, ended_seconds),
    )
    balancer.tick(NOW)
    for number in range(30):
        balancer.quotas.tenants[number].take(NOW, False, balancer.quotas.node_fraction)
    balancer.tick(NOW + SECOND)
    assert len(updated) == 30
    for second in range(2, 2 + MAX_IDLE_SECONDS + 1):
        balancer.tick(NOW + second * SECOND)
    updated.clear()
    balancer.tick(NOW + 1000 * SECOND)
    assert not updated and not balancer.quotas.active


def test_tenant_is_added_and_removed_at_run_time():
    balancer, host = node([listed("a")], nodes=2, **tenant_settings([10.0]))
    balancer.on_quota(NOW, 7, 5.0)
    assert balancer.quotas.tenants[7].quota == 5.0 and balancer.quotas.tenants[0].quota == 10.0
    balancer.on_request(NOW, 1, 0, 7, 8000, False)
    assert host.take("send") and balancer.quotas.tenants[7].arrivals == 1
    balancer.on_quota(NOW, 7, None)
    balancer.on_quota(NOW, 7, None)
    assert 7 not in balancer.quotas.tenants and all(
        c is balancer.quotas.tenants[0] for c in balancer.quotas.active
    )
    balancer.on_request(NOW, 2, 0, 7, 8000, False)  # a request that arrived before its tenant was removed
    balancer.tick(NOW + SECOND)


def test_route_change_applies_to_the_next_request():
    balancer, host = node([listed("a")])
    balancer.on_route(NOW, 0, 1000, 4000, 6.0)
    bounds = balancer.route_bounds
    assert (bounds.objective, bounds.highest_value) == (1000, 6.0)
    balancer.on_request(NOW, 1, 0, 0, 4000, False)
    request = balancer.requests[1]
    assert request.objective_at == NOW + 1000 and request.order[1] == -6.0


def test_zone_cost_lowers_the_rate_of_remote_backends_before_two_profiles():
    balancer, _ = node([listed("a"), listed("far", zone=1)], **{"prices__cross_zone": 0.2})
    assert balancer.backends["far"].target_rate < 0.5 * balancer.backends["a"].target_rate


# Attempts that are lost on the way or answered in part.


def add_open_attempt(balancer, ident, at):
    request = balancer.requests[ident] = Request(ident, balancer.routes[0], at, at + 8000, at + 3000, False)
    request.attempts.append(Attempt(request, balancer.backends["a"], at, 0.0))
    balancer.backends["a"].open_attempts.append(request.attempts[0])


def backend_with_open_attempts(semantics="idempotent", loss_rate=1.0):
    """Makes one backend with four open attempts, the first being the oldest."""
    balancer, host = node_with_health_checks(["a"], semantics=semantics)
    balancer.overtaken.loss_rate = loss_rate
    for ident in range(4):
        add_open_attempt(balancer, ident, NOW + 10 * ident)
    return balancer, host, balancer.backends["a"]


def complete(balancer, ident, at):
    balancer.on_attempt_ended(at, ident, 0, Outcome.COMPLETED, 100, True, None)


@pytest.mark.parametrize(
    ("semantics", "loss_rate", "lost", "cancelled"),
    [
        ("idempotent", 1.0, True, True),
        ("at_most_once", 1.0, True, False),  # the attempt may have run
        ("idempotent", 0.5, False, False),  # overtaken attempts are often answered, so they are not lost
    ],
)
def test_attempt_overtaken_twice_is_no_load_and_is_cancelled_if_idempotent(
    semantics, loss_rate, lost, cancelled
):
    balancer, host, backend = backend_with_open_attempts(semantics, loss_rate)
    complete(balancer, 1, NOW + 200)
    assert backend.open_attempts[0].request.id == 0 and not host.take("cancel")
    complete(balancer, 3, NOW + 220)
    assert [t.request.id for t in backend.open_attempts] == ([2] if lost else [0, 2])
    assert host.take("cancel") == ([("cancel", 0, 0)] if cancelled else [])
    if cancelled:
        balancer.on_attempt_ended(NOW + 221, 0, 0, Outcome.CANCELLED, 221, False, None)
        assert balancer.requests[0].queued or host.take("send")  # retried


def test_overtaken_attempt_after_the_latency_objective_is_not_cancelled():
    balancer, host, backend = backend_with_open_attempts()
    for ident, at in ((1, NOW + 4000), (2, NOW + 4010)):
        complete(balancer, ident, at)
    assert [t.request.id for t in backend.open_attempts] == [3] and not host.take("cancel")


def test_backend_reporting_fewer_requests_than_sent_has_lost_the_oldest():
    balancer, host, backend = backend_with_open_attempts()
    for at in (
        NOW + 40,
        NOW + 20_000,
        NOW + 20_100,
    ):  # at the first check, the requests may still be on their way
        balancer.on_health_check_ended(at, "a", Outcome.COMPLETED, 5, LoadReport(3.0, None, None, None))
    assert [t.request.id for t in backend.open_attempts] == [1, 2, 3]


@pytest.mark.parametrize(
    ("outcome", "counts_as_lost"), [(Outcome.CANCELLED, True), (Outcome.COMPLETED, False)]
)
def test_loss_rate_is_learned_from_outcomes_of_overtaken_attempts(outcome, counts_as_lost):
    balancer, host, backend = backend_with_open_attempts(loss_rate=0.5)
    lines = []
    for number in range(20):
        ident, at = 100 + 3 * number, NOW + 20_000 + 10_000 * number
        for offset in range(3):
            add_open_attempt(balancer, ident + offset, at + offset)
        # Not above the threshold, so that no attempt is cancelled in the meantime.
        balancer.overtaken.loss_rate = min(balancer.overtaken.loss_rate, 0.8)
        for offset in (1, 2):
            complete(balancer, ident + offset, at + 100)
        balancer.on_client_gone(at + 7900, ident)
        balancer.on_attempt_ended(at + 7900, ident, 0, outcome, 7900, True, None)
        lines += host.take("log")
    assert (balancer.overtaken.loss_rate > 0.8) is counts_as_lost
    assert any("taken for lost: True" in c[1] for c in lines) is counts_as_lost
    assert counts_as_lost or balancer.overtaken.loss_rate < 0.2


def test_change_of_an_unused_backend_waits_for_the_next_tick():
    """Changes of backends in the subset take effect at once."""
    entries = [listed(f"s-{n:02}") for n in range(60)]
    balancer, _ = node(entries, nodes=200)
    used = [b.name for b in balancer.subset.backends]
    assert 0 < len(used) < 60
    chosen = []
    balancer.choose = lambda now, choose=balancer.choose: (chosen.append(now), choose(now))
    other = next(entry for entry in entries if entry.name not in used)
    balancer.on_endpoint_list(NOW + 1, [other._replace(state="draining")], False)
    balancer.on_endpoint_list(NOW + 2, [other, listed("s-new")], False)
    assert not chosen and len(balancer.registry.endpoints) == 61
    balancer.tick(NOW + SECOND)
    assert len(chosen) == 1
    for number, change in enumerate(({"state": "draining"}, {"state": "gone"}, {"started": NOW + SECOND})):
        name = balancer.subset.backends[0].name
        balancer.on_endpoint_list(NOW + SECOND + 1 + number, [listed(name, **change)], False)
        assert len(chosen) == 2 + number
        assert all(b.available for b in balancer.subset.backends)
        assert number == 2 or name not in [b.name for b in balancer.subset.backends]
    balancer.on_maintenance(NOW + SECOND + 9, balancer.subset.backends[0].name, True)
    assert len(chosen) == 5


@pytest.mark.parametrize(
    ("started_ago", "waited", "starts"),
    [(1, 0.4, True), (1, 0.6, False), (1, 3, False), (10, 3, True), (None, 3, True)],
)
def test_attempt_older_than_half_a_window_is_not_started_at_a_warming_backend(started_ago, waited, starts):
    """The window is 1 s, and a backend warms up for 5 s. Late attempts do not overload a warm backend."""
    started = None if started_ago is None else NOW - started_ago * SECOND
    balancer, host = node([listed("s-0", started=started)])
    for ident in range(5):
        balancer.on_request(NOW + ident, ident, 0, 0, 8 * SECOND, False)
    balancer.backends["s-0"].slow_start.tokens = 1.0
    balancer.drain_queue(NOW + 10)
    [first, *_] = [request for request in balancer.requests.values() if request.attempts]
    assert balancer.may_start_attempt(first.attempts[0].sent_at + int(waited * SECOND), first.id, 0) is starts
