"""The interface between a transport and the balancer: settings, events and actions.

A transport passes each event with the current time to `Balancer.handle` and carries out the actions that it
returns. All times are milliseconds on one monotonic clock. A server's address is an opaque byte string that
the transport interprets; the balancer only compares it and logs it.
"""

import math
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias

Address: TypeAlias = bytes
HostPort: TypeAlias = tuple[str, int]  # where a server listens; known to the transport only


class Effect(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # idempotent: may be repeated without limit
    KEYED = "keyed"  # a group of servers deduplicates repeats by key, for `RequestClass.window_ms`
    UNSAFE = "unsafe"  # not idempotent: must never be executed twice


class Group(Enum):
    """The servers that share the deduplication of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(IntEnum):
    """The state of a server as discovery reports it."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have been executed
    REJECTED = "rejected"  # rejected before execution
    TIMEOUT = "timeout"  # may have been executed, or still be executing
    CONNECT_FAILED = "connect failed"  # never executed
    RESET = "reset"  # the connection broke; may have been executed
    CANCELLED = "cancelled"  # cancelled by the balancer; may have been executed
    NOT_SENT = "not sent"  # not sent, for a reason that says nothing about the server

    @property
    def never_ran(self) -> bool:
        """Whether the attempt was certainly not executed."""
        return self in (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


# After these results, the server may still be executing the attempt.
_MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A kind of request, with its target response time and its worth."""

    name: str
    effect: Effect
    group: Group
    aim_ms: float  # target response time: an answer within it earns the full worth
    deadline_ms: float  # time from arrival after which the client needs no answer any more
    window_ms: float  # how long the servers deduplicate a keyed request
    worth: float  # points earned by an answer within the target response time
    late_worth: float = 0.0  # share of the worth earned by a later answer, before the deadline
    streaming: bool = False  # whether answers are streamed; the first part then counts as the answer
    # Whether requests with the same key must run one at a time, in order of arrival.
    in_turn: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer whose requests are guaranteed a share of the service."""

    name: str
    portion: float  # share of the service that the tenant is entitled to


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one balancer instance."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0  # zone of this instance
    ordinal: int = 0  # position of this instance among all instances, from 0
    instances: int = 1  # number of balancer instances
    most: int = 0  # upper bound on the instances that send to the same servers, if known (see `FleetSize`)
    must_ask: bool = False  # whether list changes have to be subscribed to with `Watch`
    may_cancel: bool = False  # whether attempts may be cancelled
    may_probe: bool = False  # whether probes may be sent to servers
    second_copies: bool = False  # whether a second attempt may start while the first is in flight (hedging)
    retry_after: bool = False  # whether refusals carry a Retry-After hint
    max_retry_after_ms: float = 0.0  # upper bound on this hint
    max_attempts: int = 1  # maximum number of attempts per request
    # Whether sizes in the server list are nominal capacities; otherwise they are outdated loads, and ignored.
    listed_sizes: bool = True
    tick_ms: float = 1.0  # clock resolution: the minimum interval between events
    cold_from: float = 1.0  # a server starts with at least this share of its capacity
    warm_after_ms: float = 0.0  # time from a server's start to its full capacity
    fall_multiple: float = 1.0  # load above which a cold server fails, as a multiple of its present capacity
    fall_ms: float = 1000.0  # how long the overload must last to make a cold server fail
    key_quiet_ms: float = 0.0  # how long a key is blocked after a timeout, a reset or a cancellation
    warm_keys: bool = False  # whether a server does less work for a key that it has served recently
    # Whether only draining servers are excluded: requests may then go to gone or unlisted servers as well.
    only_draining_binds: bool = False
    nines_part: float = 0.0  # weight of availability, as a number of nines, in the users' objective
    nines_full: float = 3.0  # number of nines that earns this weight in full


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the server list."""

    address: Address
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0  # machine type
    size: float = 1.0  # nominal capacity relative to the other servers; positive; 1 if not listed
    started_at: float = 0.0  # 0: unknown or long ago


@dataclass(slots=True, frozen=True)
class WithheldServer:
    """A ready server to which nothing is sent, since another one owns its host and port, or may own it."""

    address: Address
    host_port: HostPort
    other: Address | None  # the latest server there; None if it has left the list


@dataclass(slots=True, frozen=True)
class ResolvedList:
    """A server list, or changes to it, in which each host and port has one owner at most."""

    endpoints: tuple[Endpoint, ...]  # as listed, without those withheld, and with those no longer withheld
    host_ports: dict[Address, HostPort]
    withheld: frozenset[Address]  # all ready servers to which nothing may be sent
    newly_withheld: tuple[WithheldServer, ...]  # those of them that were not withheld before


# Events


@dataclass(slots=True, frozen=True)
class Request:
    """A request has arrived from a client."""

    id: int
    class_index: int  # index in `Settings.classes`
    time_left_ms: float  # until the client's deadline
    tenant_index: int = 0  # index in `Settings.tenants`
    key: int = 0  # identifies the object that the request concerns; 0: none
    cost_ms: float | None = None  # processing time that the request needs; None: unknown
    is_retry: bool = False  # whether it is a retry by the client
    is_write: bool = False  # whether it is a write
    # Whether the body is still arriving. If so, it is forwarded as it arrives, and the response time and the
    # deadline count from the `Uploaded` event.
    uploading: bool = False


@dataclass(slots=True, frozen=True)
class Uploaded:
    """The last byte of a request's body has arrived: the response time and the deadline count from now."""

    id: int
    time_left_ms: float  # until the client's deadline


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first part of a streamed answer has arrived and is being forwarded; this counts as the answer."""

    id: int
    attempt: int  # index of the attempt within the request, from 0
    address: Address
    elapsed_ms: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """One attempt has ended."""

    id: int
    attempt: int  # index of the attempt within the request, from 0
    address: Address
    result: Result
    elapsed_ms: float
    request_answered: bool  # whether the client has received its final answer
    load: tuple[float, ...] = ()  # load figures reported by the server
    can_resend: bool = True  # whether the whole request is still buffered, as another attempt requires
    # Whether the response may belong to an earlier request on the same connection, so that it proves nothing.
    is_unproven: bool = False

    @property
    def never_ran(self) -> bool:
        """Whether the attempt was certainly not executed."""
        return self.result.never_ran and not self.is_unproven

    @property
    def may_still_run(self) -> bool:
        """Whether the attempt may be executed after its end."""
        return self.is_unproven or self.result in _MAY_STILL_RUN


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has disconnected and needs no answer any more."""

    id: int


@dataclass(slots=True, frozen=True)
class ServerList:
    """The server list, or changes to it, has arrived."""

    endpoints: tuple[Endpoint, ...]
    complete: bool  # True: the whole list; False: only changed entries
    cached: bool = False  # True: not received from discovery itself, possibly outdated
    revision: int = 0  # version number of the list
    # Servers that are forgotten, whatever else is known of them, since another one listens where they did.
    withheld: frozenset[Address] = frozenset()


@dataclass(slots=True, frozen=True)
class DiscoveryFailed:
    """A discovery call failed or the watch connection broke; the known server list remains valid."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time set by a `SetTimer` action has passed."""

    token: int  # the token of that action


@dataclass(slots=True, frozen=True)
class StallEnded:
    """The process got no processor time for a while. What arrived meanwhile may not have been handled yet."""


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """A probe of a server has ended."""

    address: Address
    result: Result
    elapsed_ms: float
    load: tuple[float, ...] = ()  # load figures reported by the server


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another instance, where the deployment allows such messages. The balancer ignores it."""

    sender: int
    body: bytes


@dataclass(slots=True, frozen=True)
class FleetSize:
    """The number of balancer instances, counted by themselves, or the position of this one has changed."""

    count: int
    ordinal: int  # from 0
    # Upper bound on the number of instances that may send to the same servers; at least `count`. It is valid
    # even while the instances are uncertain about `count`.
    max_instances: int


Event: TypeAlias = (
    Request
    | Uploaded
    | StreamStarted
    | Outcome
    | ClientGone
    | ServerList
    | DiscoveryFailed
    | TimerFired
    | StallEnded
    | ProbeResult
    | PeerMessage
    | FleetSize
)

# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt.

    The transport abandons it at `stop_at_ms`, or at the client's deadline if that is 0. It must send the
    request before `begin_by_ms` or not at all, even if opening the connection takes long.
    """

    id: int
    address: Address
    stop_at_ms: float = 0.0
    begin_by_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the request; the client may retry it without harm."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Report to the client that the request failed; it may have been executed."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt. Its `Outcome` event still follows."""

    id: int
    attempt: int  # index of the attempt within the request, from 0


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health probe to a server."""

    address: Address


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerFired` event with this token after `wait_ms`."""

    wait_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the server list, or unsubscribe."""

    subscribe: bool = True  # False: unsubscribe


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the whole server list once."""


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a server."""

    address: Address


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a message to one other instance, or to all of them."""

    recipient: int | None  # None: all other instances
    body: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


Action: TypeAlias = (
    Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | FetchList | CloseIdle | Tell | Log
)
