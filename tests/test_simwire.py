"""Tests of the simulator adapter against frames built from the documented layout."""

import copy
import io
import json
import random
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.config import settings
from larkcrank.core import interface as api
from larkcrank.core.balancer import Balancer
from larkcrank.simwire import codec
from larkcrank.simwire.host import BalancerHost, serve
from tests import frames

REPOSITORY_ROOT = Path(__file__).resolve().parent.parent
EMPTY_REPLY = bytes(4)
BATCH_HEADER_BYTES = 16


def handle_records(host: BalancerHost, now_ms: float, *records: bytes) -> list[tuple[int, int, bytes]]:
    """Handle the records as one batch. Returns (instance, code, fields) of each action in the reply."""
    frame = frames.batch_frame(now_ms, *records)
    return frames.parse_actions(host.handle_batch(now_ms, frame[BATCH_HEADER_BYTES:], len(records)))


def host_with_servers(*addresses: bytes, instance: int = 3, config: Any = None) -> BalancerHost:
    """A host with one started instance whose server list holds the addresses."""
    host = BalancerHost(io.StringIO())
    entries = [frames.list_entry(address) for address in addresses]
    handle_records(
        host,
        0.0,
        frames.select_instance(instance),
        frames.start_instance(7, config),
        frames.define_server_list(0, *entries),
        frames.server_list_event(0, frames.LIST_CACHED),
    )
    return host


def sent_attempts(actions: list[tuple[int, int, bytes]]) -> list[tuple[int, bytes]]:
    """(request id, server address) of each `Send` among the actions."""
    return [
        (struct.unpack_from(">I", fields)[0], fields[4:10])
        for _, code, fields in actions
        if code == frames.ACTION_SEND
    ]


def test_documented_batch_example_is_decoded() -> None:
    body = bytes.fromhex(
        "0900000003075d3a91c40000000000"
        "91f03b7c55d20a64406e0000000000004028000000000000"
        "0105000000000000004d09000000050c0e6f2b19"
    )
    assert list(codec.BatchDecoder().decode_records(body, 5)) == [
        (3, api.Request(0x5D3A91C4, 0, 240.0, 0, 0x91F03B7C55D20A64, 12.0)),
        (3, api.TimerFired(0x4D)),
        (5, api.ClientGone(0x0E6F2B19)),
    ]


def test_documented_reply_example_is_encoded() -> None:
    address = bytes.fromhex("0a124a07232b")
    reply = codec.encode_reply(
        [
            (
                3,
                [
                    codec.encode_action(api.Send(0x5D3A91C4, address, 8492.0)),
                    codec.encode_action(api.SetTimer(500.0, 0x4D)),
                ],
            ),
            (5, [codec.encode_action(api.Log("two servers known"))]),
        ]
    )
    assert reply[:4] == bytes.fromhex("00000042")
    assert reply[4:9] == bytes.fromhex("0d00000003")
    assert reply[9:20] == bytes.fromhex("015d3a91c40a124a07232b")
    assert reply[28:45] == bytes.fromhex("05407f400000000000000000000000004d")
    assert reply.endswith(bytes.fromhex("0d00000005090011") + b"two servers known")


def test_event_records_are_decoded() -> None:
    body = b"".join(
        [
            frames.select_instance(1),
            struct.pack(">BIH6sd", 1, 9, 2, frames.ADDRESS_A, 4.5),
            struct.pack(">BHd6sBff", 2, 100, 1.5, frames.ADDRESS_A, 2, 3.0, 0.5),
            struct.pack(">BQ", 5, 77),
            frames.stop_instance(),
            struct.pack(">BIH", 8, 6, 3) + b"abc",
            frames.outcome_event(9, frames.ADDRESS_B, frames.RESULT_CONNECT_FAILED, 1, 1),
            frames.client_gone_event(9),
            frames.define_server_list(
                15, frames.list_entry(frames.ADDRESS_A, frames.STATE_DRAINING, 1, 300, 40.0)
            ),
            frames.server_list_event(15, frames.LIST_DELTA, 5),
            frames.server_list_event(99, frames.LIST_FAILED),
        ]
    )
    assert [record for _, record in codec.BatchDecoder().decode_records(body, 11)] == [
        api.StreamStarted(9, 2, frames.ADDRESS_A, 4.5),
        api.ProbeResult(frames.ADDRESS_A, api.Result.OK, 1.5, (3.0, 0.5)),
        api.TimerFired(77),
        codec.StopInstance(),
        api.PeerMessage(6, b"abc"),
        api.Outcome(9, 1, frames.ADDRESS_B, api.Result.CONNECT_FAILED, 12.0, True),
        api.ClientGone(9),
        api.ServerList(
            (api.Endpoint(frames.ADDRESS_A, api.State.DRAINING, 1, 300, 0, 1.0, 40.0),), False, False, 5
        ),
        api.DiscoveryFailed(),
    ]


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (api.Refuse(5, 30.0), struct.pack(">BId", 2, 5, 30.0)),
        (api.Fail(5), struct.pack(">BI", 3, 5)),
        (api.Cancel(5, 2), struct.pack(">BIH", 4, 5, 2)),
        (api.Probe(frames.ADDRESS_A), b"\x06" + frames.ADDRESS_A),
        (api.CloseIdle(frames.ADDRESS_A), b"\x07" + frames.ADDRESS_A),
        (api.Tell(None, b"hi"), struct.pack(">BIH", 8, 0xFFFFFFFF, 2) + b"hi"),
        (api.Tell(4, b""), struct.pack(">BIH", 8, 4, 0)),
        (api.Watch(), b"\x0b\x01"),
        (api.Watch(False), b"\x0b\x00"),
        (api.FetchList(), b"\x0c"),
    ],
)
def test_actions_are_encoded(action: api.Action, expected: bytes) -> None:
    assert codec.encode_action(action) == expected


