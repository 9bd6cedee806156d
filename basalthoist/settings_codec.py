"""Settings as a flat map with the decisions' keys and units: the one place that translates them.

The same for the node's file and for the simulation bench's wire. Keys that are not known pass as they are.
"""

from collections.abc import Iterator
from typing import Any

TOP_LEVEL_KEYS = {"accounts": "tenants", "siblings": "nodes"}
LOAD_REPORT_FIELDS = {"rif": "inflight", "q": "queue", "busy": "util"}
DURATION_KEYS = frozenset(  # in microseconds where they come from
    "latency_objective overall_timeout dedup_window connect_timeout keepalive max_retry_after ask_within"
    " drain_grace grace_to_answer overload_for warm_within tick".split()
)
MICROSECONDS_PER_TENTH = 100  # microseconds in a tenth of a millisecond


def tenths(micros: int) -> int:
    """Microseconds to tenths of a millisecond: early rather than late, never from something to nothing."""
    return max(1, micros // MICROSECONDS_PER_TENTH) if micros > 0 else 0


def parse_value(text: str) -> bool | int | float | str:
    """The value that a text on the bench's wire stands for."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def parse_pairs(pairs: list[str]) -> dict[str, Any]:
    """The flat map of `path=value` texts. Raises ValueError for a time that is no number."""
    settings = {}
    for pair in pairs:
        path, _, text = pair.partition("=")
        if path.rpartition(".")[2] == "fields":
            value: Any = [field for field in text.split(",") if field and field != "-"]
        else:
            value = parse_value(text)
        key, translated = translate(path, value)
        settings[key] = translated
    return settings


def flatten(nested: dict) -> dict[str, Any]:
    """The flat map of nested objects: of a list of objects, its length in .count and its items in .0, .1, ...

    Raises ValueError for a time that is no number.
    """
    return dict(translate(path, value) for path, value in walk("", nested))


def walk(path: str, value: Any) -> Iterator[tuple[str, Any]]:  # noqa: ANN401 - as the file has it
    """The paths and values below a path, in the file's order."""
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
    """The decisions' key and value. Raises ValueError for a time that is no number."""
    parts = path.split(".")
    parts[0] = TOP_LEVEL_KEYS.get(parts[0], parts[0])
    last = parts[-1]
    if last in DURATION_KEYS and not isinstance(value, int | float):
        raise ValueError(f"{path}: expected microseconds, got {value!r}")
    if last == "fields":
        value = [LOAD_REPORT_FIELDS.get(field, field) for field in value]
    elif last in DURATION_KEYS:
        value = tenths(int(value))
    return ".".join(parts), value
