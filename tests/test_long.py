"""Long bodies, slow peers and all forms of HTTP/1.1, through a whole sidecar on loopback."""

import asyncio
from collections.abc import Iterator
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.protocol import http1
from larkcrank.routing.exchange import AHEAD, Upload
from larkcrank.transport.budget import LARGE_READ_BYTES, SMALL_READ_BYTES, BufferBudget
from larkcrank.transport.connection import ConnectionLostError
from tests import bed as b

LONG = bytes(range(256)) * 4096  # 1 MiB
KEY = b"Idempotency-Key: 5c0f"


def parts_of(text: bytes, seed: int, most: int) -> Iterator[bytes]:
    rng, at = Random(seed), 0
    while at < len(text):
        step = rng.randint(1, most)
        yield text[at : at + step]
        at += step


def head_of(kind: str, *lines: bytes, method: bytes = b"POST", number: int = 0) -> bytes:
    b.Client.requests_sent += 1
    target = b"/" + kind.encode()
    known = (b"Host: a", b"Req-Id: long%d" % (number or b.Client.requests_sent))
    return b"\r\n".join((method + b" " + target + b" HTTP/1.1", *known, *lines)) + b"\r\n\r\n"


def chunked(text: bytes, seed: int = 1) -> bytes:
    body = b"".join(
        b"%x;part=%d\r\n%s\r\n" % (len(part), number, part)
        for number, part in enumerate(parts_of(text, seed, 30000))
    )
    return body + b"0;last\r\nX-Sum: 1\r\n\r\n"


# Parser


@given(st.integers(0, 1 << 30), st.integers(1, 9000), st.booleans(), st.integers(60000, 70000))
@settings(max_examples=30)
def test_a_long_body_is_the_same_however_it_was_cut(seed: int, most: int, in_chunks: bool, size: int) -> None:
    body = LONG[:size]
    framing = b"Transfer-Encoding: chunked" if in_chunks else b"Content-Length: %d" % size
    text = head_of("take", framing) + (chunked(body, seed) if in_chunks else body)
    parser, got = http1.RequestParser(), bytearray()
    found = None
    for part in parts_of(text + head_of("next"), seed, most):
        parser.feed(part)
        if found is None and (found := parser.next()) is not None:
            got += found.body
        if parser.is_streaming:
            got += parser.take_part()
    assert found is not None and bytes(got) == body and not parser.is_streaming
    assert found.is_complete == (size <= http1.MAX_BUFFERED_BODY_BYTES)
    following = parser.next()
    assert following is not None and following.target == b"/next"


def test_a_body_over_the_most_ends_in_an_error_also_in_chunks() -> None:
    parser = http1.RequestParser(max_body_bytes=100_000)
    parser.feed(head_of("take", b"Transfer-Encoding: chunked") + b"11170\r\n" + bytes(70000))
    assert (request := parser.next()) is not None and not request.is_complete
    parser.feed(b"\r\n11170\r\n")
    with pytest.raises(http1.MessageError) as caught:
        parser.take_part()
    assert caught.value.status == 413


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    parser = http1.ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\nall of")
    assert not parser.complete
    parser.feed(b" it")
    assert parser.handle_clean_close()
    assert (parser.response().body, parser.response().keep_alive) == (b"all of it", False)
    cut = http1.ResponseParser()
    cut.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of")
    assert not cut.handle_clean_close()


# Upload


def test_an_upload_can_be_sent_again_until_more_than_is_held_has_passed() -> None:
    async def work() -> None:
        budget = BufferBudget(1 << 30)
        upload = Upload(b"x" * 40000, budget)
        assert await upload.next_part() == b"x" * 40000
        upload.put(b"y" * 20000)
        assert upload.again  # 60 000 bytes are held still
        upload.begin()
        assert await upload.next_part() == b"x" * 40000
        upload.put(b"z" * 20000)
        assert not upload.again and budget.held_bytes == 40000
        assert await upload.next_part() == b"y" * 20000
        assert await upload.next_part() == b"z" * 20000
        upload.finish(whole=True)
        assert await upload.next_part() is None
        upload.end()
        assert budget.held_bytes == 0
        upload.put(b"late")  # dropped
        assert budget.held_bytes == 0

    b.run(work())


def test_an_upload_whose_client_has_gone_says_so() -> None:
    async def work() -> None:
        upload = Upload(b"x", BufferBudget(1 << 30))
        assert await upload.next_part() == b"x"
        waiting = asyncio.create_task(upload.next_part())
        await asyncio.sleep(0)
        upload.finish(whole=False)
        with pytest.raises(ConnectionLostError):
            await waiting

    b.run(work())


