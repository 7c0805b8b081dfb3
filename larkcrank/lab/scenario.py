"""What a run of the fleet bench is told: one TOML file, read and checked here and nowhere else.

Times are seconds from the start of the load, durations too unless a name ends in `_ms`. Every fault is named
by file, key and value before anything is started.
"""

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

LINK_FAULTS = ("cut", "refuse", "slow", "lose", "duplicate", "reorder", "narrow")
PROCESS_FAULTS = ("kill", "stop", "continue", "end", "restart")
ENDPOINT_FAULTS = ("silence", "crowd", "drain", "replace")
DISCOVERY_FAULTS = ("hush", "deny", "drag", "lag", "hide", "empty", "anew")
FAULTS = LINK_FAULTS + PROCESS_FAULTS + ENDPOINT_FAULTS + DISCOVERY_FAULTS
MEMBER_KINDS = ("sidecars", "endpoints", "discovery")
_REQUIRED_FIELDS = {  # what a word takes besides whom it names, and whether it can be left out
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


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    """A key that is not known is a fault of the file."""


class ProcessOverride(_StrictStruct):
    """What some processes have of their own."""

    who: list[str]
    config: dict[str, Any] = {}  # merged last; its texts as the fleet's
    command: list[str] = []


class FleetSettings(_StrictStruct):
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
    own: list[ProcessOverride] = []


class EndpointSettings(_StrictStruct):
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


class DiscoverySettings(_StrictStruct):
    work_ms: float = 50.0  # calls for the whole list are worked off one after another
    known: bool = True  # whether processes start with a list


class LoadSettings(_StrictStruct):
    rate: float  # requests a second that a process's clients mean to ask
    classes: dict[str, float]  # name: share
    subjects: int = 0  # different `item`s; 0: requests name none
    heavy_one_in: int = 0  # one process in so many, from the first on ...
    heavy_times: float = 1.0  # ... has clients that ask so many times as much
    repeats: int = 0  # times that a client comes back after a refusal
    patience: float = 1.0  # share of the class's deadline that a client waits


class Fault(_StrictStruct):
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


class SettleCheck(_StrictStruct):
    """Until all of these say so, by an operators' call or, where one is named, by a counter."""

    at: float
    who: list[str] = msgspec.field(default_factory=lambda: ["sidecars"])
    call: str = "PING"
    answer: str = "200"  # what its answer begins with
    alike: int = 0  # the first so many words of the answer have to be the same from all
    counter: str = ""
    least: int = 1  # of the counter
    within: float = 60.0


class Window(_StrictStruct):
    """A span whose served share is told, and may have to reach something."""

    name: str
    since: float
    to: float
    who: list[str] = msgspec.field(default_factory=lambda: ["sidecars"])
    at_least: float = 0.0


class Scenario(_StrictStruct):
    name: str
    seconds: float
    fleet: FleetSettings
    endpoints: EndpointSettings
    load: LoadSettings
    seed: int = 1
    discovery: DiscoverySettings = msgspec.field(default_factory=DiscoverySettings)
    faults: list[Fault] = []
    settles: list[SettleCheck] = []
    windows: list[Window] = []
    grace_ms: float = 2000.0  # after a drain is told, the last new request
    slack_ms: float = 300.0  # of the machine that plays it, on top of each rule's time


def resolve_members(groups: list[str], scenario: Scenario) -> dict[str, set[int]]:
    """The members that these names mean, by kind. Raises ValueError with the name that means nobody.

    A name is `sidecars`, `endpoints` or `discovery`, or one of the first two with `:` and a list of numbers,
    ranges (`2-5`, both ends in), `even`, `odd` or, for sidecars, `zone=NAME`.
    """
    members_by_kind: dict[str, set[int]] = {kind: set() for kind in MEMBER_KINDS}
    for name in groups:
        kind, colon, selectors = name.partition(":")
        if kind not in MEMBER_KINDS or (colon and (not selectors or kind == "discovery")):
            raise ValueError(f"{name!r} is no group; known are {', '.join(MEMBER_KINDS)}")
        count = {"sidecars": scenario.fleet.processes, "endpoints": scenario.endpoints.count}.get(kind, 1)
        indices = set(range(count)) if not colon else set[int]()
        for selector in selectors.split(",") if colon else ():
            indices |= _resolve_selector(
                name, selector.strip(), count, scenario.fleet.zones if kind == "sidecars" else []
            )
        if not indices:
            raise ValueError(f"{name!r} names nobody")
        members_by_kind[kind] |= indices
    return members_by_kind


def _resolve_selector(name: str, selector: str, count: int, zones: list[str]) -> set[int]:
    all_indices = range(count)
    if selector in ("even", "odd"):
        return set(all_indices[selector == "odd" :: 2])
    if selector.startswith("zone="):
        if selector[5:] not in zones:
            raise ValueError(f"{name!r}: no zone {selector[5:]!r}")
        return {index for index in all_indices if zones[index % len(zones)] == selector[5:]}
    first, dash, last = selector.partition("-")
    if not first.isdecimal() or (dash and not last.isdecimal()):
        raise ValueError(f"{name!r}: {selector!r} is no number, range, even, odd or zone=")
    indices = set(range(int(first), int(last if dash else first) + 1))
    if not indices or not indices <= set(all_indices):
        raise ValueError(f"{name!r} names some who are not there: there are {count}")
    return indices


def load_scenario(path: Path, seed: int | None = None) -> Scenario:
    """Read a file; `seed` outranks its own. Raises `ScenarioError`."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    try:
        scenario = msgspec.toml.decode(content, type=Scenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    try:
        _validate(scenario)
    except ValueError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return scenario if seed is None else msgspec.structs.replace(scenario, seed=seed)


def _validate(scenario: Scenario) -> None:
    _require_at_least("seconds", scenario.seconds, 0.1)
    _require_at_least("fleet.processes", scenario.fleet.processes, 1)
    _require_at_least("fleet.at_first", scenario.fleet.at_first, 0)
    if scenario.fleet.at_first > scenario.fleet.processes:
        raise ValueError(
            f"fleet.at_first: {scenario.fleet.at_first} is over {scenario.fleet.processes} processes"
        )
    for index, override in enumerate(scenario.fleet.own):
        _validate_members(f"fleet.own[{index}].who", override.who, scenario, ("sidecars",))
    _require_at_least("fleet.zones", len(scenario.fleet.zones), 1)
    _require_at_least("grace_ms", scenario.grace_ms, 0.0)
    _require_at_least("slack_ms", scenario.slack_ms, 0.0)
    for key in ("count", "workers", "connections"):
        _require_at_least(f"endpoints.{key}", getattr(scenario.endpoints, key), 1)
    for key in ("service_ms", "queue", "handshake_ms", "cold_from", "warm_after_ms", "fall_ms"):
        _require_at_least(f"endpoints.{key}", getattr(scenario.endpoints, key), 0.0)
    if not 0.0 < scenario.endpoints.cold_from <= 1.0:
        raise ValueError(f"endpoints.cold_from: {scenario.endpoints.cold_from} is no share above 0")
    _require_at_least("discovery.work_ms", scenario.discovery.work_ms, 0.0)
    _require_at_least("load.rate", scenario.load.rate, 0.0)
    _require_at_least("load.subjects", scenario.load.subjects, 0)
    _require_at_least("load.repeats", scenario.load.repeats, 0)
    _require_at_least("load.heavy_one_in", scenario.load.heavy_one_in, 0)
    _require_at_least("load.heavy_times", scenario.load.heavy_times, 0.0)
    for name, share in scenario.load.classes.items():
        _require_at_least(f"load.classes.{name}", share, 0.0)
    if not sum(scenario.load.classes.values()) > 0.0:
        raise ValueError("load.classes: no class has a share")
    for index, fault in enumerate(scenario.faults):
        _validate_fault(f"faults[{index}]", fault, scenario)
    for index, settle in enumerate(scenario.settles):
        key = f"settles[{index}]"
        _require_within_run(f"{key}.at", settle.at, scenario.seconds)
        _require_at_least(f"{key}.within", settle.within, 0.0)
        _validate_members(f"{key}.who", settle.who, scenario, ("sidecars",))
    for index, window in enumerate(scenario.windows):
        _require_within_run(f"windows[{index}].since", window.since, scenario.seconds)
        _require_within_run(f"windows[{index}].to", window.to, scenario.seconds)
        if window.to <= window.since:
            raise ValueError(f"windows[{index}].to: {window.to} is not after {window.since}")
        _validate_members(f"windows[{index}].who", window.who, scenario, ("sidecars",))


def _validate_fault(key: str, fault: Fault, scenario: Scenario) -> None:
    if fault.what not in FAULTS:
        raise ValueError(f"{key}.what: unknown word {fault.what!r}; known are {', '.join(FAULTS)}")
    _require_within_run(f"{key}.at", fault.at, scenario.seconds)
    for field in ("delay_ms", "jitter_ms", "share", "bytes_per_s", "times", "work_ms", "by", "spread"):
        _require_at_least(f"{key}.{field}", getattr(fault, field), 0.0)
    if not fault.last > 0.0:
        raise ValueError(f"{key}.last: {fault.last} is no time")
    if fault.share > 1.0:
        raise ValueError(f"{key}.share: {fault.share} is no share from 0 to 1")
    for field in _REQUIRED_FIELDS.get(fault.what, ()):
        if not getattr(fault, field) > 0.0:
            raise ValueError(f"{key}.{field}: {fault.what!r} needs one above 0")
    if fault.what in LINK_FAULTS or fault.what == "hide":
        if len(fault.between) != 2:
            raise ValueError(f"{key}.between: {fault.what!r} needs two groups")
        side_kinds = [("sidecars",), ("endpoints",)] if fault.what == "hide" else [MEMBER_KINDS, MEMBER_KINDS]
        sides = [
            _validate_members(f"{key}.between[{n}]", fault.between[n], scenario, side_kinds[n])
            for n in (0, 1)
        ]
        names_endpoints = any(side["endpoints"] for side in sides) and fault.what != "hide"
        all_sidecars = set(range(scenario.fleet.processes))
        if (
            scenario.endpoints.shared
            and names_endpoints
            and not any(side["sidecars"] == all_sidecars for side in sides)
        ):
            raise ValueError(
                f"{key}.between: endpoints.shared: no link leads from some of the sidecars alone"
            )
        if not any(side["sidecars"] for side in sides):
            raise ValueError(f"{key}.between: no link leads from {fault.between[0]} to {fault.between[1]}")
        return
    if fault.between:
        raise ValueError(f"{key}.between: {fault.what!r} takes `who`")
    if fault.what in DISCOVERY_FAULTS and not fault.who:
        return
    allowed_kinds: tuple[str, ...] = MEMBER_KINDS
    if fault.what in ("stop", "continue", "end"):
        allowed_kinds = ("sidecars",)
    elif fault.what in ENDPOINT_FAULTS:
        allowed_kinds = ("endpoints",)
    elif fault.what in DISCOVERY_FAULTS:
        allowed_kinds = ("discovery",)
    _validate_members(f"{key}.who", fault.who, scenario, allowed_kinds)


def _validate_members(
    key: str, names: list[str], scenario: Scenario, allowed_kinds: tuple[str, ...]
) -> dict[str, set[int]]:
    if not names:
        raise ValueError(f"{key}: names nobody")
    try:
        members_by_kind = resolve_members(names, scenario)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
    for kind in MEMBER_KINDS:
        if members_by_kind[kind] and kind not in allowed_kinds:
            raise ValueError(f"{key}: {kind} can't be meant here, only {', '.join(allowed_kinds)}")
    return members_by_kind


def _require_at_least(key: str, value: float, minimum: float) -> None:
    if math.isnan(value) or value < minimum:
        raise ValueError(f"{key}: {value} is under {minimum}")


def _require_within_run(key: str, value: float, run_s: float) -> None:
    if not 0.0 <= value <= run_s:
        raise ValueError(f"{key}: {value} is not within the run's {run_s} s")
