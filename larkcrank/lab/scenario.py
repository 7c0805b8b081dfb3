"""What a run of the fleet bench is told: one TOML file, read and checked here and nowhere else.

Times are seconds from the start of the load, durations too unless a name ends in `_ms`. Every fault is named
by file, key and value before anything is started.
"""

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

LINK_WORDS = ("cut", "refuse", "slow", "lose", "duplicate", "reorder", "narrow")
PROCESS_WORDS = ("kill", "stop", "continue", "end", "restart")
ENDPOINT_WORDS = ("silence", "crowd", "drain", "replace")
DISCOVERY_WORDS = ("hush", "deny", "drag", "lag", "hide", "empty", "anew")
WORDS = LINK_WORDS + PROCESS_WORDS + ENDPOINT_WORDS + DISCOVERY_WORDS
KINDS = ("sidecars", "endpoints", "discovery")
_NEEDS = {  # what a word takes besides whom it names, and whether it can be left out
    "slow": ("delay_ms",),
    "lose": ("share",),
    "duplicate": ("share",),
    "reorder": ("share",),
    "narrow": ("bytes_per_s",),
    "crowd": ("times",),
    "drag": ("work_ms",),
    "lag": ("by",),
}


class ScenarioError(Exception):
    """The scenario can't be played; the message names file, key and value."""


class _Strict(msgspec.Struct, forbid_unknown_fields=True):
    """A key that is not known is a fault of the file."""


class Own(_Strict):
    """What some processes have of their own."""

    who: list[str]
    config: dict[str, Any] = {}  # merged last; its texts as the fleet's
    command: list[str] = []


class Fleet(_Strict):
    processes: int
    command: list[str] = []  # what is started as each process; left out: this program
    at_first: int = 0  # so many run from the start, the others once they are restarted; 0: all
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])  # members take them in turn
    datagrams: bool = False  # whether each member has an address for datagrams; see `config`
    # Merged into each process's configuration. In its texts {i} is the member's number, {own} where it binds
    # its socket for datagrams, {public} where others reach it, {all} the public addresses, with commas,
    # {files} what the names of files that it keeps begin with,
    # {seed0} to {seed2} those of the first three.
    config: dict[str, Any] = {}
    settings: dict[str, Any] = {}  # merged into its settings
    own: list[Own] = []


class Endpoints(_Strict):
    count: int
    shared: bool = False  # one address for all processes: one link, so no faults between some of them
    workers: int = 4  # requests worked on at once
    service_ms: float = 30.0  # mean work
    spread: Literal["fixed", "exponential"] = "fixed"
    queue: int = 64  # requests that wait at most; the next is declined
    connections: int = 256  # the next is closed at once
    handshake_ms: float = 0.0  # further work of the first request on a connection
    cold_from: float = 1.0  # share of its capacity at its start
    warm_after_ms: float = 0.0
    fall_multiple: float = math.inf  # sent so many times what it can do, for `fall_ms`, a cold one falls over
    fall_ms: float = 2000.0


class DiscoveryPart(_Strict):
    work_ms: float = 50.0  # calls for the whole list are worked off one after another
    known: bool = True  # whether processes start with a list


class Load(_Strict):
    rate: float  # requests a second that a process's clients mean to ask
    classes: dict[str, float]  # name: share
    subjects: int = 0  # different `item`s; 0: requests name none
    heavy_one_in: int = 0  # one process in so many, from the first on ...
    heavy_times: float = 1.0  # ... has clients that ask so many times as much
    repeats: int = 0  # times that a client comes back after a refusal
    patience: float = 1.0  # share of the class's deadline that a client waits


class FaultLine(_Strict):
    at: float
    what: str
    who: list[str] = []  # whom it befalls
    between: list[
        list[str]
    ] = []  # two groups: the ways between them; hide: sidecars, and what they don't hear of
    one_way: bool = False
    last: float = math.inf  # seconds until it is over
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    share: float = 0.0
    bytes_per_s: float = 0.0
    times: float = 0.0
    work_ms: float = 0.0
    by: float = 0.0
    keeps: Literal["list", "files", "nothing"] = "list"  # a list in its configuration and files; files
    address: Literal["same", "new"] = "same"
    spread: float = 0.0  # seconds over which those named follow each other


