"""The client side: requests from the application's connections, answers back to them."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial
from typing import Any, Protocol

from larkcrank.core.interface import Effect, RequestClass, Settings
from larkcrank.protocol import http1, platform
from larkcrank.routing.exchange import Answer, Exchange, StreamAnswer, Upload
from larkcrank.routing.life import Life
from larkcrank.transport.budget import BufferBudget
from larkcrank.transport.closewatch import CloseWatcher
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

# A head must be whole by then, of a connection's first request counted from its accept. After it, so many
# bytes of the body, or its end, must come every so often in which we read.
PART_TIMEOUT_S = 2.4
PART_BYTES = 16 * 1024
STALL_S = 20.0  # a client that has taken nothing of a long answer for so long is not read to any more
REST_AFTER_S = 10.0  # of a body that nobody wants any more: read and dropped, so that the answer is seen
REST_S = 0.2  # a connection on which nothing was under way for so long may make way for another
IDLE_S = 2.0  # one that was served is left open for so long at least, unless places run out
IDLE_ABOVE = 0.5  # of the clients' places; with fewer taken, idle connections cost nothing
LINGER_S = 0.3  # a client that is told of its error may still be sending
LINGER_BYTES = 1 << 20
SWEEP_S = 0.2


class Desk(Protocol):
    """Where requests are handed in."""

    def is_full(self) -> bool: ...
    def next_id(self) -> int: ...
    def take(self, exchange: Exchange) -> None: ...
    def uploaded(self, exchange: Exchange) -> None: ...
    def client_gone(self, exchange: Exchange) -> None: ...


class Tally(Protocol):
    """What the client side counts."""

    connections: int
    bad_requests: int
    turned_away_full: int
    crashed: int


class Clients:
    """Serves the application's connections, one request at a time on each."""

    def __init__(
        self,
        settings: Settings,
        desk: Desk,
        life: Life,
        came_at: Callable[[], float],
        descriptors: DescriptorBudget,
        budget: BufferBudget,
        max_body: int,
        tally: Tally,
        failed: Callable[[str, BaseException], None],
    ) -> None:
        self._warm_keys = settings.warm_keys
        self._desk = desk
        self._life = life
        self._came_at = came_at
        self._tally = tally
        self._failed = failed
        self._classes = {cls.name: (index, cls) for index, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._open: dict[Connection, _Visit] = {}
        # Where nothing is under way, longest first, so that to find one that can make way costs no search.
        self._silent: OrderedDict[_Visit, None] = (
            OrderedDict()
        )  # no whole request has come, nor a part of one
        self._idle: OrderedDict[_Visit, None] = OrderedDict()  # served before
        self._ids: set[str] = set()  # of the requests in hand
        self._close_watch = CloseWatcher()
        self._sweeper: asyncio.TimerHandle | None = None
        self._descriptors = descriptors
        self._budget = budget
        self._max_body = max_body
        descriptors.register_evictor(SocketUse.CLIENT, self._make_way, self._longest)

    @property
    def open(self) -> int:
        return len(self._open)

    def accept(self, connection: Connection) -> None:
        visit = _Visit(connection, self._max_body)
        self._open[connection] = visit
        self._tally.connections += 1
        loop = asyncio.get_running_loop()
        visit.task = loop.create_task(self._serve(visit))
        if self._sweeper is None:
            self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def close_idle(self, rest_s: float = 0.0) -> int:
        """Close the connections that rested so long and on which nothing can be under way; say how many
        others there are. One just accepted has its first request on the way, one just answered the next."""
        now = asyncio.get_running_loop().time()
        for visit in list(self._open.values()):
            if now - visit.since >= rest_s and visit.is_idle():
                visit.connection.close()
        return sum(not visit.connection.closed for visit in self._open.values())

    def cut(self) -> None:
        """End every connection; what is half written on one shows that it is not whole."""
        for visit in self._open.values():
            visit.connection.abort()
            if visit.task is not None:
                visit.task.cancel()

    def _make_way(self) -> bool:
        """Close one connection on which nothing is under way: silent ones that have had their time first."""
        old = asyncio.get_running_loop().time() - REST_S
        return self._close_first(self._silent, old) or self._close_first(self._idle, old)

    def _longest(self) -> float:
        """Since when the one that has rested longest does so."""
        return min(
            (next(iter(resting)).since for resting in (self._silent, self._idle) if resting), default=math.inf
        )

    @staticmethod
    def _close_first(resting: "OrderedDict[_Visit, None]", since: float) -> bool:
        """Close the one that has rested longest, if it has since then."""
        while resting and (visit := next(iter(resting))).since <= since:
            del resting[visit]  # one that was sent something just now is about to be read
            if visit.over or visit.connection.is_idle():
                visit.connection.close()
                return True
        return False

    def _sweep(self) -> None:
        """End what is silent or stays half for too long: a flood of such clients must not fill the places."""
        now = asyncio.get_running_loop().time()
        for visit in list(self._open.values()):
            # Of a request that is whole, or answered, nothing more is due from the client.
            waits = visit.uploading is not None and not visit.uploading.closed and not visit.blocked
            if (visit.busy and not waits) or visit.over or visit in self._idle:
                continue
            if now - visit.since < PART_TIMEOUT_S:
                continue
            if visit.parser.has_partial_request:
                self._tally.bad_requests += 1
                visit.connection.write_and_close(_bad(http1.MessageError(408, "request not whole in time")))
            elif visit.connection.is_idle():
                visit.connection.close()
        while self._descriptors.used_share(SocketUse.CLIENT) > IDLE_ABOVE and self._close_first(
            self._idle, now - IDLE_S
        ):
            pass
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep) if self._open else None

    def _rest(self, visit: "_Visit") -> None:
        """Nothing is under way on it until something is read."""
        (self._idle if visit.served else self._silent)[visit] = None

    def _wake(self, visit: "_Visit") -> None:
        self._idle.pop(visit, None)
        self._silent.pop(visit, None)

    async def _serve(self, visit: "_Visit") -> None:
        connection = visit.connection
        try:
            while True:
                request = await self._next_request(visit)
                keep = await self._handle(visit, request)
                visit.served, visit.since = True, asyncio.get_running_loop().time()
                if not keep:
                    return
        except ConnectionLostError:
            pass
        except http1.MessageError as error:
            await self._say_bad(visit, error)
        except Exception as error:
            self._tally.crashed += 1
            self._failed("client connection", error)
        finally:
            connection.close()
            self._wake(visit)
            self._open.pop(connection, None)

    async def _next_request(self, visit: "_Visit") -> http1.Request:
        parser, connection = visit.parser, visit.connection
        has_head = False
        while (request := parser.next()) is None:
            if parser.awaits_body and not has_head:
                has_head, visit.came, visit.since = True, 0, asyncio.get_running_loop().time()
            if parser.expects_continue:
                parser.expects_continue = False
                await connection.write(http1.CONTINUE_RESPONSE)
            if parser.has_partial_request:
                await self._read(visit)
                continue
            self._rest(visit)
            await self._read(visit)
            self._wake(visit)
            if visit.served:
                visit.since = asyncio.get_running_loop().time()
        return request

    async def _read(self, visit: "_Visit") -> None:
        had_head = visit.parser.awaits_body
        data = await visit.connection.read(self._budget.read_size)
        visit.parser.feed(data)
        visit.read_at = self._came_at()
        if had_head:  # and so is at its body
            self._progress(visit, len(data))

    @staticmethod
    def _progress(visit: "_Visit", count: int) -> None:
        visit.came += count
        if visit.came >= PART_BYTES:
            visit.came, visit.since = 0, asyncio.get_running_loop().time()

    async def _handle(self, visit: "_Visit", request: http1.Request) -> bool:
        """Answer one request; False where the connection ends with it."""
        visit.busy = True
        try:
            return await self._reply(visit, request)
        finally:
            visit.busy = False

    async def _reply(self, visit: "_Visit", request: http1.Request) -> bool:
        if platform.is_ready_check(request):
            status = 200 if self._life.is_ready else 503
            return await self._write(visit, request, status, (), b"")
        exchange = self._exchange(request, visit)  # what is no request ends its connection
        if self._desk.is_full():
            self._tally.turned_away_full += 1
            return await self._write(visit, request, 503, (), b"too many requests in hand")
        if exchange.upload is not None:
            return await self._take_long(visit, request, exchange, exchange.upload)
        self._ids.add(exchange.call.id)
        try:
            self._desk.take(exchange)
            return await self._await_answer(visit, request, exchange)
        finally:
            self._ids.discard(exchange.call.id)
            self._desk.client_gone(exchange)  # where it ends here without an answer, whatever the reason

    async def _take_long(
        self, visit: "_Visit", request: http1.Request, exchange: Exchange, upload: Upload
    ) -> bool:
        """A request whose body passes through: it is answered when it is, and its body read to the end."""
        visit.uploading, visit.came, visit.since = exchange, 0, asyncio.get_running_loop().time()
        self._ids.add(exchange.call.id)
        pump = asyncio.get_running_loop().create_task(self._pump(visit, exchange, upload))
        try:
            self._desk.take(exchange)
            first = exchange.first()
            either: set[asyncio.Future[Any]] = {first, pump}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if pump.done():
                pump.result()
                return await self._await_answer(visit, request, exchange)
            visit.early = True  # the answer ends the connection: what follows on it can't be told apart
            await self._answer(visit, request, exchange, _given(first))
            # Whoever still writes may look for the answer only then: to end our side now would cut it off.
            await asyncio.wait((pump,), timeout=REST_AFTER_S)
            return False
        finally:
            upload.end()
            visit.uploading = None
            pump.add_done_callback(_seen)  # it ends with the connection, if it has not
            self._ids.discard(exchange.call.id)
            self._desk.client_gone(exchange)

    async def _pump(self, visit: "_Visit", exchange: Exchange, upload: Upload) -> None:
        """Read the body. Its last byte begins the request's time."""
        parser = visit.parser
        try:
            if parser.expects_continue:
                await visit.connection.write(http1.CONTINUE_RESPONSE)
            while parser.is_streaming:
                data = await visit.connection.read(self._budget.read_size)
                parser.feed(data)
                part = parser.take_part()
                visit.read_at = self._came_at()
                upload.put(part)
                self._progress(visit, len(data))
                if parser.is_streaming and upload.is_full:
                    visit.blocked = True
                    with self._leaving(visit, exchange):
                        await upload.room()
                    visit.blocked, visit.came, visit.since = False, 0, asyncio.get_running_loop().time()
            exchange.came_at = visit.read_at
            exchange.deadline = min(exchange.came_at + exchange.wait_ms, self._life.latest)
            visit.uploading = None
            upload.finish(whole=True)
            self._desk.uploaded(exchange)
        except (ConnectionLostError, http1.MessageError):
            upload.finish(whole=False)
            raise

    def _leaving(self, visit: "_Visit", exchange: Exchange) -> AbstractContextManager[None]:
        """While nothing is read from the client, only a look tells whether it is still there."""
        return self._close_watch.watch(visit.connection, partial(self._desk.client_gone, exchange))

    async def _await_answer(self, visit: "_Visit", request: http1.Request, exchange: Exchange) -> bool:
        connection, first = visit.connection, exchange.first()
        while not first.done():
            if (
                visit.parser.has_partial_request
            ):  # it sent on ahead: no more is read until this one is answered
                with self._leaving(visit, exchange):
                    await asyncio.wait((first,))
                break
            pending = connection.start_read()
            either: set[asyncio.Future[Any]] = {first, pending}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if pending.done() and not first.done():
                await self._read(visit)
        return await self._answer(visit, request, exchange, _given(first))

    async def _answer(
        self, visit: "_Visit", request: http1.Request, exchange: Exchange, answer: Answer | StreamAnswer
    ) -> bool:
        if isinstance(answer, StreamAnswer):
            return await self._write_stream(visit, request, exchange, answer)
        return await self._write(visit, request, answer.status, answer.lines, answer.body)

    async def _write(
        self, visit: "_Visit", request: http1.Request, status: int, lines: tuple[bytes, ...], body: bytes
    ) -> bool:
        close = self._ends_with(visit, request)
        text = http1.encode_response(status, lines, body, close, announce_keep_alive=request.is_http10)
        await self._write_part(visit.connection, text)
        return not close

    async def _write_stream(
        self, visit: "_Visit", request: http1.Request, exchange: Exchange, answer: StreamAnswer
    ) -> bool:
        close = self._ends_with(visit, request)
        connection = visit.connection
        chunked = answer.length is None and not request.is_http10
        framing = b"" if answer.length is None else http1.content_length_line(answer.length)
        if chunked:
            framing = http1.CHUNKED_LINE
        close = close or not framing  # HTTP/1.0 knows no chunks: the connection's end is the body's
        if not visit.early:  # else the pump reads, and sees it
            connection.start_read().add_done_callback(lambda _: connection.closed and exchange.leave())
        head = http1.encode_response_head(
            answer.status, answer.lines, framing, close, announce_keep_alive=request.is_http10
        )
        await self._write_part(connection, head)
        while (part := await exchange.next_part()) is not None:
            if part:
                await self._write_part(connection, http1.encode_chunk(part) if chunked else part)
        if exchange.broken:
            connection.abort()  # the client sees that it is not whole, however it is framed
            return False
        if chunked:
            await self._write_part(connection, http1.encode_chunk(b""))
        return not close

    @staticmethod
    async def _write_part(connection: Connection, data: bytes) -> None:
        """A client may take long, but not for ever, over what it is given."""
        try:
            async with asyncio.timeout(STALL_S):
                await connection.write(data)
        except TimeoutError:
            raise ConnectionLostError("the client takes nothing") from None

    def _ends_with(self, visit: "_Visit", request: http1.Request) -> bool:
        """Whether the connection ends with this answer: it is asked to, or its place is wanted."""
        wanted = self._life.sends_away or self._descriptors.has_waiters
        return wanted or visit.early or not request.keep_alive

    def _exchange(self, request: http1.Request, visit: "_Visit") -> Exchange:
        call = platform.read_call_info(request)
        index, cls = self._class_of(request, call)
        if call.id in self._ids:  # two answers to one id could not be told apart
            raise http1.MessageError(409, "a request with this Req-Id is in hand")
        _check_method(cls.effect, call, request)
        if self._tenants and call.owner and call.owner not in self._tenants:
            raise http1.MessageError(400, "unknown Req-Owner")
        wait_ms = cls.deadline_ms if call.client_timeout_ms is None else call.client_timeout_ms
        came_at = visit.read_at
        return Exchange(
            id=self._desk.next_id(),
            cls=index,
            call=call,
            request=request,
            came_at=came_at,
            deadline=min(came_at + wait_ms, self._life.latest) if request.is_complete else math.inf,
            streaming=cls.streaming,
            tenant=self._tenants.get(call.owner, 0),
            upload=None if request.is_complete else Upload(request.body, self._budget),
            wait_ms=wait_ms,
            key=platform.read_object_key(request) if cls.in_turn or self._warm_keys else 0,
            client_ended=visit.connection.has_peer_closed,
        )

    def _class_of(self, request: http1.Request, call: platform.CallInfo) -> tuple[int, RequestClass]:
        found = self._classes.get(call.kind)
        if found is None:
            raise http1.MessageError(404, "unknown class of request")
        by_path = self._classes.get(platform.first_path_segment(request.target), found)
        if by_path is not found:  # a wrong class could repeat what must not be repeated
            raise http1.MessageError(400, "Req-Kind and path name two classes")
        return found

    async def _say_bad(self, visit: "_Visit", error: http1.MessageError) -> None:
        """Answer what is no request. Closed with input unread, the connection would lose the answer."""
        self._tally.bad_requests += 1
        connection = visit.connection
        visit.over, visit.since = True, 0.0  # the first to make way
        self._silent[visit] = None
        self._silent.move_to_end(visit, last=False)
        if not visit.parser.has_partial_request and connection.is_idle():
            connection.write_and_close(_bad(error))
            return
        try:
            async with asyncio.timeout(LINGER_S):
                await connection.write(_bad(error))
                connection.shutdown_write()
                read = 0
                while read < LINGER_BYTES:
                    read += len(await connection.read())
        except (ConnectionLostError, TimeoutError):
            pass


