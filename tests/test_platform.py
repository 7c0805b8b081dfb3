"""Tests of the platform headers, the server list format and the configuration."""

import json
from pathlib import Path
from typing import Any

import pytest

from larkcrank.config import sidecar as config
from larkcrank.core.interface import Result, State
from larkcrank.protocol import discovery, http1, platform
from tests.frames import CONFIG


def make_request(
    *header_lines: bytes, target: bytes = b"/proof/7?page=2", body: bytes = b""
) -> http1.Request:
    parser = http1.RequestParser()
    parser.feed(http1.encode_request(b"POST", target, (b"Host: backend.local", *header_lines), body))
    parsed = parser.next()
    assert parsed is not None
    return parsed


def make_response(status: int, *header_lines: bytes) -> http1.Response:
    parser = http1.ResponseParser()
    parser.feed(http1.encode_response(status, header_lines, b"body"))
    return parser.response()


def test_call_info_is_read_from_the_headers() -> None:
    call = platform.read_call_info(
        make_request(
            b"Req-Id: 9b1f",
            b"Req-Kind: proof",
            b"Req-Deadline: 0.480",
            b"Req-Retry: 1",
            b"Idempotency-Key: 5c",
        )
    )
    assert (call.id, call.kind, call.client_timeout_ms, call.is_retry, call.has_idempotency_key) == (
        "9b1f",
        "proof",
        480.0,
        True,
        True,
    )


def test_the_request_class_defaults_to_the_first_path_segment() -> None:
    call = platform.read_call_info(make_request(b"Req-Id: 1"))
    assert (call.kind, call.client_timeout_ms, call.is_retry, call.has_idempotency_key) == (
        "proof",
        None,
        False,
        False,
    )


@pytest.mark.parametrize(
    "lines",
    [
        (),
        (b"Req-Id: ",),
        (b"Req-Id: 1", b"Req-Id: 2"),
        (b"Req-Id: 1", b"Req-Deadline: soon"),
        (b"Req-Id: 1", b"Req-Deadline: -1"),
        (b"Req-Id: 1", b"Req-Deadline: nan"),
        (b"Req-Id: 1", b"Req-Deadline: 1_0"),
        (b"Req-Id: 1", b"Req-Deadline: 1e0"),
        (b"Req-Id: 1", b"Req-Deadline: 99999"),
        (b"Req-Id: 1", b"Req-Deadline: 1", b"Req-Deadline: 2"),
    ],
)
def test_invalid_headers_are_rejected_with_status_400(lines: tuple[bytes, ...]) -> None:
    with pytest.raises(http1.MessageError) as caught:
        platform.read_call_info(make_request(*lines))
    assert caught.value.status == 400


def test_a_request_is_forwarded_unchanged_except_for_its_deadline() -> None:
    received = make_request(
        b"Req-Id: 9", b"Req-Deadline: 2.5", b"Idempotency-Key: 5c", b"Connection: close", body=b"ink"
    )
    text = platform.encode_endpoint_request(received, 1234.5)
    head, _, body = text.partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"POST /proof/7?page=2 HTTP/1.1",
        b"Host: backend.local",
        b"Req-Id: 9",
        b"Idempotency-Key: 5c",
        b"Req-Deadline: 1.234",
        b"Content-Length: 3",
    ]
    assert body == b"ink"


@pytest.mark.parametrize(
    ("response", "result"),
    [
        (make_response(200), Result.OK),
        (make_response(500), Result.ERROR),
        (make_response(503), Result.ERROR),  # without Srv-Declined the request may have run
        (make_response(503, b"Srv-Declined: 0"), Result.ERROR),
        (make_response(503, b"Srv-Declined: 1"), Result.REJECTED),
        (make_response(504, b"srv-declined: 1"), Result.REJECTED),
        (make_response(500, b"Srv-Declined: 1"), Result.ERROR),
        (make_response(404), Result.ERROR),
    ],
)
def test_only_a_declined_response_proves_that_the_request_did_not_run(
    response: http1.Response, result: Result
) -> None:
    assert platform.classify_response(response) is result


def test_load_reports_follow_the_order_of_the_settings() -> None:
    assert platform.parse_load_report(b"util=0.5, queue=3", ("queue", "util")) == (3.0, 0.5)
    assert platform.parse_load_report(b"util=0.5,queue=x", ("queue", "util")) == ()
    assert platform.parse_load_report(b"util=nan,queue=inf", ("queue", "util")) == ()
    assert platform.read_load_report(make_response(200, b"Srv-Load: queue=2").fields, ("queue",)) == (2.0,)
    assert platform.read_load_report(make_response(200, b"Srv-Load: queue=2").fields, ()) == ()


def instance_entry(**changes: object) -> dict[str, object]:
    return {
        "instanceId": "s-5be2",
        "hostPort": "10.1.0.18:8000",
        "zone": "b",
        "machineType": "m9",
        "cell": 3,
        "lifecycle": "Ready",
        "weight": 1.5,
        "startedAtMs": 17,
    } | changes


def parse_update(*instances: dict[str, object], reset: bool = True) -> discovery.ListUpdate:
    text = json.dumps({"generation": 41, "reset": reset, "instances": instances}).encode()
    return discovery.parse_list(text, discovery.NameTable(["a", "b"], ["m1"]))


def test_a_server_list_is_parsed() -> None:
    update = parse_update(
        instance_entry(), instance_entry(instanceId="s-2", lifecycle="Terminating", zone="c", weight=0)
    )
    first, second = update.endpoints
    assert (update.generation, update.is_full) == (41, True)
    assert (first.address, first.zone, first.kind, first.cell) == (b"s-5be2", 1, 1, 3)
    assert (first.size, first.started_at, first.state) == (1.5, 17.0, State.READY)
    assert (second.zone, second.size, second.state) == (2, 1.0, State.DRAINING)
    assert update.host_ports[b"s-5be2"] == ("10.1.0.18", 8000)


