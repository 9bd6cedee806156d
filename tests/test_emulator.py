"""Tests the emulator: models against queueing theory, faults, the rule checker against faulty policies."""

import json
from math import factorial, sqrt
from random import Random

import msgspec
import pytest
from click.testing import CliRunner

from basalthoist.commands.cli import main
from basalthoist.decisions.interface import Outcome
from basalthoist.emulator.backends import Job, Server
from basalthoist.emulator.baselines import POLICIES, RandomChoice, SimplePolicy
from basalthoist.emulator.clients import work_of
from basalthoist.emulator.events import SECOND, Events
from basalthoist.emulator.fleet import Fleet
from basalthoist.emulator.scenario import Backends, Kind, Route, Scenario, ScenarioError, decode, read
from basalthoist.emulator.search import broken_rules, search, shrink


def scenario(text="", **more):
    """Return a small fleet without faults. `text` is further TOML, `more` replaces top-level fields."""
    made = decode(("length_s = 8\nwarmup_s = 1\nnodes = 2\n" + text).encode())
    return msgspec.structs.replace(made, **more)


def server(
    events,
    slots=1,
    queue=10,
    on_execution=lambda ident, name: None,
    on_overload_crash=lambda server: None,
    **more,
):
    settings = Backends(**({"warm_s": 4.0, "cold_from": 0.5, "fall_multiple": 0.0} | more))
    return Server(
        events, "s-0", 0, 0, Kind(slots=slots, queue=queue), 0, settings, Random(1),
        on_execution, on_overload_crash,
    )  # fmt: skip


class JobRecorder:
    """Offers jobs to one backend and records when and how each ended."""

    def __init__(self, events, backend):
        self.events, self.backend, self.ends = events, backend, {}

    def offer(self, ident, work):
        job = Job(ident, work, lambda outcome, load: self.ends.update({ident: (self.events.now, outcome)}))
        self.backend.offer(job)
        return job


@pytest.fixture
def alone():
    events = Events()
    one = server(events)
    return events, one, JobRecorder(events, one)


# Queueing theory.


def mean_wait(slots, rho, requests=60_000, seed=3):
    """Return the mean wait in an M/M/c queue of this model, in mean service times."""
    events, rng, mean = Events(), Random(seed), 1000.0
    one, waits = server(events, slots=slots, queue=10**9), []
    one.on_execution = lambda ident, name: waits.append(events.now - arrived_at[ident])
    arrived_at = {}

    def arrive(ident):
        arrived_at[ident] = events.now
        one.offer(Job(ident, rng.expovariate(1 / mean), None))
        if ident < requests:
            events.after(rng.expovariate(rho * slots / mean), lambda: arrive(ident + 1))

    arrive(0)
    events.run(10**12)
    return sum(waits) / len(waits) / mean


def erlang_c(slots, rho):
    load = slots * rho
    tail = load**slots / factorial(slots) / (1 - rho)
    return tail / (sum(load**k / factorial(k) for k in range(slots)) + tail)


@pytest.mark.parametrize(("slots", "rho"), [(1, 0.5), (1, 0.8), (4, 0.7), (8, 0.8)])
def test_mean_wait_matches_erlang_c(slots, rho):
    expected = erlang_c(slots, rho) / (slots * (1 - rho))
    # Four standard errors of 60,000 requests, whose waits are correlated.
    assert mean_wait(slots, rho) == pytest.approx(expected, rel=0.08)


@pytest.mark.parametrize(("slots", "load"), [(1, 0.5), (5, 4.0), (10, 8.0)])
def test_rejected_fraction_without_queue_matches_erlang_b(slots, load):
    events, rng, mean = Events(), Random(5), 100.0
    one = server(events, slots=slots, queue=0)
    recorder, count = JobRecorder(events, one), 40_000

    def arrive(ident):
        recorder.offer(ident, rng.expovariate(1 / mean))
        if ident < count:
            events.after(rng.expovariate(load / mean), lambda: arrive(ident + 1))

    arrive(0)
    events.run(10**12)
    lost = sum(outcome == Outcome.REJECTED for _, outcome in recorder.ends.values()) / len(recorder.ends)
    expected = (load**slots / factorial(slots)) / sum(load**k / factorial(k) for k in range(slots + 1))
    assert lost == pytest.approx(expected, rel=0.05)


