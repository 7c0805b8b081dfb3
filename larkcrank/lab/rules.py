"""The rules, checked over the whole fleet after the event, from the ledger alone.

Each breach is named by its rule and by who did what when. `slack_ms` of the scenario is the bench's own: two
ends of one machine are seen one after another by one loop. A process that was killed owes nothing, one that
was stopped owes nothing for what the stop touched: no program could have kept it.
"""

import itertools
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from larkcrank.core.interface import Effect, RequestClass
from larkcrank.lab.ledger import Ask, Attempt, Ledger

GRACE_S = 0.07  # the settings' 20 ms past a deadline, and 50 ms that sockets are given


class Breach(msgspec.Struct, frozen=True):
    rule: str  # lost, late, after, invented, twice, resent, refused, copies, drain, cold, order, malformed
    at: float
    who: str
    text: str


class Spans:
    """For each sidecar, when it could not act: stopped or dead; and when it began anew."""

    def __init__(self, ledger: Ledger) -> None:
        self._spans: dict[int, list[list[float]]] = defaultdict(list)
        self.starts: dict[int, list[float]] = defaultdict(list)
        for event in ledger.events:
            kind, _, number = event.who.partition(" ")
            if kind != "sidecar":
                continue
            sidecar = int(number)
            if event.what in ("stopped", "killed"):
                self._spans[sidecar].append([event.at, float("inf")])
            elif event.what in ("continued", "ready"):
                if self._spans[sidecar] and self._spans[sidecar][-1][1] == float("inf"):
                    self._spans[sidecar][-1][1] = event.at
                if event.what == "ready":
                    self.starts[sidecar].append(event.at)

    def touched(self, sidecar: int, since: float, to: float) -> bool:
        return any(since <= end and begin <= to for begin, end in self._spans[sidecar])

    def acts_from(self, sidecar: int, at: float) -> float:
        """When what came to it at this time can have been read."""
        return max([at, *(end for begin, end in self._spans[sidecar] if begin <= at < end)])


def check(
    ledger: Ledger,
    classes: dict[str, RequestClass],
    grace_s: float,
    slack_s: float,
    only_draining_binds: bool = False,
    quiet_s: float = 0.0,
    second_copies: bool = False,
) -> list[Breach]:
    """Every breach, by time."""
    spans = Spans(ledger)
    asks = {ask.id: ask for ask in ledger.asks}
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(ledger.attempts, key=lambda one: one.entered_at):
        attempts[attempt.request].append(attempt)
    found = [
        *_answers(ledger.asks, attempts, spans, slack_s),
        *_effects(ledger, asks, classes),
        *_attempts(asks, attempts, classes, spans, slack_s, second_copies),
        *_drains(ledger, spans, grace_s + slack_s, only_draining_binds),
        *_order(ledger.asks, attempts, classes, spans, slack_s, quiet_s),
    ]
    for event in ledger.events:
        if event.what == "fell":
            found.append(Breach("cold", event.at, event.who, event.text))
        elif event.what == "malformed":
            found.append(Breach("malformed", event.at, event.who, event.text))
    return sorted(found, key=lambda breach: breach.at)


def _answers(
    asks: Iterable[Ask], attempts: dict[str, list[Attempt]], spans: Spans, slack_s: float
) -> Iterable[Breach]:
    """Rule 1: one final answer in time for each request taken, and nothing sent for it afterwards."""
    for ask in asks:
        if ask.sent_at < 0.0:
            continue
        who, due = f"sidecar {ask.sidecar}", ask.asked_at + ask.deadline + GRACE_S + slack_s
        ended = ask.ended_at if ask.ended_at >= 0.0 else due
        if spans.touched(ask.sidecar, ask.sent_at, max(ended, due)):
            continue
        if not ask.status:
            yield Breach("lost", ended, who, f"{ask.id} ({ask.cls}) got no answer: {ask.why or 'none came'}")
        elif ask.ended_at > due:
            yield Breach("late", ended, who, f"{ask.id} answered {ask.ended_at - due + slack_s:.3f} s late")
        if ask.status == 200 and ask.body != f"did {ask.id}":
            yield Breach("invented", ended, who, f"{ask.id} got an answer that no endpoint made for it")
        for attempt in attempts.get(ask.id, ()):
            if attempt.entered_at > ended + slack_s:
                text = f"{ask.id} sent to {attempt.endpoint} {attempt.entered_at - ended:.3f} s after its end"
                yield Breach("after", attempt.entered_at, who, text)


