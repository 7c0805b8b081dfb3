"""A real sidecar process with endpoints, hostile clients and an honest client, in several processes."""

import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import pickle
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

from larkcrank.lab.processes import kill_when_parent_exits
from tests import hostile_endpoints as endpoints
from tests.frames import CONFIG
from tests.hostile_endpoints import Run

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
HONEST_INTERVAL_S = 0.05
HONEST_DEADLINE_S = 2.0
HONEST_WAIT_S = 10.0  # for an answer, before it counts as none
MEBIBYTE = 1 << 20

CLASSES: list[dict[str, Any]] = [
    {"aim-ms": 1000.0, "deadline-ms": 2500.0, "effect": "retryable", "name": "proof", "points": 1.0},
    {"aim-ms": 1000.0, "deadline-ms": 4000.0, "effect": "fragile", "name": "reserve", "points": 1.0},
    {
        "aim-ms": 1000.0,
        "deadline-ms": 4000.0,
        "effect": "dedup",
        "group": "all",
        "window-ms": 6000.0,
        "name": "book",
        "points": 1.0,
    },
]
# What a process of `start_python` runs. Not multiprocessing, whose resource tracker would outlive the play.
_RUN_PICKLED = "import pickle, sys; function, arguments = pickle.load(sys.stdin.buffer); function(*arguments)"
_request_numbers = itertools.count()


def start_python(
    function: Callable[..., None], *arguments: Any, pass_fds: Sequence[int] = ()
) -> subprocess.Popen[bytes]:
    """Run `function(*arguments)`, all of which can be pickled, in a process of its own."""
    command = [sys.executable, "-c", _RUN_PICKLED]
    process = subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, pass_fds=pass_fds, preexec_fn=kill_when_parent_exits
    )
    assert process.stdin is not None
    process.stdin.write(pickle.dumps((function, arguments)))
    process.stdin.close()
    return process


def new_id() -> str:
    return f"{os.getpid():x}-{next(_request_numbers):x}"


@dataclass
class Answer:
    """What a client got for one request. Times are on the monotonic clock, in seconds."""

    request_id: str
    sent_at: float  # when its last byte was written
    status: int = 0  # 0: none
    body: bytes = b""
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    is_whole: bool = False
    retry_after: bool = False
    closes: bool = False  # whether the connection ends after it

    @property
    def seconds(self) -> float:
        return self.ended_at - self.sent_at


@dataclass
class Memory:
    """The most memory that was held, in bytes."""

    private: int = 0
    resident: int = 0

    def look_at(self, *process_ids: int) -> None:
        """Take note of what the processes hold together."""
        private = resident = 0
        for process_id in process_ids:
            with contextlib.suppress(OSError, KeyError):  # it has ended
                text = Path(f"/proc/{process_id}/status").read_text()
                lines = [line.split() for line in text.splitlines() if line.endswith(" kB")]
                sizes = {name: int(kilobytes) * 1024 for name, kilobytes, _ in lines}
                private += sizes["RssAnon:"] + sizes["RssShmem:"]
                resident += sizes["VmRSS:"]
        self.private, self.resident = max(self.private, private), max(self.resident, resident)


