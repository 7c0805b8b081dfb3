"""Slow answers while the sidecar's process is stopped for moments: `python -m tests.stall_plays`."""

import asyncio
import signal
from collections import Counter

from tests import hostile_answers
from tests import hostile_bed as bed
from tests.hostile_answers import Lumps

STOP_S, CYCLE_S = 0.15, 0.35
STOP_BEFORE_DEADLINE_S = (
    0.13  # the stop covers the time at which the answer has to be begun, and the deadline
)


async def stop_in_cycles(stage: bed.Stage) -> None:
    """Stop the process for `STOP_S` in each `CYCLE_S`, until cancelled."""
    while True:
        await asyncio.sleep(CYCLE_S - STOP_S)
        await stop_once(stage)


async def stop_once(stage: bed.Stage) -> None:
    """Stop the process for `STOP_S`."""
    stage.processes[-1].send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(STOP_S)
    finally:
        stage.processes[-1].send_signal(signal.SIGCONT)


async def ask_beside_stops(stage: bed.Stage, lumps: Lumps, count: int) -> list[bed.Answer]:
    """Ask for slow answers, two at once, while the process is stopped again and again."""
    stops = asyncio.create_task(stop_in_cycles(stage))
    try:
        return await hostile_answers.ask_for_lumps(stage, lumps, count, at_once=2)
    finally:
        stops.cancel()
        await asyncio.wait((stops,))


async def ask_with_a_stop_at_the_deadline(stage: bed.Stage, lumps: Lumps) -> list[bed.Answer]:
    """Ask for two slow answers, and stop the process around the deadline of both."""
    asking = asyncio.create_task(hostile_answers.ask_for_lumps(stage, lumps, 2, at_once=2))
    await asyncio.sleep(hostile_answers.DEADLINE_S - STOP_BEFORE_DEADLINE_S)
    await stop_once(stage)
    return await asking


async def main() -> None:
    for lumps in (
        Lumps("close", 100_000, 2.4),
        Lumps("chunked", 100_000, 2.4),
        Lumps("length", 60_000, 1.0),
        Lumps("close", 40_000, 2.4),
    ):
        async with bed.stage() as stage:
            answers = await ask_beside_stops(stage, lumps, count=16)
            print(*lumps, Counter(map(hostile_answers.describe, answers)), flush=True)
        ends: Counter[str] = Counter()
        async with bed.stage() as stage:
            for _ in range(6):
                answers = await ask_with_a_stop_at_the_deadline(stage, lumps)
                ends.update(map(hostile_answers.describe, answers))
            print(*lumps, "stopped at the deadline", ends, flush=True)


if __name__ == "__main__":
    asyncio.run(main())
