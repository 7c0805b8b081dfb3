"""Which of several addresses of one service to ask, and when. Pure: time in seconds and chance given in."""

from collections.abc import Sequence
from random import Random

Place = tuple[str, int]


class Places:
    """The first place is home. After a failure the next is asked, after a drawn wait so that those who lost
    the same place don't come as one; away from home it is looked at again after a drawn while."""

    def __init__(
        self,
        places: Sequence[Place],
        rng: Random,
        spread_s: float = 0.5,
        back_s: tuple[float, float] = (20.0, 60.0),
        again_s: float = 2.0,
    ) -> None:
        """`again_s`: the longest mean wait where all places have failed in turn."""
        self._places = tuple(places)
        self._rng = rng
        self._spread_s, self._back_s, self._again_s = spread_s, back_s, again_s
        self._index = 0
        self._failures = 0  # since the last answer
        self._back_at: float | None = None

    @property
    def current(self) -> Place:
        return self._places[self._index]

    @property
    def home(self) -> Place:
        return self._places[0]

    @property
    def away(self) -> bool:
        return self._index != 0

    def failed(self, now: float) -> float:
        """The current place has failed: go to the next. Returns the wait before it is asked."""
        if not self.away:
            self._back_at = now + self._rng.uniform(*self._back_s)
        self._index = (self._index + 1) % len(self._places)
        self._failures += 1
        rounds = (self._failures - 1) // len(self._places)
        if len(self._places) > 1 and not rounds:
            return self._rng.uniform(0.0, self._spread_s)
        mean = min(self._spread_s / 2 * 2.0 ** min(rounds, 10), self._again_s)
        return mean * self._rng.uniform(0.5, 1.5)

    def answered(self) -> None:
        """The current place has answered."""
        self._failures = 0

    def look_home(self, now: float) -> bool:
        """Whether it is time to ask at home again, beside the current place."""
        return self.away and self._back_at is not None and now >= self._back_at

    def looked(self, now: float, answered: bool) -> None:
        """What came of asking at home: with an answer that is the current place again."""
        if answered:
            self._index, self._back_at = 0, None
        else:
            self._back_at = now + self._rng.uniform(*self._back_s)

    def others(self) -> tuple[Place, ...]:
        """All but the current place, those after it first."""
        return self._places[self._index + 1 :] + self._places[: self._index]

    def go(self, place: Place, now: float) -> None:
        """That place is the better one now."""
        self._index = self._places.index(place)
        self._failures = 0
        self._back_at = now + self._rng.uniform(*self._back_s) if self.away else None
