"""Parses the platform's settings object, part of the simulator protocol and of the configuration.

Unknown keys are ignored. An error about a missing or invalid key names the key.
"""

import math
from dataclasses import dataclass

import msgspec

from larkcrank.core.interface import Effect, Group, RequestClass, Settings, Tenant

_EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
_CAPACITY_WEIGHTS = ("nominal", "rough")  # values of `weights` for which a server's weight is its capacity
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


class SettingsError(Exception):
    """The settings are not valid JSON, or a key is missing or invalid."""


class _KebabCaseStruct(msgspec.Struct, rename="kebab"):
    """JSON keys have hyphens where the field names have underscores."""


class _Grade(_KebabCaseStruct):
    """A request class; see `RequestClass`."""

    name: str
    effect: str  # whether a request may be repeated: a key of `_EFFECTS`
    aim_ms: float  # target response time
    deadline_ms: float
    points: float = 1.0  # worth of an answer within the target response time
    group: str = "all"  # which servers share the deduplication of a keyed request: a key of `_GROUPS`
    window_ms: float = 0.0  # how long the servers deduplicate a keyed request
    late_value: float = 0.0  # fraction of `points` for an answer after the target, but before the deadline
    streaming: bool = False  # whether responses are streamed to the client
    in_turn: bool = False  # whether requests with the same key run one at a time, in order of arrival


class _Customer(_KebabCaseStruct):
    """A tenant; see `Tenant`."""

    name: str
    portion: float = 0.0  # share of the service that the tenant is entitled to


class _Bounds(_KebabCaseStruct):
    """What the platform allows a sidecar to do, and its limits."""

    send_cap: int  # limit on the attempts of one request
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 15000.0  # a server closes connections that have been idle for this long
    max_open: int = 20000  # limit on concurrent requests
    peers: bool = False  # whether sidecars may send each other messages
    may_cancel: bool = False  # whether the sidecar may cancel an attempt in flight
    probes: bool = False  # whether the sidecar may probe servers
    second_copies: bool = False  # whether a second attempt may start while the first is in flight (hedging)
    retry_after: bool = False  # whether refusals carry a Retry-After hint
    max_retry_after_ms: float = 0.0  # upper limit of that hint


class _Contract(_KebabCaseStruct):
    """How servers behave, and which rules apply to requests sent to them."""

    cold_from: float  # share of its capacity that a server has at its start
    warm_after_ms: float  # time from a server's start to its full capacity
    # A cold server fails once its load has exceeded `fall_multiple` times its present capacity for `fall_ms`.
    fall_multiple: float
    fall_ms: float
    grace_to_answer_ms: float = 20.0  # how long after the client's deadline an answer still counts
    key_quiet_ms: float = 0.0  # how long a key is blocked after a timeout, a reset or a cancellation
    # If true, only draining servers must get no new requests; if false, also gone and unlisted ones.
    only_draining_binds: bool = False


class _Mix(_KebabCaseStruct):
    """The weight of availability in the users' objective."""

    nines_part: float = 0.0  # weight of availability, measured in nines (3 for 99.9 %), in the objective
    nines_full: float = 3.0  # number of nines that earns this weight in full


class _Family(_KebabCaseStruct):
    """Properties of the kind of service behind the sidecar."""

    warm_keys: bool = False  # whether a server does less work for a key that it has served recently


class _Report(_KebabCaseStruct):
    """The load values that servers report with their answers."""

    how: str = "silent"  # how servers report their load; "silent": not at all
    fields: list[str] = []  # names of the load values in an answer


class _Config(_KebabCaseStruct):
    """The settings object, with its keys as the platform writes them."""

    grades: list[_Grade]
    bounds: _Bounds
    contract: _Contract
    customers: list[_Customer] = []
    registry_mode: str = "subscribe"  # "automatic": discovery sends changes without a subscription
    weights: str = "silent"  # meaning of the weights in the server list; see `_CAPACITY_WEIGHTS`
    resolution_ms: float = 1.0  # clock resolution
    az: int = 0  # zone of this instance: index in `zones`
    ordinal: int = 0  # position of this instance among all instances, from 0
    n_instances: int = 1
    report: _Report = msgspec.field(default_factory=_Report)
    family_info: _Family = msgspec.field(default_factory=_Family)
    objective_mix: _Mix = msgspec.field(default_factory=_Mix)
    zones: list[str] = []
    kinds: list[str] = []  # machine types


@dataclass(slots=True, frozen=True)
class Site:
    """The settings: `decisions` for the balancer, the other fields for the transport."""

    decisions: Settings
    connect_timeout_ms: float
    keepalive_ms: float  # an endpoint closes connections that have been idle for this long
    max_open: int  # limit on concurrent requests
    may_talk: bool  # whether sidecars may send each other messages
    grace_ms: float  # how long after the client's deadline an answer still counts
    load_fields: tuple[str, ...]  # names of the load values in an answer; empty: servers report none
    zones: tuple[str, ...]
    kinds: tuple[str, ...]  # machine types


