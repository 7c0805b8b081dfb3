"""What the balancer remembers: types, and the arithmetic of fading counts. All decisions are in balancer.py.

All times are milliseconds on the caller's clock, all rates sends a millisecond.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from larkcrank.core.interface import Effect, Endpoint, RequestClass


@dataclass(slots=True)
class Meter:
    """A count that fades with a time constant; as a rate, corrected for its youth."""

    born: float
    at: float = -math.inf
    count: float = 0.0

    def add(self, now: float, span: float) -> None:
        # Young from its first count on: clients come long after a start, and all at once.
        self.born = now if self.at == -math.inf else self.born
        self.count, self.at = self.faded(now, span) + 1.0, now

    def faded(self, now: float, span: float) -> float:
        return self.count * math.exp((self.at - now) / span)

    def rate(self, now: float, span: float) -> float:
        return self.faded(now, span) / (span * (1.0 - math.exp(-max(now - self.born, span / 4) / span)))


@dataclass(slots=True, eq=False)
class Brake:
    """CARD's limit on sends: cut when they outrun answers, regrown along a cubic."""

    window_at: float  # the window under way began
    sends: Meter
    settled: Meter  # sends that were answered in time or missed, since the last event
    missed: Meter  # of these: failed, or overdue
    share: float  # of the sends settled that may be missed by chance
    credit: float = 0.0  # sends left of the quota
    limit: float = math.inf  # sends a millisecond; infinite: no event yet, nothing binds
    saturated: float = 0.0  # M
    event_at: float = -math.inf
    rose_at: float = -math.inf


@dataclass(slots=True, eq=False)
class Server:
    """A server as this instance knows it by its own traffic."""

    endpoint: Endpoint
    brake: Brake
    place: float  # in the ring, from 0 to 1
    passed: float  # times the turn came by, as its size counts them
    owes: list["Attempt"] = field(default_factory=list)  # attempts out that may still be answered
    fails: int = 0  # failures, halved by each answer
    benched_until: float = -math.inf  # no turns
    answers: int = -1  # class of its last answer; below 0: none since its last failure
    spared: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # failures of one class, wary of it until
    size: float = 1.0  # as listed, 1: the mean
    wary_until: float = -math.inf  # turns only where no other server has quota
    cold_credit: float = 1.0  # sends left of what it surely can do while it is cold ...
    cold_at: float = 0.0  # ... counted up to here
    warmth: float = 0.0  # the part of its even share that its answers show it to bear
    ahead: int = 0  # turns taken before they came
    mark: int = 0  # a checksum of its address
    listed: bool = True  # or kept though the list leaves it out or calls it gone

    def earn(self, now: float, rate: float) -> float:
        """Sends left of its cold quota, at most one, after it has grown at this rate up to now."""
        self.cold_credit = min(self.cold_credit + rate * (now - self.cold_at), 1.0)
        self.cold_at = now
        return self.cold_credit

    def draw(self, subject: int, by_size: bool) -> float:
        """Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): the largest are a key's homes."""
        share = (hash((self.mark, subject)) % 65521 + 1) / 65522
        return math.log(share) / (self.size if by_size else 1.0)


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_at: float
    index: int  # of its class
    missed: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A request taken and not yet answered."""

    id: int
    index: int  # of its class
    cls: RequestClass
    tenant: int
    came_at: float
    aim_at: float
    ends_at: float = 0.0  # the backstop
    last_call: float = 0.0  # held longer than this, its answer would miss the aim
    rank: tuple[bool, float, float] = (False, 0.0, 0.0)  # in the held queue
    uploading: bool = False  # its body still comes
    key: int = 0  # of a class that takes turns by key; 0: free
    subject: int = 0  # its key, where servers do less work for those that they met lately
    waits: bool = False  # for its turn
    rests_until: float = -math.inf  # those behind it wait so long for what it may have left running
    sends: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    ran: Attempt | None = None  # the first attempt that may have run
    tried: list[Server] = field(default_factory=list)

    @property
    def repeat_by(self) -> float:
        """Before when another attempt may begin (rule 2): what may have run is repeated only where that is
        harmless, a keyed one within its window."""
        if self.ran is None or self.cls.effect is Effect.SAFE:
            return math.inf
        return -math.inf if self.cls.effect is Effect.UNSAFE else self.ran.sent_at + self.cls.window_ms


@dataclass(slots=True, eq=False)
class Line:
    """Requests of one key that run one at a time."""

    jobs: deque[Job] = field(default_factory=deque)  # open ones, as they came; the first has its turn
    strays: int = 0  # attempts without an outcome whose requests are over
    rests_until: float = -math.inf


@dataclass(slots=True)
class Learnt:
    """What the next process of this instance needs to go on from here; owed attempts stay with this one."""

    usual: list[float]
    recent: list[float]
    rates: list[Meter]  # of arrivals, sends, answers in time, then the tenants'
    known: tuple[float, int, float, int]  # mean worth, requests taken, repeats saved, the turn
    cells: dict[int, Brake]
    servers: list[Server]
