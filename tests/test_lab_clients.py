"""The bench's clients where the end of a connection crosses a request, and where they come back."""

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
LONG_S = 30.0


class Door:
    """Answers the first request of each connection; what it does with the second is told."""

    def __init__(self, second: str) -> None:
        self.second, self.taken = second, list[bytes]()
        self.server: asyncio.Server | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for number in range(2):
                parser = http1.RequestParser()
                while (request := parser.next()) is None:
                    parser.feed(await reader.readuntil(b"\r\n\r\n"))
                if number:
                    if self.second == "leave":
                        assert self.server is not None
                        self.server.close()
                    break
                self.taken.append(request.fields.one(b"req-id") or b"")
                status = 503 if self.second == "refuse" else 200
                lines = (b"Retry-After: 0",) if status == 503 else ()
                writer.write(http1.response_bytes(status, lines, b"x"))
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


async def played(door: Door, count: int, repeats: int = 0) -> list[Ask]:
    door.server = await asyncio.start_server(door.serve, "127.0.0.1", 0)
    place = door.server.sockets[0].getsockname()[:2]
    ledger = Ledger()
    load = LoadSettings(rate=1.0, classes={"look": 1.0}, repeats=repeats)
    clients = Clients(0, load, CLASSES, lambda: place, Random(1), ledger, LONG_S)
    try:
        for _ in range(count):
            clients._start_request(ledger.now(), "look", 0)
            await asyncio.wait_for(clients.finish(), LONG_S)
    finally:
        clients.close()
        door.server.close()
    return ledger.asks


@pytest.mark.parametrize("second", ["close", "leave"])
def test_what_crosses_a_closing_connection_is_asked_once_more_and_counts_from_there(second: str) -> None:
    """Nobody had taken it: where no new connection comes about either, it was never sent."""
    door = Door(second)
    first, then = asyncio.run(played(door, 2))
    assert first.status == 200 and not first.resent
    assert then.resent
    if second == "close":
        assert then.status == 200 and then.sent_at >= then.asked_at and len(door.taken) == 2
    else:
        assert (then.status, then.sent_at, then.why) == (0, -1.0, "unreached") and len(door.taken) == 1


def test_a_refused_client_comes_back_so_often_and_means_the_same() -> None:
    asks = asyncio.run(played(Door("refuse"), 1, repeats=2))
    assert [ask.status for ask in asks] == [503, 503, 503]
    assert {ask.first for ask in asks} == {asks[0].id} and len({ask.id for ask in asks}) == 3
