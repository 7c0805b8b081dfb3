"""Which restart was it: this process alone, one after another, a zone, everyone? From the fellows' ages.

No I/O. Only ages travel, so no clocks have to agree. What follows from the answer, and why a wrong one is
harmless, is in docs/fleet-recovery.md.
"""

from collections.abc import Mapping
from enum import Enum

TOGETHER_MS = 30_000.0  # processes that began within so long of each other began together
ROLLING_MS = 600_000.0  # a rolling restart goes on for so long
MOST = 0.9  # of those asked: "all"
FEW = 0.2  # "hardly any"
ASKED_LEAST = 2  # fewer say nothing
ASKED_SHARE = 0.5  # of the members known, or fewer than these have answered yet ...
ASKED_ENOUGH = 12  # ... but so many, by chance, tell enough of any fleet


class Restart(Enum):
    UNKNOWN = "unknown"
    ALONE = "this one alone"
    ROLLING = "one after another"
    ZONE = "this zone"
    EVERYONE = "everyone"


def which(mine_ms: float, others: Mapping[str, float], zones: Mapping[str, str], zone: str) -> Restart:
    """From this process's age and the fellows' (ms), all members' zones by name, and this one's zone."""
    known = {name: age for name, age in others.items() if name in zones}
    wanted = min(ASKED_SHARE * (len(zones) - 1), ASKED_ENOUGH)
    if len(known) < max(wanted, ASKED_LEAST):
        return Restart.UNKNOWN
    together = {name for name, age in known.items() if abs(age - mine_ms) <= TOGETHER_MS}
    share = len(together) / len(known)
    if share >= MOST:
        return Restart.EVERYONE
    here = {name for name in known if zones[name] == zone}
    if (
        here
        and len(here & together) >= MOST * len(here)
        and len(together - here) <= FEW * (len(known) - len(here))
    ):
        return Restart.ZONE
    if sum(age < ROLLING_MS for age in known.values()) > FEW * len(known):
        return Restart.ROLLING
    return Restart.ALONE
