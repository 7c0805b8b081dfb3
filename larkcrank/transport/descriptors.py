"""The count of descriptors: sockets are opened only where there is room for one."""

from collections.abc import Callable

RESERVE = 32  # for standard streams, the loop's own, discovery, and a margin
ATTEMPT_SHARE = 0.75  # attempts leave the rest to clients: those must always get in


class Descriptors:
    """Counts sockets. Each is taken here before it is opened and given back once, when it is closed."""

    def __init__(self, limit: int) -> None:
        self._room = limit - RESERVE
        self._used = 0
        self._spares: list[Callable[[], bool]] = []
        self._waiting: list[Callable[[], None]] = []

    @property
    def used(self) -> int:
        return self._used

    def add_spare(self, close_one: Callable[[], bool]) -> None:
        """Register a way to give up one idle connection; it says whether there was one."""
        self._spares.append(close_one)

    def take(self, for_attempt: bool = False) -> bool:
        """A place for one more socket, made by closing idle ones if need be."""
        room = int(self._room * ATTEMPT_SHARE) if for_attempt else self._room
        while self._used >= room:
            if not any(close_one() for close_one in self._spares):
                return False
        self._used += 1
        return True

    def give_back(self) -> None:
        self._used -= 1
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when the next place is given back."""
        self._waiting.append(wake)
