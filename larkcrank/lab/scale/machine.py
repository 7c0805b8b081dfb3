"""The resource limits of the machine, which are read and never raised, and its load during a measurement."""

import os
import resource
import subprocess
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import psutil

MAX_PROCESSES = 300
MEMORY_SHARE = 0.5  # of the machine's memory that a run may use
RESERVED_DESCRIPTORS = 128  # per process, for the event loop, pipes and libraries
BUSY_SHARE = 0.25  # if other processes use more of the processor time, wall times are unreliable
MIB = 1 << 20


class LimitError(Exception):
    """A run needs more than the machine allows. The message names the required amount and the limit."""


class MachineLimits(msgspec.Struct, frozen=True):
    """The resources that a run may use."""

    processors: int  # available to this process
    memory_mib: float  # for all processes of the run
    descriptors: int  # per process

    def check(self, processes: int, memory_mib: float, descriptors: int) -> None:
        """Raises `LimitError` if a run is too large. `descriptors` is the number per process."""
        if processes > MAX_PROCESSES:
            raise LimitError(f"{processes} processes exceed the limit of {MAX_PROCESSES}")
        if memory_mib > self.memory_mib:
            raise LimitError(
                f"{memory_mib:.0f} MiB exceed half of the machine's memory, {self.memory_mib:.0f} MiB"
            )
        if descriptors > self.descriptors:
            raise LimitError(f"{descriptors} descriptors per process exceed the limit of {self.descriptors}")


def available_resources() -> MachineLimits:
    """Reads the limits of this machine that apply to this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    memory_mib = psutil.virtual_memory().total * MEMORY_SHARE / MIB
    return MachineLimits(len(os.sched_getaffinity(0)), memory_mib, soft_limit - RESERVED_DESCRIPTORS)


def resident_mib(pids: Iterable[int]) -> float:
    """Total resident memory of these processes. One that has ended counts as 0."""
    total_bytes = 0
    for pid in pids:
        try:
            total_bytes += psutil.Process(pid).memory_info().rss
        except psutil.Error:
            continue
    return total_bytes / MIB


def cpu_s(pid: int) -> float:
    """Processor time of a process so far, from its CPU clock in nanoseconds; 0 once it has ended."""
    try:
        return time.clock_gettime((~pid << 3) | 2)  # as clock_getcpuclockid(3) computes it on Linux
    except OSError:
        return 0.0


class LoadMeter:
    """Measures how busy other processes keep the machine, from construction until `summary`."""

    def __init__(self) -> None:
        self._start_times = _cpu_times()

    def summary(self, own_s: float) -> dict[str, Any]:
        """Returns the load so far. `own_s` is the processor time of all processes of the run itself."""
        busy_s, total_s = (now - then for now, then in zip(_cpu_times(), self._start_times, strict=True))
        others_share = max(busy_s - own_s, 0.0) / max(total_s, 1e-9)
        return {
            "others_share": round(others_share, 3),
            "was_busy": others_share > BUSY_SHARE,
            "load_average": [round(average, 2) for average in os.getloadavg()],
        }


def _cpu_times() -> tuple[float, float]:
    times = psutil.cpu_times()
    idle_s = times.idle + times.iowait
    total_s = float(sum(times) - times.guest - times.guest_nice)
    return total_s - idle_s, total_s


def source_commit() -> str:
    """The git commit of the running source, with `+` if files differ from it; empty outside a git clone."""
    folder = Path(__file__).parent
    try:
        commit = _git(folder, "rev-parse", "--short=12", "HEAD")
        changed = _git(folder, "status", "--porcelain", "--untracked-files=no", "--", ":/larkcrank")
    except (OSError, subprocess.CalledProcessError):
        return ""
    return commit + ("+" if changed else "")


def _git(folder: Path, *arguments: str) -> str:
    completed = subprocess.run(
        ["git", "-C", str(folder), *arguments], capture_output=True, check=True, text=True
    )
    return completed.stdout.strip()
