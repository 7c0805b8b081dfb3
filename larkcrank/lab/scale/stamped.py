"""The sidecar's own program with a clock read between the stages of a call.

Nothing of it is in the program: its functions are wrapped here, in a process of the lab
(`python -m larkcrank.lab.scale.stamped`). What was read is left in TMPDIR/stamps.json at the planned end.
The clock is `time.monotonic`, the same for all processes of a machine; beside it stands the thread's own
processor time, which other processes do not lengthen, and at the end of a call the time for which the process
was ready to run since its start, and another one ran (proc(5): schedstat).
"""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

STAMPS_FILE = "stamps.json"
# In the order in which a call passes them.
STAGES = (
    "read",
    "parsed",
    "taken",
    "decided",
    "going",
    "written",
    "heard",
    "answered",
    "replying",
    "replied",
)
QUEUE_WAIT = "queued"

Stamp = tuple[float, float]  # monotonic, and the thread's processor time, in seconds
StampsByRequest = dict[str, dict[str, Stamp]]  # by the request's id

_stamps: StampsByRequest = {}
_schedule = os.open("/proc/self/schedstat", os.O_RDONLY)
_fed: dict[str, Stamp] = {}  # when a parser of requests, and of answers, was last given bytes


def _now() -> Stamp:
    return time.monotonic(), time.thread_time()


def _mark(number: str, stage: str, moment: Stamp | None = None) -> None:
    _stamps.setdefault(number, {})[stage] = moment or _now()


def _wrap(
    owner: Any, name: str, before: Callable[..., None] | None, after: Callable[..., None] | None = None
) -> None:
    """`before` is given the call's arguments, `after` its result and then these."""
    plain = getattr(owner, name)

    def wrapped(*args: Any, **more: Any) -> Any:
        if before is not None:
            before(*args)
        result = plain(*args, **more)
        if after is not None:
            after(result, *args)
        return result

    setattr(owner, name, wrapped)


def _stamp() -> None:
    from larkcrank.protocol import http1, platform
    from larkcrank.routing.clients import ClientConnections
    from larkcrank.routing.driver import Driver
    from larkcrank.routing.exchange import Exchange
    from larkcrank.routing.servers import AttemptExecutor

    def number_of(request: http1.Request) -> str:
        return (request.fields.one(b"req-id") or b"").decode("latin-1")

    def fed(kind: str) -> Callable[..., None]:
        def note(*_: object) -> None:
            _fed[kind] = _now()

        return note

    def parsed(request: http1.Request | None, *_: object) -> None:
        if request is not None:
            _mark(number_of(request), "read", _fed["request"])
            _mark(number_of(request), "parsed")

    def answered(exchange: Exchange, *_: object) -> None:
        _mark(exchange.call_info.id, "heard", _fed["response"])
        _mark(exchange.call_info.id, "answered")

    _wrap(http1.RequestParser, "feed", fed("request"))
    _wrap(http1.RequestParser, "next", None, parsed)
    _wrap(http1.ResponseParser, "feed", fed("response"))
    _wrap(Driver, "start_request", lambda _, exchange: _mark(exchange.call_info.id, "taken"))
    _wrap(
        AttemptExecutor, "start_attempt", lambda _, exchange, *rest: _mark(exchange.call_info.id, "decided")
    )
    _wrap(platform, "request_to_endpoint", lambda request, wait: _mark(number_of(request), "going"))
    _wrap(AttemptExecutor, "_mark_written", lambda attempt: _mark(attempt.exchange.call_info.id, "written"))
    AttemptExecutor._mark_written = staticmethod(AttemptExecutor._mark_written)  # type: ignore[method-assign]
    _wrap(Exchange, "respond", answered)
    write: Any = ClientConnections._write_buffered_response

    async def reply(clients: Any, visit: Any, request: http1.Request, *rest: Any) -> bool:
        _mark(number_of(request), "replying")
        kept: bool = await write(clients, visit, request, *rest)
        _mark(number_of(request), "replied")
        _mark(number_of(request), QUEUE_WAIT, (int(os.pread(_schedule, 64, 0).split()[1]) / 1e9, 0.0))
        return kept

    setattr(ClientConnections, "_write_buffered_response", reply)  # noqa: B010 - a wrapper like those above


def main() -> int:
    from larkcrank.program.start import serve

    _stamp()
    code = serve()
    (Path(os.environ["TMPDIR"]) / STAMPS_FILE).write_bytes(msgspec.json.encode(_stamps))
    return code


if __name__ == "__main__":
    sys.exit(main())
