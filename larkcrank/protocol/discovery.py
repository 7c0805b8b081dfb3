"""The server list as discovery tells it."""

import math
from dataclasses import dataclass, field

import msgspec

from larkcrank.core.interface import Address, Endpoint, State

LIST_TARGET = b"/registry/instances"
_STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


class ListError(Exception):
    """The text is no server list."""


class _Line(msgspec.Struct, rename="camel"):
    instance_id: str
    lifecycle: str
    host_port: str = ""
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0


class _Text(msgspec.Struct):
    generation: int
    instances: list[_Line]
    reset: bool = False


@dataclass(slots=True)
class Names:
    """The numbers that zones and machine types go by. What the settings do not list is numbered as met."""

    zones: list[str]
    kinds: list[str]

    @staticmethod
    def number(names: list[str], name: str) -> int:
        if name not in names:
            names.append(name)
        return names.index(name)


@dataclass(slots=True, frozen=True)
class Listing:
    generation: int
    whole: bool
    endpoints: tuple[Endpoint, ...]
    places: dict[Address, tuple[str, int]] = field(default_factory=dict)  # where each one listens


_decoder = msgspec.json.Decoder(_Text)


def parse(text: bytes, names: Names) -> Listing:
    try:
        told = _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ListError(f"server list: {error}") from None
    endpoints, places = [], {}
    for line in told.instances:
        # One line that makes no sense must not hide the others: such a server gets nothing new.
        state = _STATES.get(line.lifecycle, State.DRAINING)
        address = line.instance_id.encode()
        try:
            places[address] = host_port(line.host_port)
        except ValueError:
            state = State.GONE if state is State.GONE else State.DRAINING
        endpoints.append(
            Endpoint(
                address=address,
                state=state,
                zone=names.number(names.zones, line.zone),
                cell=line.cell,
                kind=names.number(names.kinds, line.machine_type),
                size=line.weight if 0.0 < line.weight < math.inf else 1.0,
                started_at=line.started_at_ms,
            )
        )
    return Listing(told.generation, told.reset, tuple(endpoints), places)


def host_port(text: str, lowest: int = 1) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not lowest <= int(port) < 65536:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)


def watch_target(generation: int, wait_ms: int) -> bytes:
    return b"%s?after=%d&wait_ms=%d" % (LIST_TARGET, generation, wait_ms)