def test_a_gone_server_needs_no_host_port() -> None:
    update = parse_update({"instanceId": "s-1", "lifecycle": "Gone"}, reset=False)
    assert update.endpoints[0].state is State.GONE and not update.is_full and not update.host_ports


@pytest.mark.parametrize("changes", [{"lifecycle": "Odd"}, {"hostPort": "nowhere"}, {"hostPort": "a:0"}])
def test_an_invalid_entry_drains_its_server_and_affects_no_other(changes: dict[str, str]) -> None:
    update = parse_update(instance_entry(**changes), instance_entry(instanceId="s-2"))
    assert [endpoint.state for endpoint in update.endpoints] == [State.DRAINING, State.READY]


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"[]",
        b'{"generation":1}',
        b'{"generation":1,"instances":[{"instanceId":"a"}]}',
        b'{"generation":1,"instances":[{"instanceId":7,"lifecycle":"Ready"}]}',
    ],
)
def test_an_invalid_server_list_is_rejected(text: bytes) -> None:
    with pytest.raises(discovery.ServerListError):
        discovery.parse_list(text, discovery.NameTable([], []))


def config_text(**changes: object) -> bytes:
    defaults: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:8000",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 41, "reset": True, "instances": []},
        "settings": CONFIG,
    }
    return json.dumps(defaults | changes).encode()


def test_the_environment_overrides_the_configuration_file() -> None:
    found = config.parse(config_text(), {"PROXY_LISTEN": "127.0.0.9:80"})
    assert (found.name, found.listen, found.discovery) == ("n3", ("127.0.0.9", 80), ("127.0.0.1", 8500))
    assert (found.seed, found.sockets) == (0x8C1F, 1024)
    assert json.loads(found.initial_list)["generation"] == 41
    assert found.site.decisions.max_attempts == 5 and found.site.connect_timeout_ms == 250.0


def test_on_a_reload_the_file_sets_discovery_and_the_environment_the_rest() -> None:
    environment = {"PROXY_DISCOVERY": "127.0.0.1:9", "PROXY_LISTEN": "127.0.0.1:8"}
    found = config.parse(config_text(), environment, is_reload=True)
    assert (found.discovery, found.listen) == (("127.0.0.1", 8500), ("127.0.0.1", 8))
    assert config.parse(config_text(discovery=""), environment, is_reload=True).discovery == ("127.0.0.1", 9)


def test_the_body_limit_is_configured_in_megabytes() -> None:
    assert config.parse(config_text(), {}).max_body_bytes == 40 << 20
    assert config.parse(config_text(limits={"body_mb": 0.5}), {}).max_body_bytes == 1 << 19


def test_missing_keys_have_defaults() -> None:
    text = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": CONFIG}).encode()
    found = config.parse(text, {})
    assert (found.name, found.initial_list, found.sockets) == ("larkcrank", b"", 1024)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"listen": "nowhere"}, r"^listen: 'nowhere'"),
        ({"discovery": "a:99999"}, r"^discovery: "),
        ({"seed": "xyz"}, r"^seed: 'xyz'"),
        ({"limits": {"sockets": 8}}, r"^limits\.sockets: 8"),
        ({"limits": {"memory_mb": -1}}, r"^limits\.memory_mb: -1"),
        ({"limits": {"sockets": "many"}}, r"\$\.limits\.sockets"),
        ({"settings": {"bounds": {"send-cap": 1}}}, r"grades|contract"),
        ({"settings": CONFIG | {"bounds": {"send-cap": "five"}}}, r"\$\.bounds\.send-cap"),
    ],
)
def test_error_messages_name_the_invalid_key(changes: dict[str, object], message: str) -> None:
    with pytest.raises(config.ConfigError, match=message):
        config.parse(config_text(**changes), {})


def test_error_messages_name_a_missing_file(tmp_path: Path) -> None:
    with pytest.raises(config.ConfigError, match="PROXY_CONFIG: not set"):
        config.load({})
    with pytest.raises(config.ConfigError, match=r"absent\.json: No such file"):
        config.load({"PROXY_CONFIG": str(tmp_path / "absent.json")})


def test_a_forwarded_http_1_0_request_without_host_gets_an_empty_one() -> None:
    parser = http1.RequestParser()
    parser.feed(b"GET /proof HTTP/1.0\r\nReq-Id: 1\r\n\r\n")
    received = parser.next()
    assert received is not None and not received.keep_alive
    parser.feed(platform.encode_endpoint_request(received, 1000.0))
    sent = parser.next()
    assert sent is not None and sent.fields.get_single(b"host") == b""


@pytest.mark.parametrize(
    ("value", "object_key"),
    [
        (None, 0),
        (b"", 0),
        (b"predicted-ms=3.5", 0),
        (b"item=17", 17),
        (b"predicted-ms=2, item=18446744073709551615", 2**64 - 1),
    ],
)
def test_the_object_key_is_read_from_req_extra(value: bytes | None, object_key: int) -> None:
    lines = () if value is None else (b"Req-Extra: " + value,)
    assert platform.read_object_key(make_request(*lines)) == object_key


@pytest.mark.parametrize(
    "value", [b"item=", b"item=x", b"item=-1", b"item=1.5", b"item=18446744073709551616"]
)
def test_an_invalid_object_key_is_rejected(value: bytes) -> None:
    with pytest.raises(http1.MessageError):
        platform.read_object_key(make_request(b"Req-Extra: " + value))
