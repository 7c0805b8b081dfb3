"""Counters for what the sidecar takes in, sends and answers."""

from dataclasses import asdict, dataclass, field

from larkcrank.core.interface import Result


@dataclass(slots=True)
class Counters:
    """Each is counted in one place; `docs/on-call.md` says what they mean."""

    connections: int = 0
    taken: int = 0
    bad_requests: int = 0
    turned_away_full: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    clients_gone: int = 0
    gone_before_send: int = 0
    overdue: int = 0
    unsent_late: int = 0
    sends: int = 0
    connects: int = 0
    reuses: int = 0
    lists: int = 0
    discovery_calls: int = 0
    discovery_failures: int = 0
    operators_calls: int = 0
    crashed: int = 0
    outcomes: dict[str, int] = field(default_factory=lambda: {result.value: 0 for result in Result})

    def outcome(self, result: Result) -> None:
        self.outcomes[result.value] += 1

    def shown(self) -> dict[str, object]:
        return asdict(self)
