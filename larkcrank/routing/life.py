"""The lifecycle phase of the sidecar as its clients see it."""

import math
from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    STARTING = "starting"  # The sidecar is not ready yet.
    READY = "ready"
    DRAINING = "draining"  # Clients are asked to disconnect until an operator revokes the drain.
    ENDING = "ending"  # The sidecar is shutting down, which cannot be revoked.


class Lifecycle:
    """Determines readiness, whether connections are kept open, and how long a request may take.

    Calls may be repeated, arrive in any order, or come before startup is complete; each leaves a consistent
    state. A drain requested during startup takes effect when startup completes. A shutdown cannot be revoked.
    """

    def __init__(self) -> None:
        self._started = self._draining = self._ending = False
        self.latest_deadline = math.inf  # Time by which every request must end; infinite until a shutdown.
        self.on_change: Callable[[], None] = lambda: None

    @property
    def phase(self) -> Phase:
        if self._ending:
            return Phase.ENDING
        if not self._started:
            return Phase.STARTING
        return Phase.DRAINING if self._draining else Phase.READY

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check succeeds."""
        return self.phase is Phase.READY

    @property
    def closes_connections(self) -> bool:
        """Whether every response closes its connection."""
        return self._draining or self._ending

    def start(self) -> None:
        """Record that startup is complete."""
        self._started = True
        self.on_change()

    def drain(self) -> bool:
        """Start draining clients. Returns True always: during a shutdown clients are drained already."""
        self._draining = True
        self.on_change()
        return True

    def rejoin(self) -> bool:
        """Revoke a drain. Returns False during a shutdown, which cannot be revoked."""
        self._draining = False
        self.on_change()
        return not self._ending

    def begin_shutdown(self, latest_deadline: float) -> None:
        """Start the shutdown. Every request must have ended by `latest_deadline`."""
        self._ending, self.latest_deadline = True, latest_deadline
        self.on_change()
