"""The clock of a sidecar, for all times that its balancer receives."""

import asyncio
import time

HEARTBEAT_MS = 20.0  # between two heartbeats


class Clock:
    """Unix time in milliseconds, read once at the start and then advanced by the monotonic clock.

    It never runs backwards, and it can be compared with the start times that discovery reports in Unix time.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0
        self._heartbeat_at = self()

    def __call__(self) -> float:
        return self._offset_ms + time.monotonic() * 1000.0

    def start_heartbeat(self) -> None:
        """Record the present time as a heartbeat, and repeat this every HEARTBEAT_MS."""
        self._heartbeat_at = self()
        asyncio.get_running_loop().call_later(HEARTBEAT_MS / 1000.0, self.start_heartbeat)

    def earliest_arrival(self) -> float:
        """Return the earliest time at which data that is read now can have arrived.

        While the process gets no CPU time, requests wait unread, but their deadlines run on. After such a
        stall this is the last heartbeat before it.
        """
        now = self()
        return now if now - self._heartbeat_at < 2 * HEARTBEAT_MS else self._heartbeat_at
