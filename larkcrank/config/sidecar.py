"""What a sidecar is told: the platform's JSON file and the environment. The file may be read again later."""

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

LEAST_SOCKETS = 32
LEAST_WATCH_MS, LONGEST_WATCH_MS = 100, 60_000  # the longest that discovery's protocol has


class ConfigError(Exception):
    """The configuration lacks something or holds what can't be. The message names the key."""


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024
    body_mb: float = MAX_BODY_BYTES / (1 << 20)


class _Recovery(msgspec.Struct):
    same_places: bool = False
    snapshot: str = ""


class _Fleet(msgspec.Struct):
    name: str
    listen: str
    secret: str = ""
    public: str = ""
    seeds: list[str] | str = []  # or in one text, with commas
    recovery: _Recovery | None = None


class _File(msgspec.Struct):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: list[str] | str = ""  # several: the first, and who is asked where it does not answer
    watch_ms: int | None = None
    seed: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: msgspec.Raw = msgspec.Raw(b"")
    kept: str = ""
    ops: str = ""
    fleet: _Fleet | None = None


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """How a member goes on after a loss with what its fellows know."""

    same_places: bool  # a server's host:port is the same for all members
    snapshot: str  # path of the file for what it knew, on a disk that lasts; empty: none


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """What a member of a fleet is told."""

    name: str
    listen: tuple[str, int]  # for datagrams
    secret: str
    public: str  # host:port at which others reach it; empty: where it listens
    seeds: tuple[str, ...]  # host:port of members to begin with
    recovery: RecoveryConfig | None  # None: lists are nobody's but one's own


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]  # port 0: any free one; the log says which
    discovery: tuple[str, int]
    elsewhere: tuple[tuple[str, int], ...]  # who else tells the list, where discovery does not answer
    watch_ms: int | None  # how long a watch waits; None: as long as it may
    seed: int
    sockets: int
    memory_mb: float
    max_body: int  # bytes of a body, either way
    known: bytes  # the list as last held, in discovery's form; empty where there is none
    ops: tuple[str, int] | None  # where operators call; None: nowhere
    passed: int | None  # descriptor of the clients' listening socket, where the platform holds it
    fleet: FleetConfig | None  # None: this sidecar keeps no view of its fellows
    kept: str  # path of the file for what was learnt, written at a planned end; empty: none
    site: Site
    settings: dict[str, Any]  # as the file has them

    def fixed_changes(self, new: "Config") -> list[str]:
        """The keys with another value in `new` that a running sidecar does not follow."""
        pairs = {
            "name": (self.name, new.name),
            "listen": (self.listen, new.listen),
            "kept": (self.kept, new.kept),
            "ops": (self.ops, new.ops),
            "watch_ms": (self.watch_ms, new.watch_ms),
            "fleet": (self.fleet, new.fleet),
            "limits.memory_mb": (self.memory_mb, new.memory_mb),
            "limits.body_mb": (self.max_body, new.max_body),
            "limits.sockets": (self.sockets, new.sockets),
        }
        for key in sorted(self.settings.keys() | new.settings.keys()):
            pairs[f"settings.{key}"] = (self.settings.get(key), new.settings.get(key))
        return [key for key, (old, now) in pairs.items() if old != now]


def load(environment: Mapping[str, str], again: bool = False) -> Config:
    """Read the file that PROXY_CONFIG names; PROXY_NAME, _LISTEN, _DISCOVERY and _OPS outrank it.

    Read `again`, its `discovery` outranks the environment, which can't change while a process runs.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set; it names the configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error.strerror}") from None
    return parse(text, environment, again)


def parse(text: bytes, environment: Mapping[str, str], again: bool = False) -> Config:
    try:
        file = msgspec.json.decode(text, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"configuration: {error}") from None
    if not 0.0 < file.limits.memory_mb < math.inf:
        raise ConfigError(f"limits.memory_mb: {file.limits.memory_mb} is no amount of memory")
    if not MAX_BUFFERED_BODY_BYTES <= file.limits.body_mb * (1 << 20) < math.inf:
        raise ConfigError(
            f"limits.body_mb: {file.limits.body_mb} is no size of at least {MAX_BUFFERED_BODY_BYTES} bytes"
        )
    if file.limits.sockets < LEAST_SOCKETS:
        raise ConfigError(f"limits.sockets: {file.limits.sockets} is under {LEAST_SOCKETS}")
    try:
        site = convert(file.settings)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    ops = environment.get("PROXY_OPS") or file.ops
    named: list[list[str] | str] = [environment.get("PROXY_DISCOVERY") or "", file.discovery]
    if again:
        named.reverse()
    discovery, *elsewhere = _places("discovery", named[0] or named[1])
    if len({discovery, *elsewhere}) <= len(elsewhere):
        raise ConfigError("discovery: an address stands twice")
    if elsewhere and file.fleet is not None and file.fleet.recovery is not None:
        # Lists in common are told apart by generations, and those of several tellers are not one count.
        raise ConfigError("discovery: several addresses, beside fleet.recovery")
    if file.watch_ms is not None and not LEAST_WATCH_MS <= file.watch_ms <= LONGEST_WATCH_MS:
        raise ConfigError(f"watch_ms: {file.watch_ms} is not from {LEAST_WATCH_MS} to {LONGEST_WATCH_MS}")
    return Config(
        name=environment.get("PROXY_NAME") or file.name or "larkcrank",
        listen=_place("listen", environment.get("PROXY_LISTEN") or file.listen, lowest=0),
        discovery=discovery,
        elsewhere=tuple(elsewhere),
        watch_ms=file.watch_ms,
        seed=_seed(file.seed),
        sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        max_body=int(file.limits.body_mb * (1 << 20)),
        known=bytes(file.known),
        ops=_place("ops", ops, lowest=0) if ops else None,
        passed=_descriptor(environment.get("PROXY_PASSED_SOCKET", "")),
        fleet=_fleet(file.fleet),
        kept=file.kept,
        site=site,
        settings=file.settings,
    )


def _place(key: str, text: str, lowest: int = 1) -> tuple[str, int]:
    try:
        return parse_host_port(text, lowest)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _places(key: str, told: list[str] | str) -> list[tuple[str, int]]:
    """One or more, in a list or in one text with commas."""
    texts = [text.strip() for text in told.split(",")] if isinstance(told, str) else told
    if len(texts) < 2 and isinstance(told, str):
        return [_place(key, told)]
    return [_place(f"{key}[{i}]", text) for i, text in enumerate(texts)] or [_place(key, "")]


def _fleet(told: _Fleet | None) -> FleetConfig | None:
    if told is None:
        return None
    if not told.name:
        raise ConfigError("fleet.name: empty")
    public = told.public and "{}:{}".format(*_place("fleet.public", told.public))
    named = told.seeds.split(",") if isinstance(told.seeds, str) else told.seeds
    seeds = tuple("{}:{}".format(*_place(f"fleet.seeds[{i}]", seed.strip())) for i, seed in enumerate(named))
    listen = _place("fleet.listen", told.listen, lowest=0)
    wanted = told.recovery
    recovery = None if wanted is None else RecoveryConfig(wanted.same_places, wanted.snapshot)
    return FleetConfig(told.name, listen, told.secret, public, seeds, recovery)


def _descriptor(text: str) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        raise ConfigError(f"PROXY_PASSED_SOCKET: {text!r} is no number of a descriptor")
    return int(text)


def _seed(text: str) -> int:
    if not text:
        return Random().getrandbits(64)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is no hexadecimal number") from None
