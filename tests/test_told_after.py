"""After discovery has failed and recovered, its news must reach each sidecar within 6 s.

The tests demand 5 s.

Sidecars and discovery are real and communicate over loopback sockets. Time is virtual (`virtual_loop.py`), so
that a minute passes at once and the measured delays do not depend on the load of the machine.
"""

import asyncio
import io
import json
import math
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from larkcrank.config import sidecar as config
from larkcrank.core import interface as api
from larkcrank.fleet import speaker
from larkcrank.fleet.asking import ALONE_RETRY_TURNS, TURN_MS, DiscoveryCallGate
from larkcrank.program import handover
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.protocol import http1
from larkcrank.routing import discovery
from tests import bed as testbed
from tests import virtual_loop
from tests.frames import CONFIG

FAILURE_MODES = (
    "refused",
    "never comes up",
    "reset",
    "503",
    "half a head",
    "half a body",
    "hang",
    "hang within the head",
    "hang within the body",
    "endless",
    "flood",
    "no list",
)
MAX_NEWS_DELAY_S = 5.0  # The target; the contract allows 6 s.
SIDECAR_COUNT = 20
# After this time all sidecars watch. The first calls of those that have to ask are spread over 3 s.
SETTLE_S = 10.0
# No other process uses ports of this address.
LOOPBACK_HOST = f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
TEST_TIMEOUT_S = 1000.0  # Virtual time after which a test that hangs is ended.


def _list_entry(index: int, lifecycle: str) -> dict[str, object]:
    return {"instanceId": f"s-{index}", "hostPort": f"127.0.0.1:{9 + index}", "lifecycle": lifecycle}


class FakeDiscovery:
    """A discovery server with one list that can fail in each of `FAILURE_MODES`. A call that arrives while it
    fails is never answered properly.
    """

    def __init__(self) -> None:
        self.failure_mode = ""  # "" means that it works.
        self.drained = False
        # A second call on a connection is reset; a call on a new connection hangs.
        self.resets_reused_connections = False
        self.calls: list[tuple[float, bytes]] = []
        self.answer_count = 0
        self._changed, self._never = asyncio.Event(), asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unaccepted_socket: socket.socket | None = None
        self._filler_sockets: list[socket.socket] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    # Interface for tests

    async def start(self) -> None:
        sock = self._listen(128)
        self._server = await asyncio.start_server(self._connected, sock=sock)

    def _listen(self, backlog: int) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK_HOST, self.port))
        sock.listen(backlog)
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        return sock

    def drain(self, notify_watches: bool = True) -> None:
        """Report from now on that the first server drains. With `notify_watches` off, only new callers are
        told.
        """
        self.drained = True
        if notify_watches:
            self._changed.set()

    def answer_watches(self) -> None:
        """Answer all watches with an empty list of changes."""
        self._changed.set()

    async def fail(self, failure_mode: str, end_watches: bool = True) -> None:
        """Fail in this mode from now on. Open watches are reset, or stay silent for good if `end_watches` is
        off.
        """
        self.failure_mode = failure_mode
        if end_watches:
            for writer in list(self._writers):
                _reset_connection(writer)
        if failure_mode in ("refused", "never comes up"):
            assert self._server is not None
            self._server.close()
            self._server = None
        if failure_mode == "never comes up":  # With a full backlog the kernel drops connection requests.
            self._unaccepted_socket = self._listen(0)
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((LOOPBACK_HOST, self.port))
                self._filler_sockets.append(filler)

    async def recover(self) -> None:
        """Answer every new call from now on."""
        self.failure_mode = ""
        for filler_socket in self._filler_sockets:
            filler_socket.close()
        self._filler_sockets.clear()
        if self._unaccepted_socket is not None:
            self._unaccepted_socket.close()
            self._unaccepted_socket = None
        if self._server is None:
            await self.start()

    async def stop(self) -> None:
        await self.recover()
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in self._tasks:
            task.cancel()

    # Handling of calls

    async def _connected(self, reader: testbed.Reader, writer: testbed.Writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        parser, connection_used = http1.RequestParser(), False
        try:
            while (request := await testbed.read_request(reader, parser)) is not None:
                self.calls.append((asyncio.get_running_loop().time(), request.target))
                if self.resets_reused_connections and connection_used:
                    _reset_connection(writer)
                    break
                connection_used = True
                if not await self._serve(
                    request.target,
                    reader,
                    writer,
                    "hang" if self.resets_reused_connections else self.failure_mode,
                ):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _serve(
        self, target: bytes, reader: testbed.Reader, writer: testbed.Writer, failure_mode: str
    ) -> bool:
        """Answer one call in the given mode. Returns whether the connection stays open."""
        match failure_mode:
            case "":
                return await self._send_list(target, writer)
            case "reset":
                _reset_connection(writer)
                return False
            case "503":
                writer.write(http1.encode_response(503, (), b""))
                return True
            case "no list":
                writer.write(http1.encode_response(200, (), b'{"generation":"?"}'))
                return True
            case "endless":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b"1\r\n \r\n")
                    await asyncio.sleep(0.2)
                return False
            case "flood":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b"10000\r\n" + b" " * 65536 + b"\r\n")
                    await writer.drain()
                return False
        partial_response = {
            "hang": b"",
            "hang within the head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "hang within the body": b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"generation":',
            "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "half a body": b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"generation":',
        }[failure_mode]
        writer.write(partial_response)
        if failure_mode.startswith("hang"):
            await reader.read()  # Hangs until the caller gives up.
        return False

    async def _send_list(self, target: bytes, writer: testbed.Writer) -> bool:
        generation = 2 if self.drained else 1
        if b"after=" in target:
            known_generation, wait_ms = (int(part.rpartition(b"=")[2]) for part in target.split(b"&"))
            if known_generation >= generation:
                try:
                    async with asyncio.timeout(wait_ms / 1000.0):
                        await (self._never if self.drained else self._changed).wait()
                except TimeoutError:
                    pass
                if self.failure_mode:
                    return True  # The watch is never answered.
                generation = 2 if self.drained else 1
            list_entries = [_list_entry(0, "Terminating")] if generation > known_generation else []
            response_body = {"generation": generation, "reset": False, "instances": list_entries}
        else:
            first_entry = [_list_entry(0, "Terminating" if self.drained else "Ready")]
            response_body = {
                "generation": generation,
                "reset": True,
                "instances": [*first_entry, _list_entry(1, "Ready")],
            }
        writer.write(http1.encode_response(200, (), json.dumps(response_body).encode()))
        self.answer_count += 1
        return True


