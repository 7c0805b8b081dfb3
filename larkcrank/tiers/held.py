"""Tracks which generation each sidecar holds and sums this up from tier to tier. No I/O; times in seconds.

A call with `after` acknowledges that generation. Each tier counts its sidecars by its own sequence numbers
and sends its parent a summary in the parent's generations: a sidecar that holds everything of this tier up to
the sequence number at which a parent generation was merged holds that parent generation.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Annotated

import msgspec

MAX_SUMMARY_BUCKETS = 16  # lower generations are counted with the lowest bucket
MAX_LAGGARDS = 20
MAX_CHILD_SUMMARIES = 256
MAX_CHANGES = 512  # changes whose times or generations are remembered
FORGET_CHILD_S = 3600.0  # a child tier without a summary for this long is no longer reported as silent
_COALESCE_S = 0.25  # changes closer together than this count as one
LAG_REPEAT_S = 30.0  # between two log events about the same lag

Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(max_length=128)]


class Laggard(msgspec.Struct, array_like=True, frozen=True):
    """A sidecar that lacks a change. The field names appear in log events and operators' answers."""

    tier: Name
    door: Name  # the listener that the sidecar is connected to
    peer: Name  # the sidecar's address
    generation: Count  # that it holds; 0: unknown
    since_s: float  # how long it has lacked a change


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """How many sidecars below one tier hold which generation of its parent."""

    tier: Name
    # Pairs of a generation and the number of sidecars that hold it and no later one.
    holders: Annotated[list[tuple[Count, Count]], msgspec.Meta(max_length=MAX_SUMMARY_BUCKETS)]
    laggards: Annotated[list[Laggard], msgspec.Meta(max_length=MAX_LAGGARDS)]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Summary)


def encode(summary: Summary) -> bytes:
    return _encoder.encode(summary)


def decode(text: bytes) -> Summary | None:
    """None if the text is not a valid summary."""
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class ParentGenerations:
    """Which generation of the parent had been merged at which sequence number of this tier."""

    def __init__(self) -> None:
        self._merged: deque[tuple[int, int]] = deque(maxlen=MAX_CHANGES)  # sequence number, generation

    def record(self, sequence: int, generation: int) -> None:
        if self._merged and self._merged[-1][0] >= sequence:
            self._merged.pop()  # a holder of this sequence number also holds the later generation
        self._merged.append((sequence, generation))

    def clear(self) -> None:
        self._merged.clear()

    def at(self, sequence: int) -> int:
        """The parent generation that a holder of `sequence` holds; 0: none is remembered."""
        for merged_at, generation in reversed(self._merged):
            if merged_at <= sequence:
                return generation
        return 0


class ChangeTimes:
    """When the latest changes came, from which follows how long a sidecar has lacked one."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, float]] = deque(maxlen=MAX_CHANGES)  # sequence number, time

    def record(self, sequence: int, now: float) -> None:
        if self._changes and now - self._changes[-1][1] < _COALESCE_S:
            sequence, now = sequence, self._changes.pop()[1]
        self._changes.append((sequence, now))

    def clear(self) -> None:
        self._changes.clear()

    def first_after(self, sequence: int) -> float | None:
        """The time of the first change after `sequence`; None: there is none."""
        found = None
        for changed_seq, at in reversed(self._changes):
            if changed_seq <= sequence:
                break
            found = at
        return found


class ChildSummaries:
    """The latest summary of each child tier, valid for `valid_s`."""

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        self._received: dict[str, tuple[Summary, float]] = {}  # by tier, with the time; the oldest first

    def add(self, summary: Summary, now: float) -> None:
        self._received.pop(summary.tier, None)
        if len(self._received) >= MAX_CHILD_SUMMARIES:
            del self._received[next(iter(self._received))]
        self._received[summary.tier] = (summary, now)

    def valid(self, now: float) -> list[Summary]:
        return [summary for summary, at in self._received.values() if now - at <= self._valid_s]

    def silent(self, now: float) -> dict[str, float]:
        """Child tiers whose summary has expired within the last hour, with the seconds since it came."""
        for tier in [tier for tier, (_, at) in self._received.items() if now - at > FORGET_CHILD_S]:
            del self._received[tier]
        return {tier: now - at for tier, (_, at) in self._received.items() if now - at > self._valid_s}


class SidecarProgress:
    """How far all sidecars below one tier have come, in this tier's sequence numbers."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # sidecars by the sequence number that they hold; -1: unknown
        self.laggards: list[tuple[int, Laggard]] = []  # with the sequence number that they hold

    def add(self, sequence: int, count: int = 1) -> None:
        self.counts[sequence] = self.counts.get(sequence, 0) + count

    @property
    def total(self) -> int:
        return sum(self.counts.values())

    @property
    def lowest(self) -> int | None:
        """The sequence number that all sidecars hold; None: there are no sidecars."""
        return min((sequence for sequence, count in self.counts.items() if count), default=None)

    def holding(self, sequence: int) -> int:
        """The number of sidecars that hold `sequence`."""
        return sum(count for held, count in self.counts.items() if held >= sequence)

    def longest_lagging(
        self, limit: int = MAX_LAGGARDS, sequence: int | None = None
    ) -> list[tuple[int, Laggard]]:
        """The sidecars that have lacked a change for longest; with `sequence` only those that lack it."""
        laggards = [(held, laggard) for held, laggard in self.laggards if sequence is None or held < sequence]
        return sorted(laggards, key=lambda pair: -pair[1].since_s)[:limit]


def summarize(tier: str, progress: SidecarProgress, parent_generations: ParentGenerations) -> Summary:
    """The summary for the parent, in the parent's generations."""
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
    """The highest buckets, and one for all lower ones, with the lowest of their generations."""
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
        # Changes that not all sidecars hold yet: sequence number and time.
        self._pending: deque[tuple[int, float]] = deque(maxlen=MAX_CHANGES)
        self._lag_reported_at: float | None = None

    def record(self, sequence: int, now: float) -> None:
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
        """Compare the pending changes with the `lowest` sequence number that any sidecar holds.

        Returns `held` or `lagging`, the sequence number, and the seconds since the change; None: nothing new.
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
