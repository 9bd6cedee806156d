"""Draws charts into files; needs no display."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def chart(folder: Path, name: str, extensions: tuple[str, ...] = ("svg",)) -> Iterator:
    """Yields axes to draw on, then saves the chart as `name` with each extension. Raises OSError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    yield axes
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    for extension in extensions:
        metadata = {"Date": None} if extension == "svg" else None
        figure.savefig(folder / f"{name}.{extension}", dpi=110, metadata=metadata)
    pyplot.close(figure)
