"""Plays one shape of hostile clients and prints its figures: `python -m tests.hostile_measure [NAME ...]`."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from tests import hostile_bed as bed
from tests import hostile_clients as shapes

DEFAULT_FIGURES = (32.0, 12.0)  # memory in MB and seconds


class Play(NamedTuple):
    """A shape, its clients and its arguments."""

    shape: Callable[..., None]
    clients: int
    arguments: tuple[Any, ...] = ()


PLAYS = {
    "fields-2600": Play(shapes.many_fields, 340, (2600,)),
    "fields-1200": Play(shapes.many_fields, 340, (1200,)),
    "fields-90": Play(shapes.many_fields, 340, (90,)),
    "stopped-4m": Play(shapes.stopped_uploads, 340, (32_000_000, 4_000_000)),
    "stopped-65k": Play(shapes.stopped_uploads, 340, (65_000, 64_990)),
    "slow-readers": Play(shapes.slow_readers, 340, (32_000_000, 65_000)),
    "short-chunks": Play(shapes.short_chunks, 340, (1_600_000,)),
    "one-short-chunks": Play(shapes.short_chunks, 1, (1_600_000,)),
    "answer-fields": Play(shapes.answers_of_many_fields, 340, (2500,)),
    "answer-fields-90": Play(shapes.answers_of_many_fields, 340, (90,)),
    "slow-heads": Play(shapes.slow_heads, 340),
    "idle": Play(shapes.idle_connections, 900),
    "ready-checks": Play(shapes.ready_checks, 1),
    "empty-lines": Play(shapes.empty_lines, 1),
    "new-names": Play(shapes.new_names, 1),
}


async def measure(name: str, memory_mb: float, seconds: float) -> str:
    """Return the figures of one play."""
    play = PLAYS[name]
    async with bed.stage(memory_mb) as stage:
        await asyncio.sleep(1.0)
        start = bed.Memory()
        start.look_at(stage.processes[-1].pid)
        async with bed.hostile_clients(play.shape, stage.port, play.clients, *play.arguments):
            await asyncio.sleep(seconds)
        unanswered = sum(not answer.ended_at for answer in stage.honest_answers[:-50])
        end = f"exit {stage.processes[-1].poll()}; " if stage.processes[-1].poll() is not None else ""
        return f"{name} at {memory_mb:g} MB: {end}{stage.describe()}, {unanswered} without an end"


def main() -> None:
    """Arguments: `NAME[:MEMORY_MB[:SECONDS]]`."""
    for argument in sys.argv[1:] or PLAYS:
        name, *figures = argument.split(":")
        memory_mb, seconds = [*map(float, figures), *DEFAULT_FIGURES[len(figures) :]]
        print(asyncio.run(measure(name, memory_mb, seconds)), flush=True)


if __name__ == "__main__":
    main()
