"""The sidecar's configuration, from a JSON file and environment variables. The file can be reloaded."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from larkcrank.config.settings import SettingsError, Site, convert
from larkcrank.protocol.discovery import parse_host_port
from larkcrank.protocol.http1 import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES

MIN_SOCKETS = 32
MIN_WATCH_MS, MAX_WATCH_MS = 100, 60_000  # the discovery protocol limits a wait to the maximum


class ConfigError(Exception):
    """A key of the configuration is missing or invalid. The message names it."""


class _Limits(msgspec.Struct):
    """Limits on the resources of the sidecar."""

    cores: float = 1.0  # accepted, but not used
    memory_mb: float = 192.0  # for buffers
    sockets: int = 1024  # descriptors
    body_mb: float = MAX_BODY_BYTES / (1 << 20)  # largest body of a request or a response


class _Recovery(msgspec.Struct):
    """See `RecoveryConfig`."""

    same_places: bool = False
    snapshot: str = ""


class _Fleet(msgspec.Struct):
    """See `FleetConfig`."""

    name: str
    listen: str
    secret: str = ""
    public: str = ""
    seeds: list[str] | str = []  # or one string, separated by commas
    recovery: _Recovery | None = None


class _File(msgspec.Struct):
    """The configuration file; see `Config`."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: list[str] | str = ""  # addresses; those after the first are used while it does not answer
    watch_ms: int | None = None  # wait of a watch call
    seed: str = ""  # hexadecimal; empty: random
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: msgspec.Raw = msgspec.Raw(b"")  # the last known server list
    kept: str = ""  # path of the file for the learned state
    ops: str = ""  # address for operators' calls
    fleet: _Fleet | None = None


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """How a member recovers its server list from other members and from a snapshot."""

    same_places: bool  # whether all members reach a server at the same host:port
    snapshot: str  # path of the snapshot, on a persistent disk; empty: no snapshot


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """The configuration of a member of a fleet."""

    name: str
    listen: tuple[str, int]  # for UDP datagrams
    secret: str  # authenticates the messages between members; empty: none
    public: str  # host:port at which other members reach this one; empty: the listen address
    seeds: tuple[str, ...]  # host:port of the members to contact first
    recovery: RecoveryConfig | None  # None: server lists are not shared


@dataclass(slots=True, frozen=True)
class Config:
    """The checked configuration of a sidecar."""

    name: str
    listen: tuple[str, int]  # port 0: any free port, which is then logged
    discovery: tuple[str, int]
    fallback_discovery: tuple[tuple[str, int], ...]  # used while `discovery` does not answer
    watch_ms: int | None  # how long discovery may delay the answer to a watch call; None: as long as allowed
    seed: int
    sockets: int
    memory_mb: float
    max_body_bytes: int  # of a request or a response
    initial_list: bytes  # the last known server list, in discovery's format; empty: none
    ops: tuple[str, int] | None  # address for operators' calls; None: they are not accepted
    passed_descriptor: int | None  # of a listening socket for clients that the platform opened; None: none
    fleet: FleetConfig | None  # None: not a member of a fleet
    learned_state_path: str  # file that is written at a graceful shutdown; empty: none
    site: Site
    settings: dict[str, Any]  # the JSON object that `site` was converted from

    def changes_needing_restart(self, new: "Config") -> list[str]:
        """Return the configuration keys whose values differ in `new` and take effect only after a restart."""
        pairs = {
            "name": (self.name, new.name),
            "listen": (self.listen, new.listen),
            "kept": (self.learned_state_path, new.learned_state_path),
            "ops": (self.ops, new.ops),
            "watch_ms": (self.watch_ms, new.watch_ms),
            "fleet": (self.fleet, new.fleet),
            "limits.memory_mb": (self.memory_mb, new.memory_mb),
            "limits.body_mb": (self.max_body_bytes, new.max_body_bytes),
            "limits.sockets": (self.sockets, new.sockets),
        }
        for key in sorted(self.settings.keys() | new.settings.keys()):
            pairs[f"settings.{key}"] = (self.settings.get(key), new.settings.get(key))
        return [key for key, (old_value, new_value) in pairs.items() if old_value != new_value]


