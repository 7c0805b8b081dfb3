"""Frames written by hand from the wire's layout, independent of the codec under test."""

import json
import struct
from typing import Any

A = bytes([10, 18, 74, 7]) + struct.pack(">H", 9003)
B = bytes([10, 144, 17, 242]) + struct.pack(">H", 9044)
C = bytes([10, 9, 9, 9]) + struct.pack(">H", 9100)

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


def batch(now: float, *records: bytes, count: int | None = None) -> bytes:
    body = b"".join(records)
    return struct.pack(">dII", now, len(body), len(records) if count is None else count) + body


def about(instance: int) -> bytes:
    return struct.pack(">BI", 9, instance)


def enlist(seed: int = 1, config: Any = None) -> bytes:
    text = config if isinstance(config, bytes) else json.dumps(CONFIG if config is None else config).encode()
    return struct.pack(">BQI", 11, seed, len(text)) + text


def define_list(number: int, *entries: bytes) -> bytes:
    return struct.pack(">BII", 4, number, len(entries)) + b"".join(entries)


def entry(
    address: bytes, status: int = 1, zone: int = 0, cell: int = 0, started: float = 0.0, size: float = 1.0
) -> bytes:
    return address + struct.pack(">BHBBfd", zone, cell, status, 0, size, started)


def membership(number: int, mode: int, revision: int = 1) -> bytes:
    return struct.pack(">BQIB", 3, revision, number, mode)


def submit(number: int, cls: int = 0, left: float = 2000.0, tenant: int = 0) -> bytes:
    return struct.pack(">BIBIQddB", 7, number, cls, tenant, 0, left, 0.0, 0)


def verdict(number: int, address: bytes, code: int, attempt: int = 0, done: int = 0) -> bytes:
    return struct.pack(">BI6sBdHHB", 10, number, address, done, 12.0, code, attempt, 0)


def abandoned(number: int) -> bytes:
    return struct.pack(">BI", 12, number)


def deadline_hit(token: int) -> bytes:
    return struct.pack(">BQ", 5, token)


def power_off() -> bytes:
    return bytes([6])


_SIZES = {1: 18, 2: 12, 3: 4, 4: 6, 5: 16, 6: 6, 7: 6, 11: 1, 12: 0}


def actions(reply: bytes) -> list[tuple[int, int, bytes]]:
    """(instance, code, fields) of each action in one whole reply frame."""
    (size,) = struct.unpack_from(">I", reply)
    assert size == len(reply) - 4
    found, pos, instance = [], 4, -1
    while pos < len(reply):
        code = reply[pos]
        pos += 1
        if code == 13:
            (instance,) = struct.unpack_from(">I", reply, pos)
            pos += 4
            continue
        length = _SIZES.get(code)
        if length is None:  # text: write_log, give_in
            length = 2 + struct.unpack_from(">H", reply, pos)[0]
        found.append((instance, code, reply[pos : pos + length]))
        pos += length
    return found
