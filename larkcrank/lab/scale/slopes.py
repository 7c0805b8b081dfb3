"""The slopes that runs left: one JSON file a series, so that runs never overwrite each other's."""

import os
from pathlib import Path
from typing import Literal

import msgspec

from larkcrank.lab.scale.fit import Points, fit_line

SLOPES_FOLDER = Path("docs/scale/slopes")
RUNS_FOLDER = Path("docs/scale/runs")


class SlopesError(Exception):
    """A file holds no slope; the message names it."""


class Slope(msgspec.Struct, kw_only=True):
    """One series: a cost by a size. The slope is in `unit` for one more of `by`."""

    title: str
    role: Literal["sidecar", "discovery", "view", "path", "tier"]
    cost: str  # such as "resident memory"
    unit: str  # of a point's figures
    by: str  # what the size counts
    points: list[tuple[float, list[float]]]  # size, one figure for each repeat
    slope: float
    low: float  # the slope's 95% interval
    high: float
    intercept: float
    residual: float  # standard deviation, in `unit`
    linear: bool  # False: not linear, go by the points
    shape: str  # line, quadratic or logarithm
    how: Literal["hollow", "real", "virtual"]
    command: str  # that measures it again
    run: str  # where the raw points, the machine and the text's commit stand
    note: str = ""  # what bounds it, or how far real processes are off


def fit_slope(
    points: Points,
    *,
    title: str,
    role: Literal["sidecar", "discovery", "view", "path", "tier"],
    cost: str,
    unit: str,
    by: str,
    how: Literal["hollow", "real", "virtual"],
    command: str,
    run: str,
    note: str = "",
) -> Slope:
    """The points with their fit. Raises `FitError`."""
    found = fit_line(points)
    return Slope(
        title=title,
        role=role,
        cost=cost,
        unit=unit,
        by=by,
        points=[(float(size), list(map(float, costs))) for size, costs in points],
        slope=found.slope,
        low=found.low,
        high=found.high,
        intercept=found.intercept,
        residual=found.residual,
        linear=found.linear,
        shape=found.shape,
        how=how,
        command=command,
        run=run,
        note=note,
    )


def write_slope(name: str, slope: Slope, folder: Path = SLOPES_FOLDER) -> Path:
    """Write `folder`/NAME.json in one step."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    write_json(path, slope)
    return path


def write_json(path: Path, value: object) -> None:
    """Indented JSON, whole or not at all."""
    path.parent.mkdir(parents=True, exist_ok=True)
    beside = path.with_suffix(".new")
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")
    os.replace(beside, path)


def read_slopes(folder: Path = SLOPES_FOLDER) -> dict[str, Slope]:
    """All series of a folder by name, in order. Raises `SlopesError`."""
    found = {}
    for path in sorted(folder.glob("*.json")):
        try:
            found[path.stem] = msgspec.json.decode(path.read_bytes(), type=Slope)
        except (OSError, msgspec.DecodeError) as error:
            raise SlopesError(f"{path}: {error}") from None
    return found
