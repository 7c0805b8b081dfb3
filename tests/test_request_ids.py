"""Tests of request ids that come again."""

import asyncio
import signal
import time
from pathlib import Path

import pytest

from larkcrank.program import handover
from larkcrank.protocol import process_messages
from larkcrank.protocol.process_messages import MessageKind, MessageParser, id_message
from larkcrank.routing.request_ids import ENTRY_BYTES, RequestIds
from larkcrank.transport.memory import MemoryAccount
from tests import bed as b
from tests import hostile_bed as bed

REPEATS = 6
WORK_S = 0.5
UNSAFE = f"/reserve/1?delay={WORK_S}"


def test_an_id_is_remembered_for_a_period_and_then_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        now = 100.0
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now)
        memory = MemoryAccount(1 << 30)
        ids = RequestIds(memory, kept_s=9.0)
        ids.begin("a", is_shared=True)
        now += 1000.0
        assert "a" in ids
        ids.end("a", must_remember=True)
        now += 9.9
        assert "a" in ids and len(ids) == 1
        now += 20.0
        assert "a" not in ids and memory.total_bytes == 0
        monkeypatch.undo()

    asyncio.run(work())


def test_the_oldest_ids_are_forgotten_first_where_memory_is_short() -> None:
    async def work() -> None:
        memory = MemoryAccount(16 << 20)
        ids = RequestIds(memory, kept_s=60.0)
        count = int(memory.capacity_bytes) // ENTRY_BYTES
        for number in range(count):
            ids.remember(f"{number}")
        assert memory.total_bytes < memory.capacity_bytes * 0.11
        assert f"{count - 1}" in ids and "0" not in ids and ids.forgotten_early > 0

    asyncio.run(work())


def test_messages_are_parsed_however_they_are_split() -> None:
    messages = [id_message(kind, "id" * kind.value, kind.value) for kind in MessageKind]
    text = b"".join(map(process_messages.encode, messages))
    parser = MessageParser()
    assert [message for byte in text for message in parser.feed(bytes((byte,)))] == messages
    with pytest.raises(ValueError, match="9"):
        parser.feed(b"\x09" + bytes(6))


def test_a_claim_is_granted_once_and_all_ids_are_known_after_the_predecessor(tmp_path: Path) -> None:
    async def work() -> None:
        path = handover.socket_path(str(tmp_path), "n0")
        ids = RequestIds(MemoryAccount(1 << 30), kept_s=9.0)
        ids.begin("before", is_shared=True)
        server = handover.HandoverServer(path, lambda: b"", lambda _: None, ids)
        ids.on_begin = server.tell_known
        await server.start()
        predecessor = await handover.connect_to_predecessor(path)
        assert predecessor is not None
        known_ids: list[str] = []
        exited = asyncio.Event()
        predecessor.watch(exited.set, known_ids.append)
        assert not await predecessor.claim("before")
        assert await predecessor.claim("new")
        assert "new" in ids and not await predecessor.claim("new")
        ids.begin("late", is_shared=True)
        await b.until(lambda: known_ids == ["before", "late"])
        server.close()
        await exited.wait()

    b.run(work())


async def leave(
    stage: bed.Stage, request_id: str, connection: tuple[b.Reader, b.Writer] | None = None
) -> None:
    """Send an unsafe request and close its connection while it is in work."""
    _, writer = connection or await asyncio.open_connection("127.0.0.1", stage.port)
    writer.write(bed.encode_head("POST", UNSAFE, request_id, 8.0, "Content-Length: 0"))
    await asyncio.sleep(0.15)
    writer.close()


def runs_by_id(stage: bed.Stage, request_ids: list[str]) -> list[int]:
    runs = [run.request_id for run in stage.runs()]
    return [runs.count(request_id) for request_id in request_ids]


@pytest.mark.parametrize("wait_s", [0.05, 0.6])
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(wait_s: float) -> None:
    async def play() -> list[int]:
        async with bed.stage() as stage:
            request_ids = [bed.new_id() for _ in range(REPEATS)]
            for request_id in request_ids:
                await leave(stage, request_id)
                await asyncio.sleep(wait_s)
                answer = bed.Answer(request_id, time.monotonic())
                await bed.ask(stage.port, "POST", UNSAFE, 8.0, answer=answer)
                assert answer.status == 409
            await asyncio.sleep(2 * WORK_S)
            return runs_by_id(stage, request_ids)

    assert asyncio.run(play()) == [1] * REPEATS


def test_an_id_in_work_at_one_process_does_not_run_at_its_successor() -> None:
    async def play() -> list[int]:
        async with bed.stage(is_replaceable=True) as stage:
            connections = [await asyncio.open_connection("127.0.0.1", stage.port) for _ in range(REPEATS)]
            await asyncio.sleep(0.2)
            await stage.start_process()
            stage.processes[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            request_ids = [bed.new_id() for _ in range(REPEATS)]
            await asyncio.gather(
                *(
                    leave(stage, request_id, connection)
                    for request_id, connection in zip(request_ids, connections, strict=True)
                )
            )
            for request_id in request_ids:
                answer = bed.Answer(request_id, time.monotonic())
                await bed.ask(stage.port, "POST", UNSAFE, 8.0, answer=answer)
            await asyncio.sleep(2 * WORK_S)
            return runs_by_id(stage, request_ids)

    assert asyncio.run(play()) == [1] * REPEATS
