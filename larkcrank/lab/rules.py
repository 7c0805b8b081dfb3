"""Checks the rules for the whole fleet after a run, using only the ledger.

Each breach names its rule, the member that caused it, the time and what happened. The scenario's `slack_ms`
covers the measurement error of the bench: one event loop observes both ends of a connection one after the
other. A sidecar that was killed or stopped is not held to requests that overlap the outage, because no
program could have kept the rule then.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from larkcrank.core.interface import Effect, Group, RequestClass
from larkcrank.lab.ledger import Ask, Attempt, Ledger

DEADLINE_GRACE_S = 0.07  # 20 ms that the settings allow after a deadline, plus 50 ms for the sockets

TOLD_DEADLINE_SLACK_S = 0.15  # by which the deadline told to an endpoint may exceed what the client has left

LATEST_OVERLAP_S = 10.0  # requests that start this long after a request ended are not compared with it


class Breach(msgspec.Struct, frozen=True):
    """One violation of a rule, as it is written to the result file."""

    # One of lost, late, after, invented, twice, resent, refused, copies, group, deadline, budget, drain,
    # cold, order and malformed.
    rule: str
    at: float  # seconds since the start of the load
    who: str  # the sidecar or endpoint, e.g. `sidecar 3`
    text: str


class SidecarOutages:
    """For each sidecar, the intervals in which it was stopped or dead, and when it became ready."""

    def __init__(self, ledger: Ledger) -> None:
        self._outages: dict[int, list[list[float]]] = defaultdict(list)
        self.ready_times: dict[int, list[float]] = defaultdict(list)
        for event in ledger.events:
            member_kind, _, sidecar_number = event.who.partition(" ")
            if member_kind != "sidecar":
                continue
            sidecar = int(sidecar_number)
            if event.what in ("stopped", "killed"):
                self._outages[sidecar].append([event.at, float("inf")])
            elif event.what in ("continued", "ready"):
                if self._outages[sidecar] and self._outages[sidecar][-1][1] == float("inf"):
                    self._outages[sidecar][-1][1] = event.at
                if event.what == "ready":
                    self.ready_times[sidecar].append(event.at)

    def overlaps_outage(self, sidecar: int, start: float, end: float) -> bool:
        """Whether the sidecar was stopped or dead at any moment of the interval."""
        return any(
            start <= outage_end and outage_start <= end for outage_start, outage_end in self._outages[sidecar]
        )

    def earliest_read_time(self, sidecar: int, arrived_at: float) -> float:
        """The earliest time at which the sidecar can have read data that arrived at the given time."""
        return max(
            [
                arrived_at,
                *(
                    outage_end
                    for outage_start, outage_end in self._outages[sidecar]
                    if outage_start <= arrived_at < outage_end
                ),
            ]
        )


def find_breaches(
    ledger: Ledger,
    classes: dict[str, RequestClass],
    grace_s: float,
    slack_s: float,
    terminating_only: bool = False,
    unanswered_hold_s: float = 0.0,
    allow_second_copies: bool = False,
    max_attempts: float = math.inf,
) -> list[Breach]:
    """Returns every breach, ordered by time.

    `grace_s`: how long a sidecar may still send to an endpoint after it was told that the endpoint drains.
    `slack_s`: the measurement error of the bench. `terminating_only`: the drain rule applies only to the
    state `Terminating`. `unanswered_hold_s`: how long an ordering key stays blocked after an
    attempt without an answer. `allow_second_copies`: a request may have two attempts in flight.
    `max_attempts`: how many attempts a request may have.
    """
    outages = SidecarOutages(ledger)
    asks_by_id = {ask.id: ask for ask in ledger.asks}
    attempts_by_request: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(ledger.attempts, key=lambda one: one.entered_at):
        attempts_by_request[attempt.request].append(attempt)
    breaches = [
        *_answer_breaches(ledger.asks, attempts_by_request, outages, slack_s),
        *_effect_breaches(ledger, asks_by_id, classes),
        *_attempt_breaches(asks_by_id, attempts_by_request, classes, outages, slack_s, allow_second_copies),
        *_keyed_breaches(asks_by_id, attempts_by_request, classes, slack_s),
        *_deadline_breaches(asks_by_id, attempts_by_request, outages, slack_s),
        *_budget_breaches(asks_by_id, attempts_by_request, max_attempts),
        *_drain_breaches(ledger, outages, grace_s + slack_s, terminating_only),
        *_order_breaches(ledger.asks, attempts_by_request, classes, outages, slack_s, unanswered_hold_s),
    ]
    for event in ledger.events:
        if event.what == "fell":
            breaches.append(Breach("cold", event.at, event.who, event.text))
        elif event.what == "malformed":
            breaches.append(Breach("malformed", event.at, event.who, event.text))
    return sorted(breaches, key=lambda breach: breach.at)


def _answer_breaches(
    asks: Iterable[Ask],
    attempts_by_request: dict[str, list[Attempt]],
    outages: SidecarOutages,
    slack_s: float,
) -> Iterable[Breach]:
    """Rule 1: each accepted request gets one final answer in time, and no attempt starts after it."""
    for ask in asks:
        if ask.sent_at < 0.0:
            continue
        sidecar, latest_end = (
            f"sidecar {ask.sidecar}",
            ask.asked_at + ask.deadline + DEADLINE_GRACE_S + slack_s,
        )
        ended_at = ask.ended_at if ask.ended_at >= 0.0 else latest_end
        if outages.overlaps_outage(ask.sidecar, ask.sent_at, max(ended_at, latest_end)):
            continue
        if not ask.status:
            yield Breach(
                "lost",
                ended_at,
                sidecar,
                f"{ask.id} ({ask.cls}) got no answer: {ask.why or 'no reason recorded'}",
            )
        elif ask.ended_at > latest_end:
            yield Breach(
                "late",
                ended_at,
                sidecar,
                f"{ask.id} answered {ask.ended_at - latest_end + slack_s:.3f} s late",
            )
        if ask.status == 200 and ask.body != f"did {ask.id}":
            yield Breach(
                "invented", ended_at, sidecar, f"{ask.id} got an answer that no endpoint produced for it"
            )
        for attempt in attempts_by_request.get(ask.id, ()):
            if attempt.entered_at > ended_at + slack_s:
                description = (
                    f"{ask.id} sent to {attempt.endpoint} "
                    f"{attempt.entered_at - ended_at:.3f} s after its answer"
                )
                yield Breach("after", attempt.entered_at, sidecar, description)


def _effect_breaches(
    ledger: Ledger, asks_by_id: dict[str, Ask], classes: dict[str, RequestClass]
) -> Iterable[Breach]:
    """Rule 2: no effect happens twice, and no unsafe request is refused after it had its effect."""
    effect_at: dict[str, str] = {}  # endpoint by idempotency key, or by the id of the first try
    executed_ids: set[str] = set()
    for effect in ledger.effects:
        ask = asks_by_id.get(effect.request)
        if ask is None:
            yield Breach("invented", effect.at, effect.endpoint, f"{effect.request!r} was sent by no client")
            continue
        request_class = classes[ask.cls]
        executed_ids.add(ask.id)
        if request_class.effect is Effect.SAFE:
            continue
        operation = effect.key or ask.first
        if operation in effect_at:
            description = (
                f"{ask.id} ({ask.cls}) had its effect at {effect_at[operation]} and at {effect.endpoint}"
            )
            yield Breach("twice", effect.at, f"sidecar {ask.sidecar}", description)
        effect_at.setdefault(operation, effect.endpoint)
    for ask in asks_by_id.values():
        request_class = classes[ask.cls]
        must_not_be_refused = request_class.effect is Effect.UNSAFE or (
            request_class.effect is Effect.KEYED and request_class.group is not Group.ALL
        )
        if ask.status in (429, 503) and ask.id in executed_ids and must_not_be_refused:
            yield Breach(
                "refused", ask.ended_at, f"sidecar {ask.sidecar}", f"{ask.id} was refused although it had run"
            )


def _attempt_breaches(
    asks_by_id: dict[str, Ask],
    attempts_by_request: dict[str, list[Attempt]],
    classes: dict[str, RequestClass],
    outages: SidecarOutages,
    slack_s: float,
    allow_second_copies: bool,
) -> Iterable[Breach]:
    """Rule 2: an unsafe request that may have run is not sent again, and attempts do not overlap."""
    for request_id, request_attempts in attempts_by_request.items():
        ask = asks_by_id.get(request_id)
        if ask is None or len(request_attempts) < 2:
            continue
        sidecar = f"sidecar {ask.sidecar}"
        for previous, following in itertools.pairwise(request_attempts):
            description = f"{request_id} ({ask.cls}) sent to {previous.endpoint} and to {following.endpoint}"
            if classes[ask.cls].effect is Effect.UNSAFE and previous.status != 503 and not ask.resent:
                yield Breach("resent", following.entered_at, sidecar, description)
            previous_end = previous.ended_at if previous.ended_at >= 0.0 else float("inf")
            overlaps = (
                following.entered_at + slack_s < previous_end and not allow_second_copies and not ask.resent
            )
            if overlaps and not outages.overlaps_outage(
                ask.sidecar, previous.entered_at, following.entered_at
            ):
                yield Breach(
                    "copies",
                    following.entered_at,
                    sidecar,
                    description + " while the first attempt was in flight",
                )


def _keyed_breaches(
    asks_by_id: dict[str, Ask],
    attempts_by_request: dict[str, list[Attempt]],
    classes: dict[str, RequestClass],
    slack_s: float,
) -> Iterable[Breach]:
    """Rule 2: a keyed request that may have run is sent again only within its group and its window."""
    for request_id, request_attempts in attempts_by_request.items():
        ask = asks_by_id.get(request_id)
        if ask is None or classes[ask.cls].effect is not Effect.KEYED or ask.resent:
            continue
        window_s = classes[ask.cls].window_ms / 1000.0 + slack_s
        first_possible_run: Attempt | None = None
        for attempt in request_attempts:
            if first_possible_run is not None and (
                attempt.group != first_possible_run.group
                or attempt.entered_at > first_possible_run.entered_at + window_s
            ):
                description = f"{request_id} ({ask.cls}) sent to {first_possible_run.endpoint}, then outside"
                yield Breach(
                    "group",
                    attempt.entered_at,
                    f"sidecar {ask.sidecar}",
                    f"{description} its group or window to {attempt.endpoint}",
                )
            if attempt.status != 503 and first_possible_run is None:
                first_possible_run = attempt


def _deadline_breaches(
    asks_by_id: dict[str, Ask],
    attempts_by_request: dict[str, list[Attempt]],
    outages: SidecarOutages,
    slack_s: float,
) -> Iterable[Breach]:
    """Rule 1: an endpoint is told no later deadline than the client's."""
    for request_id, request_attempts in attempts_by_request.items():
        ask = asks_by_id.get(request_id)
        for attempt in request_attempts if ask is not None and not ask.resent else ():
            assert ask is not None
            left_s = ask.asked_at + ask.deadline - attempt.entered_at
            allowed_s = max(left_s, 0.0) + TOLD_DEADLINE_SLACK_S + slack_s
            if attempt.entered_late:
                continue
            if attempt.told_s > allowed_s and not outages.overlaps_outage(
                ask.sidecar, ask.sent_at, attempt.entered_at
            ):
                yield Breach(
                    "deadline",
                    attempt.entered_at,
                    f"sidecar {ask.sidecar}",
                    f"{request_id} had {left_s:.3f} s left, {attempt.endpoint} was told {attempt.told_s:.3f}",
                )


