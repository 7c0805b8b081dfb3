"""What one process of a sidecar is told binds the others: lists, generations and moves of discovery."""

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Any

import pytest

from larkcrank.core.interface import State
from larkcrank.program import handover
from larkcrank.program.counters import Counters
from larkcrank.program.process_link import MAX_UNSENT_BYTES, ProcessLink
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.protocol.process_messages import (
    DiscoveryMove,
    MessageKind,
    MessageParser,
    News,
    NewsAssembler,
    ProcessMessage,
    SharedList,
    encode,
    news_messages,
)
from larkcrank.routing.discovery import DiscoveryClient, SharedListUse
from larkcrank.routing.request_ids import RequestIds
from larkcrank.transport.descriptors import DescriptorBudget
from larkcrank.transport.memory import MemoryAccount
from tests import bed as b
from tests import upgrade_bed
from tests.upgrade_bed import Failure

DISCOVERY = "127.0.0.1:9"


def list_text(generation: int, lifecycle: str = "Terminating", is_full: bool = False) -> bytes:
    instances = [{"instanceId": "s-0", "hostPort": "127.0.0.1:1", "lifecycle": lifecycle}]
    return json.dumps({"generation": generation, "reset": is_full, "instances": instances}).encode()


def client(lists: list[ListUpdate], generation: int | None = 40) -> DiscoveryClient:
    discovery = DiscoveryClient(
        ("127.0.0.1", 9),
        DescriptorBudget(64),
        NameTable([], []),
        100.0,
        True,
        Random(1),
        Counters(),
        lambda *_: None,
    )
    discovery.set_generation(generation)
    discovery.on_shared_list = lists.append
    return discovery


@pytest.mark.parametrize(
    ("shared_list", "use", "generation"),
    [
        (SharedList(DISCOVERY, 40, list_text(41)), SharedListUse.APPLIED, 41),
        (SharedList(DISCOVERY, 39, list_text(42)), SharedListUse.APPLIED, 42),
        (SharedList(DISCOVERY, None, list_text(41)), SharedListUse.APPLIED, 41),
        (SharedList(DISCOVERY, 43, list_text(44, is_full=True)), SharedListUse.APPLIED, 44),
        (SharedList(DISCOVERY, 43, list_text(44)), SharedListUse.APPLIED, 40),  # 41 to 43 are missing here
        (SharedList(DISCOVERY, 39, list_text(40)), SharedListUse.OUTDATED, 40),
        (SharedList(DISCOVERY, None, list_text(12)), SharedListUse.OUTDATED, 40),
        (SharedList("127.0.0.1:8", 40, list_text(41)), SharedListUse.OTHER_DISCOVERY, 40),
        (SharedList(DISCOVERY, 40, b"{"), SharedListUse.MALFORMED, 40),
    ],
)
def test_a_shared_list_binds_unless_it_is_late_or_of_another_discovery(
    shared_list: SharedList, use: SharedListUse, generation: int
) -> None:
    async def work() -> None:
        lists: list[ListUpdate] = []
        discovery = client(lists)
        assert discovery.receive_shared(shared_list) is use
        assert discovery.generation == generation
        assert [update.endpoints[0].state for update in lists] == [State.DRAINING] * (
            use is SharedListUse.APPLIED
        )
        if generation > 40:
            assert discovery.receive_shared(shared_list) is SharedListUse.OUTDATED and len(lists) == 1

    b.run(work())


