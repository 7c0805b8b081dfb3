"""The fleet's socket: datagrams, the tick, log lines, counters. All decisions are `Membership`'s."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import cast

import msgspec

from larkcrank.config.sidecar import FleetConfig
from larkcrank.core.interface import FleetSize
from larkcrank.fleet.membership import DOUBT_MOST, TICK_MS, Membership, Out
from larkcrank.fleet.ranks import Ranks
from larkcrank.fleet.records import Record, Standing
from larkcrank.fleet.wire import Codec, DatagramError
from larkcrank.routing.driver import EventLog

LIFE_BITS = 62
COUNT_MS = 1000.0  # between looks at how many there are


@dataclass(slots=True)
class FleetCounters:
    """`docs/fleet-view.md` says what they mean."""

    datagrams_in: int = 0
    datagrams_out: int = 0
    bytes_out: int = 0
    unsendable: int = 0
    replayed: int = 0
    refused: dict[str, int] = field(default_factory=dict)  # by reason
    deaths: int = 0  # members that this one has seen die
    moves: int = 0  # times that this one's place among its fellows changed
    size: int = 0  # members that it counts on
    place: int = 0  # its own among them


class Speaker(asyncio.DatagramProtocol):
    """Owns the datagram socket and the timer of one member."""

    def __init__(
        self,
        config: FleetConfig,
        name: str,
        zone: str,
        configured: FleetSize,
        clock: Callable[[], float],
        log: EventLog,
        on_size: Callable[[FleetSize], None],
        joined: Callable[[Membership, float], None],
        step: Callable[[float], list[Out]],
    ) -> None:
        """`joined` is told the membership before its first step; `step` is called after each one."""
        self.counters = FleetCounters()
        self._config, self._name, self._zone = config, name, zone
        self._configured, self._on_size = configured, on_size
        self._joined, self._step = joined, step
        self._clock, self._log = clock, log
        self._count_at = 0.0
        self._more_seeds: list[str] = []
        self.ranks: Ranks | None = None
        self._codec = Codec(config.name, config.secret)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.membership: Membership | None = None

    def more_seeds(self, places: list[str]) -> None:
        """Where fellows were before, for the case that no seed answers."""
        self._more_seeds = places

    async def start(self) -> None:
        """Raises OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._config.listen)
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")[:2]
        place = self._config.public or f"{host}:{port}"
        now = self._clock()
        me = Record(self._name, place, self._zone, secrets.randbits(LIFE_BITS), 1, started_ms=now)
        self.membership = Membership(
            me, [*self._config.seeds, *self._more_seeds], Random(secrets.randbits(64)), now
        )
        self.ranks = Ranks(self._name, self._configured.count, self._configured.ordinal, now)
        self._joined(self.membership, now)
        self._log.event("fleet_joining", fleet=self._config.name, place=place, seeds=len(self._config.seeds))
        self._tick()

    def leave(self) -> None:
        """The planned end: tell some others, then close."""
        if self.membership is not None and self._transport is not None:
            self._send(self.membership.leave(self._clock()))
        self.close()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
        self._timer = self._transport = None

    def view(self) -> str:
        """One line: how many live, the digest, then all members as JSON."""
        if self.membership is None or self.ranks is None:
            return "live 0 digest none []"
        membership, told, doubt = self.membership, self.ranks.told, self.ranks.doubt
        doubted = doubt.value.replace(" ", "-")
        uses = f"place {told.ordinal} of {told.count} most {told.max_instances} doubt {doubted}"
        members = [
            {"name": one.name, "place": one.place, "zone": one.zone, "standing": one.standing.name.lower()}
            | {"incarnation": one.incarnation, "life": f"{one.life:x}"}
            for one in sorted(membership.members.values(), key=lambda record: record.name)
        ]
        text = msgspec.json.encode(members).decode()
        return f"live {len(membership.live())} digest {membership.digest.whole:016x} {uses} {text}"

    # What the loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.membership is None:
            return
        self.counters.datagrams_in += 1
        try:
            message = self._codec.decode(data)
        except DatagramError as refused:
            self.counters.refused[refused.why] = self.counters.refused.get(refused.why, 0) + 1
            return
        now = self._clock()
        self._send(self.membership.receive(now, f"{addr[0]}:{addr[1]}", message))
        self._send(self._step(now))
        self.counters.replayed = self.membership.replayed
        self._tell()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens where we sent: the failure detector will say so."""

    def _tick(self) -> None:
        assert self.membership is not None
        self._timer = asyncio.get_running_loop().call_later(TICK_MS / 1000.0, self._tick)
        now = self._clock()
        self._send(self.membership.tick(now))
        self._send(self._step(now))
        self._tell()
        self._count()

    def _count(self) -> None:
        """Tell the balancer how many there are, and this one's place, where that is something new."""
        assert self.membership is not None and self.ranks is not None
        now, membership, ranks = self._clock(), self.membership, self.ranks
        if now < self._count_at or membership.is_duplicate:
            return
        self._count_at = now + COUNT_MS
        slow = membership.doubt * 2 >= DOUBT_MOST
        told = ranks.observe(now, membership.lives, membership.met_at, membership.differed_at, slow)
        self.counters.moves = ranks.moves
        self.counters.size, self.counters.place = ranks.told.count, ranks.told.ordinal
        if told is not None:
            doubt = ranks.doubt.value
            self._log.event(
                "fleet_size", count=told.count, place=told.ordinal, most=told.max_instances, doubt=doubt
            )
            self._on_size(told)

    def _send(self, outs: list[Out]) -> None:
        if self._transport is None:
            return
        for out in outs:
            host, _, port = out.place.rpartition(":")
            try:
                data = self._codec.encode(out.message)
                self._transport.sendto(data, (host, int(port)))
            except (ValueError, OSError):  # a place that is none came with somebody's record
                self.counters.unsendable += 1
                continue
            self.counters.datagrams_out += 1
            self.counters.bytes_out += len(data)

    def _tell(self) -> None:
        assert self.membership is not None
        for change in self.membership.changes:
            self.counters.deaths += change.standing is Standing.DEAD
            what = change.standing.name.lower()
            live = len(self.membership.live())
            self._log.event("fleet_member", member=change.name, standing=what, by=change.why, live=live)
        self.membership.changes.clear()
