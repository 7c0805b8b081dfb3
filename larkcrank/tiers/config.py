"""A tier's configuration: one JSON file. Every error message names the key at fault."""

import math
from dataclasses import dataclass
from pathlib import Path

import msgspec

from larkcrank.protocol.discovery import parse_host_port

HostPort = tuple[str, int]
ALL_SERVICES = "*"


class ConfigError(Exception):
    """The configuration lacks a key or has an invalid value. The message names the key."""


class _Door(msgspec.Struct, forbid_unknown_fields=True):
    """A listener for sidecars."""

    listen: str
    services: list[str]


class _Source(msgspec.Struct, forbid_unknown_fields=True):
    """A discovery service or child tier whose list this tier fetches."""

    discovery: str
    service: str = ""
    may_be_empty: bool = False


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits and times with their defaults. Each field is a key of `settings` in the configuration file."""

    gather_ms: float = 100.0  # minimum time between two batches of changes at one listener
    wait_ms: int = 1000  # long-poll wait of calls to sources and parent tiers
    slack_ms: float = 700.0  # a long poll without an answer fails this long after its wait has ended
    whole_ms: float = 3000.0  # timeout of a call for a full list
    connect_ms: float = 500.0  # timeout of connecting to a source or parent
    # With a source or parent silent for longer, receivers with an unknown generation are refused.
    fresh_ms: float = 6000.0
    # With a parent silent for longer the tier is stale; without sources it also refuses waiting calls.
    deaf_ms: float = 3000.0
    # The tier stops waiting for a source that has not answered within this time after the start.
    patience_ms: float = 30_000.0
    wholes_per_s: float = 250.0  # maximum rate of full answers to sidecars, over all listeners
    tier_wholes_per_s: float = 5.0  # maximum rate of full answers to tiers
    whole_wait_ms: float = 2000.0  # a call that would wait longer for a full answer is refused
    write_ms: float = 2000.0  # a connection whose peer has not read an answer by then is closed
    idle_ms: float = 10_000.0  # a connection without a call for this long is closed
    longest_wait_ms: int = 60_000  # maximum long-poll wait; longer requested waits are lowered to it
    connections: int = 5000  # maximum number of receivers connected
    answer_bytes: int = 4 << 20  # maximum size of an answer from a source or parent
    spread_ms: float = 500.0  # upper bound of the random delay before a call to another address
    back_min_ms: float = 20_000.0  # bounds of the random delay before the first address is tried again
    back_max_ms: float = 60_000.0
    again_max_ms: float = 2000.0  # upper bound of the mean delay between failed calls
    tombstones: int = 20_000  # maximum number of tombstones
    tombstone_ms: float = 7_200_000.0  # an older tombstone is removed
    snapshot_ms: float = 10_000.0  # interval of snapshots; skipped if nothing has changed
    snapshot_age_ms: float = 3_600_000.0  # an older snapshot is not loaded
    # A sidecar that was disconnected while it lacked a change is reported for this long.
    left_ms: float = 600_000.0
    held_ms: float = 3000.0  # a child's summary expires after this; a sidecar that lags for longer is logged


class _File(msgspec.Struct, forbid_unknown_fields=True):
    """The configuration file as written; addresses are host:port."""

    name: str
    listen: str  # for child tiers
    own: str = ""  # for the parent tier, which reads the records of this tier and those below it
    doors: list[_Door] = []  # for sidecars
    sources: list[_Source] = []
    above: list[str] = []  # addresses of parent tiers
    ops: str = ""
    snapshot: str = ""
    services: list[str] = []
    settings: Settings = msgspec.field(default_factory=Settings)


@dataclass(slots=True, frozen=True)
class SidecarListenerConfig:
    """The address of a listener for sidecars, and the services that it serves."""

    listen: HostPort
    services: tuple[str, ...] | None  # None: all


@dataclass(slots=True, frozen=True)
class SourceConfig:
    """A discovery service or child tier whose list this tier fetches."""

    address: HostPort
    service: str  # of instances that name none; empty: each instance names its own
    may_be_empty: bool  # whether an answer without live instances is accepted


@dataclass(slots=True, frozen=True)
class Config:
    """The checked configuration of a tier."""

    name: str
    child_listen: HostPort  # for child tiers
    parent_listen: HostPort | None  # for the parent tier
    sidecar_listeners: tuple[SidecarListenerConfig, ...]
    sources: tuple[SourceConfig, ...]
    parents: tuple[HostPort, ...]  # alternatives; one is used at a time
    ops_listen: HostPort | None
    snapshot_path: Path | None
    services: frozenset[str] | None  # all services that exist; None: any name is accepted
    settings: Settings


def load(path: Path) -> Config:
    """Read and check a configuration file. Raises `ConfigError`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    return parse(text)


