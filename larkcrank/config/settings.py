"""The platform's settings object, as the simulator's wire and the sidecar's configuration carry it.

Unknown keys are ignored; a message about a key that is missing or wrong names it.
"""

import math
from dataclasses import dataclass

import msgspec

from larkcrank.core.interface import Effect, Group, RequestClass, Settings, Tenant

_EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
_SIZES = ("nominal", "rough")  # what else a list may carry is no size
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


class SettingsError(Exception):
    """The settings are not JSON or lack what a decision needs."""


class _Wire(msgspec.Struct, rename="kebab"):
    """Names on the wire have hyphens where ours have underscores."""


class _Grade(_Wire):
    name: str
    effect: str
    aim_ms: float
    deadline_ms: float
    points: float = 1.0
    group: str = "all"
    window_ms: float = 0.0
    late_value: float = 0.0
    streaming: bool = False
    in_turn: bool = False


class _Customer(_Wire):
    name: str
    portion: float = 0.0


class _Bounds(_Wire):
    send_cap: int
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 15000.0
    max_open: int = 20000
    peers: bool = False
    may_cancel: bool = False
    probes: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0


class _Contract(_Wire):
    cold_from: float
    warm_after_ms: float
    fall_multiple: float
    fall_ms: float
    grace_to_answer_ms: float = 20.0
    key_quiet_ms: float = 0.0
    only_draining_binds: bool = False


class _Mix(_Wire):
    nines_part: float = 0.0
    nines_full: float = 3.0


class _Family(_Wire):
    warm_keys: bool = False


class _Report(_Wire):
    how: str = "silent"
    fields: list[str] = []


class _Config(_Wire):
    grades: list[_Grade]
    bounds: _Bounds
    contract: _Contract
    customers: list[_Customer] = []
    registry_mode: str = "subscribe"
    weights: str = "silent"
    resolution_ms: float = 1.0
    az: int = 0
    ordinal: int = 0
    n_instances: int = 1
    report: _Report = msgspec.field(default_factory=_Report)
    family_info: _Family = msgspec.field(default_factory=_Family)
    objective_mix: _Mix = msgspec.field(default_factory=_Mix)
    zones: list[str] = []
    kinds: list[str] = []


@dataclass(slots=True, frozen=True)
class Site:
    """The settings: what decisions need, and what only a transport needs."""

    decisions: Settings
    connect_timeout_ms: float
    keepalive_ms: float  # an endpoint closes a connection that stood idle so long
    max_open: int  # requests in hand
    may_talk: bool  # whether sidecars may send each other messages
    grace_ms: float  # after the client's deadline an answer still counts so long
    load_fields: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


_decoder = msgspec.json.Decoder(_Config)


def parse(text: bytes) -> Site:
    """The settings from JSON text."""
    try:
        return _site(_decoder.decode(text))
    except msgspec.DecodeError as error:  # ValidationError is one too
        raise SettingsError(f"settings: {error}") from None


def convert(value: object) -> Site:
    """The settings from an object that was JSON."""
    try:
        return _site(msgspec.convert(value, _Config))
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings: {error}") from None


def _site(config: _Config) -> Site:
    bounds = config.bounds
    return Site(
        decisions=_settings(config),
        connect_timeout_ms=bounds.connect_timeout_ms,
        keepalive_ms=bounds.keepalive_ms,
        max_open=bounds.max_open,
        may_talk=bounds.peers,
        grace_ms=config.contract.grace_to_answer_ms,
        load_fields=() if config.report.how == "silent" else tuple(config.report.fields),
        zones=tuple(config.zones),
        kinds=tuple(config.kinds),
    )


def _check(config: _Config) -> None:
    """Figures that can't be: a decision built on one would go wrong far from here."""
    bounds, contract = config.bounds, config.contract
    least_none = {
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
    shares = {"contract.cold-from": contract.cold_from}
    for index, grade in enumerate(config.grades):
        at = f"grades[{index}]."
        least_none |= {at + "aim-ms": grade.aim_ms, at + "deadline-ms": grade.deadline_ms}
        least_none |= {at + "points": grade.points, at + "window-ms": grade.window_ms}
        shares[at + "late-value"] = grade.late_value
    for key, value in (least_none | shares).items():
        if not 0.0 <= value < math.inf:
            raise SettingsError(f"settings: {value} is negative or no figure - at `$.{key}`")
        if key in shares and value > 1.0:
            raise SettingsError(f"settings: {value} is no share from 0 to 1 - at `$.{key}`")
    for index, grade in enumerate(config.grades):
        if grade.in_turn and grade.streaming:
            # A stream ends when its reader likes: its key would wait for that.
            at = f"$.grades[{index}].in-turn"
            raise SettingsError(f"settings: a streaming class takes no turns - at `{at}`")


def _settings(config: _Config) -> Settings:
    bounds, contract = config.bounds, config.contract
    _check(config)
    return Settings(
        classes=tuple(_request_class(i, grade) for i, grade in enumerate(config.grades)),
        tenants=tuple(Tenant(c.name, c.portion) for c in config.customers),
        zone=config.az,
        ordinal=config.ordinal,
        instances=config.n_instances,
        must_ask=config.registry_mode != "automatic",
        may_cancel=bounds.may_cancel,
        may_probe=bounds.probes,
        second_copies=bounds.second_copies,
        retry_after=bounds.retry_after,
        max_retry_after_ms=bounds.max_retry_after_ms,
        listed_sizes=config.weights in _SIZES,
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


def _request_class(index: int, grade: _Grade) -> RequestClass:
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