def test_littles_law_holds():
    """Mean number in flight = rate x mean time at the backends, each measured independently."""
    text = "[load]\nrate = 150\n[[routes]]\nname = 'read'\ndistribution = 'exponential'\n"
    fleet = Fleet(scenario(text), RandomChoice)
    area, times, arrived_at = [0.0], [], {}
    for one in fleet.servers.values():
        one.kind = Kind(queue=10**6)
        offer, reply = one.offer, one.reply

        def offered(job, offer=offer):
            arrived_at[job.ident] = fleet.events.now
            offer(job)

        def replied(job, outcome, reply=reply):
            times.append(fleet.events.now - arrived_at[job.ident])
            reply(job, outcome)

        one.offer, one.reply = offered, replied

    def sample():
        area[0] += sum(one.in_flight() for one in fleet.servers.values()) * 20
        fleet.events.after(20, sample)

    sample()
    fleet.run()
    assert area[0] / sum(times) == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("distribution", ["constant", "exponential", "lognormal"])
def test_service_times_have_configured_mean_and_spread(distribution):
    route, rng = Route(name="r", service_ms=30, distribution=distribution, spread=0.7), Random(2)
    drawn = [work_of(route, rng) for _ in range(40_000)]
    mean = sum(drawn) / len(drawn)
    deviation = sqrt(sum((x - mean) ** 2 for x in drawn) / len(drawn)) / mean
    assert mean == pytest.approx(300, rel=0.02)
    expected = {"constant": 0, "exponential": 1, "lognormal": 0.7}[distribution]
    assert deviation == pytest.approx(expected, abs=0.04)


def test_arrivals_are_poisson():
    fleet = Fleet(scenario("[load]\nrate = 400\n", length_s=30.0), RandomChoice).run()
    counts = [second["offered"] for second in fleet.results.seconds]
    mean = sum(counts) / len(counts)
    variance = sum((x - mean) ** 2 for x in counts) / (len(counts) - 1)
    assert mean == pytest.approx(400, rel=0.03)
    assert 0.4 < variance / mean < 1.9  # within the 99.9% interval of 30 samples


# Faults of a single backend.


def test_one_slot_runs_jobs_in_order_and_full_queue_rejects():
    events = Events()
    one = server(events, queue=1)
    recorder = JobRecorder(events, one)
    for ident in range(3):
        recorder.offer(ident, 100)
    events.run(1000)
    done = Outcome.COMPLETED
    assert recorder.ends == {0: (100, done), 1: (200, done), 2: (0, Outcome.REJECTED)}


def test_cold_backend_is_slower_and_warms_up(alone):
    events, one, recorder = alone
    one.start()
    recorder.offer(1, 100)
    events.run(2 * SECOND)
    assert recorder.ends[1][0] == 200  # at half speed
    recorder.offer(2, 100)
    events.run(5 * SECOND)
    assert recorder.ends[2][0] == 2 * SECOND + 133  # at three quarters of its speed
    assert one.warmth() == 1.0


def test_frozen_backend_queues_jobs_and_resumes_after_thaw(alone):
    events, one, recorder = alone
    recorder.offer(1, 100)
    events.after(40, one.freeze)
    events.after(50, lambda: recorder.offer(2, 100))
    events.after(540, one.thaw)
    events.run(10_000)
    assert recorder.ends == {1: (600, Outcome.COMPLETED), 2: (700, Outcome.COMPLETED)}


def test_crashed_backend_resets_running_and_queued_jobs(alone):
    events, one, recorder = alone
    recorder.offer(1, 100)
    recorder.offer(2, 100)
    events.after(30, one.crash)
    events.run(1000)
    assert {end for end in recorder.ends.values()} == {(30, Outcome.RESET)}


