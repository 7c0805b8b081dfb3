"""A simulated discovery service for scale tests: one list, many watchers, and statistics of their cost.

It works as an efficient discovery service would. A response is encoded once for all watchers that are at the
same generation (one for each `after`), and written to all of them in the event loop iteration in which the
change was made. Many endpoints that change at once make one response. There is no task per connection: a
watcher is an entry in a table. The simulated discovery of the fleet bench (`lab/registry.py`) encodes a
response for each sidecar instead, since it can send false lists to some.

The process (`python -m larkcrank.lab.scale.registry`) reads its `Spec` as the first line of standard input
and reports its address, then accepts the commands `change`, `waiting` and `account`. It exits when its
standard input is closed.
"""

import asyncio
import math
import re
import resource
import time
from collections.abc import Iterator
from typing import Any, Literal, cast

import msgspec
import uvloop

from larkcrank.lab.scale.children import ChildProcess, CommandChannel
from larkcrank.lab.scale.hollow import CHANGE_NUMBER_SCALE
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET

BACKLOG = 4096
MAX_RECORDED_CHANGES = 4096  # changes whose times are kept for the statistics
MAX_LOGGED_CHANGES = 20_000  # a watcher that is further behind gets the whole list
_WATCH_QUERY = re.compile(rb"after=(\d+)(?:&wait_ms=(\d+))?")


