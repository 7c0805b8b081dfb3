"""Chooses which of several addresses of one service to use, and when. Does no I/O: the time, in seconds, and
the random generator are passed in.
"""

from collections.abc import Sequence
from random import Random

HostPort = tuple[str, int]


class AddressFailover:
    """Fails over between addresses; the first one is the primary.

    After a failure the next address is used, after a random wait so that callers that lost the same address
    do not all reconnect at the same moment. While a fallback is in use, the primary is checked again after a
    random interval.
    """

    def __init__(
        self,
        host_ports: Sequence[HostPort],
        rng: Random,
        max_failover_wait_s: float = 0.5,
        primary_retry_range_s: tuple[float, float] = (20.0, 60.0),
        max_mean_wait_s: float = 2.0,
    ) -> None:
        """`max_failover_wait_s`: longest wait before the next address is used, until each has failed once.

        `primary_retry_range_s`: shortest and longest interval after which the primary is checked again.

        `max_mean_wait_s`: limit on the mean wait once every address has failed in turn.
        """
        self._host_ports = tuple(host_ports)
        self._rng = rng
        self._max_failover_wait_s, self._primary_retry_range_s, self._max_mean_wait_s = (
            max_failover_wait_s,
            primary_retry_range_s,
            max_mean_wait_s,
        )
        self._index = 0
        self._consecutive_failures = 0  # Failures since the last successful call.
        self._check_primary_at: float | None = None  # None while the primary is in use.

    @property
    def current(self) -> HostPort:
        """The address to use now."""
        return self._host_ports[self._index]

    @property
    def primary(self) -> HostPort:
        """The preferred address, which is the first one."""
        return self._host_ports[0]

    @property
    def on_fallback(self) -> bool:
        """Whether the address in use is not the primary."""
        return self._index != 0

    def record_failure(self, now: float) -> float:
        """Record that the current address has failed and switch to the next one. Returns how long to wait
        before using it.
        """
        if not self.on_fallback:
            self._check_primary_at = now + self._rng.uniform(*self._primary_retry_range_s)
        self._index = (self._index + 1) % len(self._host_ports)
        self._consecutive_failures += 1
        full_rounds = (self._consecutive_failures - 1) // len(self._host_ports)
        if len(self._host_ports) > 1 and not full_rounds:
            return self._rng.uniform(0.0, self._max_failover_wait_s)
        mean_wait_s = min(self._max_failover_wait_s / 2 * 2.0 ** min(full_rounds, 10), self._max_mean_wait_s)
        return mean_wait_s * self._rng.uniform(0.5, 1.5)

    def record_success(self) -> None:
        """Record that the current address has answered."""
        self._consecutive_failures = 0

    def should_check_primary(self, now: float) -> bool:
        """Whether it is time to check the primary again while a fallback is in use."""
        return self.on_fallback and self._check_primary_at is not None and now >= self._check_primary_at

    def record_primary_check(self, now: float, answered: bool) -> None:
        """Record the result of checking the primary. If it answered, it becomes the current address again."""
        if answered:
            self._index, self._check_primary_at = 0, None
        else:
            self._check_primary_at = now + self._rng.uniform(*self._primary_retry_range_s)

    def other_addresses(self) -> tuple[HostPort, ...]:
        """Return all addresses but the current one, starting with those after it."""
        return self._host_ports[self._index + 1 :] + self._host_ports[: self._index]

    def switch_to(self, host_port: HostPort, now: float) -> None:
        """Make another address the current one."""
        self._index = self._host_ports.index(host_port)
        self._consecutive_failures = 0
        self._check_primary_at = (
            now + self._rng.uniform(*self._primary_retry_range_s) if self.on_fallback else None
        )
