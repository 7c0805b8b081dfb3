"""The processes of the program that a run starts: each has one owner here, and is reaped here.

A process is told by the kernel to end when the bench's own process ends (PR_SET_PDEATHSIG), so none is left
also where the bench is killed outright.
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

START_S = 60.0  # a process that is not ready by then does not start; the machine may be crowded
CALL_S = 5.0
COME_ON_S = 0.3  # after SIGTERM new connections go on coming, as the platform has it for 0.2 to 0.4 s
LINE_BYTES = 1 << 22  # a view of thousands of members is one line
LAST_LINES = 20
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process did not start, or ended by itself; the message holds its last log lines."""


def end_with_parent() -> None:
    """Called in a child: the kernel ends it when its parent ends."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def reserve() -> socket.socket:
    """A port for as long as the socket is open: bound, so that nobody else is given it, and not listening."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class Child:
    """One sidecar's process, under the same name and addresses through all its lives."""

    def __init__(
        self, index: int, folder: Path, command: list[str], event: Callable[[str, str, str], None]
    ) -> None:
        self.index = index
        self.lives = 0
        self.lines: deque[str] = deque(maxlen=LAST_LINES)
        self.started_s = 0.0  # from its start until it was ready, its last life
        self._folder, self._event = folder, event
        # `python` is the interpreter that the bench itself runs on.
        command = command or ["python", "-m", "larkcrank"]
        self._command = [sys.executable if part == "python" else part for part in command]
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        self._told: dict[str, asyncio.Future[dict[str, Any]]] = {}
        self._reserved = [reserve(), reserve()]
        self._expected = False  # its end was asked for
        self._is_ready = False
        self._away_at = math.inf  # from then on the platform brings it no new connections
        self.crashed: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    @property
    def name(self) -> str:
        return f"sidecar {self.index}"

    @property
    def place(self) -> tuple[str, int] | None:
        """Where its clients go; None while no process is there, or one ends and is left."""
        port: int = self._reserved[0].getsockname()[1]
        away = asyncio.get_running_loop().time() >= self._away_at
        return ("127.0.0.1", port) if self._process is not None and not away else None

    @property
    def ops(self) -> tuple[str, int]:
        host, port = self._reserved[1].getsockname()
        return host, port

    @property
    def pid(self) -> int | None:
        return None if self._process is None else self._process.pid

    @property
    def kept(self) -> Path:
        return self._folder / f"{self.index}.kept"

    async def start(self, config: dict[str, Any]) -> None:
        """Returns once it is ready. Raises `ProcessError`."""
        loop = asyncio.get_running_loop()
        path = self._folder / f"{self.index}.json"
        listen, ops = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in self._reserved)
        path.write_bytes(msgspec.json.encode(config | {"listen": listen, "ops": ops}))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(path), "TMPDIR": str(self._folder)}
        began = loop.time()
        self._expected, self._away_at = False, math.inf
        self._is_ready = False
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        self.lives += 1
        ready = self._await("ready")
        self._reader = loop.create_task(self._read(self._process))
        self._event("started", self.name, str(self._process.pid))
        try:
            await asyncio.wait_for(asyncio.shield(ready), START_S)
        except TimeoutError:
            raise ProcessError(f"{self.name} was not ready in {START_S:.0f} s; {self._last()}") from None
        self.started_s = loop.time() - began

    async def kill(self) -> None:
        if self._process is not None:
            self._expected = True
            self._event("killed", self.name, "")
            self._process.kill()
            await self._gone()

    async def end(self) -> None:
        """The planned end: SIGTERM, then until it is gone."""
        if self._process is not None:
            self._expected = True
            self._event("ending", self.name, "")
            self._away_at = asyncio.get_running_loop().time() + COME_ON_S
            self._process.terminate()
            await self._gone()

    def stop(self) -> None:
        if self._process is not None:
            self._event("stopped", self.name, "")
            self._process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._event("continued", self.name, "")

    async def ask_counters(self) -> dict[str, Any]:
        """Its counters now; none before it is ready: the signal would end it. Raises TimeoutError."""
        if self._process is None or not self._is_ready:
            return {}
        told = self._await("counters")
        self._process.send_signal(signal.SIGUSR1)
        return await asyncio.wait_for(told, CALL_S)

    async def call(self, text: str) -> str:
        """An operators' call and its answer; empty where none came."""
        if self._process is None:
            return ""
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(*self.ops, limit=LINE_BYTES)
                try:
                    writer.write(text.encode() + b"\n")
                    return (await reader.readline()).decode("latin-1").strip()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return ""

    def usage(self) -> tuple[float, float]:
        """Memory that is its own (MB) and CPU (s) of this life; noughts while no process is there."""
        try:
            process = psutil.Process(self.pid) if self.pid is not None else None
            if process is None:
                return 0.0, 0.0
            cpu = process.cpu_times()
            return process.memory_full_info().uss / (1 << 20), cpu.user + cpu.system
        except psutil.Error:
            return 0.0, 0.0

    async def close(self) -> None:
        """Whatever happened: no process is left, and the ports are given back."""
        if self._process is not None:
            self._expected = True
            if self._process.returncode is None:
                self._process.kill()
            await self._gone()
        for sock in self._reserved:
            sock.close()

    async def _gone(self) -> None:
        process, reader = self._process, self._reader
        if process is None:
            return
        await process.wait()
        if reader is not None:
            await reader
        if self._process is process:
            self._process = None

    def _await(self, event: str) -> "asyncio.Future[dict[str, Any]]":
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._forget(event)
        self._told[event] = future
        return future

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while True:
            try:
                line = await process.stderr.readline()
            except ValueError:  # longer than any line of ours: what it is can't be told
                continue
            if not line:
                break
            self._line(line)
        code = await process.wait()
        if self._expected:
            self._event("ended", self.name, str(code))
            for event in list(self._told):  # it was ended before it could say so
                self._forget(event)
            return
        self._process = None
        text = f"{self.name} ended by itself with {code}; {self._last()}"
        self._event("crashed", self.name, text)
        for future in self._told.values():
            if not future.done():
                future.set_exception(ProcessError(text))
        if not self.crashed.done():
            self.crashed.set_result(text)

    def _forget(self, event: str) -> None:
        """Whoever waits for it waits no longer: a process may be killed while it starts."""
        future = self._told.pop(event, None)
        if future is not None and not future.done():
            future.set_result({})

    def _line(self, line: bytes) -> None:
        self.lines.append(line.decode("utf-8", "replace").rstrip())
        try:
            found = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError:
            return
        event = str(found.get("event", ""))
        if event == "ready":
            self._is_ready = True
            self._event("ready", self.name, "")
        elif event == "crashed":
            self._event("defect", self.name, self.lines[-1])
        future = self._told.pop(event, None)
        if future is not None and not future.done():
            future.set_result(found)

    def _last(self) -> str:
        return "its last lines: " + (" | ".join(list(self.lines)[-5:]) or "none")
