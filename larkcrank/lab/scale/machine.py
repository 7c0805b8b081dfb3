"""What the machine allows: looked up and told, never raised; and what it was doing while a run measured."""

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
MEMORY_SHARE = 0.5  # of the machine's memory that a run may hold
SPARE_DESCRIPTORS = 128  # of a process: the loop's own, pipes, libraries
BUSY_SHARE = 0.25  # of the machine's processor time that others take: then wall times are not to be trusted
MIB = 1 << 20


class LimitError(Exception):
    """A run does not fit the machine; the message holds what it wants and what there is."""


class MachineLimits(msgspec.Struct, frozen=True):
    """What a run may take."""

    processors: int  # that this process may use
    memory_mib: float  # that the run may hold
    descriptors: int  # that a process may hold

    def check(self, processes: int, memory_mib: float, descriptors: int) -> None:
        """Raises `LimitError` where a run is too large; the descriptors are those of one process."""
        if processes > MAX_PROCESSES:
            raise LimitError(f"{processes} processes are over {MAX_PROCESSES}")
        if memory_mib > self.memory_mib:
            raise LimitError(
                f"{memory_mib:.0f} MiB are over half of the machine's, {self.memory_mib:.0f} MiB"
            )
        if descriptors > self.descriptors:
            raise LimitError(f"{descriptors} descriptors in a process are over its {self.descriptors}")


def available_resources() -> MachineLimits:
    """This machine, as this process is let use it."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    memory = psutil.virtual_memory().total * MEMORY_SHARE / MIB
    return MachineLimits(len(os.sched_getaffinity(0)), memory, soft - SPARE_DESCRIPTORS)


def resident_mib(pids: Iterable[int]) -> float:
    """Resident memory of these processes together; one that is gone holds none."""
    total = 0
    for pid in pids:
        try:
            total += psutil.Process(pid).memory_info().rss
        except psutil.Error:
            continue
    return total / MIB


def cpu_s(pid: int) -> float:
    """Processor time of a process so far, to the nanosecond (its CPU clock); nought once it is gone."""
    try:
        return time.clock_gettime((~pid << 3) | 2)  # as clock_getcpuclockid makes it on Linux
    except OSError:
        return 0.0


class LoadMeter:
    """How busy the machine was besides the run: from its making until `seen`."""

    def __init__(self) -> None:
        self._began = _times()

    def summary(self, own_s: float) -> dict[str, Any]:
        """`own_s`: processor time that the run itself took, all its processes."""
        busy, all_s = (now - then for now, then in zip(_times(), self._began, strict=True))
        others = max(busy - own_s, 0.0) / max(all_s, 1e-9)
        return {
            "others_share": round(others, 3),
            "was_busy": others > BUSY_SHARE,
            "load_average": [round(one, 2) for one in os.getloadavg()],
        }


def _times() -> tuple[float, float]:
    times = psutil.cpu_times()
    idle = times.idle + times.iowait
    total = float(sum(times) - times.guest - times.guest_nice)
    return total - idle, total


def source_commit() -> str:
    """The commit of the text that runs, with `+` where files differ from it; empty outside a clone."""
    here = Path(__file__).parent
    try:
        name = _git(here, "rev-parse", "--short=12", "HEAD")
        changed = _git(here, "status", "--porcelain", "--untracked-files=no", "--", ":/larkcrank")
    except (OSError, subprocess.CalledProcessError):
        return ""
    return name + ("+" if changed else "")


def _git(folder: Path, *words: str) -> str:
    done = subprocess.run(["git", "-C", str(folder), *words], capture_output=True, check=True, text=True)
    return done.stdout.strip()
