"""What is in force: who holds which generation, summed up the tiers. Pure; times in seconds.

A call with `after` acknowledges that generation. Each tier counts its sidecars by its own count of
generations, and tells the tier above a summary in that one's generations: who holds everything of mine
up to the count at which I had merged yours, holds yours.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Annotated

import msgspec

MOST_STEPS = 16  # of a histogram; what is lower is counted with the lowest
MOST_LATE = 20
MOST_BELOW = 256  # tiers whose summaries are kept
MOST_MARKS = 512
FORGET_S = 3600.0  # a tier that has told nothing for so long is no longer missed
_MARK_S = 0.25  # changes closer together are one mark
AGAIN_S = 30.0  # between two events on the same lag

Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(max_length=128)]


class Late(msgspec.Struct, array_like=True, frozen=True):
    """A sidecar that lacks something: at which tier and door, from where, what it holds and for how long."""

    tier: Name
    door: Name
    peer: Name
    generation: Count  # 0: nothing is known of what it holds
    since_s: float


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """Of the sidecars below one tier: how many hold at least each generation's text, of the tier above."""

    tier: Name
    held: Annotated[list[tuple[Count, Count]], msgspec.Meta(max_length=MOST_STEPS)]
    late: Annotated[list[Late], msgspec.Meta(max_length=MOST_LATE)]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Summary)


def encode(summary: Summary) -> bytes:
    return _encoder.encode(summary)


def decode(text: bytes) -> Summary | None:
    """None where it is none."""
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Steps:
    """At which own count which generation of the tier above had been merged."""

    def __init__(self) -> None:
        self._steps: deque[tuple[int, int]] = deque(maxlen=MOST_MARKS)

    def heard(self, count: int, generation: int) -> None:
        if self._steps and self._steps[-1][0] >= count:
            self._steps.pop()  # whoever holds the count holds the later generation too
        self._steps.append((count, generation))

    def clear(self) -> None:
        self._steps.clear()

    def at(self, count: int) -> int:
        """The generation of above that is held with this own count; 0: none that is remembered."""
        for own, generation in reversed(self._steps):
            if own <= count:
                return generation
        return 0


class Marks:
    """When the last changes came, to say since when one is missing."""

    def __init__(self) -> None:
        self._marks: deque[tuple[int, float]] = deque(maxlen=MOST_MARKS)

    def changed(self, count: int, now: float) -> None:
        if self._marks and now - self._marks[-1][1] < _MARK_S:
            count, now = count, self._marks.pop()[1]
        self._marks.append((count, now))

    def clear(self) -> None:
        self._marks.clear()

    def after(self, count: int) -> float | None:
        """When the first change came that this count lacks; None: there is none."""
        found = None
        for mark, at in reversed(self._marks):
            if mark <= count:
                break
            found = at
        return found


class Below:
    """The last summary of each tier below, for as long as it counts."""

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._told: dict[str, tuple[Summary, float]] = {}

    def told(self, summary: Summary, now: float) -> None:
        self._told.pop(summary.tier, None)
        if len(self._told) >= MOST_BELOW:
            del self._told[next(iter(self._told))]
        self._told[summary.tier] = (summary, now)

    def now(self, now: float) -> list[Summary]:
        """Those that count."""
        return [summary for summary, at in self._told.values() if now - at <= self._keep_s]

    def silent(self, now: float) -> dict[str, float]:
        """Tiers that told a summary within the last hour and no longer do: for how long."""
        for tier in [tier for tier, (_, at) in self._told.items() if now - at > FORGET_S]:
            del self._told[tier]
        return {tier: now - at for tier, (_, at) in self._told.items() if now - at > self._keep_s}


class Standing:
    """All sidecars below one tier by its own count: how many hold what, and who is late."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # own count held (-1: nothing known): how many
        self.late: list[tuple[int, Late]] = []

    def add(self, count: int, number: int = 1) -> None:
        self.counts[count] = self.counts.get(count, 0) + number

    @property
    def total(self) -> int:
        return sum(self.counts.values())

    @property
    def least(self) -> int | None:
        """What all hold; None where there is nobody."""
        return min((count for count, number in self.counts.items() if number), default=None)

    def holding(self, count: int) -> int:
        return sum(number for held, number in self.counts.items() if held >= count)

    def latest(self, most: int = MOST_LATE, count: int | None = None) -> list[tuple[int, Late]]:
        """Those that lack something for longest, of those that lack this count where one is given."""
        late = [(held, one) for held, one in self.late if count is None or held < count]
        return sorted(late, key=lambda pair: -pair[1].since_s)[:most]


def summary(tier: str, standing: Standing, steps: Steps) -> Summary:
    """For the tier above, in its generations."""
    held: dict[int, int] = {}
    for count, number in standing.counts.items():
        generation = steps.at(count)
        held[generation] = held.get(generation, 0) + number
    late = [
        msgspec.structs.replace(one, generation=steps.at(count)) for count, one in standing.latest(MOST_LATE)
    ]
    return Summary(tier, _steps(held.items()), late)


def _steps(held: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
    """The highest steps, and the rest as one that holds as little as the least of them."""
    rising: Sequence[tuple[int, int]] = sorted(held)
    extra = len(rising) - MOST_STEPS
    if extra <= 0:
        return list(rising)
    lowest = (rising[0][0], sum(number for _, number in rising[: extra + 1]))
    return [lowest, *rising[extra + 1 :]]


class Watch:
    """Says when all hold what was changed, and when some have lacked it for too long."""

    def __init__(self, late_s: float) -> None:
        self._late_s = late_s
        self._open: deque[tuple[int, float]] = deque(maxlen=MOST_MARKS)  # changes that not all hold yet
        self._said: float | None = None

    def changed(self, count: int, now: float) -> None:
        if self._open and now - self._open[-1][1] < _MARK_S:
            now = self._open.pop()[1]
        self._open.append((count, now))

    def clear(self) -> None:
        self._open.clear()
        self._said = None

    @property
    def is_open(self) -> bool:
        return bool(self._open)

    def look(self, least: int | None, now: float) -> tuple[str, int, float] | None:
        """`held` or `lagging`, the count in question, and how long it took or takes; None: nothing new."""
        if least is None:
            self.clear()
            return None
        began = None
        while self._open and self._open[0][0] <= least:
            count, at = self._open.popleft()
            began = at if began is None else began
        if began is not None:
            self._said = None
            return ("held", count, now - began)
        late = bool(self._open) and now - self._open[0][1] > self._late_s
        if late and (self._said is None or now - self._said >= AGAIN_S):
            self._said = now
            return ("lagging", self._open[0][0], now - self._open[0][1])
        return None
