"""Tests that no attempt starts for a client that has disconnected, whatever its request waits for.

Races are reproduced by forcing the order of events, as in `test_crossings_clients`, not by timing.
"""

import asyncio
import json
import select
import signal
import socket
from collections.abc import Callable
from contextlib import ExitStack, suppress
from functools import partial
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from larkcrank.core import interface as api
from larkcrank.core.balancer import Balancer
from larkcrank.protocol import http1
from larkcrank.transport.closewatch import CloseWatcher
from larkcrank.transport.connection import Connection
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.stream import SocketStream
from tests import bed as b
from tests import crossing as x
from tests import frames as f
from tests import test_simwire as wire
from tests.test_replace import ReplacementEnvironment

IN_TURN = [cls | {"in-turn": True} if cls["name"] == "book" else cls for cls in b.CLASSES]
KEY_LINE, OBJECT_KEY_LINE = b"Idempotency-Key: 5c0f", b"Req-Extra: item=7"
MANY_CLIENTS = 1000


# The balancer: a cancellation in the simulator and a client disconnect are the same event

CLASSES = (
    api.RequestClass("look", api.Effect.SAFE, api.Group.ALL, 500.0, 1000.0, 0.0, 3.0),
    api.RequestClass("scan", api.Effect.KEYED, api.Group.ALL, 400.0, 1500.0, 1500.0, 2.0, in_turn=True),
    api.RequestClass("move", api.Effect.UNSAFE, api.Group.ALL, 500.0, 1500.0, 0.0, 2.0),
)
STEPS = ["request", "request", "gone", "outcome", "outcome", "uploaded", "list", "wait"]
RESULTS = [result for result in api.Result if result is not api.Result.CANCELLED]


class AnsweredTwiceError(AssertionError):
    """The balancer acted for a request that has its final answer."""


class History:
    """Feeds a balancer with random events and checks that it takes no action for clients that have gone, nor
    for requests that have their final answer.
    """

    def __init__(self, may_cancel: bool, seed: int) -> None:
        site = api.Settings(
            CLASSES,
            instances=1,
            may_cancel=may_cancel,
            max_attempts=4,
            key_quiet_ms=50.0,
            warm_after_ms=900.0,
        )
        self.now = 0.0
        self.balancer = Balancer(site, Random(seed), self.now)
        self.last_id = 0
        self.open_requests: list[int] = []
        self.uploading_requests: list[int] = []
        self.send_counts: dict[int, int] = {}
        self.open_attempts: list[tuple[int, int, bytes]] = []
        self.gone_requests: set[int] = set()
        self.timer: tuple[float, int] | None = None

    def handle(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case api.Send():
                    self.check_open(action)
                    attempt = self.send_counts.get(action.id, 0)
                    self.send_counts[action.id] = attempt + 1
                    self.open_attempts.append((action.id, attempt, action.address))
                case api.Refuse() | api.Fail():
                    self.check_open(action)
                    self.open_requests.remove(action.id)
                case api.SetTimer():
                    self.timer = self.now + action.wait_ms, action.token

    def check_open(self, action: api.Send | api.Refuse | api.Fail) -> None:
        assert action.id not in self.gone_requests, f"{action} for a client that has gone"
        if action.id not in self.open_requests:
            raise AnsweredTwiceError(f"{action} for a request that has its answer")

    def wait(self, duration: float) -> None:
        end = self.now + duration
        while self.timer is not None and self.timer[0] <= end:
            (self.now, token), self.timer = self.timer, None
            self.handle(api.TimerFired(token))
        self.now = end

    def step(self, kind: str, selector: int, variant: int) -> None:
        match kind:
            case "request":
                self.last_id += 1
                self.open_requests.append(self.last_id)
                class_index, uploading = selector % len(CLASSES), variant % 4 == 0
                if uploading:
                    self.uploading_requests.append(self.last_id)
                timeout_ms = CLASSES[class_index].deadline_ms
                self.handle(
                    api.Request(
                        self.last_id, class_index, timeout_ms, key=1 + variant % 3, uploading=uploading
                    )
                )
            case "gone" if self.open_requests:
                request_id = self.open_requests.pop(selector % len(self.open_requests))
                # Added first, so that the actions on the event itself are checked too.
                self.gone_requests.add(request_id)
                self.handle(api.ClientGone(request_id))
            case "outcome" if self.open_attempts:
                request_id, attempt, server = self.open_attempts.pop(selector % len(self.open_attempts))
                result = RESULTS[variant % len(RESULTS)]
                if result is api.Result.OK and request_id in self.open_requests:
                    self.open_requests.remove(request_id)
                self.handle(
                    api.Outcome(
                        request_id, attempt, server, result, 20.0, request_id not in self.open_requests
                    )
                )
            case "uploaded" if self.uploading_requests:
                self.handle(
                    api.Uploaded(self.uploading_requests.pop(selector % len(self.uploading_requests)), 900.0)
                )
            case "list":
                endpoints = (
                    api.Endpoint(b"s%d" % one, api.State.READY if selector >> one & 1 else api.State.DRAINING)
                    for one in range(4)
                )
                self.handle(api.ServerList(tuple(endpoints), complete=True))
            case "wait":
                self.wait(float(variant))


def run_history(may_cancel: bool, seed: int, steps: list[tuple[str, int, int]]) -> None:
    history = History(may_cancel, seed)
    if seed:
        history.step("list", 15, 0)
    for step in steps:
        history.step(*step)
    history.step("list", 15, 0)  # requests that were held for lack of a server can now be sent
    history.wait(5000.0)
    while history.open_attempts:
        history.step("outcome", 0, RESULTS.index(api.Result.ERROR))
        history.wait(100.0)
    remaining = {*history.balancer._requests, *(request.id for request in history.balancer._queue)}
    remaining |= {
        request.id for key_queue in history.balancer._key_queues.values() for request in key_queue.requests
    }
    assert not remaining & history.gone_requests, "kept for a client that has gone"


HISTORIES = (
    st.booleans(),
    st.integers(0, 5),
    st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 15), st.integers(0, 400)), max_size=80),
)


