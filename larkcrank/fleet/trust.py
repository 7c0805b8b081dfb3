"""What a member goes by that it did not hear from discovery just now: one row for each kind of state.

`docs/fleet-recovery.md` shows this table; a test holds the two together. Ages are milliseconds: of what was
kept from before a restart, and of what fellows tell. 0: not at all; infinite: as long as it lasts.
"""

import math
from dataclasses import dataclass

MINUTE = 60_000.0
HOUR = 60 * MINUTE
DAY = 24 * HOUR


@dataclass(slots=True, frozen=True)
class Row:
    state: str
    before_ms: float
    fellows_ms: float
    why: str
    wrong: str  # what a wrong one costs


LIST = Row(
    "server list",
    7 * DAY,
    10 * MINUTE,
    "most servers outlive a sidecar; whoever heard discovery last knows best",
    "attempts that find nobody: they never ran, and go on elsewhere",
)
PLACES = Row(
    "places of servers",
    7 * DAY,
    10 * MINUTE,
    "as the list; a fellow's only where `same_places` says so, else only one's own for the same life",
    "an old address may be another server's: it answers as that one, under the wrong name",
)
GONE = Row(
    "drains and ends heard",
    10 * MINUTE,
    10 * MINUTE,
    "the safe direction: within its life a server does not come back",
    "a server that is there gets nothing until discovery's next word or its next start",
)
USUAL = Row(
    "usual answer times",
    DAY,
    0.0,
    "they belong to the servers, not to the moment; others' traffic is another",
    "bounded to 2.5 times the first guess: some answers are overdue too early or late",
)
LIMITS = Row(
    "limits, rests, what is owed",
    0.0,
    0.0,
    "they describe one moment",
    "servers shut for nothing, or a jam believed over",
)
COLD = Row(
    "start times (cold marks)",
    7 * DAY,
    10 * MINUTE,
    "with the list; a server that restarted since tells no older one",
    "a cold server taken for warm until discovery tells: its quota is missing, its answers tell",
)
HOMES = Row(
    "homes of keys",
    math.inf,
    math.inf,
    "computed from names alone, nothing is kept",
    "none",
)
BUDGETS = Row(
    "budgets for repeats",
    0.0,
    0.0,
    "a restart begins with what quiet time would have saved",
    "ten repeats too many a process",
)
VIEW = Row(
    "view of the fleet",
    7 * DAY,
    math.inf,
    "of before only places of fellows, to look for them; who lives is asked",
    "datagrams that nobody answers",
)
INCARNATION = Row(
    "incarnation",
    0.0,
    math.inf,
    "others tell what they hold of the name, and one goes above that",
    "none: a lower one is outranked and told so",
)

TABLE = (LIST, PLACES, GONE, USUAL, LIMITS, COLD, HOMES, BUDGETS, VIEW, INCARNATION)


def shown(age_ms: float) -> str:
    """An age as the page has it."""
    if age_ms in (0.0, math.inf):
        return "no" if not age_ms else "yes"
    return f"{age_ms / DAY:g} d" if age_ms >= DAY else f"{age_ms / MINUTE:g} min"
