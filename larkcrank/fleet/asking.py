"""Limits the calls to discovery after a failure: members call it in turns and share the list. No I/O.

Times are milliseconds of Unix time on the caller's clock. A turn is a time slot of TURN_MS, numbered from the
Unix epoch, in which one member may call. Members with synchronized clocks agree on the current turn.
"""

import math
from collections.abc import Collection
from functools import lru_cache
from hashlib import blake2b

# Duration of a turn, in which one member may call. A member that is dead, partitioned or failing wastes only
# its own turn. With turns of 2 s, no member received the list until 1.5 to 2 s after discovery had recovered,
# and the fleet used the old list until then.
TURN_MS = 1000.0
# Once a member has received a list after a failure, the early watchers may call discovery at once. They are
# this many members, or this share of the fleet if that is more.
MIN_EARLY_WATCHERS = 2
EARLY_WATCHER_SHARE = 0.1
# Every other member may call after a fixed delay plus a random one of up to the spread times the fleet size.
WATCH_DELAY_MS = 30_000.0
WATCH_SPREAD_PER_MEMBER_MS = 150.0
# For this long after its start or the first failure, a member without peers calls only if its configured
# ordinal is 0, since turns are taken among live members and none are known yet.
FIRST_CONTACT_WAIT_MS = 1000.0
ALONE_MS = 5000.0  # after this time from its start, a member without peers calls as if it were the only one
ALONE_RETRY_TURNS = 2  # turns between calls of a member without peers; there may be many such members
REPORT_MAX_AGE_MS = 20_000.0  # a list that discovery reported to a peer this recently shows that it is up


@lru_cache(maxsize=4096)
def turn_order_key(name: str) -> bytes:
    """Return a hash of a member's name; members take turns in the order of these hashes."""
    return blake2b(name.encode(), digest_size=8, person=b"asking").digest()


class DiscoveryCallGate:
    """Decides whether one member may call discovery. In normal operation, every member may."""

    def __init__(self, name: str, count: int, ordinal: int, now: float, random_share: float) -> None:
        """Start with calls limited to turns, as after a failure.

        `count` and `ordinal` are the configured fleet size and ordinal; they apply until a peer is met.
        `random_share`, in [0, 1], is this member's share of the maximum random delay.
        """
        self.is_unrestricted = False
        self._name, self._configured_count, self._configured_ordinal = name, max(count, 1), ordinal
        self._started_at, self._random_share = now, random_share
        self._alone_at = now + ALONE_MS  # not reset after a failure
        self._list_known_at = math.inf  # when a list was first known after the failure
        self._failing_since = -math.inf  # time of the first of consecutive failures; -inf: no failure
        self._last_failed_turn = -ALONE_RETRY_TURNS  # no second call is made in the same turn

    def on_failure(self, now: float) -> None:
        """Handle a failed call: discovery is down or unreachable, so the next calls are made in turns."""
        if self.is_unrestricted:
            self.is_unrestricted, self._started_at = False, now
        if self._failing_since == -math.inf:
            self._failing_since, self._list_known_at = now, math.inf
        self._last_failed_turn = self._turn_at(now)

    def on_success(self) -> None:
        """Handle an answer of discovery to this member: it may call at any time again."""
        self.is_unrestricted, self._failing_since = True, -math.inf

    def may_call(
        self, now: float, live_names: Collection[str], list_reported_at: float, is_isolated: bool = False
    ) -> bool:
        """Return whether to call discovery now.

        `list_reported_at`: when discovery reported the list in use to the first member that received it.
        `is_isolated`: whether members that count as live fail to answer. If so, turns are not used, since
        most of them may belong to dead members, and no list arrives from peers.
        """
        if self.is_unrestricted:
            return True
        if self._turn_at(now) == self._last_failed_turn:
            return False
        has_peers = len(live_names) > 1
        if is_isolated or (not has_peers and (now >= self._alone_at or self._configured_count == 1)):
            return self._turn_at(now) >= self._last_failed_turn + ALONE_RETRY_TURNS
        if not has_peers and now < self._started_at + FIRST_CONTACT_WAIT_MS:
            # One member calls at once, since possibly no member has a list.
            return self._configured_ordinal % self._configured_count == 0
        position, count = (
            self._turn_position(live_names)
            if has_peers
            else (self._configured_ordinal % self._configured_count, self._configured_count)
        )
        # Only a report from after the failure shows that discovery is up again.
        if self._failing_since < list_reported_at and now < list_reported_at + REPORT_MAX_AGE_MS:
            self._list_known_at = min(self._list_known_at, now)
        if self._list_known_at < math.inf:
            early_watchers = max(MIN_EARLY_WATCHERS, math.ceil(EARLY_WATCHER_SHARE * count))
            return (
                position < early_watchers
                or now
                >= self._list_known_at
                + WATCH_DELAY_MS
                + self._random_share * WATCH_SPREAD_PER_MEMBER_MS * count
            )
        return self._turn_at(now) % count == position

    @staticmethod
    def _turn_at(now: float) -> int:
        """Return the number of the current turn, which is the same for all members.

        If each member counted turns from its own failure, there could be many turns in which no member calls.
        """
        return int(now / TURN_MS)

    def _turn_position(self, live_names: Collection[str]) -> tuple[int, int]:
        """Return this member's position in the order of turns, and the number of live members."""
        own_key = turn_order_key(self._name)
        return sum(turn_order_key(other) < own_key for other in live_names), len(live_names)