def test_with_memory_short_less_is_read_ahead_and_in_smaller_steps() -> None:
    budget = BufferBudget(4 << 20)
    upload = Upload(b"x" * http1.MAX_BUFFERED_BODY_BYTES, budget)
    upload.put(b"x" * 1000)
    assert not upload.is_full and budget.read_size == LARGE_READ_BYTES
    budget.reserve(1 << 20)
    assert upload.is_full and budget.read_size == SMALL_READ_BYTES
    budget.release(1 << 20)
    budget.set_other_processes(20)
    assert upload.is_full
    budget.set_other_processes(0)
    upload.put(b"x" * AHEAD)
    assert upload.is_full
    upload.end()
    assert (upload.is_full, budget.held_bytes) == (False, 0)


# Through the sidecar


@pytest.mark.parametrize("in_chunks", [False, True])
@pytest.mark.parametrize("continues", [False, True])
def test_a_long_body_reaches_the_endpoint_as_it_came(in_chunks: bool, continues: bool) -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            lines = [b"Transfer-Encoding: chunked" if in_chunks else b"Content-Length: %d" % len(LONG), KEY]
            client.writer.write(head_of("book", *lines, *([b"Expect: 100-continue"] if continues else [])))
            if continues:
                assert await client.reader.readuntil(b"\r\n\r\n") == http1.CONTINUE_RESPONSE
            for part in parts_of(chunked(LONG) if in_chunks else LONG, 5, 90000):
                client.writer.write(part)
                await client.writer.drain()
                await asyncio.sleep(0)
            answer = await client.read_response()
            assert (answer.status, answer.keep_alive) == (200, True)
            (came,) = one.requests
            assert came.body == LONG
            assert (await client.call("view")).status == 200  # the connections are good for more
            assert one.connections_opened == 1 and bed.sidecar.budget.held_bytes == 0
            assert bed.sidecar.counters.overdue == bed.sidecar.counters.crashed == 0

    b.run(work())


def test_time_and_what_a_server_owes_run_from_the_last_byte() -> None:
    """A body took longer than the request's deadline: it was given up, and its server counted as late."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            wait = b"Req-Deadline: 0.3"
            client.writer.write(head_of("take", b"Content-Length: %d" % len(LONG), wait))
            for part in parts_of(LONG, 3, 200_000):
                client.writer.write(part)
                await asyncio.sleep(0.1)
            assert (await client.read_response()).status == 200
            server = next(iter(bed.sidecar._balancer._servers.values()))
            assert (server.fails, server.owes) == (0, [])

    b.run(work())


def test_a_request_that_is_whole_waits_for_its_answer_undisturbed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The sweep for half-sent requests cut off answers 2.4 s after a long body: 49 times on a bulk day."""

    async def work() -> None:
        monkeypatch.setattr("larkcrank.routing.clients.PART_TIMEOUT_S", 0.05)
        gate = asyncio.Event()
        async with b.bed(b.Endpoint("s-1", b.respond_after(gate))) as bed:
            client = await bed.client()
            client.writer.write(head_of("take", b"Content-Length: %d" % len(LONG)) + LONG)
            await b.until(lambda: bool(bed.sidecar._balancer._owed_attempts))
            await asyncio.sleep(0.6)
            gate.set()
            assert (await client.read_response()).status == 200

    b.run(work())


def test_a_body_that_stops_half_way_ends_and_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.setattr("larkcrank.routing.clients.PART_TIMEOUT_S", 0.2)
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            client.writer.write(head_of("take", b"Content-Length: %d" % len(LONG)) + LONG[:200_000])
            assert (await client.read_response()).status == 408
            await b.until(lambda: one.connections_ended == one.connections_opened == 1)
            assert one.requests == []
            counters = bed.sidecar.counters
            assert counters.outcomes["reset"] == counters.outcomes["connect failed"] == 0
            await b.until(lambda: not bed.sidecar._driver._open and not bed.sidecar.budget.held_bytes)
            assert bed.sidecar.clients.open == 0

    b.run(work())


