"""What the sidecar is to its clients just now: the one place where that is known."""

import math
from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    STARTING = "starting"  # not yet ready
    READY = "ready"
    DRAINING = "draining"  # clients are sent away until an operator calls them back
    ENDING = "ending"  # for good


class Life:
    """Readiness, whether connections are kept and how long a request may take follow from here.

    Calls may come twice, crossed, or before the start is done: each leaves a whole state behind. A
    drain asked for during the start holds when the start is done. Nothing brings back what is ending.
    """

    def __init__(self) -> None:
        self._started = self._away = self._ending = False
        self.latest = math.inf  # no request may be open any more then
        self.changed: Callable[[], None] = lambda: None

    @property
    def phase(self) -> Phase:
        if self._ending:
            return Phase.ENDING
        if not self._started:
            return Phase.STARTING
        return Phase.DRAINING if self._away else Phase.READY

    @property
    def is_ready(self) -> bool:
        return self.phase is Phase.READY

    @property
    def sends_away(self) -> bool:
        """Every answer ends its connection."""
        return self._away or self._ending

    def start(self) -> None:
        self._started = True
        self.changed()

    def drain(self) -> bool:
        """Send clients away. Also while ending that is what happens already."""
        self._away = True
        self.changed()
        return True

    def rejoin(self) -> bool:
        """Back to work; False where the end has begun, which nothing takes back."""
        self._away = False
        self.changed()
        return not self._ending

    def end(self, latest: float) -> None:
        self._ending, self.latest = True, latest
        self.changed()
