"""What changes between the choice of a server and the first byte to it.

Each order is forced by the test's own peers, by decisions that wait for the test's word, or by doing both
things within one turn of the loop. No sleep has to hit anything.
"""

import pytest

from larkcrank.core import interface as api
from larkcrank.protocol.discovery import Listing
from tests import bed as b
from tests import crossing as x

KEY = b"Idempotency-Key: 5c0f"


def test_a_key_whose_window_closes_while_a_connection_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Decided within the window, it was written after it: by then the group may have forgotten the key."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, discovery_up=False) as bed:
            late = x.Late(monkeypatch)
            client = await bed.client()
            waiting = x.Waiting(bed)
            client.send("book", 8.0, "POST", KEY)
            number = await waiting.request()
            now = bed.sidecar._clock
            waiting.say(api.Send(number, b"s-1", begin_by_ms=now() + 1.0))
            await b.until(lambda: late.waiting > 0)
            over = now() + 1.0
            await b.until(lambda: now() > over)
            late.up.set()
            await b.until(lambda: bool(waiting.seen(api.Outcome)))
            assert waiting.seen(api.Outcome)[0].result is api.Result.NOT_SENT and not one.requests

    b.run(work())


def test_a_drain_that_is_told_while_a_connection_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, discovery_up=False) as bed:
            late = x.Late(monkeypatch)
            client = await bed.client()
            waiting = x.Waiting(bed)
            client.send("view")
            waiting.say(api.Send(await waiting.request(), b"s-1"))
            await b.until(lambda: late.waiting > 0)
            drains = api.Endpoint(b"s-1", state=api.State.DRAINING)
            bed.sidecar._driver.told(Listing(2, False, (drains,)))
            late.up.set()
            await b.until(lambda: bool(waiting.seen(api.Outcome)))
            assert waiting.seen(api.Outcome)[0].result is api.Result.NOT_SENT and not one.requests

    b.run(work())
