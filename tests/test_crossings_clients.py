"""Clients that leave while their requests wait: nothing of these goes on.

Each order is forced by the test's own peers, by decisions that wait for the test's word, or by doing both
things within one turn of the loop. No sleep has to hit anything.
"""

import asyncio
import time

import pytest

from larkcrank.core import interface as api
from larkcrank.protocol import http1
from tests import bed as b
from tests import crossing as x

BUSY_S = 0.06  # a turn of the loop that takes longer than the look at those who are not read


@pytest.mark.parametrize("phase", ["ready", "draining", "ending"])
@pytest.mark.parametrize("how", ["closed", "reset", "half-closed"])
@pytest.mark.parametrize("shape", x.SHAPES)
def test_a_client_that_left_while_its_request_waited_for_a_limit(shape: str, how: str, phase: str) -> None:
    """It went on for nobody: its client's end was not read yet when it got its server."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            await x.pooled(bed, client)
            waiting = x.Waiting(bed)
            if phase == "draining":
                bed.sidecar.life.drain()
            if phase == "ending":
                bed.sidecar.life.end(bed.sidecar._clock() + 8000.0)
            x.ask(client, shape)
            number = await waiting.request()
            await asyncio.sleep(0)
            x.ask_more(client, shape)
            x.leave(client, how)
            time.sleep(BUSY_S)  # and none of it is read yet, however long ago it was
            waiting.say(api.Send(number, b"s-1"))  # in the same turn of the loop
            await b.until(lambda: bool(waiting.seen(api.ClientGone)))
            await b.until(lambda: not bed.sidecar.clients.open)
            assert len(one.requests) == 1  # the one before
            counters = bed.sidecar.counters
            assert (counters.clients_gone, counters.gone_before_send, counters.crashed) == (1, 1, 0)
            (outcome,) = waiting.seen(api.Outcome)
            assert outcome.result is api.Result.NOT_SENT and outcome.closed

    b.run(work())


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_client_that_sent_ahead_and_left_is_noticed_while_its_request_waits(how: str) -> None:
    """No read is pending then: a place, a key's turn and a share of limits were held until the deadline."""

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1")) as bed:
            client = await bed.client()
            waiting = x.Waiting(bed)
            x.ask(client, "ahead")
            await waiting.request()
            x.leave(client, how)
            await b.until(lambda: bool(waiting.seen(api.ClientGone)))
            assert bed.sidecar.counters.gone_before_send == 1
            await b.until(lambda: not bed.sidecar.clients.open)

    b.run(work())


def test_many_that_leave_at_one_moment_are_each_left_out() -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            stays, *others = [await bed.client() for _ in range(9)]
            await x.pooled(bed, stays)
            waiting = x.Waiting(bed)
            for count, client in enumerate((stays, *others)):
                client.send("view")
                await waiting.request(count + 1)
            for index, client in enumerate(others):
                x.leave(client, "reset" if index % 2 else "closed")
            waiting.say(*(api.Send(request.id, b"s-1") for request in waiting.seen(api.Request)))
            assert (await stays.read_response()).status == 200
            await b.until(lambda: len(waiting.seen(api.ClientGone)) == 8)
            assert len(one.requests) == 2 and bed.sidecar.counters.gone_before_send == 8

    b.run(work())


