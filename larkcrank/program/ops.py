"""The operators' calls on the second address.

Served on the same loop as all else: each turn of it is bounded, and a thread would wait for the same
core and lock. The places are their own, so that no crowd of clients can keep an operator out, and who
says nothing makes way for who comes after.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from larkcrank.protocol import ops
from larkcrank.protocol.ops import Call, CallError, CallParser
from larkcrank.routing.life import Life
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

SILENT_S = 2.0  # a call must be whole by then
LINGER_S = 0.2  # what an operator still sends is read before the end, or the answer could be lost


class Operators:
    """Takes connections on the operators' address and answers one call on each."""

    def __init__(
        self,
        life: Life,
        descriptors: DescriptorBudget,
        called: Callable[[Call, bool], None],
        failed: Callable[[str, BaseException], None],
        view: Callable[[], str | None],
    ) -> None:
        """`view` tells the fleet in a line; None where this sidecar keeps no view of it."""
        self._life, self._view = life, view
        self._called = called
        self._failed = failed
        self._open: OrderedDict[Connection, None] = OrderedDict()  # longest first
        self._tasks: set[asyncio.Task[None]] = set()
        descriptors.register_evictor(SocketUse.OPERATOR, self._make_way)

    def accept(self, connection: Connection) -> None:
        self._open[connection] = None
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _make_way(self) -> bool:
        """A call is answered as soon as it is whole: who has been here longest says nothing, or is done."""
        if not self._open:
            return False
        self._open.popitem(last=False)[0].close()
        return True

    async def _serve(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(SILENT_S):
                text = await self._answer(connection)
            async with asyncio.timeout(LINGER_S):
                await connection.write(text)
                connection.shutdown_write()
                while True:
                    await connection.read()
        except (ConnectionLostError, TimeoutError):
            pass
        except Exception as error:
            self._failed("operators' call", error)
        finally:
            self._open.pop(connection, None)
            connection.close()

    async def _answer(self, connection: Connection) -> bytes:
        parser = CallParser()
        try:
            while (call := parser.feed(await connection.read())) is None:
                pass
        except CallError as error:
            return ops.encode_answer(False, str(error))
        if call is Call.VIEW:
            told = self._view()
            self._called(call, told is not None)
            return ops.encode_answer(told is not None, told or "no view of the fleet is kept")
        done = self._carry_out(call)
        self._called(call, done)
        return ops.encode_answer(done, self._life.phase.value)

    def _carry_out(self, call: Call) -> bool:
        match call:
            case Call.PING:
                return self._life.is_ready
            case Call.LAMEDUCK:
                return self._life.drain()
            case Call.REJOIN:
                return self._life.rejoin()
            case Call.VIEW:
                return self._view() is not None