def test_a_body_that_breaks_half_way_at_the_endpoint_is_refused_not_repeated() -> None:
    """What has passed is not held any more. It never ran whole: the client may try again."""

    async def work() -> None:
        async def reset(reader: b.Reader, writer: b.Writer) -> None:
            await reader.readexactly(300_000)
            writer.transport.abort()

        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        broken = b.Endpoint("s-1")
        broken.port = server.sockets[0].getsockname()[1]
        async with b.bed(broken) as bed:
            client = await bed.client()
            client.writer.write(head_of("take", b"Content-Length: %d" % len(LONG)) + LONG[:600_000])
            answer = await client.read_response()
            assert (answer.status, answer.keep_alive) == (503, False)
            client.writer.write(LONG[600_000:])  # read and dropped, so that the answer was seen
            assert await client.reader.read() == b""
            assert bed.sidecar.counters.sends == 1
            assert bed.sidecar.counters.outcomes["connect failed"] == 1
            assert bed.sidecar.budget.held_bytes == 0
        server.close()

    b.run(work())


def test_a_long_body_moves_on_from_a_server_that_cannot_be_reached() -> None:
    async def work() -> None:
        closed = b.Endpoint("s-1")
        await closed.start()
        await closed.stop()
        good = b.Endpoint("s-2")
        async with b.bed(closed, good) as bed:
            client = await bed.client()
            for _ in range(3):
                client.writer.write(head_of("take", b"Content-Length: %d" % len(LONG)) + LONG)
                assert (await client.read_response()).status == 200
            assert [request.body for request in good.requests] == [LONG] * 3

    b.run(work())


def test_an_endpoint_that_declines_before_it_has_read_everything_is_heard() -> None:
    async def work() -> None:
        async def decline(reader: b.Reader, writer: b.Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http1.encode_response(503, (b"Srv-Declined: 1",), b"full"))
            while await reader.read(65536):
                pass
            writer.close()

        server = await asyncio.start_server(decline, "127.0.0.1", 0)
        full = b.Endpoint("s-1")
        full.port = server.sockets[0].getsockname()[1]
        async with b.bed(full, b.Endpoint("s-2")) as bed:
            client = await bed.client()
            for _ in range(4):  # one turn after another
                client.writer.write(head_of("take", b"Content-Length: 70000") + LONG[:1000])
                await b.until(lambda: not bed.sidecar._driver._events)
                await asyncio.sleep(0.05)
                client.writer.write(LONG[1000:70000])
                assert (await client.read_response()).status == 200  # its beginning was still held
            assert bed.sidecar.counters.outcomes["rejected"] >= 1
        server.close()

    b.run(work())


