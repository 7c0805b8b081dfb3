"""A timer for asyncio that is accurate to some tens of microseconds.

The event loop's own timers have a resolution of one millisecond. Requests and responses aligned to whole
milliseconds would arrive at the sidecar at the same instant, which real traffic does not.
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
_CLOCK_MONOTONIC, _TFD_TIMER_ABSTIME = 1, 1
_TFD_FLAGS = 0o4000 | 0o2000000  # TFD_NONBLOCK, TFD_CLOEXEC


class _Timespec(ctypes.Structure):
    _fields_ = (("s", ctypes.c_long), ("ns", ctypes.c_long))


class _TimerSpec(ctypes.Structure):
    _fields_ = (("every", _Timespec), ("value", _Timespec))


class PreciseTimer:
    """Runs callbacks at given times of `time.monotonic`, with one timerfd(2) and a heap.

    Raises OSError if the system has no timerfd.
    """

    def __init__(self) -> None:
        self._fd = _libc.timerfd_create(_CLOCK_MONOTONIC, _TFD_FLAGS)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._pending: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._armed_for = math.inf  # the time for which the timerfd is set; infinity if it is not set
        asyncio.get_running_loop().add_reader(self._fd, self._run_due_calls)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._pending, (when, next(self._sequence_numbers), callback))
        self._arm()

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._fd)
        os.close(self._fd)

    def _run_due_calls(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            return
        self._armed_for = math.inf
        while self._pending and self._pending[0][0] <= time.monotonic():
            heapq.heappop(self._pending)[2]()
        self._arm()

    def _arm(self) -> None:
        if not self._pending or self._pending[0][0] >= self._armed_for:
            return
        self._armed_for = when = self._pending[0][0]
        whole_s = math.floor(when)
        value = _Timespec(whole_s, max(int((when - whole_s) * 1e9), 1))
        timer_spec = _TimerSpec(_Timespec(0, 0), value)
        if _libc.timerfd_settime(self._fd, _TFD_TIMER_ABSTIME, ctypes.byref(timer_spec), None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime")
