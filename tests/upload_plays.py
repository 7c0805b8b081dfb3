"""Long uploads to endpoints that answer early, reset, stop reading or read slowly.

`python -m tests.upload_plays [NAME ...]` plays them and prints what became of them.

Real processes over loopback. A client reads its answer while it still writes, and notes when the system
accepted its last byte.
"""

import asyncio
import contextlib
import sys
import time
from collections import Counter
from dataclasses import dataclass

from tests import hostile_bed as bed
from tests.hostile_bed import Answer
from tests.hostile_endpoints import answer_body

MAX_LATENESS_S = 0.5
CLIENT_WAIT_S = 16.0  # before a client gives up
CHUNK_BYTES = 30_000


@dataclass(frozen=True)
class Upload:
    """One request with a long body."""

    target: str
    size: int
    is_chunked: bool = False
    seconds: float = 0.0  # over which the client spreads its body
    deadline_s: float = 1.2
    pieces: int = 64  # in which it writes its body


async def send(port: int, upload: Upload, wait_s: float = CLIENT_WAIT_S) -> Answer:
    """Send one request on a new connection and return its answer, with the time of the last byte."""
    answer = Answer(bed.new_id(), sent_at=float("inf"))
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writing = asyncio.create_task(_write(writer, upload, answer))
    try:
        async with asyncio.timeout(wait_s + upload.seconds):
            await bed.read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        answer.ended_at = time.monotonic()
    finally:
        writing.cancel()
        await asyncio.wait((writing,))
        writer.transport.abort()
    return answer


async def _write(writer: asyncio.StreamWriter, upload: Upload, answer: Answer) -> None:
    framing = "Transfer-Encoding: chunked" if upload.is_chunked else f"Content-Length: {upload.size}"
    writer.transport.set_write_buffer_limits(0)
    writer.write(bed.encode_head("POST", upload.target, answer.request_id, upload.deadline_s, framing))
    piece_bytes = -(-upload.size // upload.pieces)
    with contextlib.suppress(OSError):
        for start in range(0, upload.size, piece_bytes):
            piece = bytes(min(piece_bytes, upload.size - start))
            writer.write(_encode_chunks(piece) if upload.is_chunked else piece)
            await writer.drain()
            if upload.seconds:
                await asyncio.sleep(upload.seconds / upload.pieces)
        if upload.is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        answer.sent_at = time.monotonic()


def _encode_chunks(data: bytes) -> bytes:
    parts = (data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def describe(answer: Answer, size: int = 0) -> str:
    """Return what became of a request; `size` is that of the whole answer, if it is known."""
    if not answer.status:
        return "no answer"
    if not answer.is_whole:
        return f"{answer.status} cut"
    if answer.status == 200 and answer.body != answer_body(answer.request_id, size or len(answer.body)):
        return "200 PIECE TAKEN FOR WHOLE"
    return f"{answer.status}{' LATE' if is_late(answer, 1.2) else ''}"


def is_late(answer: Answer, deadline_s: float) -> bool:
    """Return whether an answer came too late, or never."""
    return not answer.is_whole or answer.seconds > deadline_s + MAX_LATENESS_S


async def play(memory_mb: float, upload: Upload, count: int, at_once: int, size: int = 0) -> str:
    """Send the same upload `count` times, and return what became of them in words."""
    places = asyncio.Semaphore(at_once)

    async with bed.stage(memory_mb) as stage:
        stage.is_honest_client_paused = True

        async def send_one() -> Answer:
            async with places:
                return await send(stage.port, upload)

        answers = await asyncio.gather(*(send_one() for _ in range(count)))
        ends = Counter(describe(answer, size) for answer in answers)
        times = [answer.seconds for answer in answers if answer.sent_at < float("inf")]
        worst = f"{max(times):.1f} s" if times else "none had sent its last byte"
        counters = await stage.counters()
        return f"{memory_mb:g} MB, {upload}: {dict(ends)}, slowest {worst}; closes {counters['closes']}"


CUT = "/reserve/1?read_limit={}&size={}&framing={}&delay=0.01&reset_after={}&lumps={}&seconds={}"
STUCK = "/reserve/1?read_limit=18975&is_silent=true"
RATE = "/reserve/1?read_rate={}"
SLOW = "/reserve/1?read_rate=64000"
PLAYS: dict[str, tuple[float, Upload, int, int, int]] = {
    "cut-3m": (192, Upload(CUT.format(60_000, 253_025, "close", 126_512, 1, 0), 3_000_000), 64, 4, 253_025),
    "cut-3m-steps": (
        192,
        Upload(CUT.format(60_000, 253_025, "close", 126_512, 36, 0.072), 3_000_000),
        64,
        4,
        253_025,
    ),
    "cut-400k": (192, Upload(CUT.format(30_000, 60_000, "close", 30_000, 1, 0), 400_000), 64, 4, 60_000),
    "cut-32m": (
        32,
        Upload(CUT.format(60_000, 253_025, "close", 126_512, 36, 0.072), 3_000_000),
        64,
        4,
        253_025,
    ),
    "stuck-chunked-32": (32, Upload(STUCK, 1_974_670, True), 6, 2, 0),
    "stuck-chunked-64": (64, Upload(STUCK, 1_974_670, True), 6, 2, 0),
    "stuck-chunked-192": (192, Upload(STUCK, 6_000_000, True), 6, 2, 0),
    "stuck-sized-48": (48, Upload(STUCK, 1_974_670), 6, 2, 0),
    "stuck-slow-client": (32, Upload(STUCK, 1_974_670, True, 4.9), 6, 2, 0),
    "slow-48": (48, Upload(SLOW, 2_000_000), 4, 2, 0),
    "slow-32": (32, Upload(SLOW, 2_000_000), 4, 2, 0),
    "slow-64": (64, Upload(SLOW, 5_000_000), 4, 2, 0),
    "sound-steady": (32, Upload(RATE.format(700_000), 2_000_000, True, 4.9), 6, 2, 0),
    "sound-steady-sized": (32, Upload(RATE.format(700_000), 2_000_000, False, 4.9), 6, 2, 0),
    "sound-fine-steps": (32, Upload(RATE.format(700_000), 2_000_000, True, 4.9, pieces=400), 6, 2, 0),
    "sound-wait-4": (32, Upload(RATE.format(1_000_000), 2_000_000, True, deadline_s=4.0), 6, 2, 0),
    "sound-32m": (64, Upload(RATE.format(12_000_000), 32_000_000, False), 4, 1, 0),
    "sound-32m-chunked": (192, Upload(RATE.format(12_000_000), 32_000_000, True), 4, 1, 0),
    "declines": (192, Upload("/reserve/1?read_limit=30000&declines=true&delay=0", 3_000_000), 16, 2, 0),
}


async def main() -> None:
    for name in sys.argv[1:] or PLAYS:
        memory_mb, upload, count, at_once, size = PLAYS[name]
        print(name, await play(memory_mb, upload, count, at_once, size), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
