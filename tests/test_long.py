"""Tests of long bodies, slow peers and the forms of HTTP/1.1, mostly through a sidecar on loopback."""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.protocol import http1
from larkcrank.routing.exchange import Upload, UploadEndedError
from larkcrank.transport.memory import (
    LARGE_READ_BYTES,
    MAX_UPLOAD_BYTES,
    READS_HELD_PER_STREAM,
    SMALL_READ_BYTES,
    MemoryAccount,
    MemoryUse,
)
from tests import bed as b

LONG_BODY = bytes(range(256)) * 4096  # 1 MiB
KEY = b"Idempotency-Key: 5c0f"


def split_randomly(data: bytes, seed: int, max_size: int) -> Iterator[bytes]:
    rng, offset = Random(seed), 0
    while offset < len(data):
        size = rng.randint(1, max_size)
        yield data[offset : offset + size]
        offset += size


def request_head(kind: str, *header_lines: bytes, method: bytes = b"POST", number: int = 0) -> bytes:
    b.Client.requests_sent += 1
    target = b"/" + kind.encode()
    common_lines = (b"Host: a", b"Req-Id: long%d" % (number or b.Client.requests_sent))
    return b"\r\n".join((method + b" " + target + b" HTTP/1.1", *common_lines, *header_lines)) + b"\r\n\r\n"


def encode_chunked(data: bytes, seed: int = 1) -> bytes:
    body = b"".join(
        b"%x;part=%d\r\n%s\r\n" % (len(part), number, part)
        for number, part in enumerate(split_randomly(data, seed, 30000))
    )
    return body + b"0;last\r\nX-Sum: 1\r\n\r\n"


# Parser


@given(st.integers(0, 1 << 30), st.integers(1, 9000), st.booleans(), st.integers(60000, 70000))
@settings(max_examples=30)
def test_parsing_a_long_body_does_not_depend_on_splits(
    seed: int, max_part_size: int, is_chunked: bool, size: int
) -> None:
    body = LONG_BODY[:size]
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % size
    text = request_head("take", framing) + (encode_chunked(body, seed) if is_chunked else body)
    parser, received_body = http1.RequestParser(), bytearray()
    request = None
    for part in split_randomly(text + request_head("next"), seed, max_part_size):
        parser.feed(part)
        if request is None and (request := parser.next()) is not None:
            received_body += request.body
        if parser.is_streaming:
            received_body += parser.take_part()
    assert request is not None and bytes(received_body) == body and not parser.is_streaming
    assert request.is_complete == (size <= http1.MAX_BUFFERED_BODY_BYTES)
    following = parser.next()
    assert following is not None and following.target == b"/next"


def test_a_chunked_body_over_the_limit_is_rejected() -> None:
    parser = http1.RequestParser(max_body_bytes=100_000)
    parser.feed(request_head("take", b"Transfer-Encoding: chunked") + b"11170\r\n" + bytes(70000))
    assert (request := parser.next()) is not None and not request.is_complete
    parser.feed(b"\r\n11170\r\n")
    with pytest.raises(http1.MessageError) as caught:
        parser.take_part()
    assert caught.value.status == 413


def test_a_response_without_a_length_ends_with_its_connection() -> None:
    parser = http1.ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\nall of")
    assert not parser.complete
    parser.feed(b" it")
    assert parser.handle_clean_close()
    assert (parser.response().body, parser.response().keep_alive) == (b"all of it", False)
    truncated = http1.ResponseParser()
    truncated.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of")
    assert not truncated.handle_clean_close()


# Upload


def test_an_upload_can_be_resent_until_its_beginning_is_dropped() -> None:
    async def work() -> None:
        budget = MemoryAccount(1 << 30)
        upload = Upload(b"x" * 40000, budget)
        reader = upload.open_reader()
        assert await reader.next_part() == b"x" * 40000
        upload.append(b"y" * 20000)
        assert upload.can_resend  # all 60 000 bytes are still buffered
        reader = upload.open_reader()
        assert await reader.next_part() == b"x" * 40000
        upload.append(b"z" * 20000)
        assert not upload.can_resend and budget.held_bytes == 40000
        assert await reader.next_part() == b"y" * 20000
        assert await reader.next_part() == b"z" * 20000
        upload.finish(complete=True)
        assert await reader.next_part() is None
        upload.release()
        assert budget.held_bytes == 0
        upload.append(b"late")  # dropped
        assert budget.held_bytes == 0

    b.run(work())


