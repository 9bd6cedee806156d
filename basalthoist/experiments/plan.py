"""Plans of experiments: a TOML file with the question, and the list of runs that answers it."""

from pathlib import Path
from typing import Annotated

import msgspec

from basalthoist.emulator.baselines import POLICIES
from basalthoist.emulator.scenario import Scenario, ScenarioError, decode, text_of


class Sweep(msgspec.Struct, forbid_unknown_fields=True):
    """A key of the scenario, such as `load.rate`, and the values that it takes in turn."""

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
    """Returns the plan and the text of its scenario (path relative to the plan). Raises ScenarioError."""
    path = Path(path)
    plan = decode(text_of(path), str(path), Plan)
    plan.name = plan.name or path.stem
    for policy in plan.policies:
        if policy not in POLICIES:
            raise ScenarioError(f"{path}: policies: expected some of {', '.join(POLICIES)}, got {policy!r}")
    scenario_path = path.parent / plan.scenario
    text = text_of(scenario_path)
    for value in plan.sweep.values if plan.sweep else [None]:
        scenario_for(plan, text, value, str(scenario_path))  # fails on an invalid value before any run starts
    return plan, text


def scenario_for(plan: Plan, text: bytes, value, source: str = "scenario") -> Scenario:
    scenario = decode(text, source)
    if value is None:
        return scenario
    nested = msgspec.to_builtins(scenario)
    *path, last = plan.sweep.key.split(".")
    parent = nested
    for part in path:
        parent = (
            parent[int(part)]
            if isinstance(parent, list | tuple)
            else parent.get(part)
            if isinstance(parent, dict)
            else None
        )
        if parent is None:
            raise ScenarioError(f"sweep.key: {plan.sweep.key}: no such key")
    if not isinstance(parent, dict) or last not in parent:
        raise ScenarioError(f"sweep.key: {plan.sweep.key}: no such key")
    parent[last] = value
    try:
        return msgspec.convert(nested, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"sweep.values: {value}: {error}") from None


def runs(plan: Plan) -> list[Run]:
    values = plan.sweep.values if plan.sweep else [None]
    seeds = range(plan.first_seed, plan.first_seed + plan.seeds)
    return [Run(policy, seed, value) for value in values for policy in plan.policies for seed in seeds]
