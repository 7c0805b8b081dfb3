"""A full house: clients fill the descriptors while discovery is down, and what must go on goes on.

Nothing here waits for a time to pass: what a crowd holds it holds until the test lets go, so that a place
that is not kept back never comes.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.core import interface as api
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.transport.connection import Connection, PendingConnection
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.listener import Listener
from tests import bed as b
from tests import crossing as x

CROWD = 40  # more than there are places for at 32 and at 64 descriptors
SIZES = [32, 64]
HALF = b"GET /view/1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: view\r\nReq-Dead"
REST = b"line: 8\r\n\r\n"
SHORT, LONG = 1 << 15, 1 << 20


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """A crowd is never ended for its silence, and who asks discovery asks again at once."""
    monkeypatch.setattr("larkcrank.routing.clients.PART_TIMEOUT_S", 1000.0)
    monkeypatch.setattr("larkcrank.routing.clients.STALL_S", 1000.0)
    monkeypatch.setattr("larkcrank.routing.clients.REST_S", 0.0)
    monkeypatch.setattr("larkcrank.routing.discovery.AGAIN_S", (0.01, 0.02))


class Crowd:
    """Connections that hold what they have."""

    def __init__(self, place: tuple[str, int]) -> None:
        self.place = place
        self.clients: list[b.Client] = []

    async def come(self, how: str, count: int = CROWD) -> None:
        for _ in range(count):
            client = b.Client(*await asyncio.open_connection(*self.place))
            number = len(self.clients)
            self.clients.append(client)
            match how:
                case "half":
                    client.writer.write(HALF % b"h%d" % number)
                case "body" | "long":  # over 64 KiB it passes through, and begins with its head
                    lines = b"Host: a\r\nReq-Id: l%d\r\nReq-Kind: take\r\nReq-Deadline: 8\r\n" % number
                    length = LONG if how == "long" else SHORT
                    client.writer.write(
                        b"POST /take/1 HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n" % (lines, length)
                    )
                    client.writer.write(bytes(100))
                case "asks":
                    client.send("view")

    def ended(self) -> list[int]:
        return [index for index, client in enumerate(self.clients) if client.reader.at_eof()]

    def close(self) -> None:
        for client in self.clients:
            client.close()


class Away:
    """Discovery is down, at an address that nobody else can get, until it is back."""

    def __init__(self, discovery: b.FakeDiscovery) -> None:
        self.discovery = discovery
        self._held = socket.socket()
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.bind(("127.0.0.1", discovery.port))

    async def back(self) -> None:
        self.discovery._server = await asyncio.start_server(
            self.discovery._handle_connection, "127.0.0.1", self.discovery.port, reuse_address=True
        )

    def close(self) -> None:
        self._held.close()


@asynccontextmanager
async def house(
    *endpoints: b.Endpoint, sockets: int, **changes: Any
) -> AsyncIterator[tuple[b.Bed, Away, Crowd]]:
    """A sidecar whose discovery is down, and a crowd before its door."""
    async with b.bed(*endpoints, sockets=sockets, discovery_up=False, ops="127.0.0.1:0", **changes) as bed:
        away, crowd = Away(bed.discovery), Crowd(bed.sidecar.place)
        await b.until(lambda: bed.sidecar.counters.discovery_failures > 0)
        try:
            yield bed, away, crowd
        finally:
            crowd.close()
            away.close()


def places(sidecar: Sidecar, use: SocketUse) -> int:
    return sidecar.descriptors._used[use]


async def full(sidecar: Sidecar) -> None:
    """Clients have all that they may have, and others wait at the door."""
    descriptors = sidecar.descriptors
    await b.until(lambda: descriptors.has_waiters and descriptors.used_share(SocketUse.CLIENT) >= 1.0)


async def told(bed: b.Bed, sidecar: Sidecar, new: b.Endpoint) -> None:
    """It knows what changed while discovery was down."""
    await b.until(lambda: new.name.encode() in sidecar._servers.places())


async def returns(bed: b.Bed, away: Away, *endpoints: b.Endpoint) -> None:
    bed.discovery.endpoints = list(endpoints)
    bed.discovery.generation += 1
    await away.back()


@pytest.mark.parametrize("sockets", SIZES)
@pytest.mark.parametrize("how", ["half", "body"])
def test_a_crowd_that_holds_what_it_has_keeps_out_nobody_else(sockets: int, how: str) -> None:
    """Nothing idles that could make way: discovery, an endpoint and an operator have places all the same."""

    async def work() -> None:
        old, new = b.Endpoint("s-1"), b.Endpoint("s-2")
        await new.start()
        async with house(old, sockets=sockets) as (bed, away, crowd):
            sidecar = bed.sidecar
            first = await bed.client()
            first.writer.write(HALF % b"first")
            await crowd.come(how)
            await full(sidecar)
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            first.writer.write(REST)
            assert (await first.read_response()).status == 200  # by a new connection to the endpoint
            await returns(bed, away, old, new)
            await told(bed, sidecar, new)
            assert places(sidecar, SocketUse.DISCOVERY) == 1
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            assert crowd.ended() == [] and sidecar.counters.crashed == 0

    b.run(work())


@pytest.mark.parametrize("sockets", SIZES)
@pytest.mark.parametrize("how", ["asks", "long"])
def test_connections_to_endpoints_at_their_limit_keep_out_nobody_else(sockets: int, how: str) -> None:
    """Requests at an endpoint that hangs, or long bodies on their way, hold all the places that they may."""

    async def work() -> None:
        gate = asyncio.Event()
        old, new = [b.Endpoint(f"s-{i}", b.respond_after(gate)) for i in range(4)], b.Endpoint("t-1")
        await new.start()
        async with house(*old, sockets=sockets) as (bed, away, crowd):
            sidecar = bed.sidecar
            waiting = x.Waiting(bed) if how == "asks" else None
            for count in range(1, 4):
                await crowd.come(how, 1)
                if waiting is not None:
                    waiting.say(api.Send(await waiting.request(count), b"s-1"))
            await b.until(lambda: sum(one.connections_opened for one in old) == 3)
            await crowd.come("half")
            await full(sidecar)
            assert not sidecar.descriptors.has_free(SocketUse.ATTEMPT)
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            await returns(bed, away, *old, new)
            sidecar._discovery.watch()  # as the decisions do, whose place the test's have taken
            await told(bed, sidecar, new)
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            if waiting is not None:
                gate.set()  # and those that hung have their answers
                await b.until(lambda: len(waiting.seen(api.Outcome)) == 3)
                assert all(one.result is api.Result.OK for one in waiting.seen(api.Outcome))
            assert sidecar.counters.crashed == 0

    b.run(work())


@pytest.mark.parametrize("sockets", SIZES)
def test_idle_clients_make_way_for_those_who_come_while_discovery_is_down(sockets: int) -> None:
    """Each newcomer costs the one that has idled longest its place, and nobody else."""

    async def work() -> None:
        old, new = b.Endpoint("s-1"), b.Endpoint("s-2")
        await new.start()
        async with house(old, sockets=sockets) as (bed, away, crowd):
            sidecar = bed.sidecar
            most = sidecar.descriptors._limit_of(SocketUse.CLIENT)
            for _ in range(most):
                await crowd.come("asks", 1)
                assert (await crowd.clients[-1].read_response()).status == 200
            late: list[b.Client] = []
            for newcomers in range(1, 6):
                late.append(await bed.client())
                assert (await late[-1].call("view")).status == 200
                await b.until(lambda count=newcomers: crowd.ended() == list(range(count)))  # type: ignore[misc]
                assert sidecar.clients.open == most
            await returns(bed, away, old, new)
            await told(bed, sidecar, new)
            assert sidecar.clients.open == most  # discovery has its own place
            assert crowd.ended() == list(range(5))

    b.run(work())


@pytest.mark.parametrize("sockets", SIZES)
def test_a_new_configuration_in_a_full_house_is_followed(sockets: int) -> None:
    """SIGHUP from a discovery that is down to one that is up."""

    async def work() -> None:
        old, new = b.Endpoint("s-1"), b.Endpoint("s-2")
        await new.start()
        other = b.FakeDiscovery([old, new])
        await other.start()
        async with house(old, sockets=sockets) as (bed, _, crowd):
            await crowd.come("half")
            await full(bed.sidecar)
            bed.config_file["discovery"] = f"127.0.0.1:{other.port}"
            bed.sidecar.reload()
            await told(bed, bed.sidecar, new)
            assert await bed.call_operator(b"PING\n") == b"200 ready\n"
            assert crowd.ended() == []
        await other.stop()

    b.run(work())


async def another(bed: b.Bed, passed: socket.socket) -> Sidecar:
    """The next process of the sidecar, here as a second one in the loop."""
    sidecar = Sidecar(bed.load_config(), Log("n1", bed._log), bed.load_config, passed.dup())
    await sidecar.begin()
    return sidecar


@pytest.mark.parametrize("sockets", SIZES)
def test_in_a_hand_over_the_full_one_still_reaches_endpoints_and_both_are_told(
    sockets: int, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The limit is shared from one moment to the next, and the old process holds more than its part."""

    async def work() -> None:
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        old, new = b.Endpoint("s-1"), b.Endpoint("s-2")
        await new.start()
        passed = socket.create_server(("127.0.0.1", 0), backlog=512)
        async with house(old, sockets=sockets) as (bed, away, _):
            first = await another(bed, passed)
            crowd = Crowd(first.place)
            held = b.Client(*await asyncio.open_connection(*first.place))
            held.writer.write(HALF % b"held")
            await crowd.come("half")
            await full(first)
            second = await another(bed, passed)
            await b.until(lambda: first._others == [0, 1])
            assert (
                first.descriptors.used > first.descriptors._available
            )  # more than its part, none of it idle
            await full(second)
            assert await Bedside(second).operator(b"PING\n") == b"200 ready\n"
            held.writer.write(REST)
            assert (await held.read_response()).status == 200
            await returns(bed, away, old, new)
            await told(bed, first, new)
            await told(bed, second, new)
            assert await Bedside(first).operator(b"PING\n") == b"200 ready\n"
            crowd.close()
            first.close()
            second.close()
        passed.close()

    b.run(work())