def _reset_connection(writer: testbed.Writer) -> None:
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _find_free_ports(count: int) -> list[int]:
    udp_sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in udp_sockets:
        sock.bind((LOOPBACK_HOST, 0))
    ports = [sock.getsockname()[1] for sock in udp_sockets]
    for sock in udp_sockets:
        sock.close()
    return ports


def _fleet_settings(index: int, ports: list[int]) -> dict[str, object]:
    seeds = ",".join(f"{LOOPBACK_HOST}:{port}" for port in ports[:3])
    own_address = f"{LOOPBACK_HOST}:{ports[index]}"
    return {
        "name": "t",
        "listen": own_address,
        "public": own_address,
        "seeds": seeds,
        "recovery": {"same_places": True},
    }


class SidecarFleet:
    """Sidecars that use one discovery server, and the time at which each learned of the drain."""

    def __init__(
        self, discovery_server: FakeDiscovery, count: int, fleet_mode: str, seed: int, **config_overrides: Any
    ) -> None:
        self.discovery_server, self.learned_at = discovery_server, dict[int, float]()
        by_request = fleet_mode.startswith("asked")
        common_settings = CONFIG | {
            "grades": testbed.CLASSES,
            "registry-mode": "subscribe" if by_request else "automatic",
            "n-instances": count,
            "bounds": CONFIG["bounds"] | {"peers": True},
        }
        ports = _find_free_ports(count) if fleet_mode.endswith("by turns") else []
        self.config_files = [
            {
                "name": f"n{index}",
                "listen": "127.0.0.1:0",
                "discovery": f"{LOOPBACK_HOST}:{discovery_server.port}",
                "seed": str(seed * 1000 + index),
                "limits": {"sockets": 64, "memory_mb": 64.0},
                "known": {
                    "generation": 1,
                    "reset": True,
                    "instances": [_list_entry(0, "Ready"), _list_entry(1, "Ready")],
                },
                "settings": common_settings | {"ordinal": index},
                "fleet": _fleet_settings(index, ports) if ports else None,
                **config_overrides,
            }
            for index in range(count)
        ]
        self.sidecars = [self._sidecar(index) for index in range(count)]

    def _sidecar(self, index: int) -> Sidecar:
        def read_config() -> config.Config:
            return config.parse(json.dumps(self.config_files[index]).encode(), {}, is_reload=True)

        sidecar = Sidecar(read_config(), Log(f"n{index}", io.BytesIO()), read_config)
        self.record_drains(index, sidecar)
        return sidecar

    def record_drains(self, index: int, sidecar: Sidecar) -> None:
        """Record when the balancer of this sidecar learns of the drain."""
        balancer = sidecar._driver._balancer
        handle = balancer.handle

        def record_drain(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.ServerList):
                draining_endpoints = [
                    endpoint for endpoint in event.endpoints if endpoint.state is api.State.DRAINING
                ]
                if draining_endpoints:
                    self.learned_at.setdefault(index, asyncio.get_running_loop().time())
            return handle(now, event)

        sidecar._driver._balancer.handle = record_drain  # type: ignore[method-assign]

    def move_discovery(self, port: int) -> None:
        for config_file, sidecar in zip(self.config_files, self.sidecars, strict=True):
            config_file["discovery"] = f"{LOOPBACK_HOST}:{port}"
            sidecar.reload()

    async def longest_delay(self, start_time: float, remaining_count: int = SIDECAR_COUNT) -> float:
        """Wait until the last `remaining_count` sidecars have learned of the drain. Returns the longest delay
        since `start_time`.
        """
        awaited_indexes = range(len(self.sidecars))[-remaining_count:]
        while not all(index in self.learned_at for index in awaited_indexes):
            await asyncio.sleep(0.01)
        return max(self.learned_at[index] for index in awaited_indexes) - start_time

    def close(self) -> None:
        for sidecar in self.sidecars:
            sidecar.close()


