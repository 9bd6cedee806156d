"""One way to draw a chart, without a screen."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def chart(folder: Path, name: str, endings: tuple[str, ...] = ("svg",)) -> Iterator:
    """The axes to draw on; kept as `name` with each ending once that is done. Raises OSError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    yield axes
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    for ending in endings:
        metadata = {"Date": None} if ending == "svg" else None
        figure.savefig(folder / f"{name}.{ending}", dpi=110, metadata=metadata)
    pyplot.close(figure)
