"""Tests of races between signals, starts and shutdowns.

Each order of events is forced: by the test's own peers, by decisions that wait for the test, or by two
actions within one iteration of the event loop. No test depends on the timing of a sleep.
"""

import asyncio
import io
import os
import signal
import socket
import tempfile
from pathlib import Path

import msgspec
import pytest

from larkcrank.program import handover, sidecar
from larkcrank.program.log import Log
from larkcrank.protocol import http1
from tests import bed as b
from tests.frames import CONFIG
from tests.test_program import next_event, running_process


def test_sighup_during_imports_reloads_the_configuration(tmp_path: Path) -> None:
    """SIGHUP terminated the process if it came before the handler was installed, after all imports."""
    (tmp_path / "sitecustomize.py").write_text(
        "import os, signal, sys\n"
        "class SignalDuringImport:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'tornado.iostream':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.meta_path.insert(0, SignalDuringImport())\n"
    )
    path = tmp_path / "config.json"
    config = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": CONFIG | {"grades": b.CLASSES},
    }
    path.write_text(msgspec.json.encode(config).decode())
    environment = {"PROXY_CONFIG": str(path), "PYTHONPATH": str(tmp_path)}
    with running_process("-m", "larkcrank", pass_fds=(), **environment) as process:
        next_event(process, "reloaded")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0


def test_open_request_is_answered_before_the_platform_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request whose deadline is later than the platform's kill got no answer at all; now it gets a 504."""
    monkeypatch.setattr(sidecar, "MAX_DEADLINE_WAIT_MS", 1.0)
    monkeypatch.setattr(sidecar, "ANSWER_MARGIN_MS", 1.0)

    async def scenario() -> None:
        endpoint = b.Endpoint("s-1", b.never_respond)
        async with b.bed(endpoint) as bed:
            client = await bed.client()
            client.send("take", 3000.0, "POST")
            await b.until(lambda: len(endpoint.requests) == 1)
            await bed.sidecar.shut_down()
            assert (await client.read_response()).status == 504
            assert bed.sidecar.clients.open_count == 0

    b.run(scenario())


def test_endless_response_does_not_block_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sidecar, "MAX_DEADLINE_WAIT_MS", 1.0)
    monkeypatch.setattr(sidecar, "ANSWER_MARGIN_MS", 1.0)
    monkeypatch.setattr(sidecar, "ABORT_MARGIN_MS", 2.0)

    async def send_endless_response(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")

    async def scenario() -> None:
        async with b.bed(b.Endpoint("s-1", send_endless_response)) as bed:
            client = await bed.client()
            client.send("feed")
            first_chunk = await client.reader.readuntil(b"x\r\n")
            assert first_chunk.startswith(b"HTTP/1.1 200")
            await bed.sidecar.shut_down()
            # A reset, so that the response cannot be mistaken for a complete one.
            with pytest.raises(ConnectionResetError):
                while await client.reader.read(65536):
                    pass
            assert bed.sidecar.clients.open_count == 0 and bed.sidecar._servers.active_attempts == 0

    b.run(scenario())


def test_shutdown_while_reading_from_the_predecessor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The start must end before resources are closed, or what it set up stays open.

    Two requests to shut down have the same effect as one.
    """
    monkeypatch.setattr(handover, "PREDECESSOR_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))

    async def scenario() -> None:
        connected, disconnected = asyncio.Event(), asyncio.Event()

        async def say_nothing(reader: b.Reader, writer: b.Writer) -> None:
            connected.set()
            await reader.read()
            disconnected.set()
            writer.close()

        predecessor = await asyncio.start_unix_server(
            say_nothing, str(handover.socket_path(str(tmp_path), "n0"))
        )
        passed_socket = socket.create_server(("127.0.0.1", 0))
        async with b.bed(discovery_up=False) as bed:
            starting = sidecar.Sidecar(
                bed.load_config(), Log("n0", log := io.BytesIO()), bed.load_config, passed_socket.dup()
            )
            run_task = asyncio.create_task(starting.run())
            await connected.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            starting.request_shutdown()
            await run_task
            await disconnected.wait()
            assert b'"event":"ended"' in log.getvalue() and b'"event":"ready"' not in log.getvalue()
            assert starting.descriptors.used == 0
        passed_socket.close()
        predecessor.close()

    b.run(scenario())