def load(environment: Mapping[str, str], is_reload: bool = False) -> Config:
    """Read the file that PROXY_CONFIG names. The other variables override its keys.

    PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_OPS override `name`, `listen`, `discovery` and `ops`.
    On a reload the file's `discovery` overrides the environment, which can't change while a process runs.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set; it must name the configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error.strerror}") from None
    return parse(text, environment, is_reload)


def parse(text: bytes, environment: Mapping[str, str], is_reload: bool = False) -> Config:
    """Check the text of a configuration file, combined with the environment. Raises ConfigError."""
    try:
        file = msgspec.json.decode(text, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"configuration: {error}") from None
    if not 0.0 < file.limits.memory_mb < math.inf:
        raise ConfigError(f"limits.memory_mb: {file.limits.memory_mb} is not a positive finite number")
    if not MAX_BUFFERED_BODY_BYTES <= file.limits.body_mb * (1 << 20) < math.inf:
        raise ConfigError(
            f"limits.body_mb: {file.limits.body_mb} is not a size of at least {MAX_BUFFERED_BODY_BYTES} bytes"
        )
    if file.limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: {file.limits.sockets} is less than {MIN_SOCKETS}")
    try:
        site = convert(file.settings)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    ops = environment.get("PROXY_OPS") or file.ops
    discovery_sources: list[list[str] | str] = [environment.get("PROXY_DISCOVERY") or "", file.discovery]
    if is_reload:
        discovery_sources.reverse()
    discovery, *fallback_discovery = _parse_addresses(
        "discovery", discovery_sources[0] or discovery_sources[1]
    )
    if len({discovery, *fallback_discovery}) <= len(fallback_discovery):
        raise ConfigError("discovery: an address occurs twice")
    if fallback_discovery and file.fleet is not None and file.fleet.recovery is not None:
        # Members compare shared lists by generation, which each discovery service counts on its own.
        raise ConfigError("discovery: several addresses can't be combined with fleet.recovery")
    if file.watch_ms is not None and not MIN_WATCH_MS <= file.watch_ms <= MAX_WATCH_MS:
        raise ConfigError(f"watch_ms: {file.watch_ms} is not from {MIN_WATCH_MS} to {MAX_WATCH_MS}")
    return Config(
        name=environment.get("PROXY_NAME") or file.name or "larkcrank",
        listen=_parse_address("listen", environment.get("PROXY_LISTEN") or file.listen, lowest=0),
        discovery=discovery,
        fallback_discovery=tuple(fallback_discovery),
        watch_ms=file.watch_ms,
        seed=_parse_seed(file.seed),
        sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        max_body_bytes=int(file.limits.body_mb * (1 << 20)),
        initial_list=bytes(file.known),
        ops=_parse_address("ops", ops, lowest=0) if ops else None,
        passed_descriptor=_parse_descriptor(environment.get("PROXY_PASSED_SOCKET", "")),
        fleet=_parse_fleet(file.fleet),
        learned_state_path=file.kept,
        site=site,
        settings=file.settings,
    )


def _parse_address(key: str, text: str, lowest: int = 1) -> tuple[str, int]:
    """Parse host:port with a port of at least `lowest`. An error names `key`."""
    try:
        return parse_host_port(text, lowest)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _parse_addresses(key: str, value: list[str] | str) -> list[tuple[str, int]]:
    """One or more addresses, from a list or from one string separated by commas."""
    texts = [text.strip() for text in value.split(",")] if isinstance(value, str) else value
    if len(texts) < 2 and isinstance(value, str):
        return [_parse_address(key, value)]
    return [_parse_address(f"{key}[{index}]", text) for index, text in enumerate(texts)] or [
        _parse_address(key, "")
    ]


def _parse_fleet(section: _Fleet | None) -> FleetConfig | None:
    if section is None:
        return None
    if not section.name:
        raise ConfigError("fleet.name: empty")
    public = section.public and "{}:{}".format(*_parse_address("fleet.public", section.public))
    seed_texts = section.seeds.split(",") if isinstance(section.seeds, str) else section.seeds
    seeds = tuple(
        "{}:{}".format(*_parse_address(f"fleet.seeds[{index}]", text.strip()))
        for index, text in enumerate(seed_texts)
    )
    listen = _parse_address("fleet.listen", section.listen, lowest=0)
    recovery_section = section.recovery
    recovery = (
        None
        if recovery_section is None
        else RecoveryConfig(recovery_section.same_places, recovery_section.snapshot)
    )
    return FleetConfig(section.name, listen, section.secret, public, seeds, recovery)


def _parse_descriptor(text: str) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        raise ConfigError(f"PROXY_PASSED_SOCKET: {text!r} is not a descriptor number")
    return int(text)


def _parse_seed(text: str) -> int:
    if not text:
        return Random().getrandbits(64)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from None
