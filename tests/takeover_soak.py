"""Random mixtures of endpoints replaced at the same host and port, drains and upgrades, on real processes.

`python -m tests.takeover_soak FIRST COUNT [AT_ONCE]` plays so many seeds and prints what each one broke.
"""

import asyncio
import contextlib
import math
import random
import sys
import time
from dataclasses import dataclass, field

from tests import bed as b
from tests import upgrade_bed
from tests.takeover_bed import OldEntry

PLACES = 4
ACTIONS = 10
ACTION_PAUSE_S = (0.1, 0.7)
LINGER_S = (0.3, 1.5)  # a drained endpoint goes on listening for so long after the grace
UPGRADE_SHARE = 0.15
DRAIN_SHARE = 0.5
FAILURE_SHARE = 0.2
CLOCK_STEP_MS = 3_600_000.0
USED_WITHIN_S = 2.0
TOLD_S = 0.05  # a process that was told lives on for so long: "each time limit is 50 ms longer"


@dataclass
class Outcome:
    """What one seed broke, and how much it did."""

    seed: int
    text: str
    late: dict[str, int] = field(default_factory=dict)  # requests after the grace, by drained endpoint
    unused: list[str] = field(default_factory=list)  # ready endpoints that get nothing at the end
    drains: int = 0
    replacements: int = 0
    upgrades: int = 0
    answered: int = 0

    @property
    def is_broken(self) -> bool:
        return bool(self.late or self.unused)

    def __str__(self) -> str:
        verdict = f"BROKEN late {self.late} unused {self.unused}" if self.is_broken else "held"
        return (
            f"seed {self.seed} ({self.text}): {verdict}; {self.replacements} replacements, "
            f"{self.drains} drains, {self.upgrades} upgrades, {self.answered} answers"
        )