def _bad(error: http1.MessageError) -> bytes:
    return http1.encode_response(error.status, (), str(error).encode(), close=True)


def _check_method(effect: Effect, call: platform.CallInfo, request: http1.Request) -> None:
    """Method, body and key follow from the class; else what a server makes of it is not what we decide by."""
    if request.method != (b"GET" if effect is Effect.SAFE else b"POST"):
        raise http1.MessageError(405, "method does not fit the class")
    if effect is Effect.SAFE and (request.body or not request.is_complete):
        raise http1.MessageError(400, "body on a request of a class that is safe to repeat")
    if effect is Effect.KEYED and not call.has_idempotency_key:
        raise http1.MessageError(400, "no Idempotency-Key on a request of a keyed class")
    if effect is Effect.UNSAFE and call.has_idempotency_key:
        raise http1.MessageError(400, "Idempotency-Key on a request of a class that has none")


def _given(first: "asyncio.Future[Answer | StreamAnswer]") -> Answer | StreamAnswer:
    """The answer; none comes where the server side was the first to see that the client has left."""
    if first.cancelled():
        raise ConnectionLostError("the client has left")
    return first.result()


def _seen(task: "asyncio.Task[None]") -> None:
    if not task.cancelled():
        task.exception()


class _Visit:
    """One of the application's connections."""

    __slots__ = (
        "blocked",
        "busy",
        "came",
        "connection",
        "early",
        "over",
        "parser",
        "read_at",
        "served",
        "since",
        "task",
        "uploading",
    )

    def __init__(self, connection: Connection, max_body: int) -> None:
        self.connection = connection
        self.parser = http1.RequestParser(max_body)
        self.uploading: Exchange | None = None  # the request whose body passes through just now
        self.blocked = False  # while its endpoint has no room for more: nothing is read
        self.early = False  # it is answered before its body's end
        self.came = 0  # bytes of a body since it was last seen to go on
        self.busy = False  # from a request's last byte in to its answer's last byte out
        self.over = False  # told of its error; only what it still sends is read
        # Came, was answered last, began its request, or went on with its body.
        self.since = asyncio.get_running_loop().time()
        self.read_at = 0.0  # when what was read last can have come: a request sent ahead waits on our side
        self.served = False
        self.task: asyncio.Task[None] | None = None

    def is_idle(self) -> bool:
        return not self.busy and not self.parser.has_partial_request and self.connection.is_idle()
