"""Raw results: one line of JSON for each figure at each size, appended to those of earlier runs."""

import os
import time
from pathlib import Path

import msgspec

from .sizes import BadInput


class Row(msgspec.Struct, omit_defaults=True):
    layer: str
    figure: str
    x: float
    value: float
    of: str  # the quantity that x counts
    unit: str
    counted: bool = False  # messages, bytes, memory: the same on any machine; else timed
    void: str = ""
    run: str = ""
    more: dict = {}


def store(folder: Path, layer: str, rows: list[Row]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    run = f"{time.strftime('%Y-%m-%dT%H:%M:%S')}-{os.getpid()}"
    with (folder / f"{layer}.jsonl").open("ab") as file:
        for row in rows:
            row.run = row.run or run
            file.write(msgspec.json.encode(row) + b"\n")


def rows_in(folder: Path) -> list[Row]:
    """Returns all rows of a folder. Raises BadInput."""
    if not folder.is_dir():
        raise BadInput(f"--report: {folder}: no such folder")
    found, decode = [], msgspec.json.Decoder(Row).decode
    for path in sorted(folder.glob("*.jsonl")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                found.append(decode(line))
            except msgspec.DecodeError as error:
                raise BadInput(f"--report: {path}: line {number}: {error}") from None
    if not found:
        raise BadInput(f"--report: {folder}: no raw results (*.jsonl)")
    return found
