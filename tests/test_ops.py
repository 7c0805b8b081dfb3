"""Tests of operators' calls: the parser, the lifecycle phases, and draining on loopback."""

import asyncio
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.protocol.ops import MAX_LINE_BYTES, Call, CallError, CallParser, encode_answer
from larkcrank.routing.life import Lifecycle, Phase
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from tests import bed as b

OPS_ADDRESS = "127.0.0.1:0"


@given(st.sampled_from(list(Call)), st.sampled_from([b"\n", b"\r\n", b"\nmore"]), st.data())
def test_call_split_into_two_reads_is_parsed(call: Call, line_end: bytes, data: st.DataObject) -> None:
    text = call.value + line_end
    split_at = data.draw(st.integers(0, len(call.value)))
    parser = CallParser()
    assert parser.feed(text[:split_at]) is None
    assert parser.feed(text[split_at:]) is call


@given(st.binary(max_size=2 * MAX_LINE_BYTES))
def test_arbitrary_input_is_a_call_an_error_or_incomplete(text: bytes) -> None:
    line, line_end, _ = text.partition(b"\n")
    command = line.removesuffix(b"\r")
    if len(line) > MAX_LINE_BYTES or (line_end and command not in [call.value for call in Call]):
        with pytest.raises(CallError):
            CallParser().feed(text)
    else:
        assert CallParser().feed(text) is (Call(command) if line_end else None)


def test_answer_is_one_line() -> None:
    assert encode_answer(True, "ready") == b"200 ready\n"
    assert encode_answer(False, "draining") == b"400 draining\n"


def test_phase_is_correct_for_any_order_of_calls() -> None:
    lifecycle = Lifecycle()
    assert (lifecycle.phase.value, lifecycle.is_ready, lifecycle.closes_connections) == (
        "starting",
        False,
        False,
    )
    # A drain during the start takes effect once the start is complete.
    assert lifecycle.drain() and lifecycle.phase.value == "starting"
    lifecycle.start()
    assert lifecycle.phase.value == "draining" and lifecycle.closes_connections and not lifecycle.is_ready
    assert lifecycle.drain() and lifecycle.phase.value == "draining"
    assert lifecycle.rejoin() and lifecycle.rejoin() and lifecycle.is_ready
    lifecycle.drain()
    lifecycle.begin_shutdown(5.0)
    assert (lifecycle.phase, lifecycle.closes_connections, lifecycle.latest_deadline) == (
        Phase.ENDING,
        True,
        5.0,
    )
    assert not lifecycle.rejoin()  # a shutdown cannot be revoked
    assert lifecycle.drain()
    assert (lifecycle.phase, lifecycle.closes_connections) == (Phase.ENDING, True)


def test_operators_have_reserved_descriptors() -> None:
    descriptors = DescriptorBudget(64, has_operators=True)
    while descriptors.acquire(SocketUse.DISCOVERY):
        pass
    assert not descriptors.acquire(SocketUse.CLIENT)
    operator_count = 0
    while descriptors.acquire(SocketUse.OPERATOR):
        operator_count += 1
    assert operator_count == 6
    assert not DescriptorBudget(64).acquire(SocketUse.OPERATOR)


def test_calls_are_answered_and_invalid_input_is_rejected() -> None:
    async def scenario() -> None:
        async with b.bed(b.Endpoint("s-1"), ops=OPS_ADDRESS) as bed:
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            assert await bed.call_operator(b"LAMEDUCK\r\n") == b"200 draining\n"
            assert await bed.call_operator(b"PING\n") == b"400 draining\n"
            assert await bed.call_operator(b"REJOIN\n") == b"200 ready\n"
            for text in (
                b"ping\n",
                b"\n",
                b"PING PING\n",
                b"GET / HTTP/1.1\r\n\r\n",
                b"x" * (MAX_LINE_BYTES + 1),
            ):
                assert (await bed.call_operator(text)).startswith(b"400 ")
            bed.sidecar.reload()
            assert bed.log_events()[-1] == "reloaded"
            assert bed.sidecar.lifecycle.is_ready

    b.run(scenario())


