"""Lists that cross each other, fall silent, or end at the wrong moment.

Each order is forced by the test's own peers, by decisions that wait for the test's word, or by doing both
things within one turn of the loop. No sleep has to hit anything.
"""

import asyncio

import pytest

from larkcrank.routing import discovery
from tests import bed as b
from tests import crossing as x
from tests import virtual_loop


def test_a_whole_list_that_comes_after_the_watch_told_a_drain_is_left() -> None:
    """It was made before the drain: taken, the server would have had turns again, and the count gone back."""

    async def work() -> None:
        async with x.Asker() as asker:
            script = asker.script
            asker.discovery.set_generation(4)
            asker.discovery.watch()
            assert (await script.called(1)).startswith(b"/registry/instances?after=4&")
            asker.discovery.fetch_list()
            assert await script.called(2) == b"/registry/instances"
            script.answer(0, 5, "Terminating", whole=False)
            assert (await script.called(3)).startswith(b"/registry/instances?after=5&")
            script.answer(1, 4, "Ready", whole=True)
            await b.until(lambda: asker.counters.lists == 2)
            assert asker.told() == [(5, False)] and asker.discovery.generation == 5
            assert len(script.calls) == 3  # the watch goes on

    b.run(work())


@pytest.mark.parametrize("generation", [2, 9])
def test_a_whole_list_that_differs_with_nothing_told_meanwhile_counts_and_the_watch_is_dead(
    generation: int,
) -> None:
    """Newer: the watch would have told it. Older: discovery counts anew, and the watch waits at none."""

    async def work() -> None:
        async with x.Asker() as asker:
            asker.discovery.set_generation(4)
            asker.discovery.watch()
            await asker.script.called(1)
            asker.discovery.fetch_list()
            await asker.script.called(2)
            asker.script.answer(1, generation, "Ready", whole=True)
            assert b"after=%d&" % generation in await asker.script.called(3)
            assert asker.told() == [(generation, True)]

    b.run(work())


def test_a_watch_called_off_and_asked_for_again_in_one_breath_is_there() -> None:
    async def work() -> None:
        async with x.Asker(always=False) as asker:
            asker.discovery.watch()
            await asker.script.called(1)
            asker.discovery.watch(enabled=False)
            asker.discovery.watch()
            await asker.script.called(2)

    b.run(work())


def test_a_watch_asked_for_by_whoever_hears_of_its_failure_is_there() -> None:
    """The task that told the failure was not done yet, and the call was taken for one too many."""

    async def work() -> None:
        async with x.Asker(always=False) as asker:
            asker.discovery.on_failure = lambda _: asker.discovery.watch()
            asker.discovery.watch()
            await asker.script.called(1)
            asker.script.calls[0][1].close()
            await asker.script.called(2)

    b.run(work())


@pytest.mark.parametrize(
    "half", [b"", b"HTTP/1.1 200 OK\r\nContent-", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"]
)
@pytest.mark.parametrize("always", [False, True])
def test_a_watch_that_fell_silent_is_opened_anew_at_once(
    half: bytes, always: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also within a head or a list. What it missed counts as told 2 s after its wait: no pause fits in.

    In virtual time, with the times as they are but for the watch's own wait.
    """
    monkeypatch.setattr(discovery, "MAX_WATCH_WAIT_MS", 1 if not half else 60000)
    monkeypatch.setattr(discovery, "RETRY_INTERVAL_LIMITS_S", (3600.0, 3600.0))

    async def work() -> None:
        async with asyncio.timeout(10.0), x.Asker(always) as asker:
            asker.discovery.set_generation(4)
            asker.discovery.watch()
            await asker.script.called(1)
            asker.script.calls[0][1].write(half)
            began = asyncio.get_running_loop().time()
            assert b"after=4&" in await asker.script.called(2)
            assert asyncio.get_running_loop().time() - began < 2.1
            assert not asker.lists and asker.failures

    virtual_loop.run(work())


def test_the_waits_of_discovery_calls_fit_what_counts_as_told() -> None:
    """2 s after a call's wait; 4 s after a move to another discovery, in which one call may hang; 6 s after
    the return of one that failed, where it takes 2 s for an answer at most."""
    assert discovery.WATCH_TIMEOUT_SLACK_MS + 250.0 < 2000.0 and discovery.IMMEDIATE_CALL_TIMEOUT_MS < 4000.0
    assert (
        2000.0
        < discovery.IMMEDIATE_CALL_TIMEOUT_MS
        < 1000.0 * discovery.RETRY_INTERVAL_LIMITS_S[1]
        <= 6000.0 - 2000.0
    )
    assert discovery.MAX_WATCH_WAIT_MS <= 60000


def test_a_call_that_crosses_the_end_of_a_kept_connection_is_made_again() -> None:
    """The end was on its way when the call went out: nobody has failed, and no pause is due.

    But it may have been discovery's own end: the second call does not wait, the one after it does.
    """

    async def work() -> None:
        async with x.Asker(always=False) as asker:
            asker.discovery.set_generation(4)
            asker.discovery.watch()
            await asker.script.called(1)
            asker.script.answer(0, 5, "Ready", whole=False)
            await asker.script.called(2)
            asker.script.calls[1][1].close()  # the second call's answer is its end
            assert asker.script.calls[1][0] == b"/registry/instances?after=5&wait_ms=60000"
            assert await asker.script.called(3) == b"/registry/instances?after=5&wait_ms=50"
            asker.script.answer(2, 5, "Ready", whole=False)
            assert await asker.script.called(4) == asker.script.calls[1][0]
            assert not asker.failures

    b.run(work())


def test_a_generation_of_the_discovery_before_a_move_is_not_asked_after() -> None:
    """A hand-over may end after a SIGHUP has moved discovery: the two count differently."""

    async def work() -> None:
        async with x.Asker() as asker:
            other = x.Script()
            await other.start()
            asker.discovery.move_to(("127.0.0.1", other.port))
            asker.discovery.set_generation(41)
            assert await other.called(1) == b"/registry/instances"
            assert asker.discovery.generation is None
            other.stop()

    b.run(work())
