"""Runs the sidecar program and records a time stamp at each stage of a request.

The program itself holds no code for this: its functions are wrapped here, in a process of the lab
(`python -m larkcrank.lab.scale.stamped`). The stamps are written to TMPDIR/stamps.json at an orderly exit.
Each stamp holds `time.monotonic`, which is the same for all processes of a machine, and the processor time of
the thread, which other processes don't lengthen. At the end of a request, the total time since the start
during which the process was runnable but not running is recorded too (proc(5): schedstat).
"""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

STAMPS_FILE = "stamps.json"
# In the order in which a request passes them.
STAGES = (
    "read",  # the request's last bytes were given to the parser
    "parsed",
    "taken",  # the driver starts the request
    "decided",  # an endpoint is chosen and the attempt starts
    "going",  # the request's head for the endpoint is about to be built
    "written",  # the request was written to the endpoint
    "heard",  # the response's last bytes were given to the parser
    "answered",  # the response is handed to the exchange
    "replying",  # the response is about to be written to the client
    "replied",
)
QUEUE_WAIT = "queued"  # key of the time spent runnable but not running, beside the stages

Stamp = tuple[float, float]  # monotonic time and the thread's processor time, in seconds
StampsByRequest = dict[str, dict[str, Stamp]]  # by request id, then by stage

_stamps: StampsByRequest = {}
_schedstat_fd = os.open("/proc/self/schedstat", os.O_RDONLY)
_last_fed: dict[str, Stamp] = {}  # when the request parser and the response parser last received bytes
_ids_in_hand: dict[int, str] = {}  # of requests that were not answered, by the identity of their objects


def _read_clocks() -> Stamp:
    return time.monotonic(), time.thread_time()


def _record(request_id: str, stage: str, stamp: Stamp | None = None) -> None:
    _stamps.setdefault(request_id, {})[stage] = stamp or _read_clocks()


def _wrap_method(
    owner: Any, name: str, before: Callable[..., None] | None, after: Callable[..., None] | None = None
) -> None:
    """Wraps a method. `before` receives the arguments; `after` receives the result, then the arguments."""
    original = getattr(owner, name)

    def wrapped(*args: Any, **keyword_arguments: Any) -> Any:
        if before is not None:
            before(*args)
        result = original(*args, **keyword_arguments)
        if after is not None:
            after(result, *args)
        return result

    setattr(owner, name, wrapped)


def _install_wrappers() -> None:
    """Wraps the functions of the program that mark the stages of a request."""

    from larkcrank.protocol import http1, platform
    from larkcrank.routing.driver import Driver
    from larkcrank.routing.exchange import Exchange
    from larkcrank.routing.response_writer import ResponseWriter
    from larkcrank.routing.servers import AttemptExecutor

    def request_id(request: http1.Request) -> str:
        return (request.fields.get_single(b"req-id") or b"").decode("latin-1")

    def record_fed(kind: str) -> Callable[..., None]:
        def record(*_: object) -> None:
            _last_fed[kind] = _read_clocks()

        return record

    def record_parsed(request: http1.Request | None, *_: object) -> None:
        if request is not None:
            _ids_in_hand[id(request)] = request_id(request)
            _record(request_id(request), "read", _last_fed["request"])
            _record(request_id(request), "parsed")

    def record_response(exchange: Exchange, *_: object) -> None:
        _record(exchange.call_info.id, "heard", _last_fed["response"])
        _record(exchange.call_info.id, "answered")

    _wrap_method(http1.RequestParser, "feed", record_fed("request"))
    _wrap_method(http1.RequestParser, "next", None, record_parsed)
    _wrap_method(http1.ResponseParser, "feed", record_fed("response"))
    _wrap_method(Driver, "start_request", lambda _, exchange: _record(exchange.call_info.id, "taken"))
    _wrap_method(
        AttemptExecutor, "start_attempt", lambda _, exchange, *rest: _record(exchange.call_info.id, "decided")
    )
    _wrap_method(
        platform, "encode_endpoint_request", lambda request, wait: _record(request_id(request), "going")
    )
    _wrap_method(
        AttemptExecutor, "_mark_written", lambda _, attempt: _record(attempt.exchange.call_info.id, "written")
    )
    _wrap_method(Exchange, "respond", record_response)
    write_response: Any = ResponseWriter.write_buffered

    async def write_response_recorded(writer: Any, session: Any, request: http1.Request, *rest: Any) -> bool:
        name = _ids_in_hand.pop(id(request), "")  # its header is freed once it is answered
        _record(name, "replying")
        keeps_connection: bool = await write_response(writer, session, request, *rest)
        _record(name, "replied")
        _record(name, QUEUE_WAIT, (int(os.pread(_schedstat_fd, 64, 0).split()[1]) / 1e9, 0.0))
        return keeps_connection

    setattr(ResponseWriter, "write_buffered", write_response_recorded)  # noqa: B010


def main() -> int:
    from larkcrank.program.start import serve

    _install_wrappers()
    code = serve()
    (Path(os.environ["TMPDIR"]) / STAMPS_FILE).write_bytes(msgspec.json.encode(_stamps))
    return code


if __name__ == "__main__":
    sys.exit(main())
