"""Real sidecars before endpoints that send answers nobody asked for on connections that are kept."""

import pytest

from tests import fault_histories as histories

# What an answer that is taken for another request's breaks; the slack for a slow machine does not hide these.
RULES = ("invented", "twice", "resent", "refused", "group")
SECONDS = 6.0


@pytest.mark.parametrize(
    ("answer", "delay_ms"),
    [
        ("copy", 10.0),
        ("copy", 50.0),
        ("copy", 300.0),
        ("rejection", 10.0),
        ("rejection", 50.0),
        ("other", 50.0),
    ],
)
def test_a_stray_answer_is_not_taken_for_the_next_requests(answer: str, delay_ms: float) -> None:
    faults = [histories.stray_fault(answer, delay_ms, 0.2)]
    outcome = histories.play(histories.make_scenario(7, faults, SECONDS))
    breaches = [breach for breach in outcome.breaches if breach.rule in RULES]
    assert outcome.ledger.stray_answers > 10
    assert histories.broken_rules(breaches) == {}
