"""What a series is told: one TOML file, read and checked here. A fault is named by file, key and value."""

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

from larkcrank.config.settings import SettingsError, convert
from larkcrank.lab.scale.fit import MIN_REPEATS, MIN_SIZES
from larkcrank.lab.scale.registry import MAX_LOGGED_CHANGES
from larkcrank.lab.settings import SETTINGS, merged

MAX_SIZE = 100_000
MAX_LISTED_ENDPOINTS = 20_000  # lines: the sidecar takes 4 MiB of a list


class SeriesError(Exception):
    """The series can't be measured; the message names file, key and value."""


class Series(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One size, and the costs that are measured by it. Times are seconds."""

    name: str  # of the files that the run leaves
    label: str = ""  # added to its slopes' names, where another file measures the same by other settings
    by: Literal["endpoints", "services", "members", "watchers"]  # what a size counts
    sizes: list[int]
    repeats: int = 3
    hollows: int = 4  # sidecars measured at once; by members and watchers: as many as the size says
    each: int = 4  # of them in a process
    real: int = 0  # real processes measured beside them ...
    real_sizes: list[int] = []  # ... at these sizes; left out: at all
    endpoints: int = 28  # listed, by members and watchers; of a service, by services
    settle: float = 1.0  # between the start and what is measured after it
    idle: float = 4.0  # that idle processor time is measured over
    changes: int = 10  # lone ones
    gap: float = 0.3  # between them
    burst: int = 0  # lines that change at once, where so many are listed; 0: none
    spread: float = 0.05  # over which the sidecars of a process start
    seed: int = 1
    settings: dict[str, Any] = {}  # merged into the bench's settings
    fleet: dict[str, Any] = {}  # each sidecar's `fleet`, by members; {own}, {seed0} to {seed2} as in `hollow`

    def listed_endpoints(self, size: int) -> int:
        """Lines of the list at this size."""
        return {"endpoints": size, "services": size * self.endpoints}.get(self.by, self.endpoints)

    def sidecar_count(self, size: int) -> int:
        """Hollow sidecars at this size."""
        return size if self.by in ("members", "watchers") else self.hollows


def load(path: Path) -> Series:
    """Read a file. Raises `SeriesError`."""
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Series)
        _check(found)
    except OSError as error:
        raise SeriesError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise SeriesError(f"{path}: {error}") from None
    return found


def _check(found: Series) -> None:
    for key, text in (("name", found.name), ("label", found.label or "none")):
        if not text or not all(char.isalnum() or char in "-_" for char in text):
            raise ValueError(f"{key}: {text!r} is no part of a file's name")
    if len(set(found.sizes)) < MIN_SIZES or len(set(found.sizes)) < len(found.sizes):
        raise ValueError(f"sizes: {found.sizes} are not {MIN_SIZES} different ones or more")
    for key, least, most in (
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
        value = getattr(found, key)
        if math.isnan(value) or not least <= value <= most:
            raise ValueError(f"{key}: {value} is not from {least} to {most}")
    for index, size in enumerate(found.sizes):
        if not 1 <= size <= MAX_SIZE:
            raise ValueError(f"sizes[{index}]: {size} is not from 1 to {MAX_SIZE}")
        if found.listed_endpoints(size) > MAX_LISTED_ENDPOINTS:
            raise ValueError(
                f"sizes[{index}]: {found.listed_endpoints(size)} lines are over {MAX_LISTED_ENDPOINTS}"
            )
    for index, size in enumerate(found.real_sizes):
        if size not in found.sizes:
            raise ValueError(f"real_sizes[{index}]: {size} is none of `sizes`")
    if found.by in ("members", "watchers") and found.real:
        raise ValueError(f"real: {found.real}: by {found.by} only hollow sidecars are measured")
    if (found.by == "members") != bool(found.fleet):
        raise ValueError("fleet: it is needed by members, and by nothing else")
    try:
        convert(merged(SETTINGS, found.settings))
    except SettingsError as error:
        raise ValueError(str(error)) from None
