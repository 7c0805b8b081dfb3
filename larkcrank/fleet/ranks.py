"""The fleet's size and this member's ordinal, derived from the membership view alone, and damped.

A member's ordinal is its rank in the order of a hash of the names. All members with the same view compute the
same ordinals without further messages. The hash order remains evenly covered, members that fail together are
not neighbours in it, and one member more or less moves each member's part of the servers by less than the
part of one member. With slots that members keep while others come and go (open addressing in a fixed order of
insertion), fewer parts would move between the steps of a resize, but several times more at each step; see
docs/fleet-view.md. The order depends on names rather than processes, so a restarted member keeps its ordinal.

Damping: a member that dies keeps its ordinal for HOLD_MS, and twice as long for each recent death before (as
in route flap damping, RFC 2439). While the view is not trusted, no ordinal changes.

Times are milliseconds on the caller's clock. No I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from larkcrank.core.interface import FleetSize

JOIN_DELAY_MS = 2000.0  # new members are counted after this, so that many that join together cause one change
HOLD_MS = 10000.0  # a lost member is still counted for this long, since most come back within it ...
MAX_HOLD_MS = 300000.0  # ... and for at most this long, however often it was lost
DEATH_WEIGHT_HALF_LIFE_MS = 60000.0
# If more than this share of the members is lost at once, this member may be partitioned from live ones ...
PARTITION_LOSS_SHARE = 0.25
PARTITION_HOLD_MS = 30000.0  # ... so the ordinals are kept for this long.
QUIET_MS = 3000.0  # the view has settled if no member came or went and no digest differed for this long ...
MAX_UNSETTLED_MS = 15000.0  # ... and is used as it is after this long
ALONE_MS = 5000.0  # after a start without contact to any member, this one counts as the only one
# Lost members count towards `max_instances` for this long, as they may still send to the same servers.
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
    lost_at: float
    counted_until: float


def ordinal_of(name: str, names: Iterable[str]) -> int:
    """Return the ordinal of a name among these names, whatever their order."""
    own_key = _sort_key(name)
    return sum(_sort_key(other) < own_key for other in names)


def _sort_key(name: str) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8).digest(), name


class FleetSizeTracker:
    """Determines the fleet's size and this member's ordinal. Call `observe` about once a second."""

    def __init__(self, name: str, count: int, ordinal: int, now: float) -> None:
        """`count` and `ordinal` are configured; they apply until the view is trusted."""
        self.distrust_reason = DistrustReason.JUST_STARTED
        self.move_count = 0  # how often the ordinal or the count in use changed
        self._name, self._configured_count = name, count
        self._started_at = now
        self._live_since: dict[str, float] = {}  # live members, and since when they count as live
        self._lost_members: dict[str, _LostMember] = {}
        self._death_weights: dict[
            str, tuple[float, float]
        ] = {}  # decaying number of deaths, and when computed
        self._counted: frozenset[str] = frozenset()  # the names behind the size and ordinal in use
        self._live_changed_at = now
        self._unsettled_since: float | None = None
        self._current = FleetSize(count, ordinal, count)

    @property
    def current(self) -> FleetSize:
        return self._current

    def observe(
        self,
        now: float,
        live_names: Iterable[str],
        first_contact_at: float,
        digest_mismatch_at: float,
        is_slow: bool,
    ) -> FleetSize | None:
        """Return the fleet's size if it changed.

        `live_names` are the live members in the view; `first_contact_at` is when the first peer was met,
        `digest_mismatch_at` is when a peer last had another view; `is_slow` means that this process stalled
        or received few answers.
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
        reason = self._check_other_reasons(now, first_contact_at, is_slow)
        if (
            reason is not DistrustReason.NONE
            or now >= max(digest_mismatch_at, self._live_changed_at) + QUIET_MS
        ):
            self._unsettled_since = None  # after a partition, the view gets the full time to settle
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
