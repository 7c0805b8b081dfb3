"""What changes between the choice of a server and the first byte to it.

Each order is forced by the test's own peers, by decisions that wait for the test's word, or by doing both
things within one turn of the loop. No sleep has to hit anything.
"""

import pytest

from larkcrank.core import interface as api
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import ListUpdate
from larkcrank.transport.connection import Connection, PendingConnection
from larkcrank.transport.descriptors import SocketUse
from tests import bed as b
from tests import crossing as x

KEY = b"Idempotency-Key: 5c0f"


def test_a_key_whose_window_closes_while_a_connection_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Decided within the window, it was written after it: by then the group may have forgotten the key."""

    async def work() -> None:
        async with x.dialling(monkeypatch, lambda client: client.send("book", 8.0, "POST", KEY), 1.0) as it:
            now = it.bed.sidecar._clock
            over = now() + 1.0
            await b.until(lambda: now() > over)
            it.late.up.set()
            assert await it.outcomes() == [api.Result.NOT_SENT] and not it.endpoint.requests

    b.run(work())


def test_a_drain_that_is_told_while_a_connection_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        async with x.dialling(monkeypatch, lambda client: client.send("view")) as it:
            drains = api.Endpoint(b"s-1", state=api.State.DRAINING)
            it.bed.sidecar._driver.told(ListUpdate(2, False, (drains,)))
            it.late.up.set()
            assert await it.outcomes() == [api.Result.NOT_SENT] and not it.endpoint.requests

    b.run(work())


def test_a_connect_that_times_out_in_the_turn_in_which_it_came_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its timer closed it before whoever waited went on: nothing was written, so nothing ran."""
    wait = PendingConnection.wait

    async def timed_out(connecting: PendingConnection, timeout_ms: float) -> Connection:
        connection = await wait(connecting, timeout_ms)
        connection.close()
        return connection

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, discovery_up=False) as bed:
            monkeypatch.setattr(PendingConnection, "wait", timed_out)
            client = await bed.client()
            waiting = x.Waiting(bed)
            client.send("take", 8.0, "POST", body=b"ink")
            waiting.say(api.Send(await waiting.request(), b"s-1"))
            await b.until(lambda: bool(waiting.seen(api.Outcome)))
            assert waiting.seen(api.Outcome)[0].result is api.Result.CONNECT_FAILED and not one.requests
            assert bed.sidecar.descriptors._used[SocketUse.ATTEMPT] == 0

    b.run(work())


@pytest.mark.parametrize("timer_first", [True, False])
def test_an_attempt_whose_time_ends_in_the_turn_of_its_answer_has_one_outcome(timer_first: bool) -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            waiting = x.Waiting(bed)

            async def answer_in_that_turn(endpoint: b.Endpoint, _: http1.Request, writer: b.Writer) -> None:
                (attempt,) = bed.sidecar._servers._attempts.values()
                await b.respond_ok(endpoint, _, writer)  # it is in the kernel now
                if not timer_first:
                    await b.until(lambda: attempt.ended)
                bed.sidecar._servers._time_out(attempt)

            one.serve = answer_in_that_turn
            client.send("view")
            number = await waiting.request()
            waiting.say(api.Send(number, b"s-1"))
            await b.until(lambda: bool(waiting.seen(api.Outcome)))
            if timer_first:
                waiting.say(api.Refuse(number))
            assert (await client.read_response()).status == (503 if timer_first else 200)
            await b.until(lambda: bed.sidecar._servers.under_way == 0)
            wanted = api.Result.TIMEOUT if timer_first else api.Result.OK
            assert [outcome.result for outcome in waiting.seen(api.Outcome)] == [wanted]
            assert bed.sidecar.counters.crashed == 0

    b.run(work())


@pytest.mark.parametrize("at_once", [True, False])
def test_a_second_answer_ends_its_connection_before_the_next_request(at_once: bool) -> None:
    """Read as the answer to the next one, it would be served to the wrong client."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        text = http1.encode_response(200, (), b"of another")

        async def twice(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            await b.respond_ok(endpoint, request, writer)
            if at_once:
                writer.write(text)

        async with b.bed(one) as bed:
            one.serve = twice
            client = await bed.client()
            assert (await client.call("view")).body == b"made by /view/1"
            if not at_once:
                one.writers[0].write(text)  # in the kernel before the next request is
            assert (await client.call("view")).body == b"made by /view/1"
            assert one.connections_opened == 2
            await b.until(lambda: one.connections_ended >= 1)

    b.run(work())
