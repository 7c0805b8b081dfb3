"""The record of one run: requests, attempts, completed work, delivered lists and events.

All times are seconds since the load started. Clients, links, endpoints and discovery run on one machine and
share its monotonic clock. This module only records; `rules.py` checks the records after the run.
"""

import time
from pathlib import Path

import msgspec


class Ask(msgspec.Struct, tag="ask"):
    """One request as its client saw it. A retry after a refusal is a new `Ask` with the same `first`."""

    id: str
    sidecar: int
    cls: str  # name of its request class
    meant_at: float  # scheduled send time of the first try; latency is measured from here
    asked_at: float  # scheduled send time of this try; its deadline is measured from here
    first: str = ""  # id of the first try; the same in all retries
    sent_at: float = -1.0  # when the request was written to the socket; -1 if it never was
    deadline: float = 0.0  # seconds after `asked_at` within which an answer is on time
    ended_at: float = -1.0
    status: int = 0  # 0: no answer
    why: str = ""  # why there was no answer: unreached, cut off, out of time
    resent: bool = False  # sent again on a new connection because the idle one closed as it was sent
    retry_after: float = -1.0  # seconds from the answer's Retry-After; -1: none
    key: str = ""  # idempotency key
    subject: int = 0  # number of the item that the request concerns; 0: none
    body: str = ""  # start of the response body


class Attempt(msgspec.Struct, tag="attempt"):
    """One request as an endpoint received it through a link."""

    request: str
    sidecar: int
    endpoint: str
    entered_at: float  # when its first byte left the sidecar
    arrived_at: float = -1.0  # when its last byte reached the endpoint
    ended_at: float = -1.0  # when the last response byte reached the sidecar, or the connection ended
    status: int = 0
    new_connection: bool = False  # it was the first request on its connection
    group: str = ""  # the endpoints of one group drop repeats of an idempotency key together
    told_s: float = -1.0  # the deadline that the sidecar passed on, in seconds; -1 if none
    entered_late: bool = False  # it was written before `entered_at`, which a cut delayed


class Effect(msgspec.Struct, tag="effect"):
    """Work that an endpoint finished. Repeats that it dropped by their idempotency key are not recorded."""

    at: float
    request: str
    key: str
    endpoint: str


class Told(msgspec.Struct, tag="told"):
    """An endpoint list as it was delivered to a sidecar."""

    at: float
    sidecar: int
    whole: bool  # True: the full list; False: only the changes
    states: dict[str, str]  # endpoint name: lifecycle state


class Event(msgspec.Struct, tag="event"):
    """A fault that was injected, or a state change of a process or an endpoint."""

    at: float
    what: str  # kind of event, for instance "fault", "killed" or "ready"
    who: str = ""  # the members that it concerns
    text: str = ""


class Ledger:
    def __init__(self) -> None:
        self.asks: list[Ask] = []
        self.attempts: list[Attempt] = []
        self.effects: list[Effect] = []
        self.tolds: list[Told] = []
        self.events: list[Event] = []
        self.list_calls: list[tuple[float, int]] = []  # time and sidecar
        # Per endpoint: the window in which it came closest to the cold-start limit, as the number of requests
        # of mean work that it received and the number N that the rule allowed.
        self.worst_cold_windows: dict[str, tuple[float, float]] = {}
        self.connections = 0  # connections opened to endpoints
        self.datagrams = 0
        self.stray_answers = 0  # answers that endpoints sent although nobody asked for them
        self._started_at = time.monotonic()

    def restart_clock(self) -> None:
        """Set the clock to 0; called when the load starts."""
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def record_event(self, what: str, who: str = "", text: str = "") -> None:
        self.events.append(Event(self.now(), what, who, text))

    def write(self, path: Path) -> None:
        """Write one JSON object per line, grouped by record type. Raises OSError."""
        encoder = msgspec.json.Encoder()
        with path.open("wb") as file:
            for records in (self.events, self.tolds, self.asks, self.attempts, self.effects):
                for record in records:
                    file.write(encoder.encode(record) + b"\n")
