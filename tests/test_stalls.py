"""After a stall of the process, what arrived in time is handled before any deadline is acted on."""

import asyncio
import gc
import socket
import time

import pytest

from larkcrank.routing.attempt import Attempt
from larkcrank.routing.deadline_timer import STALL_S, DeadlineTimer, InputGrace
from larkcrank.routing.exchange import Exchange
from tests import bed as b
from tests import hostile_bed, stall_plays
from tests.hostile_answers import Lumps


@pytest.mark.parametrize("stall_s", [0.0, 4 * STALL_S])
def test_input_of_a_stall_is_handled_before_deadlines_in_it(stall_s: float) -> None:
    async def work() -> None:
        events: list[str] = []
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours)
        grace = InputGrace()
        due_s = 0.01
        DeadlineTimer(grace, due_s, events.append, "deadline")
        DeadlineTimer(grace, due_s + stall_s, events.append, "last resort", last_resort_s=0.005)

        async def read() -> None:
            for _ in range(3):
                await reader.readexactly(1)
                await asyncio.sleep(0)
            events.append("answer")

        reading = asyncio.create_task(read())
        await asyncio.sleep(0)
        if stall_s:
            theirs.sendall(b"abc")
            time.sleep(due_s + stall_s)
        await b.until(lambda: len(events) >= 2 + bool(stall_s))
        assert events[-2:] == ["deadline", "last resort"]
        assert (events[0] == "answer") == bool(stall_s)
        reading.cancel()
        writer.close()
        theirs.close()

    b.run(work())


def test_a_request_and_its_attempt_are_freed_without_a_garbage_collection() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1")) as bed:
            client = await bed.client()
            assert (await client.call("view")).status == 200
            gc.collect()
            gc.disable()
            try:
                for _ in range(20):
                    assert (await client.call("view")).status == 200
                await asyncio.sleep(0.01)
                left = sum(isinstance(one, Attempt | Exchange) for one in gc.get_objects())
                assert left <= 2
            finally:
                gc.enable()

    b.run(work())


@pytest.mark.parametrize("lumps", [Lumps("close", 100_000, 2.4), Lumps("chunked", 100_000, 2.4)])
def test_a_slow_answer_is_not_cut_where_the_process_is_stopped_at_its_deadline(lumps: Lumps) -> None:
    async def work() -> None:
        async with hostile_bed.stage() as stage:
            for _ in range(2):
                for answer in await stall_plays.ask_with_a_stop_at_the_deadline(stage, lumps):
                    assert (answer.status, answer.is_whole) == (200, True)

    asyncio.run(work())
