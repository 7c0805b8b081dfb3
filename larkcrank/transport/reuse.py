"""Decides how long a kept connection must have rested before it may carry another request.

What an endpoint sends although no request asked for it (a stray answer) shows on a connection at rest. On one
that carries the next request already, it is read as the answer to that.
"""

import math

import msgspec

from larkcrank.core.interface import Address

# After a stray answer, connections rest for this many times its lateness before they are used again.
REST_FACTOR = 4.0
MIN_REST_MS = 20.0
MAX_REST_MS = 1000.0  # where a longer rest is needed, connections are not kept at all
MAX_LATENESS_MS = 2000.0  # what comes later is a notice that ends an idle connection, not a late answer
SUSPICION_MS = 60_000.0  # after the last stray answer
MIN_ENDPOINTS_FOR_ALL = 2  # with stray answers from so many endpoints, the cause is taken to concern all


class _Suspicion(msgspec.Struct, frozen=True):
    """The stray answers of one endpoint."""

    rest_ms: float
    until: float  # in ms


class ReuseGuard:
    """Suspects endpoints that have sent stray answers. Times are in ms of the caller's clock."""

    def __init__(self) -> None:
        self._suspicions: dict[Address, _Suspicion] = {}

    def record_stray(self, address: Address, late_ms: float, now: float) -> None:
        """Record a stray answer that came `late_ms` after the last answer on its connection."""
        if late_ms > MAX_LATENESS_MS:
            return
        rest_ms = max(late_ms * REST_FACTOR, MIN_REST_MS)
        earlier = self._active_suspicion(address, now)
        if earlier is not None:
            rest_ms = max(rest_ms, earlier.rest_ms)
        self._suspicions[address] = _Suspicion(
            math.inf if rest_ms > MAX_REST_MS else rest_ms, now + SUSPICION_MS
        )

    def forget(self, address: Address) -> None:
        """Forget the stray answers of an endpoint whose process has been replaced."""
        self._suspicions.pop(address, None)

    def required_rest_ms(self, address: Address, now: float) -> float:
        """Return how long a connection must have rested before its next request.

        Infinite: it must not be used again.
        """
        if not self._suspicions:
            return 0.0
        for other in [key for key, suspicion in self._suspicions.items() if suspicion.until <= now]:
            del self._suspicions[other]
        if len(self._suspicions) >= MIN_ENDPOINTS_FOR_ALL:
            return max(suspicion.rest_ms for suspicion in self._suspicions.values())
        suspicion = self._suspicions.get(address)
        return 0.0 if suspicion is None else suspicion.rest_ms

    def _active_suspicion(self, address: Address, now: float) -> _Suspicion | None:
        suspicion = self._suspicions.get(address)
        return suspicion if suspicion is not None and suspicion.until > now else None
