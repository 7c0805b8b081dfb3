"""An event loop whose clock stands while anything happens and jumps to the next timer when nothing does.

Sockets are real. All peers live in the loop, so what one has sent is there for the other before the clock
moves: an idle look at the sockets comes first.
"""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from larkcrank.program import clock

BEGINS_S = 1.6e9  # Unix time at the start
IDLE_S = 0.0001  # real time without any event before the clock jumps


class _Selector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0.0)
        if ready or timeout is None or timeout <= 0.0:
            return ready or (super().select(None) if timeout is None else [])
        time.sleep(IDLE_S)  # the kernel may still be delivering; its own waits are whole milliseconds
        ready = super().select(0.0)
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._clock = _Selector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


def run(work: Coroutine[Any, Any, None], monkeypatch: pytest.MonkeyPatch | None = None) -> None:
    """Run it in virtual time, a sidecar's own clock too where `monkeypatch` is given."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        if monkeypatch is not None:
            monkeypatch.setattr(clock, "time", SimpleNamespace(time=lambda: BEGINS_S, monotonic=loop.time))
            monkeypatch.setattr(clock, "BEAT_MS", 60_000.0)  # nobody looks for stalls
        runner.run(work)
