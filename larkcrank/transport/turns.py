"""Shares the event loop fairly among connections.

A read or a write that can complete at once does not suspend its task. A peer that always has input ready, and
takes all output, would therefore keep the event loop for itself. Each connection has an allowance of work,
a token bucket. One that has used it up waits for its turn in a queue that all such connections share; those
within their allowance never wait.
"""

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

# Work is counted in units of about the time that one byte of the costliest input takes.
OPERATION_UNITS = 512  # of one read or write, besides one unit for each byte
MESSAGE_UNITS = 1024  # of one request that is handled without leaving the process
BURST_UNITS = 16 * 1024
UNITS_PER_SECOND = 16 * 1024
MAX_UNITS_PER_ITERATION = (
    128 * 1024
)  # of all connections beyond their allowance, in one iteration of the loop


class WorkAllowance:
    """The token bucket of one connection."""

    __slots__ = ("_refilled_at", "_units")

    def __init__(self, now: float) -> None:
        """`now` is the event loop's time in seconds."""
        self._units = float(BURST_UNITS)
        self._refilled_at = now

    def spend(self, units: int, now: float) -> bool:
        """Take units out of the bucket. Returns whether it held as many."""
        refilled_units = self._units + (now - self._refilled_at) * UNITS_PER_SECOND
        self._refilled_at = now
        self._units = min(refilled_units, BURST_UNITS) - units
        if self._units >= 0.0:
            return True
        self._units = 0.0
        return False


class TurnQueue:
    """The connections that have used up their allowance, in the order in which they go on."""

    def __init__(self) -> None:
        self._waiting: deque[tuple[asyncio.Future[None], int]] = deque()
        self._spent_units = 0  # in this iteration of the loop
        self._is_renewal_scheduled = False
        self.waits = 0  # how often a connection had to wait for its turn

    def try_take_turn(self, units: int) -> bool:
        """Return whether work of so many units may be done now. It is counted then."""
        if self._waiting or self._spent_units >= MAX_UNITS_PER_ITERATION:
            return False
        self._spent_units += units
        self._schedule_renewal()
        return True

    async def take_turn(self, units: int) -> None:
        """Return once work of so many units may be done."""
        if self.try_take_turn(units):
            return
        self.waits += 1
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((turn, units))
        self._schedule_renewal()
        await turn

    def _schedule_renewal(self) -> None:
        if not self._is_renewal_scheduled:
            self._is_renewal_scheduled = True
            asyncio.get_running_loop().call_soon(self._renew)

    def _renew(self) -> None:
        """Begin the next iteration's work: give turns to those who wait longest."""
        self._is_renewal_scheduled = False
        self._spent_units = 0
        while self._waiting and self._spent_units < MAX_UNITS_PER_ITERATION:
            turn, units = self._waiting.popleft()
            if not turn.done():  # it is done if its task was cancelled
                turn.set_result(None)
                self._spent_units += units
        if self._waiting:
            self._schedule_renewal()


_queues: "WeakKeyDictionary[asyncio.AbstractEventLoop, TurnQueue]" = WeakKeyDictionary()


def turn_queue_of(loop: asyncio.AbstractEventLoop) -> TurnQueue:
    """Return the queue of an event loop."""
    queue = _queues.get(loop)
    if queue is None:
        queue = _queues[loop] = TurnQueue()
    return queue
