"""Batches changes and limits the rate of full answers. No I/O; times in seconds."""


class ChangeBatcher:
    """A lone change is sent at once; the next batch is sent at least `interval_s` after the one before."""

    __slots__ = ("_interval_s", "_last_sent_at", "due_at")

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_sent_at = float("-inf")
        self.due_at: float | None = None  # when the next batch is sent; None: nothing is pending

    def schedule(self, now: float) -> float:
        """Record that there is a change to send; returns when."""
        if self.due_at is None:
            self.due_at = max(now, self._last_sent_at + self._interval_s)
        return self.due_at

    def sent(self, now: float) -> None:
        """Record that the batch was sent."""
        self._last_sent_at, self.due_at = now, None


class FullAnswerLimiter:
    """Spaces full answers evenly at `rate_per_s`; one that would wait longer than `max_wait_s` is refused."""

    def __init__(self, rate_per_s: float, max_wait_s: float) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._max_wait_s = max_wait_s
        self._next_at = float("-inf")

    def reserve(self, now: float) -> float | None:
        """When the answer may be sent, at `now` or later; None: not within the maximum wait."""
        at = max(self._next_at, now)
        if at - now > self._max_wait_s:
            return None
        self._next_at = at + self._interval_s
        return at
