"""Tests that each breach of a rule is found and named, and that what a program cannot avoid is no breach."""

from typing import Any

import pytest

from larkcrank.config.settings import convert
from larkcrank.lab import rules
from larkcrank.lab.ledger import Ask, Attempt, Effect, Event, Ledger, Told
from larkcrank.lab.settings import BASE_SETTINGS

CLASSES = {cls.name: cls for cls in convert(BASE_SETTINGS).decisions.classes}
SLACK_S = 0.1


def make_ask(request_id: str, class_name: str = "look", asked_at: float = 1.0, **changes: Any) -> Ask:
    values: dict[str, Any] = {"sent_at": asked_at, "deadline": 2.0, "ended_at": asked_at + 0.1, "status": 200}
    values |= {"body": f"did {request_id}"} | changes
    return Ask(request_id, 0, class_name, asked_at, asked_at, request_id, **values)


def make_attempt(
    request_id: str, endpoint: str = "a", entered_at: float = 1.01, ended_at: float = 1.05, status: int = 200
) -> Attempt:
    return Attempt(request_id, 0, endpoint, entered_at, entered_at + 0.01, ended_at, status)


def make_list_update(at: float, is_full: bool = False, **states: str) -> Told:
    return Told(at, 0, is_full, states)


def breaches_of(*entries: Any, **options: Any) -> list[rules.Breach]:
    ledger = Ledger()
    for entry in entries:
        getattr(ledger, f"{type(entry).__name__.lower()}s").append(entry)
    return rules.find_breaches(ledger, CLASSES, 2.0, SLACK_S, **options)


def broken_rules(*entries: Any, **options: Any) -> list[str]:
    return [breach.rule for breach in breaches_of(*entries, **options)]


def test_permitted_behaviour_is_no_breach() -> None:
    assert breaches_of(make_ask("1"), make_attempt("1"), Effect(1.05, "1", "", "a")) == []
    retried_with_key = (
        make_ask("2", "pay", key="k", ended_at=2.2),
        make_attempt("2"),
        make_attempt("2", "b", 2.0, 2.1),
    )
    assert breaches_of(*retried_with_key, Effect(1.05, "2", "k", "a")) == []
    refused_attempt = make_attempt("3", status=503)
    assert (
        breaches_of(
            make_ask("3", "order"),
            refused_attempt,
            make_attempt("3", "b", 1.1, 1.2),
            Effect(1.2, "3", "", "b"),
        )
        == []
    )


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({"status": 0, "why": "cut off"}, "lost"),
        ({"status": 0, "ended_at": -1.0}, "lost"),
        ({"ended_at": 3.3}, "late"),
        ({"body": "did 2"}, "invented"),
    ],
)
def test_each_request_gets_one_final_answer_in_time(changes: dict[str, Any], rule: str) -> None:
    assert broken_rules(make_ask("1", **changes)) == [rule]
    # A process that was killed or stopped meanwhile could not answer.
    for outage in ("killed", "stopped"):
        assert broken_rules(make_ask("1", **changes), Event(1.05, outage, "sidecar 0")) == []
        assert broken_rules(make_ask("1", **changes), Event(1.05, outage, "sidecar 1")) == [rule]
    earlier_stop = Event(0.1, "stopped", "sidecar 0"), Event(0.5, "continued", "sidecar 0")
    assert broken_rules(make_ask("1", **changes), *earlier_stop) == [rule]


def test_a_request_that_never_left_its_client_is_not_lost() -> None:
    assert broken_rules(make_ask("1", sent_at=-1.0, status=0, why="unreached")) == []


def test_no_attempt_starts_after_the_final_answer() -> None:
    assert (
        broken_rules(make_ask("1"), make_attempt("1", entered_at=1.15, ended_at=1.2)) == []
    )  # within the slack
    assert broken_rules(make_ask("1"), make_attempt("1", entered_at=1.25, ended_at=1.3)) == ["after"]


def test_an_effect_must_not_happen_twice() -> None:
    two_effects = Effect(1.0, "1", "", "a"), Effect(1.5, "1", "", "b")
    assert broken_rules(make_ask("1", "look"), *two_effects) == []  # safe to repeat
    assert broken_rules(make_ask("1", "order"), *two_effects) == ["twice"]
    # A client that retries sends a new request for the same operation.
    client_retry = make_ask("2", "order", 1.5)
    client_retry.first = "1"
    assert broken_rules(make_ask("1", "order"), client_retry, two_effects[0], Effect(1.5, "2", "", "b")) == [
        "twice"
    ]
    same_key_requests = make_ask("1", "pay", key="k"), make_ask("2", "pay", 1.5, key="k")
    assert broken_rules(*same_key_requests, Effect(1.0, "1", "k", "a"), Effect(1.6, "2", "k", "b")) == [
        "twice"
    ]
    assert broken_rules(Effect(1.0, "9", "", "a")) == ["invented"]


