"""Default settings of a scenario's processes; the scenario's own settings are merged into them."""

from typing import Any

BASE_SETTINGS: dict[str, Any] = {
    "az": 0,
    "zones": ["here"],
    "kinds": ["plain"],
    "n-instances": 1,
    "ordinal": 0,
    "registry-mode": "subscribe",
    "resolution-ms": 1.0,
    "weights": "silent",
    "customers": [],
    "bounds": {
        "send-cap": 3,
        "may-cancel": True,
        "probes": False,
        "second-copies": False,
        "retry-after": True,
        "max-retry-after-ms": 2000.0,
        "connect-timeout-ms": 250.0,
        "keepalive-ms": 30000.0,
        "max-open": 20000,
    },
    "contract": {
        "cold-from": 0.33,
        "warm-after-ms": 8000.0,
        "fall-multiple": 4.0,
        "fall-ms": 2000.0,
        "grace-to-answer-ms": 20.0,
    },
    "grades": [
        {"name": "look", "effect": "retryable", "aim-ms": 1000.0, "deadline-ms": 2000.0, "points": 1.0},
        {"name": "order", "effect": "fragile", "aim-ms": 1000.0, "deadline-ms": 4000.0, "points": 3.0},
        {
            "name": "pay",
            "effect": "dedup",
            "group": "zone",
            "window-ms": 9000.0,
            "aim-ms": 2000.0,
            "deadline-ms": 6000.0,
            "points": 6.0,
        },
        {
            "name": "step",
            "effect": "dedup",
            "group": "all",
            "window-ms": 9000.0,
            "aim-ms": 2000.0,
            "deadline-ms": 6000.0,
            "points": 2.0,
            "in-turn": True,
        },
    ],
}


def merge_settings(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return `base` updated with `overrides`. Nested objects are merged; all other values are replaced."""
    result = dict(base)
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            result[key] = merge_settings(result[key], value)
        else:
            result[key] = value
    return result
