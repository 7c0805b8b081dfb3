"""Limits the calls to discovery after a failure: a few members call it in turns, and share the list. No I/O.

Times are milliseconds of Unix time on the caller's clock. The turns are derived from it, so members agree on
them as far as their clocks do.
"""

import math
from collections.abc import Collection
from functools import lru_cache
from hashlib import blake2b

# One member may call per turn; a member that is dead, partitioned or failing loses only its turn. With turns
# of 2 s, the first member had the list 1.5 to 2 s after discovery was back, and the fleet used the old list
# for as long.
TURN_MS = 1000.0
MIN_EARLY_WATCHERS = 2  # members that watch discovery as soon as a list is known ...
EARLY_WATCHER_SHARE = 0.1  # ... or this share of the fleet, if that is more
WATCH_DELAY_MS = 30_000.0  # the other members watch again after this delay ...
WATCH_SPREAD_PER_MEMBER_MS = 150.0  # ... plus a random delay of up to this value times the fleet's size
FIRST_CONTACT_WAIT_MS = 1000.0  # until then only ordinal 0 calls without peers, since turns need live members
ALONE_MS = 5000.0  # a member without contact for this long calls as if it were the only one
ALONE_RETRY_TURNS = 2  # turns between calls of a member that is alone; many may be alone at once
REPORT_MAX_AGE_MS = 20_000.0  # a list that discovery reported to a peer this recently makes a call needless


@lru_cache(maxsize=4096)
def turn_order_key(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, person=b"asking").digest()


class DiscoveryCallGate:
    """Decides whether one member may call discovery. In normal operation, every member may."""

    def __init__(self, name: str, count: int, ordinal: int, now: float, random_share: float) -> None:
        """`count` and `ordinal` are configured and apply until peers are met; `random_share` is in [0, 1]."""
        self.is_unrestricted = False
        self._name, self._configured_count, self._configured_ordinal = name, max(count, 1), ordinal
        self._started_at, self._random_share = now, random_share
        self._alone_at = now + ALONE_MS  # counted from the start only, not again after a failure
        self._list_known_at = math.inf
        self._failing_since = -math.inf
        self._last_failed_turn = -ALONE_RETRY_TURNS  # at most one call per turn

    def on_failure(self, now: float) -> None:
        """Handle a failed call: discovery is down or unreachable, so the next calls are made in turns."""
        if self.is_unrestricted:
            self.is_unrestricted, self._started_at = False, now
        if self._failing_since == -math.inf:
            self._failing_since, self._list_known_at = now, math.inf
        self._last_failed_turn = self._turn_at(now)

    def on_success(self) -> None:
        """Handle an answer of discovery to this member."""
        self.is_unrestricted, self._failing_since = True, -math.inf

    def may_call(
        self, now: float, live_names: Collection[str], list_reported_at: float, is_isolated: bool = False
    ) -> bool:
        """Return whether to call discovery now.

        `list_reported_at`: when discovery reported the list in use to the first member that received it.
        `is_isolated`: members that count as live do not answer. Then most turns may belong to dead members,
        and no list arrives from peers.
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
        # A report from before the failure does not show that discovery is up again.
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

        Turns counted from each member's own failure left gaps of many turns.
        """
        return int(now / TURN_MS)

    def _turn_position(self, live_names: Collection[str]) -> tuple[int, int]:
        own_key = turn_order_key(self._name)
        return sum(turn_order_key(other) < own_key for other in live_names), len(live_names)
