"""Tests of how connections share the event loop."""

import asyncio
import contextlib

import pytest

from larkcrank.protocol import http1
from larkcrank.transport import turns


async def run_iterations(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_an_allowance_is_used_up_and_refilled() -> None:
    allowance = turns.WorkAllowance(0.0)
    assert allowance.spend(turns.BURST_UNITS, 0.0)
    assert not allowance.spend(1, 0.0)
    assert allowance.spend(turns.UNITS_PER_SECOND // 100, 0.011)


def test_work_beyond_one_iterations_share_is_done_in_turn() -> None:
    async def play() -> None:
        queue, order = turns.turn_queue_of(asyncio.get_running_loop()), []

        async def work(name: str) -> None:
            for _ in range(2):
                await queue.take_turn(turns.MAX_UNITS_PER_ITERATION)
                order.append(name)

        await asyncio.gather(work("a"), work("b"), work("c"))
        assert order == ["a", "a", "b", "c", "b", "c"]  # the first turn needs no wait

    asyncio.run(play())


def test_a_cancelled_turn_goes_to_the_next() -> None:
    async def play() -> None:
        queue = turns.turn_queue_of(asyncio.get_running_loop())
        await queue.take_turn(turns.MAX_UNITS_PER_ITERATION)
        cancelled = asyncio.create_task(queue.take_turn(turns.MAX_UNITS_PER_ITERATION))
        waiting = asyncio.create_task(queue.take_turn(1))
        await asyncio.sleep(0)
        cancelled.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await cancelled
        await run_iterations(3)
        assert waiting.done()

    asyncio.run(play())


def test_heads_of_more_fields_than_the_limit_are_rejected() -> None:
    def head(field_count: int) -> bytes:
        lines = b"".join(b"a%d:\r\n" % number for number in range(field_count - 1))
        return b"GET /a HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n"

    parser = http1.RequestParser()
    parser.feed(head(http1.MAX_FIELDS))
    assert parser.next() is not None
    parser.feed(head(http1.MAX_FIELDS + 1))
    with pytest.raises(http1.MessageError) as caught:
        parser.next()
    assert caught.value.status == 431
