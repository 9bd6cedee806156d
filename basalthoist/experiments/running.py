"""Executes the runs of a plan in a process pool and stores the result of each run."""

import os
import platform
import subprocess
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import msgspec

from basalthoist.emulator.baselines import POLICIES
from basalthoist.emulator.fleet import Fleet

from .plan import Plan, Run, runs, scenario_for


class RunError(Exception):
    """A run has no result, for the reason given. No figure is reported in its place."""


def revision() -> str:
    try:
        command = ["git", "describe", "--always", "--dirty"]
        finished = subprocess.run(
            command, capture_output=True, text=True, timeout=5, cwd=Path(__file__).parent
        )
        return finished.stdout.strip() or "unknown"
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def machine() -> str:
    return f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"


def carry_out(plan: Plan, text: bytes, run: Run) -> dict:
    scenario = scenario_for(plan, text, run.value)
    before = time.process_time()
    report = Fleet(scenario, POLICIES[run.policy], run.seed).run().report()
    return report | {
        "policy": run.policy,
        "value": run.value,
        "cpu_s": round(time.process_time() - before, 3),
    }


def keep(folder: Path, run: Run, result: dict) -> None:
    """Stores the result atomically, so that an interrupted write leaves no partial result."""
    path = folder / f"{run.name()}.json"
    unfinished = path.with_suffix(".part")
    unfinished.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    unfinished.replace(path)


def carry_out_all(plan: Plan, text: bytes, folder: Path, processes: int | None = None, log=print) -> int:
    """Executes the runs that have no stored result yet and returns their number. Raises RunError."""
    raw = folder / "raw"
    try:
        raw.mkdir(parents=True, exist_ok=True)
        plain = msgspec.json.decode(msgspec.json.encode(plan))
        about = {"plan": plain, "scenario": text.decode(), "revision": revision(), "machine": machine()}
        if (folder / "about.json").exists():
            before = msgspec.json.decode((folder / "about.json").read_bytes())
            if (before["plan"], before["scenario"]) != (about["plan"], about["scenario"]):
                raise RunError(f"{folder}: holds the results of another plan or scenario")
            if before["revision"] != about["revision"]:
                raise RunError(
                    f"{folder}: started with revision {before['revision']}, this is {about['revision']}"
                )
        else:
            (folder / "about.json").write_bytes(msgspec.json.format(msgspec.json.encode(about), indent=1))
        to_run = [run for run in runs(plan) if not (raw / f"{run.name()}.json").exists()]
        with ProcessPoolExecutor(processes or max((os.cpu_count() or 2) - 1, 1)) as pool:
            futures = {pool.submit(carry_out, plan, text, run): run for run in to_run}
            for number, future in enumerate(as_completed(futures), 1):
                run = futures[future]
                try:
                    result = future.result()
                except Exception as error:
                    pool.shutdown(cancel_futures=True, wait=False)
                    raise RunError(f"{run.name()}: {type(error).__name__}: {error}") from error
                keep(raw, run, result)
                log(
                    f"{number}/{len(to_run)} {run.name()}: {plan.figure} {result['figures'][plan.figure]:.4f}"
                )
    except OSError as error:
        raise RunError(f"{folder}: {error.strerror or error}") from error
    return len(to_run)


def results_of(folder: Path) -> tuple[dict, list[dict]]:
    try:
        about = msgspec.json.decode((folder / "about.json").read_bytes())
        results = [msgspec.json.decode(path.read_bytes()) for path in sorted((folder / "raw").glob("*.json"))]
    except OSError as error:
        raise RunError(f"{folder}: {error.strerror}: {error.filename}") from None
    except msgspec.DecodeError as error:
        raise RunError(f"{folder}: a result is not JSON: {error}") from None
    if not results:
        raise RunError(f"{folder}: no finished run")
    return about, results
