"""How many sidecars there are and which place is this one's, from the view alone: stable, damped.

Places are ranks in the order of a hash of the names: all who hold the same view come to the same ones without
a word, the circle stays evenly covered, members that are lost together do not stand together, and one member
more or less moves each part by less than one member's share. Slots that members keep while others come and go
(open addressing, a fixed order of insertion) move fewer between their steps and several times more at each:
see docs/fleet-view.md. Names decide, not lives: a restart keeps its place.

Damping. Whoever dies keeps its place for HOLD_MS, twice as long for each death of late (route flap damping,
RFC 2439). A view in doubt moves nobody.

Times are milliseconds on the caller's clock. No I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from larkcrank.core.interface import FleetSize

JOIN_MS = 2000.0  # a new member is counted after so long: a hundred that join at one moment are one change
HOLD_MS = 10000.0  # a lost one is counted on for so long: most are back by then ...
HOLD_MOST_MS = 300000.0  # ... and for so long at most, however often it went
CALM_MS = 60000.0  # after so long one death weighs half
CUT_SHARE = 0.25  # of the members lost within HOLD_MS: we may have been cut off, not they killed ...
CUT_MS = 30000.0  # ... so places stand for so long
QUIET_MS = 3000.0  # since a member came or went, or somebody's digest was another: still on the move ...
MOVING_MOST_MS = 15000.0  # ... and after so long it is taken as it is
ALONE_MS = 5000.0  # after a start, if nobody was met
RECKON_MS = 300000.0  # for so long those lost may live on elsewhere, and send to the same servers


class Doubt(Enum):
    """Why the view is not gone by."""

    NONE = "none"
    STARTED = "just started"
    MOVING = "still on the move"
    SLOW = "this one was slow itself"
    CUT = "many lost at one moment"


@dataclass(slots=True)
class _Lost:
    at: float
    until: float  # counted up to then


def rank_of(name: str, names: Iterable[str]) -> int:
    """The place of a name among these, the same wherever they are the same."""
    mine = _mark(name)
    return sum(_mark(other) < mine for other in names)


def _mark(name: str) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8).digest(), name


class Ranks:
    """One member's count and place. Ask it once a second or so."""

    def __init__(self, name: str, count: int, ordinal: int, now: float) -> None:
        """`count` and `ordinal` are the configuration's: what holds until the view is trusted."""
        self.doubt = Doubt.STARTED
        self.moves = 0  # times that this one's place became another
        self._name, self._configured = name, count
        self._began = now
        self._since: dict[str, float] = {}  # those that live, and since when we count it so
        self._lost: dict[str, _Lost] = {}
        self._deaths: dict[str, tuple[float, float]] = {}  # weight of its deaths, and when that was so
        self._counted: frozenset[str] = frozenset()  # those whose places the last answer went by
        self._changed_at = now  # when the live ones were others
        self._moving_since: float | None = None
        self._told = FleetSize(count, ordinal, count)

    @property
    def told(self) -> FleetSize:
        return self._told

    def observe(
        self, now: float, live: Iterable[str], met_at: float, differed_at: float, slow: bool
    ) -> FleetSize | None:
        """What holds from now on, where that is something new.

        `live` are the names in the view; `met_at` is when the first fellow was met, `differed_at` when
        somebody had another view; `slow` says that this process stood still or heard badly itself.
        """
        self._count(now, set(live))
        self.doubt = self._doubt(now, met_at, differed_at, slow)
        reckoned = {name for name, lost in self._lost.items() if now < lost.at + RECKON_MS}
        most = len(self._since.keys() | reckoned)
        if self.doubt is not Doubt.NONE:
            # The safer of all: the largest count that might be so; places stand.
            most = max(most, self._configured, self._told.max_instances)
            return self._tell(FleetSize(self._told.count, self._told.ordinal, most))
        counted = frozenset(
            name for name, since in self._since.items() if now >= since + JOIN_MS or name == self._name
        )
        counted |= {name for name, lost in self._lost.items() if now < lost.until} | {self._name}
        count, ordinal = self._told.count, self._told.ordinal
        if counted != self._counted:
            self._counted = counted
            ordinal, count = rank_of(self._name, counted), len(counted)
            self.moves += (ordinal, count) != (self._told.ordinal, self._told.count)
        return self._tell(FleetSize(count, ordinal, max(most, count)))

    def _tell(self, found: FleetSize) -> FleetSize | None:
        if found == self._told:
            return None
        self._told = found
        return found

    def _count(self, now: float, live: set[str]) -> None:
        gone = [name for name in self._since if name not in live]
        if gone or len(live) > len(self._since):
            self._changed_at = now
        for name in gone:
            del self._since[name]
            weight, at = self._deaths.get(name, (0.0, now))
            weight = weight * 0.5 ** ((now - at) / CALM_MS) + 1.0
            self._deaths[name] = weight, now
            self._lost[name] = _Lost(now, now + min(HOLD_MS * 2.0 ** (weight - 1.0), HOLD_MOST_MS))
        for name in live - self._since.keys():
            lost = self._lost.pop(name, None)
            # One that is back before its place was given away was never gone.
            self._since[name] = -JOIN_MS + now if lost is not None and now < lost.until else now
        over = [name for name, one in self._lost.items() if now >= max(one.until, one.at + RECKON_MS)]
        for name in over:
            del self._lost[name]
        for name in [name for name, (_, at) in self._deaths.items() if now >= at + 8 * CALM_MS]:
            del self._deaths[name]

    def _doubt(self, now: float, met_at: float, differed_at: float, slow: bool) -> Doubt:
        worse = self._worse_doubt(now, met_at, slow)
        if worse is not Doubt.NONE or now >= max(differed_at, self._changed_at) + QUIET_MS:
            self._moving_since = None  # also: what heals after a cut has the whole time to come to rest
            return worse
        if self._moving_since is None:
            self._moving_since = now
        return Doubt.MOVING if now < self._moving_since + MOVING_MOST_MS else Doubt.NONE

    def _worse_doubt(self, now: float, met_at: float, slow: bool) -> Doubt:
        if now < (self._began + ALONE_MS if met_at > now else max(met_at, self._began) + JOIN_MS):
            return Doubt.STARTED
        if slow:
            return Doubt.SLOW
        cut = sum(now < lost.at + CUT_MS for lost in self._lost.values())
        if cut > 1 and cut > CUT_SHARE * (cut + len(self._since)):
            return Doubt.CUT
        return Doubt.NONE