class Bedside:
    """An operator at a sidecar that the bed did not make."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar

    async def operator(self, text: bytes) -> bytes:
        return await b.Bed.call_operator(self, text)  # type: ignore[arg-type]


@pytest.mark.parametrize("sockets", SIZES)
def test_a_start_before_a_full_door_asks_discovery_and_answers_operators(
    sockets: int, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """A crowd waits at the platform's socket before the process begins, and discovery comes back later."""

    async def work() -> None:
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        old, new = b.Endpoint("s-1"), b.Endpoint("s-2")
        await new.start()
        passed = socket.create_server(("127.0.0.1", 0), backlog=512)
        async with house(old, sockets=sockets) as (bed, away, _):
            crowd = Crowd(passed.getsockname()[:2])
            await crowd.come("half")
            sidecar = await another(bed, passed)
            await full(sidecar)
            assert await Bedside(sidecar).operator(b"PING\n") == b"200 ready\n"
            crowd.clients[0].writer.write(REST)
            assert (await crowd.clients[0].read_response()).status == 200
            await returns(bed, away, old, new)
            await told(bed, sidecar, new)
            crowd.close()
            sidecar.close()
        passed.close()

    b.run(work())


# The count itself


@settings(max_examples=50, deadline=None)
@given(
    st.integers(32, 300),
    st.integers(0, 3),
    st.booleans(),
    st.lists(st.sampled_from([SocketUse.CLIENT, SocketUse.ATTEMPT]), max_size=300),
)
def test_whoever_fills_the_places_discovery_an_endpoint_and_an_operator_have_theirs(
    limit: int, others: int, operators: bool, takers: list[SocketUse]
) -> None:
    count = DescriptorBudget(limit, operators)
    for use in takers + [SocketUse.CLIENT] * limit:
        count.acquire(use)
    attempts = count._used[SocketUse.ATTEMPT]
    assert count.used <= limit * (1 - 0.4) + 1 or count.used <= limit - 32
    count.set_other_processes(others)
    kept = max(count._guaranteed[SocketUse.ATTEMPT], 1)
    assert attempts >= kept or all(count.acquire(SocketUse.ATTEMPT) for _ in range(kept - attempts))
    assert all(count.acquire(SocketUse.DISCOVERY) for _ in range(count._guaranteed[SocketUse.DISCOVERY]))
    assert count.acquire(SocketUse.OPERATOR) or not operators
    if others == 0:
        assert count.used <= count._available