@dataclass
class Stage:
    """A running sidecar process and what stands around it."""

    folder: Path
    config: dict[str, Any]
    endpoint_pipe: Pipe
    listener: socket.socket | None = None  # held by the platform, where processes replace each other
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    memory: Memory = field(default_factory=Memory)
    honest_answers: list[Answer] = field(default_factory=list)
    is_honest_client_paused: bool = False
    port: int = 0

    async def start_process(self) -> subprocess.Popen[bytes]:
        """Start a process of the sidecar and return it once it is ready."""
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(self.config))
        environment |= {"PROXY_CONFIG": str(config_path), "TMPDIR": str(self.folder)}
        descriptors = []
        if self.listener is not None:
            descriptors.append(self.listener.fileno())
            environment["PROXY_PASSED_SOCKET"] = str(descriptors[0])
        log_path = self.folder / f"log-{len(self.processes)}"
        with log_path.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "larkcrank"],
                cwd=ROOT,
                env=environment,
                stderr=log,
                pass_fds=descriptors,
                preexec_fn=kill_when_parent_exits,
            )
        self.processes.append(process)
        async with asyncio.timeout(START_TIMEOUT_S):
            while (ready := self.find_event("ready", log_path)) is None:
                assert process.poll() is None, log_path.read_text()
                await asyncio.sleep(0.02)
        self.port = int(ready["listen"].rsplit(":", 1)[1])
        return process

    async def reload(self) -> None:
        """Let the process that was started last read its configuration again."""
        (self.folder / "config.json").write_text(json.dumps(self.config))
        self.processes[-1].send_signal(signal.SIGHUP)
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.find_event("reloaded") is None:
                await asyncio.sleep(0.02)

    def entries(self) -> list[dict[str, Any]]:
        """Return the server list's entries as the configuration has them."""
        entries: list[dict[str, Any]] = self.config["known"]["instances"]
        return entries

    def log_path(self, number: int = -1) -> Path:
        """Return the log of a process; by default of the one that was started last."""
        return self.folder / f"log-{number % len(self.processes)}"

    def find_event(self, name: str, path: Path | None = None) -> dict[str, Any] | None:
        """Return the last log event with this name, or None."""
        lines = (path or self.log_path()).read_text().splitlines()
        events = (json.loads(line) for line in lines if line.startswith("{") and line.endswith("}"))
        return next((event for event in reversed(list(events)) if event["event"] == name), None)

    async def counters(self) -> dict[str, Any]:
        """Return the counters of the process that was started last."""
        self.processes[-1].send_signal(signal.SIGUSR1)
        async with asyncio.timeout(START_TIMEOUT_S):
            while (event := self.find_event("counters")) is None:
                await asyncio.sleep(0.05)
        return event

    def runs(self) -> list[Run]:
        """Return the requests that endpoints have received whole."""
        self.endpoint_pipe.send("runs")
        assert self.endpoint_pipe.poll(START_TIMEOUT_S), "the endpoints do not answer"
        runs: list[Run] = self.endpoint_pipe.recv()
        return runs

    async def watch_memory(self) -> None:
        """Keep the greatest memory of all processes of the sidecar together up to date."""
        while True:
            self.memory.look_at(*(process.pid for process in self.processes))
            await asyncio.sleep(0.05)

    async def be_honest(self) -> None:
        """Send a proof every `HONEST_INTERVAL_S`, whatever became of those before."""
        tasks = set()
        try:
            while True:
                if not self.is_honest_client_paused:
                    task = asyncio.create_task(self._ask_honestly())
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(HONEST_INTERVAL_S)
        finally:
            for task in tasks:
                task.cancel()

    async def _ask_honestly(self) -> None:
        answer = Answer(new_id(), time.monotonic())
        self.honest_answers.append(answer)
        await ask(self.port, "GET", "/proof/1", HONEST_DEADLINE_S, answer=answer, wait_s=HONEST_WAIT_S)

    async def wait_for_honest_answers(self) -> None:
        """Send no more honest requests, and return when those sent have ended."""
        self.is_honest_client_paused = True
        async with asyncio.timeout(2 * HONEST_WAIT_S):
            while not all(answer.ended_at for answer in self.honest_answers):
                await asyncio.sleep(0.05)

    def honest_report(self) -> str:
        """Return in words what the honest client saw."""
        answers = self.honest_answers
        whole = sorted(answer.seconds for answer in answers if answer.status == 200)
        refused = sum(answer.status == 503 for answer in answers)
        worst = whole[-1] if whole else float("nan")
        return f"{len(answers)} asked, {len(whole)} served, {refused} refused, worst {worst:.2f} s"

    def describe(self) -> str:
        """Return the play's figures in words."""
        private, resident = self.memory.private / MEBIBYTE, self.memory.resident / MEBIBYTE
        return f"private {private:.0f} MB, resident {resident:.0f} MB; honest client: {self.honest_report()}"


