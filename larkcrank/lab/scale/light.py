"""Lightweight receivers: discovery clients that record which changes each response carries and keep no list.

Compared with hollow sidecars, they show the propagation delay of a change without the receivers' own work.
A hollow sidecar spends between a few tenths of a millisecond and a few milliseconds on a change. In
production each sidecar does so on its own machine. In the lab all of them share a few processors, so
thousands of sidecars that receive a change at the same moment wait for each other.

A host process (`python -m larkcrank.lab.scale.light`) reads the same `Spec` and accepts the same commands as
a host of hollow sidecars. The key `generation` in the `config` of the `Spec` sets the generation that the
receivers start from.
"""

import asyncio
import re
import time
from collections import deque
from typing import cast

import msgspec
import psutil
import uvloop

from larkcrank.lab.scale.children import ChildProcess, CommandChannel
from larkcrank.lab.scale.hollow import (
    CHANGE_NUMBER_SCALE,
    MAX_RECORDED_LISTS,
    AppliedList,
    HollowHosts,
    HollowReport,
    HostReport,
    HostSpec,
)
from larkcrank.lab.scale.machine import MIB
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET, parse_host_port, watch_target

WATCH_WAIT_MS = 60_000  # the same wait as in a sidecar's watch
RETRY_DELAY_S = 1.0
_CONTENT_LENGTH_PATTERN = re.compile(rb"[Cc]ontent-[Ll]ength: (\d+)")
_GENERATION_PATTERN = re.compile(rb'"generation": ?(\d+)')
_FULL_LIST_PATTERN = re.compile(rb'"reset": ?true')
_WEIGHT_PATTERN = re.compile(rb'"weight": ?([0-9.e-]+)')


