"""Endpoints of a sidecar that are replaced by new ones at the same host and port, on real processes.

`python -m tests.takeover_bed` plays each case and prints what was sent to a drained endpoint after the grace,
and to one in slow start beyond its own turns.
"""

import asyncio
import sys
import time
from dataclasses import dataclass, replace
from enum import Enum

from tests import bed as b
from tests import upgrade_bed

OLD, NEW = "s-0", "s-9"
SETTLE_S = 0.5  # in which each process gets the list, and clients use it
WATCH_S = 1.0  # after the grace


class OldEntry(Enum):
    """What lists say of the old endpoint."""

    GONE = "told gone"
    LEFT_OUT = "left out of a whole list"
    GONE_LATER = "told gone later"
    STILL_READY = "still listed as ready"


class Processes(Enum):
    """Which processes of the sidecar run, and which one is told of the drain."""

    ONE = "one process"
    OLD_TOLD = "two processes, the old one told"
    NEW_TOLD = "two processes, the new one told"
    NEW_ALONE = "an upgrade that is over"


@dataclass(frozen=True)
class Case:
    """One way in which an endpoint is replaced and drained."""

    only_draining_binds: bool
    old_entry: OldEntry
    processes: Processes = Processes.ONE
    is_start_known: bool = True
    is_whole_list_told: bool = False  # after the upgrade, to the process that is told of the drain

    def __str__(self) -> str:
        return ", ".join(
            (
                "only draining binds" if self.only_draining_binds else "gone binds, too",
                self.old_entry.value,
                self.processes.value,
                "start told" if self.is_start_known else "no start told",
                *(("whole list",) if self.is_whole_list_told else ()),
            )
        )


async def replace_endpoint(
    running: upgrade_bed.Bed, old_name: str, new_name: str, started_at_ms: float
) -> None:
    """End an endpoint and start another one where it listened. Nobody is told yet."""
    (old,) = (endpoint for endpoint in running.endpoints if endpoint.name == old_name)
    await old.stop()
    new = b.Endpoint(new_name, running.serve)
    new.port, new.started_at_ms = old.port, started_at_ms
    await new.start()
    running.endpoints.append(new)
    running.discovery.generation += 1
    running.discovery.entries[new_name] = new.list_entry()


async def wait_for_watches(running: upgrade_bed.Bed, count: int) -> list[int]:
    async with asyncio.timeout(10.0):
        await b.until(lambda: len(running.discovery.watching()) >= count)
    return running.discovery.watching()


async def tell_replaced(running: upgrade_bed.Bed, case: Case) -> None:
    """Tell all processes that the new endpoint is ready, and of the old one what the case says."""
    discovery = running.discovery
    if case.old_entry is OldEntry.LEFT_OUT:
        del discovery.entries[OLD]
    elif case.old_entry is OldEntry.GONE:
        discovery.entries[OLD]["lifecycle"] = "Gone"
    for watch in discovery.watching():
        if case.old_entry is OldEntry.LEFT_OUT:
            discovery.tell_whole_list(watch)
        else:
            discovery.tell(watch, OLD, NEW)
    await asyncio.sleep(SETTLE_S)
    if case.old_entry is OldEntry.GONE_LATER:
        discovery.change(OLD, "Gone")
        for watch in discovery.watching():
            discovery.tell(watch, OLD)
        await asyncio.sleep(SETTLE_S)
    if case.old_entry in (OldEntry.GONE, OldEntry.GONE_LATER):
        del discovery.entries[OLD]


async def start_successor(running: upgrade_bed.Bed, case: Case) -> int:
    """Start the processes of the case, and return the watch that is told of the drain."""
    (old_watch,) = await wait_for_watches(running, 1)
    if case.processes is Processes.ONE:
        return old_watch
    await running.start_process()
    (new_watch,) = set(await wait_for_watches(running, 2)) - {old_watch}
    if case.processes is Processes.NEW_ALONE:
        running.processes[0].terminate()
        await running.processes[0].wait()
    return old_watch if case.processes is Processes.OLD_TOLD else new_watch


async def play(case: Case) -> list[float]:
    """Replace an endpoint, tell that the new one drains, and return the late sends to it, in s after it."""
    async with upgrade_bed.bed(**{"only-draining-binds": case.only_draining_binds}) as running:
        await replace_endpoint(running, OLD, NEW, time.time() * 1000.0 if case.is_start_known else 0.0)
        await tell_replaced(running, case)
        watch = await start_successor(running, case)
        if case.is_whole_list_told:
            running.discovery.generation += 1
            running.discovery.tell_whole_list(watch)
            await asyncio.sleep(SETTLE_S)
            await wait_for_watches(running, 1)
        await asyncio.sleep(SETTLE_S)
        running.discovery.change(NEW, "Terminating")
        running.discovery.tell(watch, NEW)
        told_at = time.monotonic()
        await asyncio.sleep(upgrade_bed.GRACE_S + WATCH_S)
        return running.late_arrivals(NEW, told_at)


def all_cases() -> list[Case]:
    """Return the cases, each with both settings of what binds."""
    cases = [Case(True, old_entry, processes) for old_entry in OldEntry for processes in Processes]
    cases += [
        Case(True, OldEntry.STILL_READY, processes, is_start_known=False, is_whole_list_told=True)
        for processes in Processes
    ]
    return cases + [replace(case, only_draining_binds=False) for case in cases]


async def main() -> None:
    broken = 0
    for case in all_cases():
        late = await play(case)
        broken += bool(late)
        print(f"{case}: {len(late)} late{f', the last after {max(late)} s' if late else ''}", flush=True)
    print(f"{broken} cases broke the rule")
    sys.exit(bool(broken))


if __name__ == "__main__":
    asyncio.run(main())
