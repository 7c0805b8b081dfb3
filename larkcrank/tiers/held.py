"""Counts the sidecars that have received each change, over all tiers. No I/O; times in seconds.

A sidecar holds a generation if it has received all changes up to it; a call with `after` acknowledges that
generation. Each tier counts its sidecars by its own sequence numbers, and sends its parent a summary in
generations of the parent. To translate them, it records at which of its sequence numbers each parent
generation was merged: a sidecar that holds this sequence number holds that parent generation.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Annotated

import msgspec

MAX_SUMMARY_BUCKETS = 16  # generations in a summary; the lowest also counts the sidecars of lower ones
MAX_LAGGARDS = 20  # sidecars that a summary or report lists one by one
MAX_CHILD_SUMMARIES = 256
MAX_CHANGES = 512  # latest changes whose times or parent generations are stored
FORGET_CHILD_S = 3600.0  # a child tier is removed this long after its last summary
_COALESCE_S = 0.25  # a change that follows another within this time is counted with it
LAG_REPEAT_S = 30.0  # minimum time between two log events while sidecars continue to lag

Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(max_length=128)]


class Laggard(msgspec.Struct, array_like=True, frozen=True):
    """A sidecar that lacks a change. The field names appear in log events and operators' answers."""

    tier: Name
    door: Name  # the listener that the sidecar is connected to
    peer: Name  # the sidecar's address
    generation: Count  # the latest one that the sidecar holds; 0: unknown
    since_s: float  # seconds since the first change that it lacks


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """The number of sidecars of a tier and of the tiers below it, by the parent generation that they hold."""

    tier: Name
    # Pairs of a generation and the number of sidecars whose latest generation it is.
    holders: Annotated[list[tuple[Count, Count]], msgspec.Meta(max_length=MAX_SUMMARY_BUCKETS)]
    laggards: Annotated[list[Laggard], msgspec.Meta(max_length=MAX_LAGGARDS)]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Summary)


def encode(summary: Summary) -> bytes:
    """Encode a summary as JSON, for a header of a call to the parent."""
    return _encoder.encode(summary)


def decode(text: bytes) -> Summary | None:
    """Decode a summary; None if the text is not a valid one."""
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class ParentGenerations:
    """Translates this tier's sequence numbers to generations of its parent."""

    def __init__(self) -> None:
        self._merged: deque[tuple[int, int]] = deque(maxlen=MAX_CHANGES)  # sequence number, parent generation

    def record(self, sequence: int, generation: int) -> None:
        """Record that the parent generation was merged when the table had this sequence number."""
        if self._merged and self._merged[-1][0] >= sequence:
            self._merged.pop()  # one entry for each sequence number: the latest generation
        self._merged.append((sequence, generation))

    def clear(self) -> None:
        self._merged.clear()

    def at(self, sequence: int) -> int:
        """The latest parent generation merged at `sequence` or before; 0: none is recorded."""
        for merged_sequence, generation in reversed(self._merged):
            if merged_sequence <= sequence:
                return generation
        return 0


class ChangeTimes:
    """The times of the latest changes, to compute for how long a sidecar has lacked one."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, float]] = deque(maxlen=MAX_CHANGES)  # sequence number, time

    def record(self, sequence: int, now: float) -> None:
        """Record a change."""
        if self._changes and now - self._changes[-1][1] < _COALESCE_S:
            sequence, now = sequence, self._changes.pop()[1]
        self._changes.append((sequence, now))

    def clear(self) -> None:
        self._changes.clear()

    def first_after(self, sequence: int) -> float | None:
        """The time of the first recorded change after `sequence`; None if there is none."""
        found = None
        for change_sequence, at in reversed(self._changes):
            if change_sequence <= sequence:
                break
            found = at
        return found


class ChildSummaries:
    """The latest summary of each child tier; it expires after `valid_s`."""

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        self._received: dict[str, tuple[Summary, float]] = {}  # by tier: summary, time; oldest first

    def add(self, summary: Summary, now: float) -> None:
        self._received.pop(summary.tier, None)
        if len(self._received) >= MAX_CHILD_SUMMARIES:
            del self._received[next(iter(self._received))]
        self._received[summary.tier] = (summary, now)

    def valid(self, now: float) -> list[Summary]:
        """The summaries that have not expired."""
        return [summary for summary, at in self._received.values() if now - at <= self._valid_s]

    def silent(self, now: float) -> dict[str, float]:
        """Child tiers whose summary has expired, with the seconds since it came.

        Removes those without a summary for `FORGET_CHILD_S`.
        """
        for tier in [tier for tier, (_, at) in self._received.items() if now - at > FORGET_CHILD_S]:
            del self._received[tier]
        return {tier: now - at for tier, (_, at) in self._received.items() if now - at > self._valid_s}


class SidecarProgress:
    """The sequence number of one tier that each sidecar of it and of the tiers below holds."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # by sequence number (-1: unknown), the sidecars that hold it
        self.laggards: list[tuple[int, Laggard]] = []  # pairs of held sequence number and sidecar

    def add(self, sequence: int, count: int = 1) -> None:
        self.counts[sequence] = self.counts.get(sequence, 0) + count

    @property
    def total(self) -> int:
        return sum(self.counts.values())

    @property
    def lowest(self) -> int | None:
        """The lowest sequence number that a sidecar holds (-1: unknown); None if there are no sidecars."""
        return min((sequence for sequence, count in self.counts.items() if count), default=None)

    def holding(self, sequence: int) -> int:
        """The number of sidecars that hold `sequence` or a later sequence number."""
        return sum(count for held_sequence, count in self.counts.items() if held_sequence >= sequence)

    def longest_lagging(
        self, limit: int = MAX_LAGGARDS, sequence: int | None = None
    ) -> list[tuple[int, Laggard]]:
        """Up to `limit` sidecars that lack a change, the longest lag first, each with its sequence number.

        `sequence` limits them to sidecars that have not received this change.
        """
        laggards = [
            (held_sequence, laggard)
            for held_sequence, laggard in self.laggards
            if sequence is None or held_sequence < sequence
        ]
        return sorted(laggards, key=lambda pair: -pair[1].since_s)[:limit]


