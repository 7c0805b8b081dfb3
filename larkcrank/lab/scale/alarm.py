"""Calls at their moments, to some tens of microseconds: the loop's own timers keep whole milliseconds.

Arrivals and answers on a grid of milliseconds would meet each other at the sidecar, which real ones do not.
"""

import asyncio
import ctypes
import heapq
import itertools
import math
import os
import time
from collections.abc import Callable

_libc = ctypes.CDLL(None, use_errno=True)
_CLOCK_MONOTONIC, _ABSOLUTE = 1, 1
_FLAGS = 0o4000 | 0o2000000  # TFD_NONBLOCK, TFD_CLOEXEC


class _Time(ctypes.Structure):
    _fields_ = (("s", ctypes.c_long), ("ns", ctypes.c_long))


class _Setting(ctypes.Structure):
    _fields_ = (("every", _Time), ("value", _Time))


class PreciseTimer:
    """One timerfd(2) and a heap of what is due, by `time.monotonic`. Raises OSError where there is none."""

    def __init__(self) -> None:
        self._fd = _libc.timerfd_create(_CLOCK_MONOTONIC, _FLAGS)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._set_to = math.inf
        asyncio.get_running_loop().add_reader(self._fd, self._fire)

    def call_at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._due, (when, next(self._sequence), do))
        self._set()

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._fd)
        os.close(self._fd)

    def _fire(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            return
        self._set_to = math.inf
        while self._due and self._due[0][0] <= time.monotonic():
            heapq.heappop(self._due)[2]()
        self._set()

    def _set(self) -> None:
        if not self._due or self._due[0][0] >= self._set_to:
            return
        self._set_to = when = self._due[0][0]
        whole = math.floor(when)
        value = _Time(whole, max(int((when - whole) * 1e9), 1))
        setting = _Setting(_Time(0, 0), value)
        if _libc.timerfd_settime(self._fd, _ABSOLUTE, ctypes.byref(setting), None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime")
