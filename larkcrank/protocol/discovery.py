"""The format of the server list that the discovery service sends."""

import math
from dataclasses import dataclass, field

import msgspec

from larkcrank.core.interface import Address, Endpoint, State

LIST_TARGET = b"/registry/instances"
_STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


class ServerListError(Exception):
    """The text is not a valid server list."""


class _Instance(msgspec.Struct, rename="camel"):
    """One server of the list, with the names of the JSON fields in camel case."""

    instance_id: str
    lifecycle: str
    host_port: str = ""
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0


class _ListBody(msgspec.Struct):
    generation: int
    instances: list[_Instance]
    reset: bool = False  # whether this is a full list rather than only the changed instances


@dataclass(slots=True)
class NameTable:
    """Maps the names of zones and machine types to numbers, which are positions in these lists.

    Names that are not in the settings are appended in the order in which they are first seen.
    """

    zones: list[str]
    kinds: list[str]

    @staticmethod
    def number_of(names: list[str], name: str) -> int:
        """Return the position of `name` in `names`, appending it if it is new."""
        if name not in names:
            names.append(name)
        return names.index(name)


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """A full server list, or the servers that changed since an earlier generation."""

    generation: int
    is_full: bool
    endpoints: tuple[Endpoint, ...]
    host_ports: dict[Address, tuple[str, int]] = field(default_factory=dict)  # where each endpoint listens


_decoder = msgspec.json.Decoder(_ListBody)


def parse_list(text: bytes, names: NameTable) -> ListUpdate:
    """Parse a server list and add its new names to `names`. Raises `ServerListError` if it is malformed."""
    try:
        body = _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ServerListError(f"server list: {error}") from None
    endpoints, host_ports = [], {}
    for instance in body.instances:
        # One invalid instance must not hide the others. It counts as draining, so it gets no new requests.
        state = _STATES.get(instance.lifecycle, State.DRAINING)
        address = instance.instance_id.encode()
        try:
            host_ports[address] = parse_host_port(instance.host_port)
        except ValueError:
            state = State.GONE if state is State.GONE else State.DRAINING
        endpoints.append(
            Endpoint(
                address=address,
                state=state,
                zone=names.number_of(names.zones, instance.zone),
                cell=instance.cell,
                kind=names.number_of(names.kinds, instance.machine_type),
                size=instance.weight if 0.0 < instance.weight < math.inf else 1.0,
                started_at=instance.started_at_ms,
            )
        )
    return ListUpdate(body.generation, body.reset, tuple(endpoints), host_ports)


def parse_host_port(text: str, min_port: int = 1) -> tuple[str, int]:
    """Parse `host:port`. Raises `ValueError` for another form or a port below `min_port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is not in the form host:port")
    return host, int(port)


def format_host_port(host_port: tuple[str, int]) -> str:
    """Return an address in the form `host:port`."""
    return "{}:{}".format(*host_port)


def watch_target(generation: int, wait_ms: int) -> bytes:
    """Return the target of a long poll for changes after `generation`."""
    return b"%s?after=%d&wait_ms=%d" % (LIST_TARGET, generation, wait_ms)
