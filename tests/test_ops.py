"""The operators' calls: the parser, the phases, and a drain on loopback."""

import asyncio
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.protocol.ops import MAX_LINE_BYTES, Call, CallError, CallParser, encode_answer
from larkcrank.routing.life import Life, Phase
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from tests import bed as b

OPS = "127.0.0.1:0"


@given(st.sampled_from(list(Call)), st.sampled_from([b"\n", b"\r\n", b"\nmore"]), st.data())
def test_a_call_is_the_same_however_it_was_cut(call: Call, end: bytes, data: st.DataObject) -> None:
    text = call.value + end
    cut = data.draw(st.integers(0, len(call.value)))
    parser = CallParser()
    assert parser.feed(text[:cut]) is None
    assert parser.feed(text[cut:]) is call


@given(st.binary(max_size=2 * MAX_LINE_BYTES))
def test_whatever_comes_is_a_call_no_call_or_not_whole(text: bytes) -> None:
    line, end, _ = text.partition(b"\n")
    word = line.removesuffix(b"\r")
    if len(line) > MAX_LINE_BYTES or (end and word not in [call.value for call in Call]):
        with pytest.raises(CallError):
            CallParser().feed(text)
    else:
        assert CallParser().feed(text) is (Call(word) if end else None)


def test_an_answer_is_one_line() -> None:
    assert encode_answer(True, "ready") == b"200 ready\n"
    assert encode_answer(False, "draining") == b"400 draining\n"


def test_phases_follow_the_calls_whatever_their_order() -> None:
    life = Life()
    assert (life.phase.value, life.is_ready, life.sends_away) == ("starting", False, False)
    assert life.drain() and life.phase.value == "starting"  # it holds once the start is done
    life.start()
    assert life.phase.value == "draining" and life.sends_away and not life.is_ready
    assert life.drain() and life.phase.value == "draining"
    assert life.rejoin() and life.rejoin() and life.is_ready
    life.drain()
    life.end(5.0)
    assert (life.phase, life.sends_away, life.latest) == (Phase.ENDING, True, 5.0)
    assert not life.rejoin()  # nothing takes the end back
    assert life.drain()
    assert (life.phase, life.sends_away) == (Phase.ENDING, True)


def test_operators_have_places_that_nothing_else_fills() -> None:
    places = DescriptorBudget(64, has_operators=True)
    while places.acquire(SocketUse.DISCOVERY):
        pass
    assert not places.acquire(SocketUse.CLIENT)
    own = 0
    while places.acquire(SocketUse.OPERATOR):
        own += 1
    assert own == 6
    assert not DescriptorBudget(64).acquire(SocketUse.OPERATOR)


def test_calls_are_answered_and_all_else_is_told_so() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1"), ops=OPS) as bed:
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            assert await bed.call_operator(b"LAMEDUCK\r\n") == b"200 draining\n"
            assert await bed.call_operator(b"PING\n") == b"400 draining\n"
            assert await bed.call_operator(b"REJOIN\n") == b"200 ready\n"
            for text in (
                b"ping\n",
                b"\n",
                b"PING PING\n",
                b"GET / HTTP/1.1\r\n\r\n",
                b"x" * (MAX_LINE_BYTES + 1),
            ):
                assert (await bed.call_operator(text)).startswith(b"400 ")
            bed.sidecar.reload()
            assert bed.log_events()[-1] == "reloaded"
            assert bed.sidecar.life.is_ready

    b.run(work())


def test_silent_operators_make_way_for_one_who_calls() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1"), ops=OPS) as bed:
            silent = [await asyncio.open_connection(*bed.sidecar.ops_place) for _ in range(40)]
            for _, writer in silent[::2]:
                writer.write(b"PI")
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            assert sum(reader.at_eof() for reader, _ in silent) >= 20
            for _, writer in silent:
                writer.close()

    b.run(work())


def test_a_drain_turns_ready_off_serves_on_and_leaves_no_connection_idle() -> None:
    async def work() -> None:
        gate = asyncio.Event()
        slow = b.Endpoint("s-1", b.respond_after(gate))
        async with b.bed(slow, ops=OPS) as bed:
            used, idle, silent, asking = [await bed.client() for _ in range(4)]
            gate.set()
            assert (await idle.call("view")).keep_alive
            gate.clear()
            used.send("view")
            await b.until(lambda: len(slow.requests) == 2)
            assert await bed.call_operator(b"LAMEDUCK\n") == b"200 draining\n"
            asking.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            no = await asking.read_response()
            assert (no.status, no.keep_alive) == (503, False)
            late = await bed.client()  # the front has not heard yet
            late.send("view")
            assert await idle.reader.read() == b""
            assert await silent.reader.read() == b""
            gate.set()
            for client in (used, late):
                answer = await client.read_response()
                assert (answer.status, answer.keep_alive) == (200, False)
            await b.until(lambda: bed.sidecar.clients.open == 0)
            assert await bed.call_operator(b"REJOIN\n") == b"200 ready\n"
            again = await bed.client()
            assert (await again.call("view")).keep_alive
            await asyncio.sleep(0.6)  # longer than a drain waits: nothing of it is left
            assert (await again.call("view")).keep_alive

    b.run(work())


def test_a_request_that_is_being_written_outlasts_the_first_looks_of_a_drain() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1"), ops=OPS) as bed:
            client = await bed.client()
            await bed.call_operator(b"LAMEDUCK\n")
            text = b"GET /view/1 HTTP/1.1\r\nHost: a\r\nReq-Id: slow\r\n\r\n"
            for part in (text[:5], text[5:20], text[20:40]):
                client.writer.write(part)
                await asyncio.sleep(0.3)
            client.writer.write(text[40:])
            answer = await client.read_response()
            assert (answer.status, answer.keep_alive) == (200, False)

    b.run(work())


def test_the_end_of_a_drained_sidecar_is_final_and_caps_what_comes_late() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1", b.never_respond), ops=OPS) as bed:
            client = await bed.client()
            await bed.call_operator(b"LAMEDUCK\n")
            ended = asyncio.create_task(bed.sidecar.wind_down())
            await asyncio.sleep(0)
            assert await bed.call_operator(b"REJOIN\n") == b"400 ending\n"
            client.send("view", 3600.0)  # by then the platform will have killed the process
            await b.until(lambda: bed.sidecar.counters.taken == 1)
            (exchange,) = bed.sidecar._driver._open.values()
            assert exchange.deadline == bed.sidecar.life.latest
            client.close()
            await ended

    b.run(work())


def test_an_operators_address_in_use_is_an_error(tmp_path: object) -> None:
    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(OSError):
            async with b.bed(b.Endpoint("s-1"), ops=f"127.0.0.1:{taken.getsockname()[1]}"):
                pass

    b.run(work())
