"""Tests of what a process waits for before it is ready, for each way in which discovery can fail."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from larkcrank.program import handover
from larkcrank.program.log import Log
from larkcrank.program.sidecar import DISCOVERY_WAIT_S, Sidecar
from larkcrank.protocol import http1
from tests import bed as b

SIDECAR_COUNT = 200
READY_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"
NEVER_S = 1000.0  # longer than the time limit of a test


class OverloadedDiscovery:
    """Discovery that queues calls, and answers or rejects them only when the test says so."""

    def __init__(self, endpoints: list[b.Endpoint]) -> None:
        self.toy_discovery = b.FakeDiscovery(endpoints)
        self.pending_calls: list[tuple[bytes, b.Writer]] = []
        self.calls = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connected(self, reader: b.Reader, writer: b.Writer) -> None:
        parser = http1.RequestParser()
        while (request := await b.read_request(reader, parser)) is not None:
            self.calls += 1
            self.pending_calls.append((request.target, writer))
        writer.close()

    def answer(self, count: int) -> None:
        """Answer the oldest pending calls."""
        for _ in range(min(count, len(self.pending_calls))):
            _, writer = self.pending_calls.pop(0)
            writer.write(
                http1.encode_response(
                    200, (), self.toy_discovery.list_body(self.toy_discovery.endpoints, True)
                )
            )

    def reject_all(self) -> None:
        """Answer all pending calls with 503."""
        while self.pending_calls:
            self.pending_calls.pop(0)[1].write(http1.encode_response(503, (), b""))

    def stop(self) -> None:
        self._server.close()


async def is_ready(sidecar: Sidecar) -> bool:
    """The result of the platform's ready check."""
    reader, writer = await asyncio.open_connection(*sidecar.listen_address)
    writer.write(READY_CHECK)
    status_line = await reader.readline()
    writer.close()
    return status_line.startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def bed_with_failing_discovery(
    failure: str, endpoint: b.Endpoint, known: bool, **bed_options: Any
) -> AsyncIterator[tuple[b.Bed, OverloadedDiscovery]]:
    """A bed for configuring sidecars whose discovery fails as given. The bed's own sidecar is not used.

    `known`: the configuration contains the server list.
    """
    discovery = OverloadedDiscovery([endpoint])
    await discovery.start()
    if failure == "down":
        discovery.stop()
    async with b.bed(endpoint, known=known, discovery_up=False, **bed_options) as bed:
        bed.config_file["discovery"] = f"127.0.0.1:{discovery.port}"
        yield bed, discovery
    discovery.stop()


