"""Stand-ins for the cases of the second review: endpoints, discovery, clients, and sidecars as processes.

A case is played in one process by `run`; the sidecars are separate processes, started with the `run` command
of the deploy file. All addresses are loopback addresses with free ports. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, one line an event, with the time since the start in ms."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self("record", f"trouble={'on' if TROUBLE else 'off'}")

    def __call__(self, who: str, text: str) -> None:
        self._file.write(f"{(time.monotonic() - self._began_at) * 1000.0:9.1f} {who}: {text}\n")
        self._file.flush()


@dataclass
class Message:
    """An HTTP/1.1 message."""

    start: list[str]  # the parts of the first line
    headers: dict[str, str]  # names in lower case
    body: bytes = b""

    @property
    def id(self) -> str:
        return self.headers.get("req-id", "")

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_message(
    reader: asyncio.StreamReader, on_head: Callable[[Message], None] = lambda _: None
) -> Message | None:
    """Return the next message, or None if the connection ends before its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        message = Message(
            first.split(" ", 2), {name.strip().lower(): text.strip() for name, _, text in pairs}
        )
        on_head(message)
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode_answer(status: int, body: bytes, *lines: str) -> bytes:
    head = [f"HTTP/1.1 {status} Status", *lines, f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


@dataclass(eq=False)
class Link:
    """One connection to an endpoint, with the time that bytes take each way."""

    writer: asyncio.StreamWriter
    number: int
    delay_s: float
    waiting: list[float] = field(default_factory=list)  # when the requests not yet begun arrive
    last_write_at: float = 0.0

    def send(self, data: bytes) -> None:
        """Send what reaches the sidecar after the delay."""
        asyncio.get_running_loop().call_later(self.delay_s, self._write, data)

    def _write(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    def has_waiting_request(self) -> bool:
        """Whether a request has come that was not begun."""
        now = asyncio.get_running_loop().time()
        return any(arrives_at <= now for arrives_at in self.waiting)


class Endpoint:
    """An endpoint: it answers the requests of a connection one after the other."""

    def __init__(
        self,
        name: str,
        record: Record,
        serve: "Callable[[Endpoint, Message, Link], Awaitable[None]]",
        zone: str = "a",
        link_delay_s: float = 0.0,
    ) -> None:
        self.name, self.zone, self.lifecycle = name, zone, "Ready"
        self._record, self._serve, self._delay_s = record, serve, link_delay_s
        self._connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self.port = 0
        self.started_at_ms = 0.0  # Unix time; 0: long ago
        self.requests: list[tuple[float, Message]] = []  # with the time of the last byte

    async def start(self, port: int = 0) -> None:
        """Listen, with `port` at the address of an endpoint that has ended."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process does that is killed: refuse new connections and reset the open ones."""
        self._record(self.name, "has ended")
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        self._writers.append(writer)
        link = Link(writer, self._connections, self._delay_s)
        queue: asyncio.Queue[Message | None] = asyncio.Queue()
        reading = asyncio.create_task(self._read(reader, link, queue))
        loop = asyncio.get_running_loop()
        try:
            while (message := await queue.get()) is not None:
                await asyncio.sleep(max(link.waiting[0] - loop.time(), 0.0))
                link.waiting.pop(0)
                self.requests.append((loop.time(), message))
                self._record(self.name, f"connection {link.number}: request {message.id} has come whole")
                await self._serve(self, message, link)
        finally:
            reading.cancel()
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, link: Link, queue: "asyncio.Queue[Message | None]"
    ) -> None:
        while (message := await read_message(reader)) is not None:
            link.waiting.append(asyncio.get_running_loop().time() + self._delay_s)
            queue.put_nowait(message)
        queue.put_nowait(None)

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "m1",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }


def answer_body(endpoint: Endpoint, message: Message) -> bytes:
    """What an endpoint makes for a request: it names the request."""
    return f'{{"made-for":"{message.id}","by":"{endpoint.name}"}}'.encode()