class Play:
    """One mixture. At each host and port one endpoint runs at a time; its old ids may stay in the list."""

    def __init__(self, running: upgrade_bed.Bed, rng: random.Random, outcome: Outcome) -> None:
        self._running, self._rng, self._outcome = running, rng, outcome
        self._discovery = running.discovery
        self._current = {endpoint.port: endpoint for endpoint in running.endpoints}
        self._old_names: list[str] = []  # of ended endpoints that are still listed
        self._drained_at: dict[str, float] = {}
        self._started_count = len(running.endpoints)
        self._tasks: list[asyncio.Task[None]] = []
        # What is written to a process that was killed tells nobody: telling and killing exclude each other.
        self._telling = asyncio.Lock()

    async def run(self) -> None:
        for _ in range(ACTIONS):
            await asyncio.sleep(self._rng.uniform(*ACTION_PAUSE_S))
            is_failing = self._rng.random() < FAILURE_SHARE
            self._discovery.failure = self._rng.choice(list(upgrade_bed.Failure)) if is_failing else None
            if self._rng.random() < UPGRADE_SHARE:
                await self._upgrade()
                continue
            ready = [end for end in self._current.values() if end.name not in self._drained_at]
            if len(ready) > PLACES // 2 and self._rng.random() < DRAIN_SHARE:
                await self._drain(self._rng.choice(ready))
            elif ready:
                await self._replace(self._rng.choice(ready))
        await asyncio.wait(self._tasks or [asyncio.create_task(asyncio.sleep(0.0))])
        await self._check_use()
        for name, told_at in self._drained_at.items():
            if late := self._running.late_arrivals(name, told_at):
                self._outcome.late[name] = len(late)

    async def _watching(self) -> list[int]:
        async with asyncio.timeout(15.0):
            while not (watches := self._discovery.watching()):
                self._discovery.failure = None
                await asyncio.sleep(0.02)
        return watches

    async def _tell(self, *names: str, is_whole: bool = False) -> float:
        """Tell one process, which has to tell the others. Return when it was told."""
        async with self._telling:
            watch = self._rng.choice(await self._watching())
            if is_whole:
                self._discovery.tell_whole_list(watch)
            else:
                self._discovery.tell(watch, *names)
            told_at = time.monotonic()
            await asyncio.sleep(TOLD_S)
            return told_at

    async def _upgrade(self) -> None:
        """Start a successor and end the process before it."""
        self._discovery.failure = None
        old = self._running.processes[-1]
        await self._running.start_process()
        self._outcome.upgrades += 1
        await asyncio.sleep(self._rng.uniform(0.1, 0.8))
        self._tasks.append(asyncio.create_task(self._end_process(old)))

    async def _end_process(self, process: asyncio.subprocess.Process) -> None:
        process.terminate()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(upgrade_bed.KILL_AFTER_S):
                await process.wait()
                return
        async with self._telling:
            watches = len(self._discovery.watching())
            process.kill()
            await process.wait()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TOLD_S):
                    await b.until(lambda: len(self._discovery.watching()) < watches)

    async def _drain(self, endpoint: b.Endpoint) -> None:
        await self._watching()
        self._outcome.drains += 1
        self._discovery.change(endpoint.name, "Terminating")
        self._drained_at[endpoint.name] = math.inf  # being told
        self._drained_at[endpoint.name] = await self._tell(endpoint.name)
        self._tasks.append(asyncio.create_task(self._end_drained(endpoint)))

    async def _end_drained(self, endpoint: b.Endpoint) -> None:
        """Let a drained endpoint linger, in the list or out of it, and replace it."""
        await asyncio.sleep(upgrade_bed.GRACE_S / 2)
        if self._rng.random() < 0.5:
            self._discovery.change(endpoint.name, "Gone")
            await self._tell(endpoint.name)
            del self._discovery.entries[endpoint.name]
        await asyncio.sleep(upgrade_bed.GRACE_S / 2 + self._rng.uniform(*LINGER_S))
        await self._replace(endpoint)

    async def _replace(self, old: b.Endpoint) -> None:
        """End an endpoint and start one at its host and port, and tell of both."""
        await self._watching()
        self._outcome.replacements += 1
        await old.stop()
        new = b.Endpoint(f"n-{self._started_count}", self._running.serve)
        self._started_count += 1
        step_ms = self._rng.choice((0.0, 0.0, 0.0, -CLOCK_STEP_MS))
        new.port, new.started_at_ms = old.port, self._rng.choice((0.0, time.time() * 1000.0 + step_ms))
        await new.start()
        self._current[new.port] = new
        self._running.endpoints.append(new)
        self._discovery.generation += 1
        self._discovery.entries[new.name] = new.list_entry()
        entries = self._discovery.entries
        old_entry = self._rng.choice(list(OldEntry))
        if old.name not in entries:
            await self._tell(new.name)
        elif old_entry is OldEntry.LEFT_OUT:
            del entries[old.name]
            await self._tell(is_whole=True)
        elif old_entry is OldEntry.GONE:
            entries[old.name] |= {"lifecycle": "Gone"}
            await self._tell(old.name, new.name)
            del entries[old.name]
        else:
            await self._tell(new.name)
            self._old_names.append(old.name)

    async def _check_use(self) -> None:
        """Take the ended endpoints out of the list. Then each ready one gets requests, whatever was told."""
        for name in self._old_names:
            self._discovery.entries.pop(name, None)
        self._discovery.generation += 1
        await self._tell(is_whole=True)
        begun_at = time.monotonic()
        ready = {end.name for end in self._current.values() if end.name not in self._drained_at}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(USED_WITHIN_S + upgrade_bed.GRACE_S):
                await b.until(lambda: ready <= self._used_since(begun_at))
        self._outcome.unused = sorted(ready - self._used_since(begun_at))

    def _used_since(self, begun_at: float) -> set[str]:
        return {name for name, at in self._running.arrivals if at > begun_at}


async def play(seed: int) -> Outcome:
    """Play one mixture."""
    rng = random.Random(seed)
    only_draining_binds = rng.random() < 0.5
    contract = {"only-draining-binds": only_draining_binds, "warm-after-ms": rng.choice((0.0, 3000.0))}
    outcome = Outcome(seed, "only draining binds" if only_draining_binds else "gone binds, too")
    async with upgrade_bed.bed(PLACES, **contract) as running:
        await Play(running, rng, outcome).run()
        outcome.answered = running.answered
    return outcome


async def play_all(first_seed: int, count: int, at_once: int) -> list[Outcome]:
    """Play so many seeds, some at the same time, and print each outcome."""
    slots = asyncio.Semaphore(at_once)

    async def play_in_turn(seed: int) -> Outcome:
        async with slots:
            outcome = await play(seed)
        print(outcome, flush=True)
        return outcome

    return list(await asyncio.gather(*(play_in_turn(first_seed + index) for index in range(count))))


async def main() -> None:
    first, count, at_once = (*map(int, sys.argv[1:4]), 1)[:3]
    outcomes = await play_all(first, count, at_once)
    broken = sum(outcome.is_broken for outcome in outcomes)
    print(f"{broken} of {len(outcomes)} seeds broke a rule")
    sys.exit(bool(broken))


if __name__ == "__main__":
    asyncio.run(main())
