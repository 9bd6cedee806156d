"""Looks for days that break a rule: faults combined at random from a seed, then shrunk to the least."""

from collections.abc import Callable
from random import Random

import msgspec

from .fleet import Fleet
from .scenario import Fault, Scenario

KINDS = ("kill", "freeze", "cut", "slow", "errors", "drain", "replace", "surge", "stale", "kill_nodes")


def draw(scenario: Scenario, rng: Random, most: int = 5) -> Scenario:
    """The same fleet and load on another day: two to `most` faults that may overlap."""
    faults = []
    for _ in range(rng.randint(2, max(most, 2))):
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


def broken(scenario: Scenario, make_policy: Callable) -> frozenset[str]:
    rules = Fleet(scenario, make_policy).run().ledger.verdict()
    return frozenset(rule for rule, times in rules.items() if times)


def shrink(scenario: Scenario, make_policy: Callable, rules: frozenset[str]) -> Scenario:
    """Leaves out faults, then shortens what is left, for as long as one of the rules still breaks."""

    def still(candidate: Scenario) -> bool:
        return bool(broken(candidate, make_policy) & rules)

    at = 0
    while at < len(scenario.faults):
        fewer = msgspec.structs.replace(scenario, faults=scenario.faults[:at] + scenario.faults[at + 1 :])
        if still(fewer):
            scenario = fewer
        else:
            at += 1
    for at, fault in enumerate(scenario.faults):
        while fault.for_s > 0.5:
            fault = msgspec.structs.replace(fault, for_s=round(fault.for_s / 2, 2))
            shorter = msgspec.structs.replace(
                scenario, faults=(*scenario.faults[:at], fault, *scenario.faults[at + 1 :]),
            )  # fmt: skip
            if not still(shorter):
                break
            scenario = shorter
    return scenario


def search(scenario: Scenario, make_policy: Callable, days: int, seed: int, said=lambda line: None):
    """Yields each day found, shrunk, with the rules that it breaks."""
    rng = Random(seed)
    for number in range(days):
        day = draw(scenario, rng)
        rules = broken(day, make_policy)
        said(f"day {number}: {', '.join(sorted(rules)) or 'rules kept'}")
        if rules:
            yield shrink(day, make_policy, rules), rules
