"""A sidecar whose process is replaced while discovery tells only one of the two processes of a change.

Real processes over loopback. `python -m tests.upgrade_bed` plays each case and prints what was sent to the
drained endpoint after the grace.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from larkcrank.protocol import http1
from tests import bed as b
from tests.frames import CONFIG

ROOT = Path(__file__).parent.parent
GRACE_S = 2.0
KILL_AFTER_S = 1.0  # after SIGTERM: the longest deadline and 0.7 s
DEADLINE_MS = 300.0
CLIENTS = 6
CLIENT_PAUSE_S = 0.01
REQUESTS_PER_CONNECTION = 10
CLASSES: list[dict[str, Any]] = [
    {"aim-ms": 200.0, "deadline-ms": DEADLINE_MS, "effect": "retryable", "name": "view", "points": 2.0},
    {"aim-ms": 200.0, "deadline-ms": DEADLINE_MS, "effect": "fragile", "name": "take", "points": 2.0},
]


class Failure(Enum):
    """What discovery does with the calls that it does not answer."""

    RESET = "reset"
    HANG = "hang"
    UNAVAILABLE = "503"


@dataclass(eq=False)
class Watch:
    """A call to discovery that waits for news."""

    connection: int
    reader: b.Reader
    told: asyncio.Event = field(default_factory=asyncio.Event)
    answer: bytes = b""

    @property
    def is_open(self) -> bool:
        """Whether its process still waits."""
        return not self.reader.at_eof() and self.reader.exception() is None


@dataclass
class Discovery:
    """A discovery service that answers some connections and fails the calls on others.

    The connections of each process are told apart by when they were opened.
    """

    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    generation: int = 40
    port: int = 0
    failure: Failure | None = None  # of connections that are opened from now on
    _watches: list["Watch"] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _connections: int = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def encode(self, instances: list[dict[str, Any]], is_full: bool) -> bytes:
        """Return a list in the form of an answer's body."""
        body = {"generation": self.generation, "reset": is_full, "instances": instances}
        return json.dumps(body).encode()

    def watching(self) -> list[int]:
        """Return the numbers of the connections on which a watch is open, the oldest first."""
        return [watch.connection for watch in self._watches if watch.is_open]

    def tell(self, connection: int, *names: str) -> None:
        """Tell one watch of the entries with these names. The generation is that of the last `change`."""
        for watch in self._watches:
            if watch.connection == connection:
                watch.answer = self.encode([self.entries[name] for name in names], is_full=False)
                watch.told.set()

    def tell_whole_list(self, connection: int) -> None:
        """Tell one watch of the whole list."""
        for watch in self._watches:
            if watch.connection == connection:
                watch.answer = self.encode(list(self.entries.values()), is_full=True)
                watch.told.set()

    def change(self, name: str, lifecycle: str) -> None:
        """Change an entry, which nobody is told of yet."""
        self.generation += 1
        self.entries[name] = self.entries[name] | {"lifecycle": lifecycle}

    async def _serve(self, reader: b.Reader, writer: b.Writer) -> None:
        number, failure = self._connections, self.failure
        self._connections += 1
        parser = http1.RequestParser()
        with contextlib.suppress(OSError):
            while (request := await b.read_request(reader, parser)) is not None:
                if failure is Failure.RESET:
                    writer.transport.abort()
                    return
                if failure is Failure.HANG:
                    await asyncio.sleep(60.0)
                elif failure is Failure.UNAVAILABLE:
                    writer.write(http1.encode_response(503, (), b""))
                else:
                    body = await self._answer(Watch(number, reader), request.target)
                    writer.write(http1.encode_response(200, (), body))
        writer.close()

    async def _answer(self, watch: Watch, target: bytes) -> bytes:
        if b"after=%d&" % self.generation not in target:
            return self.encode(list(self.entries.values()), is_full=True)
        self._watches.append(watch)
        wait_s = int(target.rpartition(b"wait_ms=")[2]) / 1000.0
        try:
            async with asyncio.timeout(wait_s):
                await watch.told.wait()
        except TimeoutError:
            return self.encode([], is_full=False)
        finally:
            self._watches.remove(watch)
        return watch.answer


