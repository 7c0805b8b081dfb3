"""The state of the balancer: data types and exponentially decaying counters. balancer.py makes the decisions.

All times are milliseconds on the caller's clock; all rates are sends per millisecond. `HandoverState` and the
objects in it are encoded under their field names for the next process, so these names are fixed.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from larkcrank.core.interface import Effect, Endpoint, RequestClass


@dataclass(slots=True)
class DecayingCounter:
    """A count that decays exponentially; as a rate, corrected for the short history of a new counter."""

    born: float  # start of the history
    at: float = -math.inf  # time of the last event
    count: float = 0.0  # decayed count at that time

    def add(self, now: float, time_constant_ms: float) -> None:
        # The history begins with the first event: clients arrive long after a start, and all at once.
        self.born = now if self.at == -math.inf else self.born
        self.count, self.at = self.decayed(now, time_constant_ms) + 1.0, now

    def decayed(self, now: float, time_constant_ms: float) -> float:
        return self.count * math.exp((self.at - now) / time_constant_ms)

    def rate(self, now: float, time_constant_ms: float) -> float:
        return self.decayed(now, time_constant_ms) / (
            time_constant_ms
            * (1.0 - math.exp(-max(now - self.born, time_constant_ms / 4) / time_constant_ms))
        )


@dataclass(slots=True, eq=False)
class RateLimiter:
    """The adaptive send limit of CARD: cut when sends exceed answers, then raised along a cubic curve."""

    window_at: float  # start of the current window
    sends: DecayingCounter
    settled: DecayingCounter  # sends answered in time or missed, since the limit was last cut
    missed: DecayingCounter  # of these, the sends that failed or became overdue
    share: float  # share of the settled sends that may be missed by chance
    credit: float = 0.0  # sends left in the quota
    limit: float = math.inf  # sends per millisecond; infinite until the first cut
    saturated: float = 0.0  # send rate at which the limit was last cut (M in CARD)
    event_at: float = -math.inf  # when the limit was last cut
    rose_at: float = -math.inf  # when the limit last rose or was cut


@dataclass(slots=True, eq=False)
class Server:
    """A server as this instance knows it from its own traffic."""

    endpoint: Endpoint
    brake: RateLimiter  # its own send limit
    place: float  # position in the ring, from 0 to 1
    passed: float  # part of the next send earned by the turns that came by, in proportion to its size
    owes: list["Attempt"] = field(default_factory=list)  # sent attempts whose answers are outstanding
    fails: int = 0  # failures, halved by each successful answer
    benched_until: float = -math.inf  # receives no requests before this time
    answers: int = -1  # class index of its last answer; -1: none since its last failure
    # By class index: failures of that class alone, and until when the server is avoided for it.
    spared: dict[int, tuple[int, float]] = field(default_factory=dict)
    size: float = 1.0  # capacity relative to the mean of the ring
    wary_until: float = -math.inf  # until this time, used only if no other server has quota
    cold_credit: float = 1.0  # sends left in the quota that applies while the server is cold
    cold_at: float = 0.0  # time of the last refill of this quota
    warmth: float = 0.0  # share of its even load that its answers have shown it to sustain
    ahead: int = 0  # round-robin turns used in advance
    mark: int = 0  # CRC-32 of the address
    listed: bool = True  # False: kept although the server list omits it or reports it as gone

    def refill_cold_credit(self, now: float, rate: float) -> float:
        """Add the credit earned at this rate since the last call, up to one send; return the credit."""
        self.cold_credit = min(self.cold_credit + rate * (now - self.cold_at), 1.0)
        self.cold_at = now
        return self.cold_credit

    def affinity_score(self, key: int, by_size: bool) -> float:
        """Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005); a key prefers high scores."""
        uniform = (hash((self.mark, key)) % 65521 + 1) / 65522
        return math.log(uniform) / (self.size if by_size else 1.0)


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_at: float
    index: int  # class index of its request
    missed: bool = False  # already counted as missed


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has been accepted and not yet answered."""

    id: int
    class_index: int
    request_class: RequestClass
    tenant_index: int
    arrived_at: float
    aim_at: float  # target time for the answer
    give_up_at: float = 0.0  # refused or failed at this time, shortly before the client's deadline
    latest_send_at: float = 0.0  # if sent later than this, its answer would probably miss the target
    priority: tuple[bool, float, float] = (False, 0.0, 0.0)  # in the queue; the lowest goes first
    uploading: bool = False  # its body is still arriving
    ordering_key: int = 0  # requests with the same key run one at a time; 0: no ordering
    affinity_key: int = 0  # servers do less work for a key that they have served recently; 0: no affinity
    waits_for_turn: bool = False  # an earlier request with the same ordering key is not finished
    # After it is closed, later requests of its key wait until then: one of its attempts may still be running.
    key_quiet_until: float = -math.inf
    attempts_sent: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by attempt index
    first_possible_run: Attempt | None = None  # the first attempt that may have been executed
    tried_servers: list[Server] = field(default_factory=list)

    @property
    def latest_repeat_at(self) -> float:
        """Time before which another attempt may begin (rule 2). After an attempt that may have been executed,
        a safe request may be repeated at any time, a keyed one within its deduplication window, and an unsafe
        one never."""
        if self.first_possible_run is None or self.request_class.effect is Effect.SAFE:
            return math.inf
        return (
            -math.inf
            if self.request_class.effect is Effect.UNSAFE
            else self.first_possible_run.sent_at + self.request_class.window_ms
        )


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Requests with the same ordering key, which run one at a time."""

    requests: deque[PendingRequest] = field(default_factory=deque)  # in order of arrival; the first may run
    orphaned_attempts: int = 0  # attempts still in flight whose requests are closed
    quiet_until: float = -math.inf  # no request of the key is sent before this time


@dataclass(slots=True)
class HandoverState:
    """What the next process of this instance needs to continue; attempts in flight stay with this process."""

    usual: list[float]  # usual answer time of each class, in ms
    recent: list[float]  # recent answer time of each class, in ms
    rates: list[DecayingCounter]  # of arrivals, sends and timely answers, then the sends of each tenant
    known: tuple[float, int, float, int]  # mean worth, requests accepted, retry budget, next ring index
    cells: dict[int, RateLimiter]
    servers: list[Server]
