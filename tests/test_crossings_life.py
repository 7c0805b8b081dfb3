"""Signals, starts and ends at the wrong moment.

Each order is forced by the test's own peers, by decisions that wait for the test's word, or by doing both
things within one turn of the loop. No sleep has to hit anything.
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
from tests.test_program import event, started


def test_a_new_configuration_while_the_program_still_loads(tmp_path: Path) -> None:
    """The signal ended the process: its handler stands only once all is loaded."""
    (tmp_path / "sitecustomize.py").write_text(
        "import os, signal, sys\n"
        "class Amid:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'tornado.iostream':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Amid())\n"
    )
    path = tmp_path / "config.json"
    file = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": CONFIG | {"grades": b.CLASSES},
    }
    path.write_text(msgspec.json.encode(file).decode())
    environment = {"PROXY_CONFIG": str(path), "PYTHONPATH": str(tmp_path)}
    with started("-m", "larkcrank", pass_fds=(), **environment) as process:
        event(process, "reloaded")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0


def test_what_is_open_at_the_end_has_its_answer_before_the_kill(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client would wait for longer than the platform does: it was lost, though it could be told so."""
    monkeypatch.setattr(sidecar, "LONGEST_MS", 1.0)
    monkeypatch.setattr(sidecar, "LAST_MS", 1.0)

    async def work() -> None:
        one = b.Endpoint("s-1", b.never_respond)
        async with b.bed(one) as bed:
            client = await bed.client()
            client.send("take", 3000.0, "POST")
            await b.until(lambda: len(one.requests) == 1)
            await bed.sidecar.wind_down()
            assert (await client.read_response()).status == 504
            assert bed.sidecar.clients.open == 0

    b.run(work())


def test_an_answer_without_an_end_does_not_keep_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sidecar, "LONGEST_MS", 1.0)
    monkeypatch.setattr(sidecar, "LAST_MS", 1.0)
    monkeypatch.setattr(sidecar, "CUT_MS", 2.0)

    async def endless(endpoint: b.Endpoint, request: http1.Request, writer: b.Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1", endless)) as bed:
            client = await bed.client()
            client.send("feed")
            begun = await client.reader.readuntil(b"x\r\n")
            assert begun.startswith(b"HTTP/1.1 200")
            await bed.sidecar.wind_down()
            with pytest.raises(ConnectionResetError):  # no end in order: it can't be taken for whole
                while await client.reader.read(65536):
                    pass
            assert bed.sidecar.clients.open == 0 and bed.sidecar._servers.under_way == 0

    b.run(work())


def test_an_end_that_comes_while_the_predecessor_is_heard(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The start is over before all is closed: nothing that it had begun stays open, twice told or not."""
    monkeypatch.setattr(handover, "ASK_S", 3600.0)
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))

    async def work() -> None:
        heard, gone = asyncio.Event(), asyncio.Event()

        async def say_nothing(reader: b.Reader, writer: b.Writer) -> None:
            heard.set()
            await reader.read()
            gone.set()
            writer.close()

        before = await asyncio.start_unix_server(say_nothing, str(handover.path_in(str(tmp_path), "n0")))
        passed = socket.create_server(("127.0.0.1", 0))
        async with b.bed(discovery_up=False) as bed:
            one = sidecar.Sidecar(
                bed.load_config(), Log("n0", log := io.BytesIO()), bed.load_config, passed.dup()
            )
            running = asyncio.create_task(one.run())
            await heard.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            one.end()
            await running
            await gone.wait()
            assert b'"event":"ended"' in log.getvalue() and b'"event":"ready"' not in log.getvalue()
            assert one.descriptors.used == 0
        passed.close()
        before.close()

    b.run(work())
