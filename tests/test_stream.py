"""Tests of how a connection's end is told: by the peer's FIN, or by anything else."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from larkcrank.transport.connection import Connection, ConnectionLostError, wrap_socket
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from tests import bed as b
from tests import hostile_bed, upload_plays
from tests.upload_plays import Upload

SENT = bytes(30_000)
WRITTEN = bytes(8_000_000)
CUT_ANSWERS = 32


def connected_pair() -> tuple[Connection, socket.socket]:
    """Return our end of a TCP connection and the socket of its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    descriptors = DescriptorBudget(64)
    assert descriptors.acquire(SocketUse.ATTEMPT)
    return wrap_socket(ours, descriptors, SocketUse.ATTEMPT), theirs


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def read_to_end(connection: Connection) -> tuple[int, bool]:
    """Return how many bytes came, and whether they ended with the peer's FIN."""
    byte_count = 0
    with pytest.raises(ConnectionLostError) as caught:
        while True:
            byte_count += len(await connection.read())
    return byte_count, caught.value.fin_was_read


async def write(connection: Connection) -> None:
    with contextlib.suppress(ConnectionLostError):
        await connection.write(WRITTEN)


async def peek(connection: Connection) -> None:
    connection.peek(10)


async def look_for_close(connection: Connection) -> None:
    connection.has_peer_closed()


async def look_whether_idle(connection: Connection) -> None:
    connection.idle_input()


async def take_error(connection: Connection) -> None:
    connection.stream.get_fd_error()


async def do_nothing(_: Connection) -> None:
    return


@pytest.mark.parametrize("take", [do_nothing, write, peek, look_for_close, look_whether_idle, take_error])
def test_a_reset_is_no_end_whichever_call_takes_its_error(
    take: Callable[[Connection], Awaitable[None]],
) -> None:
    async def work() -> None:
        connection, peer = connected_pair()
        peer.sendall(SENT)
        await connection.read(len(SENT))
        reset(peer)
        await asyncio.sleep(0.02)
        await take(connection)
        assert await read_to_end(connection) == (0, False)
        connection.close()

    b.run(work())


def test_a_reset_while_a_write_waits_and_no_read_does_is_no_end() -> None:
    async def work() -> None:
        connection, peer = connected_pair()
        peer.sendall(SENT)
        await connection.read(len(SENT))
        writing = asyncio.create_task(write(connection))
        await asyncio.sleep(0.02)
        reset(peer)
        await writing
        assert await read_to_end(connection) == (0, False)
        connection.close()

    b.run(work())


def test_a_fin_is_an_end_even_if_a_write_fails_before_it_is_read() -> None:
    async def work() -> None:
        connection, peer = connected_pair()
        peer.sendall(SENT)
        peer.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.02)
        peer.close()
        for _ in range(2):  # the first one is answered by a reset
            await asyncio.sleep(0.02)
            with contextlib.suppress(ConnectionLostError):
                await connection.write(b"x")
        assert await read_to_end(connection) == (len(SENT), True)
        connection.close()

    b.run(work())


def test_a_connection_that_is_closed_here_has_no_end() -> None:
    async def work() -> None:
        connection, peer = connected_pair()
        pending = connection.start_read()
        connection.close()
        assert await read_to_end(connection) == (0, False)
        assert pending.done()
        peer.close()

    b.run(work())


@pytest.mark.parametrize(("lumps", "seconds"), [(1, 0.0), (36, 0.072)])
def test_an_answer_that_is_reset_while_its_request_is_written_is_not_taken_for_whole(
    lumps: int, seconds: float
) -> None:
    size = 253_025
    target = upload_plays.CUT.format(60_000, size, "close", size // 2, lumps, seconds)

    async def work() -> None:
        async with hostile_bed.stage() as stage:
            stage.is_honest_client_paused = True
            for _ in range(CUT_ANSWERS // 4):
                sent = (upload_plays.send(stage.port, Upload(target, 3_000_000)) for _ in range(4))
                for answer in await asyncio.gather(*sent):
                    assert answer.status != 200 or not answer.is_whole

    asyncio.run(work())


def test_what_came_before_a_failed_write_is_read() -> None:
    async def work() -> None:
        connection, peer = connected_pair()
        writing = asyncio.create_task(write(connection))
        await asyncio.sleep(0.02)
        peer.sendall(SENT)
        reset(peer)
        await writing
        assert connection.has_write_failed and not connection.closed
        assert await read_to_end(connection) == (len(SENT), False)
        connection.close()

    b.run(work())


@pytest.mark.parametrize("read_limit", [1_000, 30_000, 200_000])
def test_an_endpoint_that_declines_a_long_body_and_closes_is_understood(read_limit: int) -> None:
    target = f"/reserve/1?read_limit={read_limit}&declines=true&delay=0"

    async def work() -> None:
        async with hostile_bed.stage() as stage:
            stage.is_honest_client_paused = True
            answers = [await upload_plays.send(stage.port, Upload(target, 3_000_000)) for _ in range(8)]
            assert {answer.status for answer in answers} == {503}
            outcomes = (await stage.counters())["outcomes"]
            assert outcomes["rejected"] and not outcomes["connect failed"] and not outcomes["reset"]

    asyncio.run(work())