def make_sidecar(bed: b.Bed, passed_socket: socket.socket | None = None) -> Sidecar:
    return Sidecar(bed.load_config(), Log("n1", bed._log), bed.load_config, passed_socket)


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("failure", ["down", "hangs", "rejects"])
def test_200_sidecars_are_ready_without_an_answer_from_discovery(
    failure: str, known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A ready sidecar serves or refuses requests. No start may wait for an answer from discovery."""
    monkeypatch.setattr(b, "TEST_TIMEOUT_S", 120.0)

    async def scenario() -> None:
        endpoint = b.Endpoint("s-1")
        async with bed_with_failing_discovery(failure, endpoint, known) as (bed, discovery):
            sidecars = [make_sidecar(bed) for _ in range(SIDECAR_COUNT)]
            for sidecar in sidecars:
                await sidecar.start_serving()
                if failure == "rejects":
                    discovery.reject_all()
            assert [await is_ready(sidecar) for sidecar in sidecars] == [True] * SIDECAR_COUNT
            assert sum(sidecar.counters.lists for sidecar in sidecars) == 0
            if known:  # and serves with the configured list
                client = b.Client(*await asyncio.open_connection(*sidecars[-1].listen_address))
                assert (await client.call("view")).status == 200
            for sidecar in sidecars:
                sidecar.close()

    b.run(scenario())


def test_each_waiting_sidecar_makes_one_call_and_gets_its_answer() -> None:
    """Discovery answers four calls at a time. Waiting sidecars must not add calls to its queue."""

    async def scenario() -> None:
        endpoint = b.Endpoint("s-1")
        async with bed_with_failing_discovery("hangs", endpoint, known=False) as (bed, discovery):
            sidecars = [make_sidecar(bed) for _ in range(20)]
            for sidecar in sidecars:
                sidecar._discovery.watch()
            await b.until(lambda: discovery.calls == 20)
            for round_number in range(1, 6):
                discovery.answer(4)
                await b.until(
                    lambda round_number=round_number: (
                        sum(sidecar.counters.lists > 0 for sidecar in sidecars) >= 4 * round_number
                    )  # type: ignore[misc]
                )
                without_list = sum(sidecar.counters.lists == 0 for sidecar in sidecars)
                assert without_list == 20 - 4 * round_number
            for sidecar in sidecars:
                sidecar.close()

    b.run(scenario())


def test_passed_socket_without_a_predecessor_starts_at_once(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        monkeypatch.setattr("larkcrank.program.sidecar.DISCOVERY_WAIT_S", NEVER_S)
        async with bed_with_failing_discovery("hangs", b.Endpoint("s-1"), known=False) as (bed, _):
            sidecar = make_sidecar(bed, socket.create_server(("127.0.0.1", 0)))
            await sidecar.start_serving()
            assert await is_ready(sidecar) and sidecar.counters.lists == 0
            sidecar.close()

    b.run(scenario())


@pytest.mark.parametrize("discovery_answers", [True, False])
def test_silent_predecessor_leads_to_a_limited_wait_for_discovery(
    discovery_answers: bool, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """A list from discovery ends the wait at once; without one the time limit does."""

    async def scenario() -> None:
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        monkeypatch.setattr("larkcrank.program.handover.PREDECESSOR_TIMEOUT_S", 0.01)
        monkeypatch.setattr(
            "larkcrank.program.sidecar.DISCOVERY_WAIT_S", NEVER_S if discovery_answers else 0.05
        )
        silent_server = await asyncio.start_unix_server(
            lambda reader, writer: None, str(handover.socket_path(str(tmp_path), "n0"))
        )
        async with bed_with_failing_discovery("hangs", b.Endpoint("s-1"), known=False) as (bed, discovery):
            sidecar = make_sidecar(bed, socket.create_server(("127.0.0.1", 0)))
            start_task = asyncio.create_task(sidecar.start_serving())
            await b.until(lambda: discovery.calls > 0)  # called during the wait
            if discovery_answers:
                assert not start_task.done() and not sidecar.lifecycle.is_ready
                discovery.answer(1)
            await start_task
            assert sidecar.lifecycle.is_ready and (sidecar.counters.lists > 0) is discovery_answers
            sidecar.close()
        silent_server.close()

    b.run(scenario())


def test_waits_of_a_start_sum_up_to_at_most_five_seconds() -> None:
    """A start may take ten seconds. Connecting, reading and waiting for discovery may use half of them."""
    assert 2 * handover.PREDECESSOR_TIMEOUT_S + DISCOVERY_WAIT_S <= 5.0


@pytest.mark.parametrize("known", [True, False])
def test_fleet_member_is_ready_before_its_turn_to_call_discovery(known: bool, tmp_path: Path) -> None:
    """The other members are silent, and calls to discovery wait for turns: neither may delay readiness."""

    async def scenario() -> None:
        fleet_config = {
            "name": "t",
            "listen": "127.0.0.1:0",
            "seeds": ["127.0.0.1:1"],
            "recovery": {"snapshot": str(tmp_path / "snapshot")},
        }
        async with bed_with_failing_discovery(
            "hangs", b.Endpoint("s-1"), known, bounds=BOUNDS, ordinal=3
        ) as (bed, discovery):
            bed.config_file["fleet"] = fleet_config
            sidecar = make_sidecar(bed)
            await sidecar.start_serving()
            assert sidecar._discovery.may_call is not None and not sidecar._discovery.may_call()
            assert await is_ready(sidecar) and discovery.calls == 0
            assert sidecar.counters.lists == 0
            sidecar.close()

    b.run(scenario())


BOUNDS = {
    "may-cancel": True,
    "max-retry-after-ms": 2000.0,
    "peers": True,
    "probes": True,
    "retry-after": True,
    "second-copies": False,
    "send-cap": 5,
}
