"""The scale bench: counted slopes, hollow nodes on sockets, reports and the `scale` command."""

import asyncio
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from basalthoist.commands.cli import main as line
from basalthoist.decisions.balancer import Balancer
from basalthoist.experiments.loopback import own_address
from basalthoist.experiments.scale import counts, files, layers, parts, report, rows, sizes, slopes
from basalthoist.experiments.scale.bench import Bench, RunFailed
from basalthoist.experiments.scale.lateness import MAX_P99_MS, void_reason
from basalthoist.experiments.scale.rows import Row
from basalthoist.net.control import replica_socket

STORED_RESULTS = Path(__file__).parent.parent / "docs" / "experiments" / "scale"


def stored_slopes() -> dict:
    """Returns the slopes of the stored raw results, at the sizes that the tests count."""
    small = {*counts.NODES, *counts.SMALL}
    return slopes.slopes(
        [row for row in rows.rows_in(STORED_RESULTS) if row.layer == "counts" and row.x in small]
    )


def counted_slopes(only: str = "") -> dict:
    return slopes.slopes(counts.slopes_of(counts.NODES, counts.SMALL, only))


def test_counted_slopes_match_stored_results():
    found = counted_slopes()
    assert len(found) == len(counts.FIGURES) == 19
    assert slopes.deviations(found, stored_slopes()) == []


def double_list(monkeypatch) -> str:
    original = counts.list_text
    monkeypatch.setattr(counts, "list_text", lambda revision, members: original(revision, members * 2))
    return "list of discovery"


def extra_iteration_in_tick(monkeypatch) -> str:
    tick = Balancer.tick

    def tick_with_extra_iteration(node, now):
        sum(1 for _ in node.quotas.active)
        tick(node, now)

    monkeypatch.setattr(Balancer, "tick", tick_with_extra_iteration)
    return "active customers looked at in a round"


def extra_state_per_setting(monkeypatch) -> str:
    original_init = Balancer.__init__

    def init_with_copy(node, host, seed, settings, now):
        original_init(node, host, seed, settings, now)
        node.copy = [str(key) + "-" for key in settings]

    monkeypatch.setattr(Balancer, "__init__", init_with_copy)
    return "state of a node, by tenants"


def double_heartbeats(monkeypatch) -> str:
    send = counts.CountingHost.send

    def send_twice(host, name, message):
        send(host, name, message)
        send(host, name, message)

    monkeypatch.setattr(counts.CountingHost, "send", send_twice)
    return "author's bytes a beat"


@pytest.mark.parametrize(
    "defect", [double_list, extra_iteration_in_tick, extra_state_per_setting, double_heartbeats]
)
def test_worse_slope_is_reported(defect, monkeypatch):
    name = defect(monkeypatch)
    assert [text.split(":")[1] for text in slopes.deviations(counted_slopes(name), stored_slopes())] == [
        f" {name}"
    ]


async def run_hollow_nodes(folder: Path, nodes: int) -> tuple[dict, int]:
    """Runs a worker with `nodes` hollow nodes, voters included, for a second; returns its figures and pid."""
    async with Bench(folder) as bench:
        names = [f"n{number:05}" for number in range(nodes)]
        fleet = folder / "fleet.toml"
        fleet.write_text(files.fleet_file({name: own_address() for name in names}, names[:3], 0.1))
        members = [files.member(number) for number in range(12)]
        agent, discovery = await bench.agent(members)
        worker = await bench.worker()
        documents = [files.document(name, counts.FEW, discovery, nodes, 0, members) for name in names]
        orders = [{"file": str(files.write_document(folder, one)), "fleet": str(fleet)} for one in documents]
        await worker.ask("start", nodes=orders)
        for _ in range(100):
            if (await worker.ask("look"))["fresh"]:
                break
            await asyncio.sleep(0.1)
        before = await worker.ask("begin")
        await asyncio.sleep(1.0)
        found = await worker.ask("read", words=True)
        found["seconds"] = found["at"] - before["at"]
        found["agent"] = agent.lists, agent.list_bytes, len(agent.watches)
        return found, worker.process.pid


