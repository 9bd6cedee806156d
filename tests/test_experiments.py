"""Experiments and the command line: plans, resuming after an interruption, reports, loopback, `check`."""

import csv
import json
import os
import signal
import socket
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner
from helpers import DiscoveryStandIn, StandIn, document, member, own_address, reply, wait_for

from basalthoist.commands.cli import main
from basalthoist.commands.reference import page
from basalthoist.commands.toml import as_toml
from basalthoist.emulator.scenario import ScenarioError, decode
from basalthoist.experiments import running
from basalthoist.experiments.loopback import play
from basalthoist.experiments.plan import read, runs, scenario_for
from basalthoist.experiments.reporting import compare, write_report
from basalthoist.experiments.running import RunError, carry_out_all
from basalthoist.experiments.statistics import mean_of, paired

DAY = "length_s = 3\nwarmup_s = 0.5\nnodes = 2\n[load]\nrate = 80\n"
PLAN = "asks = 'Does more load cost more?'\nscenario = 'day.toml'\npolicies = ['node', 'random']\nseeds = 2\n"
SWEEP = "[sweep]\nkey = 'load.rate'\nvalues = [40, 200]\n"


@pytest.fixture
def plan(tmp_path):
    def write_plan(text=PLAN, day=DAY):
        (tmp_path / "day.toml").write_text(day)
        path = tmp_path / "plan.toml"
        path.write_text(text)
        return path

    return write_plan


def test_plan_runs_each_policy_value_and_seed(plan):
    found, text = read(plan(PLAN + SWEEP))
    assert len(runs(found)) == len({run.name() for run in runs(found)}) == 8
    assert scenario_for(found, text, 200).load.rate == 200


@pytest.mark.parametrize(
    ("text", "day", "expected"),
    [
        (PLAN.replace("random", "best"), DAY, "policies"), (PLAN + "seed = 3", DAY, "seed"),
        (PLAN, "nodes = 0", "$.nodes"), (PLAN + SWEEP.replace("rate", "speed"), DAY, "load.speed"),
        (PLAN + SWEEP.replace("40", "-1"), DAY, "sweep.values: -1"), ("asks = ", DAY, "not TOML"),
        (PLAN.replace("day.toml", "night.toml"), DAY, "night.toml"),
    ],
)  # fmt: skip
def test_faulty_plan_names_key_exits_with_2_and_writes_nothing(plan, tmp_path, text, day, expected):
    path = plan(text, day)
    result = CliRunner().invoke(main, ["experiment", str(path), "--into", str(tmp_path / "results")])
    assert result.exit_code == 2 and expected in result.output
    assert not (tmp_path / "results").exists()


def test_interrupted_experiment_keeps_finished_runs_and_resumes(plan, tmp_path, monkeypatch):
    found, text = read(plan())
    folder, log = tmp_path / "results", []
    assert carry_out_all(found, text, folder, 2, log.append) == 4
    finished_result = folder / "raw" / "node-1.json"
    before = finished_result.read_bytes()
    (folder / "raw" / "random-2.json").unlink()
    (folder / "raw" / "random-2.part").write_text("{")
    assert carry_out_all(found, text, folder, 2, log.append) == 1
    assert finished_result.read_bytes() == before


def test_results_of_other_plan_or_revision_are_refused(plan, tmp_path, monkeypatch):
    found, text = read(plan())
    carry_out_all(found, text, tmp_path / "results", 2, lambda line: None)
    other, _ = read(plan(PLAN.replace("seeds = 2", "seeds = 3")))
    with pytest.raises(RunError, match="another plan"):
        carry_out_all(other, text, tmp_path / "results", 2)
    monkeypatch.setattr(running, "revision", lambda: "elsewhere")
    with pytest.raises(RunError, match="revision"):
        carry_out_all(found, text, tmp_path / "results", 2)


def kill_own_process(*_):
    os.kill(os.getpid(), signal.SIGKILL)


def test_killed_worker_ends_experiment_with_cause_and_no_result(plan, tmp_path, monkeypatch):
    found, text = read(plan())
    monkeypatch.setattr(running, "carry_out", kill_own_process)
    with pytest.raises(RunError, match="BrokenProcessPool"):
        carry_out_all(found, text, tmp_path / "results", 1, lambda line: None)
    assert not list((tmp_path / "results" / "raw").glob("*.json"))


def test_full_disk_ends_experiment_with_cause(plan, tmp_path, monkeypatch):
    def full(*_):
        raise OSError(28, "No space left on device")

    found, text = read(plan())
    monkeypatch.setattr(running, "keep", full)
    with pytest.raises(RunError, match="No space left"):
        carry_out_all(found, text, tmp_path / "results", 1, lambda line: None)


def test_report_is_reproduced_from_raw_results(plan, tmp_path):
    found, text = read(plan(PLAN + SWEEP))
    folder = tmp_path / "results"
    carry_out_all(found, text, folder, 4, lambda line: None)
    write_report(folder)
    made = {name: (folder / name).read_bytes() for name in ("table.csv", "table.md")}
    for path in folder.glob("*.[cmps]*"):
        if path.name != "about.json":
            path.unlink()
    assert CliRunner().invoke(main, ["report", str(folder)]).exit_code == 0
    assert made == {name: (folder / name).read_bytes() for name in made}
    assert (folder / "chart.png").read_bytes()[:4] == b"\x89PNG"
    assert b"<svg" in (folder / "chart.svg").read_bytes()
    with (folder / "table.csv").open() as file:
        rows = list(csv.DictReader(file))
    raw = [json.loads((folder / "raw" / f"random-200-{seed}.json").read_text()) for seed in (1, 2)]
    mean = sum(one["figures"]["kept"] for one in raw) / 2
    [row] = [row for row in rows if row["policy"] == "random" and row["value"] == "200"]
    assert float(row["kept"]) == pytest.approx(mean, rel=1e-4)


