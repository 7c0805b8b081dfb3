"""Child processes of a scale test. They read commands as lines of JSON on standard input, and write events
as lines of JSON on standard output.

Each child has one owner, which ends it by its process id. If the owner dies, the child ends too: the kernel
kills it (PR_SET_PDEATHSIG), and its standard input reaches the end of file.
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

MAX_LINE_BYTES = 1 << 26  # a report of several hundred hollow sidecars is a single line
RESPONSE_TIMEOUT_S = 120.0  # long enough for a busy machine
EXIT_TIMEOUT_S = 3.0  # then it is killed, which leaves nothing behind either
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class ChildError(Exception):
    """A process did not start, ended unexpectedly or did not respond. The message ends with its last output
    on standard error."""


def _end_with_parent() -> None:
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(
        signal.SIGINT, signal.SIG_IGN
    )  # Ctrl-C reaches the whole group; the owner ends its children


class ChildProcess:
    """A child process as its owner sees it. The first event that it writes is `{"event": "ready", ...}`."""

    def __init__(self, name: str, module: str, spec: msgspec.Struct) -> None:
        self.name = name
        self.ready_message: dict[str, Any] = {}  # the `ready` event
        self._module, self._spec = module, spec
        self._process: asyncio.subprocess.Process | None = None
        self._stderr_tail = b""  # the end of its standard error output

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def is_started(self) -> bool:
        return self._process is not None

    async def start(self) -> None:
        """Starts the process and waits for its `ready` event. Raises `ChildError`."""
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
        self._stderr_task = asyncio.get_running_loop().create_task(self._read_stderr(self._process))
        self._write_line(msgspec.json.encode(self._spec))
        self.ready_message = await self.read_event("ready")

    async def send_command(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Sends a command and returns the event of the same name that answers it. Raises `ChildError`."""
        self._write_line(msgspec.json.encode({"do": command, **arguments}))
        return await self.read_event(command)

    async def read_event(self, event: str, timeout_s: float = RESPONSE_TIMEOUT_S) -> dict[str, Any]:
        """Reads the next event, which must be `event`. Raises `ChildError`."""
        process = self._process
        assert process is not None and process.stdout is not None
        try:
            async with asyncio.timeout(timeout_s):
                line = await process.stdout.readline()
        except TimeoutError:
            raise ChildError(
                f"{self.name}: no {event!r} event within {timeout_s:.0f} s; {self._stderr_text()}"
            ) from None
        if not line:
            await self._stderr_task
            raise ChildError(
                f"{self.name}: exited unexpectedly with code {await process.wait()}; {self._stderr_text()}"
            )
        message: dict[str, Any] = msgspec.json.decode(line)
        if message.get("event") != event:
            raise ChildError(f"{self.name}: expected event {event!r}, got {line[:200]!r}")
        return message

    def cpu_s(self) -> float:
        """Processor time so far; 0 once the process has ended."""
        return machine.cpu_s(self.pid)

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        os.kill(self.pid, signal.SIGCONT)

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        await self.close()

    async def close(self) -> None:
        """Ends the process and closes its pipes, even if waiting for it fails."""
        process, self._process = self._process, None
        if process is None:
            return
        assert process.stdin is not None
        process.stdin.close()  # the end of its standard input tells the process to exit
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await self._stderr_task

    def _write_line(self, line: bytes) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(line + b"\n")

    async def _read_stderr(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while data := await process.stderr.read(4096):
            self._stderr_tail = (self._stderr_tail + data)[-2000:]

    def _stderr_text(self) -> str:
        return "standard error: " + (self._stderr_tail.decode("utf-8", "replace").strip() or "none")


async def close_all(children: Sequence[ChildProcess]) -> None:
    """Ends all child processes, also when ending one of them fails."""
    await asyncio.gather(*(child.close() for child in children), return_exceptions=True)


class CommandChannel:
    """The child's end of the pipes: reads commands and writes events."""

    def __init__(self) -> None:
        self._reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self._reader), sys.stdin)

    async def read_command(self) -> dict[str, Any] | None:
        """Returns the next command, or None if the process has to exit."""
        line = await self._reader.readline()
        if not line:
            return None
        command: dict[str, Any] = msgspec.json.decode(line)
        return command

    async def read_spec(self) -> bytes:
        """Reads the first line, which holds the process's specification."""
        return await self._reader.readline()

    def send_event(self, event: str, **fields: Any) -> None:
        sys.stdout.buffer.write(msgspec.json.encode({"event": event, **fields}) + b"\n")
        sys.stdout.buffer.flush()
