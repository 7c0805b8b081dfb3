"""Tests of the account of memory, and of what is refused when it is used up."""

import asyncio
import gc
import socket
import weakref

import pytest

from larkcrank.protocol import http1
from larkcrank.routing import upload_receiver
from larkcrank.routing.sessions import ClientSession
from larkcrank.transport.connection import wrap_socket
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.memory import (
    LARGE_READ_BYTES,
    MEDIUM_READ_BYTES,
    SMALL_READ_BYTES,
    MemoryAccount,
    MemoryUse,
    Pressure,
)
from tests import bed as b

LIMIT_BYTES = 192 << 20


def account_with_share(share: float) -> MemoryAccount:
    account = MemoryAccount(LIMIT_BYTES)
    account.reserve(int(account.capacity_bytes * share), MemoryUse.STREAM)
    return account


@pytest.mark.parametrize(
    ("share", "pressure", "read_size"),
    [
        (0.0, Pressure.NONE, LARGE_READ_BYTES),
        (0.31, Pressure.MODERATE, MEDIUM_READ_BYTES),
        (0.51, Pressure.HIGH, SMALL_READ_BYTES),
        (0.76, Pressure.CRITICAL, SMALL_READ_BYTES),
        (1.01, Pressure.EXHAUSTED, SMALL_READ_BYTES),
    ],
)
def test_pressure_rises_with_what_is_held(share: float, pressure: Pressure, read_size: int) -> None:
    account = account_with_share(share)
    assert (account.pressure, account.read_size) == (pressure, read_size)
    assert account.admits(0, has_body=True) == (pressure < Pressure.CRITICAL)
    assert account.admits(0, has_body=False) == (pressure < Pressure.EXHAUSTED)
    assert (account.upload_allowance == 0) == (pressure >= Pressure.HIGH)


def test_memory_that_the_account_does_not_see_counts_by_what_was_observed() -> None:
    account = account_with_share(0.2)
    account.observe(int(LIMIT_BYTES * 0.97))
    assert not account.admits(0, has_body=False)
    account.release(account.total_bytes, MemoryUse.STREAM)
    assert account.pressure is Pressure.HIGH  # to refuse requests would free nothing


def test_two_processes_share_the_limit() -> None:
    account = account_with_share(0.6)
    account.set_other_processes(1)
    assert account.pressure is Pressure.EXHAUSTED


def test_a_request_that_does_not_fit_is_refused_at_its_head_and_small_ones_are_served() -> None:
    async def work() -> None:
        endpoint = b.Endpoint("s-1")
        async with b.bed(endpoint) as bed:
            memory = bed.sidecar.memory
            held_bytes = int(memory.capacity_bytes * 0.8)
            memory.reserve(held_bytes, MemoryUse.STREAM)
            client = await bed.client()
            head = b"POST /take/1 HTTP/1.1\r\nHost: a\r\nReq-Id: m1\r\nContent-Length: 60000\r\n\r\n"
            client.writer.write(head)
            response = await client.read_response()
            assert (response.status, response.keep_alive) == (503, False)
            assert response.fields.get_single(b"retry-after") is not None
            client.writer.write(bytes(60_000))  # is read and dropped: a reset could discard the response
            await client.writer.drain()
            assert (await (await bed.client()).call("view")).status == 200
            memory.release(held_bytes, MemoryUse.STREAM)
            assert (await (await bed.client()).call("take")).status == 200
            assert bed.sidecar.counters.turned_away_memory == 1
            assert [request.target for request in endpoint.requests] == [b"/view/1", b"/take/1"]

    b.run(work())


def test_the_body_of_a_request_is_freed_when_its_answer_begins() -> None:
    async def work() -> None:
        gate = asyncio.Event()

        async def begin_answer(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: 100000") + bytes(70_000))
            await gate.wait()
            writer.write(bytes(30_000))

        async with b.bed(b.Endpoint("s-1", begin_answer)) as bed:
            client = await bed.client()
            client.send("take", body=bytes(60_000))
            await client.reader.readuntil(b"\r\n\r\n")
            held = bed.sidecar.memory.held_by_use()
            assert held["requests"] < 60_000 < held["streams"]
            gate.set()
            await b.until(lambda: bed.sidecar.memory.held_bytes == 0)

    b.run(work())


@pytest.mark.parametrize(
    ("framing", "beginning", "rest"),
    [
        (b"Content-Length: 70000", bytes(100), bytes(69_900)),
        (b"Transfer-Encoding: chunked", b"11170\r\n" + bytes(70_000), b"\r\n2\r\nxx\r\n0\r\n\r\n"),
    ],
)
def test_the_last_byte_of_a_body_is_noticed_while_reading_is_paused(
    framing: bytes, beginning: bytes, rest: bytes
) -> None:
    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        descriptors = DescriptorBudget(64)
        assert descriptors.acquire(SocketUse.CLIENT)
        connection = wrap_socket(ours, descriptors, SocketUse.CLIENT)
        session = ClientSession(connection, http1.MAX_BODY_BYTES, MemoryAccount(LIMIT_BYTES))
        session.parser.feed(b"POST /take HTTP/1.1\r\nHost: a\r\n" + framing + b"\r\n\r\n" + beginning)
        request = session.parser.next()
        assert request is not None and not request.is_complete
        theirs.sendall(rest[:-1])
        assert not upload_receiver.has_sent_everything(session)
        theirs.sendall(rest[-1:])
        await b.until(lambda: upload_receiver.has_sent_everything(session))
        connection.close()
        theirs.close()
        listener.close()

    b.run(work())


def test_a_closed_connection_is_freed_without_a_garbage_collection() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1")) as bed:
            sessions = bed.sidecar.clients._sessions
            client = await bed.client()
            await b.until(lambda: len(sessions) == 1)
            connection = weakref.ref(next(iter(sessions)))
            gc.disable()
            try:
                client.close()
                await b.until(lambda: not sessions)
                await b.until(lambda: connection() is None)
            finally:
                gc.enable()

    b.run(work())
