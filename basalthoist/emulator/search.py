"""Searches for scenarios that break a rule: draws random faults from a seed, then shrinks each finding."""

from collections.abc import Callable
from random import Random

import msgspec

from .fleet import Fleet
from .scenario import Fault, Scenario

KINDS = ("kill", "freeze", "cut", "slow", "errors", "drain", "replace", "surge", "stale", "kill_nodes")


def draw(scenario: Scenario, rng: Random, max_faults: int = 5) -> Scenario:
    """Returns the scenario with another seed and two to `max_faults` random faults, which may overlap."""
    faults = []
    for _ in range(rng.randint(2, max(max_faults, 2))):
        kind = rng.choice(KINDS)
        faults.append(Fault(
            kind=kind, at_s=round(rng.uniform(0.1, 0.7) * scenario.length_s, 1),
            for_s=round(rng.uniform(0.5, 0.3 * scenario.length_s), 1),
            part=round(rng.uniform(0.1, 0.9), 2),
            location=rng.choice([None, rng.randrange(scenario.locations)]),
            factor=round(rng.uniform(1.2, 6.0), 1),
        ))  # fmt: skip
    faults.sort(key=lambda fault: fault.at_s)
    return msgspec.structs.replace(scenario, faults=tuple(faults), seed=rng.getrandbits(31))


def broken_rules(scenario: Scenario, make_policy: Callable) -> frozenset[str]:
    rules = Fleet(scenario, make_policy).run().rule_checker.violation_counts()
    return frozenset(rule for rule, count in rules.items() if count)


def shrink(scenario: Scenario, make_policy: Callable, rules: frozenset[str]) -> Scenario:
    """Removes faults, then shortens the remaining ones, while the scenario still breaks one of `rules`.

    Returns the smallest scenario found.
    """

    def still_breaks(candidate: Scenario) -> bool:
        return bool(broken_rules(candidate, make_policy) & rules)

    index = 0
    while index < len(scenario.faults):
        fewer = msgspec.structs.replace(
            scenario, faults=scenario.faults[:index] + scenario.faults[index + 1 :]
        )
        if still_breaks(fewer):
            scenario = fewer
        else:
            index += 1
    for index, fault in enumerate(scenario.faults):
        while fault.for_s > 0.5:
            fault = msgspec.structs.replace(fault, for_s=round(fault.for_s / 2, 2))
            shorter = msgspec.structs.replace(
                scenario, faults=(*scenario.faults[:index], fault, *scenario.faults[index + 1 :]),
            )  # fmt: skip
            if not still_breaks(shorter):
                break
            scenario = shorter
    return scenario


def search(scenario: Scenario, make_policy: Callable, days: int, seed: int, report=lambda line: None):
    """Draws `days` scenarios; yields each that breaks rules, shrunk, with the rules it broke before that."""
    rng = Random(seed)
    for number in range(days):
        candidate = draw(scenario, rng)
        rules = broken_rules(candidate, make_policy)
        report(f"day {number}: {', '.join(sorted(rules)) or 'rules kept'}")
        if rules:
            yield shrink(candidate, make_policy, rules), rules
