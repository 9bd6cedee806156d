"""The emulator: its models against theory and by hand, its ledger against policies broken on purpose."""

import json
from math import factorial, sqrt
from random import Random

import msgspec
import pytest
from click.testing import CliRunner

from basalthoist.commands.cli import main
from basalthoist.decisions.interface import Outcome
from basalthoist.emulator.backends import Job, Server
from basalthoist.emulator.baselines import POLICIES, Plain, RandomChoice
from basalthoist.emulator.clients import work_of
from basalthoist.emulator.events import SECOND, Events
from basalthoist.emulator.fleet import Fleet
from basalthoist.emulator.scenario import Backends, Kind, Route, Scenario, ScenarioError, decode, read
from basalthoist.emulator.search import broken, search, shrink


def scenario(text="", **more):
    """A small calm fleet; `text` goes on from there in TOML, `more` replaces keys of the top."""
    made = decode(("length_s = 8\nwarmup_s = 1\nnodes = 2\n" + text).encode())
    return msgspec.structs.replace(made, **more)


def server(events, slots=1, queue=10, ran=lambda ident, name: None, fell=lambda server: None, **more):
    of = Backends(**({"warm_s": 4.0, "cold_from": 0.5, "fall_multiple": 0.0} | more))
    return Server(events, "s-0", 0, 0, Kind(slots=slots, queue=queue), 0, of, Random(1), ran, fell)


class Waiting:
    """Offers work to one backend and notes when and how it ended."""

    def __init__(self, events, one):
        self.events, self.one, self.ends = events, one, {}

    def offer(self, ident, work):
        job = Job(ident, work, lambda outcome, load: self.ends.update({ident: (self.events.now, outcome)}))
        self.one.offer(job)
        return job


@pytest.fixture
def alone():
    events = Events()
    one = server(events)
    return events, one, Waiting(events, one)


# Theory.


def waits(slots, rho, exchanges=60_000, seed=3):
    """Mean wait in an M/M/c queue of this model, in mean service times."""
    events, rng, mean = Events(), Random(seed), 1000.0
    one, begun = server(events, slots=slots, queue=10**9), []
    one.ran = lambda ident, name: begun.append(events.now - came[ident])
    came = {}

    def come(ident):
        came[ident] = events.now
        one.offer(Job(ident, rng.expovariate(1 / mean), None))
        if ident < exchanges:
            events.after(rng.expovariate(rho * slots / mean), lambda: come(ident + 1))

    come(0)
    events.run(10**12)
    return sum(begun) / len(begun) / mean


def erlang_c(slots, rho):
    load = slots * rho
    tail = load**slots / factorial(slots) / (1 - rho)
    return tail / (sum(load**k / factorial(k) for k in range(slots)) + tail)


@pytest.mark.parametrize(("slots", "rho"), [(1, 0.5), (1, 0.8), (4, 0.7), (8, 0.8)])
def test_waiting_times_are_those_of_the_queue_m_m_c(slots, rho):
    expected = erlang_c(slots, rho) / (slots * (1 - rho))
    # Four standard errors of 60,000 exchanges whose waits hang together.
    assert waits(slots, rho) == pytest.approx(expected, rel=0.08)


@pytest.mark.parametrize(("slots", "load"), [(1, 0.5), (5, 4.0), (10, 8.0)])
def test_the_share_turned_away_without_a_queue_is_erlangs_loss(slots, load):
    events, rng, mean = Events(), Random(5), 100.0
    one = server(events, slots=slots, queue=0)
    waiting, count = Waiting(events, one), 40_000

    def come(ident):
        waiting.offer(ident, rng.expovariate(1 / mean))
        if ident < count:
            events.after(rng.expovariate(load / mean), lambda: come(ident + 1))

    come(0)
    events.run(10**12)
    lost = sum(outcome == Outcome.REJECTED for _, outcome in waiting.ends.values()) / len(waiting.ends)
    expected = (load**slots / factorial(slots)) / sum(load**k / factorial(k) for k in range(slots + 1))
    assert lost == pytest.approx(expected, rel=0.05)


def test_littles_law_holds_over_a_run():
    """Mean held = rate x mean time at the backends, each measured by itself."""
    text = "[load]\nrate = 150\n[[routes]]\nname = 'read'\ndistribution = 'exponential'\n"
    fleet = Fleet(scenario(text), RandomChoice)
    area, times, came = [0.0], [], {}
    for one in fleet.servers.values():
        one.kind = Kind(queue=10**6)
        offer, reply = one.offer, one.reply

        def offered(job, offer=offer):
            came[job.ident] = fleet.events.now
            offer(job)

        def replied(job, outcome, reply=reply):
            times.append(fleet.events.now - came[job.ident])
            reply(job, outcome)

        one.offer, one.reply = offered, replied

    def sample():
        area[0] += sum(one.held() for one in fleet.servers.values()) * 20
        fleet.events.after(20, sample)

    sample()
    fleet.run()
    assert area[0] / sum(times) == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("distribution", ["constant", "exponential", "lognormal"])
