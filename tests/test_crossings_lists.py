"""Discovery responses that overlap, time out or end at an inconvenient moment.

Each test forces its order of events with its own peers, with a balancer that waits for the test, or by doing
both things within one iteration of the event loop. No test depends on the length of a sleep.
"""

import asyncio

import pytest

from larkcrank.routing import discovery
from tests import bed as testbed
from tests import crossing, virtual_loop


def test_full_list_older_than_a_watch_update_is_ignored() -> None:
    """The list was made before the drain. Applied, it would have sent requests to the draining server again
    and moved the generation backwards.
    """

    async def scenario() -> None:
        async with crossing.DiscoveryHarness() as harness:
            server = harness.server
            harness.discovery.set_generation(4)
            harness.discovery.watch()
            assert (await server.wait_for_call(1)).startswith(b"/registry/instances?after=4&")
            harness.discovery.fetch_list()
            assert await server.wait_for_call(2) == b"/registry/instances"
            server.send_list(0, 5, "Terminating", is_full_list=False)
            assert (await server.wait_for_call(3)).startswith(b"/registry/instances?after=5&")
            server.send_list(1, 4, "Ready", is_full_list=True)
            await testbed.until(lambda: harness.counters.lists == 2)
            assert harness.received_lists() == [(5, False)] and harness.discovery.generation == 5
            assert len(server.calls) == 3  # The watch continues.

    testbed.run(scenario())


@pytest.mark.parametrize("generation", [2, 9])
def test_full_list_that_differs_without_a_watch_update_replaces_the_watch(
    generation: int,
) -> None:
    """A newer list would have been reported by a live watch. An older one means that discovery has restarted
    its generations, so that the watch waits for one that does not come.
    """

    async def scenario() -> None:
        async with crossing.DiscoveryHarness() as harness:
            harness.discovery.set_generation(4)
            harness.discovery.watch()
            await harness.server.wait_for_call(1)
            harness.discovery.fetch_list()
            await harness.server.wait_for_call(2)
            harness.server.send_list(1, generation, "Ready", is_full_list=True)
            assert b"after=%d&" % generation in await harness.server.wait_for_call(3)
            assert harness.received_lists() == [(generation, True)]

    testbed.run(scenario())


def test_watch_stopped_and_restarted_at_once_is_running() -> None:
    async def scenario() -> None:
        async with crossing.DiscoveryHarness(watch_after_move=False) as harness:
            harness.discovery.watch()
            await harness.server.wait_for_call(1)
            harness.discovery.watch(enabled=False)
            harness.discovery.watch()
            await harness.server.wait_for_call(2)

    testbed.run(scenario())


def test_watch_restarted_from_its_failure_callback_is_running() -> None:
    """The task that reported the failure was not done yet, so the new call was dropped as a duplicate."""

    async def scenario() -> None:
        async with crossing.DiscoveryHarness(watch_after_move=False) as harness:
            harness.discovery.on_failure = lambda _: harness.discovery.watch()
            harness.discovery.watch()
            await harness.server.wait_for_call(1)
            harness.server.calls[0][1].close()
            await harness.server.wait_for_call(2)

    testbed.run(scenario())


