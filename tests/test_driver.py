"""The driver, the server side and discovery's watch, each with the rest played by the test."""

import asyncio
import io
import json
from collections.abc import Callable
from random import Random

import pytest

from larkcrank.core import interface as api
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.log import MOST_A_SECOND, Log
from larkcrank.protocol import http1, platform
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.routing.discovery import Discovery
from larkcrank.routing.driver import Driver
from larkcrank.routing.exchange import Answer, Exchange
from larkcrank.routing.servers import Servers
from larkcrank.transport.budget import BufferBudget
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.pool import ConnectionPool
from tests import bed as b

Decide = Callable[[api.Event], list[api.Action]]


def send_on(event: api.Event) -> list[api.Action]:
    """Each request goes to the one server there is."""
    return [api.Send(event.id, b"s-1")] if isinstance(event, api.Request) else []


def send_for(wait_ms: float) -> Decide:
    """The same, each attempt for so long."""
    clock = Clock()

    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return [api.Send(event.id, b"s-1", stop_at_ms=clock() + wait_ms)]
        return []

    return decide


class Scripted:
    """Decides as the test says, and sees that it is never entered twice."""

    def __init__(self, decide: Decide) -> None:
        self.decide = decide
        self.events: list[api.Event] = []
        self._inside = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        assert not self._inside
        self._inside = True
        self.events.append(event)
        try:
            return self.decide(event)
        finally:
            self._inside = False

    def seen(self, kind: type) -> list[api.Event]:
        return [event for event in self.events if isinstance(event, kind)]


class Stand:
    """A driver with its server side, no clients and no discovery."""

    def __init__(self, decide: Decide, *endpoints: b.Endpoint) -> None:
        self.decisions = Scripted(decide)
        self.counters = Counters()
        self.log = io.BytesIO()
        self.clock = Clock()
        log = Log("test", self.log)
        descriptors = DescriptorBudget(256)
        self.pool = ConnectionPool(descriptors, 60000.0)
        self.servers = Servers(
            self.pool,
            descriptors,
            250.0,
            (),
            65536,
            BufferBudget(1 << 26),
            self.clock,
            self.counters,
            log.failure,
        )
        discovery = Discovery(
            ("127.0.0.1", 1),
            descriptors,
            NameTable([], []),
            250.0,
            False,
            Random(1),
            self.counters,
            log.failure,
        )
        self.driver = Driver(
            self.decisions, self.clock, self.servers, discovery, 100, 20.0, self.counters, log
        )
        if endpoints:
            self.tell(*endpoints)

    def tell(self, *endpoints: b.Endpoint, state: api.State = api.State.READY) -> None:
        lines = tuple(api.Endpoint(endpoint.name.encode(), state) for endpoint in endpoints)
        places = {endpoint.name.encode(): ("127.0.0.1", endpoint.port) for endpoint in endpoints}
        self.driver.told(ListUpdate(1, False, lines, places))

    def take(self, left_ms: float = 5000.0) -> Exchange:
        now = self.clock()
        request = http1.Request(
            b"GET", b"/view", http1.Fields((http1.Field(b"host", b"a", b"Host: a"),)), b"", True
        )
        call = platform.CallInfo("id", "view", left_ms, False, False, "")
        exchange = Exchange(self.driver.next_id(), 0, call, request, now, now + left_ms, False)
        self.driver.take(exchange)
        return exchange

    async def outcome(self) -> api.Outcome:
        """The one outcome that was told, once it was."""
        await b.until(lambda: bool(self.decisions.seen(api.Outcome)))
        (outcome,) = self.decisions.seen(api.Outcome)
        assert isinstance(outcome, api.Outcome)
        return outcome

    def logged(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.log.getvalue().splitlines()]


def test_outcomes_that_arise_meanwhile_wait_their_turn() -> None:
    async def work() -> None:
        def decide(event: api.Event) -> list[api.Action]:
            match event:
                case api.Request():  # this server is on no list: the outcome comes at once
                    return [api.Send(event.id, b"nowhere"), api.Log("after the send")]
                case api.Outcome():
                    logged_before.extend(stand.logged())
                    return [api.Fail(event.id)]
            return []

        logged_before: list[str] = []
        stand = Stand(decide)
        exchange = stand.take()
        assert logged_before == ["decision"]  # the first event's actions were all carried out
        (outcome,) = stand.decisions.seen(api.Outcome)
        assert isinstance(outcome, api.Outcome)
        assert (outcome.result, outcome.request_answered) == (api.Result.NOT_SENT, False)
        assert exchange.closed and stand.logged() == ["decision"]

    b.run(work())


