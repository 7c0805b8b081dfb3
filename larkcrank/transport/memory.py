"""The account of the memory that peers make the process hold, and how scarce memory is.

Nothing ever waits for the account, so there can be no deadlock: whoever holds nothing may always do one more
read. As memory gets scarce, reads get smaller, bodies are read only as fast as they are passed on, idle
connections are closed, and requests that do not fit are refused before they are read.
"""

import math
from enum import Enum, IntEnum

LARGE_READ_BYTES, MEDIUM_READ_BYTES, SMALL_READ_BYTES = 64 * 1024, 16 * 1024, 4 * 1024
_READ_SIZES = (LARGE_READ_BYTES, MEDIUM_READ_BYTES, SMALL_READ_BYTES)
SIMULTANEOUS_READS = 1024  # so many reads in one iteration of the event loop must fit into memory
# Of a body that passes through to a slow reader, the process holds so many reads at a time: in the stream, in
# the parser, waiting for the queue, in the queue, being written, and as the chunk of that.
READS_HELD_PER_STREAM = 6
CONNECTION_BYTES = 8 * 1024  # objects of one open client connection
REQUEST_BYTES = 12 * 1024  # objects of one request in hand: its state, its attempt and that one's connection
# For what the account does not see: a share of the limit, but at least so many bytes.
RESERVED_SHARE = 0.125
MIN_RESERVED_BYTES = 6 << 20
# Memory shared with other programs counts if what the program leaves of the limit is so many times as much.
MIN_SHARED_FACTOR = 3.0
MIN_CAPACITY_SHARE = 0.0625  # of the limit, where the program itself takes nearly all
# An upload may hold this share of what is left until memory gets scarce, within these bounds.
UPLOAD_SHARE = 0.125
MIN_UPLOAD_BYTES, MAX_UPLOAD_BYTES = 64 * 1024, 4 << 20
# So much of an answer is held, while memory is plentiful or scarce, before it is passed on as it comes.
MAX_ANSWER_BYTES, MIN_ANSWER_BYTES = 64 * 1024, 8 * 1024
# If peers hold less than this share of the capacity, refusing requests would not help.
MIN_HELD_SHARE = 0.1


class MemoryUse(Enum):
    """What memory is held for. The values are names in the log."""

    CONNECTION = "connections"
    REQUEST = "requests"  # heads and short bodies of requests
    UPLOAD = "uploads"  # long bodies of requests
    RESPONSE = "responses"  # short answers
    STREAM = "streams"  # long answers
    REQUEST_ID = "request ids"


_LASTING_USES = (MemoryUse.CONNECTION, MemoryUse.REQUEST_ID)  # longer than a message


class Pressure(IntEnum):
    """How scarce memory is."""

    NONE = 0
    MODERATE = 1  # reads get smaller
    HIGH = 2  # bodies are read only as fast as they are passed on; idle connections are closed
    CRITICAL = 3  # requests with bodies are refused
    EXHAUSTED = 4  # all requests are refused, and no connection is accepted


# The share of the capacity that peers hold from which each pressure applies.
_HELD_SHARES = {
    Pressure.EXHAUSTED: 1.0,
    Pressure.CRITICAL: 0.75,
    Pressure.HIGH: 0.5,
    Pressure.MODERATE: 0.3,
}
# The share of the limit that the process was seen to use from which each pressure applies.
_OBSERVED_SHARES = {Pressure.EXHAUSTED: 0.96, Pressure.CRITICAL: 0.92, Pressure.HIGH: 0.85}


class HeldBytes:
    """How many bytes are held for one use."""

    __slots__ = ("byte_count", "lasts")

    def __init__(self, lasts: bool) -> None:
        self.byte_count = 0
        self.lasts = lasts  # whether they are held for longer than a message


