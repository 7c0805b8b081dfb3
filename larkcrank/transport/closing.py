"""Why connections are closed, reading is paused and answers are cut, for the counters."""

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


class ClientCloseReason(Enum):
    """Why a client's connection was closed. The values are names of counters."""

    CLOSED_BY_PEER = "closed by peer"
    IDLE_TIME = "idle time"
    SILENT = "request not whole in time"
    EVICTED = "evicted"  # another connection needed its descriptor
    MEMORY = "memory"  # it was idle while memory was scarce
    INVALID_REQUEST = "invalid request"
    REFUSED_UNREAD = "refused unread"  # a request that was refused before it had arrived whole
    LAST_RESPONSE = "last response"  # the client, a shutdown or want of room ended it after a response
    STOPPED_READING = "stopped reading"
    BROKEN_RESPONSE = "broken response"  # the endpoint did not finish what had begun
    SHUTDOWN = "shutdown"


class PauseReason(Enum):
    """Why nothing is read of a body for a while. The values are names of counters."""

    SLOW_ENDPOINT = "slow endpoint"
    MEMORY = "memory"


class CutReason(Enum):
    """Why an answer whose passing-on had begun was not finished. The values are names of counters."""

    RESET = "reset"  # the connection ended without the endpoint's FIN
    EARLY_END = "early end"  # the endpoint ended the connection before the end of its message
    SILENT = "silent"
    MALFORMED = "malformed"