@pytest.mark.parametrize("how", ["length", "chunks", "close"])
@pytest.mark.parametrize("old", [False, True])
def test_a_long_answer_passes_through_in_every_form(how: str, old: bool) -> None:
    async def long(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        framing = {"length": b"Content-Length: %d" % len(LONG), "chunks": http1.CHUNKED_LINE, "close": b""}[
            how
        ]
        writer.write(http1.encode_response_head(200, (b"X-Mine: yes",), framing))
        for part in parts_of(chunked(LONG) if how == "chunks" else LONG, 9, 100_000):
            writer.write(part)
            await asyncio.sleep(0)
        if how == "close":
            writer.close()

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1", long)) as bed:
            client = await bed.client()
            text = head_of("view", *([b"Connection: keep-alive"] if old else []), method=b"GET")
            client.writer.write(text.replace(b"HTTP/1.1", b"HTTP/1.0") if old else text)
            parser, got = http1.ResponseParser(), bytearray()
            while not parser.complete:
                data = await client.reader.read(65536)
                parser.feed(data)
                got += parser.take_body()
                if not data:
                    assert parser.handle_clean_close()
            assert bytes(got) == LONG
            assert parser.head is not None and parser.head.fields.get_single(b"x-mine") == b"yes"
            told = parser.head.fields.get_single(b"content-length")
            assert told == (b"%d" % len(LONG) if how == "length" else None)
            if old:
                assert not parser.head.fields.get_all(b"transfer-encoding")
            kept = [b"keep-alive"] if old and how == "length" else []
            assert parser.head.fields.get_list(b"connection") == (kept or ([b"close"] if old else []))
            assert (bed.sidecar.counters.served, bed.sidecar.budget.held_bytes) == (1, 0)

    b.run(work())


def test_the_first_bytes_of_a_long_answer_go_on_while_the_rest_is_made() -> None:
    async def work() -> None:
        gate = asyncio.Event()

        async def slow(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: 100000") + LONG[:1000])
            await gate.wait()
            writer.write(LONG[1000:100_000])

        async with b.bed(b.Endpoint("s-1", slow)) as bed:
            client = await bed.client()
            client.send("view", 0.3)  # seconds: its time is over long before its end
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(1000) == LONG[:1000]
            await asyncio.sleep(0.5)
            server = next(iter(bed.sidecar._balancer._servers.values()))
            assert (server.fails, server.owes, bed.sidecar._balancer._owed_attempts) == (0, [], {})
            gate.set()
            assert await client.reader.readexactly(99_000) == LONG[1000:100_000]

    b.run(work())


def test_a_short_answer_that_breaks_is_repeated_a_long_one_shows_its_end() -> None:
    async def half(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        length = 50 if request.target.endswith(b"short") else 100_000
        writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % length) + b"half")
        await writer.drain()
        writer.close()

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1", half), b.Endpoint("s-2")) as bed:
            client = await bed.client()
            for _ in range(4):
                client.writer.write(head_of("view/short", method=b"GET"))
                answer = await client.read_response()
                assert (answer.status, answer.fields.get_single(b"x-from")) == (200, b"s-2")
        async with b.bed(b.Endpoint("s-1", half)) as bed:
            client = await bed.client()
            client.writer.write(head_of("view/long", method=b"GET"))
            with pytest.raises(ConnectionError):
                await client.read_response()
            assert bed.sidecar.clients.open == 0

    b.run(work())


def test_many_long_bodies_with_slow_peers_on_both_sides_hold_a_bounded_part_of_the_memory() -> None:
    """40 of 4 MiB each way at once, 320 MiB in all: what is held follows the budget, not the bodies."""
    size = 4 << 20

    async def work() -> None:
        async def slow(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % size))
            for _ in range(size // len(LONG)):
                writer.write(LONG)
                await writer.drain()

        one = b.Endpoint("s-1", slow)
        async with b.bed(one, memory_mb=32) as bed:

            async def both(client: b.Client) -> int:
                client.writer.write(head_of("take", b"Content-Length: %d" % size))
                for _ in range(size // len(LONG)):
                    client.writer.write(LONG)
                    await client.writer.drain()
                    await asyncio.sleep(0.01)
                await client.reader.readuntil(b"\r\n\r\n")
                read = 0
                while read < size:
                    read += len(await client.reader.read(1 << 20))
                    await asyncio.sleep(0.001)
                return read

            clients = [await bed.client() for _ in range(40)]
            assert await asyncio.gather(*map(both, clients)) == [size] * 40
            assert bed.sidecar.budget.peak_held_bytes < 16 << 20
            assert bed.sidecar.budget.held_bytes == 0
            assert bed.sidecar.counters.crashed == 0

    b.run(work())


def test_a_client_that_takes_nothing_does_not_stay_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.setattr("larkcrank.routing.clients.STALL_S", 0.2)
        one = b.Endpoint("s-1")

        async def endless(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % (30 << 20)))
            try:
                for _ in range(30):
                    writer.write(LONG)
                    await writer.drain()
            except ConnectionError:
                pass

        one.serve = endless
        async with b.bed(one) as bed:
            client = await bed.client()
            client.send("view")
            await b.until(lambda: one.connections_ended == 1 and bed.sidecar.clients.open == 0)
            assert bed.sidecar.budget.held_bytes == 0
            client.close()

    b.run(work())


def test_forms_of_a_request_that_other_clients_use() -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            client.writer.write(
                b"\r\nGET http://Backend.local:80/view/a?b=/c HTTP/1.1\r\nhost:other\r\nreq-id:f1\r\n\r\n"
                b"GET /view/2 HTTP/1.1\r\nHOST:\tx \r\nReq-ID: f2\r\n"
                b"Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\n\r\n"
                b"GET http://a/health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
                b"GET http://a?view HTTP/1.1\r\nHost: a\r\nReq-Kind: view\r\nReq-Id: f3\r\n\r\n"
            )
            for _ in range(4):  # sent ahead, answered in order
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
                await client.reader.readexactly(length)
            first, second, third = one.requests
            assert (first.target, first.fields.get_all(b"host")) == (b"/view/a?b=/c", [b"Backend.local:80"])
            assert not second.fields.get_all(b"x-hop")
            assert third.target == b"/?view"
            old = await bed.client()
            old.writer.write(b"GET /view/3 HTTP/1.0\r\nReq-Id: f4\r\n\r\n")
            answer = await old.read_response()
            assert (answer.status, answer.fields.get_list(b"connection")) == (200, [b"close"])

    b.run(work())


def test_a_broken_close_delimited_answer_is_told_by_a_reset() -> None:
    async def work() -> None:
        async def cut(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: 200000") + LONG[:100_000])
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        async with b.bed(b.Endpoint("s-1", cut)) as bed:
            client = await bed.client()
            client.writer.write(head_of("view", method=b"GET").replace(b"HTTP/1.1", b"HTTP/1.0"))
            with pytest.raises(ConnectionResetError):
                await client.reader.read(-1)

    b.run(work())