def test_an_unsafe_request_that_ran_is_neither_refused_nor_resent() -> None:
    assert broken_rules(make_ask("1", "order", status=503), Effect(1.0, "1", "", "a")) == ["refused"]
    assert broken_rules(make_ask("1", "look", status=503), Effect(1.0, "1", "", "a")) == []
    second_attempt = make_attempt("1", "b", 1.1, 1.2)
    assert broken_rules(make_ask("1", "order"), make_attempt("1", status=0), second_attempt) == ["resent"]
    assert broken_rules(make_ask("1", "look"), make_attempt("1", status=0), second_attempt) == []


def test_attempts_must_not_overlap() -> None:
    overlapping = make_attempt("1", ended_at=1.6), make_attempt("1", "b", 1.3, 1.5)
    request = make_ask("1", ended_at=1.7)
    assert broken_rules(request, *overlapping) == ["copies"]
    assert broken_rules(request, *overlapping, allow_second_copies=True) == []
    assert broken_rules(request, make_attempt("1", ended_at=-1.0), overlapping[1]) == ["copies"]


def test_no_new_attempt_goes_to_a_draining_endpoint() -> None:
    drain_update = make_list_update(1.0, a="Terminating")
    assert (
        broken_rules(
            make_ask("1", asked_at=2.9), make_attempt("1", entered_at=2.95, ended_at=2.99), drain_update
        )
        == []
    )
    late_attempt = make_ask("1", asked_at=3.2), make_attempt("1", entered_at=3.21, ended_at=3.25)
    assert broken_rules(*late_attempt, drain_update) == ["drain"]
    assert broken_rules(*late_attempt, drain_update, make_list_update(2.0, a="Ready")) == []
    assert broken_rules(
        *late_attempt,
        make_list_update(0.5, True, a="Ready", b="Ready"),
        make_list_update(1.0, True, b="Ready"),
    ) == ["drain"]
    assert broken_rules(*late_attempt, make_list_update(1.0, a="Gone")) == ["drain"]
    assert broken_rules(*late_attempt, make_list_update(1.0, a="Gone"), terminating_only=True) == []
    assert broken_rules(
        *late_attempt, drain_update, make_list_update(1.5, a="Gone"), terminating_only=True
    ) == ["drain"]
    # A restarted process has received no list yet; a stopped one reads the list when it continues.
    assert broken_rules(*late_attempt, drain_update, Event(2.0, "ready", "sidecar 0")) == []
    outage = Event(0.9, "stopped", "sidecar 0"), Event(1.5, "continued", "sidecar 0")
    assert broken_rules(*late_attempt, drain_update, *outage) == []


def test_overloaded_cold_endpoints_and_malformed_requests_are_breaches() -> None:
    assert broken_rules(Event(1.0, "fell", "s-1", "")) == ["cold"]
    assert broken_rules(Event(1.0, "malformed", "s-1", "")) == ["malformed"]


def test_requests_of_a_key_run_in_order() -> None:
    first = make_ask("1", "step", 1.0, ended_at=2.0, subject=5, key="k")
    second = make_ask("2", "step", 1.3, ended_at=2.2, subject=5, key="l")
    first_attempt = make_attempt("1", ended_at=1.95)
    assert broken_rules(first, second, first_attempt, make_attempt("2", entered_at=2.05, ended_at=2.1)) == []
    assert broken_rules(first, second, first_attempt, make_attempt("2", entered_at=1.5, ended_at=1.6)) == [
        "order"
    ]
    other_key = make_ask("2", "step", 1.3, ended_at=2.2, subject=6, key="l")
    assert (
        broken_rules(first, other_key, first_attempt, make_attempt("2", entered_at=1.5, ended_at=1.6)) == []
    )
    # The order of arrival is unknown.
    nearly_simultaneous = make_ask("2", "step", 1.05, ended_at=2.2, subject=5, key="l")
    assert (
        broken_rules(
            first, nearly_simultaneous, first_attempt, make_attempt("2", entered_at=1.5, ended_at=1.6)
        )
        == []
    )
    # After an attempt without an answer the key stays blocked.
    unanswered_attempt = make_attempt("1", ended_at=1.95, status=0)
    assert broken_rules(
        first,
        second,
        unanswered_attempt,
        make_attempt("2", entered_at=2.05, ended_at=2.1),
        unanswered_hold_s=1.0,
    ) == ["order"]