@dataclass
class Bed:
    """Endpoints, discovery, clients and the processes of one sidecar."""

    folder: Path
    discovery: Discovery
    passed_socket: socket.socket
    endpoints: list[b.Endpoint] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    arrivals: list[tuple[str, float]] = field(default_factory=list)  # endpoint and time of each request
    known_at_start: list[int] = field(default_factory=list)  # servers that each process began with
    contract: dict[str, Any] = field(default_factory=dict)  # changes to the deployment's contract
    answered: int = 0
    is_ending: bool = False

    async def serve(self, endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        self.arrivals.append((endpoint.name, time.monotonic()))
        await asyncio.sleep(0.005)
        await b.respond_ok(endpoint, request, writer)

    def late_arrivals(self, name: str, told_at: float) -> list[float]:
        """Return how many seconds after it was told each late request came to an endpoint."""
        delays = (at - told_at for arrived, at in self.arrivals if arrived == name)
        return [round(delay, 2) for delay in delays if delay > GRACE_S]

    async def start_process(self, root: Path = ROOT) -> Process:
        """Start a process of the sidecar from the source tree `root`, and return it once it is ready."""
        descriptor = self.passed_socket.fileno()
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment |= {
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_PASSED_SOCKET": str(descriptor),
            "TMPDIR": str(self.folder),
        }
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "larkcrank"),
            cwd=root,
            env=environment,
            pass_fds=(descriptor,),
            stdin=DEVNULL,
            stderr=PIPE,
            limit=1 << 20,
        )
        self.processes.append(process)
        ready = await self.next_event(process, "ready")
        self.known_at_start.append(ready["known"])
        return process

    @staticmethod
    async def next_event(process: Process, name: str) -> dict[str, Any]:
        """Return the fields of the next log line for this event."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            fields: dict[str, Any] = json.loads(line)
            if fields["event"] == name:
                return fields
        raise AssertionError(f"no event {name}")

    def write_config(self, discovery_port: int) -> None:
        """Write the configuration that processes read at their start and on SIGHUP."""
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.passed_socket.getsockname()),
            "discovery": f"127.0.0.1:{discovery_port}",
            "ops": "127.0.0.1:0",
            "settings": CONFIG
            | {"grades": CLASSES, "n-instances": 1, "registry-mode": "subscribe"}
            | {"contract": CONFIG["contract"] | self.contract},
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def run_client(self) -> None:
        """Send one request after another, on a new connection from time to time, so that all processes that
        accept get some.
        """
        client: b.Client | None = None
        request_count = 0
        while not self.is_ending:
            request_count += 1
            try:
                if client is None:
                    client = b.Client(*await asyncio.open_connection(*self.passed_socket.getsockname()))
                client.send("view", DEADLINE_MS / 1000.0)
                async with asyncio.timeout(5.0):
                    answer = await client.read_response()
                self.answered += answer.status == 200
                keeps = answer.keep_alive and request_count % REQUESTS_PER_CONNECTION != 0
            except (OSError, TimeoutError):
                keeps = False
            if not keeps and client is not None:
                client.close()
                client = None
            await asyncio.sleep(CLIENT_PAUSE_S)


@contextlib.asynccontextmanager
async def bed(endpoint_count: int = 6, **contract: Any) -> AsyncIterator[Bed]:
    """Run one process of a sidecar with its endpoints, discovery and clients."""
    discovery = Discovery()
    await discovery.start()
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0), backlog=512) as sock:
        running = Bed(Path(folder), discovery, sock, contract=contract)
        for number in range(endpoint_count):
            endpoint = b.Endpoint(f"s-{number}", running.serve)
            await endpoint.start()
            running.endpoints.append(endpoint)
            discovery.entries[endpoint.name] = endpoint.list_entry()
        running.write_config(discovery.port)
        clients = []
        try:
            await running.start_process()
            clients = [asyncio.create_task(running.run_client()) for _ in range(CLIENTS)]
            async with asyncio.timeout(10.0):
                await b.until(lambda: running.answered > 50 and bool(discovery.watching()))
            yield running
        finally:
            running.is_ending = True
            await asyncio.wait(clients, timeout=6.0)
            for process in running.processes:
                if process.returncode is None:
                    process.kill()
                await process.communicate()
            discovery.stop()
            for endpoint in running.endpoints:
                await endpoint.stop()
            await b.abort_open_transports()


async def play_drain_told_to_old_process(
    failure: Failure, told_after_term_s: float, new_root: Path = ROOT, watch_s: float = 4.0
) -> list[float]:
    """Replace a process whose predecessor alone is told of a drain. Return the late sends, in s after it."""
    async with bed() as running:
        old, (old_watch, *_) = running.processes[0], running.discovery.watching()
        running.discovery.failure = failure
        await running.start_process(new_root)
        await asyncio.sleep(0.3)
        if told_after_term_s >= 0.0:
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(told_after_term_s)
        running.discovery.change("s-0", "Terminating")
        running.discovery.tell(old_watch, "s-0")
        told_at = time.monotonic()
        if told_after_term_s < 0.0:
            await asyncio.sleep(-told_after_term_s)
            old.send_signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S - max(told_after_term_s, 0.0))
        if old.returncode is None:
            old.kill()
        await asyncio.sleep(max(told_at + GRACE_S + watch_s - time.monotonic(), 0.0))
        return running.late_arrivals("s-0", told_at)


async def play_drain_told_to_new_process(process_count: int = 2, teller: int = -1) -> list[float]:
    """Run several processes, of which discovery tells only one of a drain. Return the late sends."""
    async with bed() as running:
        watches = running.discovery.watching()
        for _ in range(process_count - 1):
            known = set(running.discovery.watching())
            await running.start_process()
            async with asyncio.timeout(10.0):
                await b.until(lambda known=known: bool(set(running.discovery.watching()) - known))  # type: ignore[misc]
            watches += set(running.discovery.watching()) - known
        await asyncio.sleep(0.3)
        running.discovery.change("s-0", "Terminating")
        running.discovery.tell(watches[teller], "s-0")
        told_at = time.monotonic()
        await asyncio.sleep(GRACE_S + 1.0)
        return running.late_arrivals("s-0", told_at)


async def play_drain_after_a_failed_upgrade() -> list[float]:
    """Kill a ready successor, start another one, and tell the first process alone of a drain."""
    async with bed() as running:
        (watch,) = running.discovery.watching()
        failed = await running.start_process()
        failed.kill()
        await failed.wait()
        await asyncio.sleep(0.3)
        running.discovery.failure = Failure.UNAVAILABLE
        await running.start_process()
        assert running.known_at_start[-1] == len(running.endpoints), "it has found no predecessor"
        running.discovery.change("s-0", "Terminating")
        running.discovery.tell(watch, "s-0")
        told_at = time.monotonic()
        await asyncio.sleep(GRACE_S + 1.0)
        return running.late_arrivals("s-0", told_at)


async def play_reload_of_one_process(reloaded: int) -> list[float]:
    """Run two processes, of which one gets SIGHUP with another discovery, which drains an endpoint."""
    async with bed() as running:
        await running.start_process()
        other = Discovery(dict(running.discovery.entries), generation=7)
        other.entries["s-0"] = other.entries["s-0"] | {"lifecycle": "Terminating"}
        await other.start()
        running.write_config(other.port)
        running.processes[reloaded].send_signal(signal.SIGHUP)
        told_at = time.monotonic()
        await asyncio.sleep(GRACE_S + 1.0)
        other.stop()
        return running.late_arrivals("s-0", told_at)


async def main() -> None:
    for failure in Failure:
        for told_after_term_s in (-0.3, 0.5, 0.99):
            late = await play_drain_told_to_old_process(failure, told_after_term_s, watch_s=6.0)
            last = f", the last {max(late)} s after it was told" if late else ""
            print(
                f"{failure.value}, told {told_after_term_s} s after SIGTERM: {len(late)} late{last}",
                flush=True,
            )


if __name__ == "__main__":
    asyncio.run(main())