@pytest.mark.parametrize("corrupted_file", ["about.json", "raw/node-1.json", None])
def test_invalid_results_folder_is_named(plan, tmp_path, corrupted_file):
    folder = tmp_path / "results"
    if corrupted_file:
        found, text = read(plan())
        carry_out_all(found, text, folder, 4, lambda line: None)
        (folder / corrupted_file).write_text("{")
    result = CliRunner().invoke(main, ["report", str(folder)])
    assert result.exit_code == 2 and str(folder) in result.output


def test_confidence_interval_and_paired_difference():
    mean = mean_of([1.0, 2.0, 3.0])
    assert mean.mean == 2.0 and mean.half == pytest.approx(4.303 / 3**0.5, rel=1e-3)  # t(0.975, 2) = 4.303
    first, second = {1: 0.5, 2: 0.9, 3: 0.7}, {1: 0.4, 2: 0.8, 3: 0.6, 4: 0.0}
    difference = paired(first, second)
    assert (difference.mean, difference.half) == (pytest.approx(0.1), pytest.approx(0, abs=1e-9))
    with pytest.raises(ValueError):
        paired({1: 0.0}, {2: 0.0})


def test_folder_compared_with_itself_shows_no_difference(plan, tmp_path):
    found, text = read(plan())
    carry_out_all(found, text, tmp_path / "a", 4, lambda line: None)
    assert all(mean.mean == 0.0 for _, _, mean in compare(tmp_path / "a", tmp_path / "a", "kept"))


def test_fleet_without_faults_on_loopback_agrees_with_emulator(tmp_path):
    """Processes on loopback may add some latency; apart from that, loopback and emulator must agree."""
    text = "length_s = 6\nnodes = 2\n[backends]\ncount = 4\n[load]\nrate = 40\n[[routes]]\nname = 'read'\n"
    text += "service_ms = 20\nspread = 0.3\nobjective_ms = 200\ntimeout_ms = 1000\n"
    day = decode(text.encode())
    from basalthoist.emulator.fleet import Fleet

    emulated, real = Fleet(day).run().report()["figures"], play(day, 4.0)
    assert real["ran_twice"] == 0 and real["figures"]["offered"] > 100
    assert real["figures"]["in_time"] > 0.9 and emulated["in_time"] > 0.99
    assert emulated["p50_ms"] * 0.7 < real["figures"]["p50_ms"] < emulated["p50_ms"] + 40


# Commands and configuration.


def test_toml_and_json_give_the_same_configuration(tmp_path):
    made = document("127.0.0.1:1", [member("s-0", "127.0.0.1:2")])
    for ending, text in (("json", json.dumps(made)), ("toml", as_toml(made))):
        path = tmp_path / f"node.{ending}"
        path.write_text(text)
        result = CliRunner().invoke(main, ["check", str(path)])
        assert result.exit_code == 0 and "3 routes, 1 backends" in result.output


@pytest.mark.parametrize(
    ("ending", "text"),
    [("toml", "seed = 5"), ("toml", "seed = "), ("json", '{"seed": 5}')],
)
def test_check_names_faulty_configuration_without_starting(tmp_path, ending, text):
    path = tmp_path / f"node.{ending}"
    path.write_text(text)
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2 and str(path) in result.output and len(result.output.splitlines()) == 1


def test_reference_page_matches_configuration_types():
    with open("docs/configuration.md") as file:
        assert file.read() == page()


def test_node_started_by_command_line_logs_json(tmp_path):
    backend = StandIn(reply())
    discovery = DiscoveryStandIn([member("s-0", backend)])
    path, listen = tmp_path / "node.toml", own_address()
    path.write_text(as_toml(document(discovery.address, listen=listen)))
    command = [sys.executable, "-m", "basalthoist", "serve", str(path), "--log", "json"]
    with (tmp_path / "log").open("w+b") as log, subprocess.Popen(command, stderr=log) as process:
        host, _, port = listen.partition(":")
        wait_for(lambda: connects(host, int(port)))
        process.terminate()
        assert process.wait(10) == 0
        log.seek(0)
        lines = [msgspec.json.decode(line) for line in log.read().splitlines()]
    assert {"listening on " + listen} <= {line["event"] for line in lines}
    assert all(line["node"] == "n0" and line["timestamp"] for line in lines)
    backend.close()
    discovery.close()


def connects(host, port):
    try:
        socket.create_connection((host, port), timeout=1).close()
        return True
    except OSError:
        return False


def test_node_imports_no_tool_libraries():
    code = "import sys, basalthoist.__main__; print(*sorted(sys.modules))"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    tools = {"click", "structlog", "matplotlib", "scipy", "hdrh", "basalthoist.emulator"}
    assert not tools & set(result.stdout.split())


def test_missing_plan_is_named():
    with pytest.raises(ScenarioError, match="nowhere.toml"):
        read("nowhere.toml")
