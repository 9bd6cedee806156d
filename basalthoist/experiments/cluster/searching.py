"""Draws timelines from seeds until the time is up; one that breaks a promise is shrunk to its least."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import islice

import msgspec

from .rig import play
from .timeline import Timeline, drawn

Judge = Callable[[Timeline], list[str]]


def find_violations(told: Timeline) -> list[str]:
    return outcome(told)["broken"]


def outcome(told: Timeline) -> dict:
    """What came of it. A rig that fails counts as broken, or what it fails by would never be found."""
    try:
        return play(told)
    except (OSError, RuntimeError) as wrong:
        return {"broken": [f"the rig: {wrong}"], "timeline": msgspec.to_builtins(told)}


def least(told: Timeline, breaks: Judge, say: Callable[[str], None] = lambda line: None) -> Timeline:
    """The timeline without whatever it breaks without, and with faults half as long where that does."""
    going = True
    while going:
        going = False
        for key in ("events", "machines", "bans"):
            for number in range(len(getattr(told, key)) - 1, -1, -1):
                rest = getattr(told, key)[:number] + getattr(told, key)[number + 1 :]
                fewer = msgspec.structs.replace(told, **{key: rest})
                if breaks(fewer):
                    told, going = fewer, True
                    say(f"breaks without {key}[{number}] too")
    for number, event in enumerate(told.events):
        shorter = msgspec.structs.replace(event, for_s=event.for_s / 2)
        events = [*told.events[:number], shorter, *told.events[number + 1 :]]
        fewer = msgspec.structs.replace(told, events=events)
        if breaks(fewer):
            told = fewer
    return told


def search(first: int, count: int, seconds: float, processes: int) -> Iterator[dict]:
    """Results in the order of their seeds; none is begun after `seconds`."""
    until = time.monotonic() + seconds
    with ProcessPoolExecutor(processes) as pool:
        seeds = iter(range(first, first + count))
        waiting = [pool.submit(outcome, drawn(seed)) for seed in islice(seeds, processes)]
        while waiting:
            yield waiting.pop(0).result()
            if time.monotonic() < until and (seed := next(seeds, None)) is not None:
                waiting.append(pool.submit(outcome, drawn(seed)))
