"""What is known about the answers of endpoints: which of them repeat, and how long they take.

HTTP/1.1 matches an answer to its request by their order on the connection alone. What an endpoint sends
although no request asked for it (a stray answer) is read as the answer to the next request on that
connection. Its content and its time tell the two apart.
"""

import math
from collections import OrderedDict

import msgspec

from larkcrank.core.interface import Address

MAX_REMEMBERED_ANSWERS = 32  # per connection
MAX_REMEMBERED_DIGESTS = 256  # per request class
# Answers that repeat no more often than this are made for their requests, so a repeated one is a copy.
MIN_DISTINCT_ANSWERS = 8
MAX_REPEATED_SHARE = 0.01
# An answer in less than this share of the shortest proven time of its class or endpoint is held back, for so
# many usual times at most, to see whether another answer follows.
FAST_SHARE = 0.5
HOLD_FACTOR = 4.0
MIN_TIMED_ANSWERS = 16
MIN_ENDPOINT_TIMES = 8
SHORTEST_TIME_SPAN = 256  # a shortest time is forgotten after one to two times so many answers
# An answer is proven if its connection then rests for so many usual times and nothing more comes.
PROOF_FACTOR = 2.0
MIN_PROOF_MS = 100.0
MAX_PROOF_MS = 5000.0
MAX_UNPROVEN_TIMES = 32  # per connection


class CarriedAnswer(msgspec.Struct, frozen=True):
    """An answer that a connection has carried."""

    arrived_at: float  # in ms
    class_index: int
    target: bytes  # of its request


class AnswerHistory:
    """The answers that one connection has carried, by digest."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: OrderedDict[int, CarriedAnswer] = OrderedDict()

    def add(self, digest: int, answer: CarriedAnswer) -> None:
        self._answers[digest] = answer
        if len(self._answers) > MAX_REMEMBERED_ANSWERS:
            self._answers.popitem(last=False)

    def find(self, digest: int) -> CarriedAnswer | None:
        """Return the earlier answer with the same content, or None."""
        return self._answers.get(digest)


class AnswerVariety:
    """Whether the answers to a set of requests differ from request to request."""

    def __init__(self) -> None:
        self._connections: OrderedDict[int, int] = OrderedDict()  # digest: connection that carried it first
        self._distinct = 0
        self._repeated = 0

    @property
    def is_known(self) -> bool:
        """Whether enough answers have come to tell."""
        return self._distinct >= MIN_DISTINCT_ANSWERS or self._repeated > 0

    @property
    def repeats(self) -> bool:
        """Whether different requests get equal answers more than rarely."""
        return self._repeated > MAX_REPEATED_SHARE * self._distinct

    def add(self, digest: int, connection_number: int) -> None:
        """Count an answer. A repetition on the same connection may be a copy, so it is not counted."""
        first_connection = self._connections.get(digest)
        if first_connection is None:
            self._distinct += 1
            self._connections[digest] = connection_number
            if len(self._connections) > MAX_REMEMBERED_DIGESTS:
                self._connections.popitem(last=False)
        elif first_connection != connection_number:
            self._repeated += 1

    def record_repetition(self) -> None:
        """Record that an answer that could have been a copy was made for its request."""
        self._repeated += 1


class UnprovenTime(msgspec.Struct, frozen=True):
    """How long an answer took that may have been a stray one."""

    class_index: int
    elapsed_ms: float


class ShortestTime:
    """The shortest of the last times, in ms."""

    def __init__(self) -> None:
        self.count = 0
        self._before = math.inf  # of the span before
        self._current = math.inf

    @property
    def value(self) -> float:
        """Infinite if there is none."""
        return min(self._before, self._current)

    def add(self, elapsed_ms: float) -> None:
        if self.count and self.count % SHORTEST_TIME_SPAN == 0:
            self._before, self._current = self._current, math.inf
        self.count += 1
        self._current = min(self._current, elapsed_ms)


class ClassTimes:
    """How long endpoints take to answer requests of one class, in ms."""

    def __init__(self) -> None:
        self.shortest = ShortestTime()
        self.usual_ms = 0.0
        self._count = 0

    def add_first(self, elapsed_ms: float) -> None:
        """Add the time of a connection's first answer, which is proven and takes longer than others."""
        self._count += 1
        self.usual_ms += (elapsed_ms - self.usual_ms) / min(self._count, MIN_TIMED_ANSWERS)

    def add_proven(self, elapsed_ms: float) -> None:
        self.add_first(elapsed_ms)
        self.shortest.add(elapsed_ms)


