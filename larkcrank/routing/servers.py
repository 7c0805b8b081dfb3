"""The server side: attempts at endpoints, probes, and the connections they use."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

from larkcrank.core.interface import Address, Result, State
from larkcrank.protocol import http1, platform
from larkcrank.protocol.discovery import ListUpdate
from larkcrank.routing.exchange import Exchange, Upload
from larkcrank.transport.budget import BufferBudget
from larkcrank.transport.connection import (
    Connection,
    ConnectionLostError,
    NoDescriptorError,
    PendingConnection,
)
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.pool import ConnectionPool

TAKES_S = 10.0  # an endpoint that takes not even one part of a body in so long will not take the rest
STALL_S = 20.0  # without a byte of a long answer: its endpoint has gone without a word
PROBE_TIMEOUT_TIMES = 2.0  # of the connect time-out: a probe's answer is made beside the queue


class Tally(Protocol):
    """What the server side counts."""

    sends: int
    connects: int
    reuses: int
    crashed: int


class Attempt:
    """One attempt. `end` is the one place where it ends, its timer stops and its connection goes."""

    __slots__ = (
        "_report",
        "address",
        "answered",
        "begin_by",
        "begun",
        "connection",
        "ended",
        "exchange",
        "index",
        "started",
        "timer",
        "written",
    )

    def __init__(
        self,
        exchange: Exchange,
        index: int,
        address: Address,
        started: float,
        begin_by: float,
        report: "Callable[[Attempt, Result, tuple[float, ...]], None]",
    ) -> None:
        self.exchange, self.index, self.address, self.started = exchange, index, address, started
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.begin_by = begin_by
        self.begun = False  # its first byte was handed over
        self.written = False  # and its last one
        self.answered = False  # a long answer has begun
        self.ended = False
        self._report = report

    def end(self, result: Result, load: tuple[float, ...] = ()) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:  # an attempt is given up by closing its connection
            self.connection.close()
            self.connection = None
        self._report(self, result, load)


class Servers:
    """Carries out attempts and says how each ended."""

    def __init__(
        self,
        pool: ConnectionPool,
        descriptors: DescriptorBudget,
        connect_timeout_ms: float,
        load_fields: tuple[str, ...],
        max_body: int,
        budget: BufferBudget,
        now: Callable[[], float],
        tally: Tally,
        failed: Callable[[str, BaseException], None],
        only_draining_binds: bool = False,
    ) -> None:
        self._pool = pool
        self._only_draining_binds = only_draining_binds
        self._descriptors = descriptors
        self._connect_timeout_ms = connect_timeout_ms
        self._load_fields = load_fields
        self._max_body = max_body
        self._budget = budget
        self._now = now
        self._tally = tally
        self._failed = failed
        self._loop = asyncio.get_running_loop()
        self._places: dict[Address, tuple[str, int]] = {}
        self._started: dict[Address, float] = {}
        self._ready: set[Address] = set()
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_outcome: Callable[[Attempt, Result, tuple[float, ...]], None] = lambda *_: None
        self.on_stream: Callable[[Attempt], None] = lambda _: None
        self.on_client_gone: Callable[[Exchange], None] = lambda _: None
        self.on_probe: Callable[[Address, Result, float, tuple[float, ...]], None] = lambda *_: None

    @property
    def under_way(self) -> int:
        return len(self._attempts)

    def places(self) -> dict[Address, tuple[str, int]]:
        """Where the servers are, as last told."""
        return dict(self._places)

    def learn(self, listing: ListUpdate) -> None:
        """Follow the list: where servers are, and which still take work."""
        if listing.is_full and not self._only_draining_binds:
            named = {endpoint.address for endpoint in listing.endpoints}
            for address in self._ready - named:
                self._retire(address)
        for endpoint in listing.endpoints:
            address, place = endpoint.address, listing.host_ports.get(endpoint.address)
            if endpoint.state is State.GONE and self._only_draining_binds:
                continue  # it may still be sent to, unless it drained: that has retired it already
            if endpoint.state is not State.READY:
                self._retire(address)
                continue
            if self._places.get(address, place) != place or (
                self._started.get(address, endpoint.started_at) != endpoint.started_at
            ):
                self._pool.close_address(address)  # another process: the old one's connections lead nowhere
            self._ready.add(address)
            self._started[address] = endpoint.started_at
            if place is not None:
                self._places[address] = place

    def _retire(self, address: Address) -> None:
        self._ready.discard(address)
        self._pool.close_address(address)

    def start(
        self, exchange: Exchange, index: int, address: Address, stop_at: float, begin_by: float = math.inf
    ) -> None:
        now = self._now()
        attempt = Attempt(exchange, index, address, now, begin_by, self._ended)
        self._attempts[exchange.id, index] = attempt
        if exchange.closed or address not in self._places or stop_at <= now:
            attempt.end(Result.NOT_SENT)
            return
        if stop_at < math.inf:
            self._stop_at(attempt, stop_at)
        self._keep(self._run(attempt, stop_at))

    def uploaded(self, exchange: Exchange) -> None:
        """The time of what is out for it runs from now on: a slow client must not look like a slow server."""
        for attempt in self._attempts.values():
            if attempt.exchange is exchange and attempt.timer is None:
                attempt.started = self._now()
                self._stop_at(attempt, exchange.deadline)

    def _stop_at(self, attempt: Attempt, when: float) -> None:
        wait_s = max(when - self._now(), 0.0) / 1000.0
        attempt.timer = self._loop.call_later(wait_s, self._time_out, attempt)

    def cancel(self, number: int, index: int) -> None:
        attempt = self._attempts.get((number, index))
        if attempt is not None:  # without its first byte it can't have run, and nothing need wait for that
            attempt.end(Result.CANCELLED if attempt.begun else Result.NOT_SENT)

    def drop_unwritten(self, exchange: Exchange) -> None:
        """The request is over: what of it is not out yet stays here, also where nothing may be cancelled.

        Whether the kernel has just taken the last byte of one that has begun is not known here yet.
        """
        for index in range(exchange.attempts):
            attempt = self._attempts.get((exchange.id, index))
            if attempt is not None and not attempt.written:
                if attempt.begun and attempt.connection is not None:
                    attempt.connection.abort()  # the endpoint must not take it for the whole
                self.cancel(exchange.id, index)

    def close_idle(self, address: Address) -> None:
        self._pool.close_address(address)

    def probe(self, address: Address) -> None:
        self._keep(self._probe(address))

    def _keep(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _ended(self, attempt: Attempt, result: Result, load: tuple[float, ...]) -> None:
        self._attempts.pop((attempt.exchange.id, attempt.index), None)
        waited = self._now() - attempt.started > self._connect_timeout_ms
        unanswered = (
            attempt.written
            and not attempt.answered
            and not attempt.exchange.left  # a client that does not wait tells nothing of the server
            and result in (Result.TIMEOUT, Result.CANCELLED)
            and waited
        )
        if unanswered or result in (Result.RESET, Result.CONNECT_FAILED):
            # What ended one connection has likely ended them all; and a machine that says nothing may be
            # gone: a request written to an old connection may have run, a new one that fails proves not.
            self._pool.close_address(attempt.address)
        self.on_outcome(attempt, result, load)

    @staticmethod
    def _time_out(attempt: Attempt) -> None:
        # From the first byte on: whether the kernel has just taken the last one is not known here yet.
        attempt.end(Result.TIMEOUT if attempt.begun else Result.CONNECT_FAILED)

    async def _run(self, attempt: Attempt, stop_at: float) -> None:
        try:
            await self._attempt(attempt, stop_at)
        except NoDescriptorError:
            attempt.end(Result.NOT_SENT)
        except ConnectionLostError:
            # Broken before the last byte was handed over, it never ran; after that it may have.
            attempt.end(Result.RESET if attempt.written else Result.CONNECT_FAILED)
        except http1.MessageError:
            attempt.end(Result.ERROR if attempt.written else Result.NOT_SENT)
        except Exception as error:
            self._tally.crashed += 1
            self._failed("attempt", error)
            attempt.end(Result.ERROR if attempt.written else Result.NOT_SENT)

    async def _attempt(self, attempt: Attempt, stop_at: float) -> None:
        if not self._may_begin(attempt):
            return  # and takes no connection, which others may need
        connection = self._pooled(attempt)
        if connection is None:
            connection = await self._connected(attempt)
            if not self._may_begin(attempt):
                return
        # From that look to the first byte there is no turn of the loop, which could be a long one.
        exchange = attempt.exchange
        self._tally.sends += 1
        attempt.begun = True
        wait_ms = exchange.wait_ms if stop_at == math.inf else stop_at - self._now()
        head = platform.encode_endpoint_request(exchange.request, wait_ms)
        await connection.write(head)
        if exchange.upload is None:
            self._written(attempt)
            await self._read_answer(attempt, connection)
            return
        exchange.upload.begin()
        sending = self._loop.create_task(self._send_body(attempt, connection, exchange.upload))
        try:
            await self._read_answer(attempt, connection, sending)
        finally:
            sending.cancel()

    def _may_begin(self, attempt: Attempt) -> bool:
        """The last look. What was decided some turns ago, or before a connection came up, may be void."""
        exchange = attempt.exchange
        if not (attempt.ended or exchange.closed) and exchange.client_ended():
            self.on_client_gone(exchange)  # seen here first: its end waits to be read, or behind unread bytes
        if exchange.closed or attempt.address not in self._ready or self._now() >= attempt.begin_by:
            # Meanwhile it got its answer, the server left or its key's window closed: nothing new goes out.
            attempt.end(Result.NOT_SENT)
        return not attempt.ended

    @staticmethod
    def _written(attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.written = True
            attempt.exchange.written += 1

    async def _send_body(self, attempt: Attempt, connection: Connection, upload: Upload) -> None:
        """Pass the body on as it comes. Where that breaks, so does the answer that is awaited meanwhile.

        It counts as written from before its last byte is handed over: whether the kernel took that one
        could be learnt too late, after the answer's side has seen the connection break.
        """
        left = attempt.exchange.request.content_length
        try:
            while (part := await upload.next_part()) is not None:
                if left is not None:
                    left -= len(part)
                    if not left:
                        self._written(attempt)
                async with asyncio.timeout(TAKES_S):
                    await connection.write(http1.encode_chunk(part) if left is None else part)
            if left is None:
                self._written(attempt)
                await connection.write(http1.encode_chunk(b""))
        except (ConnectionLostError, TimeoutError):
            if upload.broken or upload.over:
                connection.abort()  # the endpoint must not take it for the whole
                attempt.end(Result.NOT_SENT)  # which says nothing of the server
            attempt.end(Result.RESET if attempt.written else Result.CONNECT_FAILED)

    async def _read_answer(
        self, attempt: Attempt, connection: Connection, sending: "asyncio.Task[None] | None" = None
    ) -> None:
        exchange, address = attempt.exchange, attempt.address
        parser = http1.ResponseParser(math.inf if exchange.streaming else self._max_body)
        while parser.head is None:
            parser.feed(await connection.read())
        result = platform.classify_response(parser.head)
        if sending is not None and not sending.done():
            sending.cancel()  # it answers before it has read everything: it gets no more, nor another request
        long = (parser.head.content_length or 0) > http1.MAX_BUFFERED_BODY_BYTES
        if result is not Result.OK and long:
            attempt.end(result)
            return
        while not (parser.complete or long or (exchange.streaming and result is Result.OK)):
            try:
                parser.feed(await connection.read())
            except ConnectionLostError as error:
                if not error.is_clean_close or not parser.handle_clean_close():
                    raise
            long = parser.buffered_bytes > http1.MAX_BUFFERED_BODY_BYTES
        if attempt.ended:
            return
        if result is Result.OK and (exchange.streaming or not parser.complete):
            await self._pass_stream(attempt, connection, parser)
            return
        if not parser.complete:
            attempt.end(result)  # a long word of trouble: its beginning says it all
            return
        response = parser.response()
        if response.keep_alive and (sending is None or attempt.written):
            attempt.connection = None
            self._pool.put(address, connection)
        if result is Result.OK:
            exchange.answer(200, response.fields.forwarded_lines(), response.body)
        attempt.end(result, platform.read_load_report(response.fields, self._load_fields))

    def _pooled(self, attempt: Attempt) -> Connection | None:
        attempt.connection = self._pool.take(attempt.address, self._places[attempt.address])
        self._tally.reuses += attempt.connection is not None
        return attempt.connection

    async def _connected(self, attempt: Attempt) -> Connection:
        self._tally.connects += 1
        connecting = PendingConnection(self._places[attempt.address], self._descriptors, SocketUse.ATTEMPT)
        attempt.connection = connecting.connection
        return await connecting.wait(self._connect_timeout_ms)

    async def _pass_stream(
        self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser
    ) -> None:
        """From its first part on the answer is the client's: neither deadline nor time-out runs."""
        exchange, head = attempt.exchange, parser.head
        if attempt.ended or head is None:
            return
        if not exchange.begin_stream(200, head.fields.forwarded_lines(), head.content_length):
            attempt.end(Result.CANCELLED)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.answered = True
        exchange.on_left = partial(attempt.end, Result.CANCELLED)
        self.on_stream(attempt)
        try:
            while True:
                await self._add_part(exchange, parser.take_body())
                if exchange.broken:  # the client has gone
                    attempt.end(Result.CANCELLED)
                    return
                if parser.complete:
                    break
                async with asyncio.timeout(STALL_S):
                    data = await connection.read(self._budget.read_size)
                parser.feed(data)
        except ConnectionLostError as error:
            if not (error.is_clean_close and parser.handle_clean_close()):
                exchange.end_stream(whole=False)
                attempt.end(Result.RESET)
                return
        except (TimeoutError, http1.MessageError):
            exchange.end_stream(whole=False)
            attempt.end(Result.RESET)
            return
        exchange.end_stream(whole=True)
        if head.keep_alive and not parser.has_extra_bytes:
            attempt.connection = None
            self._pool.put(attempt.address, connection)
        attempt.end(Result.OK, platform.read_load_report(head.fields, self._load_fields))

    async def _add_part(self, exchange: Exchange, data: bytes) -> None:
        """Hand a part to the client side; counted until that has room for it."""
        if not data:
            return
        self._budget.reserve(len(data))
        try:
            await exchange.add_part(data)
        finally:
            self._budget.release(len(data))

    async def _probe(self, address: Address) -> None:
        started, result = self._now(), Result.NOT_SENT
        load: tuple[float, ...] = ()
        target = platform.LOAD_PATH if self._load_fields else platform.LIVE_PATH
        place = self._places.get(address)
        connection: Connection | None = None
        try:
            if place is not None:
                async with asyncio.timeout(PROBE_TIMEOUT_TIMES * self._connect_timeout_ms / 1000.0):
                    result = Result.CONNECT_FAILED
                    connecting = PendingConnection(place, self._descriptors, SocketUse.ATTEMPT)
                    connection = connecting.connection
                    await connecting.wait(self._connect_timeout_ms)
                    await connection.write(http1.encode_request(b"GET", target, (b"Host: " + address,)))
                    result = Result.RESET
                    parser = http1.ResponseParser(http1.MAX_BUFFERED_BODY_BYTES)
                    while not parser.complete:
                        parser.feed(await connection.read())
                    response = parser.response()
                    result = platform.classify_response(response)
                    load = platform.parse_load_report(response.body, self._load_fields)
        except TimeoutError:
            result = Result.TIMEOUT
        except NoDescriptorError:
            result = Result.NOT_SENT
        except ConnectionLostError:
            pass
        except http1.MessageError:
            result = Result.ERROR
        except Exception as error:  # told: a probe without a result would shut its server for good
            self._tally.crashed += 1
            self._failed("probe", error)
            result = Result.ERROR
        finally:
            if connection is not None:
                connection.close()
        self.on_probe(address, result, self._now() - started, load)
