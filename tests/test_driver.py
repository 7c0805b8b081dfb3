"""Tests of the driver, the attempt executor and the discovery client, each with the rest simulated by the
test.
"""

import asyncio
import io
import json
from collections.abc import Callable
from random import Random

import pytest

from larkcrank.core import interface as api
from larkcrank.core.host_port_owners import HostPortOwners
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.log import MAX_LINES_PER_SECOND, Log
from larkcrank.protocol import http1, platform
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.routing.discovery import DiscoveryClient
from larkcrank.routing.driver import Driver
from larkcrank.routing.exchange import BufferedResponse, Exchange
from larkcrank.routing.servers import AttemptExecutor
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.memory import MemoryAccount
from larkcrank.transport.pool import ConnectionPool
from tests import bed as testbed

DecideFunction = Callable[[api.Event], list[api.Action]]


def send_to_only_server(event: api.Event) -> list[api.Action]:
    """Send each request to the only server."""
    return [api.Send(event.id, b"s-1")] if isinstance(event, api.Request) else []


def send_with_timeout(timeout_ms: float) -> DecideFunction:
    """Send each request to the only server, with a timeout per attempt."""
    clock = Clock()

    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return [api.Send(event.id, b"s-1", stop_at_ms=clock() + timeout_ms)]
        return []

    return decide


class ScriptedBalancer:
    """Returns the actions that the test chooses and checks that `handle` is never re-entered."""

    def __init__(self, decide: DecideFunction) -> None:
        self.decide = decide
        self.events: list[api.Event] = []
        self._handling = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        assert not self._handling
        self._handling = True
        self.events.append(event)
        try:
            return self.decide(event)
        finally:
            self._handling = False

    def events_of(self, event_type: type) -> list[api.Event]:
        return [event for event in self.events if isinstance(event, event_type)]


class DriverHarness:
    """A driver with its attempt executor, without clients or discovery."""

    def __init__(self, decide: DecideFunction, *endpoints: testbed.Endpoint) -> None:
        self.balancer = ScriptedBalancer(decide)
        self.counters = Counters()
        self.log = io.BytesIO()
        self.clock = Clock()
        log = Log("test", self.log)
        descriptors = DescriptorBudget(256)
        self.pool = ConnectionPool(descriptors, 60000.0)
        self.attempt_executor = AttemptExecutor(
            self.pool,
            descriptors,
            250.0,
            (),
            65536,
            MemoryAccount(1 << 26),
            self.clock,
            self.counters,
            log.log_exception,
        )
        discovery = DiscoveryClient(
            ("127.0.0.1", 1),
            descriptors,
            NameTable([], []),
            250.0,
            False,
            Random(1),
            self.counters,
            log.log_exception,
        )
        self.driver = Driver(
            self.balancer,
            HostPortOwners(only_draining_binds=False),
            self.clock,
            self.attempt_executor,
            discovery,
            100,
            20.0,
            self.counters,
            log,
        )
        if endpoints:
            self.announce(*endpoints)

    def announce(self, *endpoints: testbed.Endpoint, state: api.State = api.State.READY) -> None:
        listed = tuple(api.Endpoint(endpoint.name.encode(), state) for endpoint in endpoints)
        host_ports = {endpoint.name.encode(): ("127.0.0.1", endpoint.port) for endpoint in endpoints}
        self.driver.receive_list(ListUpdate(1, False, listed, host_ports))

    def start_request(self, time_left_ms: float = 5000.0) -> Exchange:
        now_ms = self.clock()
        request = http1.Request(
            b"GET", b"/view", http1.Fields((http1.Field(b"host", b"a", b"Host: a"),)), b"", True
        )
        call_info = platform.CallInfo("id", "view", time_left_ms, False, False, "")
        exchange = Exchange(
            self.driver.next_request_id(), 0, call_info, request, now_ms, now_ms + time_left_ms, False
        )
        self.driver.start_request(exchange)
        return exchange

    async def wait_for_outcome(self) -> api.Outcome:
        """Wait for the only outcome reported to the balancer."""
        await testbed.until(lambda: bool(self.balancer.events_of(api.Outcome)))
        (outcome,) = self.balancer.events_of(api.Outcome)
        assert isinstance(outcome, api.Outcome)
        return outcome

    def logged_events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.log.getvalue().splitlines()]


