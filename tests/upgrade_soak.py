"""Random mixtures of upgrades, changed lists, failing discovery and broken endpoints, on real processes.

`python -m tests.upgrade_soak FIRST COUNT [AT_ONCE]` plays so many seeds and prints what each one broke.
"""

import asyncio
import contextlib
import signal
import sys
import time
from collections import Counter
from random import Random
from typing import Any

from tests import hostile_bed as bed
from tests import hostile_clients as shapes
from tests import hostile_soak as soak
from tests import upgrade_bed, upload_plays
from tests.bed import abort_open_transports
from tests.hostile_bed import Answer
from tests.hostile_endpoints import answer_body
from tests.upload_plays import Upload

MEMORIES_MB = (64.0, 96.0, 192.0)
DEADLINE_S = 1.2
CLASSES: list[dict[str, Any]] = [
    grade | {"aim-ms": 600.0, "deadline-ms": DEADLINE_S * 1000.0} for grade in bed.CLASSES
]
KILL_AFTER_S = DEADLINE_S + 0.7
GRACE_S = 2.05
END_S = 0.4  # around the kill, in which a process ends what is left
HANG_S = 10.0  # an answer that takes longer never comes
UPLOADERS = 4
CROWD = 300
TARGETS = (
    "/proof/1",
    "/reserve/1",
    "/book/1",
    "/reserve/1?delay=0.4",
    "/proof/1?lumps=12&framing=close&size=100000&seconds=1.8",
)
ANSWER_BYTES = 253_025
EARLY = (
    "/reserve/1?read_limit={}&size=253025&framing={}&delay=0.01&lumps=36&seconds=0.05&reset_after={}",
    "/reserve/1?read_limit={}&declines=true&delay=0",
    "/reserve/1?read_limit={}&is_silent=true",
)
SLOW = "/reserve/1?read_rate={}"