def test_hollow_nodes_on_sockets_match_counted_figures(tmp_path):
    nodes = 8
    found, pid = asyncio.run(run_hollow_nodes(tmp_path, nodes))
    assert found["least"] == {"count": nodes, "ready": True, "acting": 0, "there": nodes, "fresh": True}
    heartbeats = [entry for entry in found["words"]["heard"] if entry[2] == "Heartbeat"]
    replies = [entry for entry in found["words"]["heard"] if entry[2] == "HeartbeatReply"]
    assert {entry[0] for entry in heartbeats} == {f"n{n:05}" for n in range(nodes)} - {heartbeats[0][1]}
    message_count, size = (sum(entry[at] for entry in heartbeats) for at in (-2, -1))
    assert sum(entry[-2] for entry in replies) == pytest.approx(message_count, abs=2 * nodes)
    assert message_count / (nodes - 1) / found["seconds"] <= 10 * 1.2  # ten heartbeats a second
    assert size / message_count == pytest.approx(
        stored_slopes()["counts: author's bytes a beat"].slope, abs=8
    )
    members = [files.member(number) for number in range(12)]
    lists, list_bytes, watches = found["agent"]
    assert lists == watches == nodes
    assert list_bytes / nodes == pytest.approx(len(counts.list_text(1, members)), abs=50)
    assert (tmp_path / "n00000" / "succession.sock").exists()  # the handover socket is in the node's folder
    assert not Path(f"/proc/{pid}").exists()


def test_processes_end_after_failed_run(tmp_path):
    async def fails() -> list[int]:
        pids = []
        with pytest.raises(RunFailed):
            async with Bench(tmp_path) as bench:
                worker = await bench.worker()
                _, discovery = await bench.agent([])
                real = bench.real(files.document("n00000", counts.FEW, discovery, 1))
                await real.start("basalthoist")
                await real.ready()
                pids += [worker.process.pid, real.process.pid]
                await worker.ask("start", nodes=[{"file": str(tmp_path / "nowhere.json")}])
        return pids

    pids = asyncio.run(fails())
    assert len(pids) == 2 and not any(Path(f"/proc/{pid}").exists() for pid in pids)


def test_counting_leaves_messages_unchanged(monkeypatch):
    from basalthoist.experiments.scale import counting
    from basalthoist.fleet.wire import Envelope, HandshakeRequest, decode, encode

    monkeypatch.setattr(replica_socket, "encode", encode)
    monkeypatch.setattr(replica_socket, "decode", decode)
    counting.reset_counts()
    counting.install()
    envelope = Envelope("n1", 5, "n2", 6, HandshakeRequest(7))
    data = replica_socket.encode(b"key", envelope)
    assert data == encode(b"key", envelope) and replica_socket.decode(b"key", data) == envelope
    size = len(data)
    assert counting.message_counts() == {
        "sent": [["n1", "HandshakeRequest", 1, size]],
        "heard": [["n2", "n1", "HandshakeRequest", 1, size]],
    }
    counting.reset_counts()


# Slopes.


def of(points: list[tuple[float, float]], **more) -> slopes.Slope | None:
    return slopes.slope_of([Row("l", "f", x, y, "nodes", "ms", **more) for x, y in points])


def test_slope_has_interval_and_bend_is_detected():
    straight = of([(100, 12.0), (330, 35.1), (1000, 102.0), (3300, 331.9)])
    low, high = straight.between()
    assert low < 0.1 < high and high - low < 0.001 and not straight.bent()
    square = of([(x, x * x) for x in (100.0, 330.0, 1000.0, 3300.0)])
    assert square.bent() and square.bend > 2 and square.power == pytest.approx(2.0)
    assert of([(1, 1), (1, 2)]) is None


def test_rows_of_late_bench_are_void_and_left_out_of_slopes():
    assert void_reason(MAX_P99_MS) == "" and "late" in void_reason(MAX_P99_MS + 1)
    found = [Row("l", "f", x, x, "nodes", "ms") for x in (1, 2, 3)]
    found.append(Row("l", "f", 4, 1000.0, "nodes", "ms", void=void_reason(500)))
    assert slopes.slope_of(found).slope == pytest.approx(1.0)


