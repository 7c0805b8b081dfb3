"""System calls that fail in ways that Linux documents."""

import errno
import os
from contextlib import suppress

import pytest

from larkcrank.transport.stream import SocketStream
from tests import bed as testbed

READ_ERRORS = [errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ENETUNREACH, errno.ENOBUFS]


@pytest.mark.parametrize("error_number", READ_ERRORS)
def test_an_answer_is_not_lost_when_the_read_behind_it_fails(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        original_read = SocketStream.read_from_fd
        answers_read = 0

        def read_then_fail(stream: SocketStream, buffer: bytearray | memoryview) -> int | None:
            nonlocal answers_read
            if stream.socket.getpeername()[1] != endpoint.port:
                return original_read(stream, buffer)
            if answers_read:
                raise OSError(error_number, os.strerror(error_number))
            count = original_read(stream, buffer)
            answers_read += bool(count)
            return count

        async with testbed.bed(endpoint) as bed:
            monkeypatch.setattr(SocketStream, "read_from_fd", read_then_fail)
            client = await bed.client()
            assert (await client.call("take", method="POST")).status == 200
            assert len(endpoint.requests) == 1
            assert bed.sidecar.counters.crashed == 0 and len(bed.sidecar.pool) == 0

    testbed.run(scenario())


@pytest.mark.parametrize("error_number", READ_ERRORS)
def test_a_client_whose_connection_breaks_in_a_read_is_no_crash(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with testbed.bed(testbed.Endpoint("s-1")) as bed:
            client = await bed.client()
            assert (await client.call("view")).status == 200
            client_port = client.writer.get_extra_info("sockname")[1]

            def fail(stream: SocketStream, buffer: bytearray | memoryview) -> int | None:
                if stream.socket.getpeername()[1] == client_port:
                    raise OSError(error_number, os.strerror(error_number))
                return original_read(stream, buffer)

            original_read = SocketStream.read_from_fd
            monkeypatch.setattr(SocketStream, "read_from_fd", fail)
            client.send("view")
            with suppress(ConnectionResetError):
                assert await client.reader.read() == b""
            assert bed.sidecar.counters.crashed == 0

    testbed.run(scenario())