def test_slowdown_and_crowding_multiply_service_time():
    events = Events()
    one = server(events, crowded_at=1.0, crowded_factor=2.0)
    one.slowdown = 3.0
    recorder = JobRecorder(events, one)
    recorder.offer(1, 100)
    recorder.offer(2, 100)
    events.run(10_000)
    assert recorder.ends[1][0] == 300  # the only job when it starts, so not crowded
    assert recorder.ends[2][0] == 600


def test_error_rate_matches_success_rate(alone):
    events, one, recorder = alone
    one.success_rate, one.kind = 0.25, Kind(queue=10_000)
    for ident in range(2000):
        recorder.offer(ident, 5)
    events.run(10**9)
    errors = sum(outcome == Outcome.ERROR for _, outcome in recorder.ends.values())
    assert errors / 2000 == pytest.approx(0.75, abs=0.03)


def test_overloaded_cold_backend_crashes():
    events, crashed = Events(), []
    one = server(events, fall_multiple=2.0, fall_s=1.0, queue=10_000, on_overload_crash=crashed.append)
    one.start()
    recorder = JobRecorder(events, one)
    for ident in range(400):
        recorder.offer(ident, 100)  # 4 s of work in total; the capacity is about 0.5 s of work per second
    assert crashed


@pytest.mark.parametrize(
    ("fault", "outcomes"),
    [
        ("kind = 'kill'", {Outcome.CONNECT_FAILED}), ("kind = 'cut'\nlocation = 1", {Outcome.TIMED_OUT}),
        ("kind = 'freeze'", {Outcome.TIMED_OUT}), ("kind = 'errors'\nfactor = 1000", {Outcome.ERROR}),
        ("kind = 'drain'", {Outcome.REJECTED}),
    ],
)  # fmt: skip
def test_fault_reaches_policy_as_expected_outcome(fault, outcomes):
    seen = set()

    class OutcomeRecorder(RandomChoice):
        def on_attempt_ended(self, now, ident, number, outcome, duration, over, load):
            seen.add(outcome)
            super().on_attempt_ended(now, ident, number, outcome, duration, over, load)

    text = f"locations = 2\n[discovery]\nlag_s = 5\n[[faults]]\nat_s = 2\nfor_s = 4\npart = 0.5\n{fault}\n"
    Fleet(scenario(text), OutcomeRecorder).run()
    assert outcomes <= seen


@pytest.mark.parametrize("kind", ["surge", "stale", "replace", "kill_nodes", "slow"])
def test_fault_has_visible_effect(kind):
    text = f"[[faults]]\nat_s = 2\nfor_s = 3\npart = 0.5\nfactor = 3\nkind = '{kind}'\n"
    calm, faulty = Fleet(scenario(), RandomChoice).run(), Fleet(scenario(text), RandomChoice).run()
    if kind == "surge":
        assert faulty.results.seconds[3]["offered"] > 2 * calm.results.seconds[3]["offered"]
    elif kind == "stale":
        assert faulty.discovery_paused_until == 5 * SECOND
    elif kind == "replace":
        assert len(faulty.servers) == 18 and sum(s.listed for s in faulty.servers.values()) == 12
    elif kind == "kill_nodes":
        assert max(node.incarnation for node in faulty.nodes) == 3
    else:
        assert faulty.results.figures()["p95_ms"] > 1.3 * calm.results.figures()["p95_ms"]


# The rule checker detects faulty policies.


class DropsRequests(RandomChoice):
    def on_request(self, now, ident, *more):
        if ident % 50:
            super().on_request(now, ident, *more)


class RetriesUnsafely(RandomChoice):
    def may_retry(self, request):
        return True


class IgnoresDrains(RandomChoice):
    def on_endpoint_list(self, now, entries, complete):
        super().on_endpoint_list(now, [e._replace(state="healthy") for e in entries], complete)


class OverloadsCold(SimplePolicy):
    def choose(self, names, now):
        return max(names, key=lambda name: self.healthy[name].started or 0)


FAULTS = "[[faults]]\nkind = '{}'\nat_s = 2\nfor_s = {}\npart = {}\nfactor = 5\n"
SAVES = "[[routes]]\nname = 'save'\nsemantics = 'non-retriable'\n"


