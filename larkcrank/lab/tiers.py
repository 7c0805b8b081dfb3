"""Runs tier processes together with a fake discovery, plain watchers and relays that inject network faults.

The tests of the tiers and the runs in `docs/scale/` use this module. Everything speaks the published protocol
of discovery; nothing here imports the package `tiers`. Each process, socket and task has one owner, which
ends it.
"""

import asyncio
import json
import re
import signal
import socket
import struct
import sys
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeAlias

import psutil

from larkcrank.lab.processes import kill_when_parent_exits
from larkcrank.protocol import http1

Address: TypeAlias = tuple[str, int]
InstanceEntry: TypeAlias = dict[str, Any]

START_TIMEOUT_S = 60.0  # long, because the machine may be busy
OPS_CALL_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 64 << 20
MAX_LOG_LINES = 2000
WATCH_ANSWER_SLACK_S = 1.5  # added to the wait time of a call to get its timeout, as in the sidecar
LIST_TARGET = b"/registry/instances"
_WATCH_QUERY = re.compile(rb"after=(\d+)&wait_ms=(\d+)")
_LINGER_RESET = struct.pack("ii", 1, 0)


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def _read_request_target(reader: asyncio.StreamReader) -> bytes | None:
    """Reads a request and returns its target, or None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return head.split(b" ", 2)[1]


class FakeDiscovery:
    """A fake discovery server for one or more services. Its generations start at `first_generation`.

    It can be made faulty: `body_override` replaces every answer, a `status` other than 200 fails every call,
    and `is_silent` withholds all answers.
    """

    def __init__(
        self, entries: Iterable[InstanceEntry] = (), first_generation: int = 1, owner: str = ""
    ) -> None:
        """With an `owner`, it answers like a tier of this name answers a lower tier."""
        self.owner = owner
        self.instances: dict[str, InstanceEntry] = {entry["instanceId"]: entry for entry in entries}
        self.generation = first_generation
        self.call_count = self.full_answer_count = self.watch_count = 0
        self.body_override: bytes | None = None
        self.status = 200
        self.is_silent = False
        self._change_log: list[tuple[int, str]] = []  # generation, instance ID
        self._removed: dict[str, InstanceEntry] = {}
        self._state_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._first_generation = first_generation
        self.address: Address = ("127.0.0.1", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve_connection, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Resets all connections and closes the listening socket."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset_connection(writer.transport)
        self.notify_watchers()

    def publish(self, entries: Iterable[InstanceEntry]) -> None:
        """Publishes one generation with these changed entries; the lifecycle `Gone` removes an entry."""
        self.generation += 1
        for entry in entries:
            name = entry["instanceId"]
            self.instances.pop(name, None)
            self._removed.pop(name, None)
            (self._removed if entry["lifecycle"] == "Gone" else self.instances)[name] = entry
            self._change_log.append((self.generation, name))
        self.notify_watchers()

    def restart_generations(self, first_generation: int = 1) -> None:
        """Restarts the count of generations, as a discovery does that lost its state and was filled again.

        It no longer knows which instances were removed.
        """
        self.generation = self._first_generation = first_generation
        self._change_log.clear()
        self._removed.clear()
        self.notify_watchers()

    def notify_watchers(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def answer_body(self, after: int | None) -> bytes:
        """The body for a call: all entries, or those that changed after a known generation."""
        if self.body_override is not None:
            return self.body_override
        if after is None or after > self.generation or after < self._first_generation:
            self.full_answer_count += 1
            return self.encode_answer(True, list(self.instances.values()))
        changed_names = dict.fromkeys(name for generation, name in self._change_log if generation > after)
        changed = [self.instances.get(name) or self._removed[name] for name in changed_names]
        return self.encode_answer(False, changed)

    def encode_answer(
        self, is_full: bool, entries: list[InstanceEntry], generation: int | None = None
    ) -> bytes:
        """Encodes an answer with these entries."""
        generation = self.generation if generation is None else generation
        answer: dict[str, Any] = {"generation": generation, "reset": is_full, "instances": entries}
        if self.owner:
            version = [1, generation]
            answer["owners"] = {self.owner: version}
            answer["instances"] = [entry | {"owner": self.owner, "version": version} for entry in entries]
        return json.dumps(answer).encode()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (target := await _read_request_target(reader)) is not None:
                self.call_count += 1
                watch_query = _WATCH_QUERY.search(target)
                after = None if watch_query is None else int(watch_query[1])
                if watch_query is not None:
                    await self._wait_for_change(int(watch_query[1]), int(watch_query[2]) / 1000.0)
                while self.is_silent:
                    await self._state_changed.wait()
                if self.status != 200:
                    writer.write(http1.encode_response(self.status, (), b""))
                else:
                    writer.write(http1.encode_response(200, (), self.answer_body(after)))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_for_change(self, after: int, wait_s: float) -> None:
        self.watch_count += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while self._server is not None and self.generation == after and self.body_override is None:
            state_changed = self._state_changed
            try:
                await asyncio.wait_for(state_changed.wait(), max(0.0, deadline - loop.time()))
            except TimeoutError:
                return


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Closes a connection with a TCP reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()


class _RelaySide(asyncio.Protocol):
    """The relay's connection to the client or to the target."""

    def __init__(self, relay: "Relay", peer: "_RelaySide | None") -> None:
        self.relay, self.peer = relay, peer
        self.transport: asyncio.Transport | None = None
        self.is_client_side = peer is None  # the connection that the client opened
        self.unsent_data: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.relay._sides.add(self)
        if self.is_client_side:
            self.relay.accepted_count += 1
            if self.relay.resets_connections:
                reset_connection(transport)
                return
            self.relay._start_connecting(self)
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading according to the current faults of the relay."""
        if self.transport is None or self.transport.is_closing():
            return
        forwards = self.relay.forwards_to_target if self.is_client_side else self.relay.forwards_to_client
        if forwards and self.peer is not None:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        peer = self.peer
        if self.is_client_side:
            self.relay.bytes_to_target += len(data)
        else:
            self.relay.bytes_to_client += len(data)
        if peer is not None and peer.transport is not None:
            peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.relay._sides.discard(self)
        self.transport = None
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            if peer.transport is not None and (
                self.relay.forwards_to_target and self.relay.forwards_to_client
            ):
                if exc is not None:
                    reset_connection(peer.transport)
                else:
                    peer.transport.close()


class Relay:
    """A TCP relay that can forward in both directions, in one or in none, or reset connections.

    Without forwarding, connections are accepted but carry no data, as half-open ones do. While a direction is
    blocked, the end of a connection is not passed on either.
    """

    def __init__(self, target: Address | None = None) -> None:
        self.target = target
        self.forwards_to_target = self.forwards_to_client = True
        self.resets_connections = False
        self.accepted_count = self.bytes_to_target = self.bytes_to_client = 0
        self._sides: set[_RelaySide] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address: Address = ("127.0.0.1", 0)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _RelaySide(self, None), *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def set_faults(self, to_target: bool = True, to_client: bool = True, resets: bool = False) -> None:
        """Sets which directions are forwarded, and whether all connections are reset."""
        self.forwards_to_target, self.forwards_to_client, self.resets_connections = (
            to_target,
            to_client,
            resets,
        )
        for side in list(self._sides):
            if resets and side.transport is not None:
                reset_connection(side.transport)
            else:
                side.update_reading()

    def block(self) -> None:
        self.set_faults(to_target=False, to_client=False)

    def restore(self) -> None:
        """Forwards both directions again. Blocked connections are reset, as after a network partition."""
        for side in list(self._sides):
            if (
                side.transport is not None
                and side.is_client_side
                and not (self.forwards_to_target and self.forwards_to_client)
            ):
                reset_connection(side.transport)
                if side.peer is not None and side.peer.transport is not None:
                    reset_connection(side.peer.transport)
        self.set_faults()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()
        for side in list(self._sides):
            if side.transport is not None:
                side.transport.abort()

    def _start_connecting(self, client_side: _RelaySide) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(client_side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, client_side: _RelaySide) -> None:
        loop = asyncio.get_running_loop()
        while not self.forwards_to_target:  # a blocked relay does not open a connection to the target either
            if client_side.transport is None:
                return
            await asyncio.sleep(0.02)
        try:
            if self.target is None:
                raise ConnectionRefusedError
            _, target_side = await loop.create_connection(lambda: _RelaySide(self, client_side), *self.target)
        except OSError:
            if client_side.transport is not None:
                reset_connection(client_side.transport)
            return
        client_side.peer = target_side
        client_side.update_reading()
        if client_side.transport is None and target_side.transport is not None:
            target_side.transport.abort()


@dataclass(slots=True)
class CallResult:
    """The result of one call of a watcher."""

    kind: str  # `whole` (a full list), `changes`, `quiet` (no change) or `failed`
    ended_at: float
    address: Address
    entry_count: int = 0
    body_bytes: int = 0
    generation: int = 0
    error: str = ""


@dataclass(slots=True)
class _WatchConnection:
    """The open connection of a watcher."""

    address: Address
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    generation: int = -1  # the last one received on this connection


class Watcher:
    """Speaks the discovery protocol as a sidecar does, and records violations of it in `violations`.

    It calls the first of `addresses`, and the next one after each failed call.
    """

    def __init__(
        self,
        addresses: list[Address],
        name: str = "",
        wait_ms: int = 20000,
        generation: int | None = None,
        initial_instances: Iterable[InstanceEntry] = (),
        retry_delay_s: float = 0.2,
    ) -> None:
        self.addresses, self.name, self.wait_ms, self.retry_delay_s = addresses, name, wait_ms, retry_delay_s
        self.generation = generation
        self.instances: dict[str, InstanceEntry] = {entry["instanceId"]: entry for entry in initial_instances}
        self.results: list[CallResult] = []
        self.violations: list[str] = []
        self.removed_names: set[str] = set()
        self.first_seen_at: dict[tuple[str, str], float] = {}  # instance ID, lifecycle: when first received
        self.address_index = 0  # position of the current address, modulo their number
        self.may_read = asyncio.Event()  # cleared while reading is paused
        self.may_read.set()
        self._task: asyncio.Task[None] | None = None
        self._connection: _WatchConnection | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.close_connection()

    def pause_reading(self) -> None:
        """Stops reading from the socket, and with that sends no further calls."""
        self.may_read.clear()
        if self._connection is not None:
            self._connection.writer.transport.pause_reading()  # type: ignore[attr-defined]

    def resume_reading(self) -> None:
        self.may_read.set()
        if self._connection is not None and not self._connection.writer.transport.is_closing():
            self._connection.writer.transport.resume_reading()  # type: ignore[attr-defined]

    @property
    def local_port(self) -> int:
        """The local port of the open connection."""
        assert self._connection is not None
        return int(self._connection.writer.get_extra_info("sockname")[1])

    def close_connection(self) -> None:
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None

    def count_results(self, kind: str, start: int = 0) -> int:
        return sum(result.kind == kind for result in self.results[start:])

    @property
    def lifecycles(self) -> dict[str, str]:
        """Lifecycle by instance ID."""
        return {name: entry["lifecycle"] for name, entry in self.instances.items()}

    async def _run(self) -> None:
        while True:
            address = self.addresses[self.address_index % len(self.addresses)]
            try:
                await self._call(address)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
                self.close_connection()
                now = asyncio.get_running_loop().time()
                message = str(error) or type(error).__name__
                self.results.append(CallResult("failed", now, address, error=message))
                self.address_index += 1
                await asyncio.sleep(self.retry_delay_s)

    async def _call(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        timeout_s = 3.0 if self.generation is None else self.wait_ms / 1000.0 + WATCH_ANSWER_SLACK_S
        async with asyncio.timeout(timeout_s):
            connection = self._connection
            if connection is None or connection.address != address:
                self.close_connection()
                reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
                connection = self._connection = _WatchConnection(address, reader, writer)
            target = LIST_TARGET
            if self.generation is not None:
                target += b"?after=%d&wait_ms=%d" % (self.generation, self.wait_ms)
            connection.writer.write(
                http1.encode_request(b"GET", target, (b"Host: " + format_address(address).encode(),))
            )
            parser = http1.ResponseParser(max_body_bytes=MAX_ANSWER_BYTES)
            while not parser.complete:
                data = await connection.reader.read(65536)
                await self.may_read.wait()
                if not data:
                    raise ConnectionResetError("connection ended before the answer was complete")
                parser.feed(data)
            response = parser.response()
        if response.status != 200:
            raise ValueError(str(response.status))
        answer = json.loads(response.body)
        self._apply_answer(connection, answer, loop.time(), len(response.body))
        if not response.keep_alive:
            self.close_connection()

    def _apply_answer(
        self, connection: _WatchConnection, answer: dict[str, Any], now: float, body_bytes: int
    ) -> None:
        generation, is_full, entries = answer["generation"], answer["reset"], answer["instances"]
        is_full = is_full or self.generation is None
        if generation < connection.generation or (
            entries and not is_full and generation == connection.generation
        ):
            self.violations.append(f"generation {generation} after {connection.generation} on one connection")
        if is_full and not entries and self.instances:
            self.violations.append("an empty full list")
        connection.generation = self.generation = generation
        kind = "whole" if is_full else "changes" if entries else "quiet"
        self.results.append(CallResult(kind, now, connection.address, len(entries), body_bytes, generation))
        if is_full:
            listed_names = {entry["instanceId"] for entry in entries}
            self.removed_names |= self.instances.keys() - listed_names
            self.instances = {name: entry for name, entry in self.instances.items() if name in listed_names}
        for entry in entries:
            name, lifecycle = entry["instanceId"], entry["lifecycle"]
            self.first_seen_at.setdefault((name, lifecycle), now)
            if lifecycle == "Gone":
                self.instances.pop(name, None)
                self.removed_names.add(name)
                continue
            if name in self.removed_names:
                self.violations.append(f"{name} returns after it was gone")
            previous = self.instances.get(name)
            if previous is not None and previous["lifecycle"] == "Terminating" and lifecycle == "Ready":
                self.violations.append(f"{name} is ready again after it was terminating")
            self.instances[name] = entry


class TierError(Exception):
    """A tier process did not start, or has ended. The message contains its last log lines."""


@dataclass
class TierProcess:
    """A process `larkcrank tier`, which keeps its name and addresses when it is started again."""

    folder: Path
    config: dict[str, Any]
    on_log_event: Callable[[str, dict[str, Any]], None] = lambda name, event: None
    command_prefix: tuple[str, ...] = ()  # put before the command, e.g. `taskset -c 4-7`
    log: deque[dict[str, Any]] = field(default_factory=lambda: deque(maxlen=MAX_LOG_LINES))
    # Lines of output that are not JSON.
    unparsed_lines: deque[str] = field(default_factory=lambda: deque(maxlen=50))
    start_count: int = 0
    process: asyncio.subprocess.Process | None = None
    listening_event: dict[str, Any] | None = None

    @property
    def name(self) -> str:
        return str(self.config.get("name", "nameless"))

    @property
    def listen_address(self) -> Address:
        return parse_address(self._require_listening()["listen"])

    @property
    def own_address(self) -> Address:
        """The address at which its parent tier reads the records of this tier and those below it."""
        return parse_address(self._require_listening()["own"])

    @property
    def ops_address(self) -> Address:
        return parse_address(self._require_listening()["ops"])

    @property
    def door_addresses(self) -> list[Address]:
        """The listening addresses at which it serves sidecars and lower tiers."""
        return [
            parse_address(door if isinstance(door, str) else door["listen"])
            for door in self._require_listening()["doors"]
        ]

    def _require_listening(self) -> dict[str, Any]:
        """The log event with its addresses. Raises `TierError` before the process listens."""
        if self.listening_event is None:
            raise TierError(f"{self.name} is not listening")
        return self.listening_event

    def events(self, name: str) -> list[dict[str, Any]]:
        return [entry for entry in self.log if entry.get("event") == name]

    async def spawn(self) -> None:
        """Starts the process without waiting until it listens."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        self.process = await asyncio.create_subprocess_exec(
            *self.command_prefix,
            sys.executable,
            "-m",
            "larkcrank",
            "tier",
            str(path),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 22,
            preexec_fn=kill_when_parent_exits,
        )
        self.start_count += 1
        self._is_listening: asyncio.Event = asyncio.Event()
        self._log_reader = asyncio.get_running_loop().create_task(self._read_log(self.process))

    async def start(self) -> None:
        """Starts the process and waits until it listens. Raises `TierError`."""
        await self.spawn()
        log_ended = asyncio.ensure_future(self._log_reader)
        listening_seen = asyncio.ensure_future(self._is_listening.wait())
        await asyncio.wait(
            (listening_seen, log_ended), timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not listening_seen.done():
            listening_seen.cancel()
            raise TierError(
                f"{self.name} is not listening; last log lines: "
                f"{list(self.log)[-3:]} {list(self.unparsed_lines)[-12:]}"
            )
        listening_event = self._require_listening()  # a later start has to use the same addresses
        for key in ("listen", "own", "ops"):
            if self.config.get(key) and listening_event.get(key):
                self.config[key] = listening_event[key]
        for door, address in zip(self.config.get("doors", ()), self.door_addresses, strict=True):
            door["listen"] = format_address(address)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        async for line in process.stderr:
            try:
                entry = json.loads(line)
            except ValueError:
                self.unparsed_lines.append(line.decode("utf-8", "replace").rstrip())
                continue
            self.log.append(entry)
            if entry.get("event") == "tier_listening":
                self.listening_event = entry
                self._is_listening.set()
            self.on_log_event(self.name, entry)
        await process.wait()

    async def wait_for_exit(self) -> int:
        """Waits until the process has ended by itself and returns its exit code."""
        assert self.process is not None
        await self._log_reader
        return await self.process.wait()

    def suspend(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self._log_reader
            self.process = None

    async def ops_call(self, command: str) -> str:
        """Sends a command to the operators' address and returns the answer. Raises TimeoutError, OSError."""
        async with asyncio.timeout(OPS_CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.ops_address, limit=1 << 22)
            try:
                writer.write(command.encode() + b"\n")
                return (await reader.read()).decode().strip()
            finally:
                writer.close()

    async def ops_call_json(self, command: str) -> dict[str, Any]:
        """Sends an operators' command and returns the JSON object in its answer."""
        answer = await self.ops_call(command)
        parsed = json.loads(answer[answer.index("{") :])
        assert isinstance(parsed, dict)
        return parsed

    def resource_usage(self) -> tuple[float, float]:
        """Unshared memory (MB) and CPU time (s)."""
        assert self.process is not None
        process = psutil.Process(self.process.pid)
        cpu_times = process.cpu_times()
        return process.memory_full_info().uss / (1 << 20), cpu_times.user + cpu_times.system