class LightweightReceiver(asyncio.Protocol):
    """Watches discovery over one connection and records the change numbers in each response."""

    def __init__(
        self, number: int, discovery_address: tuple[str, int], generation: int | None = None
    ) -> None:
        """If `generation` is given, the first request is a watch from there; no full list is requested."""
        self.number = number
        self.serving_since: float | None = None
        self.started_at = time.monotonic()
        self.observed_lists: deque[AppliedList] = deque(maxlen=MAX_RECORDED_LISTS)
        self.bytes_in = self.bytes_out = self.calls = self.failures = self.list_size = 0
        self.generation = generation
        self._discovery_address = discovery_address
        self._transport: asyncio.Transport | None = None
        self._response_chunks: list[bytes] = []
        self._missing_body_bytes = 0  # bytes still to come of a partly received response body
        self._connect_task: asyncio.Task[None] | None = None
        self._closed = False

    async def connect(self) -> None:
        """Connects to discovery and retries after a fixed delay until it succeeds."""
        while True:
            try:
                await asyncio.get_running_loop().create_connection(lambda: self, *self._discovery_address)
                return
            except OSError:
                self.failures += 1
                await asyncio.sleep(RETRY_DELAY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._response_chunks, self._missing_body_bytes = [], 0
        self._send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if not self._closed:
            self.failures += 1
            self._connect_task = asyncio.get_running_loop().create_task(self.connect())

    def close(self) -> None:
        self._closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        self._response_chunks.append(data)
        if self._missing_body_bytes:
            self._missing_body_bytes -= len(data)
            if self._missing_body_bytes > 0:
                return
        response_bytes = b"".join(self._response_chunks)
        head, head_end, body = response_bytes.partition(b"\r\n\r\n")
        content_length = _CONTENT_LENGTH_PATTERN.search(head) if head_end else None
        if content_length is None:
            return
        if len(body) < int(content_length[1]):
            self._missing_body_bytes = int(content_length[1]) - len(body)
            self._response_chunks = [response_bytes]
            return
        self._response_chunks, self._missing_body_bytes = [], 0
        self._handle_response(head, body)

    def _handle_response(self, head: bytes, body: bytes) -> None:
        """Records the changes in a response and sends the next watch.

        The sender encodes the number of a change in the weight of each changed line.
        """
        if not head.startswith(b"HTTP/1.1 200"):
            self.failures += 1
            asyncio.get_running_loop().call_later(RETRY_DELAY_S, self._send_request)
            return
        generation_match = _GENERATION_PATTERN.search(body)
        assert generation_match is not None
        self.generation = int(generation_match[1])
        change_numbers = [
            round((float(weight) - 1.0) * CHANGE_NUMBER_SCALE) for weight in _WEIGHT_PATTERN.findall(body)
        ]
        if change_numbers:
            received_at, is_full_list = time.monotonic(), _FULL_LIST_PATTERN.search(body) is not None
            self.serving_since = self.serving_since or received_at
            self.list_size = len(change_numbers) if is_full_list else self.list_size
            self.observed_lists.append(
                AppliedList(
                    received_at,
                    self.generation,
                    is_full_list,
                    len(change_numbers),
                    min(change_numbers),
                    max(change_numbers),
                )
            )
        self._send_request()

    def _send_request(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        target = LIST_TARGET if self.generation is None else watch_target(self.generation, WATCH_WAIT_MS)
        request = http1.encode_request(
            b"GET",
            target,
            (b"Host: %s:%d" % (self._discovery_address[0].encode(), self._discovery_address[1]),),
        )
        self.calls += 1
        self.bytes_out += len(request)
        self._transport.write(request)
        if self.generation is not None:
            self.serving_since = self.serving_since or time.monotonic()

    def report(self) -> HollowReport:
        return HollowReport(
            number=self.number,
            began=self.started_at,
            serving=self.serving_since,
            servers=self.list_size,
            generation=self.generation,
            seen=list(self.observed_lists),
            unseen=0,
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            calls=self.calls,
            failures=self.failures,
            crashed=0,
            events={},
        )


async def _run_host() -> None:
    """Runs the receivers of one process and handles commands until standard input closes."""
    commands = CommandChannel()
    await commands.open()
    spec = msgspec.json.decode(await commands.read_spec(), type=HostSpec)
    numbers = range(spec.first, spec.first + spec.count)
    discovery_addresses = [parse_host_port(text) for text in spec.discovery]
    receivers = [
        LightweightReceiver(
            number, discovery_addresses[number % len(discovery_addresses)], spec.config.get("generation")
        )
        for number in numbers
    ]

    async def connect_all() -> None:
        for receiver in receivers:
            await receiver.connect()

    connect_task = asyncio.get_running_loop().create_task(connect_all())
    commands.send_event("ready")
    process = psutil.Process()
    try:
        while (command := await commands.read_command()) is not None:
            match command["do"]:
                case "serving":
                    while not connect_task.done() or not all(
                        receiver.serving_since for receiver in receivers
                    ):
                        await asyncio.sleep(0.05)
                    connect_task.result()
                case "forget":
                    for receiver in receivers:
                        receiver.observed_lists.clear()
                case "report":
                    memory, cpu_times = process.memory_full_info(), process.cpu_times()
                    receiver_reports = (
                        [] if command.get("brief") else [receiver.report() for receiver in receivers]
                    )
                    commands.send_event(
                        "report",
                        report=HostReport(
                            process.pid,
                            cpu_times.user + cpu_times.system,
                            memory.rss / MIB,
                            memory.uss / MIB,
                            receiver_reports,
                        ),
                    )
                    continue
            commands.send_event(command["do"])
    finally:
        connect_task.cancel()
        for receiver in receivers:
            receiver.close()


class LightweightReceiverHosts(HollowHosts):
    """Host processes like those of `HollowHosts`, with lightweight receivers in place of sidecars."""

    def __init__(self, spec: HostSpec, receivers_per_host: int) -> None:
        super().__init__(spec, receivers_per_host)
        first_numbers = range(spec.first, spec.first + spec.count, receivers_per_host)
        self.hosts = [
            ChildProcess(
                f"light {index}",
                "larkcrank.lab.scale.light",
                msgspec.structs.replace(
                    spec, first=first, count=min(receivers_per_host, spec.first + spec.count - first)
                ),
            )
            for index, first in enumerate(first_numbers)
        ]


if __name__ == "__main__":
    uvloop.run(_run_host())
