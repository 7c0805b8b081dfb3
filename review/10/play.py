"""A new endpoint at the address of one that has gone, where only draining binds."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "stand_ins_2"))

import bed  # noqa: E402

CLIENTS = 6
WORK_S = 0.05
PAUSE_S = 0.05
DEADLINE_S = 0.6
BEFORE_S = 3.0
DOWN_S = 0.5  # from the end of the old endpoint to the start of the new one
LIST_DELAY_S = 1.0  # from there to the list that tells it
UNTIL_DRAIN_S = 30.0  # the new endpoint is warm by then
AFTER_DRAIN_S = 5.0
GRACE_S = 0.15  # contract.stop-sending-within-ms
SLACK_S = 0.05  # "each time limit is 50 ms longer"
GRADES = [
    {"name": "pallet-lookup", "effect": "retryable", "aim-ms": 500.0, "deadline-ms": 1000.0, "points": 3.0},
]
CONTRACT = {
    "cold-from": 0.12,
    "warm-after-ms": 23000.0,
    "fall-multiple": 3.0,
    "fall-ms": 3000.0,
    "stop-sending-within-ms": 150.0,
    "only-draining-binds": True,
    "key-quiet-ms": 50.0,
}


async def play(record: bed.Record, directory: Path) -> list[str]:
    loop = asyncio.get_running_loop()

    async def serve(endpoint: bed.Endpoint, message: bed.Message, link: bed.Link) -> None:
        await asyncio.sleep(WORK_S)
        link.send(bed.encode_answer(200, bed.answer_body(endpoint, message)))

    endpoints = [bed.Endpoint(f"s-{index}", record, serve) for index in range(4)]
    for endpoint in endpoints:
        await endpoint.start()
    old, new = endpoints[0], bed.Endpoint("s-9", record, serve)
    discovery = bed.Discovery(endpoints, record)
    await discovery.start()
    sidecar = bed.Sidecar(record, directory, discovery, bed.make_settings(GRADES, contract=CONTRACT))
    is_over = asyncio.Event()
    numbers = itertools.count(1)
    served = 0

    async def use(number: int) -> None:
        nonlocal served
        client = bed.Client(sidecar.host_port, record)
        while not is_over.is_set():
            answer = await client.ask(f"c{number}-{next(numbers)}", "pallet-lookup", "GET", DEADLINE_S)
            served += answer is not None and answer.status == 200
            await asyncio.sleep(PAUSE_S)
        client.close()

    try:
        await sidecar.start_process()
        await sidecar.wait_until_ready()
        clients = [asyncio.create_task(use(number)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_S)
        old.end()
        await asyncio.sleep(DOWN_S)
        await new.start(old.port if bed.TROUBLE else 0)
        new.started_at_ms = round(time.time() * 1000.0)
        record("platform", f"{new.name} starts at port {new.port}, {old.name} had port {old.port}")
        await asyncio.sleep(LIST_DELAY_S)
        old.lifecycle = "Gone"
        discovery.endpoints.append(new)
        discovery.announce(old, new)
        await asyncio.sleep(UNTIL_DRAIN_S)
        new.lifecycle = "Terminating"
        discovery.announce(new)
        told_at = loop.time()
        await asyncio.sleep(AFTER_DRAIN_S)
        is_over.set()
        await asyncio.gather(*clients)
    finally:
        await sidecar.stop()
        record("log", sidecar.log_text())
    if not served or not new.requests:
        raise bed.CannotRunError("the new endpoint got no request")
    late = [
        f"{message.id} went to the draining {new.name} {came_at - told_at:.2f} s after the sidecar was told"
        for came_at, message in new.requests
        if came_at - told_at > GRACE_S + SLACK_S
    ]
    return [*late[:3], f"{len(late)} such requests in all"] if late else []


if __name__ == "__main__":
    bed.run(__file__, play)