def test_a_decision_that_crashes_fails_its_request_and_no_other() -> None:
    async def work() -> None:
        def decide(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.id == 2:
                raise ZeroDivisionError
            return [api.Fail(event.id)] if isinstance(event, api.Request) and event.id == 3 else []

        stand = Stand(decide)
        first, second, third = stand.take(), stand.take(), stand.take()
        assert (first.closed, second.closed, third.closed) == (False, True, True)
        answer = second.first().result()
        assert isinstance(answer, Answer) and answer.status == 500
        assert stand.decisions.seen(api.ClientGone) == [api.ClientGone(2)]
        assert stand.counters.crashed == 1 and "decision_crashed" in stand.logged()

    b.run(work())


def test_only_the_latest_timer_counts() -> None:
    async def work() -> None:
        def decide(event: api.Event) -> list[api.Action]:
            return [api.SetTimer(1.0, 1), api.SetTimer(0.0, 2)] if isinstance(event, api.Request) else []

        stand = Stand(decide)
        stand.take()
        await b.until(lambda: bool(stand.decisions.seen(api.TimerFired)))
        await asyncio.sleep(0.01)
        assert stand.decisions.seen(api.TimerFired) == [api.TimerFired(2)]

    b.run(work())


def test_a_request_that_nothing_decides_on_is_failed_after_its_time() -> None:
    async def work() -> None:
        stand = Stand(lambda event: [])
        exchange = stand.take(left_ms=5.0)
        answer = await exchange.first()
        assert isinstance(answer, Answer) and answer.status == 504
        assert stand.counters.overdue == stand.counters.unsent_late == 1
        assert stand.decisions.seen(api.ClientGone) == [api.ClientGone(exchange.id)]

    b.run(work())


def test_a_server_that_leaves_while_its_connection_comes_up_gets_no_request() -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        await one.start()

        stand = Stand(send_on, one)
        stand.take()
        stand.tell(one, state=api.State.DRAINING)  # before the attempt's first step
        outcome = await stand.outcome()
        assert outcome.result is api.Result.NOT_SENT
        assert not one.requests and stand.counters.sends == 0
        await one.stop()

    b.run(work())


def test_after_its_answer_nothing_is_sent_for_a_request() -> None:
    """Also where attempts may not be called off: one that still connects must not write."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        await one.start()

        def decide(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                return [api.Send(event.id, b"s-1"), api.Refuse(event.id), api.Send(event.id, b"s-1")]
            return []

        stand = Stand(decide, one)
        exchange = stand.take()
        outcome = await stand.outcome()
        assert (outcome.result, outcome.request_answered) == (api.Result.NOT_SENT, True)
        assert not one.requests and exchange.attempts == 1
        await one.stop()

    b.run(work())


def test_giving_up_closes_the_connection_before_the_next_attempt_starts() -> None:
    async def work() -> None:
        one, two = b.Endpoint("s-1", b.never_respond), b.Endpoint("s-2")
        await one.start()
        await two.start()

        def decide(event: api.Event) -> list[api.Action]:
            match event:
                case api.Request():
                    return [api.Send(event.id, b"s-1")]
                case api.Outcome(result=api.Result.CANCELLED):
                    assert stand.servers.under_way == 0
                    return [api.Send(event.id, b"s-2")]
                case api.TimerFired():
                    return [api.Cancel(1, 0)]
            return []

        stand = Stand(decide, one, two)
        exchange = stand.take()
        await b.until(lambda: len(one.requests) == 1)
        stand.driver.feed(api.TimerFired(0))
        answer = await exchange.first()
        assert isinstance(answer, Answer) and answer.body == b"made by /view"
        await b.until(lambda: one.connections_ended == 1)
        await one.stop()
        await two.stop()

    b.run(work())


def test_an_attempt_is_stopped_at_the_time_given() -> None:
    async def work() -> None:
        one = b.Endpoint("s-1", b.never_respond)
        await one.start()

        stand = Stand(send_for(20.0), one)
        stand.take()
        outcome = await stand.outcome()
        assert (outcome.result, outcome.request_answered) == (api.Result.TIMEOUT, False)
        await one.stop()

    b.run(work())


@pytest.mark.parametrize("hangs_in", ["write", "connect"])
def test_a_time_out_proves_that_nothing_ran_only_before_the_first_byte(
    monkeypatch: pytest.MonkeyPatch, hangs_in: str
) -> None:
    """The last byte may be with the kernel when the timer comes, before the writer is told."""

    async def work() -> None:
        async def hang(*_: object) -> None:
            await asyncio.get_running_loop().create_future()

        if hangs_in == "write":
            monkeypatch.setattr("larkcrank.transport.connection.Connection.write", hang)
        else:
            monkeypatch.setattr("larkcrank.transport.connection.PendingConnection.wait", hang)
        one = b.Endpoint("s-1")
        await one.start()

        stand = Stand(send_for(20.0), one)
        stand.take()
        outcome = await stand.outcome()
        assert outcome.result is (api.Result.TIMEOUT if hangs_in == "write" else api.Result.CONNECT_FAILED)
        await one.stop()

    b.run(work())


def test_a_probe_that_fails_unexpectedly_still_has_a_result(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without one the balancer would wait for it for good, and the server get nothing any more."""

    async def work() -> None:
        async def broken(*_: object) -> None:
            raise RuntimeError("planted")

        one = b.Endpoint("s-1")
        await one.start()
        monkeypatch.setattr("larkcrank.transport.connection.PendingConnection.wait", broken)
        stand = Stand(lambda event: [api.Probe(b"s-1")] if isinstance(event, api.TimerFired) else [], one)
        stand.driver.feed(api.TimerFired(0))
        await b.until(lambda: bool(stand.decisions.seen(api.ProbeResult)))
        (probed,) = stand.decisions.seen(api.ProbeResult)
        assert isinstance(probed, api.ProbeResult) and probed.result is api.Result.ERROR
        await one.stop()

    b.run(work())


@pytest.mark.parametrize(("up", "result"), [(True, api.Result.OK), (False, api.Result.CONNECT_FAILED)])
def test_a_probe_asks_the_server_itself(up: bool, result: api.Result) -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        await one.start()
        stand = Stand(lambda event: [api.Probe(b"s-1")] if isinstance(event, api.TimerFired) else [], one)
        if not up:
            await one.stop()
        stand.driver.feed(api.TimerFired(0))
        await b.until(lambda: bool(stand.decisions.seen(api.ProbeResult)))
        (probed,) = stand.decisions.seen(api.ProbeResult)
        assert isinstance(probed, api.ProbeResult) and (probed.address, probed.result) == (b"s-1", result)
        assert [request.target for request in one.requests] == ([b"/health/live"] if up else [])
        await one.stop()

    b.run(work())


async def watched(place: tuple[str, int], always: bool) -> tuple[Discovery, list[ListUpdate], list[str]]:
    discovery = Discovery(
        place, DescriptorBudget(256), NameTable([], []), 250.0, always, Random(1), Counters(), lambda *_: None
    )
    lists: list[ListUpdate] = []
    failures: list[str] = []
    discovery.on_list = lists.append
    discovery.on_failure = failures.append
    return discovery, lists, failures


def test_a_watch_goes_on_and_a_second_call_for_it_is_no_other() -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        one.port = 9
        toy = b.FakeDiscovery([one])
        await toy.start()
        discovery, lists, _ = await watched(("127.0.0.1", toy.port), always=False)
        discovery.watch()
        await b.until(lambda: len(toy.request_targets) == 2)  # the whole list, then the wait for changes
        discovery.watch()
        toy.announce(one)
        await b.until(lambda: len(toy.request_targets) == 3)
        assert [(listing.generation, listing.is_full) for listing in lists] == [(1, True), (2, False)]
        assert toy.request_targets[0] == b"/registry/instances"
        assert toy.request_targets[2].startswith(b"/registry/instances?after=2&wait_ms=")
        discovery.close()
        before = asyncio.all_tasks()
        discovery.watch()
        discovery.fetch()
        assert asyncio.all_tasks() == before  # at the end nothing is begun
        await toy.stop()

    b.run(work())


@pytest.mark.parametrize("always", [False, True])
def test_a_watch_that_fails_begins_again_by_itself_and_a_call_for_it_is_no_other(always: bool) -> None:
    """Also where the balancer says when to begin: its waits are longer than a failed call allows."""

    async def work() -> None:
        discovery, lists, failures = await watched(("127.0.0.1", 1), always)
        discovery.watch()
        await b.until(lambda: len(failures) == 1)
        tasks = asyncio.all_tasks()
        discovery.watch()
        assert asyncio.all_tasks() == tasks  # the one that failed goes on
        await b.until(lambda: len(failures) == 3)
        assert not lists
        discovery.close()

    b.run(work())


def test_a_list_that_crashes_its_reader_is_told_as_a_failure() -> None:
    """Else the watch would have ended and nobody would begin it again."""

    async def work() -> None:
        toy = b.FakeDiscovery([])
        await toy.start()
        discovery, _, failures = await watched(("127.0.0.1", toy.port), always=False)

        def crash(listing: ListUpdate) -> None:
            raise ZeroDivisionError

        discovery.on_list = crash
        discovery.watch()
        await b.until(lambda: len(failures) == 1)
        discovery.close()
        await toy.stop()

    b.run(work())


def test_an_old_connection_leaves_the_pool_before_the_endpoint_closes_it() -> None:
    async def work() -> None:
        one = b.Endpoint("s-1")
        await one.start()

        stand = Stand(send_on, one)
        stand.pool.close()
        stand.servers._pool = stand.pool = ConnectionPool(DescriptorBudget(256), keepalive_ms=40.0)
        await stand.take().first()
        await b.until(lambda: one.connections_ended == 1)
        assert len(stand.pool) == 0
        await one.stop()

    b.run(work())


def test_a_connection_that_comes_back_after_its_server_moved_is_not_used() -> None:
    async def work() -> None:
        gate = asyncio.Event()

        old, new = b.Endpoint("s-1", b.respond_after(gate)), b.Endpoint("s-1")
        await old.start()
        await new.start()

        stand = Stand(send_on, old)
        first = stand.take()
        await b.until(lambda: len(old.requests) == 1)
        stand.tell(new)
        gate.set()
        await first.first()
        await stand.take().first()
        assert (len(old.requests), len(new.requests)) == (1, 1)
        await old.stop()
        await new.stop()

    b.run(work())


def test_no_use_of_descriptors_starves_another() -> None:
    descriptors = DescriptorBudget(132)
    assert sum(descriptors.acquire(SocketUse.CLIENT) for _ in range(200)) == 85
    assert sum(descriptors.acquire(SocketUse.ATTEMPT) for _ in range(200)) == 13
    assert sum(descriptors.acquire(SocketUse.DISCOVERY) for _ in range(200)) == 2
    assert not descriptors.acquire(SocketUse.CLIENT) and descriptors.used == 100
    woken: list[int] = []
    descriptors.on_next_release(lambda: woken.append(1))
    assert descriptors.has_waiters
    descriptors.release(SocketUse.CLIENT)
    assert woken == [1] and not descriptors.has_waiters and descriptors.acquire(SocketUse.CLIENT)


def test_a_flood_of_lines_is_cut_and_counted() -> None:
    out = io.BytesIO()
    log = Log("n0", out)
    for _ in range(5 * MOST_A_SECOND):
        log.event("same")
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert len(lines) < 5 * MOST_A_SECOND and all(line["sidecar"] == "n0" for line in lines)


def test_the_clock_fits_unix_time_and_never_runs_backwards(monkeypatch: pytest.MonkeyPatch) -> None:
    times = {"time": 1000.0, "monotonic": 50.0}
    monkeypatch.setattr("time.time", lambda: times["time"])
    monkeypatch.setattr("time.monotonic", lambda: times["monotonic"])
    clock = Clock()
    assert clock() == 1000_000.0
    times |= {"time": 10.0, "monotonic": 51.0}  # the system's clock was set back
    assert clock() == 1001_000.0


def test_what_waited_unread_while_the_process_stood_still_came_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its client's time ran meanwhile: counted from the reading, the final answer would come too late."""

    async def work() -> None:
        now = 50.0
        monkeypatch.setattr("larkcrank.program.clock.time.monotonic", lambda: now)
        clock = Clock()
        clock.beat()
        began = clock()
        now += 0.03  # the loop is a little late: usual
        assert clock.earliest() == clock() == began + 30.0
        now += 0.5  # it had no CPU
        assert clock.earliest() == began
        clock.beat()
        assert clock.earliest() == clock()

    b.run(work())


def test_after_an_attempt_without_an_answer_old_connections_are_not_used() -> None:
    """A machine that is cut off says nothing on them; a new connection that fails proves that nothing ran."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        await one.start()

        stand = Stand(send_for(300.0), one)
        first, second = stand.take(), stand.take()
        await asyncio.gather(first.first(), second.first())
        assert len(stand.pool) == 2
        one.serve = b.never_respond
        stand.take()
        await b.until(lambda: len(stand.decisions.seen(api.Outcome)) == 3)
        await b.until(lambda: one.connections_ended == 2)
        assert len(stand.pool) == 0
        await one.stop()

    b.run(work())


def test_the_log_tells_when_discovery_fails_and_when_it_answers_again() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1")) as bed:
            driver = bed.sidecar._driver
            driver._discovery_failed("down")
            driver._discovery_failed("still down")
            driver.told(ListUpdate(3, False, ()))
            assert [name for name in bed.log_events() if name.startswith("discovery")] == [
                "discovery_failed",
                "discovery_answers",
            ]

    b.run(work())


@pytest.mark.parametrize(
    "text",
    [
        http1.encode_response(503, (), b""),
        http1.encode_response(200, (), b"no list"),
        http1.encode_response(200, (), b'{"generation":1,"instances":[{"instanceId":"a"}]}'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
        b"nonsense\r\n\r\n",
    ],
)
def test_an_answer_of_discovery_that_is_no_list_is_a_failure(text: bytes) -> None:
    async def work() -> None:
        async def answer(reader: b.Reader, writer: b.Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(text)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        place = ("127.0.0.1", server.sockets[0].getsockname()[1])
        discovery, lists, failures = await watched(place, always=False)
        discovery.watch()
        await b.until(lambda: len(failures) == 1)
        assert not lists
        discovery.close()
        server.close()

    b.run(work())