def _budget_breaches(
    asks_by_id: dict[str, Ask], attempts_by_request: dict[str, list[Attempt]], max_attempts: float
) -> Iterable[Breach]:
    """Rule 6: a request has no more attempts than the settings allow."""
    for request_id, request_attempts in attempts_by_request.items():
        ask = asks_by_id.get(request_id)
        if ask is not None and not ask.resent and len(request_attempts) > max_attempts:
            yield Breach(
                "budget",
                request_attempts[-1].entered_at,
                f"sidecar {ask.sidecar}",
                f"{request_id} had {len(request_attempts)} attempts",
            )


def _drain_breaches(
    ledger: Ledger, outages: SidecarOutages, grace_s: float, terminating_only: bool
) -> Iterable[Breach]:
    """Rule 3: after the grace period, a sidecar starts no attempt at an endpoint that drains or is gone."""
    # By sidecar and endpoint: the times at which new attempts became forbidden (True) or allowed (False).
    block_changes: dict[tuple[int, str], list[tuple[float, bool]]] = defaultdict(list)
    known_names: dict[int, set[str]] = defaultdict(set)
    for update in sorted(ledger.tolds, key=lambda told: told.at):
        read_at = outages.earliest_read_time(update.sidecar, update.at)
        states = dict(update.states)
        if update.whole:
            states |= dict.fromkeys(known_names[update.sidecar] - states.keys(), "Gone")
        for endpoint, state in states.items():
            is_blocked = state == "Terminating" or (state != "Ready" and not terminating_only)
            history = block_changes[update.sidecar, endpoint]
            if state == "Gone" and terminating_only and history and history[-1][1]:
                continue
            if not history or history[-1][1] != is_blocked:
                history.append((read_at, is_blocked))
        known_names[update.sidecar] |= states.keys()
    # A restarted process has not received any list yet.
    for sidecar, ready_times in outages.ready_times.items():
        for (told_sidecar, _), changes in block_changes.items():
            if told_sidecar == sidecar:
                changes.extend((ready_at, False) for ready_at in ready_times)
                changes.sort(key=lambda change: change[0])
    for attempt in ledger.attempts:
        changes = block_changes.get((attempt.sidecar, attempt.endpoint), [])
        past_changes = [change for change in changes if change[0] <= attempt.entered_at]
        if past_changes and past_changes[-1][1] and attempt.entered_at > past_changes[-1][0] + grace_s:
            description = (
                f"{attempt.request} sent to {attempt.endpoint} "
                f"{attempt.entered_at - past_changes[-1][0]:.2f} s after it"
            )
            yield Breach(
                "drain", attempt.entered_at, f"sidecar {attempt.sidecar}", description + " was told not to"
            )


