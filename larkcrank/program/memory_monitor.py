"""Looks at the memory that the process really uses, and logs when memory gets scarce."""

import asyncio
import gc
import resource
from pathlib import Path

from larkcrank.program.log import Log
from larkcrank.transport.memory import MemoryAccount, Pressure

INTERVAL_S = 0.1
COLLECT_INTERVAL_S = 0.5  # between two garbage collections while memory is scarce
LOG_INTERVAL_S = 1.0  # between two log events about the same pressure or a lower one
_STATM = Path("/proc/self/statm")  # Linux only: sizes in pages, the second and third resident and shared


def _return_free_memory() -> None:
    """Make the C library's allocator return what it keeps free to the system, where it can."""
    # Imported when it is needed first, so that the program's start does not pay for it.
    import ctypes

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)  # of glibc only
    if trim is not None:
        trim(0)


class MemoryMonitor:
    """Tells the account what the process uses, a few times a second."""

    def __init__(self, account: MemoryAccount, log: Log) -> None:
        self._account = account
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self._private_bytes = 0
        self._shared_bytes = 0
        self._peak_private_bytes = 0
        self._logged_pressure = Pressure.NONE
        self._logged_at = 0.0
        self._collected_at = 0.0

    def start(self) -> None:
        """Begin to look, and go on until `stop`."""
        self._look()
        self._timer = asyncio.get_running_loop().call_later(INTERVAL_S, self.start)

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def record_program(self) -> None:
        """Take what the process uses now for what the program itself needs, if `start` was called."""
        if self._timer is None:
            return
        self._look()
        self._account.set_program_bytes(self._private_bytes, self._shared_bytes)

    def as_dict(self) -> dict[str, object]:
        """Return what is known, in bytes, as fields of a log event."""
        return {
            "private": self._private_bytes,
            "private_peak": self._peak_private_bytes,
            "shared": self._shared_bytes,
            "capacity": round(self._account.capacity_bytes),
            "pressure": self._account.pressure.name.lower(),
            "held": self._account.held_by_use(),
        }

    def _look(self) -> None:
        try:
            _, resident_pages, shared_pages, *_ = map(int, _STATM.read_text().split())
        except OSError:
            return  # no such file, or no descriptor for it: the account alone decides
        page_bytes = resource.getpagesize()
        self._private_bytes = (resident_pages - shared_pages) * page_bytes
        self._shared_bytes = shared_pages * page_bytes
        self._peak_private_bytes = max(self._peak_private_bytes, self._private_bytes)
        self._account.observe(self._private_bytes)
        self._handle_pressure(self._account.pressure, asyncio.get_running_loop().time())

    def _handle_pressure(self, pressure: Pressure, now: float) -> None:
        if pressure >= Pressure.HIGH and now - self._collected_at >= COLLECT_INTERVAL_S:
            self._collected_at = now
            gc.collect()
            _return_free_memory()
        is_due = now - self._logged_at >= LOG_INTERVAL_S
        if pressure > self._logged_pressure or (pressure < self._logged_pressure and is_due):
            self._logged_pressure, self._logged_at = pressure, now
            self._log.event("memory_pressure", **self.as_dict())
