import random

import pytest
from helpers import NOW, SECOND, listed, node

from basalthoist.decisions.admission import IDLE_ROUNDS, TenantQuota
from basalthoist.decisions.backend import Backend
from basalthoist.decisions.interface import LoadReport, Outcome
from basalthoist.decisions.outlier_detection import EJECT_AT, SUSPECT_AT
from basalthoist.decisions.profile import Point
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.decisions.request import Attempt, Request
from basalthoist.decisions.subset import LEAST_SUBSET


def profiled(name, *points):
    backend = Backend(listed(name), NOW, Lcg(1))
    backend.profile.points = [Point(rate, time, 1000.0, NOW) for rate, time in points]
    return backend


def test_chance_is_the_same_for_the_same_seed():
    assert [Lcg(5).uniform() for _ in range(3)] == [Lcg(5).uniform()] * 3
    assert Lcg(5).uniform() != Lcg(6).uniform()


@pytest.mark.parametrize(
    ("fast", "slow"),
    [(([10, 400], [20, 800]), ([10, 800], [20, 1600])), (([5, 300], [30, 900]), ([5, 500], [12, 900]))],
)
def test_the_solve_gives_equal_times_that_sum_to_the_demand(fast, slow):
    made, _ = node([listed("a"), listed("b")], nodes=1)
    made.backends["a"].profile.points = profiled("a", *fast).profile.points
    made.backends["b"].profile.points = profiled("b", *slow).profile.points
    made.demand = 30.0
    made.solver.solve(NOW, made.demand)
    a, b = made.backends["a"], made.backends["b"]
    for backend in (a, b):  # shares move half-way each time; the rate at the solved time is where they go
        assert backend.profile.rate_at(made.solver.equal_time) > 0
    assert a.profile.rate_at(made.solver.equal_time) + b.profile.rate_at(
        made.solver.equal_time
    ) == pytest.approx(30.0, rel=0.01)
    assert a.profile.rate_at(made.solver.equal_time) > b.profile.rate_at(made.solver.equal_time)


def test_a_profile_never_falls_with_the_rate():
    backend = profiled("a", (5, 900), (10, 500), (20, 700))
    backend.profile.fit(10.0, 600.0, 1.0, NOW)
    times = [time for _, time in backend.profile.line]
    assert times == sorted(times)


def test_even_shares_or_the_lists_weights_before_two_profiles():
    made, _ = node([listed("a", weight=1.0), listed("b", weight=3.0)])
    assert made.backends["b"].target_rate == pytest.approx(3 * made.backends["a"].target_rate)


def test_rotation_follows_the_shares():
    made, host = node([listed("a"), listed("b")])
    made.backends["a"].target_rate, made.backends["b"].target_rate = 3.0, 1.0
    sent = []
    for ident in range(40):
        made.on_request(NOW, ident, 0, 0, 8000, False)
        sent += [c[2] for c in host.take("send")]
        made.on_attempt_ended(NOW, ident, 0, Outcome.COMPLETED, 1, True, None)
    assert sent.count("a") == pytest.approx(30, abs=1)


def test_a_newcomer_starts_at_the_fastest_rate_over_the_spread_and_steps_up():
    made, host = node([listed("a"), listed("b"), listed("new", started=NOW - 10)])
    made.backends["a"].target_rate = 8.0
    made.solver.solve(NOW, made.demand)
    new = made.backends["new"]
    assert (new.profiling_stage, new.target_rate) == (1, 2.0)
    made.backends["a"].target_rate = 8.0
    new.profile.points = [Point(2.0, 400.0, 4.0, NOW)]
    made.profiling.advance(NOW, new)
    assert new.profiling_stage == 2
    assert new.profiling_rate == 8.0  # never over the fastest, however quick its first answers were
    made.profiling.advance(NOW, new)
    assert new.profiling_stage == 0


def test_a_newcomer_that_gets_no_samples_leaves_stepwise_profiling_once_warm():
    made, _ = node([listed("a"), listed("b"), listed("new", started=NOW - 10)])
    made.profiling.advance(NOW, made.backends["new"])
    assert made.backends["new"].profiling_stage == 1
    made.profiling.advance(NOW + 5 * SECOND, made.backends["new"])
    assert made.backends["new"].profiling_stage == 0


