"""Tier processes, and what stands round them: discovery, plain watchers, and relays that can go wrong.

Used by the tests of the tiers and by the runs in `docs/scale/`. Everything speaks discovery's published
protocol; nothing here imports the package `tiers`. Each process, socket and task has one owner that ends it.
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

Place: TypeAlias = tuple[str, int]
Line: TypeAlias = dict[str, Any]

START_S = 60.0  # a process that does not listen by then does not start; the machine may be crowded
CALL_S = 10.0
ANSWER_MOST = 64 << 20
LOG_LINES = 2000
WATCH_SLACK_S = 1.5  # as the sidecar's: a call not answered so long after its wait is silent
TARGET = b"/registry/instances"
_WATCH = re.compile(rb"after=(\d+)&wait_ms=(\d+)")
_RESET = struct.pack("ii", 1, 0)


def written(place: Place) -> str:
    return f"{place[0]}:{place[1]}"


def read_place(text: str) -> Place:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def _request(reader: asyncio.StreamReader) -> bytes | None:
    """The target of the next request; None where the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return head.split(b" ", 2)[1]


class Source:
    """Discovery's stand-in for one service or more; its generations count from `first` on.

    `body` in place of an answer, `status`, `silent` and `denies` are ways in which it can be wrong.
    """

    def __init__(self, lines: Iterable[Line] = (), first: int = 1, owner: str = "") -> None:
        """With an `owner` it answers as a tier of this name would, to a tier below."""
        self.owner = owner
        self.lines: dict[str, Line] = {line["instanceId"]: line for line in lines}
        self.generation = first
        self.calls = self.whole_answers = self.watches = 0
        self.body: bytes | None = None
        self.status = 200
        self.silent = False
        self._log: list[tuple[int, str]] = []  # generation, instance
        self._gone: dict[str, Line] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._first = first
        self.place: Place = ("127.0.0.1", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, *self.place)
        self.place = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """It is gone: connections are reset, and nobody listens."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            abort(writer.transport)
        self.wake()

    def tell(self, lines: Iterable[Line]) -> None:
        """One generation in which these lines change; `Gone` takes one off the list."""
        self.generation += 1
        for line in lines:
            name = line["instanceId"]
            self.lines.pop(name, None)
            self._gone.pop(name, None)
            (self._gone if line["lifecycle"] == "Gone" else self.lines)[name] = line
            self._log.append((self.generation, name))
        self.wake()

    def anew(self, first: int = 1) -> None:
        """It counts anew, as one that lost all and was told it once more; what is gone it knows no more."""
        self.generation = self._first = first
        self._log.clear()
        self._gone.clear()
        self.wake()

    def wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def answer(self, after: int | None) -> bytes:
        if self.body is not None:
            return self.body
        if after is None or after > self.generation or after < self._first:
            self.whole_answers += 1
            return self.encode(True, list(self.lines.values()))
        names = dict.fromkeys(name for generation, name in self._log if generation > after)
        changed = [self.lines.get(name) or self._gone[name] for name in names]
        return self.encode(False, changed)

    def encode(self, whole: bool, lines: list[Line], generation: int | None = None) -> bytes:
        """An answer's body with these lines."""
        generation = self.generation if generation is None else generation
        told: dict[str, Any] = {"generation": generation, "reset": whole, "instances": lines}
        if self.owner:
            version = [1, generation]
            told["owners"] = {self.owner: version}
            told["instances"] = [line | {"owner": self.owner, "version": version} for line in lines]
        return json.dumps(told).encode()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (target := await _request(reader)) is not None:
                self.calls += 1
                watch = _WATCH.search(target)
                after = None if watch is None else int(watch[1])
                if watch is not None:
                    await self._wait(int(watch[1]), int(watch[2]) / 1000.0)
                while self.silent:
                    await self._changed.wait()
                if self.status != 200:
                    writer.write(http1.encode_response(self.status, (), b""))
                else:
                    writer.write(http1.encode_response(200, (), self.answer(after)))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait(self, after: int, wait_s: float) -> None:
        self.watches += 1
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while self._server is not None and self.generation == after and self.body is None:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.0, until - loop.time()))
            except TimeoutError:
                return


