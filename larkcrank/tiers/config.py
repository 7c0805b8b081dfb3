"""What a tier is told: one JSON file. Every fault is named by its key."""

import math
from dataclasses import dataclass
from pathlib import Path

import msgspec

from larkcrank.protocol.discovery import parse_host_port

Place = tuple[str, int]
ANY = "*"


class ConfigError(Exception):
    """The configuration lacks something or holds what can't be. The message names the key."""


class _Door(msgspec.Struct, forbid_unknown_fields=True):
    listen: str
    services: list[str]


class _Source(msgspec.Struct, forbid_unknown_fields=True):
    discovery: str
    service: str = ""
    may_be_empty: bool = False


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Figures with their defaults. Times in milliseconds."""

    gather_ms: float = 100.0  # between two waves of changes at one door
    wait_ms: int = 1000  # of own calls to sources and tiers above
    slack_ms: float = 700.0  # a call not answered so long after its wait has failed
    whole_ms: float = 3000.0  # a call for a whole list
    connect_ms: float = 500.0
    fresh_ms: float = (
        6000.0  # not heard for so long from one it depends on, a tier tells no newcomer its list
    )
    deaf_ms: float = 3000.0  # a tier that only passes on and hears nobody for so long ends its watches
    patience_ms: float = 30_000.0  # a source not heard for so long since the start is not waited for
    wholes_per_s: float = 250.0  # whole answers at all doors
    tier_wholes_per_s: float = 5.0  # whole answers for tiers
    whole_wait_ms: float = 2000.0  # who would wait longer for its turn is refused
    write_ms: float = 2000.0  # an answer not taken by then ends its connection
    idle_ms: float = 10_000.0  # a connection without a call
    longest_wait_ms: int = 60_000
    connections: int = 5000
    answer_bytes: int = 4 << 20  # the longest answer that is read
    spread_ms: float = 500.0  # drawn up to this before a call elsewhere
    back_min_ms: float = 20_000.0  # drawn between these: when the first place is tried again
    back_max_ms: float = 60_000.0
    again_max_ms: float = 2000.0  # between calls that fail, at most
    tombstones: int = 20_000
    tombstone_ms: float = 7_200_000.0
    snapshot_ms: float = 10_000.0  # between two snapshots, where something has changed
    snapshot_age_ms: float = 3_600_000.0  # an older snapshot is not taken up
    left_ms: float = 600_000.0  # a sidecar cut off while it lacked something is counted so long as lacking it
    held_ms: float = 3000.0  # told of a summary so long ago, it is none; who lags so long is logged


class _File(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    listen: str
    own: str = ""
    doors: list[_Door] = []
    sources: list[_Source] = []
    above: list[str] = []
    ops: str = ""
    snapshot: str = ""
    services: list[str] = []
    settings: Settings = msgspec.field(default_factory=Settings)


@dataclass(slots=True, frozen=True)
class DoorConfig:
    listen: Place
    services: tuple[str, ...] | None  # None: all


@dataclass(slots=True, frozen=True)
class SourceConfig:
    place: Place
    service: str  # of lines that name none; empty: each names its own
    may_be_empty: bool


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Place
    own: Place | None
    doors: tuple[DoorConfig, ...]
    sources: tuple[SourceConfig, ...]
    above: tuple[Place, ...]
    ops: Place | None
    snapshot: Path | None
    services: frozenset[str] | None  # those that there are; None: any
    settings: Settings


def load(path: Path) -> Config:
    """Raises `ConfigError`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    return parse(text)


def parse(text: bytes) -> Config:
    """Raises `ConfigError`."""
    try:
        file = msgspec.json.decode(text, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"configuration: {error}") from None
    if not 0 < len(file.name) <= 64:
        raise ConfigError(f"name: {len(file.name)} characters, not 1 to 64")
    if not file.sources and not file.above:
        raise ConfigError("sources: none, and none in above: there is nothing to tell")
    if not file.above and not file.sources:
        raise ConfigError("above: empty")
    for key, value in msgspec.structs.asdict(file.settings).items():
        if not 0 < value < math.inf:
            raise ConfigError(f"settings.{key}: {value} is not above 0")
    if file.settings.back_max_ms < file.settings.back_min_ms:
        raise ConfigError("settings.back_max_ms: under back_min_ms")
    if file.settings.longest_wait_ms > 60_000:
        raise ConfigError("settings.longest_wait_ms: over 60000, the longest that discovery's protocol has")
    doors = tuple(_door(f"doors[{i}]", door) for i, door in enumerate(file.doors))
    sources = tuple(
        SourceConfig(_place(f"sources[{i}].discovery", one.discovery), one.service, one.may_be_empty)
        for i, one in enumerate(file.sources)
    )
    if len({one.place for one in sources}) < len(sources):
        raise ConfigError("sources: an address stands twice")
    above = tuple(_place(f"above[{i}]", one) for i, one in enumerate(file.above))
    if len(set(above)) < len(above):
        raise ConfigError("above: an address stands twice")
    config = Config(
        name=file.name,
        listen=_place("listen", file.listen, 0),
        own=_place("own", file.own, 0) if file.own else None,
        doors=doors,
        sources=sources,
        above=above,
        ops=_place("ops", file.ops, 0) if file.ops else None,
        snapshot=Path(file.snapshot) if file.snapshot else None,
        services=frozenset(file.services) or None,
        settings=file.settings,
    )
    _check_places(config)
    return config


def _check_places(config: Config) -> None:
    named = [("listen", config.listen), ("own", config.own), ("ops", config.ops)]
    named += [(f"doors[{i}].listen", door.listen) for i, door in enumerate(config.doors)]
    seen: dict[Place, str] = {}
    for key, place in named:
        if place is not None and place[1]:
            if place in seen:
                raise ConfigError(f"{key}: the address of {seen[place]}")
            seen[place] = key
    for key, places in (("sources", [one.place for one in config.sources]), ("above", list(config.above))):
        for i, place in enumerate(places):
            if place in seen:
                raise ConfigError(f"{key}[{i}]: this tier's own address, {seen[place]}")
    if config.services is not None:
        for i, door in enumerate(config.doors):
            for j, service in enumerate(door.services or ()):
                if service not in config.services:
                    raise ConfigError(f"doors[{i}].services[{j}]: {service!r} is not in services")


def _door(key: str, door: _Door) -> DoorConfig:
    if not door.services or "" in door.services:
        raise ConfigError(f"{key}.services: empty")
    if ANY in door.services and len(door.services) > 1:
        raise ConfigError(f"{key}.services: {ANY!r} beside others")
    services = None if door.services == [ANY] else tuple(dict.fromkeys(door.services))
    return DoorConfig(_place(f"{key}.listen", door.listen, 0), services)


def _place(key: str, text: str, lowest: int = 1) -> Place:
    try:
        return parse_host_port(text, lowest)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