@asynccontextmanager
async def running_fleet(
    fleet_mode: str, count: int = SIDECAR_COUNT, seed: int = 1
) -> AsyncIterator[tuple[SidecarFleet, FakeDiscovery]]:
    discovery_server = FakeDiscovery()
    await discovery_server.start()
    sidecar_fleet = SidecarFleet(discovery_server, count, fleet_mode, seed)
    try:
        for sidecar in sidecar_fleet.sidecars:
            sidecar.start_without_handover()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield sidecar_fleet, discovery_server
    finally:
        sidecar_fleet.close()
        await discovery_server.stop()


def now() -> float:
    return asyncio.get_running_loop().time()


async def measure_longest_delay(
    failure_mode: str,
    fleet_mode: str,
    outage_s: float,
    seed: int = 1,
    count: int = SIDECAR_COUNT,
    on_failure: Callable[[SidecarFleet, FakeDiscovery], None] = lambda sidecar_fleet, discovery_server: None,
    remaining_count: int = SIDECAR_COUNT,
) -> float:
    """Let discovery fail for `outage_s`, with a drain in the meantime. Returns the longest delay until a
    sidecar learned of it.

    `on_failure` is called as discovery begins to fail. Only the last `remaining_count` sidecars have to learn
    of the drain.
    """
    async with running_fleet(fleet_mode, count, seed) as (sidecar_fleet, discovery_server):
        await asyncio.sleep(SETTLE_S)
        await discovery_server.fail(failure_mode)
        on_failure(sidecar_fleet, discovery_server)
        await asyncio.sleep(outage_s / 2)
        discovery_server.drain()
        await asyncio.sleep(outage_s / 2)
        assert not sidecar_fleet.learned_at
        await discovery_server.recover()
        return await sidecar_fleet.longest_delay(now(), remaining_count)


def run_in_virtual_time(monkeypatch: pytest.MonkeyPatch, scenario: Callable[[], Any]) -> float:
    result: list[float] = []
    monkeypatch.setattr(speaker, "secrets", SimpleNamespace(randbits=Random(5).getrandbits))

    async def store_result() -> None:
        result.append(await scenario())

    virtual_loop.run(store_result(), monkeypatch)
    return result[0]


