"""The data types of the balancer's state. The decisions are made in balancer.py.

All times are milliseconds on the caller's clock; all rates are sends per millisecond. `HandoverState` and the
objects in it are encoded under their field names for the next process of the same instance, so the field
names must not change.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from larkcrank.core.interface import Effect, Endpoint, RequestClass


@dataclass(slots=True)
class DecayingCounter:
    """A count of events that decays exponentially, from which their rate is estimated."""

    born: float  # time of the first event; before that, the time when the counter was created
    at: float = -math.inf  # time of the last event
    count: float = 0.0  # decayed count at the time of the last event

    def add(self, now: float, time_constant_ms: float) -> None:
        """Count one event at time `now`."""
        # The rate is estimated from the first event on, because the first clients may arrive long after the
        # counter was created, and then all at once.
        self.born = now if self.at == -math.inf else self.born
        self.count, self.at = self.decayed(now, time_constant_ms) + 1.0, now

    def decayed(self, now: float, time_constant_ms: float) -> float:
        """The count as it has decayed until `now`."""
        return self.count * math.exp((self.at - now) / time_constant_ms)

    def rate(self, now: float, time_constant_ms: float) -> float:
        """Events per millisecond. The divisor corrects for a counter younger than the time constant."""
        return self.decayed(now, time_constant_ms) / (
            time_constant_ms
            * (1.0 - math.exp(-max(now - self.born, time_constant_ms / 4) / time_constant_ms))
        )


@dataclass(slots=True, eq=False)
class RateLimiter:
    """The adaptive send limit of a server or a cell, after CARD (an algorithm for client-side rate limiting).

    The limit is cut when too many sends fail or are answered late. Then it rises along a cubic curve.
    """

    window_at: float  # start of the current window; the quota is refilled once per window
    sends: DecayingCounter  # all sends
    settled: DecayingCounter  # sends since the last cut that were answered in time or missed
    missed: DecayingCounter  # sends since the last cut that failed or became overdue
    share: float  # share of the settled sends that may be missed without a cut
    credit: float = 0.0  # number of sends that the quota still allows
    limit: float = math.inf  # sends per millisecond; infinite until the first cut
    saturated: float = 0.0  # send rate at which the limit was last cut (M in CARD)
    event_at: float = -math.inf  # when the limit was last cut
    rose_at: float = -math.inf  # when the limit last rose or was cut


@dataclass(slots=True, eq=False)
class Server:
    """A server as this instance knows it from its own traffic."""

    endpoint: Endpoint
    brake: RateLimiter  # send limit of this server alone
    place: float  # position in the ring, from 0 to 1
    # Each round-robin turn adds the server's size relative to the largest; at 1 it may receive a request.
    passed: float
    owes: list["Attempt"] = field(default_factory=list)  # attempts sent to it and not yet answered
    fails: int = 0  # number of failures; each successful answer halves it
    benched_until: float = -math.inf  # receives no requests before this time
    answers: int = -1  # class index of its last answer; -1: no answer since its last miss or failure
    # By class index, for classes that fail at this server while others succeed: the number of failures, and
    # the time until which the server is avoided for the class.
    spared: dict[int, tuple[int, float]] = field(default_factory=dict)
    size: float = 1.0  # capacity relative to the mean of the ring
    wary_until: float = -math.inf  # before this time, it is used only if no other server has quota
    # A server is cold, and has an additional quota, for `Settings.warm_after_ms` after its start.
    cold_credit: float = 1.0  # number of sends that this additional quota still allows
    cold_at: float = 0.0  # time when the additional quota was last refilled
    # Load that a cold server has proved to sustain, as a share of the load it would get if the requests were
    # divided evenly among the servers. Rises with each success and halves with each miss.
    warmth: float = 0.0
    ahead: int = 0  # round-robin turns used in advance, for requests whose key prefers this server
    mark: int = 0  # CRC-32 of the address; orders the servers identically at every instance
    listed: bool = True  # False: the server list omits it or reports it as gone, but it is kept

    def refill_cold_credit(self, now: float, rate: float) -> float:
        """Refill the quota of a cold server at `rate` sends per millisecond, up to one send; return it."""
        self.cold_credit = min(self.cold_credit + rate * (now - self.cold_at), 1.0)
        self.cold_at = now
        return self.cold_credit

    def affinity_score(self, key: int, by_size: bool) -> float:
        """Score of this server for an affinity key; the key prefers the servers with the highest scores.

        This is weighted rendezvous hashing (Schindelhauer and Schomaker, 2005). If `by_size` is
        true, more keys prefer a larger server.
        """
        uniform = (hash((self.mark, key)) % 65521 + 1) / 65522
        return math.log(uniform) / (self.size if by_size else 1.0)


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a server."""

    server: Server
    sent_at: float
    index: int  # class index of its request
    missed: bool = False  # True: counted as failed or overdue; not to be counted again


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
    # Order in the queue, lowest first: whether the tenant exceeds its share, the negated worth of the class,
    # and `latest_send_at`.
    priority: tuple[bool, float, float] = (False, 0.0, 0.0)
    uploading: bool = False  # whether its body is still arriving
    ordering_key: int = 0  # requests with the same key run one at a time; 0: no ordering
    affinity_key: int = 0  # sent preferably to the servers that serve this key; 0: no preference
    waits_for_turn: bool = False  # whether an earlier request with the same ordering key is unfinished
    # Later requests with the same ordering key are not sent before this time, because a server may still be
    # executing an attempt of this request.
    key_quiet_until: float = -math.inf
    attempts_sent: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by attempt index
    first_possible_run: Attempt | None = None  # the first attempt that may have been executed
    tried_servers: list[Server] = field(default_factory=list)

    @property
    def latest_repeat_at(self) -> float:
        """Time before which another attempt must begin, so that the request has no effect twice.

        Once an attempt may have been executed, a safe request may be repeated at any time, a keyed one within
        its deduplication window, and an unsafe one never.
        """
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
    """What one process of an instance passes to the next. Attempts in flight stay with the old process."""

    usual: list[float]  # usual answer time of each class, in ms
    recent: list[float]  # recent answer time of each class, in ms
    rates: list[DecayingCounter]  # arrivals, sends, timely answers, then the sends of each tenant
    known: tuple[float, int, float, int]  # mean worth, requests accepted, retry budget, next ring index
    cells: dict[int, RateLimiter]  # send limits by cell
    servers: list[Server]
