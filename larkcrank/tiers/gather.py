"""When a tier tells what it has to tell: waves of changes, and turns for whole answers. Pure; seconds."""


class Gather:
    """A lone change goes at once; after a wave the next one goes `gather_s` later at the earliest."""

    __slots__ = ("_gather_s", "_last", "due")

    def __init__(self, gather_s: float) -> None:
        self._gather_s = gather_s
        self._last = float("-inf")
        self.due: float | None = None  # when the next wave goes; None: there is nothing to tell

    def changed(self, now: float) -> float:
        """Something is to be told; returns when."""
        if self.due is None:
            self.due = max(now, self._last + self._gather_s)
        return self.due

    def went(self, now: float) -> None:
        """The wave has gone."""
        self._last, self.due = now, None


class Turns:
    """Whole answers at `rate` a second, one after the other; who would wait over `wait_s` is refused."""

    def __init__(self, rate: float, wait_s: float) -> None:
        self._step_s = 1.0 / rate
        self._wait_s = wait_s
        self._next = float("-inf")

    def ask(self, now: float) -> float | None:
        """When the answer may be given, from `now` on; None: not within the wait."""
        at = max(self._next, now)
        if at - now > self._wait_s:
            return None
        self._next = at + self._step_s
        return at