@given(
    request_id=st.integers(0, 2**32 - 1),
    attempt=st.integers(0, 2**16 - 1),
    address=st.binary(min_size=6, max_size=6),
    code_and_result=st.sampled_from(list(codec._RESULT_BY_CODE.items())),
    elapsed_ms=st.floats(0, 1e9),
    closed=st.booleans(),
    load=st.lists(st.floats(0, 1000, width=32), max_size=4),
)
def test_outcomes_are_decoded_with_all_their_fields(
    request_id: int,
    attempt: int,
    address: bytes,
    code_and_result: tuple[int, api.Result],
    elapsed_ms: float,
    closed: bool,
    load: list[float],
) -> None:
    body = frames.select_instance(0) + struct.pack(
        ">BI6sBdHHB", 10, request_id, address, closed, elapsed_ms, code_and_result[0], attempt, len(load)
    )
    body += struct.pack(f">{len(load)}f", *load)
    [(_, record)] = codec.BatchDecoder().decode_records(body, 2)
    assert record == api.Outcome(
        request_id, attempt, address, code_and_result[1], elapsed_ms, closed, tuple(load)
    )


@given(st.binary(max_size=80), st.integers(0, 6))
def test_arbitrary_bytes_are_decoded_or_raise_an_error_with_the_position(body: bytes, count: int) -> None:
    try:
        list(codec.BatchDecoder().decode_records(body, count))
    except codec.WireError as error:
        assert "at byte" in str(error)


# Balancer instances


def test_redefined_list_number_applies_only_to_later_events() -> None:
    host = BalancerHost()
    actions = handle_records(
        host,
        0.0,
        frames.select_instance(1),
        frames.start_instance(),
        frames.define_server_list(0, frames.list_entry(frames.ADDRESS_A)),
        frames.server_list_event(0, frames.LIST_CACHED),
        frames.select_instance(2),
        frames.start_instance(),
        frames.define_server_list(0, frames.list_entry(frames.ADDRESS_B)),
        frames.server_list_event(0, frames.LIST_CACHED),
        frames.select_instance(1),
        frames.request_event(11),
        frames.select_instance(2),
        frames.request_event(12),
    )
    assert sent_attempts(actions) == [(11, frames.ADDRESS_A), (12, frames.ADDRESS_B)]
    assert [instance for instance, code, _ in actions if code == frames.ACTION_SEND] == [1, 2]


def test_instance_restarted_within_one_batch_has_no_earlier_state() -> None:
    host = host_with_servers(frames.ADDRESS_A)
    actions = handle_records(
        host,
        5.0,
        frames.select_instance(3),
        frames.request_event(1),
        frames.stop_instance(),
        frames.start_instance(9),
        frames.define_server_list(1, frames.list_entry(frames.ADDRESS_B)),
        frames.server_list_event(1, frames.LIST_CACHED),
        frames.request_event(2),
        frames.outcome_event(1, frames.ADDRESS_A, frames.RESULT_OK, closed=1),
    )
    # The actions of the instance before its restart are dropped.
    assert sent_attempts(actions) == [(2, frames.ADDRESS_B)]


