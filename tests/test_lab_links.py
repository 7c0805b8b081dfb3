"""The links between processes and stand-ins: what each fault makes of a connection or a datagram."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import cast

import pytest

from larkcrank.lab.links import DatagramRelay, Link, LinkConnection, LinkDirection, open_datagram_relays
from tests.bed import run, until


class Echo:
    """A far end that keeps what came and sends it back."""

    def __init__(self, link: LinkConnection) -> None:
        self.link, self.got, self.is_lost = link, b"", False

    def handle_data(self, data: bytes) -> None:
        self.got += data
        self.link.write(data)

    def handle_close(self) -> None:
        self.is_lost = True


class Bed:
    def __init__(self) -> None:
        self.up, self.down = LinkDirection(Random(1)), LinkDirection(Random(2))
        self.ends: list[Echo] = []
        self.link = Link(self.up, self.down, self.connected, lambda: 0.0)

    def connected(self, connection: LinkConnection) -> Echo:
        self.ends.append(Echo(connection))
        return self.ends[-1]

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.link.ports[-1])


@asynccontextmanager
async def bed() -> AsyncIterator[Bed]:
    one = Bed()
    try:
        yield one
    finally:
        one.link.close()


def test_what_goes_in_comes_out() -> None:
    async def play() -> None:
        async with bed() as one:
            reader, writer = await one.open()
            writer.write(b"there and back")
            assert await reader.readexactly(14) == b"there and back"
            writer.close()
            await until(lambda: one.ends[0].is_lost)
            assert not one.link.connections

    run(play())


@pytest.mark.parametrize("which", ["up", "down"])
def test_a_cut_is_silent_and_loses_nothing(which: str) -> None:
    async def play() -> None:
        async with bed() as one:
            reader, writer = await one.open()
            writer.write(b"a")
            assert await reader.readexactly(1) == b"a"
            getattr(one, which).cut = True
            one.link.apply_faults()
            writer.write(b"b")
            answer = asyncio.create_task(reader.readexactly(1))
            await asyncio.sleep(0.1)
            assert not answer.done()  # neither an answer nor an end
            assert one.ends[0].got == (b"a" if which == "up" else b"ab")
            # A new connection is neither taken nor refused.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", one.link.ports[-1]))
            await asyncio.sleep(0.1)
            with pytest.raises(OSError):
                sock.getpeername()
            sock.close()
            getattr(one, which).cut = False
            one.link.apply_faults()
            assert await answer == b"b"
            assert len(one.ends) == 1  # the connection that filled the queue was none of a sidecar's
            writer.close()

    run(play())


def test_an_end_waits_behind_a_cut() -> None:
    async def play() -> None:
        async with bed() as one:
            reader, writer = await one.open()
            writer.write(b"a")
            await reader.readexactly(1)
            one.down.cut = True
            one.link.apply_faults()
            one.ends[0].link.close(reset=True)
            end = asyncio.create_task(reader.read(1))
            await asyncio.sleep(0.05)
            assert not end.done()
            one.down.cut = False
            one.link.apply_faults()
            with pytest.raises(ConnectionError):
                await end

    run(play())


def test_refused_and_dead_ends() -> None:
    async def play() -> None:
        async with bed() as one:
            reader, writer = await one.open()
            writer.write(b"a")
            await reader.readexactly(1)
            one.up.refuse = True
            one.link.apply_faults()
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)
            with pytest.raises(ConnectionRefusedError):
                await one.open()
            one.up.refuse = False
            one.link.far_end_listening = False
            one.link.apply_faults()
            with pytest.raises(ConnectionRefusedError):
                await one.open()
            one.link.far_end_listening = True
            one.link.apply_faults()
            _, writer = await one.open()
            writer.close()

    run(play())


def test_a_moved_far_end_leaves_its_address() -> None:
    async def play() -> None:
        async with bed() as one:
            before = one.link.ports[-1]
            one.link.move_to_new_port()
            assert one.link.ports[-1] != before
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", before)
            _, writer = await one.open()
            writer.close()

    run(play())


def test_a_slow_way_keeps_the_order_and_takes_its_time() -> None:
    async def play() -> None:
        async with bed() as one:
            loop = asyncio.get_running_loop()
            one.up.delay_s, one.up.jitter_s, one.up.loss = 0.03, 0.03, 0.3
            reader, writer = await one.open()
            began = loop.time()
            for number in range(20):
                writer.write(b"%02d" % number)
                await asyncio.sleep(0.001)
            text = await reader.readexactly(40)
            assert text == b"".join(b"%02d" % number for number in range(20))
            assert loop.time() - began >= 0.06  # the hand-shake's round trip and the bytes' own way
            writer.close()

    run(play())


def test_a_narrow_way() -> None:
    way = LinkDirection(Random(1))
    way.bytes_per_s = 1000.0
    assert [way.delivery_time(10.0, 500) for _ in range(3)] == [10.5, 11.0, 11.5]


def test_lost_segments_come_later() -> None:
    way = LinkDirection(Random(1))
    way.loss = 0.2
    waits = [way.delivery_time(0.0, 1000) for _ in range(2000)]
    assert 0.75 < waits.count(0.0) / len(waits) < 0.85
    assert any(wait >= 0.6 for wait in waits)  # lost twice in a row: the time doubles


class Member(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[tuple[bytes, tuple[str, int]]] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.got.append((data, addr))

    def send(self, data: bytes, to: DatagramRelay) -> None:
        assert self.transport is not None
        self.transport.sendto(data, to.public_address)


def test_datagrams_go_by_the_way_of_their_pair() -> None:
    async def play() -> None:
        ways = {(i, j): LinkDirection(Random(i * 3 + j)) for i in range(3) for j in range(3)}
        relays = await open_datagram_relays(3, lambda i, j: ways[i, j])
        members: list[Member] = []
        for relay in relays:
            member = Member()
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda member=member: member,  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            members.append(member)
            relay.member_address = transport.get_extra_info("sockname")
        try:
            ways[0, 2].cut = True  # one way, of one pair
            ways[1, 2].duplicate = 1.0
            for data, source, to in ((b"a", 0, 1), (b"b", 0, 2), (b"c", 1, 2), (b"d", 2, 0)):
                members[source].send(data, relays[to])
            await until(lambda: len(members[2].got) == 2 and bool(members[0].got) and bool(members[1].got))
            assert members[1].got == [(b"a", relays[0].public_address)]  # by the sender's public address
            assert members[2].got == [(b"c", relays[1].public_address)] * 2
            assert members[0].got == [(b"d", relays[2].public_address)]
            stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stranger.sendto(b"x", relays[0].public_address)
            await until(lambda: relays[0].unknown_senders == 1)
            stranger.close()
        finally:
            for opened in [one.transport for one in relays] + [one.transport for one in members]:
                assert opened is not None
                opened.close()

    run(play())


def shares(way: LinkDirection, test: Callable[[list[float]], bool]) -> float:
    return sum(test(way.datagram_delivery_times(0.0)) for _ in range(4000)) / 4000


def test_datagrams_are_lost_doubled_and_overtaken_at_the_stated_share() -> None:
    way = LinkDirection(Random(3))
    way.loss = 0.3
    assert 0.27 < shares(way, lambda times: not times) < 0.33
    way.loss, way.duplicate = 0.0, 0.2
    assert 0.17 < shares(way, lambda times: len(times) == 2) < 0.23
    way.duplicate, way.reorder = 0.0, 0.25
    assert 0.2 < shares(way, lambda times: times[0] > 0.0) < 0.3
    way.cut = True
    assert way.datagram_delivery_times(0.0) == []
