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
        return self in (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    effect: Effect
    group: Group
    aim_ms: float  # target response time: an answer within it earns the full worth
    deadline_ms: float
    window_ms: float  # how long the servers deduplicate a keyed request
    worth: float  # points earned by an answer within the target response time
    late_worth: float = 0.0  # share of the worth earned by a later answer, before the deadline
    streaming: bool = False
    in_turn: bool = False  # requests with the same key run one at a time, in order of arrival


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    portion: float  # share of the service that the tenant is entitled to


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    ordinal: int = 0  # position of this instance among all instances, from 0
    instances: int = 1
    most: int = 0  # upper bound on the instances that send to the same servers, if known (see `FleetSize`)
    must_ask: bool = False  # discovery reports changes only to instances that subscribe with `Watch`
    may_cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False  # a second attempt may start while the first is in flight (hedging)
    retry_after: bool = False  # refusals carry a Retry-After hint
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    listed_sizes: bool = True  # sizes in the server list are nominal capacities, not an outdated load
    tick_ms: float = 1.0  # clock resolution: the minimum interval between events
    cold_from: float = 1.0  # a server starts with at least this share of its capacity
    warm_after_ms: float = 0.0  # time from a server's start to its full capacity
    fall_multiple: float = 1.0  # a cold server fails at more than this multiple of its present capacity,
    fall_ms: float = 1000.0  # if the overload lasts this long
    key_quiet_ms: float = 0.0  # how long a key is blocked after a timeout, a reset or a cancellation
    warm_keys: bool = False  # a server does less work for a key that it has served recently
    only_draining_binds: bool = False  # gone or unlisted servers may be sent to, draining ones may not
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


# Events


@dataclass(slots=True, frozen=True)
class Request:
    id: int
    class_index: int  # index in `Settings.classes`
    time_left_ms: float  # until the client's deadline
    tenant_index: int = 0  # index in `Settings.tenants`
    key: int = 0  # identifies the object that the request concerns; 0: none
    cost_ms: float | None = None
    is_retry: bool = False
    is_write: bool = False
    # The body is still arriving and is streamed through; the request's time starts with `Uploaded`.
    uploading: bool = False


@dataclass(slots=True, frozen=True)
class Uploaded:
    """The last byte of a request's body has arrived: response time and deadline count from now."""

    id: int
    time_left_ms: float


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first part of a streamed answer has arrived and is being forwarded; this counts as the answer."""

    id: int
    attempt: int  # index of the attempt within the request, from 0
    address: Address
    elapsed_ms: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """How one attempt ended."""

    id: int
    attempt: int  # index of the attempt within the request, from 0
    address: Address
    result: Result
    elapsed_ms: float
    request_answered: bool  # the client has its final answer
    load: tuple[float, ...] = ()
    can_resend: bool = True  # the whole request is still buffered, so that it can be sent again


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has disconnected and needs no answer any more."""

    id: int


@dataclass(slots=True, frozen=True)
class ServerList:
    endpoints: tuple[Endpoint, ...]
    complete: bool  # True: the whole list; False: only changed entries
    cached: bool = False  # not received from discovery itself, possibly outdated
    revision: int = 0


@dataclass(slots=True, frozen=True)
class DiscoveryFailed:
    """A discovery call failed or the watch connection broke; the current server list stays in force."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    address: Address
    result: Result
    elapsed_ms: float
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another instance, in deployments that allow these. The balancer ignores it."""

    sender: int
    body: bytes


@dataclass(slots=True, frozen=True)
class FleetSize:
    """Number of instances, as they count themselves, and the position of this one among them."""

    count: int
    ordinal: int  # from 0
    # Upper bound on the instances that may send to the same servers, at least `count`; also holds while the
    # count is in doubt.
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
    | ProbeResult
    | PeerMessage
    | FleetSize
)

# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt. `stop_at_ms` is when to abandon it; 0 means at the client's deadline. It must not
    begin at or after `begin_by_ms`, however long its connection took to open."""

    id: int
    address: Address
    stop_at_ms: float = 0.0
    begin_by_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer to the client: not served, and safe to retry."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer to the client: failed; the request may have been executed."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt. Its `Outcome` event still follows."""

    id: int
    attempt: int  # index of the attempt within the request, from 0


@dataclass(slots=True, frozen=True)
class Probe:
    address: Address


@dataclass(slots=True, frozen=True)
class SetTimer:
    wait_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the server list, or unsubscribe."""

    subscribe: bool = True


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
    text: str


Action: TypeAlias = (
    Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | FetchList | CloseIdle | Tell | Log
)
