"""The scenario file of a fleet bench run: its schema, its parsing and all of its validation.

Times are seconds from the start of the load. Durations are seconds unless a name ends in `_ms`. An error in
the file is reported with file, key and value before any process is started.
"""

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

# Faults of the network between two groups of members:
#   cut: streams wait and datagrams are lost       refuse: connections are reset and refused
#   slow: delay and jitter                         lose: lost segments and datagrams
#   duplicate, reorder: of datagrams               narrow: limited bandwidth
LINK_FAULTS = ("cut", "refuse", "slow", "lose", "duplicate", "reorder", "narrow")
# Faults of processes: kill (SIGKILL), stop (SIGSTOP), continue (SIGCONT), end (SIGTERM), restart. "kill" and
# "restart" apply to endpoints and discovery too.
PROCESS_FAULTS = ("kill", "stop", "continue", "end", "restart")
# Faults of endpoints: silence (cut off from all sidecars), crowd (slowed down), drain (announced as
# terminating), replace (by an endpoint with a new name), stray (after an answer, a further one that nobody
# asked for).
ENDPOINT_FAULTS = ("silence", "crowd", "drain", "replace", "stray")
# Faults of discovery:
#   hush: no answers                               deny: answers with 503
#   drag: calls for the whole list take longer     lag: out-of-date lists
#   hide: lists without some endpoints             empty: an empty list
#   anew: generations are counted from 1 again
DISCOVERY_FAULTS = ("hush", "deny", "drag", "lag", "hide", "empty", "anew")
FAULTS = LINK_FAULTS + PROCESS_FAULTS + ENDPOINT_FAULTS + DISCOVERY_FAULTS
MEMBER_KINDS = ("sidecars", "endpoints", "discovery")
_REQUIRED_FIELDS = {  # fields that a fault needs besides the members it applies to
    "slow": ("delay_ms",),
    "lose": ("share",),
    "duplicate": ("share",),
    "reorder": ("share",),
    "narrow": ("bytes_per_s",),
    "crowd": ("times",),
    "stray": ("share",),
    "drag": ("work_ms",),
    "lag": ("by",),
}


class ScenarioError(Exception):
    """The scenario is invalid. The message names file, key and value."""


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    """Base of all scenario sections; an unknown key is an error."""


class ProcessOverride(_StrictStruct):
    """Configuration or command of some of the processes."""

    who: list[str]
    config: dict[str, Any] = {}  # merged last; takes the same placeholders as `FleetSettings.config`
    command: list[str] = []


class FleetSettings(_StrictStruct):
    processes: int
    command: list[str] = []  # command of each process; default: larkcrank itself
    at_first: int = 0  # processes that run from the start; the others start with a restart fault; 0: all
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])  # assigned to members in turn
    datagrams: bool = False  # whether each member gets datagram addresses; see `config`
    # Merged into each process's configuration. Placeholders in its strings: {i} is the member's number, {own}
    # the address at which it binds its datagram socket, {public} the address at which others reach it, {all}
    # all public addresses separated by commas, {seed0} to {seed2} the public addresses of the first three
    # members, and {files} the path prefix of the files that it keeps.
    config: dict[str, Any] = {}
    settings: dict[str, Any] = {}  # merged into each process's settings
    own: list[ProcessOverride] = []  # overrides for some of the processes


class EndpointSettings(_StrictStruct):
    count: int
    shared: bool = False  # all processes share one link per endpoint, so faults can't single some out
    workers: int = 4  # requests processed at once
    service_ms: float = 30.0  # mean work of a request
    spread: Literal["fixed", "exponential"] = "fixed"  # distribution of the work
    queue: int = 64  # maximum of waiting requests; further ones are declined
    connections: int = 256  # maximum of open connections; further ones are closed at once
    handshake_ms: float = 0.0  # extra work of the first request on a connection
    cold_from: float = 1.0  # share of full speed right after a start
    warm_after_ms: float = 0.0  # time from a start until full speed
    fall_multiple: float = math.inf  # a cold endpoint crashes above this multiple of its capacity
    fall_ms: float = 2000.0  # window over which `fall_multiple` is measured


