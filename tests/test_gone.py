"""A client that has gone gets no further attempt, whatever its request waits for: gone is gone.

The orders in which two things meet are forced, as in `test_crossings_clients`: no sleep has to hit anything.
"""

import asyncio
import json
import select
import signal
import socket
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from tornado.iostream import IOStream

from larkcrank.core import interface as api
from larkcrank.core.balancer import Balancer
from larkcrank.protocol import http1
from larkcrank.transport.closewatch import CloseWatcher
from larkcrank.transport.connection import Connection
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from tests import bed as b
from tests import crossing as x
from tests import frames as f
from tests import test_simwire as wire
from tests.test_replace import World

IN_TURN = [cls | {"in-turn": True} if cls["name"] == "book" else cls for cls in b.CLASSES]
KEY, SAME = b"Idempotency-Key: 5c0f", b"Req-Extra: item=7"
MANY = 1000


# The decisions: the simulator's cancel and a sidecar's client are one event

CLASSES = (
    api.RequestClass("look", api.Effect.SAFE, api.Group.ALL, 500.0, 1000.0, 0.0, 3.0),
    api.RequestClass("scan", api.Effect.KEYED, api.Group.ALL, 400.0, 1500.0, 1500.0, 2.0, in_turn=True),
    api.RequestClass("move", api.Effect.UNSAFE, api.Group.ALL, 500.0, 1500.0, 0.0, 2.0),
)
STEPS = ["request", "request", "gone", "outcome", "outcome", "uploaded", "list", "wait"]
RESULTS = [result for result in api.Result if result is not api.Result.CANCELLED]


class History:
    """Feeds a balancer with a drawn history and watches what it decides for those who have gone."""

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
        self.last = 0
        self.open: list[int] = []
        self.uploading: list[int] = []
        self.sends: dict[int, int] = {}
        self.out: list[tuple[int, int, bytes]] = []
        self.gone: set[int] = set()
        self.timer: tuple[float, int] | None = None

    def do(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case api.Send():
                    assert action.id not in self.gone, f"{action} for a client that has gone"
                    attempt = self.sends.get(action.id, 0)
                    self.sends[action.id] = attempt + 1
                    self.out.append((action.id, attempt, action.address))
                case api.Refuse() | api.Fail():
                    assert action.id not in self.gone, f"{action} for a client that has gone"
                    self.open.remove(action.id)
                case api.SetTimer():
                    self.timer = self.now + action.wait_ms, action.token

    def wait(self, duration: float) -> None:
        until = self.now + duration
        while self.timer is not None and self.timer[0] <= until:
            (self.now, token), self.timer = self.timer, None
            self.do(api.TimerFired(token))
        self.now = until

    def step(self, what: str, which: int, how: int) -> None:
        match what:
            case "request":
                self.last += 1
                self.open.append(self.last)
                cls, uploading = which % len(CLASSES), how % 4 == 0
                if uploading:
                    self.uploading.append(self.last)
                left = CLASSES[cls].deadline_ms
                self.do(api.Request(self.last, cls, left, key=1 + how % 3, uploading=uploading))
            case "gone" if self.open:
                number = self.open.pop(which % len(self.open))
                self.gone.add(number)  # from its cancel on, also for what that itself brings about
                self.do(api.ClientGone(number))
            case "outcome" if self.out:
                number, attempt, server = self.out.pop(which % len(self.out))
                result = RESULTS[how % len(RESULTS)]
                if result is api.Result.OK and number in self.open:
                    self.open.remove(number)
                self.do(api.Outcome(number, attempt, server, result, 20.0, number not in self.open))
            case "uploaded" if self.uploading:
                self.do(api.Uploaded(self.uploading.pop(which % len(self.uploading)), 900.0))
            case "list":
                lines = (
                    api.Endpoint(b"s%d" % one, api.State.READY if which >> one & 1 else api.State.DRAINING)
                    for one in range(4)
                )
                self.do(api.ServerList(tuple(lines), complete=True))
            case "wait":
                self.wait(float(how))


def play(may_cancel: bool, seed: int, steps: list[tuple[str, int, int]]) -> None:
    history = History(may_cancel, seed)
    if seed:
        history.step("list", 15, 0)
    for step in steps:
        history.step(*step)
    history.step("list", 15, 0)  # whatever was held for want of a server goes on now
    history.wait(5000.0)
    while history.out:
        history.step("outcome", 0, RESULTS.index(api.Result.ERROR))
        history.wait(100.0)
    kept = {*history.balancer._requests, *(job.id for job in history.balancer._queue)}
    kept |= {job.id for line in history.balancer._key_queues.values() for job in line.requests}
    assert not kept & history.gone, "kept for a client that has gone"


DRAWN = (
    st.booleans(),
    st.integers(0, 5),
    st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 15), st.integers(0, 400)), max_size=80),
)