def test_a_client_that_left_within_a_long_body_that_is_held_back() -> None:
    """Nothing is read while the body is held back; its rest and the end wait in the kernel."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, memory_mb=1.0) as bed:
            client = await bed.client()
            waiting = x.Waiting(bed)
            head = b"POST /take/1 HTTP/1.1\r\nHost: a\r\nReq-Id: long\r\nReq-Kind: take\r\n"
            client.writer.write(head + b"Content-Length: %d\r\n\r\n" % (64 * x.LONG))
            client.writer.write(b"x" * x.LONG * 8)
            await waiting.request()
            await b.until(lambda: any(visit.blocked for visit in bed.sidecar.clients._open.values()))
            x.leave(client, "reset")
            await b.until(lambda: bool(waiting.seen(api.ClientGone)))
            await b.until(lambda: not bed.sidecar.clients.open)
            assert not one.requests and bed.sidecar.budget.held_bytes == 0

    b.run(work())


@pytest.mark.parametrize("shape", x.SHAPES)
def test_a_client_that_left_while_a_connection_came_up(shape: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        async with x.dialling(monkeypatch, lambda client: x.ask(client, shape)) as it:
            x.ask_more(it.client, shape)
            x.leave(it.client, "closed")
            it.late.up.set()
            assert await it.outcomes() == [api.Result.NOT_SENT]
            await b.until(lambda: not it.bed.sidecar.clients.open)
            assert not it.endpoint.requests and it.bed.sidecar.counters.gone_before_send == 1

    b.run(work())


def test_a_client_that_left_frees_what_waits_for_a_connection_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also where nothing may be cancelled: what has not begun needs no leave, and others wait for its key."""

    async def work() -> None:
        async with x.dialling(monkeypatch, lambda client: client.send("view")) as it:
            x.leave(it.client, "closed")
            assert await it.outcomes() == [api.Result.NOT_SENT]  # though the connection never comes up
            assert it.bed.sidecar._servers.under_way == 0

    b.run(work())


@pytest.mark.parametrize("shape", ["plain", "ahead"])
def test_a_client_that_left_between_two_attempts(shape: str) -> None:
    async def work() -> None:
        two = b.Endpoint("s-2")
        client: b.Client

        async def leave_and_decline(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            x.leave(client, "closed")
            await b.respond_declined(endpoint, request, writer)

        one = b.Endpoint("s-1")
        async with b.bed(one, two) as bed:
            client = await bed.client()
            one.serve = two.serve = b.respond_ok
            while len(bed.sidecar.pool) < 2:
                assert (await client.call("view")).status == 200
            before = len(two.requests)
            waiting = x.Waiting(bed)
            waiting.on_outcome = lambda outcome: (
                [] if outcome.request_answered else [api.Send(outcome.id, b"s-2")]
            )
            one.serve = leave_and_decline
            x.ask(client, shape)
            waiting.say(api.Send(await waiting.request(), b"s-1"))
            await b.until(lambda: bool(waiting.seen(api.ClientGone)))
            await b.until(lambda: not bed.sidecar.clients.open)
            assert len(two.requests) == before

    b.run(work())


def test_a_client_that_left_costs_its_server_no_idle_connection() -> None:
    """Its own patience tells nothing of the server, unlike a wait up to the deadline."""

    async def work() -> None:
        both = asyncio.Event()
        one = b.Endpoint("s-1", b.respond_after(both))
        async with b.bed(one) as bed:
            waiting = x.Waiting(bed)
            first, second = await bed.client(), await bed.client()
            for count, client in enumerate((first, second), 1):
                client.send("view")
                waiting.say(api.Send(await waiting.request(count), b"s-1"))
            await b.until(lambda: len(one.requests) == 2)
            both.set()
            assert (await first.read_response()).status == (await second.read_response()).status == 200
            await b.until(lambda: len(bed.sidecar.pool) == 2)
            one.serve = b.never_respond
            first.send("view")
            waiting.say(api.Send(number := await waiting.request(3), b"s-1"))
            await b.until(lambda: len(one.requests) == 3)
            bed.sidecar._servers._connect_timeout_ms = 0.0  # it has waited for longer than that
            x.leave(first, "closed")
            await b.until(lambda: bool(waiting.seen(api.ClientGone)))
            waiting.say(api.Cancel(number, 0))
            await b.until(lambda: bed.sidecar.counters.outcomes["cancelled"] == 1)
            assert len(bed.sidecar.pool) == 1  # its own has gone

    b.run(work())
