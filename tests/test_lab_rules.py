"""The ledger's checks: each breach is caught and named, and what no program could have kept is none."""

from typing import Any

import pytest

from larkcrank.config.settings import convert
from larkcrank.lab import rules
from larkcrank.lab.ledger import Ask, Attempt, Effect, Event, Ledger, Told
from larkcrank.lab.settings import SETTINGS

CLASSES = {cls.name: cls for cls in convert(SETTINGS).decisions.classes}
SLACK_S = 0.1


def ask(number: str, cls: str = "look", at: float = 1.0, **more: Any) -> Ask:
    fields: dict[str, Any] = {"sent_at": at, "deadline": 2.0, "ended_at": at + 0.1, "status": 200}
    fields |= {"body": f"did {number}"} | more
    return Ask(number, 0, cls, at, at, number, **fields)


def attempt(
    number: str, endpoint: str = "a", at: float = 1.01, to: float = 1.05, status: int = 200
) -> Attempt:
    return Attempt(number, 0, endpoint, at, at + 0.01, to, status)


def told(at: float, whole: bool = False, **states: str) -> Told:
    return Told(at, 0, whole, states)


def check(*found: Any, **more: Any) -> list[rules.Breach]:
    ledger = Ledger()
    for one in found:
        getattr(ledger, f"{type(one).__name__.lower()}s").append(one)
    return rules.find_breaches(ledger, CLASSES, 2.0, SLACK_S, **more)


def names(*found: Any, **more: Any) -> list[str]:
    return [breach.rule for breach in check(*found, **more)]


def test_what_is_in_order_is_no_breach() -> None:
    assert check(ask("1"), attempt("1"), Effect(1.05, "1", "", "a")) == []
    keyed = ask("2", "pay", key="k", ended_at=2.2), attempt("2"), attempt("2", "b", 2.0, 2.1)
    assert check(*keyed, Effect(1.05, "2", "k", "a")) == []
    declined = attempt("3", status=503)
    assert check(ask("3", "order"), declined, attempt("3", "b", 1.1, 1.2), Effect(1.2, "3", "", "b")) == []


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        ({"status": 0, "why": "cut off"}, "lost"),
        ({"status": 0, "ended_at": -1.0}, "lost"),
        ({"ended_at": 3.3}, "late"),
        ({"body": "did 2"}, "invented"),
    ],
)
def test_one_final_answer_in_time(change: dict[str, Any], rule: str) -> None:
    assert names(ask("1", **change)) == [rule]
    # Of a process that died, or stood still meanwhile, no answer could come.
    for word in ("killed", "stopped"):
        assert names(ask("1", **change), Event(1.05, word, "sidecar 0")) == []
        assert names(ask("1", **change), Event(1.05, word, "sidecar 1")) == [rule]
    ended = Event(0.1, "stopped", "sidecar 0"), Event(0.5, "continued", "sidecar 0")
    assert names(ask("1", **change), *ended) == [rule]


def test_a_request_that_never_left_its_client_is_not_lost() -> None:
    assert names(ask("1", sent_at=-1.0, status=0, why="unreached")) == []


def test_nothing_is_sent_after_the_end() -> None:
    assert names(ask("1"), attempt("1", at=1.15, to=1.2)) == []  # within the slack
    assert names(ask("1"), attempt("1", at=1.25, to=1.3)) == ["after"]


def test_no_effect_twice() -> None:
    pair = Effect(1.0, "1", "", "a"), Effect(1.5, "1", "", "b")
    assert names(ask("1", "look"), *pair) == []  # safe to repeat
    assert names(ask("1", "order"), *pair) == ["twice"]
    # A client that comes back asks anew and means the same.
    again = ask("2", "order", 1.5)
    again.first = "1"
    assert names(ask("1", "order"), again, pair[0], Effect(1.5, "2", "", "b")) == ["twice"]
    keyed = ask("1", "pay", key="k"), ask("2", "pay", 1.5, key="k")
    assert names(*keyed, Effect(1.0, "1", "k", "a"), Effect(1.6, "2", "k", "b")) == ["twice"]
    assert names(Effect(1.0, "9", "", "a")) == ["invented"]


def test_no_refusal_of_what_ran_and_nothing_resent_that_may_have() -> None:
    assert names(ask("1", "order", status=503), Effect(1.0, "1", "", "a")) == ["refused"]
    assert names(ask("1", "look", status=503), Effect(1.0, "1", "", "a")) == []
    later = attempt("1", "b", 1.1, 1.2)
    assert names(ask("1", "order"), attempt("1", status=0), later) == ["resent"]
    assert names(ask("1", "look"), attempt("1", status=0), later) == []


def test_one_attempt_at_a_time() -> None:
    pair = attempt("1", to=1.6), attempt("1", "b", 1.3, 1.5)
    late = ask("1", ended_at=1.7)
    assert names(late, *pair) == ["copies"]
    assert names(late, *pair, allow_second_copies=True) == []
    assert names(late, attempt("1", to=-1.0), pair[1]) == ["copies"]


def test_nothing_new_to_what_drains() -> None:
    drains = told(1.0, a="Terminating")
    assert names(ask("1", at=2.9), attempt("1", at=2.95, to=2.99), drains) == []
    late = ask("1", at=3.2), attempt("1", at=3.21, to=3.25)
    assert names(*late, drains) == ["drain"]
    assert names(*late, drains, told(2.0, a="Ready")) == []
    assert names(*late, told(0.5, True, a="Ready", b="Ready"), told(1.0, True, b="Ready")) == ["drain"]
    assert names(*late, told(1.0, a="Gone")) == ["drain"]
    assert names(*late, told(1.0, a="Gone"), terminating_only=True) == []
    assert names(*late, drains, told(1.5, a="Gone"), terminating_only=True) == ["drain"]
    # A process that began anew was told nothing yet; one that stood still heard it when it went on.
    assert names(*late, drains, Event(2.0, "ready", "sidecar 0")) == []
    stood = Event(0.9, "stopped", "sidecar 0"), Event(1.5, "continued", "sidecar 0")
    assert names(*late, drains, *stood) == []


def test_what_fell_and_what_is_malformed() -> None:
    assert names(Event(1.0, "fell", "s-1", "")) == ["cold"]
    assert names(Event(1.0, "malformed", "s-1", "")) == ["malformed"]


def test_order_of_a_key() -> None:
    first = ask("1", "step", 1.0, ended_at=2.0, subject=5, key="k")
    then = ask("2", "step", 1.3, ended_at=2.2, subject=5, key="l")
    runs = attempt("1", to=1.95)
    assert names(first, then, runs, attempt("2", at=2.05, to=2.1)) == []
    assert names(first, then, runs, attempt("2", at=1.5, to=1.6)) == ["order"]
    other = ask("2", "step", 1.3, ended_at=2.2, subject=6, key="l")
    assert names(first, other, runs, attempt("2", at=1.5, to=1.6)) == []
    close = ask("2", "step", 1.05, ended_at=2.2, subject=5, key="l")  # which was taken first can't be told
    assert names(first, close, runs, attempt("2", at=1.5, to=1.6)) == []
    # After a time-out the key rests.
    cut = attempt("1", to=1.95, status=0)
    assert names(first, then, cut, attempt("2", at=2.05, to=2.1), unanswered_hold_s=1.0) == ["order"]
