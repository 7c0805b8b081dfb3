"""Random mixtures of hostile clients, with signals and restarts, beside honest clients.

`python -m tests.hostile_soak FIRST COUNT [AT_ONCE]` plays so many seeds and prints what each one broke.
"""

import asyncio
import contextlib
import math
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from tests import hostile_bed as bed
from tests import hostile_clients as shapes
from tests.hostile_bed import Answer
from tests.hostile_endpoints import answer_body

MEMORIES_MB = (32.0, 32.0, 64.0, 96.0, 192.0)
SOCKETS = 1024
MAX_CLIENTS = SOCKETS // 3
CROWD = 400  # idle connections besides, in some plays
PLAY_S = 6.0
HONEST_CLIENTS = 4
HONEST_PAUSE_S = 0.1
DEADLINE_S = 2.0
MAX_LATENESS_S = 0.5  # an answer that comes later counts as none
# After SIGTERM: how long new connections come, and when SIGKILL comes at the earliest.
NEW_CONNECTIONS_S = 0.3
KILL_AFTER_S = 3.0 + 0.7
LATE = "late"
TARGETS = ("/proof/1", "/proof/1?delay=0.3", "/reserve/1", "/reserve/1?delay=0.3", "/book/1")
SHAPES: dict[str, tuple[Callable[..., None], tuple[int, ...]]] = {
    "many fields": (shapes.many_fields, (2600,)),
    "fields": (shapes.many_fields, (90,)),
    "stopped long bodies": (shapes.stopped_uploads, (32_000_000, 4_000_000)),
    "stopped short bodies": (shapes.stopped_uploads, (65_000, 64_990)),
    "slow readers": (shapes.slow_readers, (32_000_000, 65_000)),
    "answers of many fields": (shapes.answers_of_many_fields, (90,)),
    "slow heads": (shapes.slow_heads, ()),
    "short chunks": (shapes.short_chunks, (400_000,)),
    "ready checks": (shapes.ready_checks, ()),
    "empty lines": (shapes.empty_lines, ()),
    "new names": (shapes.new_names, ()),
}
FAST_SHAPES = ("short chunks", "ready checks", "empty lines", "new names")


@dataclass
class Outcome:
    """What one play showed."""

    description: str
    breaches: Counter[str] = field(default_factory=Counter)
    served: int = 0
    asked: int = 0
    figures: str = ""
    details: list[str] = field(default_factory=list)  # of what was broken