def draw_upload(rng: Random) -> Upload:
    """Return a long upload to an endpoint that behaves in some way."""
    kind = rng.randrange(5)
    if kind < len(EARLY):
        framing = rng.choice(("close", "chunked", "length"))
        reset_after = rng.choice((0, ANSWER_BYTES // 2, 20_000))
        target = EARLY[kind].format(rng.choice((1_000, 18_975, 60_000)), framing, reset_after)
    else:
        target = SLOW.format(rng.choice((64_000, 700_000, 20_000_000)))
    size = rng.choice((100_000, 400_000, 1_974_670, 3_000_000, 6_000_000))
    return Upload(target, size, rng.random() < 0.5, rng.choice((0.0, 0.0, 1.5)), DEADLINE_S)


def judge_upload(outcome: soak.Outcome, upload: Upload, answer: Answer) -> None:
    """Record the rules that an upload's answer breaks."""
    outcome.asked += 1
    outcome.served += answer.status == 200 and answer.is_whole
    size = ANSWER_BYTES if "size=" in upload.target else 1000
    if not answer.status:
        outcome.breaches["no answer to an upload"] += 1
    elif answer.is_whole and answer.status == 200 and answer.body != answer_body(answer.request_id, size):
        outcome.breaches["piece taken for whole"] += 1
    elif answer.is_whole and answer.seconds > DEADLINE_S + soak.MAX_LATENESS_S and answer.status != 200:
        outcome.breaches[soak.LATE] += 1
        outcome.details.append(f"{upload} {answer.status} {answer.seconds:.2f} s after its last byte")


def was_cut_by_end(answer: Answer, ends: list[float]) -> bool:
    """Return whether an answer had begun when its process was ended. Then its client can tell that."""
    has_begun = answer.status == 200 and not answer.is_whole
    return has_begun and any(-0.1 < answer.ended_at - end < END_S for end in ends)


async def run_uploader(stage: bed.Stage, rng: Random, outcome: soak.Outcome) -> None:
    """Send one long upload after another, each on a new connection, until cancelled."""
    while True:
        upload = draw_upload(rng)
        try:
            answer = await asyncio.shield(asyncio.create_task(upload_plays.send(stage.port, upload, HANG_S)))
        except ConnectionRefusedError:
            await asyncio.sleep(0.05)
            continue
        judge_upload(outcome, upload, answer)
        await asyncio.sleep(rng.uniform(0.0, 0.2))


class Changes:
    """Changes the list, fails discovery and tells single processes, and judges what is sent afterwards."""

    def __init__(self, discovery: upgrade_bed.Discovery, rng: Random) -> None:
        self._discovery, self._rng = discovery, rng
        self._drained_at: dict[str, float] = {}
        self._ready_at: dict[str, float] = {}

    async def run(self) -> None:
        """Drain one endpoint after another, telling one watch only, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            self._discovery.failure = self._rng.choice((None, *upgrade_bed.Failure))
            watches = self._discovery.watching()
            ready = [name for name in self._discovery.entries if name not in self._drained_at]
            if watches and len(ready) > len(self._discovery.entries) // 2:
                name = self._rng.choice(ready)
                self._discovery.change(name, "Terminating")
                self._discovery.tell(self._rng.choice(watches), name)
                self._drained_at[name] = time.monotonic()

    def late_sends(self, stage: bed.Stage) -> int:
        """Return how many requests came to drained endpoints after the grace."""
        return sum(
            run.began_at > self._drained_at[run.endpoint] + GRACE_S
            for run in stage.runs()
            if run.endpoint in self._drained_at
        )


async def replace_process(stage: bed.Stage, outcome: soak.Outcome, rng: Random) -> float:
    """Start a successor, end the old process and kill it as early as that may happen. Return when it began
    to end what was left.
    """
    old = stage.processes[-1]
    await stage.start_process()
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    for signal_number in rng.choices((signal.SIGHUP, signal.SIGUSR1), k=rng.randrange(4)):
        rng.choice((old, stage.processes[-1])).send_signal(signal_number)
    old.send_signal(signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_S)
    if old.poll() not in (None, 0):
        outcome.breaches["crash"] += 1
    old.kill()
    old.wait()
    return time.monotonic() - END_S / 2


async def play(seed: int) -> soak.Outcome:
    """Play one mixture."""
    rng = Random(seed)
    memory_mb, has_crowd, upgrades = rng.choice(MEMORIES_MB), rng.random() < 0.3, rng.choice((1, 2))
    outcome = soak.Outcome(f"{memory_mb:g} MB, {upgrades} upgrades{', crowd' if has_crowd else ''}")
    async with contextlib.AsyncExitStack() as stack:
        stage = await stack.enter_async_context(
            bed.stage(memory_mb, soak.SOCKETS, is_replaceable=True, grades=CLASSES)
        )
        stage.is_honest_client_paused = True
        discovery = upgrade_bed.Discovery({entry["instanceId"]: entry for entry in stage.entries()})
        await discovery.start()
        stack.callback(discovery.stop)
        stage.config["discovery"] = f"127.0.0.1:{discovery.port}"
        await stage.reload()
        honest = [soak.HonestClient(stage, Random(seed * 100 + number), TARGETS) for number in range(4)]
        changes = Changes(discovery, Random(seed + 1))
        tasks = [asyncio.create_task(client.run()) for client in honest]
        tasks += [
            asyncio.create_task(run_uploader(stage, Random(seed * 100 + 50 + number), outcome))
            for number in range(UPLOADERS)
        ]
        tasks.append(asyncio.create_task(changes.run()))
        if has_crowd:
            await stack.enter_async_context(
                bed.hostile_clients(shapes.idle_connections, stage.port, CROWD, seed)
            )
        ends: list[float] = []
        for _ in range(upgrades):
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            ends.append(await replace_process(stage, outcome, rng))
        await asyncio.sleep(GRACE_S + 0.5)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        if stage.processes[-1].poll() is not None:
            outcome.breaches["crash"] += 1
        if late := changes.late_sends(stage):
            outcome.breaches["sent to a drained endpoint"] += late
        answers = [answer for client in honest for answer in client.answers]
        answers = [item for item in answers if not was_cut_by_end(item[1], ends)]
        for target, answer in answers:
            if not answer.is_whole or answer.seconds > soak.DEADLINE_S + soak.MAX_LATENESS_S:
                outcome.details.append(f"{target} {answer}")
        soak.judge(outcome, stage, memory_mb, answers)
        events = Counter(event for event in ("answer_cut", "upload_expired") if stage.find_event(event))
        outcome.figures = f"{dict(events)}, private {stage.memory.private / bed.MEBIBYTE:.0f} MB"
    return outcome


async def main() -> None:
    first, count, at_once = (*map(int, sys.argv[1:4]), 1)[:3]
    outcomes = await soak.play_all(first, count, at_once, play)
    await abort_open_transports()
    print(sum(bool(outcome.breaches) for outcome in outcomes), "seeds broke a rule")


if __name__ == "__main__":
    asyncio.run(main())