def test_news_after_an_aborted_watch_and_a_call_that_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a watch that waits for its 60 s although the call before it has failed."""
    assert (
        run_in_virtual_time(monkeypatch, lambda: measure_longest_delay("hang", "pushed", 12.0, count=6))
        <= MAX_NEWS_DELAY_S
    )


@pytest.mark.parametrize(
    ("fleet_mode", "outage_s"),
    [
        ("pushed", 4.0),
        ("pushed", 30.0),
        ("asked", 4.0),
        ("asked", 30.0),
        ("pushed by turns", 12.0),
        ("asked by turns", 12.0),
    ],
)
@pytest.mark.parametrize("failure_mode", FAILURE_MODES)
def test_news_after_each_kind_of_failure(
    failure_mode: str, fleet_mode: str, outage_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After 30 s, the intervals between retries are at their longest."""
    assert (
        run_in_virtual_time(monkeypatch, lambda: measure_longest_delay(failure_mode, fleet_mode, outage_s))
        <= MAX_NEWS_DELAY_S
    )


@pytest.mark.parametrize("remaining_count", [1, 3, 5, 10])
@pytest.mark.parametrize("failure_mode", ["refused", "hang"])
def test_news_with_turns_that_belong_mostly_to_dead_sidecars(
    failure_mode: str, remaining_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The sidecars die as discovery fails and count as alive for many seconds more."""

    def close_most_sidecars(sidecar_fleet: SidecarFleet, discovery_server: FakeDiscovery) -> None:
        for sidecar in sidecar_fleet.sidecars[:-remaining_count]:
            sidecar.close()

    assert (
        run_in_virtual_time(
            monkeypatch,
            lambda: measure_longest_delay(
                failure_mode,
                "pushed by turns",
                6.0,
                on_failure=close_most_sidecars,
                remaining_count=remaining_count,
            ),
        )
        <= MAX_NEWS_DELAY_S
    )


@pytest.mark.parametrize("failure_mode", FAILURE_MODES)
@pytest.mark.parametrize("fleet_mode", ["pushed", "asked"])
def test_news_after_a_move_to_a_failing_discovery(
    fleet_mode: str, failure_mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def move_during_failure() -> float:
        new_discovery_server = FakeDiscovery()
        await new_discovery_server.start()
        async with running_fleet(fleet_mode) as (sidecar_fleet, _):
            await asyncio.sleep(SETTLE_S)
            await new_discovery_server.fail(failure_mode)
            sidecar_fleet.move_discovery(new_discovery_server.port)
            await asyncio.sleep(10.0)
            new_discovery_server.drain()
            assert not sidecar_fleet.learned_at
            await new_discovery_server.recover()
            longest_delay_s = await sidecar_fleet.longest_delay(now())
        await new_discovery_server.stop()
        return longest_delay_s

    assert run_in_virtual_time(monkeypatch, move_during_failure) <= MAX_NEWS_DELAY_S


@pytest.mark.parametrize("fleet_mode", ["pushed", "asked"])
def test_news_after_a_handover_whose_first_call_hangs(
    fleet_mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last call of the old process has failed, but it hands over a generation to watch from."""

    async def hand_over_during_failure() -> float:
        discovery_server = FakeDiscovery()
        await discovery_server.start()
        old_fleet = SidecarFleet(discovery_server, SIDECAR_COUNT, fleet_mode, 1)
        for sidecar in old_fleet.sidecars:
            sidecar.start_without_handover()
        await asyncio.sleep(SETTLE_S)
        await discovery_server.fail("hang")
        new_fleet = SidecarFleet(discovery_server, SIDECAR_COUNT, fleet_mode, 2)
        for old_sidecar, new_sidecar in zip(old_fleet.sidecars, new_fleet.sidecars, strict=True):
            body = old_sidecar._handover_message()[handover._HEADER.size :]
            new_sidecar._load_initial_servers(
                handover.decode(body, new_sidecar._config.name, new_sidecar._settings_key())
            )
        old_fleet.close()
        await asyncio.sleep(12.0)
        discovery_server.drain()
        assert not new_fleet.learned_at
        await discovery_server.recover()
        longest_delay_s = await new_fleet.longest_delay(now())
        new_fleet.close()
        await discovery_server.stop()
        return longest_delay_s

    assert run_in_virtual_time(monkeypatch, hand_over_during_failure) <= MAX_NEWS_DELAY_S


@pytest.mark.parametrize("failure_mode", FAILURE_MODES)
def test_news_after_a_failed_fetch_with_silent_watches(
    failure_mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The watches are silent because their machine has vanished; the call for the full list fails and reports
    it.
    """

    async def fetch_during_failure() -> float:
        async with running_fleet("pushed") as (sidecar_fleet, discovery_server):
            await asyncio.sleep(SETTLE_S)
            await discovery_server.fail(failure_mode, end_watches=False)
            for sidecar in sidecar_fleet.sidecars:
                sidecar._discovery.fetch_list()
            await asyncio.sleep(12.0)
            discovery_server.drain(notify_watches=False)
            assert not sidecar_fleet.learned_at
            await discovery_server.recover()
            return await sidecar_fleet.longest_delay(now())

    assert run_in_virtual_time(monkeypatch, fetch_during_failure) <= MAX_NEWS_DELAY_S


def test_news_after_a_repeated_watch_that_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch was reset on a reused connection and repeated on a new one, without counting as failed."""

    async def fail_after_repeated_watch() -> float:
        async with running_fleet("pushed") as (sidecar_fleet, discovery_server):
            await asyncio.sleep(SETTLE_S)
            discovery_server.resets_reused_connections = True  # The call after the next answer is reset.
            discovery_server.answer_watches()
            await asyncio.sleep(12.0)
            discovery_server.resets_reused_connections = False
            discovery_server.drain()
            assert not sidecar_fleet.learned_at
            await discovery_server.recover()
            return await sidecar_fleet.longest_delay(now())

    assert run_in_virtual_time(monkeypatch, fail_after_repeated_watch) <= MAX_NEWS_DELAY_S


@pytest.mark.parametrize("spread_s", [0.0, 0.5, 2.0, 30.0])
def test_retry_intervals_stay_within_their_limits(spread_s: float) -> None:
    for seed in range(50):
        retry_intervals = discovery._RetryIntervals(spread_s, Random(seed))
        intervals_s = [retry_intervals.next_interval_s() for _ in range(2000)]
        assert min(intervals_s) >= 0.0 and max(intervals_s) <= discovery.RETRY_INTERVAL_LIMITS_S[1] == 4.0
        assert max(intervals_s) > 3.9  # The longest intervals.
        # Discovery is not called more often than necessary.
        assert min(intervals_s[5:]) >= discovery.RETRY_INTERVAL_LIMITS_S[1] / 2
        first_limit_s = min(max(spread_s, 1.0), 4.0)
        retry_intervals.reset()
        assert retry_intervals.next_interval_s() <= first_limit_s


def test_turns_do_not_depend_on_when_calls_failed() -> None:
    """Counted from each sidecar's own failure, some turns belonged to several sidecars and others to none."""
    live_members = [f"n{index}" for index in range(SIDECAR_COUNT)]
    askers = [
        DiscoveryCallGate(name, SIDECAR_COUNT, index, 0.0, 0.5) for index, name in enumerate(live_members)
    ]
    for index, asker in enumerate(askers):
        asker.on_success()
        asker.on_failure(50_000.0 + 370.0 * index)
    for turn in range(100, 200):
        now_ms = 1000.0 + TURN_MS * turn
        assert sum(asker.may_call(now_ms, live_members, -math.inf) for asker in askers) == 1


def test_isolated_sidecar_asks_after_a_delay_and_single_sidecar_at_once() -> None:
    for live_members, is_isolated in ((["a", "b", "c"], True), (["a"], False)):
        asker = DiscoveryCallGate("a", 20, 7, 0.0, 0.5)
        asker.on_success()
        asker.on_failure(100_000.0)
        allowed = [
            asker.may_call(100_000.0 + 100.0 * step, live_members, -math.inf, is_isolated)
            for step in range(50)
        ]
        assert allowed.index(True) * 100.0 <= ALONE_RETRY_TURNS * TURN_MS == 2000.0


def test_list_received_before_a_failure_does_not_stop_others_from_asking() -> None:
    """For 20 s after a list, all but the first two sidecars left the calls to these two, which may be dead or
    cut off.
    """
    live_members = [f"n{index}" for index in range(SIDECAR_COUNT)]
    askers = [
        DiscoveryCallGate(name, SIDECAR_COUNT, index, 0.0, 0.5) for index, name in enumerate(live_members)
    ]
    for asker in askers:
        asker.on_success()
        asker.on_failure(50_000.0)
    names_that_asked = {
        asker._name
        for asker in askers
        for turn in range(1, 21)
        if asker.may_call(50_000.0 + TURN_MS * turn, live_members, 49_000.0)
    }
    assert len(names_that_asked) == SIDECAR_COUNT
    # Received a list since: two sidecars watch.
    assert sum(asker.may_call(75_000.0, live_members, 70_000.0) for asker in askers) == 2