@given(*DRAWN)
@settings(max_examples=300)
def test_after_its_cancel_nothing_is_decided_for_a_request(
    may_cancel: bool, seed: int, steps: list[tuple[str, int, int]]
) -> None:
    """Held, in the line of its key, uploading or between two attempts."""
    play(may_cancel, seed, steps)


def _unheard(balancer: Balancer, now: float, event: api.Event) -> list[api.Action]:
    return [] if isinstance(event, api.ClientGone) else _HANDLE(balancer, now, event)


def _still_held(balancer: Balancer, number: int) -> None:
    held = list(balancer._queue)
    _CLOSE(balancer, number)
    balancer._queue = held


def _still_in_line(balancer: Balancer, now: float, event: api.Event) -> list[api.Action]:
    job = balancer._requests.get(event.id) if isinstance(event, api.ClientGone) else None
    actions = _HANDLE(balancer, now, event)
    if job is not None and (line := balancer._key_queues.get(job.ordering_key)) is not None:
        line.requests.append(job)
    return actions


_HANDLE, _CLOSE = Balancer.handle, Balancer._remove_request


@pytest.mark.parametrize(
    ("name", "planted"), [("handle", _unheard), ("_remove_request", _still_held), ("handle", _still_in_line)]
)
def test_the_histories_find_a_planted_fault(name: str, planted: Callable[..., Any]) -> None:
    find = settings(max_examples=300, phases=[Phase.generate], report_multiple_bugs=False)(
        given(*DRAWN)(play)
    )
    with mock.patch.object(Balancer, name, planted), pytest.raises(AssertionError, match="has gone"):
        find()


@pytest.mark.parametrize("cancelled", [True, False])
def test_a_cancel_on_the_wire_ends_what_is_held_and_what_would_be_repeated(cancelled: bool) -> None:
    def cancel(number: int) -> list[bytes]:
        return [f.client_gone_event(number)] if cancelled else []

    host, one = wire.host_with_servers(), f.select_instance(3)
    assert not wire.sent_attempts(
        wire.handle_records(host, 1.0, one, f.request_event(1))
    )  # held: there is no server
    wire.handle_records(host, 2.0, one, *cancel(1))
    servers = f.define_server_list(1, f.list_entry(f.ADDRESS_A), f.list_entry(f.ADDRESS_B))
    found = wire.sent_attempts(wire.handle_records(host, 3.0, one, servers, f.server_list_event(1, 2)))
    assert bool(found) is not cancelled
    for number, server in found:
        wire.handle_records(host, 3.5, one, f.outcome_event(number, server, 100, closed=1))
    ((_, server),) = wire.sent_attempts(wire.handle_records(host, 4.0, one, f.request_event(2)))
    found = wire.sent_attempts(
        wire.handle_records(host, 5.0, one, *cancel(2), f.outcome_event(2, server, 302))
    )  # turned away unseen
    assert bool(found) is not cancelled


# The look