def abort(transport: asyncio.WriteTransport) -> None:
    """End a connection by a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    transport.abort()


class _Leg(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, relay: "Relay", far: "_Leg | None") -> None:
        self.relay, self.far = relay, far
        self.transport: asyncio.Transport | None = None
        self.is_near = far is None  # towards who connected
        self.held: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.relay._legs.add(self)
        if self.is_near:
            self.relay.accepted += 1
            if self.relay.resets:
                abort(transport)
                return
            self.relay._reach(self)
        self.follow()

    def follow(self) -> None:
        """Read on or not, as the relay's faults are now."""
        if self.transport is None or self.transport.is_closing():
            return
        passes = self.relay.up if self.is_near else self.relay.down
        if passes and self.far is not None:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        far = self.far
        if self.is_near:
            self.relay.bytes_up += len(data)
        else:
            self.relay.bytes_down += len(data)
        if far is not None and far.transport is not None:
            far.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.relay._legs.discard(self)
        self.transport = None
        far, self.far = self.far, None
        if far is not None:
            far.far = None
            if far.transport is not None and (self.relay.up and self.relay.down):
                if exc is not None:
                    abort(far.transport)
                else:
                    far.transport.close()


class Relay:
    """Between one process and another's listening socket: passes on, one way only, nothing, or resets.

    With neither way open a connection is accepted and nothing is said: half-open. An end is not passed on
    either while a way is shut.
    """

    def __init__(self, target: Place | None = None) -> None:
        self.target = target
        self.up = self.down = True
        self.resets = False
        self.accepted = self.bytes_up = self.bytes_down = 0
        self._legs: set[_Leg] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.place: Place = ("127.0.0.1", 0)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Leg(self, None), *self.place)
        self.place = self._server.sockets[0].getsockname()[:2]

    def set(self, up: bool = True, down: bool = True, resets: bool = False) -> None:
        self.up, self.down, self.resets = up, down, resets
        for leg in list(self._legs):
            if resets and leg.transport is not None:
                abort(leg.transport)
            else:
                leg.follow()

    def cut(self) -> None:
        self.set(up=False, down=False)

    def heal(self) -> None:
        """Whole again. Connections of before end by a reset, as where a machine is back after a cut."""
        for leg in list(self._legs):
            if leg.transport is not None and leg.is_near and not (self.up and self.down):
                abort(leg.transport)
                if leg.far is not None and leg.far.transport is not None:
                    abort(leg.far.transport)
        self.set()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()
        for leg in list(self._legs):
            if leg.transport is not None:
                leg.transport.abort()

    def _reach(self, near: _Leg) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(near))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, near: _Leg) -> None:
        loop = asyncio.get_running_loop()
        while not self.up:  # nothing gets to the other side: not the wish to connect either
            if near.transport is None:
                return
            await asyncio.sleep(0.02)
        try:
            if self.target is None:
                raise ConnectionRefusedError
            _, far = await loop.create_connection(lambda: _Leg(self, near), *self.target)
        except OSError:
            if near.transport is not None:
                abort(near.transport)
            return
        near.far = far
        near.follow()
        if near.transport is None and far.transport is not None:
            far.transport.abort()


@dataclass(slots=True)
class Answer:
    """One call's end as a watcher saw it."""

    kind: str  # whole, changes, quiet, failed
    at: float
    place: Place
    lines: int = 0
    bytes: int = 0
    generation: int = 0
    error: str = ""


@dataclass(slots=True)
class _Kept:
    """The connection of a watcher."""

    place: Place
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    generation: int = -1  # the last that was told on it