class DiscoverySettings(_StrictStruct):
    work_ms: float = 50.0  # time per call for the whole list; such calls are served one at a time
    known: bool = True  # whether processes start with the current list


class LoadSettings(_StrictStruct):
    rate: float  # requests per second that are scheduled for each process
    classes: dict[str, float]  # class name: relative share of the requests
    subjects: int = 0  # number of distinct `item` values; 0: requests have none
    heavy_one_in: int = 0  # every n-th process, starting with the first, is heavy; 0: none
    heavy_times: float = 1.0  # factor on the request rate of heavy processes
    repeats: int = 0  # maximum retries of a client after a refusal
    patience: float = 1.0  # factor on the class's deadline


class Fault(_StrictStruct):
    at: float
    what: str  # one of FAULTS
    who: list[str] = []  # members that it applies to
    # Two groups of members; a link fault applies between them. For "hide": sidecars, and endpoints that are
    # left out of their lists.
    between: list[list[str]] = []
    one_way: bool = False  # only from the first group to the second
    last: float = math.inf  # duration in seconds
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    share: float = 0.0  # of segments or datagrams that are lost, duplicated or reordered; of stray answers
    bytes_per_s: float = 0.0
    # stray: a copy of the answer, the answer to a request that nobody sent, or a rejection. It comes
    # `delay_ms` and up to `jitter_ms` after the true answer.
    answer: Literal["copy", "other", "rejection"] = "copy"
    times: float = 0.0  # crowd: factor by which endpoints slow down
    work_ms: float = 0.0  # drag: time per call for the whole list
    by: float = 0.0  # lag: seconds by which served lists are out of date
    # What a restarted process still has: a list in its configuration and its files, its files, or nothing.
    keeps: Literal["list", "files", "nothing"] = "list"
    address: Literal["same", "new"] = "same"  # of a restarted or replaced endpoint
    spread: float = 0.0  # seconds over which the members are affected one after another; 0: at once


class SettleCheck(_StrictStruct):
    """Measures the time until all members report a state by an ops call or, if one is named, a counter."""

    at: float
    who: list[str] = msgspec.field(default_factory=lambda: ["sidecars"])
    call: str = "PING"
    answer: str = "200"  # prefix of the expected answer
    alike: int = 0  # if not 0, this many leading words must be equal in all answers
    counter: str = ""  # name of a counter to check in place of the ops call
    least: int = 1  # minimum value of the counter
    within: float = 60.0  # seconds after which the check fails


class Window(_StrictStruct):
    """A time span whose share of served requests is reported and may have to reach a minimum."""

    name: str
    since: float
    to: float
    who: list[str] = msgspec.field(default_factory=lambda: ["sidecars"])
    at_least: float = 0.0  # minimum share; the run fails below it


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
    grace_ms: float = 2000.0  # how long after a drain notice new requests may still arrive
    slack_ms: float = 300.0  # allowance for the machine that runs it, added to the time limit of each rule


def resolve_members(groups: list[str], scenario: Scenario) -> dict[str, set[int]]:
    """Resolve member names to indices by kind. Raises ValueError with the name that matches no member.

    A name is `sidecars`, `endpoints` or `discovery`. The first two may be followed by `:` and a
    comma-separated list of numbers, inclusive ranges (`2-5`), `even`, `odd` or, for sidecars, `zone=NAME`.
    """
    members_by_kind: dict[str, set[int]] = {kind: set() for kind in MEMBER_KINDS}
    for name in groups:
        kind, colon, selectors = name.partition(":")
        if kind not in MEMBER_KINDS or (colon and (not selectors or kind == "discovery")):
            raise ValueError(f"{name!r} is not a group; known groups are {', '.join(MEMBER_KINDS)}")
        count = {"sidecars": scenario.fleet.processes, "endpoints": scenario.endpoints.count}.get(kind, 1)
        indices = set(range(count)) if not colon else set[int]()
        for selector in selectors.split(",") if colon else ():
            indices |= _resolve_selector(
                name, selector.strip(), count, scenario.fleet.zones if kind == "sidecars" else []
            )
        if not indices:
            raise ValueError(f"{name!r} matches no member")
        members_by_kind[kind] |= indices
    return members_by_kind