def test_between_uses_what_has_idled_longest_goes_first() -> None:
    count = DescriptorBudget(32)
    ended: list[str] = []
    idle = {
        SocketUse.CLIENT: [(5.0, "client 5"), (9.0, "client 9")],
        SocketUse.ATTEMPT: [(3.0, "s 3"), (7.0, "s 7")],
    }

    def spare(use: SocketUse) -> None:
        def close_one() -> bool:
            if not idle[use]:
                return False
            ended.append(idle[use].pop(0)[1])
            count.release(use)
            return True

        count.register_evictor(use, close_one, lambda: idle[use][0][0] if idle[use] else float("inf"))

    spare(SocketUse.ATTEMPT)
    spare(SocketUse.CLIENT)
    for _ in range(count._guaranteed[SocketUse.ATTEMPT] + 2):
        assert count.acquire(SocketUse.ATTEMPT)
    for use in (SocketUse.CLIENT, SocketUse.DISCOVERY):
        while count.has_free(use):
            assert count.acquire(use)
    for _ in range(4):
        assert count.acquire(SocketUse.DISCOVERY)
    assert ended == ["s 3", "client 5", "s 7", "client 9"]
    assert not count.acquire(SocketUse.DISCOVERY)


def test_an_idle_connection_within_its_use_s_own_part_is_not_closed_for_others() -> None:
    """It would free no place: what its use gives up there, nothing else may take."""
    count = DescriptorBudget(32)
    count.register_evictor(SocketUse.ATTEMPT, lambda: pytest.fail("closed for nothing"))
    for _ in range(count._guaranteed[SocketUse.ATTEMPT]):
        assert count.acquire(SocketUse.ATTEMPT)
    while count.has_free(SocketUse.CLIENT):
        assert count.acquire(SocketUse.CLIENT)
    while count.has_free(SocketUse.DISCOVERY):
        assert count.acquire(SocketUse.DISCOVERY)
    assert not count.acquire(SocketUse.DISCOVERY)