@given(*HISTORIES)
@settings(max_examples=300)
def test_no_action_follows_the_cancellation_of_a_request(
    may_cancel: bool, seed: int, steps: list[tuple[str, int, int]]
) -> None:
    """The request may be held, queued behind its key, uploading or between two attempts."""
    run_history(may_cancel, seed, steps)


def _ignore_client_gone(balancer: Balancer, now: float, event: api.Event) -> list[api.Action]:
    return [] if isinstance(event, api.ClientGone) else _ORIGINAL_HANDLE(balancer, now, event)


def _keep_in_queue(balancer: Balancer, number: int) -> None:
    queue = list(balancer._queue)
    _ORIGINAL_REMOVE_REQUEST(balancer, number)
    balancer._queue = queue


def _keep_in_key_queue(balancer: Balancer, now: float, event: api.Event) -> list[api.Action]:
    request = balancer._requests.get(event.id) if isinstance(event, api.ClientGone) else None
    actions = _ORIGINAL_HANDLE(balancer, now, event)
    if request is not None and (key_queue := balancer._key_queues.get(request.ordering_key)) is not None:
        key_queue.requests.append(request)
    return actions


_ORIGINAL_HANDLE, _ORIGINAL_REMOVE_REQUEST = Balancer.handle, Balancer._remove_request


@pytest.mark.parametrize(
    ("method_name", "faulty_method"),
    [("handle", _ignore_client_gone), ("_remove_request", _keep_in_queue), ("handle", _keep_in_key_queue)],
)
def test_the_random_histories_detect_injected_faults(
    method_name: str, faulty_method: Callable[..., Any]
) -> None:
    def run_until_gone_client_is_served(
        may_cancel: bool, seed: int, steps: list[tuple[str, int, int]]
    ) -> None:
        with suppress(AnsweredTwiceError):  # the other symptom of the same fault
            run_history(may_cancel, seed, steps)

    run_histories = settings(max_examples=300, phases=[Phase.generate], report_multiple_bugs=False)(
        given(*HISTORIES)(run_until_gone_client_is_served)
    )
    with (
        mock.patch.object(Balancer, method_name, faulty_method),
        pytest.raises(AssertionError, match="has gone"),
    ):
        run_histories()


def test_the_random_histories_detect_a_request_that_is_answered_twice() -> None:
    def run_until_answered_twice(may_cancel: bool, seed: int, steps: list[tuple[str, int, int]]) -> None:
        try:
            run_history(may_cancel, seed, steps)
        except AnsweredTwiceError:
            raise
        except AssertionError:  # the other symptom of the same fault
            return

    run_histories = settings(max_examples=300, phases=[Phase.generate], report_multiple_bugs=False)(
        given(*HISTORIES)(run_until_answered_twice)
    )
    with mock.patch.object(Balancer, "_remove_request", _keep_in_queue), pytest.raises(AnsweredTwiceError):
        run_histories()


