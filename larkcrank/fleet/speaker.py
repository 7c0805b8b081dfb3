"""The fleet's I/O: datagram socket, timer, log events and counters. `Membership` contains the protocol."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import cast

import msgspec

from larkcrank.config.sidecar import FleetConfig
from larkcrank.core.interface import FleetSize
from larkcrank.fleet.membership import (
    MAX_LOCAL_HEALTH_SCORE,
    TICK_INTERVAL_MS,
    Membership,
    OutgoingMessage,
)
from larkcrank.fleet.ranks import FleetSizeTracker
from larkcrank.fleet.records import MemberRecord, Standing
from larkcrank.fleet.wire import Codec, DatagramError
from larkcrank.routing.driver import EventLog

BOOT_ID_BITS = 62
SIZE_CHECK_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class FleetCounters:
    """Counters of one member. docs/fleet-view.md describes them for operators."""

    datagrams_in: int = 0
    datagrams_out: int = 0
    bytes_out: int = 0
    unsendable: int = 0  # datagrams that were not sent: too long, an invalid address or a socket error
    replayed: int = 0  # rejected datagrams that were received before
    refused: dict[str, int] = field(default_factory=dict)  # rejected datagrams by reason
    deaths: int = 0  # changes of a member to dead in this member's view
    moves: int = 0  # changes of the fleet's size or this member's ordinal
    size: int = 0  # size of the fleet
    place: int = 0  # this member's ordinal


class FleetProtocol(asyncio.DatagramProtocol):
    """Owns the datagram socket and the timer of one member."""

    def __init__(
        self,
        config: FleetConfig,
        name: str,
        zone: str,
        configured_size: FleetSize,
        clock: Callable[[], float],
        log: EventLog,
        on_fleet_size: Callable[[FleetSize], None],
        on_started: Callable[[Membership, float], None],
        on_step: Callable[[float], list[OutgoingMessage]],
    ) -> None:
        """`configured_size` applies until the membership view is trusted. `clock` returns milliseconds.

        `on_fleet_size` is called with each new size and ordinal.
        `on_started` is called with the membership and the time before the first tick.
        `on_step` is called with the time after each tick and datagram; it returns further messages to send.
        """
        self.counters = FleetCounters()
        self._config, self._name, self._zone = config, name, zone
        self._configured_size, self._on_fleet_size = configured_size, on_fleet_size
        self._on_started, self._on_step = on_started, on_step
        self._clock, self._log = clock, log
        self._next_size_check_at = 0.0
        self._extra_seeds: list[str] = []
        self.size_tracker: FleetSizeTracker | None = None
        self._codec = Codec(config.name, config.secret)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.membership: Membership | None = None

    def set_extra_seeds(self, addresses: list[str]) -> None:
        """Set addresses of peers from before a restart, to be contacted in addition to the seeds."""
        self._extra_seeds = addresses

    async def start(self) -> None:
        """Bind the socket and join the fleet. Raises OSError if the socket cannot be bound."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._config.listen)
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")[:2]
        address = self._config.public or f"{host}:{port}"
        now = self._clock()
        local_record = MemberRecord(
            self._name, address, self._zone, secrets.randbits(BOOT_ID_BITS), 1, started_at_ms=now
        )
        self.membership = Membership(
            local_record, [*self._config.seeds, *self._extra_seeds], Random(secrets.randbits(64)), now
        )
        self.size_tracker = FleetSizeTracker(
            self._name, self._configured_size.count, self._configured_size.ordinal, now
        )
        self._on_started(self.membership, now)
        self._log.event(
            "fleet_joining", fleet=self._config.name, place=address, seeds=len(self._config.seeds)
        )
        self._tick()

    def leave(self) -> None:
        """Leave the fleet in a planned shutdown: notify some members, then close the socket."""
        if self.membership is not None and self._transport is not None:
            self._send(self.membership.leave(self._clock()))
        self.close()

    def close(self) -> None:
        """Stop the timer and close the socket without notifying other members."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
        self._timer = self._transport = None

    def view(self) -> str:
        """Return one line for operators: live members, digest, fleet size, then all members as JSON."""
        if self.membership is None or self.size_tracker is None:
            return "live 0 digest none []"
        membership, size, reason = (
            self.membership,
            self.size_tracker.current,
            self.size_tracker.distrust_reason,
        )
        reason_text = reason.value.replace(" ", "-")
        size_text = f"place {size.ordinal} of {size.count} most {size.max_instances} doubt {reason_text}"
        members = [
            {
                "name": member.name,
                "place": member.address,
                "zone": member.zone,
                "standing": member.standing.name.lower(),
            }
            | {"incarnation": member.incarnation, "life": f"{member.boot_id:x}"}
            for member in sorted(membership.members.values(), key=lambda record: record.name)
        ]
        members_text = msgspec.json.encode(members).decode()
        return (
            f"live {len(membership.live_records())} digest {membership.digest.total:016x} "
            f"{size_text} {members_text}"
        )

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.membership is None:
            return
        self.counters.datagrams_in += 1
        try:
            message = self._codec.decode(data)
        except DatagramError as error:
            self.counters.refused[error.reason] = self.counters.refused.get(error.reason, 0) + 1
            return
        now = self._clock()
        self._send(self.membership.receive(now, f"{addr[0]}:{addr[1]}", message))
        self._send(self._on_step(now))
        self.counters.replayed = self.membership.replayed_count
        self._log_changes()

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as ICMP port unreachable; the failure detector notices dead members."""

    def _tick(self) -> None:
        assert self.membership is not None
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_MS / 1000.0, self._tick)
        now = self._clock()
        self._send(self.membership.tick(now))
        self._send(self._on_step(now))
        self._log_changes()
        self._check_size()

    def _check_size(self) -> None:
        """Report the fleet's size and this member's ordinal to the balancer if they changed."""
        assert self.membership is not None and self.size_tracker is not None
        now, membership, size_tracker = self._clock(), self.membership, self.size_tracker
        if now < self._next_size_check_at or membership.is_duplicate:
            return
        self._next_size_check_at = now + SIZE_CHECK_INTERVAL_MS
        is_slow = membership.local_health_score * 2 >= MAX_LOCAL_HEALTH_SCORE
        new_size = size_tracker.observe(
            now, membership.live_members, membership.first_contact_at, membership.digest_mismatch_at, is_slow
        )
        self.counters.moves = size_tracker.move_count
        self.counters.size, self.counters.place = size_tracker.current.count, size_tracker.current.ordinal
        if new_size is not None:
            reason = size_tracker.distrust_reason.value
            self._log.event(
                "fleet_size",
                count=new_size.count,
                place=new_size.ordinal,
                most=new_size.max_instances,
                doubt=reason,
            )
            self._on_fleet_size(new_size)

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        if self._transport is None:
            return
        for datagram in outgoing:
            host, _, port = datagram.address.rpartition(":")
            try:
                data = self._codec.encode(datagram.message)
                self._transport.sendto(data, (host, int(port)))
            except (ValueError, OSError):  # e.g. an invalid address in a record of another member
                self.counters.unsendable += 1
                continue
            self.counters.datagrams_out += 1
            self.counters.bytes_out += len(data)

    def _log_changes(self) -> None:
        """Log and count changes of members' standings since the last call."""
        assert self.membership is not None
        for change in self.membership.changes:
            self.counters.deaths += change.standing is Standing.DEAD
            standing = change.standing.name.lower()
            live_count = len(self.membership.live_records())
            self._log.event(
                "fleet_member", member=change.name, standing=standing, by=change.reason, live=live_count
            )
        self.membership.changes.clear()
