"""Simulates fleet members in virtual time: datagrams, losses, partitions, crashes and stalls.

All events are on one heap, and a seed makes a run repeatable. SimPy was not used: its processes are
generators, a few times slower than plain calls from a heap, and the members are state machines already, which
never wait inside a call.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random

from larkcrank.core.interface import FleetSize
from larkcrank.fleet.membership import MAX_LOCAL_HEALTH_SCORE, TICK_INTERVAL_MS, Membership, OutgoingMessage
from larkcrank.fleet.ranks import FleetSizeTracker
from larkcrank.fleet.records import MemberRecord
from larkcrank.fleet.wire import Codec, DatagramError

# Longest run and longest stop of a member that does not get enough CPU.
STARVED_MAX_RUN_MS, STARVED_MAX_STOP_MS = 1000.0, 3000.0
FLEET_SIZE_CHECK_MS = 1000.0  # interval at which a member checks the fleet size


class VirtualFleet:
    """A simulated fleet. Members are identified by their number; times are in ms."""

    def __init__(
        self, count: int, seed: int, seed_count: int = 3, delay_ms: float = 2.0, zone_count: int = 1
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.loss_rate = 0.0  # probability that a datagram is lost
        self.delay_ms, self.jitter_ms = delay_ms, delay_ms
        # Whether datagrams from the first member to the second are dropped.
        self.is_link_cut: Callable[[int, int], bool] = lambda source, receiver: False
        self.members: dict[int, Membership] = {}  # those whose process is running
        self.ranks: dict[
            int, FleetSizeTracker
        ] = {}  # ordinal and fleet size as each running member knows them
        # Time, member, and the size that its balancer was told.
        self.reported_sizes: list[tuple[float, int, FleetSize]] = []
        self.configured_count = count  # the number of members in every configuration
        self.stopped: set[int] = set()
        self.sent_datagrams = self.sent_bytes = 0
        self.rejected_datagrams: dict[str, int] = {}  # count by reason
        self.deaths: list[tuple[float, int, str]] = []  # time, declaring member, name of the dead one
        self._codec = Codec("world")
        self._zone_count = zone_count
        self.seed_addresses = [f"m:{index}" for index in range(seed_count)]
        self._boot_ids: dict[int, int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        # By stopped member: source address and data of the datagrams that arrived meanwhile.
        self._unread_datagrams: dict[int, list[tuple[str, bytes]]] = {}
        for number in range(count):
            self.start(number)

    # Faults

    def start(self, number: int, name: str = "") -> None:
        """Starts a process under this name and address, without stored state and with a random boot ID."""
        boot_id = self.rng.getrandbits(62)
        self._boot_ids[number] = boot_id
        me = MemberRecord(name or f"n{number}", f"m:{number}", f"z{number % self._zone_count}", boot_id, 1)
        self.members[number] = Membership(me, self.seed_addresses, Random(self.rng.getrandbits(62)), self.now)
        self.ranks[number] = FleetSizeTracker(me.name, self.configured_count, number, self.now)
        self.schedule(self.now + self.rng.random() * TICK_INTERVAL_MS, lambda: self._tick(number, boot_id))
        self.schedule(
            self.now + self.rng.random() * FLEET_SIZE_CHECK_MS, lambda: self._count(number, boot_id)
        )

    def kill(self, numbers: Iterable[int]) -> None:
        """Ends the processes of these members without notice to the others."""
        for number in numbers:
            self.members.pop(number, None)
            self.ranks.pop(number, None)
            self.stopped.discard(number)
            self._unread_datagrams.pop(number, None)

    def stop(self, numbers: Iterable[int]) -> None:
        """Suspends these members, as SIGSTOP does."""
        self.stopped |= set(numbers)

    def resume(self, numbers: Iterable[int]) -> None:
        """Resumes these members, which first read the datagrams that wait in their sockets."""
        for number in numbers:
            self.stopped.discard(number)
            for source_address, data in self._unread_datagrams.pop(number, []):
                self._arrive(number, source_address, data)

    def starve(self, numbers: Iterable[int]) -> None:
        """Simulates a lack of CPU from now on: in turn, members stop for up to 3 s and run for up to 1 s."""
        for number in numbers:
            self._starve(number, self._boot_ids[number], is_stopped=False)

    def _starve(self, number: int, boot_id: int, is_stopped: bool) -> None:
        if self._boot_ids[number] != boot_id or number not in self.members:
            return
        (self.resume if is_stopped else self.stop)([number])
        wait_ms = self.rng.random() * (STARVED_MAX_RUN_MS if is_stopped else STARVED_MAX_STOP_MS)
        self.schedule(self.now + wait_ms, lambda: self._starve(number, boot_id, not is_stopped))

    def leave(self, number: int) -> None:
        """Lets a member announce that it leaves, and ends its process."""
        self._send(number, self.members[number].leave(self.now))
        self.kill([number])

    # Time

    def schedule(self, due: float, action: Callable[[], None]) -> None:
        """Schedules an action for a virtual time. Actions of one time run in the order of scheduling."""
        self._event_count += 1
        heapq.heappush(self._events, (due, self._event_count, action))

    def run(self, duration_ms: float) -> None:
        end_ms = self.now + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end_ms

    def run_until_converged(self, timeout_ms: float, step_ms: float = 500.0) -> float | None:
        """Runs until all views are correct and returns the time that it took, or None after `timeout_ms`."""
        started_at = self.now
        while self.now - started_at < timeout_ms:
            if self.has_converged():
                return self.now - started_at
            self.run(step_ms)
        return self.now - started_at if self.has_converged() else None

    def live_identities(self) -> set[tuple[str, int]]:
        """Name and boot ID of every running member."""
        return {(member.local_record.name, member.local_record.boot_id) for member in self.members.values()}

    def has_converged(self) -> bool:
        """Whether every running member holds exactly the running ones, and all digests are equal."""
        expected = self.live_identities()
        if len({member.digest.total for member in self.members.values()}) > 1:
            return False
        views = (
            {(member_record.name, member_record.boot_id) for member_record in member.live_records()}
            for member in self.members.values()
        )
        return all(view == expected for view in views)

    def _tick(self, number: int, boot_id: int) -> None:
        member = self.members.get(number)
        if member is None or self._boot_ids[number] != boot_id:
            return
        if number not in self.stopped:
            self._send(number, member.tick(self.now))
            self._note(number, member)
        self.schedule(self.now + TICK_INTERVAL_MS, lambda: self._tick(number, boot_id))

    def _count(self, number: int, boot_id: int) -> None:
        """Checks the fleet size in the view of a member and records what its balancer is told."""
        member = self.members.get(number)
        if member is None or self._boot_ids[number] != boot_id:
            return
        if number not in self.stopped and not member.is_duplicate:
            is_doubtful = member.local_health_score * 2 >= MAX_LOCAL_HEALTH_SCORE
            ranks = self.ranks[number]
            fleet_size = ranks.observe(
                self.now, member.live_members, member.first_contact_at, member.digest_mismatch_at, is_doubtful
            )
            if fleet_size is not None:
                self.reported_sizes.append((self.now, number, fleet_size))
        self.schedule(self.now + FLEET_SIZE_CHECK_MS, lambda: self._count(number, boot_id))

    def has_correct_ordinals(self) -> bool:
        """Whether the running members have distinct ordinals from 0 on and know the correct fleet size."""
        sizes = [ranks.current for ranks in self.ranks.values()]
        all_ordinals = set(range(len(self.members)))
        return {size.ordinal for size in sizes} == all_ordinals and {size.count for size in sizes} == {
            len(sizes)
        }

    def _note(self, number: int, member: Membership) -> None:
        """Records the deaths among the changes of a member's view and clears these changes."""
        for change in member.changes:
            if change.standing.name == "DEAD":
                self.deaths.append((self.now, number, change.name))
        member.changes.clear()

    def _send(self, source: int, datagrams: list[OutgoingMessage]) -> None:
        for datagram in datagrams:
            data = self._codec.encode(datagram.message)
            self.sent_datagrams += 1
            self.sent_bytes += len(data)
            receiver = int(datagram.address[2:])
            if self.rng.random() < self.loss_rate or self.is_link_cut(source, receiver):
                continue
            due = self.now + self.delay_ms + self.rng.random() * self.jitter_ms
            self.schedule(
                due,
                lambda receiver=receiver, data=data: self._arrive(receiver, f"m:{source}", data),  # type: ignore[misc]
            )

    def _arrive(self, receiver: int, source_address: str, data: bytes) -> None:
        member = self.members.get(receiver)
        if member is None:
            return
        if receiver in self.stopped:
            self._unread_datagrams.setdefault(receiver, []).append((source_address, data))
            return
        try:
            message = self._codec.decode(data)
        except DatagramError as error:
            self.rejected_datagrams[error.reason] = self.rejected_datagrams.get(error.reason, 0) + 1
            return
        self._send(receiver, member.receive(self.now, source_address, message))
        self._note(receiver, member)
