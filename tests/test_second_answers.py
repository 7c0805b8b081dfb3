"""A new sidecar before endpoints that write some answers a second time, some milliseconds late."""

import asyncio
from collections import Counter
from random import Random

import pytest

from larkcrank.protocol import http1
from tests import bed as testbed

ENDPOINTS, CLIENTS, REQUESTS = 3, 4, 25
OPENING_REQUESTS = 5  # of each client, all of the safe class
WORK_S = (0.05, 0.07)
SECOND_ANSWER_SHARE = 0.4
CLASSES = ("view", "take", "book")


class SecondAnswers:
    """Endpoints that answer with the id of the request; safe requests get the same answer if `is_equal`."""

    def __init__(self, is_equal: bool, late_s: float) -> None:
        self._is_equal, self._late_s = is_equal, late_s
        self._rng = Random(5)

    def body(self, kind: bytes, request_id: bytes) -> bytes:
        return b"equal" if self._is_equal and kind == b"view" else kind + b" " + request_id

    async def respond(
        self, endpoint: testbed.Endpoint, request: http1.Request, writer: testbed.Writer
    ) -> None:
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        kind = request.target.split(b"/")[1]
        answer = http1.encode_response(200, (), self.body(kind, request.fields.get_single(b"req-id") or b""))
        writer.write(answer)
        if self._rng.random() < SECOND_ANSWER_SHARE:
            asyncio.get_running_loop().call_later(self._late_s, writer.write, answer)


async def send_requests(
    client: testbed.Client, rng: Random, served: list[tuple[bytes, bytes, bytes]]
) -> None:
    """Append class, id and body of each answer."""
    for number in range(REQUESTS):
        kind = "view" if number < OPENING_REQUESTS else rng.choice(CLASSES)
        key = (b"Idempotency-Key: %032x" % rng.getrandbits(128),) if kind == "book" else ()
        client.send(kind, 8.0, "", *key)
        request_id = b"r%d" % testbed.Client.requests_sent
        response = await client.read_response()
        if response.status == 200:
            served.append((kind.encode(), request_id, response.body))


@pytest.mark.parametrize("is_equal", [False, True])
@pytest.mark.parametrize("late_ms", [5.0, 15.0])
def test_a_late_second_answer_is_not_served_to_the_next_request(is_equal: bool, late_ms: float) -> None:
    behavior = SecondAnswers(is_equal, late_ms / 1000.0)

    async def scenario() -> None:
        endpoints = [testbed.Endpoint(f"s-{index}", behavior.respond) for index in range(ENDPOINTS)]
        served: list[tuple[bytes, bytes, bytes]] = []
        async with testbed.bed(*endpoints) as bed:
            clients = [await bed.client() for _ in range(CLIENTS)]
            await asyncio.gather(
                *(send_requests(client, Random(index), served) for index, client in enumerate(clients))
            )
            foreign = Counter(
                kind for kind, request_id, body in served if body != behavior.body(kind, request_id)
            )
            assert foreign == {}
            assert bed.sidecar.counters.stray_answers > 0
            assert len(served) > 0.9 * CLIENTS * REQUESTS

    testbed.run(scenario())
