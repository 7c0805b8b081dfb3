"""The clock of a sidecar, for all times that its balancer receives."""

import asyncio
import time
from collections.abc import Callable

HEARTBEAT_MS = 20.0  # between two heartbeats
STALL_MS = 5.0  # a heartbeat that is so late shows that the process got no processor time
# A smaller difference between the wall clock and the process clock is no step.
MIN_STEP_MS = 1000.0


class Clock:
    """Unix time in milliseconds, read once at the start and then advanced by the monotonic clock.

    It never runs backwards and is never stepped. `from_unix` converts Unix times, which may be.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0
        self._heartbeat_at = self()
        self.on_stall: Callable[[], None] = lambda: None  # called at the first heartbeat after a stall

    def __call__(self) -> float:
        return self._offset_ms + time.monotonic() * 1000.0

    def from_unix(self, unix_ms: float) -> float:
        """Return the time on this clock of an event whose Unix time another process reports in ms.

        After a step of the wall clock it is not known whether that time was read before or after the step.
        The later result is taken: a server that passes for younger than it is gets less to do at first.
        """
        now, wall_now = self(), time.time() * 1000.0
        if abs(wall_now - now) < MIN_STEP_MS:
            return unix_ms
        ages_ms = [age_ms for age_ms in (now - unix_ms, wall_now - unix_ms) if age_ms >= 0.0]
        return now - min(ages_ms, default=0.0)

    def start_heartbeat(self) -> None:
        """Record the present time as a heartbeat, and repeat this every HEARTBEAT_MS."""
        self._heartbeat_at = self()
        asyncio.get_running_loop().call_later(HEARTBEAT_MS / 1000.0, self._beat)

    def _beat(self) -> None:
        is_late = self() - self._heartbeat_at > HEARTBEAT_MS + STALL_MS
        self.start_heartbeat()
        if is_late:
            self.on_stall()

    def earliest_arrival(self) -> float:
        """Return the earliest time at which data that is read now can have arrived.

        While the process gets no CPU time, requests wait unread, but their deadlines run on. After such a
        stall this is the last heartbeat before it.
        """
        now = self()
        return now if now - self._heartbeat_at < 2 * HEARTBEAT_MS else self._heartbeat_at
