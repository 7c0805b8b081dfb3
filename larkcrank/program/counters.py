"""Counters for the requests that a sidecar receives, sends and answers."""

from dataclasses import asdict, dataclass, field

from larkcrank.core.interface import Result
from larkcrank.routing.clients import RefusalReason
from larkcrank.routing.discovery import SharedListUse
from larkcrank.transport.closing import ClientCloseReason, CloseReason, CutReason, PauseReason


@dataclass(slots=True)
class Counters:
    """Each counter is incremented in one module only. `docs/on-call.md` explains them to operators."""

    connections: int = 0  # accepted from clients
    taken: int = 0  # valid requests that were accepted
    bad_requests: int = 0  # invalid or incomplete requests
    turned_away_full: int = 0  # requests answered 503 because too many were in progress
    turned_away_memory: int = 0  # requests answered 503 because memory was scarce
    turned_away_unclaimed: int = 0  # requests answered 503 as the process before did not say if it had them
    served: int = 0  # requests answered by a server
    refused: int = 0  # requests that the balancer refused
    failed: int = 0  # requests that the sidecar answered with an error other than a refusal
    clients_gone: int = 0  # requests whose client disconnected before the answer
    gone_before_send: int = 0  # requests in `clients_gone` that were not sent to any server
    overdue: int = 0  # requests answered 504 at their deadline, as the balancer had not decided on them
    uploads_expired: int = 0  # requests finished at their deadline before their body was read to its end
    unsent_late: int = 0  # requests refused or failed unsent, after half of the time to their deadline
    sends: int = 0  # attempts that began to write the request to a server
    connects: int = 0  # connections opened for attempts
    reuses: int = 0  # attempts on a pooled connection
    stray_answers: int = 0  # answers from servers, or beginnings of such, that no request had asked for
    held_answers: int = 0  # doubtful answers that were held back to see if another follows
    lists: int = 0  # server lists received from discovery
    discovery_calls: int = 0
    discovery_failures: int = 0
    shared_lists: dict[str, int] = field(default_factory=dict)  # from other processes of the sidecar, by use
    news_dropped: int = 0  # what could not be told to another process, since it takes nothing
    operators_calls: int = 0
    crashed: int = 0  # unexpected exceptions
    outcomes: dict[str, int] = field(default_factory=lambda: {result.value: 0 for result in Result})
    closes: dict[str, int] = field(default_factory=dict)  # connections to endpoints closed, by reason
    client_closes: dict[str, int] = field(default_factory=dict)  # clients' connections closed, by reason
    pauses: dict[str, int] = field(default_factory=dict)  # how often a body was not read on, by reason
    cuts: dict[str, int] = field(default_factory=dict)  # answers that were begun and not finished, by reason
    # By the result of the attempt before, or "unsent":
    retries: dict[str, int] = field(default_factory=dict)  # attempts beyond a request's first
    refusals: dict[str, int] = field(default_factory=dict)  # requests in `refused`
    failures: dict[str, int] = field(default_factory=dict)  # requests in `failed`

    def outcome(self, result: Result) -> None:
        """Count the result of one attempt."""
        self.outcomes[result.value] += 1

    def close(self, reason: CloseReason) -> None:
        """Count a closed connection to an endpoint."""
        _increment(self.closes, reason.value)

    def close_client(self, reason: ClientCloseReason) -> None:
        """Count a closed connection of a client."""
        _increment(self.client_closes, reason.value)

    def pause(self, reason: PauseReason) -> None:
        """Count that nothing was read of a body for a while."""
        _increment(self.pauses, reason.value)

    def shared_list(self, use: SharedListUse) -> None:
        """Count a list that another process of the sidecar had from discovery."""
        _increment(self.shared_lists, use.value)

    def cut(self, reason: CutReason) -> None:
        """Count an answer that was begun and could not be finished."""
        _increment(self.cuts, reason.value)

    def turn_away(self, reason: RefusalReason) -> None:
        """Count a request that was refused before it was taken."""
        match reason:
            case RefusalReason.TOO_MANY_REQUESTS:
                self.turned_away_full += 1
            case RefusalReason.MEMORY:
                self.turned_away_memory += 1
            case RefusalReason.NO_CLAIM:
                self.turned_away_unclaimed += 1

    def retry(self, last_result: Result | None) -> None:
        """Count a further attempt of a request whose last attempt ended like this."""
        _increment(self.retries, _reason_of(last_result))

    def refusal(self, last_result: Result | None) -> None:
        """Count a refused request by how its last attempt ended."""
        self.refused += 1
        _increment(self.refusals, _reason_of(last_result))

    def failure(self, last_result: Result | None) -> None:
        """Count a request answered with another error by how its last attempt ended."""
        self.failed += 1
        _increment(self.failures, _reason_of(last_result))

    def as_dict(self) -> dict[str, object]:
        """Return the counters by name, as fields of a log event."""
        return asdict(self)


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1


def _reason_of(last_result: Result | None) -> str:
    return "unsent" if last_result is None else last_result.value