def _order_breaches(
    asks: Iterable[Ask],
    attempts_by_request: dict[str, list[Attempt]],
    classes: dict[str, RequestClass],
    outages: SidecarOutages,
    slack_s: float,
    unanswered_hold_s: float,
) -> Iterable[Breach]:
    """Rule 5: requests with the same ordering key run one at a time, in the order of their arrival.

    After an attempt without an answer, which may still run, the key stays blocked for `unanswered_hold_s`.
    """
    requests_by_key: dict[tuple[int, int], list[Ask]] = defaultdict(list)
    for earlier in asks:
        if earlier.subject and earlier.sent_at >= 0.0 and classes[earlier.cls].in_turn:
            requests_by_key[earlier.sidecar, earlier.subject].append(earlier)
    for (sidecar, subject), key_requests in requests_by_key.items():
        key_requests.sort(key=lambda attempt: attempt.sent_at)
        for index, earlier in enumerate(key_requests):
            for later in key_requests[index + 1 :]:
                if later.sent_at - earlier.sent_at < slack_s:
                    continue  # the order in which the sidecar accepted them cannot be determined
                key_free_at = (
                    earlier.ended_at if earlier.ended_at >= 0.0 else earlier.asked_at + earlier.deadline
                )
                if later.sent_at > key_free_at + slack_s + LATEST_OVERLAP_S:
                    break
                for attempt in attempts_by_request.get(earlier.id, ()):
                    hold_s = 0.0 if attempt.status else unanswered_hold_s
                    key_free_at = max(
                        key_free_at, (attempt.ended_at if attempt.ended_at >= 0.0 else key_free_at) + hold_s
                    )
                for attempt in attempts_by_request.get(later.id, ()):
                    during_outage = outages.overlaps_outage(sidecar, earlier.sent_at, attempt.entered_at)
                    if attempt.entered_at + slack_s < key_free_at and not during_outage:
                        description = f"{later.id} of subject {subject} ran before {earlier.id} had ended"
                        yield Breach("order", attempt.entered_at, f"sidecar {sidecar}", description)
