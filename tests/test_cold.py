"""Tests that the combined load of all nodes does not overload a cold backend at any time of its warm-up."""

import asyncio

import pytest
from click.testing import CliRunner

from basalthoist.commands.cli import main
from basalthoist.decisions.balancer import Balancer
from basalthoist.emulator import ramp
from basalthoist.emulator.ramp import LOAD_KNOWLEDGE, Arrival, Case, Ramp, Worst, find_worst, play
from basalthoist.emulator.scenario import Backends
from basalthoist.experiments import cold_start
from basalthoist.experiments.cold_start import TIGHT, Loopback

SECOND = 10_000
# N is 10 at the start for a backend that serves 20 requests per second when warm, and grows with warm-up.
TERMS = Backends(cold_from=0.25, warm_s=4.0, fall_multiple=2.0, fall_s=1.0)


def arrivals(*at_s, informed=True, work=1.0):
    return [Arrival(int(at * SECOND), work, informed) for at in at_s]


def worst_of(found, **more):
    return find_worst(found, 0, TERMS, 20.0, **more)


def test_work_within_window_is_compared_with_n_at_that_time():
    worst = worst_of(arrivals(*[0.0] * 12))
    assert worst == Worst(12.0, 10.0, 0.0) and worst.tolerance == pytest.approx(8.32, abs=0.01)
    assert worst.excess == 2.0 and worst.part == pytest.approx(12 / 18.32, abs=0.001)
    assert worst_of(arrivals(*[2.0] * 12)).allowed == 25.0
    assert worst_of(arrivals(0.0, 0.5, 0.99)).sent == 3.0
    # One second later the first three have left the window.
    assert worst_of(arrivals(*[0.0] * 3, *[1.0] * 4)).sent == 3.0
    assert worst_of(arrivals(*[0.0] * 12, work=2.0)).sent == 24.0


def test_arrivals_after_warm_up_are_ignored():
    assert worst_of(arrivals(*[4.0] * 500)) == Worst(0.0, 10.0)


def test_overload_excused_unless_two_thirds_come_from_informed_nodes():
    both = arrivals(*[0.1] * 20) + arrivals(*[0.0] * 10, informed=False)
    assert worst_of(both).sent < 30.0 and worst_of(both, include_excused=True).sent == 30.0
    assert worst_of(both + arrivals(0.2)).sent == 31.0  # now over two thirds from informed nodes


class IgnoresSlowStart(Balancer):
    """Sends to cold backends as to warm ones."""

    def build_rules(self, host):
        super().build_rules(host)
        assert callable(self.slow_start.allows)
        self.slow_start.allows = lambda backend, now: True


def test_nodes_without_slow_start_overload_cold_backend():
    case = Case(**TIGHT, nodes=20, out=0.5, burst=3.0)
    assert Ramp(case, 1, IgnoresSlowStart).run().worst().part > 1.0


HARD_CASES = [(1, "once"), (5, "late"), (20, "half"), (30, "half_warm"), (30, "once")]


@pytest.mark.parametrize("knowledge", LOAD_KNOWLEDGE)
@pytest.mark.parametrize("nodes, lists", HARD_CASES)
def test_all_nodes_together_do_not_overload_cold_backend(nodes, lists, knowledge):
    case = Case(**TIGHT, nodes=nodes, knowledge=knowledge, lists=lists, burst=3.0, out=0.5)
    played = play(case, 1)
    assert played.worst().part < 1.0 and played.worst(True).sent > 0.0, played.worst()


@pytest.mark.parametrize("nodes, seed", [(30, 3), (200, 1)])
def test_cold_backend_that_fails_immediately_is_not_overloaded(nodes, seed):
    worst = play(Case(**TIGHT, nodes=nodes, knowledge="probes", errors=True), seed).worst()
    assert worst.part < 1.0, worst


def test_real_processes_do_not_overload_cold_backend(tmp_path):
    case = Case(**TIGHT, nodes=10, knowledge="probes", warm_s=2.5, burst_s=1.0)
    counted, all_counted, requests, _ = asyncio.run(Loopback(case, 1, tmp_path, start_s=2.0).play())
    assert requests >= 1 and counted.part < 1.0 and all_counted.part < 1.0, (counted, all_counted, requests)


def test_table_can_be_rebuilt_from_raw_results(tmp_path, monkeypatch):
    path = tmp_path / "raw.csv"
    monkeypatch.setattr(cold_start, "NODES", (2,))
    monkeypatch.setattr(cold_start, "LOAD_KNOWLEDGE", ("neither",))
    monkeypatch.setattr(cold_start, "KINDS", {"plain": {}})
    monkeypatch.setattr(ramp, "START_S", 2.0)
    first = CliRunner().invoke(main, ["cold-start", "--seeds", "1", "--processes", "2", "--into", str(path)])
    assert first.exit_code == 0, first.output
    again = CliRunner().invoke(main, ["cold-start", "--table", "--into", str(path)])
    assert again.exit_code == 0 and again.output in first.output and "| 2 | 4 |" in again.output
    missing = CliRunner().invoke(main, ["cold-start", "--table", "--into", str(tmp_path / "none.csv")])
    assert missing.exit_code == 1 and "No such file" in missing.output