class Discovery:
    """Discovery: whole lists, and watches that wait for a change."""

    def __init__(self, endpoints: list[Endpoint], record: Record) -> None:
        self.endpoints, self._record = endpoints, record
        self.generation = 7
        self._changes: list[tuple[int, dict[str, Any]]] = []  # with their generations
        self._changed = asyncio.Event()
        self.port = 0
        self.calls = 0
        # Called with the number of the call, from 1; it may wait, and returns whether the call succeeds.
        self.admit: Callable[[int], Awaitable[bool]] = self._admit_all

    @staticmethod
    async def _admit_all(number: int) -> bool:
        return True

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def announce(self, *endpoints: Endpoint) -> None:
        """Tell the watches that these endpoints have changed."""
        self.generation += 1
        self._changes += [(self.generation, endpoint.entry()) for endpoint in endpoints]
        self._changed.set()
        self._changed = asyncio.Event()

    def list_text(self, generation: int | None = None) -> dict[str, Any]:
        return {
            "generation": self.generation if generation is None else generation,
            "reset": True,
            "instances": [endpoint.entry() for endpoint in self.endpoints if endpoint.lifecycle != "Gone"],
        }

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                number, target = self.calls, message.start[1]
                self._record("discovery", f"call {number}: {target}")
                if not await self.admit(number):
                    self._record("discovery", f"call {number}: 503, it waited too long")
                    writer.write(encode_answer(503, b""))
                    continue
                query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
                after = int(query.get("after", "0"))
                if after == self.generation:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), float(query["wait_ms"]) / 1000.0)
                changes = {
                    entry["instanceId"]: entry for generation, entry in self._changes if generation > after
                }
                if after == self.generation or changes:
                    told = {"generation": self.generation, "reset": False, "instances": [*changes.values()]}
                else:
                    told = self.list_text()
                states = [f"{entry['instanceId']} {entry['lifecycle']}" for entry in told["instances"]]
                self._record(
                    "discovery", f"call {number}: generation {told['generation']}: {', '.join(states)}"
                )
                writer.write(encode_answer(200, json.dumps(told).encode()))
        except ConnectionError:
            pass
        finally:
            writer.close()


