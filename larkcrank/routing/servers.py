"""The server side: attempts at endpoints, probes, and the connections they use."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from larkcrank.core.interface import Address, HostPort, Result
from larkcrank.protocol import http1, platform
from larkcrank.protocol.discovery import ListUpdate
from larkcrank.routing.attempt import Attempt
from larkcrank.routing.connections import AttemptConnections, ConnectionCounters
from larkcrank.routing.deadline_timer import DeadlineTimer, InputGrace
from larkcrank.routing.exchange import Exchange, Upload, UploadEndedError, UploadReader
from larkcrank.routing.probes import ProbeCounters, Prober
from larkcrank.routing.relay import RelayCounters, StreamRelay
from larkcrank.routing.responses import CheckCounters, ResponseChecker
from larkcrank.routing.server_directory import ServerDirectory, ServersChange
from larkcrank.routing.trace import AttemptRecord, RecentAttempts
from larkcrank.transport.answers import AnswerRecords
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.connection import (
    Connection,
    ConnectionLostError,
    NoDescriptorError,
)
from larkcrank.transport.descriptors import DescriptorBudget
from larkcrank.transport.memory import MemoryAccount
from larkcrank.transport.pool import ConnectionPool
from larkcrank.transport.reuse import ReuseGuard
from larkcrank.transport.turns import OPERATION_UNITS

# An endpoint that takes nothing of a body for this time is treated as failed.
BODY_WRITE_TIMEOUT_S = 10.0
# After a failed write, what the endpoint had sent before is read for this time.
UNREAD_RESPONSE_TIMEOUT_S = 0.5


class ServerCounters(ProbeCounters, CheckCounters, ConnectionCounters, RelayCounters, Protocol):
    """Counters that the server side increments."""

    sends: int


class AttemptExecutor:
    """Executes attempts and probes and reports their results."""

    def __init__(
        self,
        pool: ConnectionPool,
        descriptors: DescriptorBudget,
        connect_timeout_ms: float,
        load_fields: tuple[str, ...],
        max_body: int,
        memory: MemoryAccount,
        clock: Callable[[], float],
        counters: ServerCounters,
        report_failure: Callable[[str, BaseException], None],
        only_draining_binds: bool = False,
        report_event: Callable[..., None] = lambda *_, **__: None,
    ) -> None:
        reuse_guard, self._answer_records = ReuseGuard(), AnswerRecords()
        self._checker = ResponseChecker(
            reuse_guard, self._answer_records, memory, max_body, clock, counters, report_event
        )
        self._connections = AttemptConnections(
            pool, descriptors, connect_timeout_ms, reuse_guard, self._answer_records, clock, counters
        )
        self._relay = StreamRelay(
            memory, load_fields, lambda attempt: self.on_stream_started(attempt), counters, report_event
        )
        self._prober = Prober(descriptors, connect_timeout_ms, load_fields, counters, report_failure)
        pool.on_stray_answer = self._stray_answer_at_rest
        pool.on_rested = self._checker.confirm_answers
        self._directory = ServerDirectory(self._connections, only_draining_binds)
        self._connect_timeout_ms = connect_timeout_ms
        self._memory = memory
        self._load_fields = load_fields
        self._max_body = max_body
        self._clock = clock
        self._counters = counters
        self._report_failure = report_failure
        self._loop = asyncio.get_running_loop()
        self._attempts: dict[tuple[int, int], Attempt] = {}  # By request id and attempt index.
        self._tasks: set[asyncio.Task[None]] = set()
        self.recent_attempts = RecentAttempts()
        self.input_grace = InputGrace()
        self.on_outcome: Callable[[Attempt, Result, tuple[float, ...]], None] = lambda *_: None
        self.on_stream_started: Callable[[Attempt], None] = lambda _: None
        self.on_client_gone: Callable[[Exchange], None] = lambda _: None
        self.on_probe_result: Callable[[Address, Result, float, tuple[float, ...]], None] = lambda *_: None

    @property
    def active_attempts(self) -> int:
        """The number of attempts that have not ended."""
        return len(self._attempts)

    def host_ports(self) -> dict[Address, HostPort]:
        """Return host and port of each server, as last listed."""
        return self._directory.host_ports()

    def apply_list(self, server_list: ListUpdate, withheld: frozenset[Address]) -> ServersChange:
        """Apply a server list. `withheld`: servers that lost their host and port, and are forgotten."""
        return self._directory.apply(server_list, withheld)

    def start_attempt(
        self,
        exchange: Exchange,
        attempt_index: int,
        address: Address,
        stop_at_ms: float,
        begin_by_ms: float = math.inf,
    ) -> None:
        """Start an attempt that sends nothing from `begin_by_ms` on and times out at `stop_at_ms`.

        With an infinite `stop_at_ms` the timeout starts once the upload is complete.
        """
        now = self._clock()
        attempt = Attempt(
            exchange,
            attempt_index,
            address,
            now,
            begin_by_ms,
            self._memory,
            self._attempt_ended,
        )
        self._attempts[exchange.id, attempt_index] = attempt
        if exchange.closed or self._directory.process_of(address) is None or stop_at_ms <= now:
            attempt.end(Result.NOT_SENT)
            return
        if stop_at_ms < math.inf:
            self._start_timeout(attempt, stop_at_ms)
        self._start_task(self._run_attempt(attempt, stop_at_ms))

    def complete_upload(self, exchange: Exchange) -> None:
        """Start the timeouts of a request's attempts. They start after the upload so that a slow client does
        not make the server look slow.
        """
        for attempt in self._attempts.values():
            if attempt.exchange is exchange and attempt.timer is None:
                attempt.started_at = self._clock()
                self._start_timeout(attempt, exchange.deadline)

    def _start_timeout(self, attempt: Attempt, stop_at_ms: float) -> None:
        attempt.stops_at_ms = stop_at_ms
        wait_s = max(stop_at_ms - self._clock(), 0.0) / 1000.0
        attempt.timer = DeadlineTimer(self.input_grace, wait_s, self._attempt_timed_out, attempt)

    def cancel(self, request_id: int, attempt_index: int) -> None:
        """Cancel an attempt, if it has not ended yet."""
        attempt = self._attempts.get((request_id, attempt_index))
        # An attempt that has not sent its first byte cannot have run, so nothing depends on its result.
        if attempt is not None:
            attempt.end(Result.CANCELLED if attempt.writing_started else Result.NOT_SENT)

    def abandon_unwritten(self, exchange: Exchange) -> None:
        """Cancel those attempts of a finished request that are not fully written. This is done even where the
        settings forbid cancelling an attempt that was sent in full.

        If writing has started, the result is CANCELLED rather than NOT_SENT, because the kernel may already
        have accepted the last byte.
        """
        for attempt_index in range(exchange.attempt_count):
            attempt = self._attempts.get((exchange.id, attempt_index))
            if attempt is not None and not attempt.fully_written:
                if attempt.writing_started and attempt.connection is not None:
                    # The endpoint must not take the body as complete.
                    attempt.connection.abort(CloseReason.CANCELLED)
                self.cancel(exchange.id, attempt_index)

    def end_unwritten(self, exchange: Exchange) -> None:
        """End the attempts that have not got the whole body of a request, which therefore have not run."""
        for attempt_index in range(exchange.attempt_count):
            attempt = self._attempts.get((exchange.id, attempt_index))
            if attempt is None or attempt.fully_written:
                continue
            result = Result.CONNECT_FAILED if attempt.writing_started else Result.NOT_SENT
            if attempt.connection is not None:  # The endpoint must not take the body as complete.
                attempt.connection.abort(CloseReason(result.value))
            attempt.end(result)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to one server."""
        self._connections.close_idle(address)

    def probe(self, address: Address) -> None:
        """Start a probe of one server. Its result goes to `on_probe_result`."""
        self._start_task(self._run_probe(address))

    async def _run_probe(self, address: Address) -> None:
        started_at = self._clock()
        process = self._directory.process_of(address)
        result, load = await self._prober.probe(address, None if process is None else process.host_port)
        self.on_probe_result(address, result, self._clock() - started_at, load)

    def _start_task(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _attempt_ended(self, attempt: Attempt, result: Result, load: tuple[float, ...]) -> None:
        self._attempts.pop((attempt.exchange.id, attempt.index), None)
        attempt.exchange.last_result = result
        if attempt.exchange.upload is not None:
            attempt.exchange.upload.end_reader()
        self._record(attempt, result)
        past_connect_timeout = self._clock() - attempt.started_at > self._connect_timeout_ms
        unanswered = (
            attempt.fully_written
            and not attempt.response_started
            and not attempt.exchange.abandoned  # A client that gives up early says nothing about the server.
            and result in (Result.TIMEOUT, Result.CANCELLED)
            and past_connect_timeout
        )
        if unanswered or result in (Result.RESET, Result.CONNECT_FAILED):
            # What broke one connection has probably broken all connections to this server, and a machine that
            # does not respond may be gone. Once the idle ones are closed, the next attempt opens a new one.
            # If that fails, its request certainly did not run; on a broken reused connection it might have.
            self._connections.close_idle(attempt.address)
        self.on_outcome(attempt, result, load)

    def _record(self, attempt: Attempt, result: Result) -> None:
        self.recent_attempts.add(
            AttemptRecord(
                attempt.exchange.call_info.id,
                attempt.index,
                attempt.address.hex(),
                None if attempt.process is None else attempt.process.host_port,
                attempt.connection_number,
                attempt.position,
                attempt.started_at,
                self._clock(),
                result.value,
                rested_ms=round(attempt.rested_ms, 1),
                answer_ms=round(max(attempt.answer_time_ms, 0.0), 1),
            )
        )

    @staticmethod
    def _attempt_timed_out(attempt: Attempt) -> None:
        # Once the first byte is written the result is TIMEOUT, since it is not known here yet whether the
        # kernel has just accepted the last one.
        attempt.end(Result.TIMEOUT if attempt.writing_started else Result.CONNECT_FAILED)

    async def _run_attempt(self, attempt: Attempt, stop_at_ms: float) -> None:
        try:
            await self._perform_attempt(attempt, stop_at_ms)
        except NoDescriptorError:
            attempt.end(Result.NOT_SENT)
        except ConnectionLostError:
            # If the connection broke before the last byte was sent, the request never ran; after that it may
            # have.
            attempt.end(Result.RESET if attempt.fully_written else Result.CONNECT_FAILED)
        except http1.MessageError:
            attempt.end(Result.ERROR if attempt.fully_written else Result.NOT_SENT)
        except Exception as error:
            self._counters.crashed += 1
            self._report_failure("attempt", error)
            attempt.end(Result.ERROR if attempt.fully_written else Result.NOT_SENT)

    async def _perform_attempt(self, attempt: Attempt, stop_at_ms: float) -> None:
        """Connect, send the request and handle the response. Raises an error if the attempt fails."""
        if not self._may_start_writing(attempt):
            return  # Checked before taking a pooled connection, which other attempts may need.
        attempt.process = process = self._directory.process_of(attempt.address)
        if process is None:
            attempt.end(Result.NOT_SENT)
            return
        connection = self._connections.take_idle(attempt, process.host_port)
        if connection is None:
            connection = await self._connections.open(attempt, process.host_port)
            if self._directory.process_of(attempt.address) != process:
                attempt.end(Result.NOT_SENT)  # It is connected to what listens at the old address now.
            if not self._may_start_writing(attempt):
                return
        # There is no await between the last check and writing the first byte, so the check still holds
        # however long an iteration of the event loop takes.
        exchange = attempt.exchange
        connection.requests_carried += 1
        attempt.connection_number, attempt.position = connection.number, connection.requests_carried
        attempt.rested_ms = connection.rested_ms
        self._counters.sends += 1
        attempt.writing_started = True
        wait_ms = exchange.client_timeout_ms if stop_at_ms == math.inf else stop_at_ms - self._clock()
        head = platform.encode_endpoint_request(exchange.request, wait_ms)
        await connection.write(head)
        if exchange.upload is None:
            self._mark_written(attempt)
            await self._read_response(attempt, connection)
            return
        reader = exchange.upload.open_reader()
        send_task = self._loop.create_task(self._send_body(attempt, connection, exchange.upload, reader))
        try:
            await self._read_response(attempt, connection, send_task)
        finally:
            send_task.cancel()

    def _may_start_writing(self, attempt: Attempt) -> bool:
        """Check again whether the request may be sent, and end the attempt if not. Since the balancer decided
        to send, event loop iterations have passed, possibly as long as connecting took.
        """
        exchange = attempt.exchange
        if not (attempt.ended or exchange.closed) and exchange.has_client_ended():
            # The client side has not noticed this yet: it has not read the end of the connection, which may
            # come after unread data.
            self.on_client_gone(exchange)
        if (
            exchange.closed
            or not self._directory.is_ready(attempt.address)
            or self._clock() >= attempt.begin_by_ms
        ):
            # The request was answered, the server left, or the window in which the idempotency key is valid
            # ended. Nothing new may be sent.
            attempt.end(Result.NOT_SENT)
        elif exchange.upload is not None and not exchange.upload.can_resend:
            attempt.end(Result.NOT_SENT)  # The beginning of the body is no longer there.
        return not attempt.ended

    def _mark_written(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.fully_written = True
            attempt.written_at = self._clock()
            attempt.exchange.written_attempts += 1

    async def _send_body(
        self, attempt: Attempt, connection: Connection, upload: Upload, reader: UploadReader
    ) -> None:
        """Forward the body as it arrives. If the endpoint stops that, its response may still be read.

        The attempt counts as fully written just before its last byte is sent. Whether the kernel accepted
        that byte could become known only after the reading side has seen the connection break.
        """
        bytes_left = attempt.exchange.request.content_length
        try:
            while (part := await reader.next_part()) is not None:
                if bytes_left is not None:
                    bytes_left -= len(part)
                    if not bytes_left:
                        self._mark_written(attempt)
                text = http1.encode_chunk(part) if bytes_left is None else part
                await connection.write_to_reader(text, BODY_WRITE_TIMEOUT_S)
                units = OPERATION_UNITS + len(part)
                if connection.must_take_turn(units):
                    await connection.take_turn(units)
            if bytes_left is None:
                self._mark_written(attempt)
                await connection.write(http1.encode_chunk(b""))
            return
        except UploadEndedError:
            if upload.aborted or upload.discarded:
                # The endpoint must not take the body as complete.
                connection.abort(CloseReason.NOT_SENT)
                attempt.end(Result.NOT_SENT)  # The client caused this, so it is no failure of the server.
        except ConnectionLostError:
            # The endpoint may have answered before it ended the connection. Reading finds that out, and
            # cancels this task; the time limit is for a connection that only seemed to be broken.
            await asyncio.sleep(UNREAD_RESPONSE_TIMEOUT_S)
        except TimeoutError:
            connection.abort(CloseReason.TIMEOUT)  # The endpoint must not take the body as complete.
        attempt.end(Result.RESET if attempt.fully_written else Result.CONNECT_FAILED)

    async def _read_response(
        self, attempt: Attempt, connection: Connection, send_task: "asyncio.Task[None] | None" = None
    ) -> None:
        """Read the response, pass it to the client side and end the attempt. A successful response that is
        long, or of a streaming class, is passed on in parts.
        """
        exchange = attempt.exchange
        parser = await self._checker.read_answer(attempt, connection)
        assert parser.head is not None
        result = platform.classify_response(parser.head)
        if result is Result.OK and attempt.is_on_reused_connection and not attempt.fully_written:
            # A request runs once its last byte has come, so this is the answer to an earlier one.
            self._checker.record_stray(attempt.address, connection, 0.0, "before the request", exchange)
            connection.abort(CloseReason.STRAY_ANSWER)
            attempt.end(Result.RESET)
            return
        if send_task is not None and not send_task.done():
            # The endpoint responds before it has read everything: it gets no more data, and the connection is
            # not reused.
            send_task.cancel()
        # On a new connection the first response is the answer to this request. On a reused one it may be a
        # stray answer, while the endpoint still runs this request.
        may_be_stray = attempt.is_on_reused_connection and attempt.fully_written
        attempt.is_unproven = may_be_stray and result is not Result.OK
        is_long = (parser.head.content_length or 0) > http1.MAX_BUFFERED_BODY_BYTES
        if result is not Result.OK and is_long:
            attempt.end(result)
            return
        while not (parser.complete or is_long or (exchange.streaming and result is Result.OK)):
            if not await self._checker.read_more(attempt, connection, parser):
                is_long = True
                break
            is_long = self._checker.is_too_long_to_hold(parser)
        if attempt.ended:
            return
        if result is Result.OK and (exchange.streaming or not parser.complete):
            await self._relay.relay(attempt, connection, parser)
            return
        if not parser.complete:
            attempt.end(result)  # The rest of a long error response is not needed.
            return
        if parser.has_extra_bytes and not self._checker.may_believe(attempt, connection, parser):
            attempt.end(Result.RESET)
            return
        digest, response = parser.content_digest(), parser.response()
        if result is Result.OK:
            self._checker.remember(attempt, connection, digest, bool(response.body))
            if response.keep_alive and self._is_connection_free(attempt):
                self._connections.keep(attempt, connection)
            exchange.respond(200, response.fields.forwarded_lines(), response.body)
        attempt.end(result, platform.read_load_report(response.fields, self._load_fields))

    def _is_connection_free(self, attempt: Attempt) -> bool:
        """Return whether another request may follow on the connection of an attempt that succeeded.

        An endpoint that reports a failure may still run the request, so only a success leaves it free. None
        follows if the endpoint has left meanwhile, or its process was replaced.
        """
        return attempt.fully_written and self._directory.is_in_use(attempt.address, attempt.process)

    def _stray_answer_at_rest(self, address: Address, connection: Connection, idle_s: float) -> None:
        self._checker.record_stray(address, connection, idle_s * 1000.0, "at rest", None)