@pytest.mark.parametrize(
    "partial_response",
    [b"", b"HTTP/1.1 200 OK\r\nContent-", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"],
)
@pytest.mark.parametrize("watch_after_move", [False, True])
def test_watch_that_times_out_is_repeated_at_once(
    partial_response: bytes, watch_after_move: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """This includes a timeout within a head or a list. The contract counts missed changes as known 2 s after
    the end of the watch's wait, which leaves no time for a pause.

    Runs in virtual time, with the usual timeouts except for the wait of the watch.
    """
    monkeypatch.setattr(discovery, "MAX_WATCH_WAIT_MS", 1 if not partial_response else 60000)
    monkeypatch.setattr(discovery, "RETRY_INTERVAL_LIMITS_S", (3600.0, 3600.0))

    async def scenario() -> None:
        async with asyncio.timeout(10.0), crossing.DiscoveryHarness(watch_after_move) as harness:
            harness.discovery.set_generation(4)
            harness.discovery.watch()
            await harness.server.wait_for_call(1)
            harness.server.calls[0][1].write(partial_response)
            started_at = asyncio.get_running_loop().time()
            assert b"after=4&" in await harness.server.wait_for_call(2)
            assert asyncio.get_running_loop().time() - started_at < 2.1
            assert not harness.lists and harness.failures

    virtual_loop.run(scenario())


def test_discovery_timeouts_fit_the_contract() -> None:
    """The contract counts a change as known 2 s after the end of a call's wait, 4 s after a move to another
    discovery (in which one call may hang), and 6 s after a discovery that failed is reachable again and needs
    2 s at most to respond.
    """
    assert discovery.WATCH_TIMEOUT_SLACK_MS + 250.0 < 2000.0 and discovery.IMMEDIATE_CALL_TIMEOUT_MS < 4000.0
    assert (
        2000.0
        < discovery.IMMEDIATE_CALL_TIMEOUT_MS
        < 1000.0 * discovery.RETRY_INTERVAL_LIMITS_S[1]
        <= 6000.0 - 2000.0
    )
    assert discovery.MAX_WATCH_WAIT_MS <= 60000


def test_call_on_a_kept_connection_closed_by_the_server_is_repeated() -> None:
    """The server closed the connection as the call was sent: nothing has failed, and no pause is due.

    Discovery itself may have ended, though, so the second call does not wait. The one after it does.
    """

    async def scenario() -> None:
        async with crossing.DiscoveryHarness(watch_after_move=False) as harness:
            harness.discovery.set_generation(4)
            harness.discovery.watch()
            await harness.server.wait_for_call(1)
            harness.server.send_list(0, 5, "Ready", is_full_list=False)
            await harness.server.wait_for_call(2)
            harness.server.calls[1][1].close()  # The second call is answered by the end of its connection.
            assert harness.server.calls[1][0] == b"/registry/instances?after=5&wait_ms=60000"
            assert await harness.server.wait_for_call(3) == b"/registry/instances?after=5&wait_ms=50"
            harness.server.send_list(2, 5, "Ready", is_full_list=False)
            assert await harness.server.wait_for_call(4) == harness.server.calls[1][0]
            assert not harness.failures

    testbed.run(scenario())


def test_a_late_copy_of_an_earlier_change_does_not_undo_a_drain() -> None:
    async def scenario() -> None:
        async with crossing.DiscoveryHarness(watch_after_move=False) as harness:
            harness.discovery.set_generation(4)
            harness.discovery.watch()
            await harness.server.wait_for_call(1)
            harness.server.send_list(0, 5, "Ready", is_full_list=False)
            await harness.server.wait_for_call(2)
            harness.server.send_list(1, 6, "Terminating", is_full_list=False)
            await harness.server.wait_for_call(3)
            harness.server.send_list(2, 5, "Ready", is_full_list=False)
            assert await harness.server.wait_for_call(4) == b"/registry/instances?after=6&wait_ms=50"
            assert harness.server.calls[3][1] is not harness.server.calls[2][1]
            assert [update.generation for update in harness.lists] == [5, 6]
            assert harness.discovery.generation == 6 and not harness.failures

    testbed.run(scenario())


def test_generation_of_the_previous_discovery_is_not_used_after_a_move() -> None:
    """A handover may complete after a SIGHUP has changed the discovery address; the two count generations
    differently.
    """

    async def scenario() -> None:
        async with crossing.DiscoveryHarness() as harness:
            new_server = crossing.ScriptedDiscovery()
            await new_server.start()
            harness.discovery.move_to(("127.0.0.1", new_server.port))
            harness.discovery.set_generation(41)
            assert await new_server.wait_for_call(1) == b"/registry/instances"
            assert harness.discovery.generation is None
            new_server.stop()

    testbed.run(scenario())
