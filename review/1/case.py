"""Sidecars that have just started, before servers some of whose answers come twice.

Each server writes a second copy of one answer in five, 5 ms after the answer, and only if nothing waits on
the connection then, as far as it can know: not even the first byte of another request has come. An
application opens with previews and goes on with all classes. It checks that what it gets was made for its
request.
"""

import asyncio
import json
from collections import Counter
from functools import partial
from pathlib import Path
from random import Random

from stand_ins import settings
from stand_ins.clients import Client
from stand_ins.platform import TROUBLE, Platform, free_port, play
from stand_ins.record import Record
from stand_ins.servers import Connection, Discovery, Server
from stand_ins.wire import Message, ok

SIDECARS = 4
ROUNDS = 4
WORKERS = 3  # connections of one client process
OPENING, REQUESTS = 5, 20  # of a worker in a round: previews, and all
WAY_MS = {"palermo": 0.2, "catania": 10.0, "messina": 12.0}
WORK_MS = (93.0, 120.0)
SPOILT_SHARE = 0.2
LATE_S = 0.005
# By name: share, method and deadline.
CLASSES = {
    "proof": (0.48, "GET", 2.5),
    "reserve-stock": (0.39, "POST", 4.0),
    "book-press": (0.13, "POST", 6.0),
}


async def serve(rng: Random, server: Server, connection: Connection, request: Message) -> bytes:
    request_id = request.headers["req-id"]
    server.record.line(server.name, "runs", request_id)
    await asyncio.sleep(rng.uniform(*WORK_MS) / 1000.0)
    answer = ok(json.dumps({"request": request_id, "work": f"done by {server.name}"}).encode())
    server.record.line(server.name, "answers", request_id)
    if TROUBLE and rng.random() < SPOILT_SHARE:
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_S, write_again, server, connection, request_id, answer)
    return answer


def write_again(server: Server, connection: Connection, request_id: str, answer: bytes) -> None:
    if connection.is_waited_on or connection.writer.is_closing():
        return
    server.record.line(server.name, "writes a second copy of the answer to", request_id)
    connection.writer.write(answer)


async def work(client: Client, rng: Random, record: Record, counts: Counter[str]) -> None:
    for number in range(REQUESTS):
        kind = (
            "proof"
            if number < OPENING
            else rng.choices(list(CLASSES), [share for share, _, _ in CLASSES.values()])[0]
        )
        _, method, deadline_s = CLASSES[kind]
        headers = {"Idempotency-Key": f"{rng.getrandbits(128):032x}"} if kind == "book-press" else {}
        request_id, answer = await client.call(method, kind, deadline_s, headers)
        if answer is None:
            counts["unanswered"] += 1
        elif answer.status != 200:
            counts["refused or failed"] += 1
        elif (made_for := json.loads(answer.body)["request"]) == request_id:
            counts["served"] += 1
        else:
            counts[f"{kind} served with another's answer"] += 1
            record.say(f"{client.name}: {kind} {request_id} got the answer made for {made_for}")
    client.close()


async def case(record: Record, platform: Platform) -> bool:
    rng = Random(57)
    servers = [
        Server(f"s-{zone}", zone, record, partial(serve, rng), way_ms) for zone, way_ms in WAY_MS.items()
    ]
    for server in servers:
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    counts: Counter[str] = Counter()
    for number in range(ROUNDS):
        sidecars = [
            platform.start(
                f"n{index}",
                settings.config(settings.PRINT_JOBS, index, discovery.port, discovery.list()),
                free_port(),
            )
            for index in range(SIDECARS)
        ]
        for sidecar in sidecars:
            await sidecar.wait_until(sidecar.is_ready)
        await asyncio.gather(
            *(
                work(Client(f"client {sidecar.name}.{worker}", sidecar.port, record), rng, record, counts)
                for sidecar in sidecars
                for worker in range(WORKERS)
            )
        )
        await asyncio.gather(*(platform.end(sidecar, 3.7) for sidecar in sidecars))
        record.say(f"round {number + 1}: {dict(counts)}")
    return not any("another's" in what or what == "unanswered" for what in counts)


play(Path(__file__).parent, case)