def test_reading_an_upload_fails_when_its_client_has_gone() -> None:
    async def work() -> None:
        upload = Upload(b"x", MemoryAccount(1 << 30))
        reader = upload.open_reader()
        assert await reader.next_part() == b"x"
        waiting = asyncio.create_task(reader.next_part())
        await asyncio.sleep(0)
        upload.finish(complete=False)
        with pytest.raises(UploadEndedError):
            await waiting

    b.run(work())


def test_an_attempt_that_has_ended_takes_no_part_of_its_successors_body() -> None:
    async def work() -> None:
        upload = Upload(b"first", MemoryAccount(1 << 30))
        reader = upload.open_reader()
        assert await reader.next_part() == b"first"
        waiting = asyncio.create_task(reader.next_part())
        await asyncio.sleep(0)
        upload.append(b"second")
        successor = upload.open_reader()
        assert await successor.next_part() == b"first"
        with pytest.raises(UploadEndedError):
            await waiting
        assert await successor.next_part() == b"second"

    b.run(work())


def test_a_used_up_memory_budget_reduces_read_ahead_and_read_size() -> None:
    budget = MemoryAccount(128 << 20)
    upload = Upload(b"x" * http1.MAX_BUFFERED_BODY_BYTES, budget)
    upload.append(b"x" * 1000)
    assert not upload.is_full and budget.read_size == LARGE_READ_BYTES
    budget.reserve(64 << 20, MemoryUse.STREAM)
    assert upload.is_full and budget.read_size == SMALL_READ_BYTES
    budget.release(64 << 20, MemoryUse.STREAM)
    budget.set_other_processes(1 << 12)
    assert upload.is_full
    budget.set_other_processes(0)
    upload.append(b"x" * MAX_UPLOAD_BYTES)
    assert upload.is_full
    upload.release()
    assert (upload.is_full, budget.held_bytes) == (False, 0)


# Through the sidecar


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("expects_continue", [False, True])
def test_a_long_body_reaches_the_endpoint_unchanged(is_chunked: bool, expects_continue: bool) -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            bed.make_times_known()
            client = await bed.client()
            lines = [
                b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % len(LONG_BODY),
                KEY,
            ]
            client.writer.write(
                request_head("book", *lines, *([b"Expect: 100-continue"] if expects_continue else []))
            )
            if expects_continue:
                assert await client.reader.readuntil(b"\r\n\r\n") == http1.CONTINUE_RESPONSE
            for part in split_randomly(encode_chunked(LONG_BODY) if is_chunked else LONG_BODY, 5, 90000):
                client.writer.write(part)
                await client.writer.drain()
                await asyncio.sleep(0)
            answer = await client.read_response()
            assert (answer.status, answer.keep_alive) == (200, True)
            (received,) = one.requests
            assert received.body == LONG_BODY
            assert (await client.call("view")).status == 200  # both connections can be reused
            assert one.connections_opened == 1 and bed.sidecar.memory.held_bytes == 0
            assert bed.sidecar.counters.overdue == bed.sidecar.counters.crashed == 0

    b.run(work())


