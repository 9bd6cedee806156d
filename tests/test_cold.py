"""Cold backends under the sum of all nodes, over the whole of the ramp, judged from what came to them."""

import asyncio

import pytest
from click.testing import CliRunner

from basalthoist.commands.cli import main
from basalthoist.decisions.balancer import Balancer
from basalthoist.emulator import ramp
from basalthoist.emulator.ramp import LOAD_KNOWLEDGE, Arrival, Case, Ramp, Worst, judge, play
from basalthoist.emulator.scenario import Backends
from basalthoist.experiments import cold_start
from basalthoist.experiments.cold_start import TIGHT, Loopback

SECOND = 10_000
TERMS = Backends(cold_from=0.25, warm_s=4.0, fall_multiple=2.0, fall_s=1.0)  # N: 10 of 20 a second, then more


def arrivals(*at_s, told=True, work=1.0):
    return [Arrival(int(at * SECOND), work, told) for at in at_s]


def judged(found, **more):
    return judge(found, 0, TERMS, 20.0, **more)


def test_what_comes_within_the_window_is_held_against_n_of_that_moment():
    worst = judged(arrivals(*[0.0] * 12))
    assert worst == Worst(12.0, 10.0, 0.0) and worst.rng == pytest.approx(8.32, abs=0.01)
    assert worst.excess == 2.0 and worst.part == pytest.approx(12 / 18.32, abs=0.001)
    assert judged(arrivals(*[2.0] * 12)).allowed == 25.0
    assert judged(arrivals(0.0, 0.5, 0.99)).sent == 3.0
    assert judged(arrivals(*[0.0] * 3, *[1.0] * 4)).sent == 3.0  # a second later the first are out of it
    assert judged(arrivals(*[0.0] * 12, work=2.0)).sent == 24.0


def test_after_the_ramp_nothing_is_cold_any_more():
    assert judged(arrivals(*[4.0] * 500)) == Worst(0.0, 10.0)


def test_a_fall_of_which_two_thirds_came_from_nodes_not_told_is_excused():
    both = arrivals(*[0.1] * 20) + arrivals(*[0.0] * 10, told=False)
    assert judged(both).sent < 30.0 and judged(both, include_excused=True).sent == 30.0
    assert judged(both + arrivals(0.2)).sent == 31.0  # over two thirds


class Pushes(Balancer):
    """Sends to cold backends as to any."""

    def build_rules(self, host):
        super().build_rules(host)
        assert callable(self.slow_start.allows)
        self.slow_start.allows = lambda backend, now: True


def test_nodes_that_know_no_budget_are_found_out():
    case = Case(**TIGHT, nodes=20, out=0.5, burst=3.0)
    assert Ramp(case, 1, Pushes).run().worst().part > 1.0


HARD = [(1, "once"), (5, "late"), (20, "half"), (30, "half_warm"), (30, "once")]


@pytest.mark.parametrize("knowledge", LOAD_KNOWLEDGE)
@pytest.mark.parametrize("nodes, lists", HARD)
def test_the_ramp_holds_for_the_sum(nodes, lists, knowledge):
    case = Case(**TIGHT, nodes=nodes, knowledge=knowledge, lists=lists, burst=3.0, out=0.5)
    played = play(case, 1)
    assert played.worst().part < 1.0 and played.worst(True).sent > 0.0, played.worst()


@pytest.mark.parametrize("nodes, seed", [(30, 3), (200, 1)])
def test_a_cold_backend_that_fails_at_once_is_not_pushed_over_by_each_nodes_first(nodes, seed):
    worst = play(Case(**TIGHT, nodes=nodes, knowledge="probes", errors=True), seed).worst()
    assert worst.part < 1.0, worst


def test_real_processes_keep_a_cold_backend_up(tmp_path):
    case = Case(**TIGHT, nodes=10, knowledge="probes", warm_s=2.5, burst_s=1.0)
    counted, whole, got, _ = asyncio.run(Loopback(case, 1, tmp_path, start_s=2.0).play())
    assert got >= 1 and counted.part < 1.0 and whole.part < 1.0, (counted, whole, got)


def test_the_table_is_made_again_from_raw_results_alone(tmp_path, monkeypatch):
    path = tmp_path / "raw.csv"
    monkeypatch.setattr(cold_start, "NODES", (2,))
    monkeypatch.setattr(cold_start, "LOAD_KNOWLEDGE", ("neither",))
    monkeypatch.setattr(cold_start, "KINDS", {"plain": {}})
    monkeypatch.setattr(ramp, "START_S", 2.0)
    first = CliRunner().invoke(main, ["cold-start", "--seeds", "1", "--processes", "2", "--into", str(path)])
    assert first.exit_code == 0, first.output
    again = CliRunner().invoke(main, ["cold-start", "--table", "--into", str(path)])
    assert again.exit_code == 0 and again.output in first.output and "| 2 | 4 |" in again.output
    gone = CliRunner().invoke(main, ["cold-start", "--table", "--into", str(tmp_path / "none.csv")])
    assert gone.exit_code == 1 and "No such file" in gone.output