def parse(text: bytes) -> Config:
    """Check the text of a configuration file. Raises `ConfigError`."""
    try:
        file = msgspec.json.decode(text, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"configuration: {error}") from None
    if not 0 < len(file.name) <= 64:
        raise ConfigError(f"name: {len(file.name)} characters, not 1 to 64")
    if not file.sources and not file.above:
        raise ConfigError("sources: both sources and above are empty; the tier needs at least one")
    if not file.above and not file.sources:
        raise ConfigError("above: empty")
    for key, value in msgspec.structs.asdict(file.settings).items():
        if not 0 < value < math.inf:
            raise ConfigError(f"settings.{key}: {value} is not a finite number above 0")
    if file.settings.back_max_ms < file.settings.back_min_ms:
        raise ConfigError("settings.back_max_ms: less than back_min_ms")
    if file.settings.longest_wait_ms > 60_000:
        raise ConfigError("settings.longest_wait_ms: over 60000, the maximum of the discovery protocol")
    sidecar_listeners = tuple(
        _sidecar_listener(f"doors[{i}]", listener) for i, listener in enumerate(file.doors)
    )
    sources = tuple(
        SourceConfig(
            _parse_address(f"sources[{i}].discovery", source.discovery), source.service, source.may_be_empty
        )
        for i, source in enumerate(file.sources)
    )
    if len({source.address for source in sources}) < len(sources):
        raise ConfigError("sources: duplicate address")
    parents = tuple(_parse_address(f"above[{i}]", address) for i, address in enumerate(file.above))
    if len(set(parents)) < len(parents):
        raise ConfigError("above: duplicate address")
    config = Config(
        name=file.name,
        child_listen=_parse_address("listen", file.listen, 0),
        parent_listen=_parse_address("own", file.own, 0) if file.own else None,
        sidecar_listeners=sidecar_listeners,
        sources=sources,
        parents=parents,
        ops_listen=_parse_address("ops", file.ops, 0) if file.ops else None,
        snapshot_path=Path(file.snapshot) if file.snapshot else None,
        services=frozenset(file.services) or None,
        settings=file.settings,
    )
    _check_consistency(config)
    return config


def _check_consistency(config: Config) -> None:
    """Check that no address is used twice and that the listeners' services exist."""
    listen_addresses = [
        ("listen", config.child_listen),
        ("own", config.parent_listen),
        ("ops", config.ops_listen),
    ]
    listen_addresses += [
        (f"doors[{i}].listen", listener.listen) for i, listener in enumerate(config.sidecar_listeners)
    ]
    key_by_address: dict[HostPort, str] = {}
    for key, address in listen_addresses:
        if address is not None and address[1]:
            if address in key_by_address:
                raise ConfigError(f"{key}: same address as {key_by_address[address]}")
            key_by_address[address] = key
    for key, addresses in (
        ("sources", [source.address for source in config.sources]),
        ("above", list(config.parents)),
    ):
        for i, address in enumerate(addresses):
            if address in key_by_address:
                raise ConfigError(f"{key}[{i}]: same address as this tier's own {key_by_address[address]}")
    if config.services is not None:
        for i, listener in enumerate(config.sidecar_listeners):
            for j, service in enumerate(listener.services or ()):
                if service not in config.services:
                    raise ConfigError(f"doors[{i}].services[{j}]: {service!r} is not in services")


def _sidecar_listener(key: str, listener: _Door) -> SidecarListenerConfig:
    if not listener.services or "" in listener.services:
        raise ConfigError(f"{key}.services: empty")
    if ALL_SERVICES in listener.services and len(listener.services) > 1:
        raise ConfigError(f"{key}.services: {ALL_SERVICES!r} cannot be combined with other services")
    services = None if listener.services == [ALL_SERVICES] else tuple(dict.fromkeys(listener.services))
    return SidecarListenerConfig(_parse_address(f"{key}.listen", listener.listen, 0), services)


def _parse_address(key: str, text: str, min_port: int = 1) -> HostPort:
    try:
        return parse_host_port(text, min_port)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
