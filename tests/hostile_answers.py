"""Requests whose bodies or answers take longer than their clients wait: `python -m tests.hostile_answers`."""

import asyncio
from collections import Counter
from typing import NamedTuple

from tests import hostile_bed as bed

DEADLINE_S = 1.2
BODY_BYTES, READ_RATE = 3_000_000, 64_000


class Lumps(NamedTuple):
    """An answer that comes in twelve equal parts."""

    framing: str
    size: int
    seconds: float


SLOW_ANSWERS = (
    Lumps("length", 168_000, 4.0),
    Lumps("chunked", 168_000, 4.0),
    Lumps("close", 168_000, 4.0),
    Lumps("chunked", 100_000, 2.4),
    Lumps("close", 100_000, 2.4),
    Lumps("chunked", 60_000, 1.0),
)


async def ask_for_lumps(stage: bed.Stage, lumps: Lumps, count: int, at_once: int) -> list[bed.Answer]:
    """Ask for the same slow answer several times; half of the requests are safe to repeat."""
    places = asyncio.Semaphore(at_once)
    query = f"?delay=0.08&lumps=12&framing={lumps.framing}&size={lumps.size}&seconds={lumps.seconds}"

    async def ask(number: int) -> bed.Answer:
        async with places:
            if number % 2:
                return await bed.ask(stage.port, "GET", f"/proof/1{query}", DEADLINE_S)
            return await bed.ask(stage.port, "POST", f"/reserve/1{query}", DEADLINE_S)

    return await asyncio.gather(*(ask(number) for number in range(count)))


async def upload_to_slow_endpoints(stage: bed.Stage, at_once: int) -> list[bed.Answer]:
    """Send long bodies that endpoints read more slowly than their clients wait."""
    target = f"/reserve/1?read_rate={READ_RATE}"
    uploads = (bed.ask(stage.port, "POST", target, DEADLINE_S, bytes(BODY_BYTES)) for _ in range(at_once))
    return await asyncio.gather(*uploads)


async def main() -> None:
    for lumps in SLOW_ANSWERS:
        async with bed.stage() as stage:
            answers = await ask_for_lumps(stage, lumps, count=8, at_once=2)
            print(*lumps, Counter(describe(answer) for answer in answers), flush=True)
    for at_once in (2, 6):
        async with bed.stage() as stage:
            answers = await upload_to_slow_endpoints(stage, at_once)
            print(f"{at_once} uploads of {BODY_BYTES} bytes:", *map(describe, answers), flush=True)


def describe(answer: bed.Answer) -> str:
    """Return what became of a request in words."""
    end = "whole" if answer.is_whole else "broken"
    return f"{answer.status} {end}" + ("" if answer.status == 200 else f" after {answer.seconds:.1f} s")


if __name__ == "__main__":
    asyncio.run(main())