def _effects(ledger: Ledger, asks: dict[str, Ask], classes: dict[str, RequestClass]) -> Iterable[Breach]:
    """Rule 2: no effect twice, and no refusal of what has had its effect."""
    seen: dict[str, str] = {}
    ran: set[str] = set()
    for effect in ledger.effects:
        ask = asks.get(effect.request)
        if ask is None:
            yield Breach("invented", effect.at, effect.endpoint, f"{effect.request!r} was never asked for")
            continue
        cls = classes[ask.cls]
        ran.add(ask.id)
        if cls.effect is Effect.SAFE:
            continue
        name = effect.key or ask.first
        if name in seen:
            text = f"{ask.id} ({ask.cls}) had its effect at {seen[name]} and at {effect.endpoint}"
            yield Breach("twice", effect.at, f"sidecar {ask.sidecar}", text)
        seen.setdefault(name, effect.endpoint)
    for ask in asks.values():
        if ask.status in (429, 503) and ask.id in ran and classes[ask.cls].effect is Effect.UNSAFE:
            yield Breach("refused", ask.ended_at, f"sidecar {ask.sidecar}", f"{ask.id} was refused and ran")


def _attempts(
    asks: dict[str, Ask],
    attempts: dict[str, list[Attempt]],
    classes: dict[str, RequestClass],
    spans: Spans,
    slack_s: float,
    second_copies: bool,
) -> Iterable[Breach]:
    """Rule 2: nothing unsafe is sent again that may have run; one attempt at a time."""
    for number, several in attempts.items():
        ask = asks.get(number)
        if ask is None or len(several) < 2:
            continue
        who = f"sidecar {ask.sidecar}"
        for first, then in itertools.pairwise(several):
            text = f"{number} ({ask.cls}) sent to {first.endpoint} and to {then.endpoint}"
            if classes[ask.cls].effect is Effect.UNSAFE and first.status != 503 and not ask.resent:
                yield Breach("resent", then.entered_at, who, text)
            over = first.ended_at if first.ended_at >= 0.0 else float("inf")
            early = then.entered_at + slack_s < over and not second_copies and not ask.resent
            if early and not spans.touched(ask.sidecar, first.entered_at, then.entered_at):
                yield Breach("copies", then.entered_at, who, text + " while the first was out")


def _drains(ledger: Ledger, spans: Spans, grace_s: float, only_draining: bool) -> Iterable[Breach]:
    """Rule 3: nothing new to what a sidecar was told drains or is gone, once the grace is over."""
    # For each sidecar and name the times from which it was bound and from which it was free again.
    bound: dict[tuple[int, str], list[tuple[float, bool]]] = defaultdict(list)
    named: dict[int, set[str]] = defaultdict(set)
    for told in sorted(ledger.tolds, key=lambda one: one.at):
        at = spans.acts_from(told.sidecar, told.at)
        states = dict(told.states)
        if told.whole:
            states |= dict.fromkeys(named[told.sidecar] - states.keys(), "Gone")
        for name, state in states.items():
            binds = state == "Terminating" or (state != "Ready" and not only_draining)
            before = bound[told.sidecar, name]
            if state == "Gone" and only_draining and before and before[-1][1]:
                continue
            if not before or before[-1][1] != binds:
                before.append((at, binds))
        named[told.sidecar] |= states.keys()
    for sidecar, starts in spans.starts.items():  # a process that began anew was told nothing yet
        for (one, _), changes in bound.items():
            if one == sidecar:
                changes.extend((start, False) for start in starts)
                changes.sort(key=lambda change: change[0])
    for attempt in ledger.attempts:
        changes = bound.get((attempt.sidecar, attempt.endpoint), [])
        last = [change for change in changes if change[0] <= attempt.entered_at]
        if last and last[-1][1] and attempt.entered_at > last[-1][0] + grace_s:
            text = (
                f"{attempt.request} sent to {attempt.endpoint} {attempt.entered_at - last[-1][0]:.2f} s after"
            )
            yield Breach("drain", attempt.entered_at, f"sidecar {attempt.sidecar}", text + " it was told")


def _order(
    asks: Iterable[Ask],
    attempts: dict[str, list[Attempt]],
    classes: dict[str, RequestClass],
    spans: Spans,
    slack_s: float,
    quiet_s: float,
) -> Iterable[Breach]:
    """Rule 5: requests of a key run one at a time, as they came; the key rests after what may still run."""
    lines: dict[tuple[int, int], list[Ask]] = defaultdict(list)
    for ask in asks:
        if ask.subject and ask.sent_at >= 0.0 and classes[ask.cls].in_turn:
            lines[ask.sidecar, ask.subject].append(ask)
    for (sidecar, subject), line in lines.items():
        line.sort(key=lambda one: one.sent_at)
        for index, ask in enumerate(line):
            for later in line[index + 1 :]:
                if later.sent_at - ask.sent_at < slack_s:
                    continue  # who was taken first can't be told
                free = ask.ended_at if ask.ended_at >= 0.0 else ask.asked_at + ask.deadline
                if later.sent_at > free + slack_s + 10.0:
                    break
                for one in attempts.get(ask.id, ()):
                    rest = 0.0 if one.status else quiet_s
                    free = max(free, (one.ended_at if one.ended_at >= 0.0 else free) + rest)
                for one in attempts.get(later.id, ()):
                    touched = spans.touched(sidecar, ask.sent_at, one.entered_at)
                    if one.entered_at + slack_s < free and not touched:
                        text = f"{later.id} of subject {subject} ran before {ask.id} was over"
                        yield Breach("order", one.entered_at, f"sidecar {sidecar}", text)
