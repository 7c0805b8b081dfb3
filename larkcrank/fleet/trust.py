"""Age limits for state from before a restart and for state from peers, with one rule per kind of state.

docs/fleet-recovery.md contains these rules as a table; a test compares the two. Ages are in milliseconds.
0: such state is not used; infinite: there is no limit.
"""

import math
from dataclasses import dataclass

MINUTE_MS = 60_000.0
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


@dataclass(slots=True, frozen=True)
class TrustRule:
    """A row of the table in docs/fleet-recovery.md, which contains the texts word for word."""

    state: str  # kind of state
    restart_max_age_ms: float  # limit for state from before a restart
    peer_max_age_ms: float  # limit for state from peers
    reason: str  # why the limits are as they are
    cost_of_error: str  # what happens if the state is wrong


SERVER_LIST = TrustRule(
    "server list",
    7 * DAY_MS,
    10 * MINUTE_MS,
    "most servers outlive a sidecar; whoever heard discovery last knows best",
    "attempts that find nobody: they never ran, and go on elsewhere",
)
SERVER_ADDRESSES = TrustRule(
    "places of servers",
    7 * DAY_MS,
    10 * MINUTE_MS,
    "as the list; a fellow's only where `same_places` says so, else only one's own for the same life",
    "an old address may be another server's: it answers as that one, under the wrong name",
)
DEPARTED_SERVERS = TrustRule(
    "drains and ends heard",
    10 * MINUTE_MS,
    10 * MINUTE_MS,
    "the safe direction: within its life a server does not come back",
    "a server that is there gets nothing until discovery's next word or its next start",
)
USUAL_RESPONSE_TIMES = TrustRule(
    "usual answer times",
    DAY_MS,
    0.0,
    "they belong to the servers, not to the moment; others' traffic is another",
    "bounded to 2.5 times the first guess: some answers are overdue too early or late",
)
SERVER_LIMITS = TrustRule(
    "limits, rests, what is owed",
    0.0,
    0.0,
    "they describe one moment",
    "servers shut for nothing, or a jam believed over",
)
SERVER_START_TIMES = TrustRule(
    "start times (cold marks)",
    7 * DAY_MS,
    10 * MINUTE_MS,
    "with the list; a server that restarted since tells no older one",
    "a cold server taken for warm until discovery tells: its quota is missing, its answers tell",
)
KEY_ASSIGNMENTS = TrustRule(
    "homes of keys",
    math.inf,
    math.inf,
    "computed from names alone, nothing is kept",
    "none",
)
RETRY_BUDGETS = TrustRule(
    "budgets for repeats",
    0.0,
    0.0,
    "a restart begins with what quiet time would have saved",
    "ten repeats too many a process",
)
FLEET_VIEW = TrustRule(
    "view of the fleet",
    7 * DAY_MS,
    math.inf,
    "of before only places of fellows, to look for them; who lives is asked",
    "datagrams that nobody answers",
)
INCARNATION = TrustRule(
    "incarnation",
    0.0,
    math.inf,
    "others tell what they hold of the name, and one goes above that",
    "none: a lower one is outranked and told so",
)

TRUST_RULES = (
    SERVER_LIST,
    SERVER_ADDRESSES,
    DEPARTED_SERVERS,
    USUAL_RESPONSE_TIMES,
    SERVER_LIMITS,
    SERVER_START_TIMES,
    KEY_ASSIGNMENTS,
    RETRY_BUDGETS,
    FLEET_VIEW,
    INCARNATION,
)


def format_age(age_ms: float) -> str:
    """Return an age limit as the table of docs/fleet-recovery.md has it; "no": not used, "yes": no limit."""
    if age_ms in (0.0, math.inf):
        return "no" if not age_ms else "yes"
    return f"{age_ms / DAY_MS:g} d" if age_ms >= DAY_MS else f"{age_ms / MINUTE_MS:g} min"