class Spec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The configuration of a registry process."""

    endpoints: int
    services: int = 1  # endpoint n belongs to service n modulo this number
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])  # assigned to endpoints round-robin


class ListedEndpoint(msgspec.Struct, rename="camel"):
    """An entry of the list, in the format of the discovery protocol."""

    instance_id: str
    host_port: str
    zone: str
    cell: int  # the number of its service
    machine_type: str = "plain"
    lifecycle: str = "Ready"
    weight: float = 1.0  # 1 + the number of its last change / TAG
    started_at_ms: float = 0.0


class RegistryStats(msgspec.Struct, kw_only=True):
    """Statistics of a registry process since its start."""

    cpu_s: float
    rss_mib: float
    connections: int  # open now
    waiting: int  # connections with a pending watch
    watches: int  # watch requests so far
    lists: int  # requests for the whole list
    bytes_out: int  # handed to the kernel, heads and bodies
    made: int  # responses encoded; each is shared by all watchers at the same generation
    whole_bytes: int  # size of the current whole list
    generation: int
    # By change: monotonic seconds at which it was made, and at which it was written to all waiting watchers.
    told: dict[int, tuple[float, float]]
    # By the last change of each batch: when all watchers that received it had sent their next request. A
    # sidecar does so once it has applied the list.
    again: dict[int, float]


class EndpointList:
    """The list of endpoints and the log of its changes. No I/O.

    Each change increments the generation. The number of a change is the resulting generation, and is encoded
    in the weight of the changed entry.
    """

    def __init__(self, spec: Spec) -> None:
        self.entries = [_initial_endpoint(spec, number) for number in range(spec.endpoints)]
        self.first_generation = 1  # the oldest generation that the log of changes covers
        self.generation = 1
        self.encoded_count = 0
        self._changed_entries: list[int] = []  # the log: the index of the entry that each change changed
        self._next_entry = 0
        self._responses: dict[int, bytes] = {}  # by `after`; -1 stands for the whole list

    def change_next(self, lifecycle: str) -> int:
        """Changes the next endpoint, round-robin, and returns the number of the change."""
        index = self._next_entry % len(self.entries)
        self._next_entry += 1
        return self.set_lifecycle(index, lifecycle)

    def set_lifecycle(self, index: int, lifecycle: str) -> int:
        """Sets the lifecycle of one endpoint and returns the number of the change.

        `flip` switches between `Ready` and `Terminating`.
        """
        self.generation += 1
        endpoint = self.entries[index]
        if lifecycle == "flip":
            lifecycle = "Terminating" if endpoint.lifecycle == "Ready" else "Ready"
        self.entries[index] = msgspec.structs.replace(
            endpoint, lifecycle=lifecycle, weight=1.0 + self.generation / CHANGE_NUMBER_SCALE
        )
        self._changed_entries.append(index)
        self._responses.clear()
        if len(self._changed_entries) > 2 * MAX_LOGGED_CHANGES:
            self.first_generation += len(self._changed_entries) - MAX_LOGGED_CHANGES
            del self._changed_entries[:-MAX_LOGGED_CHANGES]
        return self.generation

    def discard_log(self) -> None:
        """Discards the log, so that every watcher that is behind gets the whole list."""
        self.first_generation += len(self._changed_entries)
        self._changed_entries.clear()
        self._responses.clear()

    def response_after(self, after: int | None) -> bytes:
        """Returns the HTTP response for a watcher at generation `after`.

        The response holds the whole list if `after` is None or outside of the log.
        """
        in_log = after is not None and self.first_generation <= after <= self.generation
        key = after if in_log and after is not None else -1
        response = self._responses.get(key)
        if response is None:
            response = self._responses[key] = http1.encode_response(200, (), self._response_body(key))
            self.encoded_count += 1
        return response

    def _response_body(self, after: int) -> bytes:
        is_complete = after < 0
        changed_indexes = (
            dict.fromkeys(self._changed_entries[after - self.first_generation :])
            if not is_complete
            else range(len(self.entries))
        )
        endpoints = [self.entries[index] for index in changed_indexes]
        if is_complete:
            endpoints = [endpoint for endpoint in endpoints if endpoint.lifecycle != "Gone"]
        return msgspec.json.encode(
            {"generation": self.generation, "reset": is_complete, "instances": endpoints}
        )


def _initial_endpoint(spec: Spec, number: int) -> ListedEndpoint:
    host_port = f"127.{200 + (number >> 14) % 50}.{(number >> 7) & 127}.{(number & 127) + 1}:8000"
    zone = spec.zones[number % len(spec.zones)]
    return ListedEndpoint(f"s-{number:08x}", host_port, zone, number % spec.services)


class Registry:
    """Serves the list to watchers and records statistics."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        self.endpoint_list = endpoint_list
        self.connections = self.watches = self.lists = self.bytes_out = 0
        self.written_times: dict[int, tuple[float, float]] = {}
        self.acknowledged_times: dict[int, float] = {}
        self._waiting_generation: dict[_Connection, int] = {}  # by waiting watcher
        # The next request of a watcher acknowledges the last change that was sent to it.
        self._unacknowledged_change: dict[_Connection, int] = {}
        self._unacknowledged_count: dict[int, int] = {}  # number of such watchers, by change

    def stats(self) -> RegistryStats:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm") as statm:
            resident_bytes = int(statm.read().split()[1]) * resource.getpagesize()
        return RegistryStats(
            cpu_s=usage.ru_utime + usage.ru_stime,
            rss_mib=resident_bytes / (1 << 20),
            connections=self.connections,
            waiting=len(self._waiting_generation),
            watches=self.watches,
            lists=self.lists,
            bytes_out=self.bytes_out,
            made=self.endpoint_list.encoded_count,
            whole_bytes=len(self.endpoint_list.response_after(None)),
            generation=self.endpoint_list.generation,
            told=dict(self.written_times),
            again=dict(self.acknowledged_times),
        )

    @property
    def waiting_count(self) -> int:
        """Number of pending watches."""
        return len(self._waiting_generation)

    def change(self, count: int, lifecycle: str, whole: bool = False) -> list[int]:
        """Changes `count` endpoints at once, and responds to all waiting watchers.

        If `whole` is true, they get the whole list. Returns the numbers of the changes.
        """
        made_at = time.monotonic()
        change_numbers = [self.endpoint_list.change_next(lifecycle) for _ in range(count)]
        if whole:
            self.endpoint_list.discard_log()
        waiting, self._waiting_generation = self._waiting_generation, {}
        for connection, after in waiting.items():
            self._acknowledge_change(connection)
            self._unacknowledged_change[connection] = change_numbers[-1]
            connection.send_response(self.endpoint_list.response_after(after))
        if waiting:
            self._unacknowledged_count[change_numbers[-1]] = len(waiting)
        written_at = time.monotonic()
        self.written_times.update(dict.fromkeys(change_numbers, (made_at, written_at)))
        for times in (self.written_times, self.acknowledged_times):
            for change in list(times)[:-MAX_RECORDED_CHANGES]:
                del times[change]
        return change_numbers

    def _acknowledge_change(self, connection: "_Connection") -> None:
        change = self._unacknowledged_change.pop(connection, None)
        if change is not None:
            self._unacknowledged_count[change] -= 1
            if not self._unacknowledged_count[change]:
                del self._unacknowledged_count[change]
                self.acknowledged_times[change] = time.monotonic()

    def handle_request(self, connection: "_Connection", after: int | None, wait_ms: float) -> None:
        """Responds to a request at once, or as soon as there is a newer generation.

        `after` is None in a request for the whole list.
        """
        self._acknowledge_change(connection)
        if after is None:
            self.lists += 1
        else:
            self.watches += 1
        if after is None or after != self.endpoint_list.generation or wait_ms <= 0.0:
            connection.send_response(self.endpoint_list.response_after(after))
        else:
            self._waiting_generation[connection] = after
            connection.start_wait_timer(wait_ms / 1000.0)

    def handle_wait_over(self, connection: "_Connection") -> None:
        """Responds to a watch whose maximum wait has passed without a change."""
        after = self._waiting_generation.pop(connection, None)
        if after is not None:
            connection.send_response(self.endpoint_list.response_after(after))

    def handle_connection_lost(self, connection: "_Connection") -> None:
        self._acknowledge_change(connection)
        self._waiting_generation.pop(connection, None)


