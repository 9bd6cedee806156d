"""What an experiment asks, said beforehand in a TOML file, and its runs one by one."""

from pathlib import Path
from typing import Annotated

import msgspec

from basalthoist.emulator.baselines import POLICIES
from basalthoist.emulator.scenario import Scenario, ScenarioError, decode, text_of


class Sweep(msgspec.Struct, forbid_unknown_fields=True):
    """One key of the scenario takes several values in turn, such as `load.rate`."""

    key: str
    values: Annotated[list[float | int | str | bool], msgspec.Meta(min_length=1)]


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    asks: str
    scenario: str
    policies: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = ("node",)
    seeds: Annotated[int, msgspec.Meta(ge=1)] = 5
    first_seed: int = 1
    sweep: Sweep | None = None
    figure: str = "kept"
    name: str = ""


class Run(msgspec.Struct, frozen=True):
    policy: str
    seed: int
    value: float | int | str | bool | None

    def name(self) -> str:
        value = "" if self.value is None else f"-{self.value}"
        return f"{self.policy}{value}-{self.seed}".replace("/", "_")


def read(path: str | Path) -> tuple[Plan, bytes]:
    """The plan, and the text of the scenario that it names (a path from the plan's own folder)."""
    path = Path(path)
    plan = decode(text_of(path), str(path), Plan)
    plan.name = plan.name or path.stem
    for policy in plan.policies:
        if policy not in POLICIES:
            raise ScenarioError(f"{path}: policies: expected some of {', '.join(POLICIES)}, got {policy!r}")
    there = path.parent / plan.scenario
    text = text_of(there)
    for value in plan.sweep.values if plan.sweep else [None]:
        scenario_for(plan, text, value, str(there))  # each must be a scenario before any is run
    return plan, text


def scenario_for(plan: Plan, text: bytes, value, source: str = "scenario") -> Scenario:
    scenario = decode(text, source)
    if value is None:
        return scenario
    nested = msgspec.to_builtins(scenario)
    *path, last = plan.sweep.key.split(".")
    at = nested
    for part in path:
        at = at[int(part)] if isinstance(at, list | tuple) else at.get(part) if isinstance(at, dict) else None
        if at is None:
            raise ScenarioError(f"sweep.key: {plan.sweep.key}: no such key")
    if not isinstance(at, dict) or last not in at:
        raise ScenarioError(f"sweep.key: {plan.sweep.key}: no such key")
    at[last] = value
    try:
        return msgspec.convert(nested, Scenario)
    except msgspec.ValidationError as wrong:
        raise ScenarioError(f"sweep.values: {value}: {wrong}") from None


def runs(plan: Plan) -> list[Run]:
    values = plan.sweep.values if plan.sweep else [None]
    seeds = range(plan.first_seed, plan.first_seed + plan.seeds)
    return [Run(policy, seed, value) for value in values for policy in plan.policies for seed in seeds]
