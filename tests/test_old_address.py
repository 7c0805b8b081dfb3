"""Tests of a new process at the address of one that has gone."""

import pytest

from larkcrank.transport.connection import Connection, PendingConnection
from tests import bed as b


def test_a_request_does_not_go_to_the_process_that_took_over_its_servers_old_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The list changes while the connection to the old address comes up."""

    async def work() -> None:
        successor, moved = b.Endpoint("s-2"), b.Endpoint("s-1")
        moved_from = b.Endpoint("s-1")
        await successor.start()
        await moved.start()
        moved_from.port = successor.port  # where the list still has s-1
        discovery_entries = [moved_from]
        async with b.bed(*discovery_entries) as bed:
            wait = PendingConnection.wait

            async def wait_while_the_list_changes(
                pending: PendingConnection, timeout_ms: float
            ) -> Connection:
                connection = await wait(pending, timeout_ms)
                monkeypatch.setattr(PendingConnection, "wait", wait)
                bed.discovery.announce(moved, successor)
                await b.until(lambda: bed.sidecar.counters.lists >= 1)
                return connection

            client = await bed.client()
            await b.until(lambda: len(bed.discovery.request_targets) >= 1)
            monkeypatch.setattr(PendingConnection, "wait", wait_while_the_list_changes)
            response = await client.call("take")
            assert response.status == 200
            servers = {endpoint.name: len(endpoint.requests) for endpoint in (moved, successor)}
            answered_by = response.fields.get_single(b"x-from")
            assert sum(servers.values()) == 1
            first_try = bed.sidecar._servers.recent_attempts.as_list()[0]
            assert first_try["result"] == "not sent"
            assert answered_by is not None and servers[answered_by.decode()] == 1
        await successor.stop()
        await moved.stop()

    b.run(work())


def test_places_of_servers_that_are_gone_are_forgotten() -> None:
    async def work() -> None:
        endpoints = [b.Endpoint(f"s-{number}") for number in range(3)]
        async with b.bed(*endpoints) as bed:
            await b.until(lambda: len(bed.discovery.request_targets) >= 1)
            assert len(bed.sidecar._servers.host_ports()) == 3
            endpoints[0].lifecycle = "Gone"
            bed.discovery.announce(endpoints[0])
            await b.until(lambda: len(bed.sidecar._servers.host_ports()) == 2)

    b.run(work())
