"""Processes of a scale test: told by lines of JSON on standard input, telling the same on standard output.

Each has one owner, which ends it by its id. One whose owner has gone ends by itself: the kernel tells it, and
its standard input ends.
"""

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Sequence
from typing import Any

import msgspec

from larkcrank.lab.scale import machine

MAX_LINE_BYTES = 1 << 26  # reports of some hundred hollow sidecars are one line
RESPONSE_TIMEOUT_S = (
    120.0  # a process that says nothing so long, asked, is given up; the machine may be crowded
)
EXIT_TIMEOUT_S = 3.0  # asked to end, it has so long; killed, it leaves nothing behind either
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class ChildError(Exception):
    """A process did not start, ended by itself or did not answer; the message holds its last words."""


def _end_with_parent() -> None:
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal tells all at once; the owner ends it in order


class ChildProcess:
    """One process. Its first words are `{"event": "ready", ...}`."""

    def __init__(self, name: str, module: str, spec: msgspec.Struct) -> None:
        self.name = name
        self.ready_message: dict[str, Any] = {}  # its first words
        self._module, self._spec = module, spec
        self._process: asyncio.subprocess.Process | None = None
        self._last = b""  # of what it wrote on standard error

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def is_started(self) -> bool:
        return self._process is not None

    async def start(self) -> None:
        """Returns once it is ready. Raises `ChildError`."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            preexec_fn=_end_with_parent,
        )
        self._errors = asyncio.get_running_loop().create_task(self._read_errors(self._process))
        self._write(msgspec.json.encode(self._spec))
        self.ready_message = await self.read_event("ready")

    async def send_command(self, do: str, **more: Any) -> dict[str, Any]:
        """Tell it to do something and hear what came of it. Raises `ChildError`."""
        self._write(msgspec.json.encode({"do": do, **more}))
        return await self.read_event(do)

    async def read_event(self, event: str, wait_s: float = RESPONSE_TIMEOUT_S) -> dict[str, Any]:
        """Its next words, which must be these. Raises `ChildError`."""
        process = self._process
        assert process is not None and process.stdout is not None
        try:
            async with asyncio.timeout(wait_s):
                line = await process.stdout.readline()
        except TimeoutError:
            raise ChildError(f"{self.name}: no {event!r} in {wait_s:.0f} s; {self._words()}") from None
        if not line:
            await self._errors
            raise ChildError(f"{self.name}: ended by itself with {await process.wait()}; {self._words()}")
        told: dict[str, Any] = msgspec.json.decode(line)
        if told.get("event") != event:
            raise ChildError(f"{self.name}: {event!r} was wanted, it said {line[:200]!r}")
        return told

    def cpu_s(self) -> float:
        """Processor time so far; nought once it is gone."""
        return machine.cpu_s(self.pid)

    def suspend(self) -> None:
        """It stands still from now on."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        os.kill(self.pid, signal.SIGCONT)

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        await self.close()

    async def close(self) -> None:
        """Whatever happened: it is gone afterwards, and its pipes with it."""
        process, self._process = self._process, None
        if process is None:
            return
        assert process.stdin is not None
        process.stdin.close()  # asks it to end
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await self._errors

    def _write(self, line: bytes) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(line + b"\n")

    async def _read_errors(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while data := await process.stderr.read(4096):
            self._last = (self._last + data)[-2000:]

    def _words(self) -> str:
        return "its last words: " + (self._last.decode("utf-8", "replace").strip() or "none")


async def close_all(children: Sequence[ChildProcess]) -> None:
    """End all of them; none is left, also where ending one fails."""
    await asyncio.gather(*(child.close() for child in children), return_exceptions=True)


class CommandChannel:
    """The other end, in the process: its orders, and its words."""

    def __init__(self) -> None:
        self._reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self._reader), sys.stdin)

    async def read_command(self) -> dict[str, Any] | None:
        """The next order; None: it is to end."""
        line = await self._reader.readline()
        if not line:
            return None
        found: dict[str, Any] = msgspec.json.decode(line)
        return found

    async def read_spec(self) -> bytes:
        """Its first line."""
        return await self._reader.readline()

    def send_event(self, event: str, **more: Any) -> None:
        sys.stdout.buffer.write(msgspec.json.encode({"event": event, **more}) + b"\n")
        sys.stdout.buffer.flush()
