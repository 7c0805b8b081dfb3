"""Events between the choice of a server and the first byte sent to it.

Each test forces its order of events with its own peers, with a balancer that waits for the test, or by doing
both things within one iteration of the event loop. No test depends on the length of a sleep.
"""

import asyncio

import pytest

from larkcrank.core import interface as api
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import ListUpdate
from larkcrank.routing.exchange import Upload
from larkcrank.transport.connection import Connection, PendingConnection
from larkcrank.transport.descriptors import SocketUse
from tests import bed as testbed
from tests import crossing

IDEMPOTENCY_KEY_LINE = b"Idempotency-Key: 5c0f"


def test_keyed_request_is_not_sent_after_its_window_closed_while_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt was chosen within the window of its key, but was sent after it. By then the group may have
    forgotten the key and run the request again.
    """

    async def scenario() -> None:
        async with crossing.connecting_request(
            monkeypatch, lambda client: client.send("book", 8.0, "POST", IDEMPOTENCY_KEY_LINE), 1.0
        ) as pending:
            clock = pending.bed.sidecar._clock
            window_end_ms = clock() + 1.0
            await testbed.until(lambda: clock() > window_end_ms)
            pending.delayed_connects.released.set()
            assert (
                await pending.wait_for_outcomes() == [api.Result.NOT_SENT] and not pending.endpoint.requests
            )

    testbed.run(scenario())


def test_request_is_not_sent_to_a_server_drained_while_connecting(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with crossing.connecting_request(monkeypatch, lambda client: client.send("view")) as pending:
            draining_endpoint = api.Endpoint(b"s-1", state=api.State.DRAINING)
            pending.bed.sidecar._driver.receive_list(ListUpdate(2, False, (draining_endpoint,)))
            pending.delayed_connects.released.set()
            assert (
                await pending.wait_for_outcomes() == [api.Result.NOT_SENT] and not pending.endpoint.requests
            )

    testbed.run(scenario())


def test_connect_timeout_in_the_iteration_in_which_the_connection_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timer closed the connection before the waiting task continued. Nothing was written or run."""
    original_wait = PendingConnection.wait

    async def timed_out(connecting: PendingConnection, timeout_ms: float) -> Connection:
        connection = await original_wait(connecting, timeout_ms)
        connection.close()
        return connection

    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        async with testbed.bed(endpoint, discovery_up=False) as bed:
            monkeypatch.setattr(PendingConnection, "wait", timed_out)
            client = await bed.client()
            balancer = crossing.ManualBalancer(bed)
            client.send("take", 8.0, "POST", body=b"ink")
            balancer.decide(api.Send(await balancer.wait_for_request(), b"s-1"))
            await testbed.until(lambda: bool(balancer.events_of(api.Outcome)))
            assert (
                balancer.events_of(api.Outcome)[0].result is api.Result.CONNECT_FAILED
                and not endpoint.requests
            )
            assert bed.sidecar.descriptors._used[SocketUse.ATTEMPT] == 0

    testbed.run(scenario())


@pytest.mark.parametrize("timer_first", [True, False])
def test_attempt_that_times_out_as_its_response_arrives_has_one_outcome(timer_first: bool) -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        async with testbed.bed(endpoint) as bed:
            client = await bed.client()
            balancer = crossing.ManualBalancer(bed)

            async def respond_and_time_out(
                endpoint: testbed.Endpoint, _: http1.Request, writer: testbed.Writer
            ) -> None:
                (attempt,) = bed.sidecar._servers._attempts.values()
                await testbed.respond_ok(endpoint, _, writer)  # The response is now in the kernel.
                if not timer_first:
                    await testbed.until(lambda: attempt.ended)
                bed.sidecar._servers._attempt_timed_out(attempt)

            endpoint.serve = respond_and_time_out
            client.send("view")
            request_id = await balancer.wait_for_request()
            balancer.decide(api.Send(request_id, b"s-1"))
            await testbed.until(lambda: bool(balancer.events_of(api.Outcome)))
            if timer_first:
                balancer.decide(api.Refuse(request_id))
            assert (await client.read_response()).status == (503 if timer_first else 200)
            await testbed.until(lambda: bed.sidecar._servers.active_attempts == 0)
            expected_result = api.Result.TIMEOUT if timer_first else api.Result.OK
            assert [outcome.result for outcome in balancer.events_of(api.Outcome)] == [expected_result]
            assert bed.sidecar.counters.crashed == 0

    testbed.run(scenario())


@pytest.mark.parametrize("sent_together", [True, False])
def test_unexpected_second_response_closes_the_connection(sent_together: bool) -> None:
    """Taken as the response to the next request, it would be served to the wrong client."""

    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        second_response = http1.encode_response(200, (), b"of another")

        async def respond_twice(
            endpoint: testbed.Endpoint, request: http1.Request, writer: testbed.Writer
        ) -> None:
            await testbed.respond_ok(endpoint, request, writer)
            if sent_together:
                writer.write(second_response)

        async with testbed.bed(endpoint) as bed:
            endpoint.serve = respond_twice
            client = await bed.client()
            assert (await client.call("view")).body == b"made by /view/1"
            if not sent_together:
                # It reaches the kernel before the next request does.
                endpoint.writers[0].write(second_response)
            assert (await client.call("view")).body == b"made by /view/1"
            assert endpoint.connections_opened == 2
            await testbed.until(lambda: endpoint.connections_ended >= 1)

    testbed.run(scenario())


def test_a_long_body_that_grows_while_its_next_attempt_connects_is_sent_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    body = b"".join(b"%07d " % number for number in range(25_000))
    first_part, second_part, rest = body[:40_000], body[40_000:140_000], body[140_000:]

    async def reset_after_first_part(reader: testbed.Reader, writer: testbed.Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(first_part))
        writer.transport.abort()

    appended_sizes: list[int] = []
    original_append = Upload.append

    def record_append(upload: Upload, data: bytes) -> None:
        original_append(upload, data)
        appended_sizes.append(len(data))

    async def scenario() -> None:
        monkeypatch.setattr(Upload, "append", record_append)
        server = await asyncio.start_server(reset_after_first_part, "127.0.0.1", 0)
        failing, other = testbed.Endpoint("s-1"), testbed.Endpoint("s-2")
        failing.port = server.sockets[0].getsockname()[1]
        async with testbed.bed(failing, other, discovery_up=False) as bed:
            client, balancer = await bed.client(), crossing.ManualBalancer(bed)
            client.writer.write(
                b"POST /take/1 HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Kind: take\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body)
            )
            client.writer.write(first_part)
            request_id = await balancer.wait_for_request()
            balancer.decide(api.Send(request_id, b"s-1"))
            await testbed.until(lambda: bool(balancer.events_of(api.Outcome)))
            (outcome,) = balancer.events_of(api.Outcome)
            assert outcome.never_ran and outcome.can_resend
            delayed_connects = crossing.DelayedConnects(monkeypatch)
            balancer.decide(api.Send(request_id, b"s-2"))
            await testbed.until(lambda: delayed_connects.started_count == 1)
            client.writer.write(second_part)
            await testbed.until(lambda: sum(appended_sizes) == len(first_part) + len(second_part))
            delayed_connects.released.set()
            client.writer.write(rest)
            assert (await client.read_response()).status == 200
            assert [request.body == body for request in other.requests] == [True]
        server.close()

    testbed.run(scenario())
