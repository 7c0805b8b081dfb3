"""Classifies a restart by the uptimes of the peers: single process, rolling, zone or whole fleet.

No I/O. Only ages are compared, so clocks need not agree. docs/fleet-recovery.md describes what depends on the
result, and why a wrong result does no harm.
"""

from collections.abc import Mapping
from enum import Enum

SAME_START_MS = 30_000.0  # processes that started within this time of each other restarted together
ROLLING_MS = 600_000.0  # maximum duration of a rolling restart
NEARLY_ALL_SHARE = 0.9  # minimum share of a group of peers that counts as all of them
HARDLY_ANY_SHARE = 0.2  # maximum share of a group of peers that counts as none of them
# Minimum number of peers whose uptime must be known, and minimum share of all peers. The share is not needed
# if ENOUGH_KNOWN_PEERS are known, which is a sufficient sample of a fleet of any size.
MIN_KNOWN_PEERS = 2
REQUIRED_PEER_SHARE = 0.5
ENOUGH_KNOWN_PEERS = 12


class RestartKind(Enum):
    """Which processes restarted besides this one."""

    UNKNOWN = "unknown"
    SINGLE = "this one alone"
    ROLLING = "one after another"
    ZONE = "this zone"
    FLEET = "everyone"


def classify_restart(
    own_age_ms: float, peer_ages_ms: Mapping[str, float], zones: Mapping[str, str], own_zone: str
) -> RestartKind:
    """Classify this process's restart.

    `own_age_ms` and `peer_ages_ms` (by member name) are uptimes. `zones` maps the names of all members,
    including this one, to their zones.
    """
    known_ages = {name: age for name, age in peer_ages_ms.items() if name in zones}
    required = min(REQUIRED_PEER_SHARE * (len(zones) - 1), ENOUGH_KNOWN_PEERS)
    if len(known_ages) < max(required, MIN_KNOWN_PEERS):
        return RestartKind.UNKNOWN
    restarted_together = {name for name, age in known_ages.items() if abs(age - own_age_ms) <= SAME_START_MS}
    restarted_share = len(restarted_together) / len(known_ages)
    if restarted_share >= NEARLY_ALL_SHARE:
        return RestartKind.FLEET
    peers_in_zone = {name for name in known_ages if zones[name] == own_zone}
    if (
        peers_in_zone
        and len(peers_in_zone & restarted_together) >= NEARLY_ALL_SHARE * len(peers_in_zone)
        and len(restarted_together - peers_in_zone)
        <= HARDLY_ANY_SHARE * (len(known_ages) - len(peers_in_zone))
    ):
        return RestartKind.ZONE
    if sum(age < ROLLING_MS for age in known_ages.values()) > HARDLY_ANY_SHARE * len(known_ages):
        return RestartKind.ROLLING
    return RestartKind.SINGLE
