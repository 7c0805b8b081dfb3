"""An event loop in virtual time: when no event is left to handle, its clock jumps to the next timer.

Sockets are real, and all peers run in the same loop. The sockets are polled before the clock moves, so data
that one peer has sent reaches the other before any time passes.
"""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from larkcrank.program import clock

START_UNIX_S = 1.6e9
IDLE_S = 0.0001  # real time without any event before the clock jumps


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0.0)
        if ready or timeout is None or timeout <= 0.0:
            return ready or (super().select(None) if timeout is None else [])
        # The kernel may still be delivering data. The selector's own timeout would round up to 1 ms.
        time.sleep(IDLE_S)
        ready = super().select(0.0)
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now


def run(main: Coroutine[Any, Any, None], monkeypatch: pytest.MonkeyPatch | None = None) -> None:
    """Run `main` in virtual time. Where `monkeypatch` is given, the sidecars' clocks are virtual too."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        if monkeypatch is not None:
            monkeypatch.setattr(
                clock, "time", SimpleNamespace(time=lambda: START_UNIX_S, monotonic=loop.time)
            )
            # Nothing stalls in virtual time: a heartbeat each 20 ms would only add events.
            monkeypatch.setattr(clock, "HEARTBEAT_MS", 60_000.0)
        runner.run(main)