@pytest.mark.parametrize("size", [0.0, -1.0, float("nan"), float("inf")])
def test_invalid_listed_size_is_replaced_by_the_default(size: float) -> None:
    body = bytes(
        frames.select_instance(3)
        + frames.define_server_list(
            0, frames.list_entry(frames.ADDRESS_A, size=size), frames.list_entry(frames.ADDRESS_B, size=0.5)
        )
        + frames.server_list_event(0, frames.LIST_FULL)
    )
    [(_, record)] = codec.BatchDecoder().decode_records(body, 3)
    assert isinstance(record, api.ServerList)
    assert [endpoint.size for endpoint in record.endpoints] == [1.0, 0.5]


@pytest.mark.parametrize(
    "weights, uses_listed_sizes", [("nominal", True), ("rough", True), ("live", False), ("silent", False)]
)
def test_listed_sizes_are_used_only_for_nominal_and_rough_weights(
    weights: str, uses_listed_sizes: bool
) -> None:
    assert (
        settings.parse(json.dumps(frames.CONFIG | {"weights": weights}).encode()).decisions.listed_sizes
        is uses_listed_sizes
    )


def test_delta_updates_the_server_list_and_full_list_replaces_it() -> None:
    host = host_with_servers(frames.ADDRESS_A, frames.ADDRESS_B)
    handle_records(
        host,
        1.0,
        frames.select_instance(3),
        frames.define_server_list(1, frames.list_entry(frames.ADDRESS_A, state=frames.STATE_GONE)),
        frames.server_list_event(1, frames.LIST_DELTA),
    )
    assert sent_attempts(handle_records(host, 2.0, frames.select_instance(3), frames.request_event(1))) == [
        (1, frames.ADDRESS_B)
    ]
    handle_records(
        host,
        2.5,
        frames.select_instance(3),
        frames.outcome_event(1, frames.ADDRESS_B, frames.RESULT_OK, closed=1),
    )
    handle_records(
        host,
        3.0,
        frames.select_instance(3),
        frames.define_server_list(2, frames.list_entry(frames.ADDRESS_C)),
        frames.server_list_event(2, frames.LIST_FULL),
    )
    assert sent_attempts(handle_records(host, 4.0, frames.select_instance(3), frames.request_event(2))) == [
        (2, frames.ADDRESS_C)
    ]
    handle_records(
        host,
        5.0,
        frames.select_instance(3),
        frames.outcome_event(2, frames.ADDRESS_C, frames.RESULT_OK, closed=1),
    )
    # A failed discovery call leaves the list as it is.
    handle_records(host, 6.0, frames.select_instance(3), frames.server_list_event(0, frames.LIST_FAILED))
    assert sent_attempts(handle_records(host, 600.0, frames.select_instance(3), frames.request_event(3))) == [
        (3, frames.ADDRESS_C)
    ]


def test_empty_batch_and_events_with_unknown_ids_are_ignored() -> None:
    host = host_with_servers(frames.ADDRESS_A)
    assert host.handle_batch(1.0, b"", 0) == EMPTY_REPLY
    actions = handle_records(
        host,
        2.0,
        frames.select_instance(3),
        frames.outcome_event(99, frames.ADDRESS_A, frames.RESULT_TIMEOUT),
        frames.client_gone_event(98),
        frames.timer_fired_event(12345),
        frames.request_event(1),
    )
    assert sent_attempts(actions) == [(1, frames.ADDRESS_A)]


def test_server_that_returns_to_the_list_receives_requests_again() -> None:
    host = host_with_servers(frames.ADDRESS_A)
    handle_records(
        host,
        1.0,
        frames.select_instance(3),
        frames.define_server_list(1, frames.list_entry(frames.ADDRESS_A, state=frames.STATE_GONE)),
        frames.server_list_event(1, frames.LIST_DELTA),
    )
    assert sent_attempts(handle_records(host, 2.0, frames.select_instance(3), frames.request_event(1))) == []
    actions = handle_records(
        host,
        3.0,
        frames.select_instance(3),
        frames.define_server_list(2, frames.list_entry(frames.ADDRESS_A)),
        frames.server_list_event(2, frames.LIST_DELTA),
    )
    assert sent_attempts(actions) == [(1, frames.ADDRESS_A)]


def test_request_without_servers_or_time_left_is_refused() -> None:
    host = host_with_servers()
    actions = handle_records(
        host,
        1.0,
        frames.select_instance(3),
        frames.request_event(1, time_left_ms=0.0),
        frames.request_event(2),
    )
    assert [fields[:4] for _, code, fields in actions if code == frames.ACTION_REFUSE] == [
        struct.pack(">I", 1)
    ]
    actions = handle_records(host, 1300.0, frames.select_instance(3), frames.timer_fired_event(1))
    assert [fields[:4] for _, code, fields in actions if code == frames.ACTION_REFUSE] == [
        struct.pack(">I", 2)
    ]


