"""The most recent attempts, kept in memory so that operators can follow a request through them."""

from collections import deque

import msgspec

from larkcrank.core.interface import HostPort
from larkcrank.protocol.discovery import format_host_port

MAX_RECORDS = 64


class AttemptRecord(msgspec.Struct, frozen=True):
    """One attempt that has ended. Times are in ms of the process clock."""

    request: str  # its Req-Id
    attempt: int  # from 0
    server: str  # address in hexadecimal
    host_port: HostPort | None  # where the request was sent, or was to be sent; None if nothing was tried
    connection: int  # number of the connection; 0 if there was none
    position: int  # of the request on its connection, from 1; 0 if there was none
    started_at: float
    ended_at: float
    result: str
    rested_ms: float  # how long the connection was idle before; 0 if it was new
    answer_ms: float  # from the last byte of the request to the head of the answer; 0 if there was none


class RecentAttempts:
    """The last `MAX_RECORDS` attempts."""

    def __init__(self) -> None:
        self._records: deque[AttemptRecord] = deque(maxlen=MAX_RECORDS)

    def add(self, record: AttemptRecord) -> None:
        self._records.append(record)

    def as_list(self) -> list[dict[str, object]]:
        """Return the records as fields of a log event, oldest first."""
        return [self._as_fields(record) for record in self._records]

    @staticmethod
    def _as_fields(record: AttemptRecord) -> dict[str, object]:
        host_port = "" if record.host_port is None else format_host_port(record.host_port)
        return msgspec.structs.asdict(record) | {"host_port": host_port}