@pytest.mark.parametrize(
    ("others_fail", "outcomes", "ejected"),
    [
        (0.0, [True, True], True),
        (0.0, [True, False, False, False, False, False, False], False),
        (0.8, [True] * 4, False),  # all fail together: nothing is usual about this one
    ],
)
def test_sequential_test_on_outcomes(others_fail, outcomes, ejected):
    backend = Backend(listed("a"), NOW, Lcg(1))
    for failed in outcomes:
        backend.outlier.test(failed, others_fail)
    assert (backend.outlier.suspicion >= EJECT_AT) is ejected


def test_a_few_sick_backends_do_not_make_failing_usual():
    made, _ = node([listed(n) for n in "abcde"])
    made.backends["a"].outlier.failure_rate = made.backends["b"].outlier.failure_rate = 0.9
    made.choose(NOW)
    assert made.outliers.usual_failure_rate == 0.0


def test_silence_counts_as_failure_and_a_probe_goes_before_the_next_exchange():
    made, host = node([listed("a"), listed("b")], policy_limits__probes=True)
    backend = made.backends["a"]
    silent = Request(1, made.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    for _ in range(3):
        made.check_silence(NOW + 1, Attempt(silent, backend, NOW + 1, 0.0))
    assert backend.outlier.ejected_until > NOW
    host.take()
    made.check_ejected(backend.outlier.ejected_until, backend)
    assert host.take("health_check") == [("health_check", "a")]
    back = backend.outlier.ejected_until - 1
    made.on_health_check_ended(back, "a", Outcome.TIMED_OUT, 2500, None)
    assert backend.outlier.ejected_until > back
    made.on_health_check_ended(back, "a", Outcome.COMPLETED, 10, None)
    assert backend.outlier.ejected_until == back


def asking(names, **kw):
    kw = {"feedback__fields": ["inflight"]} | kw
    return node([listed(n) for n in names], policy_limits__probes=True, prices__probe=0.005, **kw)


@pytest.mark.parametrize("reports", [True, False])  # without them a crowded one would get no rest
def test_an_answer_brings_a_backend_that_only_stood_still_back_at_once(reports):
    made, _ = asking("ab", **({} if reports else {"feedback__fields": []}))
    backend = made.backends["a"]
    request = Request(1, made.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    tries = [Attempt(request, backend, NOW + 1, 0.0) for _ in range(3)]
    for upstream in tries:
        made.check_silence(NOW + 1000, upstream)
    away = backend.outlier.ejected_until
    assert away > NOW + 1000
    made.measure(NOW + 1100, tries[0], Outcome.COMPLETED, 1099)
    if not reports:
        assert backend.outlier.ejected_until == away
        return
    assert backend.outlier.ejected_until <= NOW + 1100
    assert backend.outlier.suspicion > SUSPECT_AT  # one try at a time until it has answered some


@pytest.mark.parametrize(
    ("in_flight", "in_a_row", "full"), [(0.0, 1, False), (0.0, 3, True), (9.0, 1, True), (None, 1, True)]
)
def test_a_backend_with_room_that_turns_a_try_away_is_not_taken_for_full(in_flight, in_a_row, full):
    made, host = asking("ab")
    load = in_flight if in_flight is None else LoadReport(in_flight, 0.0, 0.5)
    made.on_request(NOW, 1, 0, 0, 8000, False)
    for name in "ab":
        made.on_health_check_ended(NOW + 5, name, Outcome.COMPLETED, 5, LoadReport(0.0, 0.0, 0.0))
    (_, _, name, _) = host.take("send")[0]
    backend = made.backends[name]
    backend.rejections = in_a_row - 1
    made.on_attempt_ended(NOW + 100, 1, 0, Outcome.REJECTED, 95, False, load)
    assert (backend.saturated_until > NOW + 100) is full
    assert (backend.service_time_sum == made.route_bounds.objective) is full
    assert host.take("health_check")  # for this exchange it is asked anew


def test_held_exchanges_ask_others_than_the_crowded_few():
    made, host = asking("abcd")
    made.on_request(NOW, 1, 0, 0, 8000, False)
    first = [c[1] for c in host.take("health_check")]
    for name in first:
        made.on_health_check_ended(NOW + 5, name, Outcome.COMPLETED, 5, LoadReport(9.0, 8.0, 1.0))
    made.on_wake(NOW + 50, "due")
    made.on_wake(NOW + 400, "due")
    second = {c[1] for c in host.take("health_check")}
    assert len(first) == 2
    assert second == set("abcd") - set(first)


def test_a_subscription_that_failed_is_asked_for_again():
    made, host = node([listed("a")], discovery="on_request")
    made.on_endpoint_list_failed(NOW)
    host.take()
    for second in range(1, 5):
        made.on_wake(NOW + second * SECOND, "tick")
    assert len(host.take("subscribe")) == 1


def test_a_node_with_few_exchanges_uses_a_part_of_every_location_and_nodes_differ():
    fleet = [listed(f"{zone}-{i}", zone=zone) for zone in range(4) for i in range(25)]
    made, _ = node(fleet)
    used = {b.name for b in made.subset.backends}
    assert LEAST_SUBSET <= len(used) <= LEAST_SUBSET + 4
    assert {name[0] for name in used} == set("0123")
    made.on_endpoint_list(
        NOW, fleet[::-1][:-1], True
    )  # the list's order does not matter, a change moves one at most
    assert len(used - {b.name for b in made.subset.backends}) <= 1
    assert len({b.name for b in node(fleet[:5])[0].subset.backends}) == 5  # a small fleet is used whole


@pytest.mark.parametrize(("exchanges", "whole"), [(2, False), (60, True)])
def test_a_busy_node_that_starts_uses_the_whole_fleet_before_its_first_second_is_over(exchanges, whole):
    made, _ = node([listed(f"s-{i}", zone=i % 3) for i in range(30)])
    for ident in range(exchanges):
        made.on_request(NOW + ident, ident, 0, 0, 8000, False)
    assert (len(made.subset.backends) == 30) is whole
    assert all(b.target_rate > 0.0 for b in made.subset.backends)


def test_a_backend_without_samples_is_foretold_and_profiled_by_its_kind():
    made, _ = node([listed("a", kind=0), listed("b", kind=1), listed("c", kind=1)])
    for name, time in (("a", 500.0), ("b", 1500.0)):
        backend = made.backends[name]
        backend.service_time_sum, backend.service_time_count, backend.profile.points = (
            50 * time,
            50.0,
            [Point(5.0, time, 50.0, NOW)],
        )
    made.solver.solve(NOW, made.demand)
    a, b, c = (made.backends[name] for name in "abc")
    assert made.loads.expected(c, NOW) == pytest.approx(made.loads.expected(b, NOW), rel=0.1)
    assert c.profile.line[0][1] > 2 * a.profile.line[0][1]


def test_a_report_that_changes_nothing_does_not_go_through_all_that_is_held():
    made, _ = asking("ab")
    made.on_request(NOW, 1, 0, 0, 8000, False)
    picks, pick = [], made.rotation.pick
    made.rotation.pick = lambda now, request, *more: picks.append(request) or pick(now, request, *more)
    made.on_health_check_ended(NOW + 5, "a", Outcome.COMPLETED, 5, LoadReport(9.0, 8.0, 1.0))
    assert not picks
    made.on_health_check_ended(NOW + 5, "b", Outcome.COMPLETED, 5, LoadReport(0.0, 0.0, 0.0))
    assert picks


def test_points_go_by_the_whole_rate_that_a_backend_reports():
    made, host = node([listed("a")], nodes=100)
    for ident in range(4):
        made.on_request(NOW + ident, ident, 0, 0, 8000, False)
        made.on_attempt_ended(
            NOW + ident, ident, 0, Outcome.COMPLETED, 900, True, LoadReport(None, 0.0, None, 25.0)
        )
    made.tick(NOW + 3 * SECOND)
    [[rate, time, *_]] = made.backends["a"].profile.points
    assert (rate, time) == (25.0, 900.0)


def test_of_two_with_equal_rates_the_slower_gets_less_by_what_it_can_take():
    made, _ = node([listed("a", weight=3.0), listed("b", weight=3.0)], nodes=100)
    made.demand = 1.0
    for name, time in (("a", 900.0), ("b", 4000.0)):
        made.backends[name].profile.points, made.backends[name].profile.reported_rate = (
            [Point(25.0, time, 50.0, NOW)],
            25.0,
        )
    for _ in range(5):
        made.solver.solve(NOW, made.demand)
    a, b = made.backends["a"].target_rate, made.backends["b"].target_rate
    assert a + b == pytest.approx(1.0, rel=0.1)
    # By 3 cores: 25/s at 90 ms can take 58/s, 25/s at 400 ms can take 32/s.
    assert a > 1.2 * b


def test_a_backend_that_reports_its_rate_is_passed_over_well_before_it_is_crowded():
    made, host = node([listed("a"), listed("b")], nodes=100, routes__0__latency_objective=10_000)
    a, b = made.backends["a"], made.backends["b"]
    for backend, time in ((a, 3000.0), (b, 1000.0)):
        backend.profile.reported_rate, backend.profile.line = 25.0, [(0.0, 1000.0), (25.0, 1000.0)]
        backend.service_time_sum, backend.service_time_count = 100 * time, 100.0
    a.target_rate, a.credit = 5.0, 5.0  # it is its turn
    made.on_request(NOW, 1, 0, 0, 8000, False)
    assert [call[2] for call in host.take("send")] == ["b"]


def customers(quotas):
    return {"tenants.count": len(quotas)} | {f"tenants.{i}.quota_per_s": q for i, q in enumerate(quotas)}


def test_a_busy_node_has_more_of_each_quota_and_a_burst_raises_none():
    made, _ = node([listed("a")], nodes=100, **customers([100.0] * 4))
    for second in range(60):
        for number in range(4):
            for _ in range(4 if number else 40):  # customer 0 sends ten times as much
                made.quotas.tenants[number].within(NOW + second * SECOND, False, made.quotas.part)
        made.tick(NOW + second * SECOND)
    assert 100.0 * made.quotas.part == pytest.approx(4.0, rel=0.1)


def test_a_quota_changed_in_service_counts_at_once():
    """Ten a second come for ten seconds; before and after that quota is what the node was started with."""
    made, _ = node([listed("a")], nodes=2, **customers([10.0, 10.0]))

    def passed(begin):
        every = range(NOW + begin * SECOND, NOW + (begin + 10) * SECOND, SECOND // 10)
        return sum(made.quotas.tenants[0].within(at, False, made.quotas.part) for at in every)

    told = [None, 40.0, 0.0, 10.0]
    found = []
    for number, quota in enumerate(told):
        if quota is not None:
            made.on_quota(NOW + 10 * number * SECOND, 0, quota)
        found.append(passed(10 * number))
    assert found[0] == pytest.approx(50, abs=16) == found[3]
    assert found[2] <= 15 and found[1] == 100
    assert made.quotas.tenants[1].quota == 10.0


class EveryCustomer:
    """The round as it was while it went over all customers: a reference for one over the active."""

    def __init__(self, quotas, nodes):
        self.nodes, self.quotas, self.came = nodes, quotas, [0] * len(quotas)
        self.usual = [quota * (1 / nodes) for quota in quotas]

    def tick(self):
        for number, came in enumerate(self.came):
            self.usual[number] = self.usual[number] + (came - self.usual[number]) * 0.05
        self.came = [0] * len(self.came)
        parts = sorted(u / max(q, 1e-6) for u, q in zip(self.usual, self.quotas, strict=True))
        return max([1 / self.nodes, *parts[len(parts) // 4 :][:1]])


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


def test_a_round_costs_the_active_customers_and_not_all_there_are(monkeypatch):
    made, _ = node([listed("a")], nodes=100, **customers([1.0] * 5000))
    reckoned, close_round = [], TenantQuota.close_round
    monkeypatch.setattr(
        TenantQuota, "close_round", lambda one, rounds: reckoned.append(one) or close_round(one, rounds)
    )
    made.tick(NOW)
    for number in range(30):
        made.quotas.tenants[number].within(NOW, False, made.quotas.part)
    made.tick(NOW + SECOND)
    assert len(reckoned) == 30
    for second in range(2, 2 + IDLE_ROUNDS + 1):
        made.tick(NOW + second * SECOND)
    reckoned.clear()
    made.tick(NOW + 1000 * SECOND)
    assert not reckoned and not made.quotas.active


def test_a_customer_comes_in_service_and_goes_again():
    made, host = node([listed("a")], nodes=2, **customers([10.0]))
    made.on_quota(NOW, 7, 5.0)
    assert made.quotas.tenants[7].quota == 5.0 and made.quotas.tenants[0].quota == 10.0
    made.on_request(NOW, 1, 0, 7, 8000, False)
    assert host.take("send") and made.quotas.tenants[7].came == 1
    made.on_quota(NOW, 7, None)
    made.on_quota(NOW, 7, None)
    assert 7 not in made.quotas.tenants and all(c is made.quotas.tenants[0] for c in made.quotas.active)
    made.on_request(NOW, 2, 0, 7, 8000, False)  # one that had been taken in before its customer went
    made.tick(NOW + SECOND)


def test_a_route_changed_in_service_counts_for_the_next_exchange():
    made, host = node([listed("a")])
    made.on_route(NOW, 0, 1000, 4000, 6.0)
    bounds = made.route_bounds
    assert (bounds.objective, bounds.highest_value) == (1000, 6.0)
    made.on_request(NOW, 1, 0, 0, 4000, False)
    request = made.requests[1]
    assert request.objective_at == NOW + 1000 and request.order[1] == -6.0


def test_before_two_profiles_remote_backends_pay_for_their_crossing():
    made, _ = node([listed("a"), listed("far", zone=1)], **{"prices__cross_zone": 0.2})
    assert made.backends["far"].target_rate < 0.5 * made.backends["a"].target_rate


# Tries that are lost on the way or answered in part.


def put_out_there(made, ident, at):
    request = made.requests[ident] = Request(ident, made.routes[0], at, at + 8000, at + 3000, False)
    request.attempts.append(Attempt(request, made.backends["a"], at, 0.0))
    made.backends["a"].open_attempts.append(request.attempts[0])


def lossy(semantics="idempotent", believed=1.0):
    """One backend with four tries out, the first of which is the oldest."""
    made, host = asking(["a"], semantics=semantics)
    made.overtaken.loss_rate = believed
    for ident in range(4):
        put_out_there(made, ident, NOW + 10 * ident)
    return made, host, made.backends["a"]


def answer(made, ident, at):
    made.on_attempt_ended(at, ident, 0, Outcome.COMPLETED, 100, True, None)


@pytest.mark.parametrize(
    ("semantics", "believed", "lost", "called_off"),
    [
        ("idempotent", 1.0, True, True),
        ("at_most_once", 1.0, True, False),  # it may have run
        ("idempotent", 0.5, False, False),  # here answers come in any order
    ],
)
def test_a_try_overtaken_twice_is_no_load_and_is_called_off_where_it_may_run_again(
    semantics, believed, lost, called_off
):
    made, host, backend = lossy(semantics, believed)
    answer(made, 1, NOW + 200)
    assert backend.open_attempts[0].request.id == 0 and not host.take("cancel")
    answer(made, 3, NOW + 220)
    assert [t.request.id for t in backend.open_attempts] == ([2] if lost else [0, 2])
    assert host.take("cancel") == ([("cancel", 0, 0)] if called_off else [])
    if called_off:
        made.on_attempt_ended(NOW + 221, 0, 0, Outcome.CANCELLED, 221, False, None)
        assert made.requests[0].queued or host.take("send")  # made anew


def test_a_try_that_can_only_end_late_is_not_called_off():
    made, host, backend = lossy()
    for ident, at in ((1, NOW + 4000), (2, NOW + 4010)):
        answer(made, ident, at)
    assert [t.request.id for t in backend.open_attempts] == [3] and not host.take("cancel")


def test_a_backend_that_reports_fewer_than_it_was_sent_long_before_has_lost_the_oldest():
    made, host, backend = lossy()
    for at in (NOW + 40, NOW + 20_000, NOW + 20_100):  # at first they may still be on their way
        made.on_health_check_ended(at, "a", Outcome.COMPLETED, 5, LoadReport(3.0, None, None, None))
    assert [t.request.id for t in backend.open_attempts] == [1, 2, 3]


@pytest.mark.parametrize(("outcome", "believed"), [(Outcome.CANCELLED, True), (Outcome.COMPLETED, False)])
def test_what_being_overtaken_means_is_learned_from_how_such_tries_end(outcome, believed):
    made, host, backend = lossy(believed=0.5)
    lines = []
    for number in range(20):
        ident, at = 100 + 3 * number, NOW + 20_000 + 10_000 * number
        for one in range(3):
            put_out_there(made, ident + one, at + one)
        made.overtaken.loss_rate = min(made.overtaken.loss_rate, 0.8)  # so that none is called off meanwhile
        for one in (1, 2):
            answer(made, ident + one, at + 100)
        made.on_client_gone(at + 7900, ident)
        made.on_attempt_ended(at + 7900, ident, 0, outcome, 7900, True, None)
        lines += host.take("log")
    assert (made.overtaken.loss_rate > 0.8) is believed
    assert any("taken for lost: True" in c[1] for c in lines) is believed
    assert believed or made.overtaken.loss_rate < 0.2


def test_a_change_of_a_backend_that_is_not_used_here_waits_for_the_next_tick():
    """In a long list a node uses some; what becomes of these counts at once."""
    entries = [listed(f"s-{n:02}") for n in range(60)]
    made, _ = node(entries, nodes=200)
    used = [b.name for b in made.subset.backends]
    assert 0 < len(used) < 60
    solved = []
    made.choose = lambda now, choose=made.choose: (solved.append(now), choose(now))
    other = next(entry for entry in entries if entry.name not in used)
    made.on_endpoint_list(NOW + 1, [other._replace(state="draining")], False)
    made.on_endpoint_list(NOW + 2, [other, listed("s-new")], False)
    assert not solved and len(made.registry.endpoints) == 61
    made.tick(NOW + SECOND)
    assert len(solved) == 1
    for number, change in enumerate(({"state": "draining"}, {"state": "gone"}, {"started": NOW + SECOND})):
        name = made.subset.backends[0].name
        made.on_endpoint_list(NOW + SECOND + 1 + number, [listed(name, **change)], False)
        assert len(solved) == 2 + number
        assert all(b.available for b in made.subset.backends)
        assert number == 2 or name not in [b.name for b in made.subset.backends]
    made.on_maintenance(NOW + SECOND + 9, made.subset.backends[0].name, True)
    assert len(solved) == 5


@pytest.mark.parametrize(
    ("started_ago", "waited", "begins"),
    [(1, 0.4, True), (1, 0.6, False), (1, 3, False), (10, 3, True), (None, 3, True)],
)
def test_what_waited_for_half_of_a_window_does_not_begin_at_a_cold_backend(started_ago, waited, begins):
    """The window is 1 s, and a backend is cold for 5 s. A warm one is not crowded by what comes late."""
    started = None if started_ago is None else NOW - started_ago * SECOND
    made, host = node([listed("s-0", started=started)])
    for ident in range(5):
        made.on_request(NOW + ident, ident, 0, 0, 8 * SECOND, False)
    made.backends["s-0"].slow_start.tokens = 1.0
    made.drain_queue(NOW + 10)
    [first, *_] = [request for request in made.requests.values() if request.attempts]
    assert made.may_start_attempt(first.attempts[0].sent_at + int(waited * SECOND), first.id, 0) is begins