class _Connection(asyncio.Protocol):
    """The connection of one watcher."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._registry.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._registry.connections -= 1
        self._registry.handle_connection_lost(self)
        self._cancel_timer()

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, rest = self._received.partition(b"\r\n\r\n")
        if not separator:
            if len(head) > 8192 and self._transport is not None:
                self._transport.abort()
            return
        self._received = rest
        target = head.split(b" ", 2)[1] if head.count(b" ") >= 2 else b""
        if not target.startswith(LIST_TARGET):
            self.send_response(http1.encode_response(404, (), b""))
            return
        query = _WATCH_QUERY.search(target)
        if query is None:
            self._registry.handle_request(self, None, 0.0)
        else:
            self._registry.handle_request(self, int(query[1]), float(query[2] or 0))

    def send_response(self, response: bytes) -> None:
        self._cancel_timer()
        if self._transport is not None and not self._transport.is_closing():
            self._registry.bytes_out += len(response)
            self._transport.write(response)

    def start_wait_timer(self, wait_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._registry.handle_wait_over, self)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def change_schedule(count: int, per_step: int, period_s: float) -> Iterator[tuple[float, int]]:
    """Yields the offset and the number of changes of each step.

    `count` changes, `per_step` at a time, are spread evenly over `period_s` seconds.
    """
    step_count = math.ceil(count / per_step)
    for step in range(step_count):
        yield step * period_s / step_count, min(per_step, count - step * per_step)


async def _change(registry: Registry, command: dict[str, Any]) -> list[int]:
    loop, change_numbers = asyncio.get_running_loop(), list[int]()
    started = loop.time()
    for offset_s, count in change_schedule(
        command["count"], command.get("each", command["count"]), command.get("over_s", 0.0)
    ):
        await asyncio.sleep(max(started + offset_s - loop.time(), 0.0))
        change_numbers += registry.change(
            count, command.get("lifecycle", "flip"), command.get("whole", False)
        )
    return change_numbers


async def _serve() -> None:
    commands = CommandChannel()
    await commands.open()
    registry = Registry(EndpointList(msgspec.json.decode(await commands.read_spec(), type=Spec)))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(registry), "127.0.0.1", 0, backlog=BACKLOG)
    host, port = server.sockets[0].getsockname()
    commands.send_event("ready", place=f"{host}:{port}")
    while (command := await commands.read_command()) is not None:
        match command["do"]:
            case "change":
                commands.send_event("change", numbers=await _change(registry, command))
            case "waiting":
                commands.send_event("waiting", count=registry.waiting_count)
            case "account":
                commands.send_event("account", account=registry.stats())
    server.close()


class RegistryProcess:
    """A registry in a process of its own, as its owner sees it. The owner has to close it."""

    def __init__(self, spec: Spec) -> None:
        self.process = ChildProcess("registry", "larkcrank.lab.scale.registry", spec)

    async def start(self) -> str:
        """Starts the process and returns its host:port."""
        await self.process.start()
        host_port: str = self.process.ready_message["place"]
        return host_port

    async def change(
        self,
        count: int = 1,
        each: int = 0,
        over_s: float = 0.0,
        lifecycle: Literal["flip", "Ready", "Terminating", "Gone"] = "flip",
        whole: bool = False,
    ) -> list[int]:
        """Changes `count` endpoints, `each` at a time (0: all at once), spread evenly over `over_s` seconds.

        If `whole` is true, waiting watchers get the whole list. Returns the numbers of the changes, once all
        of them were written to the waiting watchers.
        """
        arguments = {"over_s": over_s, "lifecycle": lifecycle, "whole": whole}
        event = await self.process.send_command("change", count=count, each=each or count, **arguments)
        change_numbers: list[int] = event["numbers"]
        return change_numbers

    async def waiting_count(self) -> int:
        """Number of pending watches; cheaper than `stats`."""
        count: int = (await self.process.send_command("waiting"))["count"]
        return count

    async def stats(self) -> RegistryStats:
        return msgspec.convert(
            (await self.process.send_command("account"))["account"], RegistryStats, strict=False
        )

    async def close(self) -> None:
        await self.process.close()


if __name__ == "__main__":
    uvloop.run(_serve())