# The parts of the added latency.


def test_parts_sum_up_and_exclude_blocked_time():
    ms = 1_000_000
    # In ms: the client sends at 0; the node reads at 2, holds the request from 4 to 7 and writes it at 9; the
    # backend answers at 20; the node reads the answer at 24; the client has it at 26.
    times_ms = [2, 3, 4, 7, 8, 9, 24, 24, 25]
    trace = {"exchanges": [[0 + 1, 20 * ms, "cold", 1, *(ms * at for at in times_ms)]],
             "rounds": [[21 * ms, 23 * ms]], "pauses": [[22 * ms, 22 * ms + ms // 2, 0]]}  # fmt: skip
    (split,) = parts.split_requests(trace, [[200, 1, 26 * ms]])
    assert split.whole == pytest.approx(sum(split.parts.values()))
    assert split.whole == pytest.approx(9 + 6, abs=0.001)  # without the 11 ms at the backend
    assert split.parts["held: cold"] == pytest.approx(3) and split.parts["held: in share"] == 0
    assert split.parts["the once-a-second round"] == pytest.approx(1.5)
    assert split.parts["collection of garbage"] == pytest.approx(0.5)
    assert split.parts["answer waiting to be read"] == pytest.approx(2)
    assert parts.split_requests(trace, [[503, 1, 26 * ms]]) == []


# The command.


def scale(*more: str):
    return CliRunner().invoke(line, ["scale", *more])


@pytest.mark.parametrize(
    "call, key",
    [
        (["--sizes", "100,x"], "--sizes"), (["--sizes", "330,100"], "--sizes"),
        (["--sizes", "100"], "--sizes"), (["--sizes", "100,20000"], "--sizes"),
        (["--shares", "1,200"], "--shares"),
        (["--shares", ""], "--shares"), (["--layers", "fleet,moon"], "--layers"),
        (["--report", "nowhere"], "--report"),
    ],
)  # fmt: skip
def test_bad_input_prints_one_line_naming_the_key(call, key, tmp_path):
    into = tmp_path / "into"
    done = scale(*call, "--into", str(into))
    assert done.exit_code == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and f" {key}" in done.stderr
    assert not into.exists()


def test_command_process_exits_with_2_on_bad_input(tmp_path):
    command = [sys.executable, "-m", "basalthoist", "scale", "--shares", "0", "--into", str(tmp_path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and done.stdout == "" and len(done.stderr.splitlines()) == 1


def test_faulty_raw_result_is_reported_with_file_and_line(tmp_path):
    (tmp_path / "fleet.jsonl").write_text('{"layer":"fleet"}\n')
    done = scale("--report", str(tmp_path))
    assert done.exit_code == 2 and "fleet.jsonl: line 1" in done.stderr
    assert len(done.stderr.splitlines()) == 1 and not (tmp_path / "table.md").exists()


def test_report_is_reproduced_from_raw_results(tmp_path):
    for path in STORED_RESULTS.glob("*.jsonl"):
        shutil.copy(path, tmp_path)
    report.write(tmp_path)
    for name in ("table.md", "ranking.md", "slopes.json"):
        assert (tmp_path / name).read_text() == (STORED_RESULTS / name).read_text(), name


def test_needs_without_mechanism_are_ranked_first():
    lines = (STORED_RESULTS / "ranking.md").read_text().splitlines()[4:]
    ways = [line.split(" | ")[4] for line in lines if line.startswith("| ")]
    count = ways.count("no mechanism")
    assert count and set(ways[:count]) == {"no mechanism"}


def test_layers_are_selected_by_name():
    assert [layer.NAME for layer in layers.layers(None)] == list(layers.MODULES)
    assert [layer.NAME for layer in layers.layers("path,counts")] == ["path", "counts"]
    asked = sizes.ask("100,330", None, True, Path("x"))
    assert asked.sizes == (100, 330) and asked.shares == sizes.QUICK_SHARES
    assert rows.Row("l", "f", 1, 1, "nodes", "ms").counted is False