def test_exception_in_the_balancer_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    error_stream = io.StringIO()
    host = BalancerHost(error_stream)
    handle_records(host, 0.0, frames.select_instance(3), frames.start_instance())

    def failing_handle(self: Balancer, now: float, event: api.Event) -> list[api.Action]:
        raise ValueError("no such turn")

    monkeypatch.setattr(Balancer, "handle", failing_handle)
    [(instance, code, text)] = handle_records(host, 1.0, frames.select_instance(3), frames.request_event(1))
    assert (instance, code, text[2:]) == (3, frames.ACTION_FAULT, b"ValueError: no such turn")
    assert "Traceback" in error_stream.getvalue()


# Malformed input

VALID_BATCH = frames.batch_frame(
    0.0,
    frames.select_instance(3),
    frames.start_instance(),
    frames.define_server_list(0, frames.list_entry(frames.ADDRESS_A)),
    frames.server_list_event(0, frames.LIST_CACHED),
)


def config_without_a_deadline() -> bytes:
    config = copy.deepcopy(frames.CONFIG)
    del config["grades"][1]["deadline-ms"]
    return json.dumps(config).encode()


# The input and a part of the error message that it must cause, by name of the case.
MALFORMED_INPUTS = {
    "short header": (VALID_BATCH + b"\x40\x00", "frame 1: input ended at byte 2, inside the header"),
    "short body": (VALID_BATCH[:-3], "3 bytes short of its length"),
    "length beyond the records": (
        frames.batch_frame(0.0, frames.select_instance(3), b"\x00\x00", count=1),
        "2 bytes left over",
    ),
    "more records than bytes": (
        frames.batch_frame(0.0, frames.select_instance(3), count=2),
        "past the end of the frame at byte 21",
    ),
    "unknown code": (
        frames.batch_frame(0.0, frames.select_instance(3), b"\x63"),
        "unknown event code 99 at byte 21",
    ),
    "unknown outcome": (
        VALID_BATCH
        + frames.batch_frame(1.0, frames.select_instance(3), frames.outcome_event(1, frames.ADDRESS_A, 999)),
        "unknown outcome 999 at byte 21",
    ),
    "undefined list": (
        frames.batch_frame(
            0.0,
            frames.select_instance(3),
            frames.start_instance(),
            frames.server_list_event(4, frames.LIST_CACHED),
        ),
        "list 4 was never defined",
    ),
    "list number out of range": (
        frames.batch_frame(0.0, frames.define_server_list(16)),
        "list number 16 is not under 16 at byte 16",
    ),
    "never started": (
        frames.batch_frame(0.0, frames.select_instance(8), frames.request_event(1)),
        "instance 8, never started",
    ),
    "no instance named": (
        frames.batch_frame(0.0, frames.request_event(1)),
        "before any instance was named at byte 16",
    ),
    "settings not JSON": (
        frames.batch_frame(0.0, frames.select_instance(3), frames.start_instance(1, b"{nope")),
        "settings: JSON is malformed",
    ),
    "settings incomplete": (
        frames.batch_frame(
            0.0, frames.select_instance(3), frames.start_instance(1, config_without_a_deadline())
        ),
        "`deadline-ms` - at `$.grades[1]`",
    ),
}


@pytest.mark.parametrize("name", list(MALFORMED_INPUTS))
def test_malformed_input_exits_with_a_one_line_error(name: str) -> None:
    input_bytes, expected_message = MALFORMED_INPUTS[name]
    process = subprocess.run(
        [sys.executable, "-m", "larkcrank.simwire"],
        input=input_bytes,
        capture_output=True,
        cwd=REPOSITORY_ROOT,
        check=False,
    )
    assert process.returncode == 2
    [line] = process.stderr.decode().splitlines()
    assert expected_message in line and "Traceback" not in line
    while process.stdout:  # the output consists of whole replies
        (size,) = struct.unpack_from(">I", process.stdout)
        assert len(process.stdout) >= 4 + size
        process.stdout = process.stdout[4 + size :]


def test_input_that_ends_between_frames_exits_without_an_error() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "larkcrank.simwire"],
        input=VALID_BATCH,
        capture_output=True,
        cwd=REPOSITORY_ROOT,
        check=False,
    )
    assert (process.returncode, process.stderr) == (0, b"")
    assert frames.parse_actions(process.stdout)


def test_each_batch_is_answered_with_one_reply() -> None:
    output_stream = io.BytesIO()
    serve(io.BytesIO(VALID_BATCH + frames.batch_frame(1.0) + frames.batch_frame(2.0)), output_stream)
    assert output_stream.getvalue().endswith(EMPTY_REPLY + EMPTY_REPLY)