class Client:
    """One client: one request at a time on a connection that is kept."""

    def __init__(self, host_port: tuple[str, int], record: Record) -> None:
        self._host_port, self._record = host_port, record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._host_port)
        return self._streams

    async def ask(
        self,
        request_id: str,
        kind: str,
        method: str,
        deadline_s: float,
        headers: tuple[str, ...] = (),
        path: str = "",
    ) -> Message | None:
        """Return the answer, or None if the connection ended without one."""
        _, writer = await self.connect()
        self._record("client", f"{request_id}: sent, {method} {kind}, waits {deadline_s} s")
        writer.write(encode_request(request_id, kind, method, deadline_s, headers, path))
        return await self.read_answer(request_id)

    async def read_answer(self, request_id: str) -> Message | None:
        reader, _ = await self.connect()
        answer = await read_message(reader)
        if answer is None:
            self._record("client", f"{request_id}: the connection ended without an answer")
            self.close()
            return None
        self._record("client", f"{request_id}: answered {answer.status} {answer.body.decode('latin-1')}")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def encode_request(
    request_id: str,
    kind: str,
    method: str,
    deadline_s: float,
    headers: tuple[str, ...] = (),
    path: str = "",
    body_bytes: int = 0,
) -> bytes:
    """Return a request, of whose body the head tells the length and nothing is there."""
    lines = [
        f"{method} {path or '/' + kind} HTTP/1.1",
        "Host: backend.local",
        f"Req-Id: {request_id}",
        f"Req-Kind: {kind}",
        f"Req-Deadline: {deadline_s:.3f}",
        *headers,
    ]
    if method == "POST":
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def make_settings(grades: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    settings: dict[str, Any] = {
        "az": 0,
        "zones": ["a"],
        "kinds": ["m1"],
        "n-instances": 1,
        "ordinal": 0,
        "registry-mode": "subscribe",
        "resolution-ms": 1.0,
        "weights": "nominal",
        "customers": [],
        "bounds": {
            "send-cap": 3,
            "may-cancel": True,
            "probes": False,
            "peers": False,
            "second-copies": False,
            "retry-after": True,
            "max-retry-after-ms": 2000.0,
            "connect-timeout-ms": 250.0,
            "keepalive-ms": 30000.0,
            "max-open": 20000,
        },
        "contract": {
            "ask-within-ms": 10000.0,
            "cold-from": 0.33,
            "warm-after-ms": 8800.0,
            "fall-multiple": 4.0,
            "fall-ms": 2000.0,
            "grace-to-answer-ms": 20.0,
            "stop-sending-within-ms": 2000.0,
        },
        "grades": grades,
    }
    settings["contract"] |= changes.pop("contract", {})
    return settings | changes


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Sidecar:
    """One sidecar, of which one process or several are started."""

    def __init__(
        self, record: Record, directory: Path, discovery: Discovery, settings: dict[str, Any]
    ) -> None:
        self._record, self._directory, self._discovery = record, directory, discovery
        self._settings = settings
        self.host_port = ("127.0.0.1", free_port())
        self.known: dict[str, Any] | None = None
        self.descriptors = 1024  # limits.sockets
        self.processes: list[Process] = []
        self.ops_ports: list[int] = []  # of the processes, where the platform holds the listener
        self.listener: socket.socket | None = None  # where the platform holds it
        (directory / "tmp").mkdir()

    def hold_listener(self) -> None:
        """Hold the clients' listening socket, as the platform does where processes are replaced."""
        self.listener = socket.create_server(self.host_port, backlog=512)

    async def start_process(self) -> Process:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        listen = "{}:{}".format(*self.host_port)
        config_path = self._directory / f"config-{len(self.processes)}.json"
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": f"127.0.0.1:{self._discovery.port}",
            "seed": f"{len(self.processes) + 7:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.descriptors},
            "known": self.known or self._discovery.list_text(),
            "settings": self._settings,
        }
        config_path.write_text(json.dumps(config))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": listen,
            "PROXY_DISCOVERY": str(config["discovery"]),
            "PROXY_CONFIG": str(config_path),
            "TMPDIR": str(self._directory / "tmp"),
        }
        passed: tuple[int, ...] = ()
        if self.listener is not None:
            passed = (self.listener.fileno(),)
            environment["PROXY_PASSED_SOCKET"] = str(passed[0])
            self.ops_ports.append(free_port())
            environment["PROXY_OPS"] = f"127.0.0.1:{self.ops_ports[-1]}"
        log_path = self._directory / f"log-{len(self.processes)}.txt"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                pass_fds=passed,
            )
        self.processes.append(process)
        self._record("platform", f"process {len(self.processes)} of the sidecar started")
        return process

    def log_text(self) -> str:
        return "".join(path.read_text(errors="replace") for path in sorted(self._directory.glob("log-*")))

    async def wait_until_ready(self) -> None:
        """Return once `GET /health/ready` has answered 200."""
        for _ in range(300):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.host_port)
                writer.write(
                    b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"
                )
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    self._record("platform", "the sidecar says that it is ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError("the sidecar was not ready within 30 s")

    async def wait_for_yes(self, number: int) -> None:
        """Return once the process with this number, from 0, has answered `PING` with 200."""
        for _ in range(300):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ops_ports[number])
                writer.write(b"PING\n")
                answer = await reader.readline()
                writer.close()
                if answer.startswith(b"200"):
                    self._record("platform", f"process {number + 1} says yes")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"process {number + 1} was not ready in time")

    async def stop(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        if self.listener is not None:
            self.listener.close()


Play = Callable[[Record, Path], Awaitable[list[str]]]


async def _abort_open_transports() -> None:
    """Abort what the stand-ins left open; a stream that outlives its loop complains when it is freed."""
    transports: dict[int, asyncio.WriteTransport] = getattr(asyncio.get_running_loop(), "_transports", {})
    for transport in list(transports.values()):
        transport.abort()
    await asyncio.sleep(0)


async def _play(play: Play, record: Record, directory: Path) -> int:
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            try:
                breaks = await play(record, directory)
            finally:
                await _abort_open_transports()
    except (CannotRunError, TimeoutError, OSError) as error:
        record("result", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    for text in breaks:
        record("result", text)
        print(text)
    verdict = "the rule was broken" if breaks else "the rule held"
    record("result", verdict)
    print(verdict)
    return BROKEN if breaks else HELD


def run(case: str, play: Play) -> None:
    """Play a case and exit. `play` returns a line for each break of the rule."""
    record = Record(Path(case).resolve().parent / "record.txt")
    directory = Path(tempfile.mkdtemp(prefix="review-"))
    status = COULD_NOT_RUN
    try:
        status = asyncio.run(_play(play, record, directory))
    except Exception as error:
        record("result", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    sys.exit(status)
