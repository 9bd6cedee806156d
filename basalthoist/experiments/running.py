"""Carries the runs of a plan out in processes of their own and keeps what each gave."""

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
    """Why a run has no result. There is never a figure in its place."""


def revision() -> str:
    try:
        command = ["git", "describe", "--always", "--dirty"]
        said = subprocess.run(command, capture_output=True, text=True, timeout=5, cwd=Path(__file__).parent)
        return said.stdout.strip() or "unknown"
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
    """Whole or not at all: a run that was interrupted while it was written has no result."""
    path = folder / f"{run.name()}.json"
    unfinished = path.with_suffix(".part")
    unfinished.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    unfinished.replace(path)


def carry_out_all(plan: Plan, text: bytes, folder: Path, processes: int | None = None, said=print) -> int:
    """Goes on from what is already there. Returns how many runs were made now."""
    raw = folder / "raw"
    try:
        raw.mkdir(parents=True, exist_ok=True)
        plain = msgspec.json.decode(msgspec.json.encode(plan))
        about = {"plan": plain, "scenario": text.decode(), "revision": revision(), "machine": machine()}
        if (folder / "about.json").exists():
            before = msgspec.json.decode((folder / "about.json").read_bytes())
            if (before["plan"], before["scenario"]) != (about["plan"], about["scenario"]):
                raise RunError(f"{folder}: holds the results of another plan")
            if before["revision"] != about["revision"]:
                raise RunError(
                    f"{folder}: begun with revision {before['revision']}, this is {about['revision']}"
                )
        else:
            (folder / "about.json").write_bytes(msgspec.json.format(msgspec.json.encode(about), indent=1))
        todo = [run for run in runs(plan) if not (raw / f"{run.name()}.json").exists()]
        with ProcessPoolExecutor(processes or max((os.cpu_count() or 2) - 1, 1)) as pool:
            going = {pool.submit(carry_out, plan, text, run): run for run in todo}
            for number, done in enumerate(as_completed(going), 1):
                run = going[done]
                try:
                    result = done.result()
                except Exception as wrong:
                    pool.shutdown(cancel_futures=True, wait=False)
                    raise RunError(f"{run.name()}: {type(wrong).__name__}: {wrong}") from wrong
                keep(raw, run, result)
                said(f"{number}/{len(todo)} {run.name()}: {plan.figure} {result['figures'][plan.figure]:.4f}")
    except OSError as wrong:
        raise RunError(f"{folder}: {wrong.strerror or wrong}") from wrong
    return len(todo)


def results_of(folder: Path) -> tuple[dict, list[dict]]:
    try:
        about = msgspec.json.decode((folder / "about.json").read_bytes())
        found = [msgspec.json.decode(path.read_bytes()) for path in sorted((folder / "raw").glob("*.json"))]
    except OSError as wrong:
        raise RunError(f"{folder}: {wrong.strerror}: {wrong.filename}") from None
    except msgspec.DecodeError as wrong:
        raise RunError(f"{folder}: a result is not JSON: {wrong}") from None
    if not found:
        raise RunError(f"{folder}: no finished run")
    return about, found