def test_a_client_that_has_idled_longer_than_a_connection_to_an_endpoint_goes_before_it() -> None:
    """Over sockets: the pool's connections were used last, the clients have rested since before."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, sockets=32) as bed:
            sidecar, descriptors = bed.sidecar, bed.sidecar.descriptors
            resting = [await bed.client() for _ in range(3)]
            for client in resting:
                assert (await client.call("view")).status == 200
            await b.until(lambda: len(sidecar.pool) == 1 and len(sidecar.clients._idle) == 3)
            sidecar.pool.close()
            for _ in range(5):
                connecting = PendingConnection(("127.0.0.1", one.port), descriptors, SocketUse.ATTEMPT)
                sidecar.pool.put(b"s-1", await connecting.wait(5000.0))
            while descriptors.has_free(SocketUse.DISCOVERY):
                assert descriptors.acquire(SocketUse.DISCOVERY)
            assert descriptors.acquire(SocketUse.DISCOVERY)  # somebody's idle connection makes way
            assert sidecar.clients.open + len(sidecar.pool) == 8
            await b.until(lambda: resting[0].reader.at_eof())
            assert len(sidecar.pool) == 5 and not resting[1].reader.at_eof()

    b.run(work())


def test_a_place_is_made_only_for_somebody_who_waits() -> None:
    """A listener whose socket somebody else has emptied closes nothing."""

    async def work() -> None:
        count = DescriptorBudget(32)
        ended: list[int] = []

        def close_one() -> bool:
            ended.append(1)
            count.release(SocketUse.CLIENT)
            return True

        count.register_evictor(SocketUse.CLIENT, close_one)
        while count.has_free(SocketUse.CLIENT):
            assert count.acquire(SocketUse.CLIENT)
        came: list[Connection] = []
        listener = Listener(("127.0.0.1", 0), count, came.append)
        listener.start()
        assert listener._accept_pending() and ended == []
        listener.close()

    b.run(work())


def test_the_smallest_limit_has_a_place_for_each_use_in_each_of_three_processes() -> None:
    for others in range(3):
        count = DescriptorBudget(32, has_operators=True)
        count.set_other_processes(others)
        assert all(count.acquire(use) for use in SocketUse)
