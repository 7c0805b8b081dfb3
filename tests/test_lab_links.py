"""The links between processes and stand-ins: the effect of each fault on connections and datagrams."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import cast

import pytest

from larkcrank.lab.links import DatagramRelay, Link, LinkConnection, LinkDirection, open_datagram_relays
from tests.bed import run, until


class EchoHandler:
    """A handler that keeps the received data and echoes it."""

    def __init__(self, connection: LinkConnection) -> None:
        self.connection, self.received, self.closed = connection, b"", False

    def handle_data(self, data: bytes) -> None:
        self.received += data
        self.connection.write(data)

    def handle_close(self) -> None:
        self.closed = True


class LinkFixture:
    """A link whose connections are answered by echo handlers."""

    def __init__(self) -> None:
        self.forward, self.backward = LinkDirection(Random(1)), LinkDirection(Random(2))
        self.handlers: list[EchoHandler] = []
        self.link = Link(self.forward, self.backward, self.make_handler, lambda: 0.0)

    def make_handler(self, connection: LinkConnection) -> EchoHandler:
        self.handlers.append(EchoHandler(connection))
        return self.handlers[-1]

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.link.ports[-1])


@asynccontextmanager
async def open_link() -> AsyncIterator[LinkFixture]:
    fixture = LinkFixture()
    try:
        yield fixture
    finally:
        fixture.link.close()


def test_data_passes_both_ways_and_a_close_ends_the_connection() -> None:
    async def play() -> None:
        async with open_link() as fixture:
            reader, writer = await fixture.connect()
            writer.write(b"there and back")
            assert await reader.readexactly(14) == b"there and back"
            writer.close()
            await until(lambda: fixture.handlers[0].closed)
            assert not fixture.link.connections

    run(play())


@pytest.mark.parametrize("cut_direction", ["forward", "backward"])
def test_a_cut_delays_data_without_loss_and_lets_new_connections_hang(cut_direction: str) -> None:
    async def play() -> None:
        async with open_link() as fixture:
            reader, writer = await fixture.connect()
            writer.write(b"a")
            assert await reader.readexactly(1) == b"a"
            getattr(fixture, cut_direction).cut = True
            fixture.link.apply_faults()
            writer.write(b"b")
            answer = asyncio.create_task(reader.readexactly(1))
            await asyncio.sleep(0.1)
            assert not answer.done()  # neither data nor a close
            assert fixture.handlers[0].received == (b"a" if cut_direction == "forward" else b"ab")
            # A new connection is neither accepted nor refused.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", fixture.link.ports[-1]))
            await asyncio.sleep(0.1)
            with pytest.raises(OSError):
                sock.getpeername()
            sock.close()
            getattr(fixture, cut_direction).cut = False
            fixture.link.apply_faults()
            assert await answer == b"b"
            assert len(fixture.handlers) == 1  # the link's own backlog filler got no handler
            writer.close()

    run(play())


def test_a_reset_is_delivered_only_after_the_cut_ends() -> None:
    async def play() -> None:
        async with open_link() as fixture:
            reader, writer = await fixture.connect()
            writer.write(b"a")
            await reader.readexactly(1)
            fixture.backward.cut = True
            fixture.link.apply_faults()
            fixture.handlers[0].connection.close(reset=True)
            read_after_reset = asyncio.create_task(reader.read(1))
            await asyncio.sleep(0.05)
            assert not read_after_reset.done()
            fixture.backward.cut = False
            fixture.link.apply_faults()
            with pytest.raises(ConnectionError):
                await read_after_reset

    run(play())


def test_refusing_links_and_stopped_far_ends_refuse_connections() -> None:
    async def play() -> None:
        async with open_link() as fixture:
            reader, writer = await fixture.connect()
            writer.write(b"a")
            await reader.readexactly(1)
            fixture.forward.refuse = True
            fixture.link.apply_faults()
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)
            with pytest.raises(ConnectionRefusedError):
                await fixture.connect()
            fixture.forward.refuse = False
            fixture.link.far_end_listening = False
            fixture.link.apply_faults()
            with pytest.raises(ConnectionRefusedError):
                await fixture.connect()
            fixture.link.far_end_listening = True
            fixture.link.apply_faults()
            _, writer = await fixture.connect()
            writer.close()

    run(play())


def test_a_moved_link_refuses_connections_at_its_old_port() -> None:
    async def play() -> None:
        async with open_link() as fixture:
            old_port = fixture.link.ports[-1]
            fixture.link.move_to_new_port()
            assert fixture.link.ports[-1] != old_port
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", old_port)
            _, writer = await fixture.connect()
            writer.close()

    run(play())


def test_delay_jitter_and_loss_keep_the_byte_order_and_add_the_delay() -> None:
    async def play() -> None:
        async with open_link() as fixture:
            loop = asyncio.get_running_loop()
            fixture.forward.delay_s, fixture.forward.jitter_s, fixture.forward.loss = 0.03, 0.03, 0.3
            reader, writer = await fixture.connect()
            started_at = loop.time()
            for number in range(20):
                writer.write(b"%02d" % number)
                await asyncio.sleep(0.001)
            received = await reader.readexactly(40)
            assert received == b"".join(b"%02d" % number for number in range(20))
            assert loop.time() - started_at >= 0.06  # the handshake's round trip and one delay of the data
            writer.close()

    run(play())


def test_a_bandwidth_limit_spaces_out_deliveries() -> None:
    direction = LinkDirection(Random(1))
    direction.bytes_per_s = 1000.0
    assert [direction.delivery_time(10.0, 500) for _ in range(3)] == [10.5, 11.0, 11.5]


def test_lost_segments_arrive_after_retransmissions() -> None:
    direction = LinkDirection(Random(1))
    direction.loss = 0.2
    waits = [direction.delivery_time(0.0, 1000) for _ in range(2000)]
    assert 0.75 < waits.count(0.0) / len(waits) < 0.85
    assert any(wait >= 0.6 for wait in waits)  # lost twice in a row: the retransmission time doubles


class Member(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[tuple[bytes, tuple[str, int]]] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.append((data, addr))

    def send(self, data: bytes, relay: DatagramRelay) -> None:
        assert self.transport is not None
        self.transport.sendto(data, relay.public_address)


def test_datagrams_follow_the_faults_of_their_pair_and_direction() -> None:
    async def play() -> None:
        directions = {
            (sender, receiver): LinkDirection(Random(sender * 3 + receiver))
            for sender in range(3)
            for receiver in range(3)
        }
        relays = await open_datagram_relays(3, lambda sender, receiver: directions[sender, receiver])
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
            directions[0, 2].cut = True  # only this direction of this pair
            directions[1, 2].duplicate = 1.0
            for data, source, target in ((b"a", 0, 1), (b"b", 0, 2), (b"c", 1, 2), (b"d", 2, 0)):
                members[source].send(data, relays[target])
            await until(
                lambda: (
                    len(members[2].received) == 2 and bool(members[0].received) and bool(members[1].received)
                )
            )
            # Each datagram comes from the sender's public address.
            assert members[1].received == [(b"a", relays[0].public_address)]
            assert members[2].received == [(b"c", relays[1].public_address)] * 2
            assert members[0].received == [(b"d", relays[2].public_address)]
            unknown_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            unknown_sender.sendto(b"x", relays[0].public_address)
            await until(lambda: relays[0].unknown_senders == 1)
            unknown_sender.close()
        finally:
            for open_transport in [opened_relay.transport for opened_relay in relays] + [
                opened_member.transport for opened_member in members
            ]:
                assert open_transport is not None
                open_transport.close()

    run(play())


def share_of_datagrams(direction: LinkDirection, condition: Callable[[list[float]], bool]) -> float:
    return sum(condition(direction.datagram_delivery_times(0.0)) for _ in range(4000)) / 4000


def test_datagrams_are_lost_duplicated_and_reordered_at_the_configured_share() -> None:
    direction = LinkDirection(Random(3))
    direction.loss = 0.3
    assert 0.27 < share_of_datagrams(direction, lambda times: not times) < 0.33
    direction.loss, direction.duplicate = 0.0, 0.2
    assert 0.17 < share_of_datagrams(direction, lambda times: len(times) == 2) < 0.23
    direction.duplicate, direction.reorder = 0.0, 0.25
    assert 0.2 < share_of_datagrams(direction, lambda times: times[0] > 0.0) < 0.3
    direction.cut = True
    assert direction.datagram_delivery_times(0.0) == []
