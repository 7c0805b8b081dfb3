"""The platform: starts sidecars by the command of the deploy file, and ends them."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stand_ins.record import Record
from stand_ins.wire import encode, read_message

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_LIMIT_S = 30.0


class CouldNotRunError(Exception):
    """The case could not be played."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Sidecar:
    """One process of a sidecar."""

    def __init__(self, process: "subprocess.Popen[bytes]", name: str, port: int, ops_port: int) -> None:
        self.process, self.name, self.port, self.ops_port = process, name, port, ops_port

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(encode("GET /health/ready HTTP/1.1", {"Host": "backend.local"}))
            answer = await read_message(reader)
            writer.close()
        except OSError:
            return False
        return answer is not None and answer.status == 200

    async def says_yes(self) -> bool:
        """Whether this process answers PING at its operators' address with yes."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ops_port)
            writer.write(b"PING\n")
            answer = await reader.read(200)
            writer.close()
        except OSError:
            return False
        return answer.startswith(b"200")

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        give_up_at = time.monotonic() + READY_LIMIT_S
        while not await condition():
            if self.process.poll() is not None or time.monotonic() > give_up_at:
                raise CouldNotRunError(f"{self.name} did not get ready")
            await asyncio.sleep(0.02)


class Platform:
    """Starts and ends sidecars. Ends what is left at the end of a run."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(
        self,
        name: str,
        config: dict[str, Any],
        port: int,
        passed_socket: socket.socket | None = None,
        shared_folder: str = "",
    ) -> Sidecar:
        """Start a process of the sidecar `name`, with its own folder for temporary files or a shared one."""
        number = len(self._processes)
        ops_port = free_port()
        config_path = self._folder / f"{name}-{number}.json"
        config_path.write_text(json.dumps(config))
        temporary = self._folder / (shared_folder or f"{name}-{number}")
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(temporary),
            "PROXY_NAME": name,
            "PROXY_LISTEN": f"127.0.0.1:{port}",
            "PROXY_DISCOVERY": config["discovery"],
            "PROXY_OPS": f"127.0.0.1:{ops_port}",
            "PROXY_CONFIG": str(config_path),
        }
        descriptors: tuple[int, ...] = ()
        if passed_socket is not None:
            descriptors = (passed_socket.fileno(),)
            environment["PROXY_PASSED_SOCKET"] = str(passed_socket.fileno())
        with (self._folder / f"{name}-{number}.log").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self._command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        self._processes.append(process)
        self._record.line("platform starts", name, "process", number)
        return Sidecar(process, name, port, ops_port)

    async def end(self, sidecar: Sidecar, kill_after_s: float) -> None:
        """Send SIGTERM, and SIGKILL after `kill_after_s`."""
        self._record.line("platform SIGTERM", sidecar.name)
        sidecar.process.send_signal(signal.SIGTERM)
        give_up_at = time.monotonic() + kill_after_s
        while sidecar.process.poll() is None and time.monotonic() < give_up_at:
            await asyncio.sleep(0.01)
        if sidecar.process.poll() is None:
            self._record.line("platform SIGKILL", sidecar.name)
            sidecar.process.kill()
            sidecar.process.wait()
        self._record.line("platform ended", sidecar.name, "exit code", sidecar.process.returncode)

    def log_lines(self) -> list[str]:
        return [
            f"{path.stem}: {line}"
            for path in sorted(self._folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
        ]

    def close(self) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def play(folder: Path, case: Callable[[Record, Platform], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case, which returns whether the rule held, and exit with its code."""
    record = Record(folder / "record.txt")
    code, platform = COULD_NOT_RUN, None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        platform = Platform(record)
        code = HELD if asyncio.run(_limited(case(record, platform), limit_s)) else BROKEN
    except (CouldNotRunError, OSError, TimeoutError, KeyError) as error:
        record.say("could not run:", repr(error))
    except Exception as error:
        record.say("could not run, an error of the test:", repr(error))
    finally:
        if platform is not None:
            for line in platform.log_lines():
                record.line("log", line)
            platform.close()
        record.say(f"trouble {'on' if TROUBLE else 'off'}: exit code {code}")
        record.close()
    sys.exit(code)


async def _limited(work: Awaitable[bool], limit_s: float) -> bool:
    # At the end of a run the stand-ins' connections are cancelled, which asyncio would report.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    async with asyncio.timeout(limit_s):
        return await work
