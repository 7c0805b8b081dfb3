"""The sidecar processes that a run starts. Each has one owner, which starts, signals and reaps it.

The kernel kills a sidecar process when the bench's own process ends (PR_SET_PDEATHSIG), so none is left even
if the bench is killed.
"""

import asyncio
import ctypes
import math
import os
import signal
import socket
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil

START_TIMEOUT_S = 60.0  # generous, because the machine may be busy
ANSWER_TIMEOUT_S = 5.0
# The platform keeps sending new connections to a process for 0.2 to 0.4 s after its SIGTERM.
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.3
MAX_LINE_BYTES = 1 << 22  # the view of a fleet of thousands of members is one line
KEPT_LOG_LINES = 20
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process did not start or ended by itself. The message holds its last log lines."""


def kill_when_parent_exits() -> None:
    """Ask the kernel to kill this process when its parent ends. Called in the child before exec."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def reserve_port() -> socket.socket:
    """Reserve a port: the returned socket is bound, so no other process gets the port, but not listening."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class SidecarProcess:
    """One sidecar's process. It keeps its name and addresses when it is restarted."""

    def __init__(
        self, index: int, folder: Path, command: list[str], record_event: Callable[[str, str, str], None]
    ) -> None:
        self.index = index
        self.start_count = 0
        self.recent_log_lines: deque[str] = deque(maxlen=KEPT_LOG_LINES)
        self.startup_s = 0.0  # seconds from the latest start until it was ready
        self._folder, self._record_event = folder, record_event
        # `python` stands for the interpreter that runs the bench.
        command = command or ["python", "-m", "larkcrank"]
        self._command = [sys.executable if part == "python" else part for part in command]
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self._awaited_events: dict[str, asyncio.Future[dict[str, Any]]] = {}
        self._reserved_sockets = [reserve_port(), reserve_port()]
        self._exit_expected = False  # True once the bench has asked it to end
        self._is_ready = False
        self._no_new_connections_at = math.inf  # loop time from which clients open no new connections
        self.crashed: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    @property
    def name(self) -> str:
        return f"sidecar {self.index}"

    @property
    def client_address(self) -> tuple[str, int] | None:
        """The address that clients connect to; None while it is down or no longer takes new connections."""
        port: int = self._reserved_sockets[0].getsockname()[1]
        refuses_new_connections = asyncio.get_running_loop().time() >= self._no_new_connections_at
        return ("127.0.0.1", port) if self._process is not None and not refuses_new_connections else None

    @property
    def ops_address(self) -> tuple[str, int]:
        host, port = self._reserved_sockets[1].getsockname()
        return host, port

    @property
    def pid(self) -> int | None:
        return None if self._process is None else self._process.pid

    @property
    def kept_path(self) -> Path:
        """Path prefix of the files that the process keeps across restarts."""
        return self._folder / f"{self.index}.kept"

    async def start(self, config: dict[str, Any]) -> None:
        """Start the process and return once it is ready. Raises `ProcessError`."""
        loop = asyncio.get_running_loop()
        config_path = self._folder / f"{self.index}.json"
        listen, ops = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in self._reserved_sockets)
        config_path.write_bytes(msgspec.json.encode(config | {"listen": listen, "ops": ops}))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(config_path), "TMPDIR": str(self._folder)}
        started_at = loop.time()
        self._exit_expected, self._no_new_connections_at = False, math.inf
        self._is_ready = False
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=kill_when_parent_exits,
        )
        self.start_count += 1
        ready = self._expect_event("ready")
        self._log_reader = loop.create_task(self._read_log(self._process))
        self._record_event("started", self.name, str(self._process.pid))
        try:
            await asyncio.wait_for(asyncio.shield(ready), START_TIMEOUT_S)
        except TimeoutError:
            raise ProcessError(
                f"{self.name} was not ready within {START_TIMEOUT_S:.0f} s; {self._recent_log_text()}"
            ) from None
        self.startup_s = loop.time() - started_at

    async def kill(self) -> None:
        if self._process is not None:
            self._exit_expected = True
            self._record_event("killed", self.name, "")
            self._process.kill()
            await self._wait_for_exit()

    async def terminate(self) -> None:
        """Shut it down in an orderly way: send SIGTERM and wait until it has exited."""
        if self._process is not None:
            self._exit_expected = True
            self._record_event("ending", self.name, "")
            self._no_new_connections_at = asyncio.get_running_loop().time() + NEW_CONNECTIONS_AFTER_SIGTERM_S
            self._process.terminate()
            await self._wait_for_exit()

    def pause(self) -> None:
        if self._process is not None:
            self._record_event("stopped", self.name, "")
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._record_event("continued", self.name, "")

    async def read_counters(self) -> dict[str, Any]:
        """Return its counters, or none before it is ready: SIGUSR1 would end it then. Raises TimeoutError."""
        if self._process is None or not self._is_ready:
            return {}
        counters = self._expect_event("counters")
        self._process.send_signal(signal.SIGUSR1)
        return await asyncio.wait_for(counters, ANSWER_TIMEOUT_S)

    async def call_ops(self, command: str) -> str:
        """Send one line to the ops port and return the answer, or an empty string if none came."""
        if self._process is None:
            return ""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.ops_address, limit=MAX_LINE_BYTES)
                try:
                    writer.write(command.encode() + b"\n")
                    return (await reader.readline()).decode("latin-1").strip()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return ""

    def usage(self) -> tuple[float, float]:
        """Return its unshared memory (MB) and the CPU time (s) since its start; zeros while it is down."""
        try:
            process = psutil.Process(self.pid) if self.pid is not None else None
            if process is None:
                return 0.0, 0.0
            cpu_times = process.cpu_times()
            return process.memory_full_info().uss / (1 << 20), cpu_times.user + cpu_times.system
        except psutil.Error:
            return 0.0, 0.0

    async def close(self) -> None:
        """Kill the process if it still runs and release the ports."""
        if self._process is not None:
            self._exit_expected = True
            if self._process.returncode is None:
                self._process.kill()
            await self._wait_for_exit()
        for sock in self._reserved_sockets:
            sock.close()

    async def _wait_for_exit(self) -> None:
        process, log_reader = self._process, self._log_reader
        if process is None:
            return
        await process.wait()
        if log_reader is not None:
            await log_reader
        if self._process is process:
            self._process = None

    def _expect_event(self, event: str) -> "asyncio.Future[dict[str, Any]]":
        """Return a future for the next log line with this event."""
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._stop_waiting(event)
        self._awaited_events[event] = future
        return future

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while True:
            try:
                line = await process.stderr.readline()
            except ValueError:  # the line is longer than MAX_LINE_BYTES: skip it
                continue
            if not line:
                break
            self._handle_log_line(line)
        exit_code = await process.wait()
        if self._exit_expected:
            self._record_event("ended", self.name, str(exit_code))
            for event in list(self._awaited_events):  # it exited before it could report the event
                self._stop_waiting(event)
            return
        self._process = None
        message = f"{self.name} ended by itself with {exit_code}; {self._recent_log_text()}"
        self._record_event("crashed", self.name, message)
        for future in self._awaited_events.values():
            if not future.done():
                future.set_exception(ProcessError(message))
        if not self.crashed.done():
            self.crashed.set_result(message)

    def _stop_waiting(self, event: str) -> None:
        """Release whoever waits for the event: a process may be killed while it starts."""
        future = self._awaited_events.pop(event, None)
        if future is not None and not future.done():
            future.set_result({})

    def _handle_log_line(self, line: bytes) -> None:
        self.recent_log_lines.append(line.decode("utf-8", "replace").rstrip())
        try:
            fields = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError:
            return
        event = str(fields.get("event", ""))
        if event == "ready":
            self._is_ready = True
            self._record_event("ready", self.name, "")
        elif event == "crashed":
            self._record_event("defect", self.name, self.recent_log_lines[-1])
        future = self._awaited_events.pop(event, None)
        if future is not None and not future.done():
            future.set_result(fields)

    def _recent_log_text(self) -> str:
        return "its last lines: " + (" | ".join(list(self.recent_log_lines)[-5:]) or "none")
