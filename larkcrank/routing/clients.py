"""The client side: requests from the application's connections, answers back to them."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from larkcrank.core.interface import Effect, RequestClass, Settings
from larkcrank.protocol import http1, platform
from larkcrank.routing.exchange import Exchange, StreamAnswer
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.descriptors import Descriptors, Use

PART_TIMEOUT_S = 30.0  # a request that was begun must be whole by then
SILENT_S = 1.0  # a connection that has sent nothing for so long may make way for another
LINGER_S = 1.0  # a client that is told of its error may still be sending
LINGER_BYTES = 1 << 20


class Desk(Protocol):
    """Where requests are handed in."""

    def is_full(self) -> bool: ...
    def next_id(self) -> int: ...
    def take(self, exchange: Exchange) -> None: ...
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
        came_at: Callable[[], float],
        descriptors: Descriptors,
        tally: Tally,
        failed: Callable[[str, BaseException], None],
    ) -> None:
        self._desk = desk
        self._came_at = came_at
        self._tally = tally
        self._failed = failed
        self._classes = {cls.name: (index, cls) for index, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._open: dict[Connection, _Visit] = {}
        self._closing = False
        self._descriptors = descriptors
        descriptors.add_spare(Use.CLIENT, self._close_one_idle)

    @property
    def open(self) -> int:
        return len(self._open)

    def accept(self, connection: Connection) -> None:
        visit = _Visit(connection)
        self._open[connection] = visit
        self._tally.connections += 1
        visit.task = asyncio.get_running_loop().create_task(self._serve(visit))

    def wind_down(self) -> None:
        """From now on every answer ends its connection."""
        self._closing = True

    def close_idle(self) -> int:
        """Close the connections on which nothing can be under way; say how many others there are."""
        for visit in list(self._open.values()):
            if visit.is_idle():
                visit.connection.close()
        return sum(not visit.connection.closed for visit in self._open.values())

    async def finished(self) -> None:
        """Wait until the last connection is closed."""
        while self._open:
            await asyncio.wait([visit.task for visit in self._open.values() if visit.task is not None])

    def _close_one_idle(self) -> bool:
        """Those that were served first; one that sent nothing yet only when it has had its time."""
        idle = [visit for visit in self._open.values() if visit.is_idle()]
        old = asyncio.get_running_loop().time() - SILENT_S
        idle.sort(key=lambda visit: not visit.served)
        spare = next((visit for visit in idle if visit.served or visit.came < old), None)
        if spare is not None:
            spare.connection.close()
        return spare is not None

    async def _serve(self, visit: "_Visit") -> None:
        connection = visit.connection
        try:
            while True:
                request = await self._next_request(visit)
                keep = await self._handle(visit, request)
                visit.served = True
                if not keep:
                    return
        except ConnectionLostError:
            pass
        except http1.MessageError as error:
            await self._say_bad(connection, error)
        except Exception as error:
            self._tally.crashed += 1
            self._failed("client connection", error)
        finally:
            connection.close()
            self._open.pop(connection, None)

    async def _next_request(self, visit: "_Visit") -> http1.Request:
        parser, connection = visit.parser, visit.connection
        continued = False
        while (request := parser.next()) is None:
            if parser.wants_continue and not continued:
                continued = True
                await connection.write(http1.CONTINUE)
            if not parser.begun:
                await self._read(visit)
                continue
            try:
                async with asyncio.timeout(PART_TIMEOUT_S):
                    await self._read(visit)
            except TimeoutError:
                raise http1.MessageError(408, "request not whole in time") from None
        return request

    async def _read(self, visit: "_Visit") -> None:
        visit.parser.feed(await visit.connection.read())
        visit.read_at = self._came_at()

    async def _handle(self, visit: "_Visit", request: http1.Request) -> bool:
        """Answer one request; False where the connection ends with it."""
        visit.busy = True
        try:
            return await self._reply(visit, request)
        finally:
            visit.busy = False

    async def _reply(self, visit: "_Visit", request: http1.Request) -> bool:
        if platform.is_ready_check(request):
            status = 503 if self._closing else 200
            return await self._write(visit, request, status, (), b"")
        try:
            exchange = self._exchange(request, visit.read_at)
        except http1.MessageError as error:
            self._tally.bad_requests += 1
            return await self._write(visit, request, error.status, (), str(error).encode())
        if self._desk.is_full():
            self._tally.turned_away_full += 1
            return await self._write(visit, request, 503, (), b"too many requests in hand")
        try:
            self._desk.take(exchange)
            return await self._await_answer(visit, request, exchange)
        finally:
            if exchange.leave():  # it ends here without an answer: whatever the reason, tell
                self._desk.client_gone(exchange)

    async def _await_answer(self, visit: "_Visit", request: http1.Request, exchange: Exchange) -> bool:
        connection, first = visit.connection, exchange.first()
        while not first.done():
            # A client that has gone shows only while a read is pending.
            if visit.parser.begun:
                await first  # it sent on ahead: no more is read until this one is answered
                break
            pending = connection.start_read()
            either: set[asyncio.Future[Any]] = {first, pending}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if pending.done() and not first.done():
                await self._read(visit)
        answer = first.result()
        if isinstance(answer, StreamAnswer):
            return await self._write_stream(visit, request, exchange, answer)
        return await self._write(visit, request, answer.status, answer.lines, answer.body)

    async def _write(
        self, visit: "_Visit", request: http1.Request, status: int, lines: tuple[bytes, ...], body: bytes
    ) -> bool:
        close = self._ends_with(request)
        await visit.connection.write(http1.response_bytes(status, lines, body, close))
        return not close

    async def _write_stream(
        self, visit: "_Visit", request: http1.Request, exchange: Exchange, answer: StreamAnswer
    ) -> bool:
        close = self._ends_with(request)
        connection = visit.connection
        connection.start_read().add_done_callback(lambda _: connection.closed and exchange.leave())
        await connection.write(http1.stream_head_bytes(answer.status, answer.lines, close))
        while (part := await exchange.next_part()) is not None:
            if part:
                await connection.write(http1.chunk_bytes(part))
        if exchange.broken:
            return False  # without the last chunk the client sees that it is not whole
        await connection.write(http1.chunk_bytes(b""))
        return not close

    def _ends_with(self, request: http1.Request) -> bool:
        """Whether the connection ends with this answer: it is asked to, or its place is wanted."""
        return self._closing or self._descriptors.wanted or not request.keep_alive

    def _exchange(self, request: http1.Request, came_at: float) -> Exchange:
        call = platform.read_call(request)
        index, cls = self._class_of(request, call)
        if cls.effect is Effect.KEYED and not call.has_key:
            raise http1.MessageError(400, "no Idempotency-Key on a request of a keyed class")
        if self._tenants and call.owner and call.owner not in self._tenants:
            raise http1.MessageError(400, "unknown Req-Owner")
        wait_ms = cls.deadline_ms if call.wait_ms is None else call.wait_ms
        return Exchange(
            id=self._desk.next_id(),
            cls=index,
            call=call,
            request=request,
            came_at=came_at,
            deadline=came_at + wait_ms,
            streaming=cls.streaming,
            tenant=self._tenants.get(call.owner, 0),
        )

    def _class_of(self, request: http1.Request, call: platform.Call) -> tuple[int, RequestClass]:
        found = self._classes.get(call.kind)
        if found is None:
            raise http1.MessageError(404, "unknown class of request")
        by_path = self._classes.get(platform.first_part(request.target), found)
        if by_path is not found:  # a wrong class could repeat what must not be repeated
            raise http1.MessageError(400, "Req-Kind and path name two classes")
        return found

    async def _say_bad(self, connection: Connection, error: http1.MessageError) -> None:
        """Answer what is no request. Closed with input unread, the connection would lose the answer."""
        self._tally.bad_requests += 1
        try:
            async with asyncio.timeout(LINGER_S):
                text = http1.response_bytes(error.status, (), str(error).encode(), close=True)
                await connection.write(text)
                connection.stop_sending()
                read = 0
                while read < LINGER_BYTES:
                    read += len(await connection.read())
        except (ConnectionLostError, TimeoutError):
            pass


class _Visit:
    """One of the application's connections."""

    __slots__ = ("busy", "came", "connection", "parser", "read_at", "served", "task")

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.parser = http1.RequestParser()
        self.busy = False  # from a request's last byte in to its answer's last byte out
        self.came = asyncio.get_running_loop().time()
        self.read_at = 0.0  # when what was read last can have come: a request sent ahead waits on our side
        self.served = False
        self.task: asyncio.Task[None] | None = None

    def is_idle(self) -> bool:
        return not self.busy and not self.parser.begun and self.connection.is_quiet()
