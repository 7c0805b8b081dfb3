"""One clock for everything that the decisions are told."""

import asyncio
import time

BEAT_MS = 20.0


class Clock:
    """Unix milliseconds at the start, from then on by the monotonic clock: it never runs backwards,
    and the start times that discovery tells in Unix time fit it."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0
        self._beat_at = self()

    def __call__(self) -> float:
        return self._offset + time.monotonic() * 1000.0

    def beat(self) -> None:
        """Note that the process runs, from now on again and again."""
        self._beat_at = self()
        asyncio.get_running_loop().call_later(BEAT_MS / 1000.0, self.beat)

    def earliest(self) -> float:
        """The earliest that what is being read can have come.

        While the process had no CPU, requests waited unread: their time ran all the same.
        """
        now = self()
        return now if now - self._beat_at < 2 * BEAT_MS else self._beat_at
