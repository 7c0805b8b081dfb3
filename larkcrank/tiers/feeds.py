"""What a tier hears: its discoveries, tiers below by their `own` doors, and one of the tiers above."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import TypeAlias

from larkcrank.protocol.discovery import LIST_TARGET, watch_target
from larkcrank.routing.places import AddressFailover
from larkcrank.tiers import wire
from larkcrank.tiers.asking import Asker, AskError
from larkcrank.tiers.config import Settings
from larkcrank.tiers.state import COUNTER_BITS

Place = tuple[str, int]
Answer: TypeAlias = wire.FromDiscovery | wire.FromTier


class Feed:
    """Asks one service, at one of its places at a time, and hands each answer on.

    A call that fails changes nothing of what is held; after it the next place is asked, or the same again.
    """

    def __init__(
        self,
        name: str,
        places: Sequence[Place],
        read: Callable[[bytes], Answer],
        take: Callable[["Feed", Place, Answer], None],
        lines: Callable[["Feed", Place | None], Sequence[bytes]],
        settings: Settings,
        rng: Random,
        event: Callable[..., None],
    ) -> None:
        """`read` raises `AnswerError`, as `take` does for an answer that must not be taken in; `lines`:
        header lines of a call at this place, None for one beside the watch."""
        self.name = name
        self._read, self._take, self._lines, self._event = read, take, lines, event
        self._settings = settings
        self.places = AddressFailover(
            places,
            rng,
            settings.spread_ms / 1000.0,
            (settings.back_min_ms / 1000.0, settings.back_max_ms / 1000.0),
            settings.again_max_ms / 1000.0,
        )
        self._askers = {
            place: Asker(place, settings.connect_ms / 1000.0, settings.answer_bytes) for place in places
        }
        self._after: dict[Place, int] = {}  # each place counts by itself
        self._only = len(places) == 1
        self._trouble: dict[Place, str] = {}
        self._rng = rng
        self._place_stale: dict[Place, bool] = {}  # of those that have answered
        self._restless_at: float | None = None  # while the current place is stale: when to look elsewhere
        self._turn = 0
        self._probe: asyncio.Task[None] | None = None
        self._probed: Place | None = None  # where it asks
        self._check: asyncio.Task[None] | None = None
        self._beside: tuple[Place, Asker] | None = None  # for calls while the watch waits
        self._bytes = (0, 0)  # out and in, of those that were closed
        self._last: Place | None = None  # that answered
        self.is_tier: bool | None = None  # None: it has not answered yet
        self.heard_at: float | None = None  # when it last told everything it had
        self.answered_at: float | None = None  # when it last told anything
        self.excused = False  # not waited for at the start
        self.may_be_empty = False  # a whole answer without a living line is believed
        self.calls = self.failures = self.wholes = 0

    def heard(self, all_it_had: bool = True) -> None:
        self.answered_at = asyncio.get_running_loop().time()
        if all_it_had:
            self.heard_at = self.answered_at

    @property
    def bytes(self) -> tuple[int, int]:
        """Sent and received."""
        askers = [*self._askers.values(), *([self._beside[1]] if self._beside is not None else [])]
        sent = self._bytes[0] + sum(asker.sent for asker in askers)
        return sent, self._bytes[1] + sum(asker.received for asker in askers)

    @property
    def place(self) -> str:
        return "{}:{}".format(*self.places.current)

    @property
    def stale(self) -> bool:
        """The current place hears nothing from above itself."""
        return self._place_stale.get(self.places.current, False)

    @property
    def generation(self) -> int | None:
        """Of the current place, as last told."""
        return self._after.get(self.places.current)

    @property
    def trouble(self) -> str:
        """Why the last call at the current place failed; empty: it did not."""
        return self._trouble.get(self.places.current, "")

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                better = self._better(loop.time())
                if self._probe is None and better is not None:
                    self._probe = loop.create_task(self._look(better))
                    self._probed = better
                place = self.places.current
                if self._probe is not None and self._probed == place:
                    # One connection a place: the look makes way for the watch that has come there.
                    self._probe.cancel()
                    await asyncio.gather(self._probe, return_exceptions=True)
                    self._probe = None
                good = await self._ask(place)
                if place != self.places.current:
                    continue  # back at home meanwhile
                if good:
                    self.places.record_success()
                    if self._last not in (None, place):
                        self._event("tier_moved", feed=self.name, place="{}:{}".format(*place))
                    self._last = place
                else:
                    await asyncio.sleep(self.places.record_failure(loop.time()))
        finally:
            for task in (self._probe, self._check):
                if task is not None:
                    task.cancel()
            for asker in (*self._askers.values(), *([self._beside[1]] if self._beside is not None else ())):
                asker.close()

    def _better(self, now: float) -> Place | None:
        """Where to look, beside the watch: home after a while; elsewhere where the current is stale."""
        if self.places.should_check_primary(now):
            return self.places.primary
        if not self.stale or self._only:
            self._restless_at = None
            return None
        if self._restless_at is None:
            self._restless_at = now + self._rng.uniform(0.0, self._settings.spread_ms / 1000.0)
        if now < self._restless_at:
            return None
        others = self.places.other_addresses()
        place = self.places.primary if self.places.on_fallback else others[self._turn % len(others)]
        self._turn += 1
        # Who was heard before tells but what is new; of another it would be the whole list each time.
        span = (
            (1000.0, 3000.0)
            if place in self._after
            else (self._settings.back_min_ms, self._settings.back_max_ms)
        )
        self._restless_at = now + self._rng.uniform(*span) / 1000.0
        return place

    async def _look(self, place: Place) -> None:
        """Ask there beside the watch at the current place, and go there if it is the better one."""
        now = asyncio.get_running_loop().time()
        stale = self.stale
        good = await self._ask(place, wait_ms=1)  # what the watch elsewhere still tells is taken in as well
        if good and (not self._place_stale.get(place) or (place == self.places.primary and not stale)):
            self.places.switch_to(place, now)
        elif place == self.places.primary:
            self.places.record_primary_check(now, False)
        self._probe = None

    def check(self) -> None:
        """Ask at the current place what it has to tell by now, beside the watch; one such call at a time.

        A tier alone: its answers may come in any order. The next answer of a discovery comes soon enough.
        """
        if self.is_tier and (self._check is None or self._check.done()):
            self._check = asyncio.get_running_loop().create_task(self._check_once())

    async def _check_once(self) -> None:
        place = self.places.current
        after = self._after.get(place)
        if after is None:
            return
        if self._beside is None or self._beside[0] != place:
            if self._beside is not None:
                gone = self._beside[1]
                self._bytes = (self._bytes[0] + gone.sent, self._bytes[1] + gone.received)
                gone.close()
                self._beside = None
            asker = Asker(place, self._settings.connect_ms / 1000.0, self._settings.answer_bytes)
            self._beside = (place, asker)
        self.calls += 1
        try:
            timeout_s = self._settings.slack_ms / 1000.0
            target = watch_target(after, 1)
            answer = self._read(await self._beside[1].ask(target, timeout_s, self._lines(self, None)))
            self._answered(answer, after)
            self._take(self, place, answer)
        except (AskError, wire.AnswerError):
            self.failures += 1  # the watch goes on, and says more if this was no chance

    async def _ask(self, place: Place, wait_ms: int | None = None) -> bool:
        after, settings = self._after.get(place), self._settings
        target, timeout_ms = LIST_TARGET, settings.whole_ms
        if after is not None:
            wait_ms = wait_ms or settings.wait_ms
            target, timeout_ms = watch_target(after, wait_ms), wait_ms + settings.slack_ms
        self.calls += 1
        self.wholes += after is None
        try:
            lines = self._lines(self, place)
            body = await self._askers[place].ask(target, timeout_ms / 1000.0, lines, bool(self.is_tier))
            answer = self._read(body)
            self._answered(answer, after)
            self._take(self, place, answer)
        except (AskError, wire.AnswerError) as error:
            self.failures += 1
            # The whole is asked for next where changes may be unable to be told, and of a discovery after any
            # failure: it may count anew, and come to the same generation with another list.
            if isinstance(error, wire.AnswerError) or error.refused or not self.is_tier:
                self._after.pop(place, None)
            self._failed(place, str(error))
            return False
        self._after[place] = answer.generation
        self._place_stale[place] = isinstance(answer, wire.FromTier) and answer.stale
        if self._trouble.pop(place, None) is not None:
            self._event("tier_call_good", feed=self.name, place="{}:{}".format(*place))
        return not (isinstance(answer, wire.FromTier) and answer.provisional) or self._only

    def _answered(self, answer: Answer, after: int | None) -> None:
        is_tier = isinstance(answer, wire.FromTier)
        if self.is_tier is None:
            self.is_tier = is_tier
        elif self.is_tier is not is_tier:
            raise wire.AnswerError("foreign: " + ("a tier's" if is_tier else "no tier's") + " answer")
        if after is None:
            answer.whole = True
        elif not answer.whole:
            shift = COUNTER_BITS if is_tier else 63
            if answer.generation < after or answer.generation >> shift != after >> shift:
                raise wire.AnswerError(f"foreign: generation {answer.generation} after {after}")

    def _failed(self, place: Place, reason: str) -> None:
        if self._trouble.get(place) != reason:
            self._trouble[place] = reason
            self._event("tier_call_failed", feed=self.name, place="{}:{}".format(*place), reason=reason)
