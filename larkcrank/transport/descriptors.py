"""Limits the number of open sockets, so that the process does not run out of file descriptors."""

from collections.abc import Callable
from enum import Enum

# Descriptors for the standard streams, the event loop and a safety margin. About a dozen are actually in
# use, so with a small descriptor limit only a share of it is set aside.
RESERVED_DESCRIPTORS = 32
MAX_RESERVED_SHARE = 0.4
# Descriptors that only operators can use, so that a flood of clients does not lock operators out. With a
# small descriptor limit they are at most a share of it.
OPERATOR_DESCRIPTORS = 12
MAX_OPERATOR_SHARE = 0.1
# Descriptors guaranteed to one use, as (count, divisor): `count`, or the available descriptors divided by
# `divisor` if that is less. Discovery needs one for its watch and one for fetching a full list.
DISCOVERY_GUARANTEE = (2, 4)
ATTEMPT_GUARANTEE = (3, 5)


class SocketUse(Enum):
    """What a socket is for. The value is the largest share of the available descriptors that this use may
    take, so that no use starves another.
    """

    CLIENT = 0.85
    ATTEMPT = 0.5
    DISCOVERY = 1.0
    OPERATOR = 0.0  # has its own descriptors


class DescriptorBudget:
    """Counts open sockets. Each is acquired here before it is opened and released once, when it is closed.

    Some descriptors are set aside for discovery, for connections to endpoints and for operators, and can't be
    taken by any other use.
    """

    def __init__(self, descriptor_limit: int, has_operators: bool = False) -> None:
        self._operator_limit = (
            min(OPERATOR_DESCRIPTORS, int(descriptor_limit * MAX_OPERATOR_SHARE)) if has_operators else 0
        )
        self._descriptor_limit = descriptor_limit
        self._available = 0  # for all uses but operators
        self._guaranteed: dict[SocketUse, int] = {}
        self.set_other_processes(0)
        self._used = dict.fromkeys(SocketUse, 0)
        # For each use: (function that closes an idle connection, function that returns since when the longest
        # idle one is idle). See `register_evictor`.
        self._evictors: dict[SocketUse, tuple[Callable[[], bool], Callable[[], float]]] = {}
        self._release_callbacks: set[Callable[[], None]] = set()

    def set_other_processes(self, count: int) -> None:
        """Divide the limit among this process and `count` other live processes of the same sidecar.

        A process that uses more than its part then closes idle connections when it needs descriptors, and
        acquires no new ones beyond the guaranteed ones.
        """
        descriptor_limit = self._descriptor_limit // (1 + count)
        self._available = (
            descriptor_limit
            - min(RESERVED_DESCRIPTORS, int(descriptor_limit * MAX_RESERVED_SHARE))
            - self._operator_limit
        )
        for use, (max_count, divisor) in (
            (SocketUse.DISCOVERY, DISCOVERY_GUARANTEE),
            (SocketUse.ATTEMPT, ATTEMPT_GUARANTEE),
        ):
            self._guaranteed[use] = max(min(max_count, self._available // divisor), 1)

    @property
    def used(self) -> int:
        """The number of acquired descriptors, without those of operators."""
        return sum(self._used.values()) - self._used[SocketUse.OPERATOR]

    def _limit_of(self, use: SocketUse) -> int:
        if use is SocketUse.OPERATOR:
            return self._operator_limit
        limit = int(self._available * use.value)
        if use is SocketUse.CLIENT:
            limit = min(limit, self._available - sum(self._guaranteed.values()))
        return max(limit, 1)

    def used_share(self, use: SocketUse) -> float:
        """Return which share of its own limit this use has acquired."""
        return self._used[use] / max(self._limit_of(use), 1)

    @property
    def has_waiters(self) -> bool:
        """Whether a caller waits for a descriptor, so that connections that can be spared should close."""
        return bool(self._release_callbacks)

    def register_evictor(
        self,
        use: SocketUse,
        close_idle: Callable[[], bool],
        longest_idle_since: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Register a function that closes one idle connection and returns whether there was one.

        `longest_idle_since` returns the time at which the longest idle connection became idle, on the event
        loop's clock (s), or infinity if none is idle. Across uses, the longest idle is closed first.
        """
        self._evictors[use] = close_idle, longest_idle_since

    def has_free(self, use: SocketUse) -> bool:
        """Return whether a descriptor can be acquired without closing a connection."""
        if self._used[use] >= self._limit_of(use):
            return False
        reserved_for_others = sum(
            max(guaranteed - self._used[other], 0)
            for other, guaranteed in self._guaranteed.items()
            if other is not use
        )
        return use is SocketUse.OPERATOR or self.used + reserved_for_others < self._available

    def acquire(self, use: SocketUse) -> bool:
        """Acquire a descriptor for one socket, closing idle connections if necessary."""
        while self._used[use] >= self._limit_of(use):
            if use not in self._evictors or not self._evictors[use][0]():
                return False
        while not self.has_free(use):
            if not self._close_longest_idle(use):
                if self._used[use] < self._guaranteed.get(use, 0):
                    # A guaranteed descriptor may exceed the total, which happens only after another process
                    # has begun to share the limit.
                    break
                return False
        self._used[use] += 1
        return True

    def _close_longest_idle(self, use: SocketUse) -> bool:
        """Close the connection that has been idle longest, whatever its use.

        Connections of another use that has no more than its guaranteed descriptors are not closed.
        """
        evictors = [
            evictor
            for other, evictor in self._evictors.items()
            if other is use
            or (other is not SocketUse.OPERATOR and self._used[other] > self._guaranteed.get(other, 0))
        ]
        return any(close_idle() for close_idle, _ in sorted(evictors, key=lambda evictor: evictor[1]()))

    def release(self, use: SocketUse) -> None:
        """Return a descriptor and call the callbacks that wait for one."""
        self._used[use] -= 1
        callbacks, self._release_callbacks = self._release_callbacks, set()
        for callback in callbacks:
            callback()

    def on_next_release(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when the next descriptor is released."""
        self._release_callbacks.add(callback)
