"""Probes: calls to a server's load or liveness path."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from larkcrank.core.interface import Address, Result
from larkcrank.protocol import http1, platform
from larkcrank.transport.connection import (
    Connection,
    ConnectionLostError,
    NoDescriptorError,
    PendingConnection,
)
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

TIMEOUT_FACTOR = 2.0  # Multiple of the connect timeout. Endpoints answer probes without queueing them.

ProbeOutcome = tuple[Result, tuple[float, ...]]  # with the server's load report, if any


class ProbeCounters(Protocol):
    """Counters that probes increment."""

    crashed: int


class Prober:
    """Probes servers, each time on a new connection."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        connect_timeout_ms: float,
        load_fields: tuple[str, ...],
        counters: ProbeCounters,
        report_failure: Callable[[str, BaseException], None],
    ) -> None:
        self._descriptors = descriptors
        self._connect_timeout_ms = connect_timeout_ms
        self._load_fields = load_fields
        self._counters = counters
        self._report_failure = report_failure

    async def probe(self, address: Address, host_port: tuple[str, int] | None) -> ProbeOutcome:
        """Return how the call ended. It always does, since a server without a result is never used again."""
        if host_port is None:
            return Result.NOT_SENT, ()
        try:
            async with asyncio.timeout(TIMEOUT_FACTOR * self._connect_timeout_ms / 1000.0):
                return await self._call(address, host_port)
        except TimeoutError:
            return Result.TIMEOUT, ()
        except NoDescriptorError:
            return Result.NOT_SENT, ()
        except http1.MessageError:
            return Result.ERROR, ()
        except Exception as error:
            self._counters.crashed += 1
            self._report_failure("probe", error)
            return Result.ERROR, ()

    async def _call(self, address: Address, host_port: tuple[str, int]) -> ProbeOutcome:
        connection, result = None, Result.CONNECT_FAILED
        try:
            pending_connection = PendingConnection(host_port, self._descriptors, SocketUse.ATTEMPT)
            connection = pending_connection.connection
            await pending_connection.wait(self._connect_timeout_ms)
            target = platform.LOAD_PATH if self._load_fields else platform.LIVE_PATH
            await connection.write(http1.encode_request(b"GET", target, (b"Host: " + address,)))
            result = Result.RESET
            return await self._read_response(connection)
        except ConnectionLostError:
            return result, ()
        finally:
            if connection is not None:
                connection.close()

    async def _read_response(self, connection: Connection) -> ProbeOutcome:
        parser = http1.ResponseParser(http1.MAX_BUFFERED_BODY_BYTES)
        while not parser.complete:
            parser.feed(await connection.read())
        response = parser.response()
        load = platform.parse_load_report(response.body, self._load_fields)
        return platform.classify_response(response), load