def test_events_raised_while_handling_an_event_are_queued() -> None:
    async def scenario() -> None:
        def decide(event: api.Event) -> list[api.Action]:
            match event:
                case api.Request():  # The server is not listed, so the outcome is raised at once.
                    return [api.Send(event.id, b"nowhere"), api.Log("after the send")]
                case api.Outcome():
                    logged_before.extend(harness.logged_events())
                    return [api.Fail(event.id)]
            return []

        logged_before: list[str] = []
        harness = DriverHarness(decide)
        exchange = harness.start_request()
        assert logged_before == ["decision"]  # All actions of the first event were executed.
        (outcome,) = harness.balancer.events_of(api.Outcome)
        assert isinstance(outcome, api.Outcome)
        assert (outcome.result, outcome.request_answered) == (api.Result.NOT_SENT, False)
        assert exchange.closed and harness.logged_events() == ["decision", "request_failed"]

    testbed.run(scenario())


def test_balancer_crash_fails_only_the_request_concerned() -> None:
    async def scenario() -> None:
        def decide(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.id == 2:
                raise ZeroDivisionError
            return [api.Fail(event.id)] if isinstance(event, api.Request) and event.id == 3 else []

        harness = DriverHarness(decide)
        first, second, third = harness.start_request(), harness.start_request(), harness.start_request()
        assert (first.closed, second.closed, third.closed) == (False, True, True)
        answer = second.response_future().result()
        assert isinstance(answer, BufferedResponse) and answer.status == 500
        assert harness.balancer.events_of(api.ClientGone) == [api.ClientGone(2)]
        assert harness.counters.crashed == 1 and "decision_crashed" in harness.logged_events()

    testbed.run(scenario())


def test_setting_a_timer_replaces_the_previous_one() -> None:
    async def scenario() -> None:
        def decide(event: api.Event) -> list[api.Action]:
            return [api.SetTimer(1.0, 1), api.SetTimer(0.0, 2)] if isinstance(event, api.Request) else []

        harness = DriverHarness(decide)
        harness.start_request()
        await testbed.until(lambda: bool(harness.balancer.events_of(api.TimerFired)))
        await asyncio.sleep(0.01)
        assert harness.balancer.events_of(api.TimerFired) == [api.TimerFired(2)]

    testbed.run(scenario())


def test_request_without_a_decision_fails_after_its_deadline() -> None:
    async def scenario() -> None:
        harness = DriverHarness(lambda event: [])
        exchange = harness.start_request(time_left_ms=5.0)
        answer = await exchange.response_future()
        assert isinstance(answer, BufferedResponse) and answer.status == 504
        assert harness.counters.overdue == harness.counters.unsent_late == 1
        assert harness.balancer.events_of(api.ClientGone) == [api.ClientGone(exchange.id)]

    testbed.run(scenario())


def test_server_drained_while_connecting_gets_no_request() -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()

        harness = DriverHarness(send_to_only_server, endpoint)
        harness.start_request()
        harness.announce(endpoint, state=api.State.DRAINING)  # Before the attempt's task first runs.
        outcome = await harness.wait_for_outcome()
        assert outcome.result is api.Result.NOT_SENT
        assert not endpoint.requests and harness.counters.sends == 0
        await endpoint.stop()

    testbed.run(scenario())


def test_nothing_is_sent_for_an_answered_request() -> None:
    """This holds even if attempts may not be cancelled: one that is still connecting must not write."""

    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()

        def decide(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                return [api.Send(event.id, b"s-1"), api.Refuse(event.id), api.Send(event.id, b"s-1")]
            return []

        harness = DriverHarness(decide, endpoint)
        exchange = harness.start_request()
        outcome = await harness.wait_for_outcome()
        assert (outcome.result, outcome.request_answered) == (api.Result.NOT_SENT, True)
        assert not endpoint.requests and exchange.attempt_count == 1
        await endpoint.stop()

    testbed.run(scenario())


def test_cancel_closes_the_connection_before_the_next_attempt_starts() -> None:
    async def scenario() -> None:
        endpoint, second_endpoint = testbed.Endpoint("s-1", testbed.never_respond), testbed.Endpoint("s-2")
        await endpoint.start()
        await second_endpoint.start()

        def decide(event: api.Event) -> list[api.Action]:
            match event:
                case api.Request():
                    return [api.Send(event.id, b"s-1")]
                case api.Outcome(result=api.Result.CANCELLED):
                    assert harness.attempt_executor.active_attempts == 0
                    return [api.Send(event.id, b"s-2")]
                case api.TimerFired():
                    return [api.Cancel(1, 0)]
            return []

        harness = DriverHarness(decide, endpoint, second_endpoint)
        exchange = harness.start_request()
        await testbed.until(lambda: len(endpoint.requests) == 1)
        harness.driver.dispatch(api.TimerFired(0))
        answer = await exchange.response_future()
        assert isinstance(answer, BufferedResponse) and answer.body == b"made by /view"
        await testbed.until(lambda: endpoint.connections_ended == 1)
        await endpoint.stop()
        await second_endpoint.stop()

    testbed.run(scenario())


def test_attempt_times_out_at_stop_time() -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1", testbed.never_respond)
        await endpoint.start()

        harness = DriverHarness(send_with_timeout(20.0), endpoint)
        harness.start_request()
        outcome = await harness.wait_for_outcome()
        assert (outcome.result, outcome.request_answered) == (api.Result.TIMEOUT, False)
        await endpoint.stop()

    testbed.run(scenario())


@pytest.mark.parametrize("hanging_step", ["write", "connect"])
def test_timeout_counts_as_not_run_only_before_the_first_byte(
    monkeypatch: pytest.MonkeyPatch, hanging_step: str
) -> None:
    """The kernel may have accepted the last byte when the timer fires, before the writer is notified."""

    async def scenario() -> None:
        async def hang(*_: object) -> None:
            await asyncio.get_running_loop().create_future()

        if hanging_step == "write":
            monkeypatch.setattr("larkcrank.transport.connection.Connection.write", hang)
        else:
            monkeypatch.setattr("larkcrank.transport.connection.PendingConnection.wait", hang)
        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()

        harness = DriverHarness(send_with_timeout(20.0), endpoint)
        harness.start_request()
        outcome = await harness.wait_for_outcome()
        assert outcome.result is (
            api.Result.TIMEOUT if hanging_step == "write" else api.Result.CONNECT_FAILED
        )
        await endpoint.stop()

    testbed.run(scenario())


def test_probe_that_raises_still_has_a_result(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a result the balancer would wait for it forever and the server would get no more requests."""

    async def scenario() -> None:
        async def raise_error(*_: object) -> None:
            raise RuntimeError("injected failure")

        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()
        monkeypatch.setattr("larkcrank.transport.connection.PendingConnection.wait", raise_error)
        harness = DriverHarness(
            lambda event: [api.Probe(b"s-1")] if isinstance(event, api.TimerFired) else [], endpoint
        )
        harness.driver.dispatch(api.TimerFired(0))
        await testbed.until(lambda: bool(harness.balancer.events_of(api.ProbeResult)))
        (probe_result,) = harness.balancer.events_of(api.ProbeResult)
        assert isinstance(probe_result, api.ProbeResult) and probe_result.result is api.Result.ERROR
        await endpoint.stop()

    testbed.run(scenario())


@pytest.mark.parametrize(("server_up", "result"), [(True, api.Result.OK), (False, api.Result.CONNECT_FAILED)])
def test_probe_requests_the_health_endpoint(server_up: bool, result: api.Result) -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()
        harness = DriverHarness(
            lambda event: [api.Probe(b"s-1")] if isinstance(event, api.TimerFired) else [], endpoint
        )
        if not server_up:
            await endpoint.stop()
        harness.driver.dispatch(api.TimerFired(0))
        await testbed.until(lambda: bool(harness.balancer.events_of(api.ProbeResult)))
        (probe_result,) = harness.balancer.events_of(api.ProbeResult)
        assert isinstance(probe_result, api.ProbeResult) and (probe_result.address, probe_result.result) == (
            b"s-1",
            result,
        )
        assert [request.target for request in endpoint.requests] == ([b"/health/live"] if server_up else [])
        await endpoint.stop()

    testbed.run(scenario())


async def start_discovery_client(
    host_port: tuple[str, int], watch_after_move: bool
) -> tuple[DiscoveryClient, list[ListUpdate], list[str]]:
    discovery = DiscoveryClient(
        host_port,
        DescriptorBudget(256),
        NameTable([], []),
        250.0,
        watch_after_move,
        Random(1),
        Counters(),
        lambda *_: None,
    )
    lists: list[ListUpdate] = []
    failures: list[str] = []
    discovery.on_list = lists.append
    discovery.on_failure = failures.append
    return discovery, lists, failures


def test_watch_continues_and_repeated_watch_calls_have_no_effect() -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        endpoint.port = 9
        discovery_server = testbed.FakeDiscovery([endpoint])
        await discovery_server.start()
        discovery, lists, _ = await start_discovery_client(
            ("127.0.0.1", discovery_server.port), watch_after_move=False
        )
        discovery.watch()
        # The full list, then the wait for changes.
        await testbed.until(lambda: len(discovery_server.request_targets) == 2)
        discovery.watch()
        discovery_server.announce(endpoint)
        await testbed.until(lambda: len(discovery_server.request_targets) == 3)
        assert [(listing.generation, listing.is_full) for listing in lists] == [(1, True), (2, False)]
        assert discovery_server.request_targets[0] == b"/registry/instances"
        assert discovery_server.request_targets[2].startswith(b"/registry/instances?after=2&wait_ms=")
        discovery.close()
        tasks_before = asyncio.all_tasks()
        discovery.watch()
        discovery.fetch_list()
        assert asyncio.all_tasks() == tasks_before  # Nothing is started after close.
        await discovery_server.stop()

    testbed.run(scenario())


@pytest.mark.parametrize("watch_after_move", [False, True])
def test_failed_watch_retries_and_repeated_watch_calls_have_no_effect(watch_after_move: bool) -> None:
    """This holds even if the balancer controls when to start, since its waits are longer than allowed after a
    failed call.
    """

    async def scenario() -> None:
        discovery, lists, failures = await start_discovery_client(("127.0.0.1", 1), watch_after_move)
        discovery.watch()
        await testbed.until(lambda: len(failures) == 1)
        tasks = asyncio.all_tasks()
        discovery.watch()
        assert asyncio.all_tasks() == tasks  # The failed watch continues.
        await testbed.until(lambda: len(failures) == 3)
        assert not lists
        discovery.close()

    testbed.run(scenario())


def test_list_callback_that_raises_is_reported_as_a_failure() -> None:
    """Otherwise the watch would have ended and nothing would restart it."""

    async def scenario() -> None:
        discovery_server = testbed.FakeDiscovery([])
        await discovery_server.start()
        discovery, _, failures = await start_discovery_client(
            ("127.0.0.1", discovery_server.port), watch_after_move=False
        )

        def raise_error(listing: ListUpdate) -> None:
            raise ZeroDivisionError

        discovery.on_list = raise_error
        discovery.watch()
        await testbed.until(lambda: len(failures) == 1)
        discovery.close()
        await discovery_server.stop()

    testbed.run(scenario())


def test_pooled_connection_is_closed_after_the_keepalive_time() -> None:
    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()

        harness = DriverHarness(send_to_only_server, endpoint)
        harness.pool.close()
        harness.attempt_executor._connections.pool = harness.pool = ConnectionPool(
            DescriptorBudget(256), keepalive_ms=40.0
        )
        await harness.start_request().response_future()
        await testbed.until(lambda: endpoint.connections_ended == 1)
        assert len(harness.pool) == 0
        await endpoint.stop()

    testbed.run(scenario())


def test_connection_to_the_old_address_is_not_reused_after_a_move() -> None:
    async def scenario() -> None:
        may_respond = asyncio.Event()

        old_endpoint, new_endpoint = (
            testbed.Endpoint("s-1", testbed.respond_after(may_respond)),
            testbed.Endpoint("s-1"),
        )
        await old_endpoint.start()
        await new_endpoint.start()

        harness = DriverHarness(send_to_only_server, old_endpoint)
        first = harness.start_request()
        await testbed.until(lambda: len(old_endpoint.requests) == 1)
        harness.announce(new_endpoint)
        may_respond.set()
        await first.response_future()
        await harness.start_request().response_future()
        assert (len(old_endpoint.requests), len(new_endpoint.requests)) == (1, 1)
        await old_endpoint.stop()
        await new_endpoint.stop()

    testbed.run(scenario())


def test_descriptor_uses_do_not_starve_each_other() -> None:
    descriptors = DescriptorBudget(132)
    assert sum(descriptors.acquire(SocketUse.CLIENT) for _ in range(200)) == 85
    assert sum(descriptors.acquire(SocketUse.ATTEMPT) for _ in range(200)) == 13
    assert sum(descriptors.acquire(SocketUse.DISCOVERY) for _ in range(200)) == 2
    assert not descriptors.acquire(SocketUse.CLIENT) and descriptors.used == 100
    wakeups: list[int] = []
    descriptors.on_next_release(lambda: wakeups.append(1))
    assert descriptors.has_waiters
    descriptors.release(SocketUse.CLIENT)
    assert wakeups == [1] and not descriptors.has_waiters and descriptors.acquire(SocketUse.CLIENT)


def test_log_limits_lines_per_second() -> None:
    log_output = io.BytesIO()
    log = Log("n0", log_output)
    for _ in range(5 * MAX_LINES_PER_SECOND):
        log.event("same")
    lines = [json.loads(line) for line in log_output.getvalue().splitlines()]
    assert len(lines) < 5 * MAX_LINES_PER_SECOND and all(line["sidecar"] == "n0" for line in lines)


def test_clock_follows_unix_time_and_never_runs_backwards(monkeypatch: pytest.MonkeyPatch) -> None:
    clock_times = {"time": 1000.0, "monotonic": 50.0}
    monkeypatch.setattr("time.time", lambda: clock_times["time"])
    monkeypatch.setattr("time.monotonic", lambda: clock_times["monotonic"])
    clock = Clock()
    assert clock() == 1000_000.0
    clock_times |= {"time": 10.0, "monotonic": 51.0}  # The system's clock was set back.
    assert clock() == 1001_000.0


def test_data_read_after_a_stall_counts_as_arrived_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client's time ran during the stall. Counted from the moment of reading, the final response would
    come too late.
    """

    async def scenario() -> None:
        now_s = 50.0
        monkeypatch.setattr("larkcrank.program.clock.time.monotonic", lambda: now_s)
        clock = Clock()
        clock.start_heartbeat()
        started_at = clock()
        now_s += 0.03  # The loop is slightly late, which is usual.
        assert clock.earliest_arrival() == clock() == started_at + 30.0
        now_s += 0.5  # The process got no CPU time.
        assert clock.earliest_arrival() == started_at
        clock.start_heartbeat()
        assert clock.earliest_arrival() == clock()

    testbed.run(scenario())


def test_pooled_connections_are_closed_after_an_unanswered_attempt() -> None:
    """A machine that is cut off does not respond on pooled connections, whereas a failing new connection
    proves that nothing ran.
    """

    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1")
        await endpoint.start()

        harness = DriverHarness(send_with_timeout(300.0), endpoint)
        testbed.make_times_known(harness.attempt_executor)
        first, second = harness.start_request(), harness.start_request()
        await asyncio.gather(first.response_future(), second.response_future())
        assert len(harness.pool) == 2
        endpoint.serve = testbed.never_respond
        harness.start_request()
        await testbed.until(lambda: len(harness.balancer.events_of(api.Outcome)) == 3)
        await testbed.until(lambda: endpoint.connections_ended == 2)
        assert len(harness.pool) == 0
        await endpoint.stop()

    testbed.run(scenario())


def test_log_reports_discovery_failure_and_recovery_once() -> None:
    async def scenario() -> None:
        async with testbed.bed(testbed.Endpoint("s-1")) as bed:
            driver = bed.sidecar._driver
            driver._discovery_failed("down")
            driver._discovery_failed("still down")
            driver.receive_list(ListUpdate(3, False, ()))
            assert [name for name in bed.log_events() if name.startswith("discovery")] == [
                "discovery_failed",
                "discovery_answers",
            ]

    testbed.run(scenario())


@pytest.mark.parametrize(
    "response",
    [
        http1.encode_response(503, (), b""),
        http1.encode_response(200, (), b"no list"),
        http1.encode_response(200, (), b'{"generation":1,"instances":[{"instanceId":"a"}]}'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
        b"nonsense\r\n\r\n",
    ],
)
def test_invalid_discovery_response_is_a_failure(response: bytes) -> None:
    async def scenario() -> None:
        async def answer(reader: testbed.Reader, writer: testbed.Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host_port = ("127.0.0.1", server.sockets[0].getsockname()[1])
        discovery, lists, failures = await start_discovery_client(host_port, watch_after_move=False)
        discovery.watch()
        await testbed.until(lambda: len(failures) == 1)
        assert not lists
        discovery.close()
        server.close()

    testbed.run(scenario())