@pytest.mark.parametrize("cancelled", [True, False])
def test_a_cancellation_on_the_wire_ends_held_and_retried_requests(cancelled: bool) -> None:
    def cancel(number: int) -> list[bytes]:
        return [f.client_gone_event(number)] if cancelled else []

    host, one = wire.host_with_servers(), f.select_instance(3)
    assert not wire.sent_attempts(
        wire.handle_records(host, 1.0, one, f.request_event(1))
    )  # held, as there is no server
    wire.handle_records(host, 2.0, one, *cancel(1))
    servers = f.define_server_list(1, f.list_entry(f.ADDRESS_A), f.list_entry(f.ADDRESS_B))
    found = wire.sent_attempts(wire.handle_records(host, 3.0, one, servers, f.server_list_event(1, 2)))
    assert bool(found) is not cancelled
    for number, server in found:
        wire.handle_records(host, 3.5, one, f.outcome_event(number, server, 100, closed=1))
    ((_, server),) = wire.sent_attempts(wire.handle_records(host, 4.0, one, f.request_event(2)))
    found = wire.sent_attempts(
        wire.handle_records(host, 5.0, one, *cancel(2), f.outcome_event(2, server, 302))
    )  # rejected without having run
    assert bool(found) is not cancelled


# The check for a closed connection


