"""Builds batch frames and parses reply frames from the documented layout, without the codec under test."""

import json
import struct
from typing import Any

ADDRESS_A = bytes([10, 18, 74, 7]) + struct.pack(">H", 9003)
ADDRESS_B = bytes([10, 144, 17, 242]) + struct.pack(">H", 9044)
ADDRESS_C = bytes([10, 9, 9, 9]) + struct.pack(">H", 9100)

# Values of the state of a list entry.
STATE_GONE = 0
STATE_READY = 1
STATE_DRAINING = 2

# Values of the mode of a server list event.
LIST_DELTA = 0
LIST_FULL = 1
LIST_CACHED = 2
LIST_FAILED = 3

# Result codes of an outcome event.
RESULT_OK = 100
RESULT_TIMEOUT = 303
RESULT_CONNECT_FAILED = 304

# Action codes.
ACTION_SEND = 1
ACTION_REFUSE = 2
ACTION_FAULT = 10

CONFIG: dict[str, Any] = {
    "az": 0,
    "bounds": {
        "may-cancel": True,
        "max-retry-after-ms": 2000.0,
        "probes": True,
        "retry-after": True,
        "second-copies": False,
        "send-cap": 5,
    },
    "contract": {"cold-from": 0.33, "fall-ms": 2000.0, "fall-multiple": 4.0, "warm-after-ms": 8800.0},
    "customers": [],
    "grades": [
        {"aim-ms": 1200.0, "deadline-ms": 2500.0, "effect": "retryable", "name": "view", "points": 2.0},
        {"aim-ms": 1200.0, "deadline-ms": 4000.0, "effect": "fragile", "name": "take", "points": 2.0},
    ],
    "n-instances": 4,
    "ordinal": 0,
    "registry-mode": "subscribe",
    "resolution-ms": 5.0,
}


def batch_frame(now_ms: float, *records: bytes, count: int | None = None) -> bytes:
    """A whole batch frame. `count` overrides the number of records in the header."""
    body = b"".join(records)
    return struct.pack(">dII", now_ms, len(body), len(records) if count is None else count) + body


def select_instance(instance: int) -> bytes:
    """Record that assigns the following records to an instance."""
    return struct.pack(">BI", 9, instance)


def start_instance(seed: int = 1, config: Any = None) -> bytes:
    text = config if isinstance(config, bytes) else json.dumps(CONFIG if config is None else config).encode()
    return struct.pack(">BQI", 11, seed, len(text)) + text


def define_server_list(list_number: int, *entries: bytes) -> bytes:
    return struct.pack(">BII", 4, list_number, len(entries)) + b"".join(entries)


def list_entry(
    address: bytes,
    state: int = STATE_READY,
    zone: int = 0,
    cell: int = 0,
    started_at: float = 0.0,
    size: float = 1.0,
) -> bytes:
    return address + struct.pack(">BHBBfd", zone, cell, state, 0, size, started_at)


def server_list_event(list_number: int, mode: int, revision: int = 1) -> bytes:
    """Event that delivers a defined list, or reports a failed discovery call."""
    return struct.pack(">BQIB", 3, revision, list_number, mode)


def request_event(request_id: int, cls: int = 0, time_left_ms: float = 2000.0, tenant: int = 0) -> bytes:
    return struct.pack(">BIBIQddB", 7, request_id, cls, tenant, 0, time_left_ms, 0.0, 0)


def outcome_event(
    request_id: int, address: bytes, result_code: int, attempt: int = 0, closed: int = 0
) -> bytes:
    return struct.pack(">BI6sBdHHB", 10, request_id, address, closed, 12.0, result_code, attempt, 0)


def client_gone_event(request_id: int) -> bytes:
    return struct.pack(">BI", 12, request_id)


def timer_fired_event(token: int) -> bytes:
    return struct.pack(">BQ", 5, token)


def stop_instance() -> bytes:
    return bytes([6])


# Length in bytes of the fields of each action with a fixed size, by action code.
_FIELD_BYTES_BY_CODE = {1: 18, 2: 12, 3: 4, 4: 6, 5: 16, 6: 6, 7: 6, 11: 1, 12: 0}


def parse_actions(reply: bytes) -> list[tuple[int, int, bytes]]:
    """(instance, code, fields) of each action in one whole reply frame."""
    (body_size,) = struct.unpack_from(">I", reply)
    assert body_size == len(reply) - 4
    actions, position, instance = [], 4, -1
    while position < len(reply):
        code = reply[position]
        position += 1
        if code == 13:  # the following actions are of another instance
            (instance,) = struct.unpack_from(">I", reply, position)
            position += 4
            continue
        length = _FIELD_BYTES_BY_CODE.get(code)
        if length is None:  # a log or fault action: a text preceded by its length
            length = 2 + struct.unpack_from(">H", reply, position)[0]
        actions.append((instance, code, reply[position : position + length]))
        position += length
    return actions
