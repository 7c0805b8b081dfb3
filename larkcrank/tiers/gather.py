"""Combines changes into batches and limits the rate of full answers. No I/O; times in seconds."""


class ChangeBatcher:
    """Decides when changes are sent: at once, but never within `interval_s` of the previous batch."""

    __slots__ = ("_interval_s", "_last_sent_at", "due_at")

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_sent_at = float("-inf")
        self.due_at: float | None = None  # when the next batch is sent; None: nothing is pending

    def schedule(self, now: float) -> float:
        """Record that there is a change to send, and return the time of the batch that includes it."""
        if self.due_at is None:
            self.due_at = max(now, self._last_sent_at + self._interval_s)
        return self.due_at

    def sent(self, now: float) -> None:
        """Record that the batch was sent."""
        self._last_sent_at, self.due_at = now, None


class FullAnswerLimiter:
    """Spaces full answers evenly, at most `rate_per_s`, and refuses those with a wait over `max_wait_s`."""

    def __init__(self, rate_per_s: float, max_wait_s: float) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._max_wait_s = max_wait_s
        self._next_at = float("-inf")  # the earliest time of the next answer

    def reserve(self, now: float) -> float | None:
        """Return the time, `now` or later, at which the answer may be sent; None: the call is refused."""
        at = max(self._next_at, now)
        if at - now > self._max_wait_s:
            return None
        self._next_at = at + self._interval_s
        return at
