"""Reads and writes fitted slopes: one JSON file for each, so that runs don't overwrite each other's."""

import os
from pathlib import Path
from typing import Literal

import msgspec

from larkcrank.lab.scale.fit import Points, fit_line

SLOPES_FOLDER = Path("docs/scale/slopes")
RUNS_FOLDER = Path("docs/scale/runs")


class SlopesError(Exception):
    """A file holds no valid slope. The message names the file."""


class Slope(msgspec.Struct, kw_only=True):
    """A cost as a function of a size. The slope is in `unit` per additional unit of `by`."""

    title: str
    role: Literal["sidecar", "discovery", "view", "path", "tier"]
    cost: str  # such as "resident memory"
    unit: str  # of the costs in `points`
    by: str  # what the size counts, such as "endpoints listed"
    points: list[tuple[float, list[float]]]  # size, and the cost of each repeat
    slope: float
    low: float  # `low` and `high`: the slope's 95% interval
    high: float
    intercept: float
    residual: float  # standard deviation, in `unit`
    linear: bool  # False if a curve fits better: use the points, not the slope
    shape: str  # line, quadratic or logarithm
    how: Literal["hollow", "real", "virtual"]
    command: str  # that repeats the measurement
    run: str  # the file with the raw points, the machine and the source commit
    note: str = ""  # its limits, or the difference to real processes


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
    """Fits the points and returns them with the fit. Raises `FitError`."""
    line = fit_line(points)
    return Slope(
        title=title,
        role=role,
        cost=cost,
        unit=unit,
        by=by,
        points=[(float(size), list(map(float, costs))) for size, costs in points],
        slope=line.slope,
        low=line.low,
        high=line.high,
        intercept=line.intercept,
        residual=line.residual,
        linear=line.linear,
        shape=line.shape,
        how=how,
        command=command,
        run=run,
        note=note,
    )


def write_slope(name: str, slope: Slope, folder: Path = SLOPES_FOLDER) -> Path:
    """Writes `folder`/NAME.json atomically and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    write_json(path, slope)
    return path


def write_json(path: Path, value: object) -> None:
    """Writes indented JSON atomically, through a temporary file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_suffix(".new")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")
    os.replace(temporary, path)


def read_slopes(folder: Path = SLOPES_FOLDER) -> dict[str, Slope]:
    """Reads all slopes of a folder, by name and in the order of names. Raises `SlopesError`."""
    slopes = {}
    for path in sorted(folder.glob("*.json")):
        try:
            slopes[path.stem] = msgspec.json.decode(path.read_bytes(), type=Slope)
        except (OSError, msgspec.DecodeError) as error:
            raise SlopesError(f"{path}: {error}") from None
    return slopes
