"""Runs timelines generated from seeds for a given time, and shrinks one with a violation."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import islice

import msgspec

from .rig import play
from .timeline import Timeline, generate_timeline

Check = Callable[[Timeline], list[str]]


def find_violations(timeline: Timeline) -> list[str]:
    return run_timeline(timeline)["broken"]


def run_timeline(timeline: Timeline) -> dict:
    """Returns the result of a timeline. A failure of the rig counts as a violation, to be reported."""
    try:
        return play(timeline)
    except (OSError, RuntimeError) as error:
        return {"broken": [f"rig failed: {error}"], "timeline": msgspec.to_builtins(timeline)}


def shrink(timeline: Timeline, find: Check, say: Callable[[str], None] = lambda line: None) -> Timeline:
    """Returns the shortest timeline found that still has a violation.

    Removes each event, machine and ban that is not needed for it, and halves the duration of the faults.
    """
    has_shrunk = True
    while has_shrunk:
        has_shrunk = False
        for key in ("events", "machines", "bans"):
            for number in range(len(getattr(timeline, key)) - 1, -1, -1):
                remaining = getattr(timeline, key)[:number] + getattr(timeline, key)[number + 1 :]
                candidate = msgspec.structs.replace(timeline, **{key: remaining})
                if find(candidate):
                    timeline, has_shrunk = candidate, True
                    say(f"violation remains without {key}[{number}]")
    for number, event in enumerate(timeline.events):
        shorter = msgspec.structs.replace(event, for_s=event.for_s / 2)
        events = [*timeline.events[:number], shorter, *timeline.events[number + 1 :]]
        candidate = msgspec.structs.replace(timeline, events=events)
        if find(candidate):
            timeline = candidate
    return timeline


def search(first: int, count: int, seconds: float, processes: int) -> Iterator[dict]:
    """Yields results in the order of their seeds. Starts no run after `seconds`."""
    until = time.monotonic() + seconds
    with ProcessPoolExecutor(processes) as pool:
        seeds = iter(range(first, first + count))
        waiting = [pool.submit(run_timeline, generate_timeline(seed)) for seed in islice(seeds, processes)]
        while waiting:
            yield waiting.pop(0).result()
            if time.monotonic() < until and (seed := next(seeds, None)) is not None:
                waiting.append(pool.submit(run_timeline, generate_timeline(seed)))