def test_service_times_have_the_mean_and_spread_asked_for(distribution):
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


# Each fault, by hand.


def test_work_takes_its_turn_in_one_slot_and_a_full_queue_turns_away():
    events = Events()
    one = server(events, queue=1)
    waiting = Waiting(events, one)
    for ident in range(3):
        waiting.offer(ident, 100)
    events.run(1000)
    done = Outcome.COMPLETED
    assert waiting.ends == {0: (100, done), 1: (200, done), 2: (0, Outcome.REJECTED)}


def test_a_cold_backend_works_slower_and_warms_up(alone):
    events, one, waiting = alone
    one.start()
    waiting.offer(1, 100)
    events.run(2 * SECOND)
    assert waiting.ends[1][0] == 200  # at half of its speed
    waiting.offer(2, 100)
    events.run(5 * SECOND)
    assert waiting.ends[2][0] == 2 * SECOND + 133  # at three quarters
    assert one.warmth() == 1.0


def test_a_frozen_backend_takes_work_answers_nothing_and_goes_on_where_it_stopped(alone):
    events, one, waiting = alone
    waiting.offer(1, 100)
    events.after(40, one.freeze)
    events.after(50, lambda: waiting.offer(2, 100))
    events.after(540, one.thaw)
    events.run(10_000)
    assert waiting.ends == {1: (600, Outcome.COMPLETED), 2: (700, Outcome.COMPLETED)}


def test_a_dead_backend_resets_what_it_held(alone):
    events, one, waiting = alone
    waiting.offer(1, 100)
    waiting.offer(2, 100)
    events.after(30, one.die)
    events.run(1000)
    assert {end for end in waiting.ends.values()} == {(30, Outcome.RESET)}


def test_a_slow_backend_and_a_crowded_one_take_longer():
    events = Events()
    one = server(events, crowded_at=1.0, crowded_factor=2.0)
    one.slow = 3.0
    waiting = Waiting(events, one)
    waiting.offer(1, 100)
    waiting.offer(2, 100)
    events.run(10_000)
    assert waiting.ends[1][0] == 300  # alone as it begins
    assert waiting.ends[2][0] == 600


def test_errors_come_at_once_and_as_often_as_set(alone):
    events, one, waiting = alone
    one.good, one.kind = 0.25, Kind(queue=10_000)
    for ident in range(2000):
        waiting.offer(ident, 5)
    events.run(10**9)
    errors = sum(outcome == Outcome.ERROR for _, outcome in waiting.ends.values())
    assert errors / 2000 == pytest.approx(0.75, abs=0.03)


def test_a_cold_backend_that_is_pushed_over_falls():
    events, fell = Events(), []
    one = server(events, fall_multiple=2.0, fall_s=1.0, queue=10_000, fell=fell.append)
    one.start()
    waiting = Waiting(events, one)
    for ident in range(400):
        waiting.offer(ident, 100)  # four seconds' work at once; it can do about half a second's
    assert fell


@pytest.mark.parametrize(
    ("fault", "outcomes"),
    [
        ("kind = 'kill'", {Outcome.CONNECT_FAILED}), ("kind = 'cut'\nlocation = 1", {Outcome.TIMED_OUT}),
        ("kind = 'freeze'", {Outcome.TIMED_OUT}), ("kind = 'errors'\nfactor = 1000", {Outcome.ERROR}),
        ("kind = 'drain'", {Outcome.REJECTED}),
    ],
)  # fmt: skip
def test_a_fault_reaches_nodes_as_the_outcome_it_stands_for(fault, outcomes):
    seen = set()

    class Watching(RandomChoice):
        def on_attempt_ended(self, now, ident, number, outcome, took, over, load):
            seen.add(outcome)
            super().on_attempt_ended(now, ident, number, outcome, took, over, load)

    text = f"locations = 2\n[discovery]\nlag_s = 5\n[[faults]]\nat_s = 2\nfor_s = 4\npart = 0.5\n{fault}\n"
    Fleet(scenario(text), Watching).run()
    assert outcomes <= seen


@pytest.mark.parametrize("kind", ["surge", "stale", "replace", "kill_nodes", "slow"])
def test_the_other_faults_leave_their_mark(kind):
    text = f"[[faults]]\nat_s = 2\nfor_s = 3\npart = 0.5\nfactor = 3\nkind = '{kind}'\n"
    calm, met = Fleet(scenario(), RandomChoice).run(), Fleet(scenario(text), RandomChoice).run()
    if kind == "surge":
        assert met.results.seconds[3]["offered"] > 2 * calm.results.seconds[3]["offered"]
    elif kind == "stale":
        assert met.told_from == 5 * SECOND
    elif kind == "replace":
        assert len(met.servers) == 18 and sum(s.listed for s in met.servers.values()) == 12
    elif kind == "kill_nodes":
        assert max(node.life for node in met.nodes) == 3
    else:
        assert met.results.figures()["p95_ms"] > 1.3 * calm.results.figures()["p95_ms"]