class Settle(_Strict):
    """Until all of these say so, by an operators' call or, where one is named, by a counter."""

    at: float
    who: list[str] = msgspec.field(default_factory=lambda: ["sidecars"])
    call: str = "PING"
    answer: str = "200"  # what its answer begins with
    alike: int = 0  # the first so many words of the answer have to be the same from all
    counter: str = ""
    least: int = 1  # of the counter
    within: float = 60.0


class Window(_Strict):
    """A span whose served share is told, and may have to reach something."""

    name: str
    since: float
    to: float
    who: list[str] = msgspec.field(default_factory=lambda: ["sidecars"])
    at_least: float = 0.0


class Scenario(_Strict):
    name: str
    seconds: float
    fleet: Fleet
    endpoints: Endpoints
    load: Load
    seed: int = 1
    discovery: DiscoveryPart = msgspec.field(default_factory=DiscoveryPart)
    faults: list[FaultLine] = []
    settles: list[Settle] = []
    windows: list[Window] = []
    grace_ms: float = 2000.0  # after a drain is told, the last new request
    slack_ms: float = 300.0  # of the machine that plays it, on top of each rule's time


def members(groups: list[str], scenario: Scenario) -> dict[str, set[int]]:
    """The members that these names mean, by kind. Raises ValueError with the name that means nobody.

    A name is `sidecars`, `endpoints` or `discovery`, or one of the first two with `:` and a list of numbers,
    ranges (`2-5`, both ends in), `even`, `odd` or, for sidecars, `zone=NAME`.
    """
    found: dict[str, set[int]] = {kind: set() for kind in KINDS}
    for group in groups:
        kind, colon, text = group.partition(":")
        if kind not in KINDS or (colon and (not text or kind == "discovery")):
            raise ValueError(f"{group!r} is no group; known are {', '.join(KINDS)}")
        count = {"sidecars": scenario.fleet.processes, "endpoints": scenario.endpoints.count}.get(kind, 1)
        named = set(range(count)) if not colon else set[int]()
        for part in text.split(",") if colon else ():
            named |= _part(group, part.strip(), count, scenario.fleet.zones if kind == "sidecars" else [])
        if not named:
            raise ValueError(f"{group!r} names nobody")
        found[kind] |= named
    return found


def _part(group: str, part: str, count: int, zones: list[str]) -> set[int]:
    everyone = range(count)
    if part in ("even", "odd"):
        return set(everyone[part == "odd" :: 2])
    if part.startswith("zone="):
        if part[5:] not in zones:
            raise ValueError(f"{group!r}: no zone {part[5:]!r}")
        return {index for index in everyone if zones[index % len(zones)] == part[5:]}
    first, dash, last = part.partition("-")
    if not first.isdecimal() or (dash and not last.isdecimal()):
        raise ValueError(f"{group!r}: {part!r} is no number, range, even, odd or zone=")
    named = set(range(int(first), int(last if dash else first) + 1))
    if not named or not named <= set(everyone):
        raise ValueError(f"{group!r} names some who are not there: there are {count}")
    return named