class AnswerRecords:
    """What the answers of each request class and each endpoint are like.

    Times are learnt from proven answers only: a stray answer that was taken for a true one would otherwise
    pass for the shortest, and no other one would be too soon any more.
    """

    def __init__(self) -> None:
        self._all_answers = AnswerVariety()
        self._varieties: dict[int, AnswerVariety] = {}  # by index of the request class
        self._all_times = ShortestTime()
        self._class_times: dict[int, ClassTimes] = {}  # by index of the request class
        self._endpoint_times: dict[Address, ShortestTime] = {}

    @property
    def knows_answers(self) -> bool:
        """Whether enough answers have come to tell a copy from an answer that repeats an earlier one."""
        return self._all_answers.is_known

    def add_answer(self, class_index: int, digest: int, connection_number: int) -> None:
        """Record an answer with a body that was passed on."""
        self._all_answers.add(digest, connection_number)
        self._variety_of(class_index).add(digest, connection_number)

    def record_repetition(self, class_index: int) -> None:
        """Record that an answer equal to an earlier one of this class was made for its request."""
        self._all_answers.record_repetition()
        self._variety_of(class_index).record_repetition()

    def is_copy(self, earlier: CarriedAnswer, target: bytes) -> bool:
        """Return whether an answer equal to an `earlier` one on its connection is a copy of that.

        As long as too few answers are known, equal answers to equal targets are no copies.
        """
        variety = self._variety_of(earlier.class_index)
        if variety.is_known:
            return not variety.repeats
        if self._all_answers.is_known:
            return not self._all_answers.repeats
        return earlier.target != target

    @property
    def knows_times(self) -> bool:
        """Whether enough answers are proven to tell stray ones by their time."""
        return self._all_times.count >= MIN_TIMED_ANSWERS

    def add_first_time(self, class_index: int, elapsed_ms: float) -> None:
        """Add the time of a connection's first answer."""
        self._times_of(class_index).add_first(elapsed_ms)

    def add_proven_time(self, address: Address, time: UnprovenTime) -> None:
        """Add a time that turned out to be that of the answer to its request."""
        self._all_times.add(time.elapsed_ms)
        self._times_of(time.class_index).add_proven(time.elapsed_ms)
        if address not in self._endpoint_times:
            self._endpoint_times[address] = ShortestTime()
        self._endpoint_times[address].add(time.elapsed_ms)

    def forget(self, address: Address) -> None:
        """Forget an endpoint that is not used any more, or whose process has been replaced."""
        self._endpoint_times.pop(address, None)

    def hold_ms(self, address: Address, class_index: int, elapsed_ms: float) -> float:
        """Return how long an answer that came after `elapsed_ms` is to be held back; 0 if it is not."""
        if not self.knows_times:
            return 0.0
        class_times, endpoint_times = self._times_of(class_index), self._endpoint_times.get(address)
        is_class_known = class_times.shortest.count >= MIN_TIMED_ANSWERS
        shortest_ms = (class_times.shortest if is_class_known else self._all_times).value
        if endpoint_times is not None and endpoint_times.count >= MIN_ENDPOINT_TIMES:
            shortest_ms = max(shortest_ms, endpoint_times.value)
        return HOLD_FACTOR * class_times.usual_ms if elapsed_ms < FAST_SHARE * shortest_ms else 0.0

    def proof_ms(self, class_index: int) -> float:
        """Return how long a connection must rest after an answer of a class until that is proven."""
        return min(max(PROOF_FACTOR * self._times_of(class_index).usual_ms, MIN_PROOF_MS), MAX_PROOF_MS)

    def _times_of(self, class_index: int) -> ClassTimes:
        if class_index not in self._class_times:
            self._class_times[class_index] = ClassTimes()
        return self._class_times[class_index]

    def _variety_of(self, class_index: int) -> AnswerVariety:
        if class_index not in self._varieties:
            self._varieties[class_index] = AnswerVariety()
        return self._varieties[class_index]