class Watcher:
    """A plain sidecar's side of the protocol, which also checks what it is told. `places`: its own first."""

    def __init__(
        self,
        places: list[Place],
        name: str = "",
        wait_ms: int = 20000,
        generation: int | None = None,
        held: Iterable[Line] = (),
        again_s: float = 0.2,
    ) -> None:
        self.places, self.name, self.wait_ms, self.again_s = places, name, wait_ms, again_s
        self.generation = generation
        self.held: dict[str, Line] = {line["instanceId"]: line for line in held}
        self.answers: list[Answer] = []
        self.faults: list[str] = []
        self.gone: set[str] = set()
        self.seen_at: dict[tuple[str, str], float] = {}  # instance, lifecycle: when first told
        self.at = 0  # index of its place
        self.receives = asyncio.Event()  # cleared: it reads no more
        self.receives.set()
        self._task: asyncio.Task[None] | None = None
        self._kept: _Kept | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.hang_up()

    def hold(self) -> None:
        """It stands still: it takes nothing from its socket and says nothing any more."""
        self.receives.clear()
        if self._kept is not None:
            self._kept.writer.transport.pause_reading()  # type: ignore[attr-defined]

    def release(self) -> None:
        self.receives.set()
        if self._kept is not None and not self._kept.writer.transport.is_closing():
            self._kept.writer.transport.resume_reading()  # type: ignore[attr-defined]

    @property
    def port(self) -> int:
        """Its own, of the connection that it has now."""
        assert self._kept is not None
        return int(self._kept.writer.get_extra_info("sockname")[1])

    def hang_up(self) -> None:
        if self._kept is not None:
            self._kept.writer.transport.abort()
            self._kept = None

    def count(self, kind: str, since: int = 0) -> int:
        return sum(answer.kind == kind for answer in self.answers[since:])

    @property
    def states(self) -> dict[str, str]:
        return {name: line["lifecycle"] for name, line in self.held.items()}

    async def _run(self) -> None:
        while True:
            place = self.places[self.at % len(self.places)]
            try:
                await self._call(place)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
                self.hang_up()
                now = asyncio.get_running_loop().time()
                text = str(error) or type(error).__name__
                self.answers.append(Answer("failed", now, place, error=text))
                self.at += 1
                await asyncio.sleep(self.again_s)

    async def _call(self, place: Place) -> None:
        loop = asyncio.get_running_loop()
        limit = 3.0 if self.generation is None else self.wait_ms / 1000.0 + WATCH_SLACK_S
        async with asyncio.timeout(limit):
            kept = self._kept
            if kept is None or kept.place != place:
                self.hang_up()
                reader, writer = await asyncio.open_connection(*place, limit=1 << 20)
                kept = self._kept = _Kept(place, reader, writer)
            target = TARGET
            if self.generation is not None:
                target += b"?after=%d&wait_ms=%d" % (self.generation, self.wait_ms)
            kept.writer.write(http1.encode_request(b"GET", target, (b"Host: " + written(place).encode(),)))
            parser = http1.ResponseParser(max_body_bytes=ANSWER_MOST)
            while not parser.complete:
                data = await kept.reader.read(65536)
                await self.receives.wait()
                if not data:
                    raise ConnectionResetError("ended")
                parser.feed(data)
            response = parser.response()
        if response.status != 200:
            raise ValueError(str(response.status))
        told = json.loads(response.body)
        self._take(kept, told, loop.time(), len(response.body))
        if not response.keep_alive:
            self.hang_up()

    def _take(self, kept: _Kept, told: dict[str, Any], now: float, size: int) -> None:
        generation, whole, lines = told["generation"], told["reset"], told["instances"]
        whole = whole or self.generation is None
        if generation < kept.generation or (lines and not whole and generation == kept.generation):
            self.faults.append(f"generation {generation} after {kept.generation} on one connection")
        if whole and not lines and self.held:
            self.faults.append("an empty whole list")
        kept.generation = self.generation = generation
        kind = "whole" if whole else "changes" if lines else "quiet"
        self.answers.append(Answer(kind, now, kept.place, len(lines), size, generation))
        if whole:
            names = {line["instanceId"] for line in lines}
            self.gone |= self.held.keys() - names
            self.held = {name: line for name, line in self.held.items() if name in names}
        for line in lines:
            name, lifecycle = line["instanceId"], line["lifecycle"]
            self.seen_at.setdefault((name, lifecycle), now)
            if lifecycle == "Gone":
                self.held.pop(name, None)
                self.gone.add(name)
                continue
            if name in self.gone:
                self.faults.append(f"{name} was gone, and returns")
            before = self.held.get(name)
            if before is not None and before["lifecycle"] == "Terminating" and lifecycle == "Ready":
                self.faults.append(f"{name} was terminating, and is ready again")
            self.held[name] = line