@pytest.mark.parametrize("shape", ["plain", "long"])
@pytest.mark.parametrize("pool", [True, False])
def test_no_turn_of_the_loop_passes_between_the_look_and_the_first_byte(
    shape: str, pool: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A busy loop makes such a turn as long as it likes; a long body's head was once written a turn later."""
    order: list[str] = []
    look, hand_over = Connection.has_peer_closed, IOStream.write_to_fd

    def looked(connection: Connection) -> bool:
        order.append("look")
        asyncio.get_running_loop().call_soon(order.append, "turn")
        return look(connection)

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            if pool:
                await x.pooled(bed, client)

            def handed_over(stream: IOStream, data: memoryview) -> int:
                if stream.socket.getpeername()[1] == one.port:
                    order.append("bytes")
                return hand_over(stream, data)

            monkeypatch.setattr(Connection, "has_peer_closed", looked)
            monkeypatch.setattr(IOStream, "write_to_fd", handed_over)
            x.ask(client, shape)
            await b.until(lambda: "bytes" in order)
            first = order.index("bytes")
            assert order[first - 1] == "look" and order.count("look") == (1 if pool else 2)

    b.run(work())


@pytest.mark.parametrize("pool", [True, False])
def test_a_client_that_left_costs_no_connection(pool: bool) -> None:
    """Each that had left closed the idle connection that was taken for it, or had one made for nothing."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one) as bed:
            client = await bed.client()
            if pool:
                await x.pooled(bed, client)
            connects = bed.sidecar.counters.connects
            waiting = x.Waiting(bed)
            client.send("view")
            number = await waiting.request()
            x.leave(client, "closed")
            waiting.say(api.Send(number, b"s-1"))
            await b.until(lambda: bool(waiting.seen(api.ClientGone)))
            assert len(bed.sidecar.pool) == pool and bed.sidecar.counters.connects == connects

    b.run(work())


def pair(descriptors: DescriptorBudget) -> tuple[Connection, socket.socket]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    assert descriptors.acquire(SocketUse.CLIENT)
    return Connection(IOStream(ours), descriptors, SocketUse.CLIENT), theirs


class Looks:
    """Counts system calls of looks."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.polls = self.singly = 0
        poll, has_ended = select.poll, Connection.has_peer_closed

        def polled() -> Any:
            self.polls += 1
            return poll()

        def looked(connection: Connection) -> bool:
            self.singly += 1
            return has_ended(connection)

        monkeypatch.setattr(select, "poll", polled)
        monkeypatch.setattr(Connection, "has_peer_closed", looked)


def test_one_look_is_one_call_for_all_and_one_more_for_each_with_something_to_tell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        pairs = [pair(descriptors) for _ in range(200)]
        watch, told = CloseWatcher(), list[int]()
        for index, (connection, _) in enumerate(pairs):
            within.enter_context(watch.watch(connection, partial(told.append, index)))
        for index in range(10):
            if index % 2:
                pairs[index][1].send(b"unread")
            pairs[index][1].shutdown(socket.SHUT_WR)
        for index in range(10, 15):
            pairs[index][1].send(b"unread, but it stays")
        looks = Looks(monkeypatch)
        watch._poll()
        assert sorted(told) == list(range(10)) and len(watch) == 190
        assert looks.singly == 15 and looks.polls == 1 + 10  # a second call where bytes are unread
        watch._poll()
        assert len(told) == 10 and looks.singly == 20
        for connection, theirs in pairs:
            connection.close()
            theirs.close()
        watch._poll()
        assert len(told) == 200 and not len(watch)

    descriptors = DescriptorBudget(1024)
    with ExitStack() as within:
        b.run(work())


def test_a_number_that_is_anothers_by_now_is_not_taken_for_the_closed_ones() -> None:
    async def work() -> None:
        old, theirs = pair(descriptors)
        watch, told = CloseWatcher(), list[str]()
        within.enter_context(watch.watch(old, partial(told.append, "old")))
        number = old.stream.socket.fileno()
        old.close()
        new, others = pair(descriptors)
        assert new.stream.socket.fileno() == number
        with watch.watch(new, partial(told.append, "new")):
            watch._poll()
            assert told == ["old"]
            others.close()
            watch._poll()
            assert told == ["old", "new"]
        theirs.close()
        new.close()

    descriptors = DescriptorBudget(64)
    with ExitStack() as within:
        b.run(work())


def test_without_such_a_call_an_end_shows_where_nothing_is_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.delattr(select, "poll")
        watch, told = CloseWatcher(), list[int]()
        pairs = [pair(descriptors) for _ in range(3)]
        for index, (connection, _) in enumerate(pairs):
            within.enter_context(watch.watch(connection, partial(told.append, index)))
        pairs[1][1].send(b"unread")
        for _, theirs in pairs[:2]:
            theirs.close()
        watch._poll()
        assert told == [0]  # the second one's end stands behind what it sent, as far as can be told
        for connection, theirs in pairs:
            connection.close()
            theirs.close()

    descriptors = DescriptorBudget(64)
    with ExitStack() as within:
        b.run(work())


@pytest.mark.parametrize("sent", [False, True])
@pytest.mark.parametrize("shape", ["plain", "ahead"])
def test_a_thousand_that_leave_at_one_moment_are_each_left_out(
    shape: str, sent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also those whose turn comes at that very moment; and none of them is looked at again and again."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with b.bed(one, sockets=4 * MANY) as bed:
            clients = [await bed.client() for _ in range(MANY)]
            waiting, looks = x.Waiting(bed), Looks(monkeypatch)
            for client in clients:
                x.ask(client, shape)
            await b.until(lambda: len(waiting.seen(api.Request)) == MANY)
            if shape == "ahead":
                await b.until(lambda: len(bed.sidecar.clients._close_watch) == MANY)
            looks.singly = 0
            for index, client in enumerate(clients):
                x.leave(client, ("closed", "reset", "half-closed")[index % 3])
            if sent:
                waiting.say(*(api.Send(request.id, b"s-1") for request in waiting.seen(api.Request)))
            await b.until(lambda: not bed.sidecar.clients.open)
            counters = bed.sidecar.counters
            assert (counters.gone_before_send, counters.sends, counters.connects) == (MANY, 0, 0)
            assert counters.crashed == 0 and not one.connections_opened
            # Where a read is pending the loop tells it without a look; each attempt looks once.
            assert MANY * (sent + (shape == "ahead")) >= looks.singly >= MANY * (sent or shape == "ahead")

    b.run(work())


# What it waits for


@pytest.mark.parametrize("shape", ["plain", "ahead"])
@pytest.mark.parametrize("how", ["closed", "reset", "half-closed"])
def test_a_client_that_left_while_its_key_had_another_turn(how: str, shape: str) -> None:
    async def work() -> None:
        gate = asyncio.Event()
        leaver: b.Client

        async def leave_and_answer(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            await gate.wait()
            if len(one.requests) == 1:
                x.leave(leaver, how)
            await b.respond_ok(endpoint, request, writer)  # the turn is over in the moment in which it leaves

        one = b.Endpoint("s-1", leave_and_answer)
        async with b.bed(one, grades=IN_TURN) as bed:
            first, leaver, third = [await bed.client() for _ in range(3)]
            first.send("book", 8.0, "", KEY, SAME)
            await b.until(lambda: len(one.requests) == 1)
            leaver.send("book", 8.0, "", KEY, SAME)
            if shape == "ahead":
                leaver.writer.write(b"GET /view HTTP/1.1\r\n")
            await b.until(lambda: bed.sidecar.counters.taken == 2)
            third.send("book", 8.0, "", KEY, SAME)
            await b.until(lambda: bed.sidecar.counters.taken == 3)
            gate.set()
            assert (await first.read_response()).status == (await third.read_response()).status == 200
            counters = bed.sidecar.counters
            assert (counters.gone_before_send, counters.sends, counters.crashed) == (1, 2, 0)

    b.run(work())


@pytest.mark.parametrize("shape", ["plain", "old", "ahead"])
@pytest.mark.parametrize("failure", [b.respond_declined, b.close_connection])
def test_a_client_that_left_as_its_attempt_failed_gets_no_further_one(
    failure: b.EndpointBehavior, shape: str
) -> None:
    async def work() -> None:
        client: b.Client

        async def leave_and_fail(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            x.leave(client, "closed")
            await failure(endpoint, request, writer)

        servers = [b.Endpoint(f"s-{number}", leave_and_fail) for number in range(3)]
        async with b.bed(*servers) as bed:
            client = await bed.client()
            x.ask(client, shape)
            await b.until(lambda: not bed.sidecar.clients.open and bed.sidecar.counters.taken == 1)
            await b.until(lambda: not bed.sidecar._servers.under_way)
            assert (bed.sidecar.counters.clients_gone, bed.sidecar.counters.sends) == (1, 1)

    b.run(work())


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_client_that_left_while_the_process_was_replaced(tmp_path: Path, how: str) -> None:
    """Its request waits for its turn in the process that ends; the next one has taken over."""

    async def work() -> None:
        gate = asyncio.Event()
        ran: list[bytes | None] = []

        async def wait(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
            ran.append(request.fields.get_single(b"req-id"))
            if request.target.startswith(b"/book"):
                await gate.wait()
            await b.respond_ok(endpoint, request, writer)

        world = World(tmp_path)
        await world.start()
        try:
            for end in world.ends:
                end.serve = wait
            path = tmp_path / "config.json"
            file = json.loads(path.read_text())
            file["settings"] |= {"grades": IN_TURN}
            path.write_text(json.dumps(file))
            old = await world.run()
            await world.said(old, "ready")
            first, leaver = [b.Client(*await asyncio.open_connection(*world.place)) for _ in range(2)]
            assert (await leaver.call("view")).status == 200  # its connection is the old process's
            first.send("book", 8.0, "", KEY, SAME)
            await b.until(lambda: len(ran) == 2)
            leaver.send("book", 8.0, "", KEY, SAME)
            leaver.writer.write(b"GET /view HTTP/1.1\r\n")
            new = await world.run()
            await world.said(new, "ready")
            old.send_signal(signal.SIGTERM)
            x.leave(leaver, how)
            gate.set()
            assert (await first.read_response()).status == 200
            counters = await world.said(old, "counters")
            assert await old.wait() == 0
            assert (counters["clients_gone"], counters["sends"], counters["crashed"]) == (1, 2, 0)
            assert len(ran) == 2
        finally:
            await world.end()

    b.run(work())
