"""Determines the fleet's size and this member's ordinal from the membership view, and damps changes.

A member's ordinal is its rank in the order of a hash of the names. All members with the same view compute the
same ordinals without further messages. Each member uses the part of the servers that its ordinal selects.
The hash order remains evenly covered, members that fail together are not neighbours in it, and one member
more or less moves each member's part by less than the size of one part. The alternative is a hash table with
open addressing, in which members keep their slots while others come and go. It would move fewer parts while
the number of slots stays the same, but several times more whenever that number changes; see
docs/fleet-view.md. The order depends on names rather than processes, so a restarted member keeps its ordinal.

Damping: a member that dies is still counted for HOLD_MS, a time that doubles with each of its recent deaths
(as in route flap damping, RFC 2439). While the view is not trusted, no ordinal changes.

Times are milliseconds on the caller's clock. No I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from larkcrank.core.interface import FleetSize

# New members are counted after this delay, so that several that join at about the same time cause one change.
JOIN_DELAY_MS = 2000.0
HOLD_MS = 10000.0  # a lost member is still counted for this long, since most return sooner
MAX_HOLD_MS = 300000.0  # upper limit of this time for members that were lost repeatedly
DEATH_WEIGHT_HALF_LIFE_MS = 60000.0  # in which the effect of an earlier death on this time halves
# If more than this share of the members is lost within PARTITION_HOLD_MS, this member may be partitioned from
# members that are still running, so its ordinal is kept for that time.
PARTITION_LOSS_SHARE = 0.25
PARTITION_HOLD_MS = 30000.0
QUIET_MS = 3000.0  # the view has settled if no member came or went and no digest differed for this long
MAX_UNSETTLED_MS = 15000.0  # a view that has not settled is used after this time nevertheless
ALONE_MS = 5000.0  # a member that has met no other this long after its start counts as the only one
# Lost members are included in `max_instances` for this long, as they may still send to the same servers.
MAX_INSTANCES_HOLD_MS = 300000.0


class DistrustReason(Enum):
    """Why the view is not used for now."""

    NONE = "none"
    JUST_STARTED = "just started"
    UNSETTLED = "still on the move"
    SLOW_PROCESS = "this one was slow itself"
    POSSIBLE_PARTITION = "many lost at one moment"


@dataclass(slots=True)
class _LostMember:
    """A member that is no longer live in the view."""

    lost_at: float  # when it was first missing from the live members
    counted_until: float  # until then it is included in the fleet's size


def ordinal_of(name: str, names: Iterable[str]) -> int:
    """Return the number of names whose hash sorts before that of this name."""
    own_key = _sort_key(name)
    return sum(_sort_key(other) < own_key for other in names)


def _sort_key(name: str) -> tuple[bytes, str]:
    """Return the hash of the name, and the name itself in case two hashes are equal."""
    return blake2b(name.encode(), digest_size=8).digest(), name


class FleetSizeTracker:
    """Determines the fleet's size and this member's ordinal.

    `observe` must be called about once a second.
    """

    def __init__(self, name: str, count: int, ordinal: int, now: float) -> None:
        """`count` and `ordinal`: configured fleet size and ordinal, used until the view is trusted."""
        self.distrust_reason = DistrustReason.JUST_STARTED
        self.move_count = 0  # how often the ordinal or the count in use changed
        self._name, self._configured_count = name, count
        self._started_at = now
        self._live_since: dict[str, float] = {}  # live members, and since when they count as live
        self._lost_members: dict[str, _LostMember] = {}
        # For each member that died: its number of deaths with exponential decay, and when it was computed.
        self._death_weights: dict[str, tuple[float, float]] = {}
        self._counted: frozenset[str] = (
            frozenset()
        )  # names of the members that were counted for the current size
        self._live_changed_at = now
        self._unsettled_since: float | None = None  # since when the view has not settled; None: it has
        self._current = FleetSize(count, ordinal, count)

    @property
    def current(self) -> FleetSize:
        """The fleet's size and this member's ordinal, as last determined."""
        return self._current

    def observe(
        self,
        now: float,
        live_names: Iterable[str],
        first_contact_at: float,
        digest_mismatch_at: float,
        is_slow: bool,
    ) -> FleetSize | None:
        """Update from the current view. Return the fleet's size and this member's ordinal if they changed.

        `live_names`: names of the live members in the view.
        `first_contact_at`: when the first datagram of a peer was received; infinite if none was.
        `digest_mismatch_at`: when a peer last reported a different view.
        `is_slow`: whether this process recently stalled or missed many answers.
        """
        self._update_members(now, set(live_names))
        self.distrust_reason = self._check_view(now, first_contact_at, digest_mismatch_at, is_slow)
        maybe_alive = {
            name for name, lost in self._lost_members.items() if now < lost.lost_at + MAX_INSTANCES_HOLD_MS
        }
        max_instances = len(self._live_since.keys() | maybe_alive)
        if self.distrust_reason is not DistrustReason.NONE:
            # Assume the highest plausible number of instances, and keep the ordinal.
            max_instances = max(max_instances, self._configured_count, self._current.max_instances)
            return self._set_current(FleetSize(self._current.count, self._current.ordinal, max_instances))
        counted = frozenset(
            name
            for name, since in self._live_since.items()
            if now >= since + JOIN_DELAY_MS or name == self._name
        )
        counted |= {name for name, lost in self._lost_members.items() if now < lost.counted_until} | {
            self._name
        }
        count, ordinal = self._current.count, self._current.ordinal
        if counted != self._counted:
            self._counted = counted
            ordinal, count = ordinal_of(self._name, counted), len(counted)
            self.move_count += (ordinal, count) != (self._current.ordinal, self._current.count)
        return self._set_current(FleetSize(count, ordinal, max(max_instances, count)))

    def _set_current(self, size: FleetSize) -> FleetSize | None:
        if size == self._current:
            return None
        self._current = size
        return size

    def _update_members(self, now: float, live_names: set[str]) -> None:
        """Record which members joined, died or returned since the last call."""
        lost_names = [name for name in self._live_since if name not in live_names]
        if lost_names or len(live_names) > len(self._live_since):
            self._live_changed_at = now
        for name in lost_names:
            del self._live_since[name]
            weight, computed_at = self._death_weights.get(name, (0.0, now))
            weight = weight * 0.5 ** ((now - computed_at) / DEATH_WEIGHT_HALF_LIFE_MS) + 1.0
            self._death_weights[name] = weight, now
            self._lost_members[name] = _LostMember(
                now, now + min(HOLD_MS * 2.0 ** (weight - 1.0), MAX_HOLD_MS)
            )
        for name in live_names - self._live_since.keys():
            lost = self._lost_members.pop(name, None)
            # A member that returns while it is still counted is counted without the delay for new members.
            self._live_since[name] = (
                -JOIN_DELAY_MS + now if lost is not None and now < lost.counted_until else now
            )
        expired_names = [
            name
            for name, member in self._lost_members.items()
            if now >= max(member.counted_until, member.lost_at + MAX_INSTANCES_HOLD_MS)
        ]
        for name in expired_names:
            del self._lost_members[name]
        for name in [
            name
            for name, (_, computed_at) in self._death_weights.items()
            if now >= computed_at + 8 * DEATH_WEIGHT_HALF_LIFE_MS
        ]:
            del self._death_weights[name]

    def _check_view(
        self, now: float, first_contact_at: float, digest_mismatch_at: float, is_slow: bool
    ) -> DistrustReason:
        """Return why the view is not to be used now, or `NONE`."""
        reason = self._check_other_reasons(now, first_contact_at, is_slow)
        if (
            reason is not DistrustReason.NONE
            or now >= max(digest_mismatch_at, self._live_changed_at) + QUIET_MS
        ):
            self._unsettled_since = None  # the view gets the full MAX_UNSETTLED_MS the next time
            return reason
        if self._unsettled_since is None:
            self._unsettled_since = now
        return (
            DistrustReason.UNSETTLED
            if now < self._unsettled_since + MAX_UNSETTLED_MS
            else DistrustReason.NONE
        )

    def _check_other_reasons(self, now: float, first_contact_at: float, is_slow: bool) -> DistrustReason:
        """Return any reason other than an unsettled view."""
        if now < (
            self._started_at + ALONE_MS
            if first_contact_at > now
            else max(first_contact_at, self._started_at) + JOIN_DELAY_MS
        ):
            return DistrustReason.JUST_STARTED
        if is_slow:
            return DistrustReason.SLOW_PROCESS
        lost_count = sum(now < lost.lost_at + PARTITION_HOLD_MS for lost in self._lost_members.values())
        if lost_count > 1 and lost_count > PARTITION_LOSS_SHARE * (lost_count + len(self._live_since)):
            return DistrustReason.POSSIBLE_PARTITION
        return DistrustReason.NONE
