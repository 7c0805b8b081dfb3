"""Timers that fire, after a stall of the process, only once what arrived meanwhile has been handled."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

STALL_S = 0.005  # a timer that fires later than this shows that the process got no processor time
INPUT_GRACE_S = 0.02  # for handling what arrived during a stall

Subject = TypeVar("Subject")


class InputGrace:
    """The time after a stall in which no deadline is acted on."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self._ends_at = 0.0

    def begin(self) -> None:
        """Record that a stall has just ended."""
        self._ends_at = self.loop.time() + INPUT_GRACE_S

    def delay_s(self, due_at: float) -> float:
        """Return for how long a timer that was due at `due_at` has to wait, in seconds; 0 if it may fire."""
        now = self.loop.time()
        if now - due_at > STALL_S:
            self.begin()
        return max(self._ends_at - now, 0.0)


class DeadlineTimer(Generic[Subject]):
    """Calls back with its subject at a deadline.

    After a stall, the event loop runs due timers before the tasks that read what has arrived. An answer that
    came in time would then be thrown away for the time that this process lost itself.
    """

    __slots__ = ("_callback", "_due_at", "_grace", "_handle", "_last_resort_s", "_subject")

    def __init__(
        self,
        grace: InputGrace,
        delay_s: float,
        callback: Callable[[Subject], None],
        subject: Subject,
        last_resort_s: float = 0.0,
    ) -> None:
        """`last_resort_s`: how much longer to wait after a stall than others do."""
        self._grace = grace
        self._callback = callback
        self._subject: Subject | None = subject  # None once it has fired or was cancelled
        self._last_resort_s = last_resort_s
        self._handle = handle = grace.loop.call_later(delay_s, self._fire)
        self._due_at = handle.when()

    def when(self) -> float:
        """Return the deadline, on the event loop's clock in seconds."""
        return self._due_at

    def cancel(self) -> None:
        """Never call back any more, and forget the subject, which usually refers to the timer."""
        self._handle.cancel()
        self._subject = None

    def _fire(self) -> None:
        delay_s = self._grace.delay_s(self._handle.when())
        if delay_s:
            self._handle = self._grace.loop.call_later(delay_s + self._last_resort_s, self._fire)
            return
        subject, self._subject = self._subject, None
        if subject is not None:
            self._callback(subject)