@dataclass
class HonestClient:
    """Sends one request at a time on a kept connection, and opens another one when that closes."""

    stage: bed.Stage
    rng: Random
    targets: Sequence[str] = TARGETS
    answers: list[tuple[str, Answer]] = field(default_factory=list)
    new_connections_until: float = math.inf
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Ask until it is cancelled, or no connection can be had any more."""
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                target = self.rng.choice(self.targets)
                answer = Answer(bed.new_id(), time.monotonic())
                if not await self._ask(target, answer) and not await self._ask(target, answer):
                    answer.ended_at = time.monotonic()
                    self.answers.append((target, answer))
                await asyncio.sleep(self.rng.uniform(0.0, 2 * HONEST_PAUSE_S))

    async def _ask(self, target: str, answer: Answer) -> bool:
        """Return False if the connection ended without a byte: then it may not have been read."""
        is_new = self._streams is None
        if self._streams is None:
            if time.monotonic() >= self.new_connections_until:
                raise ConnectionRefusedError
            self._streams = await asyncio.open_connection("127.0.0.1", self.stage.port)
        reader, writer = self._streams
        method = "GET" if target.startswith("/proof") else "POST"
        lines = () if method == "GET" else ("Content-Length: 0",)
        answer.sent_at = time.monotonic()
        try:
            writer.write(bed.encode_head(method, target, answer.request_id, DEADLINE_S, *lines))
            async with asyncio.timeout(DEADLINE_S + 4.0):
                await bed.read_answer(reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._close()
            if not answer.status and not is_new:
                return False
            answer.ended_at = time.monotonic()
        else:
            if reader.at_eof() or answer.closes:
                self._close()
        self.answers.append((target, answer))
        return True

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def judge(outcome: Outcome, stage: bed.Stage, memory_mb: float, answers: list[tuple[str, Answer]]) -> None:
    """Record the rules that were broken."""
    runs = Counter(run.request_id for run in stage.runs())
    for target, answer in answers:
        outcome.asked += 1
        outcome.served += answer.status == 200
        is_unsafe = target.startswith("/reserve")
        if not answer.is_whole:
            outcome.breaches["no answer"] += 1
        elif answer.seconds > DEADLINE_S + MAX_LATENESS_S:
            outcome.breaches[LATE] += 1
        if answer.status == 200 and answer.body != answer_body(answer.request_id, len(answer.body)):
            outcome.breaches["another's answer"] += 1
        if is_unsafe and runs[answer.request_id] > 1:
            outcome.breaches["run twice"] += 1
        if is_unsafe and answer.status == 503 and runs[answer.request_id]:
            outcome.breaches["refused although run"] += 1
    if stage.memory.private >= memory_mb * bed.MEBIBYTE:
        outcome.breaches["memory"] += 1


async def play(seed: int) -> Outcome:
    """Play one mixture."""
    rng = Random(seed)
    memory_mb = rng.choice(MEMORIES_MB)
    names = rng.sample(sorted(SHAPES), rng.choice((1, 2, 3)))
    has_crowd, is_replaced = rng.random() < 0.3, memory_mb >= 64.0 and rng.random() < 0.4
    outcome = Outcome(
        f"{memory_mb:g} MB, {' + '.join(names)}{', crowd' if has_crowd else ''}"
        f"{', replaced' if is_replaced else ', ended'}"
    )
    async with contextlib.AsyncExitStack() as stack:
        stage = await stack.enter_async_context(bed.stage(memory_mb, SOCKETS, is_replaceable=is_replaced))
        stage.is_honest_client_paused = True
        honest = [HonestClient(stage, Random(seed * 100 + number)) for number in range(HONEST_CLIENTS)]
        tasks = [asyncio.create_task(client.run()) for client in honest]
        await asyncio.sleep(0.5)
        for name in names:
            shape, arguments = SHAPES[name]
            count = rng.choice((1, 3)) if name in FAST_SHAPES else MAX_CLIENTS // len(names)
            await stack.enter_async_context(bed.hostile_clients(shape, stage.port, count, *arguments, seed))
        if has_crowd:
            await stack.enter_async_context(
                bed.hostile_clients(shapes.idle_connections, stage.port, CROWD, seed)
            )
        await _send_signals(stage, rng)
        await _end_process(outcome, stage, honest, is_replaced)
        for task in tasks:
            task.cancel()
        judge(outcome, stage, memory_mb, [answer for client in honest for answer in client.answers])
        outcome.figures = f"private {stage.memory.private / bed.MEBIBYTE:.0f} MB"
    return outcome


async def _send_signals(stage: bed.Stage, rng: Random) -> None:
    """Send harmless signals in series while the clients are at work."""
    ends_at = time.monotonic() + PLAY_S
    while time.monotonic() < ends_at:
        stage.processes[-1].send_signal(rng.choice((signal.SIGHUP, signal.SIGUSR1)))
        await asyncio.sleep(rng.uniform(0.05, 1.0))


async def _end_process(
    outcome: Outcome, stage: bed.Stage, honest: list[HonestClient], is_replaced: bool
) -> None:
    """End the process, after it has a successor if it is replaced, and kill it when that may come first."""
    process = stage.processes[-1]
    if process.poll() is not None:
        outcome.breaches["crash"] += 1
        return
    if is_replaced:
        await stage.start_process()
    process.send_signal(signal.SIGTERM)
    if not is_replaced:
        for client in honest:
            client.new_connections_until = time.monotonic() + NEW_CONNECTIONS_S
    await asyncio.sleep(KILL_AFTER_S)
    if process.poll() not in (None, 0):
        outcome.breaches["crash"] += 1
    process.kill()
    process.wait()
    if is_replaced and stage.processes[-1].poll() is not None:
        outcome.breaches["crash"] += 1


async def play_all(
    first: int, count: int, at_once: int, play: Callable[[int], Awaitable[Outcome]] = play
) -> list[Outcome]:
    """Play `count` seeds and print each outcome."""
    places = asyncio.Semaphore(at_once)

    async def play_one(seed: int) -> Outcome:
        async with places:
            outcome = await play(seed)
        print(
            f"{seed}: {outcome.description}: {dict(outcome.breaches)} "
            f"{outcome.served} of {outcome.asked} served, {outcome.figures}",
            *outcome.details,
            flush=True,
        )
        return outcome

    return await asyncio.gather(*(play_one(seed) for seed in range(first, first + count)))


def main() -> None:
    first, count, at_once = (*map(int, sys.argv[1:4]), 1)[:3]
    outcomes = asyncio.run(play_all(first, count, at_once))
    print(sum(bool(outcome.breaches) for outcome in outcomes), "seeds broke a rule")


if __name__ == "__main__":
    main()