def test_silent_operator_connections_are_closed_for_a_new_one() -> None:
    async def scenario() -> None:
        async with b.bed(b.Endpoint("s-1"), ops=OPS_ADDRESS) as bed:
            silent_connections = [await asyncio.open_connection(*bed.sidecar.ops_address) for _ in range(40)]
            for _, writer in silent_connections[::2]:
                writer.write(b"PI")
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            assert sum(reader.at_eof() for reader, _ in silent_connections) >= 20
            for _, writer in silent_connections:
                writer.close()

    b.run(scenario())


def test_drain_fails_the_ready_check_keeps_serving_and_closes_idle_connections() -> None:
    async def scenario() -> None:
        may_answer = asyncio.Event()
        endpoint = b.Endpoint("s-1", b.respond_after(may_answer))
        async with b.bed(endpoint, ops=OPS_ADDRESS) as bed:
            busy, idle, unused, checking = [await bed.client() for _ in range(4)]
            may_answer.set()
            assert (await idle.call("view")).keep_alive
            may_answer.clear()
            busy.send("view")
            await b.until(lambda: len(endpoint.requests) == 2)
            assert await bed.call_operator(b"LAMEDUCK\n") == b"200 draining\n"
            checking.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            ready_check = await checking.read_response()
            assert (ready_check.status, ready_check.keep_alive) == (503, False)
            late = await bed.client()  # from a client that does not know of the drain yet
            late.send("view")
            assert await idle.reader.read() == b""
            assert await unused.reader.read() == b""
            may_answer.set()
            for client in (busy, late):
                answer = await client.read_response()
                assert (answer.status, answer.keep_alive) == (200, False)
            await b.until(lambda: bed.sidecar.clients.open_count == 0)
            assert await bed.call_operator(b"REJOIN\n") == b"200 ready\n"
            after_rejoin = await bed.client()
            assert (await after_rejoin.call("view")).keep_alive
            await asyncio.sleep(0.6)  # longer than the delay of a drain: its task must have ended
            assert (await after_rejoin.call("view")).keep_alive

    b.run(scenario())


def test_partly_written_request_is_not_closed_as_idle_during_a_drain() -> None:
    async def scenario() -> None:
        async with b.bed(b.Endpoint("s-1"), ops=OPS_ADDRESS) as bed:
            client = await bed.client()
            await bed.call_operator(b"LAMEDUCK\n")
            request = b"GET /view/1 HTTP/1.1\r\nHost: a\r\nReq-Id: slow\r\n\r\n"
            for part in (request[:5], request[5:20], request[20:40]):
                client.writer.write(part)
                await asyncio.sleep(0.3)
            client.writer.write(request[40:])
            answer = await client.read_response()
            assert (answer.status, answer.keep_alive) == (200, False)

    b.run(scenario())


def test_shutdown_after_a_drain_is_final_and_limits_late_deadlines() -> None:
    async def scenario() -> None:
        async with b.bed(b.Endpoint("s-1", b.never_respond), ops=OPS_ADDRESS) as bed:
            client = await bed.client()
            await bed.call_operator(b"LAMEDUCK\n")
            shutdown = asyncio.create_task(bed.sidecar.shut_down())
            await asyncio.sleep(0)
            assert await bed.call_operator(b"REJOIN\n") == b"400 ending\n"
            client.send("view", 3600.0)  # by then the platform will have killed the process
            await b.until(lambda: bed.sidecar.counters.taken == 1)
            (exchange,) = bed.sidecar._driver._open_exchanges.values()
            assert exchange.deadline == bed.sidecar.lifecycle.latest_deadline
            client.close()
            await shutdown

    b.run(scenario())


def test_operators_address_in_use_raises_an_error(tmp_path: object) -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as occupied, pytest.raises(OSError):
            async with b.bed(b.Endpoint("s-1"), ops=f"127.0.0.1:{occupied.getsockname()[1]}"):
                pass

    b.run(scenario())