# Settings


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    config = copy.deepcopy(frames.CONFIG)
    config["news"] = {"deep": [1]}
    config["grades"][0]["colour"] = "red"
    config["customers"] = [{"name": "a", "portion": 0.7, "quota-per-s": 3.0}]
    parsed = settings.parse(json.dumps(config).encode()).decisions
    assert [cls.effect for cls in parsed.classes] == [api.Effect.SAFE, api.Effect.UNSAFE]
    assert parsed.classes[0].group is api.Group.ALL and parsed.classes[0].late_worth == 0.0
    assert (parsed.max_attempts, parsed.retry_after, parsed.must_ask) == (5, True, True)
    assert parsed.tenants == (api.Tenant("a", 0.7),)


def test_optional_settings_are_parsed_and_default_to_off() -> None:
    defaults = settings.parse(json.dumps(frames.CONFIG).encode()).decisions
    assert not any(cls.in_turn for cls in defaults.classes)
    assert (defaults.key_quiet_ms, defaults.only_draining_binds, defaults.nines_part) == (0.0, False, 0.0)
    assert not defaults.warm_keys
    config = copy.deepcopy(frames.CONFIG)
    config["grades"][1]["in-turn"] = True
    config["contract"] |= {"key-quiet-ms": 50.0, "only-draining-binds": True}
    config["objective-mix"] = {"nines-part": 0.4, "nines-full": 2}
    config["family-info"] = {"warm-keys": True}
    parsed = settings.parse(json.dumps(config).encode()).decisions
    assert [cls.in_turn for cls in parsed.classes] == [False, True]
    assert (parsed.key_quiet_ms, parsed.only_draining_binds) == (50.0, True)
    assert (parsed.nines_part, parsed.nines_full, parsed.warm_keys) == (0.4, 2.0, True)


@pytest.mark.parametrize(
    ("part", "change", "setting"),
    [
        ("contract", {"key-quiet-ms": -1.0}, "contract.key-quiet-ms"),
        ("contract", {"only-draining-binds": "yes"}, "contract.only-draining-binds"),
        ("objective-mix", {"nines-part": -0.1}, "objective-mix.nines-part"),
        ("family-info", {"warm-keys": 1}, "family-info.warm-keys"),
        ("grades", {"in-turn": 1}, "grades[0].in-turn"),
        ("grades", {"in-turn": True, "streaming": True}, "grades[0].in-turn"),
    ],
)
def test_error_names_the_invalid_optional_setting(part: str, change: dict[str, Any], setting: str) -> None:
    config = copy.deepcopy(frames.CONFIG)
    config.setdefault(part, {})
    section = config[part][0] if part == "grades" else config[part]
    section.update(change)
    with pytest.raises(settings.SettingsError) as error:
        settings.parse(json.dumps(config).encode())
    assert f"$.{setting}`" in str(error.value)


@pytest.mark.parametrize("key", ["effect", "group"])
def test_error_names_the_unknown_effect_or_group(key: str) -> None:
    config = copy.deepcopy(frames.CONFIG)
    config["grades"][0][key] = "odd"
    with pytest.raises(settings.SettingsError, match=rf"'odd' - at `\$\.grades\[0\]\.{key}`"):
        settings.parse(json.dumps(config).encode())


def test_instance_acts_the_same_with_and_without_other_instances() -> None:
    def replay(instances: list[int]) -> dict[int, list[tuple[int, bytes]]]:
        """Send each request to its instance, skip those of other instances, and return the actions."""
        host = BalancerHost()
        actions_by_instance: dict[int, list[tuple[int, bytes]]] = {instance: [] for instance in instances}
        server_list = frames.define_server_list(
            0,
            *(
                frames.list_entry(address)
                for address in (frames.ADDRESS_A, frames.ADDRESS_B, frames.ADDRESS_C)
            ),
        )
        rng = random.Random(5)
        requests = [(rng.randrange(3), index) for index in range(60)]
        records = [server_list]
        for instance in instances:
            records += [
                frames.select_instance(instance),
                frames.start_instance(instance),
                frames.server_list_event(0, frames.LIST_CACHED),
            ]
        handle_records(host, 0.0, *records)
        for receiver, request_id in requests:
            if receiver in instances:
                for instance, code, fields in handle_records(
                    host,
                    10.0 * request_id,
                    frames.select_instance(receiver),
                    frames.request_event(request_id),
                ):
                    actions_by_instance[instance].append((code, fields))
        return actions_by_instance

    together = replay([0, 1, 2])
    for instance in range(3):
        assert replay([instance])[instance] == together[instance]
