"""Answers that come late on a tier's kept connections."""

import asyncio

import pytest

from larkcrank.protocol import http1
from larkcrank.tiers.asking import KeepAliveClient
from tests import bed as testbed


class ScriptedServer:
    """Answers each request with the next body, and keeps its writers."""

    def __init__(self) -> None:
        self.answered = 0
        self.writers: list[testbed.Writer] = []

    async def start(self) -> tuple[str, int]:
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return host, port

    async def _handle(self, reader: testbed.Reader, writer: testbed.Writer) -> None:
        self.writers.append(writer)
        parser = http1.RequestParser()
        while await testbed.read_request(reader, parser) is not None:
            self.answered += 1
            writer.write(http1.encode_response(200, (), b"answer %d" % self.answered))
        writer.close()


@pytest.mark.parametrize("new_connection", [True, False])
def test_an_answer_that_came_at_rest_is_not_taken_for_the_next_calls(new_connection: bool) -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        client = KeepAliveClient(await server.start(), 1.0, 1 << 20)
        assert await client.fetch(b"/list", 5.0) == b"answer 1"
        assert await client.fetch(b"/list", 5.0) == b"answer 2" and client.is_reused
        server.writers[0].write(http1.encode_response(200, (), b"answer 1"))
        await server.writers[0].drain()
        assert await client.fetch(b"/list", 5.0, new_connection=new_connection) == b"answer 3"
        assert not client.is_reused and len(server.writers) == 2
        client.close()

    testbed.run(scenario())


def test_a_call_on_a_new_connection_gets_no_answer_of_the_kept_one() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        client = KeepAliveClient(await server.start(), 1.0, 1 << 20)
        assert await client.fetch(b"/list", 5.0) == b"answer 1"
        call = asyncio.create_task(client.fetch(b"/list", 5.0, new_connection=True))
        server.writers[0].write(http1.encode_response(200, (), b"answer 1"))
        assert await call == b"answer 2" and len(server.writers) == 2
        client.close()

    testbed.run(scenario())
