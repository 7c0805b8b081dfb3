"""Remembers the ids of requests, so that none runs twice because its id comes again."""

import asyncio
from collections.abc import Callable

from larkcrank.transport.memory import MemoryAccount, MemoryUse

ENTRY_BYTES = 128  # of one remembered id, besides its text
MAX_CAPACITY_SHARE = 0.1  # of what peers may make the process hold
LONGEST_KEPT_S = 60.0
KEPT_MARGIN_S = 1.0


class RequestIds:
    """The ids of requests in hand, and of earlier ones that may have run or may still run.

    An id is remembered for at least `kept_s` seconds after its request has ended, unless that takes too much
    memory; then the oldest are forgotten first.
    """

    def __init__(self, memory: MemoryAccount, kept_s: float) -> None:
        self._memory = memory
        self._kept_s = min(kept_s, LONGEST_KEPT_S) + KEPT_MARGIN_S
        self._in_hand: set[str] = set()
        # An id is in the older generation for a whole period after it was in the newer one.
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._newer_bytes = 0
        self._older_bytes = 0
        self._renewed_at = asyncio.get_running_loop().time()
        self.forgotten_early = 0
        self.on_begin: Callable[[str], None] = lambda _: None

    def __contains__(self, request_id: object) -> bool:
        self._forget_old()
        return request_id in self._in_hand or request_id in self._newer or request_id in self._older

    def __len__(self) -> int:
        """How many ids of ended requests are remembered."""
        return len(self._newer) + len(self._older)

    def begin(self, request_id: str, is_shared: bool) -> None:
        """Record a request that is taken. `is_shared`: other processes must not take it either."""
        self._in_hand.add(request_id)
        if is_shared:
            self.on_begin(request_id)

    def end(self, request_id: str, must_remember: bool) -> None:
        """Record that a request is in hand no longer."""
        self._in_hand.discard(request_id)
        if must_remember:
            self.remember(request_id)

    def remember(self, request_id: str) -> None:
        """Remember the id of a request that may have run, here or in another process."""
        self._forget_old()
        if request_id in self._newer:
            return
        byte_count = ENTRY_BYTES + len(request_id)
        if self._newer_bytes + byte_count > self._memory.capacity_bytes * MAX_CAPACITY_SHARE / 2:
            self.forgotten_early += len(self._older)
            self._begin_generation()
        self._newer.add(request_id)
        self._newer_bytes += byte_count
        self._memory.reserve(byte_count, MemoryUse.REQUEST_ID)

    def all_ids(self) -> list[str]:
        """Return all ids, for another process of the same sidecar."""
        self._forget_old()
        return [*self._older, *self._newer, *self._in_hand]

    def _forget_old(self) -> None:
        age_s = asyncio.get_running_loop().time() - self._renewed_at
        if age_s >= self._kept_s:
            self._begin_generation()
        if age_s >= 2 * self._kept_s:
            self._begin_generation()

    def _begin_generation(self) -> None:
        self._memory.release(self._older_bytes, MemoryUse.REQUEST_ID)
        self._older, self._older_bytes = self._newer, self._newer_bytes
        self._newer, self._newer_bytes = set(), 0
        self._renewed_at = asyncio.get_running_loop().time()