@pytest.mark.parametrize("shape", ["plain", "long"])
@pytest.mark.parametrize("pool", [True, False])
def test_the_client_is_checked_in_the_loop_iteration_that_writes_the_first_byte(
    shape: str, pool: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a busy loop an iteration may take long.

    The head of a request with a long body was once written one iteration after the check.
    """
    order: list[str] = []
    has_peer_closed, write_to_fd = Connection.has_peer_closed, SocketStream.write_to_fd

    def record_check(connection: Connection) -> bool:
        order.append("look")
        asyncio.get_running_loop().call_soon(order.append, "turn")
        return has_peer_closed(connection)

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            if pool:
                await x.open_pooled_connection(bed, client)

            def record_write(stream: SocketStream, data: memoryview) -> int:
                if stream.socket.getpeername()[1] == one.port:
                    order.append("bytes")
                return write_to_fd(stream, data)

            monkeypatch.setattr(Connection, "has_peer_closed", record_check)
            monkeypatch.setattr(SocketStream, "write_to_fd", record_write)
            x.send_request(client, shape)
            await b.until(lambda: "bytes" in order)
            first = order.index("bytes")
            assert order[first - 1] == "look" and order.count("look") == (1 if pool else 2)

    b.run(work())


@pytest.mark.parametrize("pool", [True, False])
def test_a_client_that_has_gone_uses_up_no_endpoint_connection(pool: bool) -> None:
    """Guards against closing the pooled connection taken for its attempt, or opening a new one in vain."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            if pool:
                await x.open_pooled_connection(bed, client)
            connects = bed.sidecar.counters.connects
            waiting = x.ManualBalancer(bed)
            client.send("view")
            number = await waiting.wait_for_request()
            x.disconnect(client, "closed")
            waiting.decide(api.Send(number, b"s-1"))
            await b.until(lambda: bool(waiting.events_of(api.ClientGone)))
            assert len(bed.sidecar.pool) == pool and bed.sidecar.counters.connects == connects

    b.run(work())


def connected_pair(descriptors: DescriptorBudget) -> tuple[Connection, socket.socket]:
    local_end, remote_end = socket.socketpair()
    local_end.setblocking(False)
    assert descriptors.acquire(SocketUse.CLIENT)
    return Connection(SocketStream(local_end, 4096), descriptors, SocketUse.CLIENT), remote_end


class CheckCounter:
    """Counts poll objects and single connection checks."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.polls = self.single_checks = 0
        poll, has_peer_closed = select.poll, Connection.has_peer_closed

        def count_poll() -> Any:
            self.polls += 1
            return poll()

        def count_check(connection: Connection) -> bool:
            self.single_checks += 1
            return has_peer_closed(connection)

        monkeypatch.setattr(select, "poll", count_poll)
        monkeypatch.setattr(Connection, "has_peer_closed", count_check)


def test_one_poll_covers_all_connections_and_only_those_with_events_are_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        pairs = [connected_pair(descriptors) for _ in range(200)]
        watcher, reported = CloseWatcher(), list[int]()
        for index, (connection, _) in enumerate(pairs):
            exit_stack.enter_context(watcher.watch(connection, partial(reported.append, index)))
        for index in range(10):
            if index % 2:
                pairs[index][1].send(b"unread")
            pairs[index][1].shutdown(socket.SHUT_WR)
        for index in range(10, 15):
            pairs[index][1].send(b"unread, but it stays")
        counter = CheckCounter(monkeypatch)
        watcher._poll()
        assert sorted(reported) == list(range(10)) and len(watcher) == 190
        assert (
            counter.single_checks == 15 and counter.polls == 1 + 10
        )  # another poll for each connection with unread bytes
        watcher._poll()
        assert len(reported) == 10 and counter.single_checks == 20
        for connection, remote_end in pairs:
            connection.close()
            remote_end.close()
        watcher._poll()
        assert len(reported) == 200 and not len(watcher)

    descriptors = DescriptorBudget(1024)
    with ExitStack() as exit_stack:
        b.run(work())


def test_a_reused_descriptor_is_not_taken_for_the_closed_connection() -> None:
    async def work() -> None:
        old, remote_end = connected_pair(descriptors)
        watcher, reported = CloseWatcher(), list[str]()
        exit_stack.enter_context(watcher.watch(old, partial(reported.append, "old")))
        descriptor = old.stream.socket.fileno()
        old.close()
        new, new_remote_end = connected_pair(descriptors)
        assert new.stream.socket.fileno() == descriptor
        with watcher.watch(new, partial(reported.append, "new")):
            watcher._poll()
            assert reported == ["old"]
            new_remote_end.close()
            watcher._poll()
            assert reported == ["old", "new"]
        remote_end.close()
        new.close()

    descriptors = DescriptorBudget(64)
    with ExitStack() as exit_stack:
        b.run(work())


def test_without_poll_a_close_is_detected_if_no_bytes_are_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.delattr(select, "poll")
        watcher, reported = CloseWatcher(), list[int]()
        pairs = [connected_pair(descriptors) for _ in range(3)]
        for index, (connection, _) in enumerate(pairs):
            exit_stack.enter_context(watcher.watch(connection, partial(reported.append, index)))
        pairs[1][1].send(b"unread")
        for _, remote_end in pairs[:2]:
            remote_end.close()
        watcher._poll()
        assert reported == [0]  # the second close is hidden behind its unread bytes
        for connection, remote_end in pairs:
            connection.close()
            remote_end.close()

    descriptors = DescriptorBudget(64)
    with ExitStack() as exit_stack:
        b.run(work())


@pytest.mark.parametrize("sent", [False, True])
@pytest.mark.parametrize("shape", ["plain", "ahead"])
def test_a_thousand_clients_that_leave_at_once_get_no_attempt(
    shape: str, sent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Covers requests that are sent at that very moment. No client is checked over and over again."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, sockets=4 * MANY_CLIENTS) as bed:
            clients = [await bed.client() for _ in range(MANY_CLIENTS)]
            waiting, counter = x.ManualBalancer(bed), CheckCounter(monkeypatch)
            for client in clients:
                x.send_request(client, shape)
            await b.until(lambda: len(waiting.events_of(api.Request)) == MANY_CLIENTS)
            if shape == "ahead":
                await b.until(lambda: len(bed.sidecar.clients._close_watch) == MANY_CLIENTS)
            counter.single_checks = 0
            for index, client in enumerate(clients):
                x.disconnect(client, ("closed", "reset", "half-closed")[index % 3])
            if sent:
                waiting.decide(*(api.Send(request.id, b"s-1") for request in waiting.events_of(api.Request)))
            await b.until(lambda: not bed.sidecar.clients.open_count)
            counters = bed.sidecar.counters
            assert (counters.gone_before_send, counters.sends, counters.connects) == (MANY_CLIENTS, 0, 0)
            assert counters.crashed == 0 and not one.connections_opened
            # With a pending read the loop reports the close without a check. Each attempt makes one check.
            assert (
                MANY_CLIENTS * (sent + (shape == "ahead"))
                >= counter.single_checks
                >= MANY_CLIENTS * (sent or shape == "ahead")
            )

    b.run(work())


# Where the request waits


@pytest.mark.parametrize("shape", ["plain", "ahead"])
@pytest.mark.parametrize("way_of_leaving", ["closed", "reset", "half-closed"])
def test_a_client_that_leaves_while_queued_behind_its_key_gets_no_attempt(
    way_of_leaving: str, shape: str
) -> None:
    async def work() -> None:
        gate = asyncio.Event()
        leaving_client: b.Client

        async def leave_and_respond(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            await gate.wait()
            if len(one.requests) == 1:
                x.disconnect(leaving_client, way_of_leaving)
            await b.respond_ok(endpoint, request, writer)  # the key becomes free just as the client leaves

        one = b.Endpoint("s-1", leave_and_respond)
        async with b.bed(one, grades=IN_TURN) as bed:
            first, leaving_client, third = [await bed.client() for _ in range(3)]
            first.send("book", 8.0, "", KEY_LINE, OBJECT_KEY_LINE)
            await b.until(lambda: len(one.requests) == 1)
            leaving_client.send("book", 8.0, "", KEY_LINE, OBJECT_KEY_LINE)
            if shape == "ahead":
                leaving_client.writer.write(b"GET /view HTTP/1.1\r\n")
            await b.until(lambda: bed.sidecar.counters.taken == 2)
            third.send("book", 8.0, "", KEY_LINE, OBJECT_KEY_LINE)
            await b.until(lambda: bed.sidecar.counters.taken == 3)
            gate.set()
            assert (await first.read_response()).status == (await third.read_response()).status == 200
            counters = bed.sidecar.counters
            assert (counters.gone_before_send, counters.sends, counters.crashed) == (1, 2, 0)

    b.run(work())


@pytest.mark.parametrize("shape", ["plain", "old", "ahead"])
@pytest.mark.parametrize("failure", [b.respond_declined, b.close_connection])
def test_a_client_that_leaves_as_its_attempt_fails_gets_no_retry(
    failure: b.EndpointBehavior, shape: str
) -> None:
    async def work() -> None:
        client: b.Client

        async def leave_and_fail(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            x.disconnect(client, "closed")
            await failure(endpoint, request, writer)

        servers = [b.Endpoint(f"s-{number}", leave_and_fail) for number in range(3)]
        async with b.bed(*servers) as bed:
            client = await bed.client()
            x.send_request(client, shape)
            await b.until(lambda: not bed.sidecar.clients.open_count and bed.sidecar.counters.taken == 1)
            await b.until(lambda: not bed.sidecar._servers.active_attempts)
            assert (bed.sidecar.counters.clients_gone, bed.sidecar.counters.sends) == (1, 1)

    b.run(work())


@pytest.mark.parametrize("way_of_leaving", ["closed", "reset"])
def test_a_client_that_leaves_while_the_process_is_replaced_gets_no_attempt(
    tmp_path: Path, way_of_leaving: str
) -> None:
    """Its request is queued behind its key in the old process, and the new process has taken over."""

    async def work() -> None:
        gate = asyncio.Event()
        executed_ids: list[bytes | None] = []

        async def wait(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            executed_ids.append(request.fields.get_single(b"req-id"))
            if request.target.startswith(b"/book"):
                await gate.wait()
            await b.respond_ok(endpoint, request, writer)

        world = ReplacementEnvironment(tmp_path)
        await world.start()
        try:
            for end in world.endpoints:
                end.serve = wait
            path = tmp_path / "config.json"
            file = json.loads(path.read_text())
            file["settings"] |= {"grades": IN_TURN}
            path.write_text(json.dumps(file))
            old = await world.start_process()
            await world.next_event(old, "ready")
            first, leaving_client = [
                b.Client(*await asyncio.open_connection(*world.address)) for _ in range(2)
            ]
            assert (
                await leaving_client.call("view")
            ).status == 200  # the connection belongs to the old process
            first.send("book", 8.0, "", KEY_LINE, OBJECT_KEY_LINE)
            await b.until(lambda: len(executed_ids) == 2)
            leaving_client.send("book", 8.0, "", KEY_LINE, OBJECT_KEY_LINE)
            leaving_client.writer.write(b"GET /view HTTP/1.1\r\n")
            new = await world.start_process()
            await world.next_event(new, "ready")
            old.send_signal(signal.SIGTERM)
            x.disconnect(leaving_client, way_of_leaving)
            gate.set()
            assert (await first.read_response()).status == 200
            counters = await world.next_event(old, "counters")
            assert await old.wait() == 0
            assert (counters["clients_gone"], counters["sends"], counters["crashed"]) == (1, 2, 0)
            assert len(executed_ids) == 2
        finally:
            await world.stop_all()

    b.run(work())
