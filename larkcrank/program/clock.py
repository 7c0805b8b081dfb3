"""One clock for everything that the decisions are told."""

import time


class Clock:
    """Unix milliseconds at the start, from then on by the monotonic clock: it never runs backwards,
    and the start times that discovery tells in Unix time fit it."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def __call__(self) -> float:
        return self._offset + time.monotonic() * 1000.0
