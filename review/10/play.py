"""A start with an old list, where lists are pushed and discovery has too many callers."""

import asyncio
import itertools
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "stand_ins_2"))

import bed  # noqa: E402

CLIENTS = 4
WORK_S = 0.1
PAUSE_S = 0.05
DEADLINE_S = 1.0
PLAY_S = 8.0
CROWDED_CALLS = 2  # so many calls wait too long
CALL_WAIT_S = 2.0  # before discovery gives them up
GRACE_S = 2.0  # contract.stop-sending-within-ms
SLACK_S = 0.05  # "each time limit is 50 ms longer"
GRADES = [
    {"name": "proof-view", "effect": "retryable", "aim-ms": 500.0, "deadline-ms": 1200.0, "points": 5.0},
]


async def play(record: bed.Record, directory: Path) -> list[str]:
    async def serve(endpoint: bed.Endpoint, message: bed.Message, link: bed.Link) -> None:
        await asyncio.sleep(WORK_S)
        link.send(bed.encode_answer(200, bed.answer_body(endpoint, message)))

    async def admit(number: int) -> bool:
        if bed.TROUBLE and number <= CROWDED_CALLS:
            await asyncio.sleep(CALL_WAIT_S)
            return False
        return True

    endpoints = [bed.Endpoint(f"s-{index}", record, serve) for index in range(4)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = bed.Discovery(endpoints, record)
    await discovery.start()
    discovery.admit = admit
    settings = bed.make_settings(GRADES, **{"registry-mode": "automatic"})
    sidecar = bed.Sidecar(record, directory, discovery, settings)
    sidecar.known = discovery.list_text()  # as the sidecar last had it
    draining = endpoints[0]
    draining.lifecycle = "Terminating"  # since then, and long before the start
    discovery.generation += 1
    is_over = asyncio.Event()
    numbers = itertools.count(1)
    served = 0

    async def use(number: int) -> None:
        nonlocal served
        client = bed.Client(sidecar.host_port, record)
        while not is_over.is_set():
            answer = await client.ask(f"c{number}-{next(numbers)}", "proof-view", "GET", DEADLINE_S)
            served += answer is not None and answer.status == 200
            await asyncio.sleep(PAUSE_S)
        client.close()

    loop = asyncio.get_running_loop()
    try:
        await sidecar.start_process()
        await sidecar.wait_until_ready()
        ready_at = loop.time()
        clients = [asyncio.create_task(use(number)) for number in range(CLIENTS)]
        await asyncio.sleep(PLAY_S)
        is_over.set()
        await asyncio.gather(*clients)
    finally:
        await sidecar.stop()
        record("log", sidecar.log_text())
    if not served:
        raise bed.CannotRunError("nothing was served")
    return [
        f"{message.id} went to the draining {draining.name} {came_at - ready_at:.2f} s after the yes"
        for came_at, message in draining.requests
        if came_at - ready_at > GRACE_S + SLACK_S
    ]


if __name__ == "__main__":
    bed.run(__file__, play)
