"""The server for operators' calls, on an address of its own.

It runs on the event loop that also serves requests: no iteration of the loop takes long, and a
thread would compete for the same core and the interpreter lock. Some descriptors are reserved for operators,
so that clients cannot use up all of them. If these run out, the oldest connection is closed for a new one.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from larkcrank.protocol import ops
from larkcrank.protocol.ops import Call, CallError, CallParser
from larkcrank.routing.life import Lifecycle
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

CALL_TIMEOUT_S = 2.0  # for receiving the complete call
LINGER_S = 0.2  # further input is read for this long: closing with unread input can discard the answer


class OperatorServer:
    """Accepts connections on the operators' address and answers one call on each."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        descriptors: DescriptorBudget,
        on_call: Callable[[Call, bool], None],
        on_exception: Callable[[str, BaseException], None],
        fleet_view: Callable[[], str | None],
    ) -> None:
        """`on_call` gets each call and whether it succeeded.

        `fleet_view` returns the members of the fleet as one line, or None for a sidecar without a fleet.
        """
        self._lifecycle, self._fleet_view = lifecycle, fleet_view
        self._on_call = on_call
        self._on_exception = on_exception
        self._open_connections: OrderedDict[Connection, None] = OrderedDict()  # the oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        descriptors.register_evictor(SocketUse.OPERATOR, self._close_oldest)

    def accept(self, connection: Connection) -> None:
        """Answer the call on this connection in a task, then close the connection."""
        self._open_connections[connection] = None
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all calls in progress and close their connections."""
        for task in self._tasks:
            task.cancel()

    def _close_oldest(self) -> bool:
        """Close the oldest connection, if there is one, and return whether there was.

        Each call is answered as soon as it is complete, so the oldest connection has either sent no complete
        call yet or been answered.
        """
        if not self._open_connections:
            return False
        self._open_connections.popitem(last=False)[0].close()
        return True

    async def _serve(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._answer(connection)
            async with asyncio.timeout(LINGER_S):
                await connection.write(answer)
                connection.shutdown_write()
                while True:
                    await connection.read()
        except (ConnectionLostError, TimeoutError):
            pass
        except Exception as error:
            self._on_exception("operators' call", error)
        finally:
            self._open_connections.pop(connection, None)
            connection.close()

    async def _answer(self, connection: Connection) -> bytes:
        parser = CallParser()
        try:
            while (call := parser.feed(await connection.read())) is None:
                pass
        except CallError as error:
            return ops.encode_answer(False, str(error))
        if call is Call.VIEW:
            view = self._fleet_view()
            self._on_call(call, view is not None)
            return ops.encode_answer(view is not None, view or "no view of the fleet is kept")
        succeeded = self._execute(call)
        self._on_call(call, succeeded)
        return ops.encode_answer(succeeded, self._lifecycle.phase.value)

    def _execute(self, call: Call) -> bool:
        match call:
            case Call.PING:
                return self._lifecycle.is_ready
            case Call.LAMEDUCK:
                return self._lifecycle.drain()
            case Call.REJOIN:
                return self._lifecycle.rejoin()
            case Call.VIEW:
                return self._fleet_view() is not None
