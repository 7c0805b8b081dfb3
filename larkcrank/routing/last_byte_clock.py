"""Tells when a client may have written the last byte of a body that is not read as fast as it comes.

The client waits for its answer from that byte on. While reading is paused, the byte may lie in the client's
own send buffer, where nobody sees it. It then counts as written from the moment on at which it may have been.
"""

from collections import deque
from typing import NamedTuple

MIN_SAMPLE_INTERVAL_MS = 50.0


class _Sample(NamedTuple):
    at: float
    received_bytes: int


class LastByteClock:
    """The earliest time at which the last byte of one body can have been written. Times are in ms.

    It begins when the sidecar falls behind its client, and moves on whenever the client is seen to have
    written more since. What has come proves that in two ways: more came than the client's send buffer can
    have held, or it came although the receive window had been open, so that nothing waited at the client.
    """

    def __init__(self, send_buffer_bytes: int) -> None:
        self._send_buffer_bytes = send_buffer_bytes
        self._samples: deque[_Sample] = deque()  # the first one is the earliest time
        self._last_sample = _Sample(0.0, 0)
        self._was_window_open = False

    @property
    def is_behind(self) -> bool:
        """Whether the client may have written more than was read, for longer than transport takes."""
        return bool(self._samples)

    @property
    def earliest_at(self) -> float:
        """When the last byte can have been written at the earliest, where the sidecar is behind."""
        return self._samples[0].at

    def fall_behind(self, since: float, received_bytes: int) -> None:
        """Begin: all that had come by then was read, and what has come since was not. No effect if begun."""
        if not self._samples:
            self._restart(_Sample(since, received_bytes))
            self._was_window_open = False

    def catch_up(self) -> None:
        """End: all was read, and the client had nothing more ready."""
        self._samples.clear()

    def observe(
        self, now: float, received_bytes: int, missing_bytes: int | None, is_window_open: bool
    ) -> None:
        """Take note of how much has come, whether it was read or not.

        `missing_bytes`: how much is still to come, None if that is not known.

        `is_window_open`: whether the kernel has room, so that nothing waits at the client.
        """
        if not self._samples:
            return
        sample = _Sample(now, received_bytes)
        if missing_bytes is not None and missing_bytes > self._send_buffer_bytes:
            self._restart(sample)
        elif self._was_window_open and received_bytes > self._last_sample.received_bytes:
            self._restart(self._last_sample)
        self._drop_outdated(received_bytes)
        if now - self._samples[-1].at >= MIN_SAMPLE_INTERVAL_MS:
            self._samples.append(sample)
        self._last_sample, self._was_window_open = sample, is_window_open

    def _restart(self, sample: _Sample) -> None:
        self._samples.clear()
        self._samples.append(sample)

    def _drop_outdated(self, received_bytes: int) -> None:
        """Drop what is too long ago: the client wrote the last of what has come after the second sample."""
        while (
            len(self._samples) > 1
            and self._samples[1].received_bytes + self._send_buffer_bytes < received_bytes
        ):
            self._samples.popleft()