def load(path: Path, seed: int | None = None) -> Scenario:
    """Read a file; `seed` outranks its own. Raises `ScenarioError`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    try:
        found = msgspec.toml.decode(text, type=Scenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    try:
        _check(found)
    except ValueError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return found if seed is None else msgspec.structs.replace(found, seed=seed)


def _check(found: Scenario) -> None:
    _least("seconds", found.seconds, 0.1)
    _least("fleet.processes", found.fleet.processes, 1)
    _least("fleet.at_first", found.fleet.at_first, 0)
    if found.fleet.at_first > found.fleet.processes:
        raise ValueError(f"fleet.at_first: {found.fleet.at_first} is over {found.fleet.processes} processes")
    for index, own in enumerate(found.fleet.own):
        _group(f"fleet.own[{index}].who", own.who, found, ("sidecars",))
    _least("fleet.zones", len(found.fleet.zones), 1)
    _least("grace_ms", found.grace_ms, 0.0)
    _least("slack_ms", found.slack_ms, 0.0)
    for key in ("count", "workers", "connections"):
        _least(f"endpoints.{key}", getattr(found.endpoints, key), 1)
    for key in ("service_ms", "queue", "handshake_ms", "cold_from", "warm_after_ms", "fall_ms"):
        _least(f"endpoints.{key}", getattr(found.endpoints, key), 0.0)
    if not 0.0 < found.endpoints.cold_from <= 1.0:
        raise ValueError(f"endpoints.cold_from: {found.endpoints.cold_from} is no share above 0")
    _least("discovery.work_ms", found.discovery.work_ms, 0.0)
    _least("load.rate", found.load.rate, 0.0)
    _least("load.subjects", found.load.subjects, 0)
    _least("load.repeats", found.load.repeats, 0)
    _least("load.heavy_one_in", found.load.heavy_one_in, 0)
    _least("load.heavy_times", found.load.heavy_times, 0.0)
    for name, share in found.load.classes.items():
        _least(f"load.classes.{name}", share, 0.0)
    if not sum(found.load.classes.values()) > 0.0:
        raise ValueError("load.classes: no class has a share")
    for index, fault in enumerate(found.faults):
        _fault(f"faults[{index}]", fault, found)
    for index, settle in enumerate(found.settles):
        key = f"settles[{index}]"
        _within(f"{key}.at", settle.at, found.seconds)
        _least(f"{key}.within", settle.within, 0.0)
        _group(f"{key}.who", settle.who, found, ("sidecars",))
    for index, window in enumerate(found.windows):
        _within(f"windows[{index}].since", window.since, found.seconds)
        _within(f"windows[{index}].to", window.to, found.seconds)
        if window.to <= window.since:
            raise ValueError(f"windows[{index}].to: {window.to} is not after {window.since}")
        _group(f"windows[{index}].who", window.who, found, ("sidecars",))


def _fault(key: str, fault: FaultLine, found: Scenario) -> None:
    if fault.what not in WORDS:
        raise ValueError(f"{key}.what: unknown word {fault.what!r}; known are {', '.join(WORDS)}")
    _within(f"{key}.at", fault.at, found.seconds)
    for name in ("delay_ms", "jitter_ms", "share", "bytes_per_s", "times", "work_ms", "by", "spread"):
        _least(f"{key}.{name}", getattr(fault, name), 0.0)
    if not fault.last > 0.0:
        raise ValueError(f"{key}.last: {fault.last} is no time")
    if fault.share > 1.0:
        raise ValueError(f"{key}.share: {fault.share} is no share from 0 to 1")
    for name in _NEEDS.get(fault.what, ()):
        if not getattr(fault, name) > 0.0:
            raise ValueError(f"{key}.{name}: {fault.what!r} needs one above 0")
    if fault.what in LINK_WORDS or fault.what == "hide":
        if len(fault.between) != 2:
            raise ValueError(f"{key}.between: {fault.what!r} needs two groups")
        kinds = [("sidecars",), ("endpoints",)] if fault.what == "hide" else [KINDS, KINDS]
        sides = [_group(f"{key}.between[{n}]", fault.between[n], found, kinds[n]) for n in (0, 1)]
        some = any(one["endpoints"] for one in sides) and fault.what != "hide"
        whole = set(range(found.fleet.processes))
        if found.endpoints.shared and some and not any(one["sidecars"] == whole for one in sides):
            raise ValueError(
                f"{key}.between: endpoints.shared: no link leads from some of the sidecars alone"
            )
        if not any(one["sidecars"] for one in sides):
            raise ValueError(f"{key}.between: no link leads from {fault.between[0]} to {fault.between[1]}")
        return
    if fault.between:
        raise ValueError(f"{key}.between: {fault.what!r} takes `who`")
    if fault.what in DISCOVERY_WORDS and not fault.who:
        return
    meant: tuple[str, ...] = KINDS
    if fault.what in ("stop", "continue", "end"):
        meant = ("sidecars",)
    elif fault.what in ENDPOINT_WORDS:
        meant = ("endpoints",)
    elif fault.what in DISCOVERY_WORDS:
        meant = ("discovery",)
    _group(f"{key}.who", fault.who, found, meant)


def _group(key: str, names: list[str], found: Scenario, kinds: tuple[str, ...]) -> dict[str, set[int]]:
    if not names:
        raise ValueError(f"{key}: names nobody")
    try:
        group = members(names, found)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
    for kind in KINDS:
        if group[kind] and kind not in kinds:
            raise ValueError(f"{key}: {kind} can't be meant here, only {', '.join(kinds)}")
    return group


def _least(key: str, value: float, least: float) -> None:
    if math.isnan(value) or value < least:
        raise ValueError(f"{key}: {value} is under {least}")


def _within(key: str, value: float, seconds: float) -> None:
    if not 0.0 <= value <= seconds:
        raise ValueError(f"{key}: {value} is not within the run's {seconds} s")
