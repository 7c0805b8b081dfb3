"""What is known about the answers of endpoints: which of them repeat, and how long they take.

HTTP/1.1 matches an answer to its request by their order on the connection alone. What an endpoint sends
although no request asked for it (a stray answer) is read as the answer to the next request on that
connection. Its content and its time tell the two apart.
"""

import math
from collections import OrderedDict

import msgspec

MAX_REMEMBERED_ANSWERS = 32  # per connection
MAX_REMEMBERED_DIGESTS = 256  # per request class
# Answers that repeat no more often than this are made for their requests, so a repeated one is a copy.
MIN_DISTINCT_ANSWERS = 8
MAX_REPEATED_SHARE = 0.01
# An answer in less than this share of the shortest time known is held back, for so many usual times at most,
# to see whether another answer follows.
FAST_SHARE = 0.5
HOLD_FACTOR = 4.0
MIN_TIMED_ANSWERS = 16


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
        self._repeated: float = 0

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

    def record_no_copy(self) -> None:
        """Record that an answer taken for a copy was none, so that these answers are not checked any more."""
        self._repeated = math.inf


class AnswerTimes:
    """How long endpoints take to answer requests of one class, in ms."""

    def __init__(self) -> None:
        self._count = 0
        self._mean = 0.0
        self._shortest = math.inf

    def add(self, elapsed_ms: float) -> None:
        self._count += 1
        self._mean += (elapsed_ms - self._mean) / min(self._count, MIN_TIMED_ANSWERS)
        self._shortest = min(self._shortest, elapsed_ms)

    def hold_ms(self, elapsed_ms: float) -> float:
        """Return how long an answer that came after `elapsed_ms` is to be held back; 0 if it is not."""
        is_fast = self._count >= MIN_TIMED_ANSWERS and elapsed_ms < FAST_SHARE * self._shortest
        return HOLD_FACTOR * self._mean if is_fast else 0.0


class AnswerRecords:
    """What the answers of each request class are like."""

    def __init__(self) -> None:
        self._all_answers = AnswerVariety()
        self._varieties: dict[int, AnswerVariety] = {}  # by index of the request class
        self._times: dict[int, AnswerTimes] = {}  # by index of the request class

    @property
    def knows_answers(self) -> bool:
        """Whether enough answers have come to tell a copy from an answer that repeats an earlier one."""
        return self._all_answers.is_known

    def add_answer(self, class_index: int, digest: int, connection_number: int) -> None:
        """Record an answer with a body that was passed on."""
        self._all_answers.add(digest, connection_number)
        self._variety_of(class_index).add(digest, connection_number)

    def record_no_copy(self, class_index: int) -> None:
        """Record that an answer of this class that was taken for a copy was none."""
        self._variety_of(class_index).record_no_copy()

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

    def times_of(self, class_index: int) -> AnswerTimes:
        if class_index not in self._times:
            self._times[class_index] = AnswerTimes()
        return self._times[class_index]

    def _variety_of(self, class_index: int) -> AnswerVariety:
        if class_index not in self._varieties:
            self._varieties[class_index] = AnswerVariety()
        return self._varieties[class_index]
