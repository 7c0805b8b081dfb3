"""Who asks discovery while nobody knows what it holds: a few, in turns; the others have it from them. No I/O.

Times are milliseconds on the caller's clock, in Unix time: turns are told from it, as far as clocks agree.
"""

import math
from collections.abc import Collection
from functools import lru_cache
from hashlib import blake2b

# One asks at a time; after so long it is the next one's turn, be this one dead, cut off or failing. At
# 2 s the first was told 1.5 to 2 s after discovery was back, and the fleet stood by the old list as long.
TURN_MS = 1000.0
WATCHERS = 2  # so many watch as soon as a list is known ...
WATCHERS_SHARE = 0.1  # ... or this share of the fleet
CALM_MS = 30_000.0  # the others watch again after so long ...
EACH_MS = 150.0  # ... spread by so much a member
MEET_MS = 1000.0  # until then all but the first wait to meet others: turns go by who lives
ALONE_MS = 5000.0  # who has met nobody by then asks as if it were alone
ALONE_TURNS = 2  # from a call that failed to the next of one that asks alone: many may be alone at once
KNOWN_MS = 20_000.0  # a list that discovery told to a fellow so lately needs no call of ours


@lru_cache(maxsize=4096)
def turn_of(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, person=b"asking").digest()


class Asking:
    """One member's leave to call discovery. In ordinary times everyone has it."""

    def __init__(self, name: str, count: int, ordinal: int, now: float, draw: float) -> None:
        """`count` and `ordinal` as configured: they count until others are met. `draw` is from 0 to 1."""
        self.is_over = False  # the recovery, for this member
        self._name, self._count, self._ordinal = name, max(count, 1), ordinal
        self._began, self._draw = now, draw
        self._alone_at = now + ALONE_MS  # once it has looked for others so long, it need not after a failure
        self._known_at = math.inf
        self._fails_since = -math.inf
        self._failed_turn = -ALONE_TURNS  # one call a turn

    def failed(self, now: float) -> None:
        """A call failed: discovery is down, or we are cut off from it. Everyone's next call goes by turns."""
        if self.is_over:
            self.is_over, self._began = False, now
        if self._fails_since == -math.inf:
            self._fails_since, self._known_at = now, math.inf
        self._failed_turn = self._turn(now)

    def heard(self) -> None:
        """Discovery itself has answered us."""
        self.is_over, self._fails_since = True, -math.inf

    def may(self, now: float, live: Collection[str], told_at: float, lonely: bool = False) -> bool:
        """Whether to call now.

        `told_at`: when discovery told the list held to whoever had it first. `lonely`: those who count as
        live do not answer, so that most turns may be nobody's and no list comes from fellows.
        """
        if self.is_over:
            return True
        if self._turn(now) == self._failed_turn:
            return False
        met = len(live) > 1
        if lonely or (not met and (now >= self._alone_at or self._count == 1)):
            return self._turn(now) >= self._failed_turn + ALONE_TURNS
        if not met and now < self._began + MEET_MS:
            return self._ordinal % self._count == 0  # one at once: it may be that nobody has a list at all
        place, count = self._place(live) if met else (self._ordinal % self._count, self._count)
        if self._fails_since < told_at and now < told_at + KNOWN_MS:  # before that it tells nothing of now
            self._known_at = min(self._known_at, now)
        if self._known_at < math.inf:
            watchers = max(WATCHERS, math.ceil(WATCHERS_SHARE * count))
            return place < watchers or now >= self._known_at + CALM_MS + self._draw * EACH_MS * count
        return self._turn(now) % count == place

    @staticmethod
    def _turn(now: float) -> int:
        """The same for all: counted from each one's own failure, they left gaps of many turns."""
        return int(now / TURN_MS)

    def _place(self, live: Collection[str]) -> tuple[int, int]:
        mine = turn_of(self._name)
        return sum(turn_of(other) < mine for other in live), len(live)
