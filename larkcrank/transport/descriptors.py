"""The count of descriptors: sockets are opened only where there is room for one."""

from collections.abc import Callable
from enum import Enum

RESERVE = 32  # for standard streams, the loop's own, and a margin ...
RESERVE_SHARE = 0.4  # ... but not more than this of few: about a dozen are really in use
OPERATORS = 12  # places that nothing else can fill, so that a crowd keeps no operator out ...
OPERATORS_SHARE = 0.1  # ... or this share of few


class Use(Enum):
    """What a socket is for, with the share of all places that this may fill: no use may starve another."""

    CLIENT = 0.85
    ATTEMPT = 0.5
    DISCOVERY = 1.0
    OPERATOR = 0.0  # has places of its own


class Descriptors:
    """Counts sockets. Each is taken here before it is opened and given back once, when it is closed."""

    def __init__(self, limit: int, operators: bool = False) -> None:
        self._operators = min(OPERATORS, int(limit * OPERATORS_SHARE)) if operators else 0
        self._limit = limit
        self._room = 0
        self.share_with(0)
        self._used = dict.fromkeys(Use, 0)
        self._spares: dict[Use, Callable[[], bool]] = {}
        self._waiting: set[Callable[[], None]] = set()

    def share_with(self, others: int) -> None:
        """So many other processes of this sidecar live: its limit is one for all of them.

        Who holds more than its part then gives up idle connections as it needs places, and takes no more.
        """
        limit = self._limit // (1 + others)
        self._room = limit - min(RESERVE, int(limit * RESERVE_SHARE)) - self._operators

    @property
    def used(self) -> int:
        """Places taken, but for the operators' own."""
        return sum(self._used.values()) - self._used[Use.OPERATOR]

    def _most(self, use: Use) -> int:
        return self._operators if use is Use.OPERATOR else int(self._room * use.value)

    def share(self, use: Use) -> float:
        """How much of what this use may fill is filled."""
        return self._used[use] / max(self._most(use), 1)

    @property
    def wanted(self) -> bool:
        """Somebody waits for a place: connections that can be spared should end."""
        return bool(self._waiting)

    def add_spare(self, use: Use, close_one: Callable[[], bool]) -> None:
        """Register a way to give up one idle connection; it says whether there was one."""
        self._spares[use] = close_one

    def take(self, use: Use) -> bool:
        """A place for one more socket, made by closing idle ones if need be."""
        while self._used[use] >= self._most(use):
            if use not in self._spares or not self._spares[use]():
                return False
        others = [close_one for spare, close_one in self._spares.items() if spare is not Use.OPERATOR]
        while use is not Use.OPERATOR and self.used >= self._room:
            if not any(close_one() for close_one in others):
                return False
        self._used[use] += 1
        return True

    def give_back(self, use: Use) -> None:
        self._used[use] -= 1
        waiting, self._waiting = self._waiting, set()
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when the next place is given back."""
        self._waiting.add(wake)