def test_deadline_and_owed_attempt_start_at_the_last_body_byte() -> None:
    """Guards against giving up a request, and counting its server as late, because its upload takes long."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            deadline = b"Req-Deadline: 0.3"
            client.writer.write(request_head("take", b"Content-Length: %d" % len(LONG_BODY), deadline))
            for part in split_randomly(LONG_BODY, 3, 200_000):
                client.writer.write(part)
                await asyncio.sleep(0.1)
            assert (await client.read_response()).status == 200
            server = next(iter(bed.sidecar._balancer._servers.values()))
            assert (server.fails, server.owes) == (0, [])

    b.run(work())


def test_the_progress_timeout_ignores_complete_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """The sweep for incomplete requests once closed 49 connections in a day of bulk uploads.

    It did so 2.4 s after a long body was complete, while the response was still awaited.
    """

    async def work() -> None:
        monkeypatch.setattr("larkcrank.routing.clients.REQUEST_PROGRESS_TIMEOUT_S", 0.05)
        gate = asyncio.Event()
        async with b.bed(b.Endpoint("s-1", b.respond_after(gate))) as bed:
            client = await bed.client()
            client.writer.write(request_head("take", b"Content-Length: %d" % len(LONG_BODY)) + LONG_BODY)
            await b.until(lambda: bool(bed.sidecar._balancer._owed_attempts))
            await asyncio.sleep(0.6)
            gate.set()
            assert (await client.read_response()).status == 200

    b.run(work())


def test_an_upload_that_stalls_times_out_and_never_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.setattr("larkcrank.routing.clients.REQUEST_PROGRESS_TIMEOUT_S", 0.2)
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            client.writer.write(
                request_head("take", b"Content-Length: %d" % len(LONG_BODY)) + LONG_BODY[:200_000]
            )
            assert (await client.read_response()).status == 408
            await b.until(lambda: one.connections_ended == one.connections_opened == 1)
            assert one.requests == []
            counters = bed.sidecar.counters
            assert counters.outcomes["reset"] == counters.outcomes["connect failed"] == 0
            await b.until(
                lambda: not bed.sidecar._driver._open_exchanges and not bed.sidecar.memory.held_bytes
            )
            assert bed.sidecar.clients.open_count == 0

    b.run(work())


def test_a_long_upload_that_the_endpoint_resets_is_refused_and_not_retried() -> None:
    """The forwarded part is no longer buffered. The request can't have run, so the client may retry it."""

    async def work() -> None:
        async def reset(reader: b.Reader, writer: b.Writer) -> None:
            await reader.readexactly(300_000)
            writer.transport.abort()

        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        broken = b.Endpoint("s-1")
        broken.port = server.sockets[0].getsockname()[1]
        async with b.bed(broken) as bed:
            client = await bed.client()
            client.writer.write(
                request_head("take", b"Content-Length: %d" % len(LONG_BODY)) + LONG_BODY[:600_000]
            )
            answer = await client.read_response()
            assert (answer.status, answer.keep_alive) == (503, False)
            client.writer.write(
                LONG_BODY[600_000:]
            )  # read and discarded, so that no reset destroys the response
            assert await client.reader.read() == b""
            assert bed.sidecar.counters.sends == 1
            assert bed.sidecar.counters.outcomes["connect failed"] == 1
            assert bed.sidecar.memory.held_bytes == 0
        server.close()

    b.run(work())


def test_a_long_upload_is_retried_when_a_server_is_unreachable() -> None:
    async def work() -> None:
        closed = b.Endpoint("s-1")
        await closed.start()
        await closed.stop()
        good = b.Endpoint("s-2")
        async with b.bed(closed, good) as bed:
            client = await bed.client()
            for _ in range(3):
                client.writer.write(request_head("take", b"Content-Length: %d" % len(LONG_BODY)) + LONG_BODY)
                assert (await client.read_response()).status == 200
            assert [request.body for request in good.requests] == [LONG_BODY] * 3

    b.run(work())


def test_a_declining_response_during_an_upload_is_handled() -> None:
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
            for _ in range(4):  # the requests alternate between the servers
                client.writer.write(request_head("take", b"Content-Length: 70000") + LONG_BODY[:1000])
                await b.until(lambda: not bed.sidecar._driver._pending_events)
                await asyncio.sleep(0.05)
                client.writer.write(LONG_BODY[1000:70000])
                assert (
                    await client.read_response()
                ).status == 200  # the beginning of the body was still buffered
            assert bed.sidecar.counters.outcomes["rejected"] >= 1
        server.close()

    b.run(work())