def summarize(tier: str, progress: SidecarProgress, parent_generations: ParentGenerations) -> Summary:
    """The summary for the parent, in generations of the parent."""
    holders: dict[int, int] = {}
    for sequence, count in progress.counts.items():
        generation = parent_generations.at(sequence)
        holders[generation] = holders.get(generation, 0) + count
    laggards = [
        msgspec.structs.replace(laggard, generation=parent_generations.at(sequence))
        for sequence, laggard in progress.longest_lagging(MAX_LAGGARDS)
    ]
    return Summary(tier, _limit_buckets(holders.items()), laggards)


def _limit_buckets(holders: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
    """Reduce (generation, number of sidecars) pairs to `MAX_SUMMARY_BUCKETS`, sorted by generation.

    The pairs with the lowest generations become one, with the lowest generation and the total number.
    """
    ascending: Sequence[tuple[int, int]] = sorted(holders)
    excess = len(ascending) - MAX_SUMMARY_BUCKETS
    if excess <= 0:
        return list(ascending)
    lowest = (ascending[0][0], sum(count for _, count in ascending[: excess + 1]))
    return [lowest, *ascending[excess + 1 :]]


class PropagationMonitor:
    """Reports when all sidecars hold a change, and when some have lacked one for longer than `max_lag_s`."""

    def __init__(self, max_lag_s: float) -> None:
        self._max_lag_s = max_lag_s
        # Changes that some sidecars may lack: sequence number, time.
        self._pending: deque[tuple[int, float]] = deque(maxlen=MAX_CHANGES)
        self._lag_reported_at: float | None = None  # None: no lag since the last progress

    def record(self, sequence: int, now: float) -> None:
        """Record a change."""
        if self._pending and now - self._pending[-1][1] < _COALESCE_S:
            now = self._pending.pop()[1]
        self._pending.append((sequence, now))

    def clear(self) -> None:
        self._pending.clear()
        self._lag_reported_at = None

    @property
    def has_pending(self) -> bool:
        return bool(self._pending)

    def check(self, lowest: int | None, now: float) -> tuple[str, int, float] | None:
        """Compare the pending changes with `lowest`, the lowest sequence number that a sidecar holds.

        Returns `held` if all sidecars have received further changes, or `lagging` if some lack one for too
        long, then the sequence number of the change and the seconds since it. Of several held changes, that
        is the last sequence number and the time since the first. None: there is nothing to report.
        """
        if lowest is None:
            self.clear()
            return None
        first_changed_at = None
        while self._pending and self._pending[0][0] <= lowest:
            sequence, at = self._pending.popleft()
            first_changed_at = at if first_changed_at is None else first_changed_at
        if first_changed_at is not None:
            self._lag_reported_at = None
            return ("held", sequence, now - first_changed_at)
        is_lagging = bool(self._pending) and now - self._pending[0][1] > self._max_lag_s
        if is_lagging and (self._lag_reported_at is None or now - self._lag_reported_at >= LAG_REPEAT_S):
            self._lag_reported_at = now
            return ("lagging", self._pending[0][0], now - self._pending[0][1])
        return None