class TierError(Exception):
    """A tier's process did not start, or ended; the message holds its last log lines."""


@dataclass
class Tier:
    """One process `larkcrank tier`, under the same name and addresses through all its lives."""

    folder: Path
    config: dict[str, Any]
    event: Callable[[str, dict[str, Any]], None] = lambda name, line: None
    prefix: tuple[str, ...] = ()  # before the command, as `taskset -c 4-7`
    log: deque[dict[str, Any]] = field(default_factory=lambda: deque(maxlen=LOG_LINES))
    other: deque[str] = field(default_factory=lambda: deque(maxlen=50))  # lines that are none of its log
    lives: int = 0
    process: asyncio.subprocess.Process | None = None
    listening: dict[str, Any] | None = None

    @property
    def name(self) -> str:
        return str(self.config.get("name", "nameless"))

    @property
    def listen(self) -> Place:
        return read_place(self._told()["listen"])

    @property
    def own(self) -> Place:
        return read_place(self._told()["own"])

    @property
    def ops(self) -> Place:
        return read_place(self._told()["ops"])

    @property
    def doors(self) -> list[Place]:
        return [
            read_place(door if isinstance(door, str) else door["listen"]) for door in self._told()["doors"]
        ]

    def _told(self) -> dict[str, Any]:
        if self.listening is None:
            raise TierError(f"{self.name} does not listen")
        return self.listening

    def events(self, name: str) -> list[dict[str, Any]]:
        return [line for line in self.log if line.get("event") == name]

    async def spawn(self) -> None:
        """Start the process and do not wait until it listens."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        self.process = await asyncio.create_subprocess_exec(
            *self.prefix,
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
        self.lives += 1
        self._up: asyncio.Event = asyncio.Event()
        self._reader = asyncio.get_running_loop().create_task(self._read(self.process))

    async def start(self) -> None:
        """Returns once it listens. Raises `TierError`."""
        await self.spawn()
        ended = asyncio.ensure_future(self._reader)
        up = asyncio.ensure_future(self._up.wait())
        await asyncio.wait((up, ended), timeout=START_S, return_when=asyncio.FIRST_COMPLETED)
        if not up.done():
            up.cancel()
            raise TierError(f"{self.name} does not listen: {list(self.log)[-3:]} {list(self.other)[-12:]}")
        told = self._told()  # another life listens at the same addresses
        for key in ("listen", "own", "ops"):
            if self.config.get(key) and told.get(key):
                self.config[key] = told[key]
        for door, place in zip(self.config.get("doors", ()), self.doors, strict=True):
            door["listen"] = written(place)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        async for text in process.stderr:
            try:
                line = json.loads(text)
            except ValueError:
                self.other.append(text.decode("utf-8", "replace").rstrip())
                continue
            self.log.append(line)
            if line.get("event") == "tier_listening":
                self.listening = line
                self._up.set()
            self.event(self.name, line)
        await process.wait()

    async def ended(self) -> int:
        """Its exit code, once it has ended by itself."""
        assert self.process is not None
        await self._reader
        return await self.process.wait()

    def stop(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self._reader
            self.process = None

    async def call(self, text: str) -> str:
        """An operators' call and its answer. Raises TimeoutError, OSError."""
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(*self.ops, limit=1 << 22)
            try:
                writer.write(text.encode() + b"\n")
                return (await reader.read()).decode().strip()
            finally:
                writer.close()

    async def told(self, text: str) -> dict[str, Any]:
        """An operators' call whose answer holds a JSON object."""
        answer = await self.call(text)
        found = json.loads(answer[answer.index("{") :])
        assert isinstance(found, dict)
        return found

    def usage(self) -> tuple[float, float]:
        """Memory that is its own (MB), processor time (s)."""
        assert self.process is not None
        process = psutil.Process(self.process.pid)
        cpu = process.cpu_times()
        return process.memory_full_info().uss / (1 << 20), cpu.user + cpu.system
