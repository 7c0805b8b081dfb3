"""The count of descriptors: sockets are opened only where there is room for one."""

from collections.abc import Callable
from enum import Enum

RESERVE = 32  # for standard streams, the loop's own, and a margin ...
RESERVE_SHARE = 0.4  # ... but not more than this of few: about a dozen are really in use
OPERATORS = 12  # places that nothing else can fill, so that a crowd keeps no operator out ...
OPERATORS_SHARE = 0.1  # ... or this share of few
KEPT_DISCOVERY = (2, 4)  # a watch, and the whole list beside it; or one in so many places, of few
KEPT_ATTEMPTS = (3, 5)


class Use(Enum):
    """What a socket is for, with the share of all places that this may fill: no use may starve another."""

    CLIENT = 0.85
    ATTEMPT = 0.5
    DISCOVERY = 1.0
    OPERATOR = 0.0  # has places of its own


class Descriptors:
    """Counts sockets. Each is taken here before it is opened and given back once, when it is closed.

    Discovery, connections to endpoints and operators have places kept back that nothing else can fill.
    """

    def __init__(self, limit: int, operators: bool = False) -> None:
        self._operators = min(OPERATORS, int(limit * OPERATORS_SHARE)) if operators else 0
        self._limit = limit
        self._room = 0
        self._kept: dict[Use, int] = {}
        self.share_with(0)
        self._used = dict.fromkeys(Use, 0)
        self._spares: dict[Use, tuple[Callable[[], bool], Callable[[], float]]] = {}
        self._waiting: set[Callable[[], None]] = set()

    def share_with(self, others: int) -> None:
        """So many other processes of this sidecar live: its limit is one for all of them.

        Who holds more than its part then gives up idle connections as it needs places, and takes no more
        than the places that are kept back.
        """
        limit = self._limit // (1 + others)
        self._room = limit - min(RESERVE, int(limit * RESERVE_SHARE)) - self._operators
        for use, (most, one_in) in ((Use.DISCOVERY, KEPT_DISCOVERY), (Use.ATTEMPT, KEPT_ATTEMPTS)):
            self._kept[use] = max(min(most, self._room // one_in), 1)

    @property
    def used(self) -> int:
        """Places taken, but for the operators' own."""
        return sum(self._used.values()) - self._used[Use.OPERATOR]

    def _most(self, use: Use) -> int:
        if use is Use.OPERATOR:
            return self._operators
        most = int(self._room * use.value)
        if use is Use.CLIENT:
            most = min(most, self._room - sum(self._kept.values()))
        return max(most, 1)

    def share(self, use: Use) -> float:
        """How much of what this use may fill is filled."""
        return self._used[use] / max(self._most(use), 1)

    @property
    def wanted(self) -> bool:
        """Somebody waits for a place: connections that can be spared should end."""
        return bool(self._waiting)

    def add_spare(
        self, use: Use, close_one: Callable[[], bool], since: Callable[[], float] = lambda: 0.0
    ) -> None:
        """Register a way to give up one idle connection; it says whether there was one.

        `since` tells how long the longest idle one has been so: a time on the loop's clock (s), infinite
        where there is none. Between uses the longest goes first.
        """
        self._spares[use] = close_one, since

    def has_room(self, use: Use) -> bool:
        """Whether there is a place without closing anything."""
        if self._used[use] >= self._most(use):
            return False
        kept = sum(max(most - self._used[other], 0) for other, most in self._kept.items() if other is not use)
        return use is Use.OPERATOR or self.used + kept < self._room

    def take(self, use: Use) -> bool:
        """A place for one more socket, made by closing idle ones if need be."""
        while self._used[use] >= self._most(use):
            if use not in self._spares or not self._spares[use][0]():
                return False
        while not self.has_room(use):
            if not self._close_longest(use):
                if self._used[use] < self._kept.get(use, 0):
                    break  # more than the sum only while another process has begun to share it
                return False
        self._used[use] += 1
        return True

    def _close_longest(self, use: Use) -> bool:
        """Close what has been idle longest, whoever it is for; those within a part kept back free none."""
        spares = [
            spare
            for other, spare in self._spares.items()
            if other is use or (other is not Use.OPERATOR and self._used[other] > self._kept.get(other, 0))
        ]
        return any(close_one() for close_one, _ in sorted(spares, key=lambda spare: spare[1]()))

    def give_back(self, use: Use) -> None:
        self._used[use] -= 1
        waiting, self._waiting = self._waiting, set()
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when the next place is given back."""
        self._waiting.add(wake)
