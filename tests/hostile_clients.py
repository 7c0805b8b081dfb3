"""Hostile clients. Each shape is the main function of a process, which its parent ends."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random

from tests.hostile_bed import encode_head, new_id

READ_BYTES = 4096
SMALL_BUFFER_BYTES = 16 * 1024  # of a client's socket, so that the kernel does not read for it
DEADLINE_S = 8.0
PAUSE_S = 0.05  # before a client that was refused or cut off comes again

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Play = Callable[[Reader, Writer, Random], Awaitable[None]]


@contextlib.asynccontextmanager
async def _connection(port: int) -> AsyncIterator[tuple[Reader, Writer]]:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def _loop(port: int, play: Play, rng: Random) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            async with _connection(port) as (reader, writer):
                await play(reader, writer, rng)
        await asyncio.sleep(PAUSE_S)


def _run(port: int, count: int, play: Play, seed: int) -> None:
    async def run_all() -> None:
        await asyncio.gather(*(_loop(port, play, Random(seed * 1000 + number)) for number in range(count)))

    asyncio.run(run_all())


async def _read_slowly(reader: Reader, rng: Random, max_pause_s: float) -> None:
    while await reader.read(READ_BYTES):
        await asyncio.sleep(rng.uniform(0.0, max_pause_s))


def many_fields(port: int, count: int, field_count: int, seed: int = 1) -> None:
    """Heads of many short fields, and bodies whose last bytes come late."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        lines = ["a1:"] * field_count
        head = encode_head("POST", "/reserve/1", new_id(), DEADLINE_S, "Content-Length: 60000", *lines)
        writer.write(head + bytes(59_990))
        await writer.drain()
        await asyncio.sleep(1.5)
        writer.write(bytes(10))
        await reader.read(READ_BYTES)

    _run(port, count, play, seed)


def stopped_uploads(port: int, count: int, announced: int, sent: int, seed: int = 1) -> None:
    """Bodies that stop before their end."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        writer.write(
            encode_head("POST", "/reserve/1", new_id(), DEADLINE_S, f"Content-Length: {announced}")
            + bytes(sent)
        )
        await writer.drain()
        await reader.read(READ_BYTES)

    _run(port, count, play, seed)


def slow_readers(port: int, count: int, answer_bytes: int, body_bytes: int, seed: int = 1) -> None:
    """Long answers that are read in small pieces with pauses."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        target = f"/reserve/1?size={answer_bytes}&framing=chunked&lumps=500"
        writer.write(
            encode_head("POST", target, new_id(), DEADLINE_S, f"Content-Length: {body_bytes}")
            + bytes(body_bytes)
        )
        await _read_slowly(reader, rng, max_pause_s=1.0)

    _run(port, count, play, seed)


def short_chunks(port: int, count: int, payload_bytes: int, seed: int = 1) -> None:
    """Bodies in chunks of one byte, as fast as they are taken."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        writer.write(encode_head("POST", "/reserve/1", new_id(), DEADLINE_S, "Transfer-Encoding: chunked"))
        chunks = b"1\r\nx\r\n" * 4096
        for _ in range(payload_bytes // 4096):
            writer.write(chunks)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await reader.read(READ_BYTES)

    _run(port, count, play, seed)


def answers_of_many_fields(port: int, count: int, field_count: int, seed: int = 1) -> None:
    """Requests whose answers have heads of many short fields."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        target = f"/proof/1?head_fields={field_count}&delay=0.3"
        writer.write(encode_head("GET", target, new_id(), DEADLINE_S))
        await _read_slowly(reader, rng, max_pause_s=0.2)

    _run(port, count, play, seed)


def slow_heads(port: int, count: int, seed: int = 1) -> None:
    """Heads of 15 KB that take two seconds."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        head = encode_head("GET", "/proof/1", new_id(), DEADLINE_S, "X-Long: " + "x" * 15_000)
        for number in range(8):
            writer.write(head[number * len(head) // 8 : (number + 1) * len(head) // 8])
            await writer.drain()
            await asyncio.sleep(0.25)
        await reader.read(READ_BYTES)

    _run(port, count, play, seed)


def idle_connections(port: int, count: int, seed: int = 1) -> None:
    """Connections that send nothing."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        await reader.read(READ_BYTES)

    _run(port, count, play, seed)


def _flood(port: int, count: int, make_text: Callable[[], bytes], reads: bool, seed: int) -> None:
    async def drop_answers(reader: Reader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(1 << 16):
                pass

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        dropping = asyncio.create_task(drop_answers(reader)) if reads else None
        try:
            while dropping is None or not dropping.done():
                writer.write(make_text())
                await writer.drain()
        finally:
            if dropping is not None:
                dropping.cancel()

    _run(port, count, play, seed)


def ready_checks(port: int, count: int, seed: int = 1) -> None:
    """Readiness checks sent without waiting, with the answers read."""
    text = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n" * 500
    _flood(port, count, lambda: text, True, seed)


def empty_lines(port: int, count: int, seed: int = 1) -> None:
    """Empty lines without end."""
    text = b"\r\n" * 30_000
    _flood(port, count, lambda: text, True, seed)


def new_names(port: int, count: int, seed: int = 1) -> None:
    """Requests of unknown classes and ids that nobody used before, each on a new connection."""

    async def play(reader: Reader, writer: Writer, rng: Random) -> None:
        writer.write(encode_head("GET", f"/{new_id()}/1", new_id(), DEADLINE_S))
        await reader.read(READ_BYTES)

    _run(port, count, play, seed)
