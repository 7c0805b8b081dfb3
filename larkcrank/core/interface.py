"""Everything that passes between a transport and the balancer: settings, events and actions.

A transport feeds events to `Balancer.handle` with the time and carries out the actions it returns.
All times are milliseconds on one clock that never runs backwards. A server's address is an opaque
byte string that the transport understands; the balancer only compares it.
"""

import math
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias

Address: TypeAlias = bytes


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # may be repeated at will
    KEYED = "keyed"  # a repeat is dropped inside a group of servers, for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The servers that drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(IntEnum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # may have run, or be running
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off by the balancer; may have run
    NOT_SENT = "not sent"  # never left; says nothing of the server

    @property
    def never_ran(self) -> bool:
        return self in (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    effect: Effect
    group: Group
    aim_ms: float  # an answer within this earns its worth
    deadline_ms: float
    window_ms: float  # how long a keyed repeat is dropped
    worth: float
    late_worth: float = 0.0  # share of the worth that a late answer still earns
    streaming: bool = False
    in_turn: bool = False  # requests of one key run one at a time, in the order in which they came


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    portion: float  # its share of the service


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    ordinal: int = 0
    instances: int = 1
    most: int = 0  # instances that may send to the same servers, where they count themselves (`FleetSize`)
    must_ask: bool = False  # discovery tells changes only to those who asked
    may_cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    listed_sizes: bool = True  # sizes in the list are nominal ones, not a load of some time ago
    tick_ms: float = 1.0  # events come no oftener than this
    cold_from: float = 1.0  # a server starts at this share of its capacity or more
    warm_after_ms: float = 0.0
    fall_multiple: float = 1.0  # more than this multiple of its present capacity ...
    fall_ms: float = 1000.0  # ... for this long and a cold server falls over
    key_quiet_ms: float = 0.0  # how long a key rests after a time-out, a reset or a cancel
    warm_keys: bool = False  # a server that met a key lately does less work for it
    only_draining_binds: bool = False  # one that is gone or left out may be sent to, unless it drained
    nines_part: float = 0.0  # weight of the nines in what users judge by ...
    nines_full: float = 3.0  # ... and so many earn it in full


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A line of the server list."""

    address: Address
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0  # nominal, against the others'; above 0; 1 where the list tells none
    started_at: float = 0.0  # 0: long ago


# Events


@dataclass(slots=True, frozen=True)
class Request:
    id: int
    cls: int
    time_left_ms: float
    tenant: int = 0
    key: int = 0  # its subject; 0: none
    cost_ms: float | None = None
    is_retry: bool = False
    is_write: bool = False
    uploading: bool = False  # its body still comes, and passes through: its time runs from `Uploaded` on


@dataclass(slots=True, frozen=True)
class Uploaded:
    """The last byte of a request's body has come: its time, and what its server owes, begin now."""

    id: int
    time_left_ms: float


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A long answer's first part has come and goes on to the client: the attempt has answered the request."""

    id: int
    attempt: int
    address: Address
    elapsed_ms: float


@dataclass(slots=True, frozen=True)
class Outcome:
    id: int
    attempt: int
    address: Address
    result: Result
    elapsed_ms: float
    closed: bool  # the request has its final answer
    load: tuple[float, ...] = ()
    again: bool = True  # the request is still held whole, and could be sent once more


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client no longer waits; nothing more is owed."""

    id: int


@dataclass(slots=True, frozen=True)
class ServerList:
    endpoints: tuple[Endpoint, ...]
    complete: bool  # whole list, or changed lines only
    cached: bool = False  # the list held before a restart, perhaps old
    revision: int = 0


@dataclass(slots=True, frozen=True)
class DiscoveryFailed:
    """A call to discovery failed or the watch broke; the list held stands."""


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
    """From another instance, where a deployment lets them talk. The balancer does not use it."""

    sender: int
    body: bytes


@dataclass(slots=True, frozen=True)
class FleetSize:
    """How many instances there are, as they count themselves, and which place is this one's, from 0."""

    count: int
    ordinal: int
    most: int  # as many as may send to the same servers, also where the view is in doubt; at least the count


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
    """Start an attempt. `stop_at_ms` 0 means when the client gives up. From `begin_by_ms` on it may not
    begin any more, however long its connection took to come up."""

    id: int
    address: Address
    stop_at_ms: float = 0.0
    begin_by_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: a retry will do no harm."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: nothing is promised."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt. Its outcome still comes."""

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    address: Address


@dataclass(slots=True, frozen=True)
class SetTimer:
    wait_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the server list."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole server list once."""


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connections to a server on which nothing is under way."""

    address: Address


@dataclass(slots=True, frozen=True)
class Tell:
    """A message to one other instance, or to all of them (None)."""

    to: int | None
    body: bytes


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action: TypeAlias = (
    Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | FetchList | CloseIdle | Tell | Log
)