_decoder = msgspec.json.Decoder(_Config)


def parse(text: bytes) -> Site:
    """Parse the settings from JSON text."""
    try:
        return _to_site(_decoder.decode(text))
    except msgspec.DecodeError as error:  # includes ValidationError
        raise SettingsError(f"settings: {error}") from None


def convert(value: object) -> Site:
    """Convert the settings from decoded JSON."""
    try:
        return _to_site(msgspec.convert(value, _Config))
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings: {error}") from None


def _to_site(config: _Config) -> Site:
    bounds = config.bounds
    return Site(
        decisions=_to_settings(config),
        connect_timeout_ms=bounds.connect_timeout_ms,
        keepalive_ms=bounds.keepalive_ms,
        max_open=bounds.max_open,
        may_talk=bounds.peers,
        grace_ms=config.contract.grace_to_answer_ms,
        load_fields=() if config.report.how == "silent" else tuple(config.report.fields),
        zones=tuple(config.zones),
        kinds=tuple(config.kinds),
    )


def _check_numbers(config: _Config) -> None:
    """Reject numbers outside their range, which would otherwise cause errors only later, in a decision."""
    bounds, contract = config.bounds, config.contract
    non_negative = {
        "n-instances": config.n_instances,
        "ordinal": config.ordinal,
        "resolution-ms": config.resolution_ms,
        "bounds.send-cap": bounds.send_cap,
        "bounds.max-retry-after-ms": bounds.max_retry_after_ms,
        "contract.warm-after-ms": contract.warm_after_ms,
        "contract.key-quiet-ms": contract.key_quiet_ms,
        "objective-mix.nines-part": config.objective_mix.nines_part,
        "objective-mix.nines-full": config.objective_mix.nines_full,
    }
    fractions = {"contract.cold-from": contract.cold_from}
    for index, grade in enumerate(config.grades):
        prefix = f"grades[{index}]."
        non_negative |= {prefix + "aim-ms": grade.aim_ms, prefix + "deadline-ms": grade.deadline_ms}
        non_negative |= {prefix + "points": grade.points, prefix + "window-ms": grade.window_ms}
        fractions[prefix + "late-value"] = grade.late_value
    for key, value in (non_negative | fractions).items():
        if not 0.0 <= value < math.inf:
            raise SettingsError(f"settings: {value} is not a finite number of at least 0 - at `$.{key}`")
        if key in fractions and value > 1.0:
            raise SettingsError(f"settings: {value} is not a fraction from 0 to 1 - at `$.{key}`")
    for index, grade in enumerate(config.grades):
        if grade.in_turn and grade.streaming:
            # A stream lasts as long as its client reads, and would block later requests with its key.
            path = f"$.grades[{index}].in-turn"
            raise SettingsError(f"settings: a streaming class cannot run in turn - at `{path}`")


def _to_settings(config: _Config) -> Settings:
    bounds, contract = config.bounds, config.contract
    _check_numbers(config)
    return Settings(
        classes=tuple(_to_request_class(index, grade) for index, grade in enumerate(config.grades)),
        tenants=tuple(Tenant(customer.name, customer.portion) for customer in config.customers),
        zone=config.az,
        ordinal=config.ordinal,
        instances=config.n_instances,
        must_ask=config.registry_mode != "automatic",
        may_cancel=bounds.may_cancel,
        may_probe=bounds.probes,
        second_copies=bounds.second_copies,
        retry_after=bounds.retry_after,
        max_retry_after_ms=bounds.max_retry_after_ms,
        listed_sizes=config.weights in _CAPACITY_WEIGHTS,
        max_attempts=bounds.send_cap,
        tick_ms=config.resolution_ms,
        cold_from=contract.cold_from,
        warm_after_ms=contract.warm_after_ms,
        fall_multiple=contract.fall_multiple,
        fall_ms=contract.fall_ms,
        warm_keys=config.family_info.warm_keys,
        key_quiet_ms=contract.key_quiet_ms,
        only_draining_binds=contract.only_draining_binds,
        nines_part=config.objective_mix.nines_part,
        nines_full=config.objective_mix.nines_full,
    )


def _to_request_class(index: int, grade: _Grade) -> RequestClass:
    effect, group = _EFFECTS.get(grade.effect), _GROUPS.get(grade.group)
    if effect is None:
        raise SettingsError(f"settings: unknown effect {grade.effect!r} - at `$.grades[{index}].effect`")
    if group is None:
        raise SettingsError(f"settings: unknown group {grade.group!r} - at `$.grades[{index}].group`")
    return RequestClass(
        name=grade.name,
        effect=effect,
        group=group,
        aim_ms=grade.aim_ms,
        deadline_ms=grade.deadline_ms,
        window_ms=grade.window_ms,
        worth=grade.points,
        late_worth=grade.late_value,
        streaming=grade.streaming,
        in_turn=grade.in_turn,
    )