def encode_head(
    method: str, target: str, request_id: str, deadline_s: float | None, *header_lines: str
) -> bytes:
    """Return the head of a request. Keyed classes get a key of their own."""
    lines = [f"{method} {target} HTTP/1.1", "Host: a", f"Req-Id: {request_id}"]
    if deadline_s is not None:
        lines.append(f"Req-Deadline: {deadline_s}")
    if target.startswith("/book"):
        lines.append(f"Idempotency-Key: {request_id}")
    return "\r\n".join((*lines, *header_lines, "", "")).encode()


async def ask(
    port: int,
    method: str,
    target: str,
    deadline_s: float | None = None,
    body: bytes = b"",
    *,
    wait_s: float = 20.0,
    answer: Answer | None = None,
) -> Answer:
    """Send one request on a new connection and return what came back within `wait_s`."""
    answer = answer or Answer(new_id(), time.monotonic())
    header_lines = (f"Content-Length: {len(body)}",) if method == "POST" else ()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_head(method, target, answer.request_id, deadline_s, *header_lines) + body)
            await writer.drain()
            while writer.transport.get_write_buffer_size():
                await asyncio.sleep(0.005)
            answer.sent_at = time.monotonic()
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        answer.ended_at = time.monotonic()
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer of any framing. Raises `IncompleteReadError` where it is cut off."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    answer.status, answer.first_byte_at = int(head.split()[1]), time.monotonic()
    answer.retry_after = b"retry-after:" in head
    answer.closes = b"connection: close" in head
    body = bytearray()
    if b"transfer-encoding" in head:
        while (size := int(await reader.readline(), 16)) > 0:
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif b"content-length:" in head:
        body += await reader.readexactly(int(head.split(b"content-length:")[1].split()[0]))
    else:
        body += await reader.read()
    answer.body, answer.is_whole, answer.ended_at = bytes(body), True, time.monotonic()


@contextlib.asynccontextmanager
async def stage(
    memory_mb: float = 192.0,
    sockets: int = 1024,
    endpoint_count: int = 10,
    is_replaceable: bool = False,
    **setting_changes: Any,
) -> AsyncIterator[Stage]:
    """Run a sidecar process with its endpoints, an honest client and a look at its memory.

    With `is_replaceable` the platform holds the clients' listening socket, so that another process may start.
    """
    pipe, their_pipe = multiprocessing.Pipe()
    descriptor = their_pipe.fileno()
    platform = start_python(endpoints.run_endpoints, descriptor, endpoint_count, pass_fds=(descriptor,))
    their_pipe.close()
    assert pipe.poll(START_TIMEOUT_S), "the endpoints did not start"
    discovery_port, server_list = pipe.recv()
    settings = CONFIG | {"grades": CLASSES, "n-instances": 1, "registry-mode": "subscribe"} | setting_changes
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "7",
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "known": json.loads(server_list),
        "settings": settings,
    }
    listener = socket.create_server(("127.0.0.1", 0), backlog=4096) if is_replaceable else None
    with tempfile.TemporaryDirectory() as folder:
        running = Stage(Path(folder), config, pipe, listener)
        tasks = []
        try:
            await running.start_process()
            tasks = [asyncio.create_task(running.watch_memory()), asyncio.create_task(running.be_honest())]
            yield running
        finally:
            for task in tasks:
                task.cancel()
            for process in running.processes:
                process.kill()
                process.wait()
            with contextlib.suppress(OSError):
                pipe.send("end")
            platform.kill()
            platform.wait()
            pipe.close()
            if listener is not None:
                listener.close()


@contextlib.asynccontextmanager
async def hostile_clients(shape: Callable[..., None], *arguments: Any) -> AsyncIterator[None]:
    """Run `shape(*arguments)` in a process of its own, until the block ends."""
    process = start_python(shape, *arguments)
    try:
        yield
    finally:
        process.kill()
        process.wait()
