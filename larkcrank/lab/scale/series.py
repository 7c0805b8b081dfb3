"""Reads and checks the TOML file that defines a measurement series. Errors name the file, key and value."""

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

from larkcrank.config.settings import SettingsError, convert
from larkcrank.lab.scale.fit import MIN_REPEATS, MIN_SIZES
from larkcrank.lab.scale.registry import MAX_LOGGED_CHANGES
from larkcrank.lab.settings import BASE_SETTINGS, merge_settings

MAX_SIZE = 100_000
MAX_LISTED_ENDPOINTS = 20_000  # the sidecar accepts lists of up to 4 MiB


class SeriesError(Exception):
    """The series can't be measured. The message names the file, key and value."""


class Series(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The sizes at which costs are measured, and how. All times are in seconds."""

    name: str  # of the files that the run writes
    label: str = ""  # added to the slopes' names if another series measures the same with other settings
    by: Literal["endpoints", "services", "members", "watchers"]  # what a size counts
    sizes: list[int]
    repeats: int = 3
    hollows: int = 4  # hollow sidecars measured at once; by members and watchers, the size is used instead
    each: int = 4  # hollow sidecars per process
    real: int = 0  # real sidecar processes measured for comparison ...
    real_sizes: list[int] = []  # ... at these sizes; empty: at all sizes
    endpoints: int = 28  # by members and watchers: listed endpoints; by services: endpoints per service
    settle: float = 1.0  # pause between the start and the measurements that follow
    idle: float = 4.0  # how long idle processor time is measured
    changes: int = 10  # number of single changes
    gap: float = 0.3  # pause after each single change
    burst: int = 0  # endpoints that change at once, if the list has that many; 0: no burst
    spread: float = 0.05  # period over which the sidecars of a process start
    seed: int = 1
    settings: dict[str, Any] = {}  # merged into the lab's default settings
    # By members: each sidecar's `fleet` configuration. {own} and {seed0} to {seed2} are replaced as in
    # `hollow.HostSpec.config`.
    fleet: dict[str, Any] = {}

    def listed_endpoints(self, size: int) -> int:
        """Number of endpoints on discovery's list at this size."""
        return {"endpoints": size, "services": size * self.endpoints}.get(self.by, self.endpoints)

    def sidecar_count(self, size: int) -> int:
        """Number of hollow sidecars at this size."""
        return size if self.by in ("members", "watchers") else self.hollows


def load(path: Path) -> Series:
    """Reads and checks a file. Raises `SeriesError`."""
    try:
        series = msgspec.toml.decode(path.read_bytes(), type=Series)
        _check(series)
    except OSError as error:
        raise SeriesError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise SeriesError(f"{path}: {error}") from None
    return series


def _check(series: Series) -> None:
    for key, text in (("name", series.name), ("label", series.label or "none")):
        if not text or not all(char.isalnum() or char in "-_" for char in text):
            raise ValueError(f"{key}: {text!r} can't be part of a file name")
    if len(set(series.sizes)) < MIN_SIZES or len(set(series.sizes)) < len(series.sizes):
        raise ValueError(f"sizes: {series.sizes} are not at least {MIN_SIZES} different sizes")
    for key, minimum, maximum in (
        ("repeats", MIN_REPEATS, 100),
        ("hollows", 1, 1000),
        ("each", 1, 1000),
        ("real", 0, 50),
        ("endpoints", 1, MAX_LISTED_ENDPOINTS),
        ("changes", 1, 1000),
        ("burst", 0, MAX_LOGGED_CHANGES),
        ("settle", 0.0, 600.0),
        ("idle", 0.1, 600.0),
        ("gap", 0.0, 60.0),
        ("spread", 0.0, 600.0),
    ):
        value = getattr(series, key)
        if math.isnan(value) or not minimum <= value <= maximum:
            raise ValueError(f"{key}: {value} is not from {minimum} to {maximum}")
    for index, size in enumerate(series.sizes):
        if not 1 <= size <= MAX_SIZE:
            raise ValueError(f"sizes[{index}]: {size} is not from 1 to {MAX_SIZE}")
        if series.listed_endpoints(size) > MAX_LISTED_ENDPOINTS:
            raise ValueError(
                f"sizes[{index}]: {series.listed_endpoints(size)} lines are over {MAX_LISTED_ENDPOINTS}"
            )
    for index, size in enumerate(series.real_sizes):
        if size not in series.sizes:
            raise ValueError(f"real_sizes[{index}]: {size} is not in `sizes`")
    if series.by in ("members", "watchers") and series.real:
        raise ValueError(f"real: {series.real}: by {series.by} only hollow sidecars are measured")
    if (series.by == "members") != bool(series.fleet):
        raise ValueError("fleet: it is needed if `by` is `members`, and not allowed otherwise")
    try:
        convert(merge_settings(BASE_SETTINGS, series.settings))
    except SettingsError as error:
        raise ValueError(str(error)) from None