@pytest.mark.parametrize(
    ("rule", "policy", "text"),
    [
        ("lost", DropsRequests, ""), ("duplicate", RetriesUnsafely, SAVES + FAULTS.format("errors", 4, 0.5)),
        ("drain", IgnoresDrains, FAULTS.format("drain", 5, 0.5)),
        ("cold", OverloadsCold, FAULTS.format("kill", 1, 0.1)),
    ],
)  # fmt: skip
def test_rule_checker_reports_exactly_the_broken_rule(rule, policy, text):
    day = scenario(text or "[load]\nrate = 200\n")
    assert broken_rules(day, RandomChoice) == frozenset()
    assert broken_rules(day, policy) == {rule}


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_follows_the_rules_under_overlapping_faults(policy):
    kinds = ("kill", "errors", "drain", "kill_nodes", "freeze")
    faults = "".join(FAULTS.format(kind, 2, 0.4) for kind in kinds)
    assert broken_rules(scenario(SAVES + faults), POLICIES[policy]) == frozenset()


# Reproducible runs.


def test_same_seed_gives_identical_report():
    day = scenario(SAVES + FAULTS.format("kill", 2, 0.4))
    one, other = (msgspec.json.encode(Fleet(day).run().report()) for _ in range(2))
    assert one == other
    assert msgspec.json.encode(Fleet(day, seed=2).run().report()) != one


def test_all_policies_get_the_same_arrivals():
    day = scenario(FAULTS.format("kill", 2, 0.4))
    runs = [Fleet(day, POLICIES[policy]).run() for policy in ("node", "random")]
    one, other = ([second["offered"] for second in run.results.seconds] for run in runs)
    assert one == other


# Search for broken rules.


def test_search_finds_broken_rule_and_shrinks_scenario():
    [(day, rules), *_] = search(scenario(SAVES), RetriesUnsafely, 12, seed=1)
    assert "duplicate" in rules and broken_rules(day, RetriesUnsafely) & rules
    assert len(day.faults) <= 2


def test_shrink_keeps_only_the_causing_fault():
    text = SAVES + "".join(FAULTS.format(kind, 2, 0.4) for kind in ("surge", "errors", "slow", "stale"))
    day = scenario(text)
    small = shrink(day, RetriesUnsafely, broken_rules(day, RetriesUnsafely))
    assert [fault.kind for fault in small.faults] in (["errors"], ["slow"], ["surge"])


# Invalid input and the command line.


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("nodes = 0", "$.nodes"), ("unheard = 1", "unheard"), ("[load]\nrate = 'many'", "$.load.rate"),
        ("[[faults]]\nkind = 'flood'\nat_s = 1", "$.faults[0].kind"), ("nodes = ", "not TOML"),
        ("[[faults]]\nkind = 'cut'\nat_s = 1\nlocation = 4", "faults[0].location"),
        ("[[faults]]\nkind = 'slow'\nat_s = 1\nfactor = 0.5", "factor"), ("warmup_s = 99", "warmup_s"),
    ],
)  # fmt: skip
def test_invalid_scenario_names_the_key_and_exits_with_2(tmp_path, text, named):
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match="day.toml"):
        read(path)
    result = CliRunner().invoke(main, ["emulate", str(path)])
    assert result.exit_code == 2 and named in result.output and str(path) in result.output


def test_emulate_command_prints_report_and_exits_0_without_violations(tmp_path):
    path = tmp_path / "day.toml"
    path.write_text("length_s = 3\n")
    result = CliRunner().invoke(main, ["emulate", str(path), "--json"])
    assert result.exit_code == 0 and json.loads(result.output)["kept_rules"]
    result = CliRunner().invoke(main, ["emulate", str(path)])
    lines = result.output.splitlines()
    assert result.exit_code == 0 and " by node, seed " in lines[0] and lines[-1].endswith(": kept")
    assert CliRunner().invoke(main, ["emulate", str(path), "--policy", "best"]).exit_code == 2


def test_default_scenario_is_valid():
    assert Scenario().nodes == 3
