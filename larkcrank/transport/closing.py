"""Why connections to endpoints are closed, for the counters."""

from enum import Enum


class CloseReason(Enum):
    """Why a connection to an endpoint was closed. The values are names of counters.

    From `ANSWERED` on they are the results of the attempt that held it; see `core.interface.Result`.
    """

    UNSPECIFIED = "unspecified"
    IDLE_TIME = "idle time"  # its time limit without a request passed
    EVICTED = "evicted"  # another connection needed its descriptor
    CLOSED_BY_PEER = "closed by peer"
    STRAY_ANSWER = "stray answer"  # it carried data that no request had asked for
    SERVER_LEFT = "server left"  # the server drains, is gone, moved, or failed on another connection
    SHUTDOWN = "shutdown"
    NOT_KEPT = "not kept"  # its last response does not allow another request on it
    ANSWERED = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