# The ledger can fail.


class Loses(RandomChoice):
    def on_request(self, now, ident, *more):
        if ident % 50:
            super().on_request(now, ident, *more)


class RunsTwice(RandomChoice):
    def causes_no_duplicate(self, request):
        return True


class Drainless(RandomChoice):
    def on_endpoint_list(self, now, entries, whole):
        super().on_endpoint_list(now, [e._replace(state="healthy") for e in entries], whole)


class Pushes(Plain):
    def choose(self, names, now):
        return max(names, key=lambda name: self.fit[name].started or 0)


FAULTS = "[[faults]]\nkind = '{}'\nat_s = 2\nfor_s = {}\npart = {}\nfactor = 5\n"
SAVES = "[[routes]]\nname = 'save'\nsemantics = 'non-retriable'\n"


@pytest.mark.parametrize(
    ("rule", "policy", "text"),
    [
        ("lost", Loses, ""), ("duplicate", RunsTwice, SAVES + FAULTS.format("errors", 4, 0.5)),
        ("drain", Drainless, FAULTS.format("drain", 5, 0.5)), ("cold", Pushes, FAULTS.format("kill", 1, 0.1)),
    ],
)  # fmt: skip
def test_the_ledger_catches_a_policy_that_breaks_a_rule_and_no_other(rule, policy, text):
    day = scenario(text or "[load]\nrate = 200\n")
    assert broken(day, RandomChoice) == frozenset()
    assert broken(day, policy) == {rule}


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_keeps_the_rules_through_overlapping_faults(policy):
    kinds = ("kill", "errors", "drain", "kill_nodes", "freeze")
    faults = "".join(FAULTS.format(kind, 2, 0.4) for kind in kinds)
    assert broken(scenario(SAVES + faults), POLICIES[policy]) == frozenset()


# A seed fixes a run, and all policies meet the same day.


def test_a_seed_fixes_a_run_to_the_last_byte():
    day = scenario(SAVES + FAULTS.format("kill", 2, 0.4))
    one, other = (msgspec.json.encode(Fleet(day).run().report()) for _ in range(2))
    assert one == other
    assert msgspec.json.encode(Fleet(day, seed=2).run().report()) != one


def test_policies_meet_the_same_arrivals():
    day = scenario(FAULTS.format("kill", 2, 0.4))
    runs = [Fleet(day, POLICIES[policy]).run() for policy in ("node", "random")]
    one, other = ([second["offered"] for second in run.results.seconds] for run in runs)
    assert one == other


# Searching.


def test_the_search_finds_a_broken_rule_and_shrinks_the_day_to_its_cause():
    [(day, rules), *_] = search(scenario(SAVES), RunsTwice, 12, seed=1)
    assert "duplicate" in rules and broken(day, RunsTwice) & rules
    assert len(day.faults) <= 2


def test_shrinking_keeps_only_the_fault_that_matters():
    text = SAVES + "".join(FAULTS.format(kind, 2, 0.4) for kind in ("surge", "errors", "slow", "stale"))
    day = scenario(text)
    small = shrink(day, RunsTwice, broken(day, RunsTwice))
    assert [fault.kind for fault in small.faults] in (["errors"], ["slow"], ["surge"])


# Bad input.


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("nodes = 0", "$.nodes"), ("unheard = 1", "unheard"), ("[load]\nrate = 'many'", "$.load.rate"),
        ("[[faults]]\nkind = 'flood'\nat_s = 1", "$.faults[0].kind"), ("nodes = ", "not TOML"),
        ("[[faults]]\nkind = 'cut'\nat_s = 1\nlocation = 4", "faults[0].location"),
        ("[[faults]]\nkind = 'slow'\nat_s = 1\nfactor = 0.5", "factor"), ("warmup_s = 99", "warmup_s"),
    ],
)  # fmt: skip
def test_a_faulty_scenario_names_the_key_and_exits_with_2(tmp_path, text, named):
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match="day.toml"):
        read(path)
    said = CliRunner().invoke(main, ["emulate", str(path)])
    assert said.exit_code == 2 and named in said.output and str(path) in said.output


def test_the_command_plays_a_scenario_and_exits_by_the_rules(tmp_path):
    path = tmp_path / "day.toml"
    path.write_text("length_s = 3\n")
    said = CliRunner().invoke(main, ["emulate", str(path), "--json"])
    assert said.exit_code == 0 and json.loads(said.output)["kept_rules"]
    said = CliRunner().invoke(main, ["emulate", str(path)])
    lines = said.output.splitlines()
    assert said.exit_code == 0 and " by node, seed " in lines[0] and lines[-1].endswith(": kept")
    assert CliRunner().invoke(main, ["emulate", str(path), "--policy", "best"]).exit_code == 2


def test_defaults_are_a_scenario():
    assert Scenario().nodes == 3