def test_an_answer_that_is_older_than_a_shared_list_is_dropped() -> None:
    async def work() -> None:
        is_asked = asyncio.Event()
        may_answer = asyncio.Event()

        async def answer(reader: b.Reader, writer: b.Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            is_asked.set()
            await may_answer.wait()
            body = list_text(41, "Ready", is_full=True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        shared: list[ListUpdate] = []
        answered: list[ListUpdate] = []
        discovery = client(shared)
        discovery.move_to(server.sockets[0].getsockname())
        discovery.on_list = answered.append
        discovery.watch()
        await is_asked.wait()
        address = "{}:{}".format(*discovery.primary)
        assert discovery.receive_shared(SharedList(address, None, list_text(42))) is SharedListUse.APPLIED
        may_answer.set()
        await b.until(lambda: discovery._counters.lists > 0)
        assert (len(shared), answered, discovery.generation) == (1, [], 42)
        discovery.close()
        server.close()

    b.run(work())


def test_news_are_put_together_from_their_parts() -> None:
    assembler = NewsAssembler()
    for news in (SharedList(DISCOVERY, 4, bytes(3_000_000)), DiscoveryMove(DISCOVERY, ["a:1"])):
        *beginning, end = news_messages(news)
        assert all(assembler.add(message) is None for message in beginning)
        assert assembler.add(end) == news
    assert assembler.add(ProcessMessage(MessageKind.NEWS_PART, 0, b"of a later build")) is None


async def open_link(path: Path, news: list[News]) -> tuple[handover.HandoverServer, b.Reader, b.Writer]:
    """Return a process's handover server and the connection of a successor that has read the message."""
    ids = RequestIds(MemoryAccount(1 << 30), kept_s=1.0)
    server = handover.HandoverServer(
        path, lambda: b"hello", lambda _: None, ids, lambda one, _: news.append(one)
    )
    await server.start()
    reader, writer = await asyncio.open_unix_connection(str(path))
    assert await reader.readexactly(5) == b"hello"
    return server, reader, writer


def test_a_successor_gets_news_once_it_has_said_that_it_understands_them(tmp_path: Path) -> None:
    async def work() -> None:
        news: list[News] = []
        server, reader, writer = await open_link(tmp_path / "socket", news)
        (link,) = server.links
        shared_list = SharedList(DISCOVERY, 40, list_text(41))
        assert link.share(shared_list)
        server.tell_known("id")
        parser = MessageParser()
        (known,) = parser.feed(await reader.read(1000))  # an older build would end the connection at news
        assert known.kind is MessageKind.KNOWN
        writer.write(encode(ProcessMessage(MessageKind.SHARES_NEWS)))
        (part,) = parser.feed(await reader.read(1000))
        assert NewsAssembler().add(part) == shared_list
        writer.write(b"".join(map(encode, news_messages(shared_list))))
        await b.until(lambda: news == [shared_list])
        writer.close()
        await b.until(lambda: not server.links)
        server.close()

    b.run(work())


def test_news_never_wait_for_a_process_that_reads_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        server, reader, writer = await open_link(tmp_path / "socket", [])
        (link,) = server.links
        link.enable_news()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        shared_list = SharedList(DISCOVERY, 40, bytes(3 << 20))
        assert [link.share(shared_list) for _ in range(5)] == [True, True, False, False, False]
        assert link._writer.transport.get_write_buffer_size() <= MAX_UNSENT_BYTES
        writer.close()
        server.close()

    b.run(work())


def test_what_waits_for_a_process_of_an_older_build_is_bounded() -> None:
    link = ProcessLink(writer=None)  # type: ignore[arg-type]
    for _ in range(5):
        link.share(SharedList(DISCOVERY, 40, bytes(3 << 20)))
    assert 0 < link._waiting_bytes <= MAX_UNSENT_BYTES and len(link._waiting_news) == 2


@pytest.mark.parametrize(
    ("failure", "told_after_term_s"),
    [(Failure.RESET, 0.99), (Failure.HANG, -0.3), (Failure.UNAVAILABLE, 0.5)],
)
def test_a_drain_told_to_the_old_process_alone_binds_the_new_one(
    failure: Failure, told_after_term_s: float
) -> None:
    late = asyncio.run(upgrade_bed.play_drain_told_to_old_process(failure, told_after_term_s, watch_s=1.5))
    assert not late


@pytest.mark.parametrize(("count", "teller"), [(2, 0), (2, 1), (3, 0), (3, 2)])
def test_a_drain_told_to_one_of_several_processes_binds_all(count: int, teller: int) -> None:
    assert not asyncio.run(upgrade_bed.play_drain_told_to_new_process(count, teller))


def test_a_process_that_outlives_its_successor_is_found_by_the_next_one() -> None:
    assert not asyncio.run(upgrade_bed.play_drain_after_a_failed_upgrade())


@pytest.mark.parametrize("reloaded", [0, 1])
def test_a_move_of_discovery_that_one_process_is_told_of_binds_the_other(reloaded: int) -> None:
    assert not asyncio.run(upgrade_bed.play_reload_of_one_process(reloaded))


def test_a_process_with_other_settings_takes_the_list_of_the_one_before() -> None:
    async def work() -> list[float]:
        async with upgrade_bed.bed() as running:
            (watch,) = running.discovery.watching()
            running.discovery.change("s-0", "Terminating")
            running.discovery.tell(watch, "s-0")
            told_at = time.monotonic()
            path = running.folder / "config.json"
            config: dict[str, Any] = json.loads(path.read_text())
            config["settings"]["bounds"]["max-retry-after-ms"] = 1000.0
            ready = [entry | {"lifecycle": "Ready"} for entry in running.discovery.entries.values()]
            config["known"] = {"generation": 40, "reset": True, "instances": ready}
            path.write_text(json.dumps(config))
            running.discovery.failure = Failure.HANG
            await running.start_process()
            await asyncio.sleep(upgrade_bed.GRACE_S + 1.0)
            return running.late_arrivals("s-0", told_at)

    assert not asyncio.run(work())


def test_nothing_is_kept_for_a_process_that_has_gone() -> None:
    async def work() -> dict[str, Any]:
        async with upgrade_bed.bed() as running:
            new = await running.start_process()
            running.processes[0].terminate()
            await running.processes[0].wait()
            await upgrade_bed.Bed.next_event(new, "processes")
            for lifecycle in ("Terminating", "Ready"):
                async with asyncio.timeout(10.0):
                    await b.until(lambda: bool(running.discovery.watching()))
                running.discovery.change("s-0", lifecycle)
                running.discovery.tell(running.discovery.watching()[-1], "s-0")
                await upgrade_bed.Bed.next_event(new, "servers_changed")
            new.terminate()
            return await upgrade_bed.Bed.next_event(new, "counters")

    assert asyncio.run(work())["news_dropped"] == 0
