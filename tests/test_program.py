"""Tests of the sidecar as a process: the examples, signals, counters and startup errors."""

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
def running_process(
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


def next_event(process: subprocess.Popen[str], name: str) -> dict[str, Any]:
    """The fields of the next log line for this event."""
    assert process.stderr is not None
    for line in process.stderr:
        fields: dict[str, Any] = json.loads(line)
        if fields["event"] == name:
            return fields
    raise AssertionError(f"no event {name}")


def send_request(address: str, request: bytes) -> http1.Response:
    host, _, port = address.rpartition(":")
    parser = http1.ResponseParser()
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        sock.sendall(request)
        while not parser.complete:
            parser.feed(sock.recv(65536) or b"\r\n\r\n")
    return parser.response()


def test_example_serves_handles_signals_and_shuts_down(tmp_path: Path) -> None:
    with running_process("examples/toy_server.py", str(tmp_path)) as toy_server:
        assert toy_server.stdout is not None
        config = toy_server.stdout.readline().strip()
        with running_process("-m", "larkcrank", PROXY_CONFIG=config, PROXY_LISTEN="127.0.0.1:0") as sidecar:
            address = next_event(sidecar, "ready")["listen"]
            ready_check = send_request(address, b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert ready_check.status == 200
            for request_id in range(3):
                request = (
                    b"POST /order/7 HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nContent-Length: 3\r\n\r\nink"
                    % request_id
                )
                answer = send_request(address, request)
                assert answer.status == 200 and answer.body.endswith(b"served /order/7\n")
            sidecar.send_signal(signal.SIGHUP)  # without a handler it would terminate the process
            assert next_event(sidecar, "reloaded")["needs_restart"] == []
            sidecar.send_signal(signal.SIGUSR1)
            counters = next_event(sidecar, "counters")
            assert (counters["taken"], counters["served"], counters["crashed"]) == (3, 3, 0)
            assert counters["outcomes"]["ok"] == 3
            sidecar.send_signal(signal.SIGTERM)
            assert next_event(sidecar, "counters")["taken"] == 3
            assert sidecar.wait(20) == 0


def config_with_grade_value(key: str, value: object) -> str:
    first_grade = CONFIG["grades"][0] | {key: value}
    return json.dumps({"settings": CONFIG | {"grades": [first_grade, *CONFIG["grades"][1:]]}})


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "PROXY_CONFIG: not set"),
        ("{}", "settings"),
        ('{"settings": {}}', "grades"),
        (config_with_grade_value("late-value", 1.5), "$.grades[0].late-value"),
        (config_with_grade_value("aim-ms", -1.0), "$.grades[0].aim-ms"),
        (config_with_grade_value("aim-ms", "soon"), "$.grades[0].aim-ms"),
        (json.dumps({"settings": CONFIG | {"ordinal": -1}}), "$.ordinal"),
        (json.dumps({"settings": CONFIG, "kept": 7}), "$.kept"),
    ],
)
def test_invalid_configuration_logs_an_error_and_exits_with_2(
    tmp_path: Path, text: str | None, message: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with running_process("-m", "larkcrank", PROXY_CONFIG="" if text is None else str(path)) as sidecar:
        assert message in next_event(sidecar, "bad_configuration")["message"]
        assert sidecar.wait(20) == 2


def test_listen_address_in_use_logs_an_error_and_exits_with_1(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        path = tmp_path / "config.json"
        path.write_text((ROOT / "examples" / "config.json").read_text())
        listen = f"127.0.0.1:{occupied.getsockname()[1]}"
        with running_process("-m", "larkcrank", PROXY_CONFIG=str(path), PROXY_LISTEN=listen) as sidecar:
            assert "in use" in next_event(sidecar, "cannot_listen")["message"]
            assert sidecar.wait(20) == 1


def test_library_warnings_are_logged_as_events() -> None:
    out = io.BytesIO()
    handlers, level = list(logging.root.handlers), logging.root.level
    try:
        Log("n0", out).capture_library_logs()
        logging.getLogger("tornado.general").warning("odd %s", "thing")
    finally:
        logging.basicConfig(handlers=handlers, level=level, force=True)
    (line,) = out.getvalue().splitlines()
    fields = json.loads(line)
    assert (fields["event"], fields["source"], fields["text"]) == ("library", "tornado.general", "odd thing")


def test_platform_that_holds_the_socket_replaces_the_process(tmp_path: Path) -> None:
    """Follows docs/operations.md, with the two example programs as the servers and the platform."""
    with socket.create_server(("127.0.0.1", 0)) as free_port:
        address = f"127.0.0.1:{free_port.getsockname()[1]}"
    with running_process("examples/toy_server.py", str(tmp_path)) as toy_server:
        assert toy_server.stdout is not None
        config = toy_server.stdout.readline().strip()
        environment = {"PROXY_CONFIG": config, "TMPDIR": str(tmp_path)}
        platform = subprocess.Popen(
            [sys.executable, "examples/hold_socket.py", address, "0", "0"],
            cwd=ROOT,
            env=os.environ | environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        process_ids = []
        try:
            assert platform.stdin is not None and platform.stdout is not None
            for awaited_event in ("ready", "taken_over"):
                platform.stdin.write("\n")
                platform.stdin.flush()
                process_ids.append(int(platform.stdout.readline().split()[1].rstrip(",")))
                fields = next_event(platform, awaited_event)
                # The sidecar is ready before its first server list; a request waits for that. After an answer
                # the process has a list to hand over.
                assert (
                    send_request(address, b"GET /look/0 HTTP/1.1\r\nHost: a\r\nReq-Id: 0\r\n\r\n").status
                    == 200
                )
            assert fields["known"] == 3
            ops_address = next_event(platform, "ready")["ops"]
            with socket.create_connection(
                (ops_address.split(":")[0], int(ops_address.split(":")[1])), timeout=20
            ) as sock:
                sock.sendall(b"PING\n")
                assert sock.makefile().readline() == "200 ready\n"
            os.kill(process_ids[0], signal.SIGTERM)
            assert next_event(platform, "ended")
            assert (
                send_request(address, b"GET /look/1 HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n").status == 200
            )
            platform.stdin.close()
            os.kill(process_ids[1], signal.SIGTERM)
            assert next_event(platform, "ended")
            assert platform.wait(20) == 0
        finally:
            platform.kill()
            for process_id in process_ids:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process_id, signal.SIGKILL)
            for stream in (platform.stdin, platform.stdout, platform.stderr):
                assert stream is not None
                stream.close()
            platform.wait(20)
