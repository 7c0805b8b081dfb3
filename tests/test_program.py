"""The program as it is started: the example, signals, counters and messages."""

import contextlib
import io
import json
import logging
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from larkcrank.program.log import Log
from larkcrank.protocol import http1
from tests.frames import CONFIG

ROOT = Path(__file__).resolve().parent.parent


@contextmanager
def started(
    *command: str, pass_fds: tuple[int, ...] = (), **environment: str
) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=ROOT,
        env=os.environ | environment,
        pass_fds=pass_fds,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def event(process: subprocess.Popen[str], name: str) -> dict[str, Any]:
    """The next log line of this name."""
    assert process.stderr is not None
    for line in process.stderr:
        found: dict[str, Any] = json.loads(line)
        if found["event"] == name:
            return found
    raise AssertionError(f"no event {name}")


def call(place: str, text: bytes) -> http1.Response:
    host, _, port = place.rpartition(":")
    parser = http1.ResponseParser()
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        sock.sendall(text)
        while not parser.complete:
            parser.feed(sock.recv(65536) or b"\r\n\r\n")
    return parser.response()


def test_the_example_serves_and_ends(tmp_path: Path) -> None:
    with started("examples/toy_server.py", str(tmp_path)) as toy:
        assert toy.stdout is not None
        config = toy.stdout.readline().strip()
        with started("-m", "larkcrank", PROXY_CONFIG=config, PROXY_LISTEN="127.0.0.1:0") as sidecar:
            place = event(sidecar, "ready")["listen"]
            ready = call(place, b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert ready.status == 200
            for number in range(3):
                text = (
                    b"POST /order/7 HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nContent-Length: 3\r\n\r\nink"
                    % number
                )
                answer = call(place, text)
                assert answer.status == 200 and answer.body.endswith(b"served /order/7\n")
            sidecar.send_signal(signal.SIGHUP)  # left to itself, it ends a process
            assert event(sidecar, "reloaded")["needs_restart"] == []
            sidecar.send_signal(signal.SIGUSR1)
            counters = event(sidecar, "counters")
            assert (counters["taken"], counters["served"], counters["crashed"]) == (3, 3, 0)
            assert counters["outcomes"]["ok"] == 3
            sidecar.send_signal(signal.SIGTERM)
            assert event(sidecar, "counters")["taken"] == 3
            assert sidecar.wait(20) == 0


def with_grade(key: str, value: object) -> str:
    first = CONFIG["grades"][0] | {key: value}
    return json.dumps({"settings": CONFIG | {"grades": [first, *CONFIG["grades"][1:]]}})


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "PROXY_CONFIG: not set"),
        ("{}", "settings"),
        ('{"settings": {}}', "grades"),
        (with_grade("late-value", 1.5), "$.grades[0].late-value"),
        (with_grade("aim-ms", -1.0), "$.grades[0].aim-ms"),
        (with_grade("aim-ms", "soon"), "$.grades[0].aim-ms"),
        (json.dumps({"settings": CONFIG | {"ordinal": -1}}), "$.ordinal"),
        (json.dumps({"settings": CONFIG, "kept": 7}), "$.kept"),
    ],
)
def test_a_bad_configuration_ends_it_with_a_message(tmp_path: Path, text: str | None, message: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with started("-m", "larkcrank", PROXY_CONFIG="" if text is None else str(path)) as sidecar:
        assert message in event(sidecar, "bad_configuration")["message"]
        assert sidecar.wait(20) == 2


def test_an_address_in_use_ends_it_with_a_message(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text((ROOT / "examples" / "config.json").read_text())
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        with started("-m", "larkcrank", PROXY_CONFIG=str(path), PROXY_LISTEN=listen) as sidecar:
            assert "in use" in event(sidecar, "cannot_listen")["message"]
            assert sidecar.wait(20) == 1


def test_warnings_of_libraries_are_log_lines_too() -> None:
    out = io.BytesIO()
    handlers, level = list(logging.root.handlers), logging.root.level
    try:
        Log("n0", out).capture_library_logs()
        logging.getLogger("tornado.general").warning("odd %s", "thing")
    finally:
        logging.basicConfig(handlers=handlers, level=level, force=True)
    (line,) = out.getvalue().splitlines()
    found = json.loads(line)
    assert (found["event"], found["source"], found["text"]) == ("library", "tornado.general", "odd thing")


def test_a_platform_that_holds_the_socket_replaces_the_process(tmp_path: Path) -> None:
    """As docs/operations.md says it, with the toy server and the example that plays the platform."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        place = f"127.0.0.1:{free.getsockname()[1]}"
    with started("examples/toy_server.py", str(tmp_path)) as toy:
        assert toy.stdout is not None
        config = toy.stdout.readline().strip()
        environment = {"PROXY_CONFIG": config, "TMPDIR": str(tmp_path)}
        platform = subprocess.Popen(
            [sys.executable, "examples/hold_socket.py", place, "0", "0"],
            cwd=ROOT,
            env=os.environ | environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        numbers = []
        try:
            assert platform.stdin is not None and platform.stdout is not None
            for awaited in ("ready", "taken_over"):
                platform.stdin.write("\n")
                platform.stdin.flush()
                numbers.append(int(platform.stdout.readline().split()[1].rstrip(",")))
                found = event(platform, awaited)
                # Ready comes before the first list; a request waits for it, so the successor finds one.
                assert call(place, b"GET /look/0 HTTP/1.1\r\nHost: a\r\nReq-Id: 0\r\n\r\n").status == 200
            assert found["known"] == 3
            ops = event(platform, "ready")["ops"]
            with socket.create_connection((ops.split(":")[0], int(ops.split(":")[1])), timeout=20) as sock:
                sock.sendall(b"PING\n")
                assert sock.makefile().readline() == "200 ready\n"
            os.kill(numbers[0], signal.SIGTERM)
            assert event(platform, "ended")
            assert call(place, b"GET /look/1 HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n").status == 200
            platform.stdin.close()
            os.kill(numbers[1], signal.SIGTERM)
            assert event(platform, "ended")
            assert platform.wait(20) == 0
        finally:
            platform.kill()
            for number in numbers:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(number, signal.SIGKILL)
            for stream in (platform.stdin, platform.stdout, platform.stderr):
                assert stream is not None
                stream.close()
            platform.wait(20)
