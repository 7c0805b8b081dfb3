"""A short soak of endpoints that are replaced at the same host and port, beside drains and upgrades."""

import asyncio

from tests import takeover_soak

FIRST_SEED, SEEDS, AT_ONCE = 10023, 8, 2


def test_a_short_soak_of_replaced_endpoints_breaks_no_rule() -> None:
    """Guards against requests to a drained process, and against one that gets none for good."""
    outcomes = asyncio.run(takeover_soak.play_all(FIRST_SEED, SEEDS, AT_ONCE))
    assert [str(outcome) for outcome in outcomes if outcome.is_broken] == []