@pytest.mark.parametrize("framing_kind", ["length", "chunks", "close"])
@pytest.mark.parametrize("is_http10", [False, True])
def test_a_long_response_is_forwarded_in_every_framing(framing_kind: str, is_http10: bool) -> None:
    async def respond_long(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        framing = {
            "length": b"Content-Length: %d" % len(LONG_BODY),
            "chunks": http1.CHUNKED_LINE,
            "close": b"",
        }[framing_kind]
        writer.write(http1.encode_response_head(200, (b"X-Mine: yes",), framing))
        for part in split_randomly(
            encode_chunked(LONG_BODY) if framing_kind == "chunks" else LONG_BODY, 9, 100_000
        ):
            writer.write(part)
            await asyncio.sleep(0)
        if framing_kind == "close":
            writer.close()

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1", respond_long)) as bed:
            client = await bed.client()
            text = request_head("view", *([b"Connection: keep-alive"] if is_http10 else []), method=b"GET")
            client.writer.write(text.replace(b"HTTP/1.1", b"HTTP/1.0") if is_http10 else text)
            parser, received_body = http1.ResponseParser(), bytearray()
            while not parser.complete:
                data = await client.reader.read(65536)
                parser.feed(data)
                received_body += parser.take_body()
                if not data:
                    assert parser.handle_clean_close()
            assert bytes(received_body) == LONG_BODY
            assert parser.head is not None and parser.head.fields.get_single(b"x-mine") == b"yes"
            content_length = parser.head.fields.get_single(b"content-length")
            assert content_length == (b"%d" % len(LONG_BODY) if framing_kind == "length" else None)
            if is_http10:
                assert not parser.head.fields.get_all(b"transfer-encoding")
            expected = [b"keep-alive"] if is_http10 and framing_kind == "length" else []
            assert parser.head.fields.get_list(b"connection") == (
                expected or ([b"close"] if is_http10 else [])
            )
            assert (bed.sidecar.counters.served, bed.sidecar.memory.held_bytes) == (1, 0)

    b.run(work())


def test_a_long_response_is_forwarded_while_it_is_produced() -> None:
    async def work() -> None:
        gate = asyncio.Event()

        async def respond_slowly(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: 100000") + LONG_BODY[:1000])
            await gate.wait()
            writer.write(LONG_BODY[1000:100_000])

        async with b.bed(b.Endpoint("s-1", respond_slowly)) as bed:
            client = await bed.client()
            client.send("view", 0.3)  # the deadline passes before the response ends
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(1000) == LONG_BODY[:1000]
            await asyncio.sleep(0.5)
            server = next(iter(bed.sidecar._balancer._servers.values()))
            assert (server.fails, server.owes, bed.sidecar._balancer._owed_attempts) == (0, [], {})
            gate.set()
            assert await client.reader.readexactly(99_000) == LONG_BODY[1000:100_000]

    b.run(work())


def test_a_truncated_short_response_is_retried_and_a_long_one_is_passed_on_as_truncated() -> None:
    async def respond_half(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        length = 50 if request.target.endswith(b"short") else 100_000
        writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % length) + b"half")
        await writer.drain()
        writer.close()

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1", respond_half), b.Endpoint("s-2")) as bed:
            client = await bed.client()
            for _ in range(4):
                client.writer.write(request_head("view/short", method=b"GET"))
                answer = await client.read_response()
                assert (answer.status, answer.fields.get_single(b"x-from")) == (200, b"s-2")
        async with b.bed(b.Endpoint("s-1", respond_half)) as bed:
            client = await bed.client()
            client.writer.write(request_head("view/long", method=b"GET"))
            with pytest.raises(ConnectionError):
                await client.read_response()
            assert bed.sidecar.clients.open_count == 0

    b.run(work())


def test_many_long_bodies_with_slow_peers_stay_within_the_memory_budget() -> None:
    """40 concurrent requests with 4 MiB each way are 320 MiB, but only the budget may be buffered."""
    size = 4 << 20

    async def work() -> None:
        async def respond_slowly(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % size))
            for _ in range(size // len(LONG_BODY)):
                writer.write(LONG_BODY)
                await writer.drain()

        one = b.Endpoint("s-1", respond_slowly)
        async with b.bed(one, memory_mb=32) as bed:

            async def upload_and_download(client: b.Client) -> int:
                client.writer.write(request_head("take", b"Content-Length: %d" % size))
                for _ in range(size // len(LONG_BODY)):
                    client.writer.write(LONG_BODY)
                    await client.writer.drain()
                    await asyncio.sleep(0.01)
                await client.reader.readuntil(b"\r\n\r\n")
                received = 0
                while received < size:
                    received += len(await client.reader.read(1 << 20))
                    await asyncio.sleep(0.001)
                return received

            clients = [await bed.client() for _ in range(40)]
            assert await asyncio.gather(*map(upload_and_download, clients)) == [size] * 40
            assert bed.sidecar.memory.peak_held_bytes < 16 << 20
            assert bed.sidecar.memory.held_bytes == 0
            assert bed.sidecar.counters.crashed == 0

    b.run(work())


def test_all_that_long_answers_to_slow_clients_hold_counts_as_held() -> None:
    """Guards against reads that stay large, since only a part of each answer is counted."""
    client_count, body_bytes = 12, 30 << 20

    async def work() -> None:
        async def respond_endlessly(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % body_bytes))
            with suppress(ConnectionError):
                for _ in range(body_bytes // len(LONG_BODY)):
                    writer.write(LONG_BODY)
                    await writer.drain()

        endpoint = b.Endpoint("s-1", respond_endlessly)
        async with b.bed(endpoint) as bed:
            clients = [await bed.client() for _ in range(client_count)]
            for client in clients:
                client.send("view")
            held_bytes_per_answer = READS_HELD_PER_STREAM * LARGE_READ_BYTES
            counters, memory = bed.sidecar.counters, bed.sidecar.memory
            await b.until(lambda: counters.served >= 2)
            await b.until(lambda: memory.held_by_use()["streams"] >= counters.served * held_bytes_per_answer)
            for client in clients:
                client.close()
            await b.until(lambda: bed.sidecar.memory.held_bytes == 0)

    b.run(work())


def test_a_client_that_does_not_read_its_response_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.setattr("larkcrank.routing.response_writer.CLIENT_WRITE_TIMEOUT_S", 0.2)
        one = b.Endpoint("s-1")

        async def respond_endlessly(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: %d" % (30 << 20)))
            try:
                for _ in range(30):
                    writer.write(LONG_BODY)
                    await writer.drain()
            except ConnectionError:
                pass

        one.serve = respond_endlessly
        async with b.bed(one) as bed:
            client = await bed.client()
            client.send("view")
            await b.until(lambda: one.connections_ended == 1 and bed.sidecar.clients.open_count == 0)
            assert bed.sidecar.memory.held_bytes == 0
            client.close()

    b.run(work())


def test_unusual_but_valid_request_forms_are_accepted() -> None:
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
            for _ in range(4):  # pipelined requests are answered in order
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
                await client.reader.readexactly(length)
            first, second, third = one.requests
            assert (first.target, first.fields.get_all(b"host")) == (b"/view/a?b=/c", [b"Backend.local:80"])
            assert not second.fields.get_all(b"x-hop")
            assert third.target == b"/?view"
            http10_client = await bed.client()
            http10_client.writer.write(b"GET /view/3 HTTP/1.0\r\nReq-Id: f4\r\n\r\n")
            answer = await http10_client.read_response()
            assert (answer.status, answer.fields.get_list(b"connection")) == (200, [b"close"])

    b.run(work())


def test_a_truncated_close_delimited_response_ends_in_a_reset() -> None:
    async def work() -> None:
        async def respond_truncated(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response_head(200, (), b"Content-Length: 200000") + LONG_BODY[:100_000])
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        async with b.bed(b.Endpoint("s-1", respond_truncated)) as bed:
            client = await bed.client()
            client.writer.write(request_head("view", method=b"GET").replace(b"HTTP/1.1", b"HTTP/1.0"))
            with pytest.raises(ConnectionResetError):
                await client.reader.read(-1)

    b.run(work())


def test_a_client_that_reads_slowly_but_steadily_is_not_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each part of the answer takes longer than the time for which a client may take nothing."""
    monkeypatch.setattr("larkcrank.routing.response_writer.CLIENT_WRITE_TIMEOUT_S", 0.8)

    async def work() -> None:
        async def respond_long(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            writer.write(http1.encode_response(200, (), LONG_BODY[:300_000]))

        async with b.bed(b.Endpoint("s-1", respond_long)) as bed:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, bed.sidecar.listen_address)
            client = b.Client(*await asyncio.open_connection(sock=sock, limit=4096))
            client.send("view")
            received = 0
            while received < 300_000:
                data = await client.reader.read(4096)
                assert data, bed.sidecar.counters.client_closes
                received += len(data)
                await asyncio.sleep(0.1)
            assert bed.sidecar.counters.client_closes == {}

    b.run(work())
