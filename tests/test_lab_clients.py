"""The bench's clients: requests sent while the server closes the connection, and retries after refusals."""

import asyncio
from random import Random

import pytest

from larkcrank.config.settings import convert
from larkcrank.lab.clients import Clients
from larkcrank.lab.ledger import Ask, Ledger
from larkcrank.lab.scenario import LoadSettings
from larkcrank.lab.settings import BASE_SETTINGS
from larkcrank.protocol import http1

CLASSES = {cls.name: cls for cls in convert(BASE_SETTINGS).decisions.classes}
TEST_TIMEOUT_S = 30.0


class StubServer:
    """A server that answers the first request of each connection, then closes, stops or refuses."""

    def __init__(self, second_action: str) -> None:
        self.second_action, self.received_ids = second_action, list[bytes]()
        self.server: asyncio.Server | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for request_number in range(2):
                parser = http1.RequestParser()
                while (request := parser.next()) is None:
                    parser.feed(await reader.readuntil(b"\r\n\r\n"))
                if request_number:
                    if self.second_action == "leave":
                        assert self.server is not None
                        self.server.close()
                    break
                self.received_ids.append(request.fields.get_single(b"req-id") or b"")
                status = 503 if self.second_action == "refuse" else 200
                header_lines = (b"Retry-After: 0",) if status == 503 else ()
                writer.write(http1.encode_response(status, header_lines, b"x"))
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


async def send_requests(stub: StubServer, count: int, repeats: int = 0) -> list[Ask]:
    stub.server = await asyncio.start_server(stub.serve, "127.0.0.1", 0)
    address = stub.server.sockets[0].getsockname()[:2]
    ledger = Ledger()
    load = LoadSettings(rate=1.0, classes={"look": 1.0}, repeats=repeats)
    clients = Clients(0, load, CLASSES, lambda: address, Random(1), ledger, TEST_TIMEOUT_S)
    try:
        for _ in range(count):
            clients._start_request(ledger.now(), "look", 0)
            await asyncio.wait_for(clients.finish(), TEST_TIMEOUT_S)
    finally:
        clients.close()
        stub.server.close()
    return ledger.asks


@pytest.mark.parametrize("second_action", ["close", "leave"])
def test_a_request_sent_on_a_closing_connection_is_resent_once_on_a_new_one(second_action: str) -> None:
    """The server never received it. If no new connection can be opened either, it counts as never sent."""
    stub = StubServer(second_action)
    first_request, second_request = asyncio.run(send_requests(stub, 2))
    assert first_request.status == 200 and not first_request.resent
    assert second_request.resent
    if second_action == "close":
        assert (
            second_request.status == 200
            and second_request.sent_at >= second_request.asked_at
            and len(stub.received_ids) == 2
        )
    else:
        assert (second_request.status, second_request.sent_at, second_request.why) == (
            0,
            -1.0,
            "unreached",
        ) and len(stub.received_ids) == 1


def test_a_refused_client_retries_as_often_as_configured_and_keeps_the_first_id() -> None:
    requests = asyncio.run(send_requests(StubServer("refuse"), 1, repeats=2))
    assert [request.status for request in requests] == [503, 503, 503]
    assert {request.first for request in requests} == {requests[0].id} and len(
        {request.id for request in requests}
    ) == 3
