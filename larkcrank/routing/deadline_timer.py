"""Timers that fire, after a stall of the process, only once what arrived meanwhile has been handled."""

import asyncio
from collections.abc import Callable

STALL_S = 0.005  # a timer that fires later than this shows that the process got no processor time
INPUT_GRACE_S = 0.02  # for handling what arrived during a stall


class InputGrace:
    """The time after a stall in which no deadline is acted on."""

    def __init__(self) -> None:
        self._ends_at = 0.0

    def begin(self, now: float) -> None:
        """Record that a stall has just ended. Times are on the event loop's clock in seconds."""
        self._ends_at = now + INPUT_GRACE_S

    def delay_s(self, now: float, due_at: float) -> float:
        """Return for how long a timer that was due at `due_at` has to wait, in seconds; 0 if it may fire."""
        if now - due_at > STALL_S:
            self.begin(now)
        return max(self._ends_at - now, 0.0)


class DeadlineTimer:
    """Calls back at a deadline.

    After a stall, the event loop runs due timers before the tasks that read what has arrived. An answer that
    came in time would then be thrown away for the time that this process lost itself.
    """

    __slots__ = ("_callback", "_due_at", "_grace", "_handle", "_last_resort_s", "_loop")

    def __init__(
        self,
        grace: InputGrace,
        delay_s: float,
        callback: Callable[[], None],
        last_resort_s: float = 0.0,
    ) -> None:
        """`last_resort_s`: how much longer to wait after a stall than others do."""
        self._loop = asyncio.get_running_loop()
        self._grace = grace
        self._callback = callback
        self._last_resort_s = last_resort_s
        self._handle = self._loop.call_later(delay_s, self._fire)
        self._due_at = self._handle.when()

    def when(self) -> float:
        """Return the deadline, on the event loop's clock in seconds."""
        return self._due_at

    def cancel(self) -> None:
        """Never call back any more."""
        self._handle.cancel()

    def _fire(self) -> None:
        delay_s = self._grace.delay_s(self._loop.time(), self._handle.when())
        if delay_s:
            self._handle = self._loop.call_later(delay_s + self._last_resort_s, self._fire)
        else:
            self._callback()