def _resolve_selector(name: str, selector: str, count: int, zones: list[str]) -> set[int]:
    all_indices = range(count)
    if selector in ("even", "odd"):
        return set(all_indices[selector == "odd" :: 2])
    if selector.startswith("zone="):
        if selector[5:] not in zones:
            raise ValueError(f"{name!r}: there is no zone {selector[5:]!r}")
        return {index for index in all_indices if zones[index % len(zones)] == selector[5:]}
    first, dash, last = selector.partition("-")
    if not first.isdecimal() or (dash and not last.isdecimal()):
        raise ValueError(f"{name!r}: {selector!r} is not a number, a range, even, odd or zone=NAME")
    indices = set(range(int(first), int(last if dash else first) + 1))
    if not indices or not indices <= set(all_indices):
        raise ValueError(f"{name!r} includes members that don't exist: there are {count}")
    return indices


def load_scenario(path: Path, seed: int | None = None) -> Scenario:
    """Read and validate a scenario file; `seed` overrides its own. Raises `ScenarioError`."""
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
        raise ValueError(
            f"endpoints.cold_from: {scenario.endpoints.cold_from} is not a share above 0 and up to 1"
        )
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
    for index, check in enumerate(scenario.settles):
        key = f"settles[{index}]"
        _require_within_run(f"{key}.at", check.at, scenario.seconds)
        _require_at_least(f"{key}.within", check.within, 0.0)
        _validate_members(f"{key}.who", check.who, scenario, ("sidecars",))
    for index, window in enumerate(scenario.windows):
        _require_within_run(f"windows[{index}].since", window.since, scenario.seconds)
        _require_within_run(f"windows[{index}].to", window.to, scenario.seconds)
        if window.to <= window.since:
            raise ValueError(f"windows[{index}].to: {window.to} is not after {window.since}")
        _validate_members(f"windows[{index}].who", window.who, scenario, ("sidecars",))


def _validate_fault(key: str, fault: Fault, scenario: Scenario) -> None:
    if fault.what not in FAULTS:
        raise ValueError(f"{key}.what: unknown fault {fault.what!r}; known faults are {', '.join(FAULTS)}")
    _require_within_run(f"{key}.at", fault.at, scenario.seconds)
    for field in ("delay_ms", "jitter_ms", "share", "bytes_per_s", "times", "work_ms", "by", "spread"):
        _require_at_least(f"{key}.{field}", getattr(fault, field), 0.0)
    if not fault.last > 0.0:
        raise ValueError(f"{key}.last: {fault.last} is not a duration above 0")
    if fault.share > 1.0:
        raise ValueError(f"{key}.share: {fault.share} is not a share from 0 to 1")
    for field in _REQUIRED_FIELDS.get(fault.what, ()):
        if not getattr(fault, field) > 0.0:
            raise ValueError(f"{key}.{field}: {fault.what!r} needs a value above 0")
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
                f"{key}.between: with endpoints.shared, no link leads from only some of the sidecars"
            )
        if not any(side["sidecars"] for side in sides):
            raise ValueError(f"{key}.between: no link leads from {fault.between[0]} to {fault.between[1]}")
        return
    if fault.between:
        raise ValueError(f"{key}.between: {fault.what!r} takes `who` instead")
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
        raise ValueError(f"{key}: names no member")
    try:
        members_by_kind = resolve_members(names, scenario)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
    for kind in MEMBER_KINDS:
        if members_by_kind[kind] and kind not in allowed_kinds:
            raise ValueError(f"{key}: {kind} can't be used here, only {', '.join(allowed_kinds)}")
    return members_by_kind


def _require_at_least(key: str, value: float, minimum: float) -> None:
    if math.isnan(value) or value < minimum:
        raise ValueError(f"{key}: {value} is below the minimum {minimum}")


def _require_within_run(key: str, value: float, run_s: float) -> None:
    if not 0.0 <= value <= run_s:
        raise ValueError(f"{key}: {value} is not within the run's {run_s} s")
