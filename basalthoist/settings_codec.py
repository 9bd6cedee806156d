"""Translates settings to a flat map with the keys and units of the decisions.

Used for the node's file and for the text protocol of the simulator. Unknown keys are passed on unchanged.
"""

from collections.abc import Iterator
from typing import Any

TOP_LEVEL_KEYS = {"accounts": "tenants", "siblings": "nodes"}
LOAD_REPORT_FIELDS = {"rif": "inflight", "q": "queue", "busy": "util"}
DURATION_KEYS = frozenset(  # in microseconds in the file and on the wire
    "latency_objective overall_timeout dedup_window connect_timeout keepalive max_retry_after ask_within"
    " drain_grace grace_to_answer overload_for warm_within tick".split()
)
MICROSECONDS_PER_TENTH = 100  # per tenth of a millisecond


def to_tenths_of_ms(micros: int) -> int:
    """Converts microseconds to tenths of a millisecond, rounded down, but a positive time to at least 1."""
    return max(1, micros // MICROSECONDS_PER_TENTH) if micros > 0 else 0


def parse_value(text: str) -> bool | int | float | str:
    """Parses a value of the simulator's text protocol."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def parse_pairs(pairs: list[str]) -> dict[str, Any]:
    """Returns the flat map of `path=value` texts. Raises ValueError if a duration is not a number."""
    settings = {}
    for pair in pairs:
        path, _, text = pair.partition("=")
        if path.rpartition(".")[2] == "fields":
            # "-" stands for no field.
            value: Any = [field for field in text.split(",") if field and field != "-"]
        else:
            value = parse_value(text)
        key, translated = translate(path, value)
        settings[key] = translated
    return settings


def flatten(nested: dict) -> dict[str, Any]:
    """Returns the flat map of nested objects.

    A list of objects becomes its length under .count and its items under .0, .1, ...

    Raises ValueError if a duration is not a number.
    """
    return dict(translate(path, value) for path, value in walk("", nested))


def walk(path: str, value: Any) -> Iterator[tuple[str, Any]]:  # noqa: ANN401 - as the file has it
    """Yields the paths and values below a path, in the order of the file."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from walk(f"{path}.{key}" if path else key, inner)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", len(value)
        for number, inner in enumerate(value):
            yield from walk(f"{path}.{number}", inner)
    else:
        yield path, value


def translate(path: str, value: Any) -> tuple[str, Any]:  # noqa: ANN401 - as the file has it
    """Returns the decisions' key and value. Raises ValueError if a duration is not a number."""
    parts = path.split(".")
    parts[0] = TOP_LEVEL_KEYS.get(parts[0], parts[0])
    last = parts[-1]
    if last in DURATION_KEYS and not isinstance(value, int | float):
        raise ValueError(f"{path}: expected microseconds, got {value!r}")
    if last == "fields":
        value = [LOAD_REPORT_FIELDS.get(field, field) for field in value]
    elif last in DURATION_KEYS:
        value = to_tenths_of_ms(int(value))
    return ".".join(parts), value
