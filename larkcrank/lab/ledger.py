"""What happened in a run, as the bench saw it on one clock: seconds since the run's start.

The monotonic clock is the machine's, so one clock serves clients, links, endpoints and discovery. Nothing
here judges; `rules.py` does, after the event.
"""

import time
from pathlib import Path

import msgspec


class Ask(msgspec.Struct, tag="ask"):
    """One request at its client. A client that comes back after a refusal asks anew, and means the same."""

    id: str
    sidecar: int
    cls: str
    meant_at: float  # when the client first meant to send it; latency counts from here
    asked_at: float  # this try's own time: its deadline counts from here
    first: str = ""  # the id of the first try
    sent_at: float = -1.0  # its last byte was handed to the socket; -1: never
    deadline: float = 0.0  # seconds that its client waits
    ended_at: float = -1.0
    status: int = 0  # 0: no answer
    why: str = ""  # how it ended without one: unreached, cut off, out of time
    resent: bool = False  # once more on a new connection: the old one's end crossed it
    retry_after: float = -1.0
    key: str = ""
    subject: int = 0
    body: str = ""  # what the answer holds


class Attempt(msgspec.Struct, tag="attempt"):
    """One request as it came through a link to an endpoint."""

    request: str
    sidecar: int
    endpoint: str
    entered_at: float  # its first byte left the sidecar
    arrived_at: float = -1.0  # its last byte reached the endpoint
    ended_at: float = -1.0  # its last answer byte reached the sidecar, or the connection ended
    status: int = 0
    new_connection: bool = False


class Effect(msgspec.Struct, tag="effect"):
    """Work that an endpoint finished, and was no repeat that it dropped."""

    at: float
    request: str
    key: str
    endpoint: str


class Told(msgspec.Struct, tag="told"):
    """A list as it reached a sidecar: names and their states; `whole` names all there are."""

    at: float
    sidecar: int
    whole: bool
    states: dict[str, str]


class Event(msgspec.Struct, tag="event"):
    """A fault, or what became of a process or an endpoint."""

    at: float
    what: str
    who: str = ""
    text: str = ""


class Ledger:
    def __init__(self) -> None:
        self.asks: list[Ask] = []
        self.attempts: list[Attempt] = []
        self.effects: list[Effect] = []
        self.tolds: list[Told] = []
        self.events: list[Event] = []
        self.list_calls: list[tuple[float, int]] = []  # when, by whom
        # By endpoint: calls of mean work in its worst window while cold, and N, what the rule allowed then.
        self.worst_cold_windows: dict[str, tuple[float, float]] = {}
        self.connections = 0  # to endpoints
        self.datagrams = 0
        self._started_at = time.monotonic()

    def restart_clock(self) -> None:
        """The load starts now: nought on the clock."""
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def record_event(self, what: str, who: str = "", text: str = "") -> None:
        self.events.append(Event(self.now(), what, who, text))

    def write(self, path: Path) -> None:
        """One JSON object a line, in the order of the lists. Raises OSError."""
        encoder = msgspec.json.Encoder()
        with path.open("wb") as file:
            for records in (self.events, self.tolds, self.asks, self.attempts, self.effects):
                for record in records:
                    file.write(encoder.encode(record) + b"\n")