class MemoryAccount:
    """Counts the memory that the process holds for peers, in bytes.

    The amounts are estimates. `observe` tells the account what the process really uses.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._other_processes = 0
        self._program_bytes = 0  # private memory of the process without any peer
        self._shared_bytes = 0  # memory that it shares with other programs, such as code
        self._observed_bytes = 0  # its private memory at the last look
        self._held = {use: HeldBytes(use in _LASTING_USES) for use in MemoryUse}
        self._total_bytes = 0
        self.held_bytes = 0  # of messages, without what lasts
        self.peak_held_bytes = 0
        self.capacity_bytes = 0.0  # what this process may hold for peers
        self.pressure = Pressure.NONE  # how scarce memory is now
        # The largest number of bytes that the next read of a body may return.
        self.read_size = LARGE_READ_BYTES
        # Within these bounds of what is held, the pressure stays as it is.
        self._lower_bound, self._upper_bound = 0.0, 0.0
        self._update_capacity()

    def reserve(self, byte_count: int, use: MemoryUse) -> None:
        """Count bytes that the process now holds. This never fails or waits."""
        self.change(self._held[use], byte_count)

    def held_for(self, use: MemoryUse) -> "HeldBytes":
        """Return what is held for a use, which only `change` may alter."""
        return self._held[use]

    def change(self, held: "HeldBytes", byte_count: int) -> None:
        """Count bytes that are now held for a use, or with a negative number no longer."""
        held.byte_count += byte_count
        self._total_bytes += byte_count
        if not held.lasts:
            self.held_bytes += byte_count
            if self.held_bytes > self.peak_held_bytes:
                self.peak_held_bytes = self.held_bytes
        if not self._lower_bound <= self._total_bytes < self._upper_bound:
            self._update_pressure()

    def release(self, byte_count: int, use: MemoryUse) -> None:
        """Stop counting bytes that the process no longer holds."""
        self.reserve(-byte_count, use)

    def set_program_bytes(self, private_bytes: int, shared_bytes: int) -> None:
        """Set what the process uses before any peer has come."""
        self._program_bytes = private_bytes
        self._shared_bytes = shared_bytes
        self._update_capacity()

    def observe(self, private_bytes: int) -> None:
        """Take note of the private memory of the process, as the operating system counts it."""
        self._observed_bytes = private_bytes
        self._update_pressure()

    def set_other_processes(self, count: int) -> None:
        """Divide the limit among this process and `count` other live processes of the same sidecar."""
        self._other_processes = count
        self._update_capacity()

    def held_by_use(self) -> dict[str, int]:
        """Return the bytes held for each use, as fields of a log event."""
        return {use.value: held.byte_count for use, held in self._held.items()}

    @property
    def total_bytes(self) -> int:
        """What peers make the process hold, with their connections."""
        return self._total_bytes

    @property
    def _limit_part(self) -> float:
        return self._limit_bytes / (1 + self._other_processes)

    @property
    def _counted_shared_bytes(self) -> int:
        """Shared memory that counts against the limit: all of it where the limit leaves room for it."""
        available_bytes = self._limit_part - self._program_bytes
        return self._shared_bytes if available_bytes > MIN_SHARED_FACTOR * self._shared_bytes else 0

    def _update_capacity(self) -> None:
        reserved_bytes = max(self._limit_part * RESERVED_SHARE, MIN_RESERVED_BYTES)
        program_bytes = self._program_bytes + self._counted_shared_bytes
        available_bytes = self._limit_part - reserved_bytes - program_bytes
        self.capacity_bytes = max(available_bytes, self._limit_part * MIN_CAPACITY_SHARE)
        self._update_pressure()

    def _update_pressure(self) -> None:
        """Set the pressure, and within which bounds of what is held it applies."""
        self.pressure = max(self._held_pressure(0), self._observed_pressure())
        held_share = self._total_bytes / self.capacity_bytes
        bounds = (MIN_HELD_SHARE, *_HELD_SHARES.values())
        lower_share = max((share for share in bounds if share <= held_share), default=-math.inf)
        upper_share = min((share for share in bounds if share > held_share), default=math.inf)
        self._lower_bound = lower_share * self.capacity_bytes
        self._upper_bound = upper_share * self.capacity_bytes
        self.read_size = self._choose_read_size()

    def _choose_read_size(self) -> int:
        if self.pressure >= Pressure.HIGH:
            return SMALL_READ_BYTES
        sizes = _READ_SIZES if self.pressure is Pressure.NONE else _READ_SIZES[1:]
        read_bytes = self.capacity_bytes / SIMULTANEOUS_READS
        return next((size for size in sizes if size <= read_bytes), SMALL_READ_BYTES)

    def _held_pressure(self, further_bytes: int) -> Pressure:
        """Return the pressure by the account, if so many bytes are added."""
        held_share = (self._total_bytes + further_bytes) / self.capacity_bytes
        return next(
            (pressure for pressure, share in _HELD_SHARES.items() if held_share >= share), Pressure.NONE
        )

    def _observed_pressure(self) -> Pressure:
        """Return the pressure by what the process was seen to use."""
        used_share = (self._observed_bytes + self._counted_shared_bytes) / self._limit_part
        observed = next(
            (pressure for pressure, share in _OBSERVED_SHARES.items() if used_share >= share), Pressure.NONE
        )
        if self._total_bytes < self.capacity_bytes * MIN_HELD_SHARE:
            return min(observed, Pressure.HIGH)
        return observed

    def admits(self, byte_count: int, has_body: bool) -> bool:
        """Return whether a request that takes so many bytes fits. Those without a body fit for longer."""
        if self.pressure is Pressure.NONE and self._total_bytes + byte_count < self._upper_bound:
            return True
        limit = Pressure.CRITICAL if has_body else Pressure.EXHAUSTED
        return self._held_pressure(byte_count) < limit and self._observed_pressure() < limit

    @property
    def answer_allowance(self) -> int:
        """How much of an answer is held before it is passed on as it comes."""
        return MAX_ANSWER_BYTES if self.pressure is Pressure.NONE else MIN_ANSWER_BYTES

    @property
    def upload_allowance(self) -> int:
        """How much of one body may wait for its endpoint to read it."""
        pressure = self.pressure
        if pressure >= Pressure.HIGH:
            return 0
        free_bytes = self.capacity_bytes * _HELD_SHARES[Pressure.MODERATE] - self._total_bytes
        return int(min(max(free_bytes * UPLOAD_SHARE, MIN_UPLOAD_BYTES), MAX_UPLOAD_BYTES))


class MemoryReservation:
    """What one message, or one connection, counts against an account."""

    __slots__ = ("_account", "_byte_count", "_held")

    def __init__(self, account: MemoryAccount, use: MemoryUse) -> None:
        self._account = account
        self._held = account.held_for(use)
        self._byte_count = 0

    def resize(self, byte_count: int) -> None:
        """Count so many bytes in place of those before."""
        if byte_count != self._byte_count:
            self._account.change(self._held, byte_count - self._byte_count)
            self._byte_count = byte_count

    def release(self) -> None:
        """Stop counting."""
        self.resize(0)
