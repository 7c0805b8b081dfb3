"""Runs the tier program in virtual time at full size: an origin, nine regions, 33 zones and 12,000 sidecars.

The program itself is unchanged. It runs on an event loop whose clock jumps to the next timer. Connections are
in-memory queues with a delay, and a path can be blocked in one direction or in both. Waiting times, network
delays, batching, the rate limits on full lists, random delays and timeouts are therefore measured exactly.
Processing takes no virtual time; the runs with real processes (`way.py`) measure what it adds.

Each simulated sidecar is a `SidecarWatch`. It keeps the list that it received, checks the order of the
responses and fails over between several addresses as a sidecar does (`routing/places.py`).

    python -m larkcrank.lab.scale.virtual_way --sizes 1000,4000,12000
"""

import argparse
import asyncio
import io
import json
import math
import re
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from contextvars import Context, ContextVar, copy_context
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from larkcrank.lab.scale.machine import source_commit
from larkcrank.lab.scale.slopes import RUNS_FOLDER, write_json
from larkcrank.program.log import Log
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET, watch_target
from larkcrank.routing.places import AddressFailover
from larkcrank.tiers import config as configuration
from larkcrank.tiers import program

Address = tuple[str, int]

UNIX_TIME_AT_START_S = 1.7e9
WATCH_WAIT_MS = 60_000  # the same wait as in a sidecar's watch
WATCH_TIMEOUT_MARGIN_S = 1.5  # added to the wait of a watch before the client gives up
REQUEST_TIMEOUT_S = 3.0
TOTAL_OUTAGE_S = 20.0  # how long all tiers are down at once
WATCH_TARGET_PATTERN = re.compile(rb"after=(\d+)&wait_ms=(\d+)")
SUSTAINED_CHANGES_PER_S = 0.6


class _VirtualClockSelector:
    """A selector without sockets: it advances the virtual clock by the timeout and reports no events."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the event loop has no timer left, so virtual time cannot advance")
        if timeout > 0:
            self.now_s += timeout
        return []


class VirtualNetwork:
    """Listeners, transports and network faults, by the name of the simulated process that owns them."""

    def __init__(self, delay_between_s: Callable[[str, str], float]) -> None:
        self.delay_between_s = delay_between_s
        self.listeners: dict[Address, tuple[str, Callable[[], asyncio.BaseProtocol]]] = {}
        self.blocked_paths: set[tuple[str, str]] = set()  # (sender, receiver): data is lost
        self.stopped_processes: set[str] = set()  # paused processes; no data reaches or leaves them
        self.transports: dict[str, set[VirtualTransport]] = {}
        self.connection_counts: Counter[tuple[str, str]] = Counter()
        self.sent_bytes: Counter[str] = Counter()  # by sending process
        self._last_port = 1000

    def allocate_address(self) -> Address:
        self._last_port += 1
        return ("10.0.0.1", self._last_port)

    def can_deliver(self, sender: str, receiver: str) -> bool:
        return (
            (sender, receiver) not in self.blocked_paths
            and sender not in self.stopped_processes
            and receiver not in self.stopped_processes
        )

    def kill_process(self, process: str) -> None:
        """Removes the listeners of a process and resets its connections, as when the process dies."""
        for address in [
            address
            for address, (listening_process, _) in self.listeners.items()
            if listening_process == process
        ]:
            del self.listeners[address]
        for transport in list(self.transports.get(process, ())):
            transport.abort()

    def restore(self) -> None:
        """Unblocks all paths and resets connections that lost data, as when a machine is reachable again."""
        self.blocked_paths.clear()
        for transports in self.transports.values():
            for transport in list(transports):
                if transport.has_lost_data:
                    transport.abort()


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: "VirtualLoop", process: str, protocol: asyncio.BaseProtocol, port: int) -> None:
        super().__init__()
        self.process, self.has_lost_data = process, False
        self.remote: VirtualTransport | None = None
        self.local_address: Address = ("10.1.0.1", port)
        self._loop, self._protocol = loop, protocol
        self._incoming: deque[tuple[float, bytes | None]] = (
            deque()
        )  # arrival time; data, or None for the end of the connection
        self._last_arrival_s = 0.0
        self._paused = self._closed = False
        self.context = context_of_process(process)
        loop.network.transports.setdefault(process, set()).add(self)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self._closed and self.remote is not None:
            self._loop.network.sent_bytes[self.process] += len(data)
            self._deliver_to_remote(bytes(data))

    def _deliver_to_remote(self, chunk: bytes | None) -> None:
        """Queues data, or None for the end of the connection, at the remote end after the network delay."""
        remote, network = self.remote, self._loop.network
        if remote is None:
            return
        if not network.can_deliver(self.process, remote.process):
            self.has_lost_data = remote.has_lost_data = True
            return
        arrives_at_s = max(
            self._last_arrival_s, self._loop.time() + network.delay_between_s(self.process, remote.process)
        )
        self._last_arrival_s = arrives_at_s
        remote._incoming.append((arrives_at_s, chunk))
        self._loop.call_at(arrives_at_s, remote._deliver_incoming, context=remote.context)

    def _deliver_incoming(self) -> None:
        """Passes all data that has arrived by now to the protocol."""
        while self._incoming and not self._paused and self._incoming[0][0] <= self._loop.time() + 1e-9:
            _, chunk = self._incoming.popleft()
            if chunk is None:
                self._report_closed(ConnectionResetError("reset"))
                return
            if self.process in self._loop.network.stopped_processes:
                self.has_lost_data = (
                    True  # the data stays in the kernel, as the paused process does not read it
                )
                continue
            cast(asyncio.Protocol, self._protocol).data_received(chunk)

    def close(self) -> None:
        if not self._closed:
            self._deliver_to_remote(None)
            self._report_closed(None)

    def abort(self) -> None:
        self.close()

    def _report_closed(self, error: Exception | None) -> None:
        if not self._closed:
            self._closed = True
            self._loop.network.transports[self.process].discard(self)
            self._loop.call_soon(self._protocol.connection_lost, error, context=self.context)

    def is_closing(self) -> bool:
        return self._closed

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        self._loop.call_soon(self._deliver_incoming, context=self.context)

    def is_reading(self) -> bool:
        return not self._paused

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "peername" and self.remote is not None:
            return self.remote.local_address
        return self.local_address if name == "sockname" else default


class _ListeningSocket:
    """Stands in for a bound socket and holds only the address to listen on."""

    def __init__(self, address: Address) -> None:
        self.address = address

    def getsockname(self) -> Address:
        return self.address


class _ListeningServer:
    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self._network, self._address = network, address

    def close(self) -> None:
        self._network.listeners.pop(self._address, None)


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop with a virtual clock and in-memory connections.

    The context variable `_current_process` names the simulated process that the running code belongs to.
    """

    def __init__(self, network: VirtualNetwork) -> None:
        super().__init__()
        self.network = network
        self._selector = _VirtualClockSelector()

    def time(self) -> float:
        return self._selector.now_s

    def _process_events(self, events: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    async def create_server(  # type: ignore[override]
        self, factory: Any, *_: Any, sock: Any = None, **__: Any
    ) -> Any:
        self.network.listeners[sock.address] = (_current_process.get(), factory)
        return _ListeningServer(self.network, sock.address)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        network, source_process = self.network, _current_process.get()
        listener = network.listeners.get((host, port))
        target_process = listener[0] if listener is not None else ""
        if listener is not None and not (
            network.can_deliver(source_process, target_process)
            and network.can_deliver(target_process, source_process)
        ):
            await asyncio.sleep(
                3600.0
            )  # the connection request or its reply is lost, so the caller runs into its timeout
        await asyncio.sleep(
            2 * network.delay_between_s(source_process, target_process) if listener is not None else 0.001
        )
        listener = network.listeners.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(111, "refused")
        network.connection_counts[source_process, listener[0]] += 1
        client_protocol, server_protocol = factory(), listener[1]()
        client_transport = VirtualTransport(
            self, source_process, client_protocol, network.allocate_address()[1]
        )
        server_transport = VirtualTransport(self, listener[0], server_protocol, port)
        client_transport.remote, server_transport.remote = server_transport, client_transport
        client_protocol.connection_made(client_transport)
        if not client_transport.is_closing():
            self.call_soon(
                server_protocol.connection_made, server_transport, context=server_transport.context
            )
        return client_transport, client_protocol


# The simulated process that the running code belongs to. Tasks and timers inherit it.
_current_process: ContextVar[str] = ContextVar("group", default="")


def context_of_process(process: str) -> Context:
    """Returns a context whose code runs as the given simulated process."""
    context = copy_context()
    context.run(_current_process.set, process)
    return context


class DiscoveryService:
    """An in-memory discovery service with one list of endpoints.

    All changes of one call of `apply_changes` go out in one response to each watch.
    """

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.lines = {line["instanceId"]: line for line in lines}
        self.generation = 1
        self.calls = 0
        self._change_log: list[tuple[int, str]] = []
        self._removed_lines: dict[str, dict[str, Any]] = {}
        self._waiting_watches: list[tuple[_DiscoveryConnection, int]] = []

    def apply_changes(self, lines: Iterable[dict[str, Any]]) -> None:
        """Stores changed lines under a new generation and answers all waiting watches."""
        self.generation += 1
        for line in lines:
            instance_id = line["instanceId"]
            self.lines.pop(instance_id, None)
            self._removed_lines.pop(instance_id, None)
            (self._removed_lines if line["lifecycle"] == "Gone" else self.lines)[instance_id] = line
            self._change_log.append((self.generation, instance_id))
        answered_watches, self._waiting_watches = self._waiting_watches, []
        for connection, after in answered_watches:
            connection.send_response(self.build_response(after))

    def build_response(self, after: int | None) -> bytes:
        """Encodes the changes after a generation, or the full list if that generation is unknown."""
        if after is None or not 1 <= after <= self.generation:
            response_lines: list[dict[str, Any]] = list(self.lines.values())
        else:
            changed_ids = dict.fromkeys(
                instance_id for generation, instance_id in self._change_log if generation > after
            )
            response_lines = [
                self.lines.get(instance_id) or self._removed_lines[instance_id] for instance_id in changed_ids
            ]
        is_full_list = after is None or not 1 <= after <= self.generation
        body = {"generation": self.generation, "reset": is_full_list, "instances": response_lines}
        return http1.encode_response(200, (), msgspec.json.encode(body))

    def handle_request(self, connection: "_DiscoveryConnection", target: bytes) -> None:
        """Answers at once, or holds a watch of the current generation until a change or its wait time."""
        self.calls += 1
        watch_match = WATCH_TARGET_PATTERN.search(target)
        if watch_match is None or int(watch_match[1]) != self.generation:
            connection.send_response(
                self.build_response(None if watch_match is None else int(watch_match[1]))
            )
            return
        waiting_watch = (connection, int(watch_match[1]))
        self._waiting_watches.append(waiting_watch)

        def expire_watch() -> None:
            if waiting_watch in self._waiting_watches:
                self._waiting_watches.remove(waiting_watch)
                connection.send_response(self.build_response(waiting_watch[1]))

        asyncio.get_running_loop().call_later(int(watch_match[2]) / 1000.0, expire_watch)


class _DiscoveryConnection(asyncio.Protocol):
    """The server side of a connection to a `DiscoveryService`. Each request arrives in one piece."""

    def __init__(self, discovery: DiscoveryService) -> None:
        self._discovery = discovery
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._discovery.handle_request(self, data.split(b" ", 2)[1])

    def send_response(self, response: bytes) -> None:
        if self._transport is not None:
            self._transport.write(response)


class SidecarWatch(asyncio.Protocol):
    """The discovery watch of one sidecar. It keeps the received list and records protocol violations."""

    def __init__(
        self, simulation: "TierSimulation", number: int, addresses: list[Address], process: str
    ) -> None:
        self.number, self.process = number, process
        self._context = context_of_process(process)
        self.addresses = AddressFailover(addresses, Random(simulation.rng.getrandbits(64)))
        self.state_by_instance: dict[str, str] = {}
        self.removed_instances: set[str] = set()
        self.protocol_errors: list[str] = []
        self.generation: int | None = None
        self.full_list_responses = self.change_responses = self.calls = self.failures = 0
        self._simulation = simulation
        self._transport: asyncio.Transport | None = None
        self._parser: http1.ResponseParser | None = None
        self._request_timer: asyncio.TimerHandle | None = None
        self._reconnect_pending = False
        self._connection_generation = -1  # last generation received on this connection

    def start(self, delay_s: float) -> None:
        self._simulation.loop.call_later(delay_s, self._connect)

    def _connect(self) -> None:
        self._reconnect_pending = False
        self._connection_generation = -1
        task = self._simulation.loop.create_task(self._simulation.connect_watch(self), context=self._context)
        task.add_done_callback(self._connect_finished)
        self._set_request_timeout(REQUEST_TIMEOUT_S)

    def _connect_finished(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._schedule_reconnect()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self._reconnect_pending:
            cast(asyncio.Transport, transport).abort()
            return
        self._transport = cast(asyncio.Transport, transport)
        self._send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._schedule_reconnect()

    def _set_request_timeout(self, delay_s: float) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
        self._request_timer = self._simulation.loop.call_later(delay_s, self._schedule_reconnect)

    def _send_request(self) -> None:
        assert self._transport is not None
        target = LIST_TARGET if self.generation is None else watch_target(self.generation, WATCH_WAIT_MS)
        self._parser = http1.ResponseParser(max_body_bytes=64 << 20)
        self.calls += 1
        self._simulation.record_call(self)
        self._transport.write(http1.encode_request(b"GET", target, (b"Host: d",)))
        self._set_request_timeout(
            REQUEST_TIMEOUT_S if self.generation is None else WATCH_WAIT_MS / 1000.0 + WATCH_TIMEOUT_MARGIN_S
        )

    def _schedule_reconnect(self) -> None:
        """Closes the connection and reconnects after the delay that the address failover gives."""
        if self._reconnect_pending:
            return
        self._reconnect_pending = True
        self.failures += 1
        if self._request_timer is not None:
            self._request_timer.cancel()
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()
        loop = self._simulation.loop
        loop.call_later(self.addresses.record_failure(loop.time()), self._connect)

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        self._parser.feed(data)
        if not self._parser.complete:
            return
        response, self._parser = self._parser.response(), None
        if response.status != 200:
            self._schedule_reconnect()
            return
        self.addresses.record_success()
        self._handle_list(msgspec.json.decode(response.body))
        if self._transport is not None:
            self._send_request()

    def _handle_list(self, response: dict[str, Any]) -> None:
        """Applies a full list or a list of changes and checks it against what was received before."""
        generation, lines = response["generation"], response["instances"]
        is_full_list = response["reset"] or self.generation is None
        if generation < self._connection_generation:
            self.protocol_errors.append(
                f"received generation {generation} after {self._connection_generation}"
            )
        self._connection_generation = self.generation = generation
        if is_full_list:
            self.full_list_responses += 1
            self._simulation.record_full_list(self)
            if not lines:
                self.protocol_errors.append("received an empty full list")
            listed_instances = {line["instanceId"] for line in lines}
            self.removed_instances |= self.state_by_instance.keys() - listed_instances
            self.state_by_instance = {
                instance_id: state
                for instance_id, state in self.state_by_instance.items()
                if instance_id in listed_instances
            }
        elif lines:
            self.change_responses += 1
        for line in lines:
            instance_id, state = line["instanceId"], line["lifecycle"]
            if state == "Gone":
                self.state_by_instance.pop(instance_id, None)
                self.removed_instances.add(instance_id)
            else:
                if instance_id in self.removed_instances:
                    self.protocol_errors.append(f"{instance_id} returned after it was removed")
                self.state_by_instance[instance_id] = state
            self._simulation.record_delivery(self, instance_id, state)


class TierSimulation:
    """All tiers, discovery services and sidecar watches on one virtual event loop.

    Times are in seconds of virtual time. Sidecar number n runs beside endpoint number n, so it has the zone
    and the service of that endpoint.
    """

    def __init__(
        self,
        size: int,
        regions: int = 9,
        zones: int = 33,
        endpoints_per_service: int = 28,
        called_service_count: int = 3,
        seed: int = 1,
        same_region_delay_s: float = 0.001,
        cross_region_delay_s: float = 0.040,
        **settings: Any,
    ) -> None:
        """The delays are one-way network delays. `settings` go into the configuration of every tier."""
        self.rng = Random(seed)
        self.size, self.regions, self.zones, self.called_service_count = (
            size,
            regions,
            zones,
            called_service_count,
        )
        self.services = max(1, size // endpoints_per_service)
        self._endpoints_per_service, self._same_region_delay_s, self._cross_region_delay_s = (
            endpoints_per_service,
            same_region_delay_s,
            cross_region_delay_s,
        )
        self._settings = settings
        self.network = VirtualNetwork(self._network_delay_s)
        self.loop = VirtualLoop(self.network)
        self.tiers: dict[str, program.Tier] = {}
        self.logs: dict[str, io.BytesIO] = {}
        self.discoveries: list[DiscoveryService] = []
        self.watches: list[SidecarWatch] = []
        self.calls_per_100_ms: Counter[tuple[str, int]] = Counter()  # key: zone's process, tenth of a second
        self.full_lists_per_100_ms: Counter[tuple[str, int]] = Counter()  # same key
        # By (instance ID, lifecycle state): the time of the change, and the numbers of the watches that have
        # not received the change yet.
        self._changed_at_s: dict[tuple[str, str], float] = {}
        self._pending_watches: dict[tuple[str, str], set[int]] = {}
        self.delivery_times_s: list[float] = []
        self._tier_configs: dict[str, configuration.Config] = {}
        self._address_by_zone_and_service: dict[tuple[int, int], Address] = {}
        self._zone_process_by_address: dict[Address, str] = {}

    # Placement of services, zones and regions

    def service_of(self, endpoint_number: int) -> int:
        return min(endpoint_number // self._endpoints_per_service, self.services - 1)

    def zone_of(self, endpoint_number: int) -> int:
        return endpoint_number % self.zones

    def region_of_zone(self, zone: int) -> int:
        return zone * self.regions // self.zones

    def services_called_by(self, service: int) -> list[int]:
        """Returns a fixed selection of services, spread over all of them."""
        step = max(1, self.services // 7)
        return sorted({(service + 1 + k * step) % self.services for k in range(self.called_service_count)})

    def endpoint_line(self, endpoint_number: int, lifecycle: str = "Ready") -> dict[str, Any]:
        return {
            "instanceId": f"s-{endpoint_number:08x}",
            "hostPort": f"10.{endpoint_number >> 14}.{(endpoint_number >> 7) & 127}"
            f".{(endpoint_number & 127) + 1}:8000",
            "zone": f"z{self.zone_of(endpoint_number)}",
            "machineType": "plain",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            "service": f"svc-{self.service_of(endpoint_number)}",
        }

    def region_of_process(self, process: str) -> int:
        """Derives the region from a process name such as `zone-3`; the origin is in region 0."""
        kind, _, number = process.partition("-")
        if kind == "zone":
            return self.region_of_zone(int(number))
        if kind in ("region", "discovery"):
            return int(number)
        return 0 if kind == "origin" else self.region_of_zone(self.zone_of(int(number)))

    def _network_delay_s(self, sender: str, receiver: str) -> float:
        return (
            self._same_region_delay_s
            if self.region_of_process(sender) == self.region_of_process(receiver)
            else self._cross_region_delay_s
        )

    # Startup and shutdown of processes

    def start(self) -> None:
        """Starts discovery, all tiers and all sidecar watches, and waits until every watch has a list.

        Replaces the clock and the socket function of the tier program; `close` puts them back.
        """
        network = self.network
        setattr(program, "time", SimpleNamespace(time=lambda: UNIX_TIME_AT_START_S + self.loop.time()))  # noqa: B010
        setattr(program, "_bind_socket", _ListeningSocket)  # noqa: B010
        asyncio.set_event_loop(None)
        for region in range(self.regions):
            endpoint_numbers = (
                number for number in range(self.size) if self.region_of_zone(self.zone_of(number)) == region
            )
            discovery = DiscoveryService(self.endpoint_line(number) for number in endpoint_numbers)
            self.discoveries.append(discovery)
            address = ("10.2.0.1", region + 1)
            network.listeners[address] = (
                f"discovery-{region}",
                lambda bound_discovery=discovery: _DiscoveryConnection(bound_discovery),  # type: ignore[misc]
            )
        origin_address = network.allocate_address()
        region_addresses = [
            (network.allocate_address(), network.allocate_address()) for _ in range(self.regions)
        ]
        self._add_tier_config(
            "origin",
            listen=origin_address,
            sources=[
                {"discovery": _format_address(own_list_address)} for _, own_list_address in region_addresses
            ],
        )
        for region, (listen_address, own_list_address) in enumerate(region_addresses):
            self._add_tier_config(
                f"region-{region}",
                listen=listen_address,
                own=_format_address(own_list_address),
                sources=[{"discovery": f"10.2.0.1:{region + 1}"}],
                above=[_format_address(origin_address)],
            )
        for zone in range(self.zones):
            listener_configs = []
            for service in range(self.services):
                address = self._address_by_zone_and_service[zone, service] = network.allocate_address()
                self._zone_process_by_address[address] = f"zone-{zone}"
                service_names = [
                    f"svc-{called_service}" for called_service in self.services_called_by(service)
                ]
                listener_configs.append({"listen": _format_address(address), "services": service_names})
            upstream_regions = [
                (self.region_of_zone(zone) + k) % self.regions for k in range(min(3, self.regions))
            ]
            self._add_tier_config(
                f"zone-{zone}",
                listen=network.allocate_address(),
                doors=listener_configs,
                above=[_format_address(region_addresses[region][0]) for region in upstream_regions],
            )
        for name in self._tier_configs:
            self.start_tier(name)
        self.run(5.0)
        for number in range(self.size):
            zone, service = self.zone_of(number), self.service_of(number)
            fallback_zones = [(zone + k) % self.zones for k in range(1, 3)]
            addresses = [
                self._address_by_zone_and_service[serving_zone, service]
                for serving_zone in (zone, *fallback_zones)
            ]
            self.watches.append(SidecarWatch(self, number, addresses, f"sidecar-{number}"))
        for watch in self.watches:
            watch.start(self.rng.random() * 5.0)
        self.wait_until_all_have_lists(120.0)

    def _add_tier_config(self, name: str, listen: Address, **other_fields: Any) -> None:
        config_fields = {
            "name": name,
            "listen": _format_address(listen),
            "settings": self._settings,
            **other_fields,
        }
        self._tier_configs[name] = configuration.parse(json.dumps(config_fields).encode())

    def start_tier(self, name: str) -> None:
        """Starts the process of a tier from its configuration and with empty state."""
        log = self.logs.setdefault(name, io.BytesIO())

        async def create_and_start() -> None:
            tier = self.tiers[name] = program.Tier(
                self._tier_configs[name], Log(name, log), Random(self.rng.getrandbits(64))
            )
            await tier.start()

        self.loop.run_until_complete(
            self.loop.create_task(create_and_start(), context=context_of_process(name))
        )

    def kill_tier(self, name: str) -> None:
        """Cancels the tasks of a tier and resets its connections, as when its process dies."""
        tier = self.tiers.pop(name)
        for task in tier._tasks:
            task.cancel()
        self.network.kill_process(name)
        self.run(0.0)

    async def connect_watch(self, watch: SidecarWatch) -> None:
        await self.loop.create_connection(lambda: watch, *watch.addresses.current)

    # Running, changes and measurements

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(self.loop.create_task(asyncio.sleep(seconds)))

    def wait_until_all_have_lists(self, timeout_s: float) -> None:
        """Runs until every watch has received a list; raises AssertionError after the timeout."""
        deadline_s = self.loop.time() + timeout_s
        while any(watch.generation is None for watch in self.watches):
            assert self.loop.time() < deadline_s, "some sidecar watches have not received a list"
            self.run(0.5)

    def change_endpoints(self, endpoint_numbers: Iterable[int], lifecycle: str) -> None:
        """Changes the lifecycle state of these endpoints at one moment.

        For each endpoint and each sidecar that calls its service, `delivery_times_s` gets the time until the
        change arrives.
        """
        by_region: dict[int, list[dict[str, Any]]] = {}
        now_s = self.loop.time()
        calling_watches_by_service: dict[int, set[int]] = {}
        for endpoint_number in endpoint_numbers:
            line = self.endpoint_line(endpoint_number, lifecycle)
            by_region.setdefault(self.region_of_zone(self.zone_of(endpoint_number)), []).append(line)
            service = self.service_of(endpoint_number)
            if service not in calling_watches_by_service:
                calling_watches_by_service[service] = {
                    watch.number
                    for watch in self.watches
                    if service in self.services_called_by(self.service_of(watch.number))
                }
            delivery_key = (str(line["instanceId"]), lifecycle)
            self._changed_at_s[delivery_key] = now_s
            self._pending_watches[delivery_key] = set(calling_watches_by_service[service])
        for region, lines in by_region.items():
            self.discoveries[region].apply_changes(lines)

    def record_delivery(self, watch: SidecarWatch, instance_id: str, state: str) -> None:
        """Records the delivery time of a change if this watch had not received it yet."""
        pending_watches = self._pending_watches.get((instance_id, state))
        if pending_watches is not None and watch.number in pending_watches:
            pending_watches.discard(watch.number)
            self.delivery_times_s.append(self.loop.time() - self._changed_at_s[instance_id, state])

    def record_call(self, watch: SidecarWatch) -> None:
        """Counts a request by the zone's process that it goes to."""
        zone_process = self._zone_process_by_address.get(watch.addresses.current, "")
        self.calls_per_100_ms[zone_process, int(self.loop.time() * 10)] += 1

    def record_full_list(self, watch: SidecarWatch) -> None:
        """Counts a full list by the zone's process that sent it, and records removals that it implies."""
        zone_process = self._zone_process_by_address.get(watch.addresses.current, "")
        self.full_lists_per_100_ms[zone_process, int(self.loop.time() * 10)] += 1
        # A full list without an instance also reports the removal of that instance.
        for (instance_id, state), pending_watches in self._pending_watches.items():
            if state == "Gone" and watch.number in pending_watches:
                pending_watches.discard(watch.number)
                self.delivery_times_s.append(self.loop.time() - self._changed_at_s[instance_id, state])

    def pending_deliveries(self) -> int:
        """Returns how many deliveries to watches are still missing."""
        return sum(map(len, self._pending_watches.values()))

    def take_delivery_summary(self) -> dict[str, float]:
        """Summarizes the deliveries since the last call and resets the records."""
        delivery_times_s = sorted(self.delivery_times_s)
        self.delivery_times_s.clear()
        undelivered = self.pending_deliveries()
        self._pending_watches.clear()
        if not delivery_times_s:
            return {"told": 0, "missed": undelivered}
        return {
            "told": len(delivery_times_s),
            "missed": undelivered,
            "median_s": round(delivery_times_s[len(delivery_times_s) // 2], 3),
            "p99_s": round(delivery_times_s[math.ceil(0.99 * len(delivery_times_s)) - 1], 3),
            "last_s": round(delivery_times_s[-1], 3),
        }

    def run_until_delivered(self, timeout_s: float) -> None:
        """Runs until all affected watches have received all changes, or until the timeout."""
        deadline_s = self.loop.time() + timeout_s
        while self.pending_deliveries() and self.loop.time() < deadline_s:
            self.run(0.1)

    def sent_bytes_by_process_kind(self) -> dict[str, int]:
        """Returns the bytes sent so far by each kind of process."""
        bytes_by_kind: Counter[str] = Counter()
        for process, byte_count in self.network.sent_bytes.items():
            bytes_by_kind[process.partition("-")[0]] += byte_count
        return dict(bytes_by_kind)

    def full_list_requests(self) -> int:
        """Returns how often the running tiers have requested a full list so far."""
        return sum(feed.full_requests for tier in self.tiers.values() for feed in tier._feeds)

    def count_log_events(self, name: str) -> int:
        """Counts the log records of this event in the logs of all tiers."""
        event_field = f'"event":"{name}"'.encode()
        return sum(log.getvalue().count(event_field) for log in self.logs.values())

    def protocol_errors(self) -> list[str]:
        return [f"{watch.number}: {error}" for watch in self.watches for error in watch.protocol_errors]

    def all_lists_are_correct(self) -> bool:
        """Tells whether the list of every watch matches what discovery has for the services it calls."""
        expected_states_by_service: dict[str, dict[str, str]] = {}
        for discovery in self.discoveries:
            for line in discovery.lines.values():
                expected_states_by_service.setdefault(line["service"], {})[line["instanceId"]] = line[
                    "lifecycle"
                ]
        expected_states_by_caller: dict[int, dict[str, str]] = {}
        for watch in self.watches:
            service = self.service_of(watch.number)
            if service not in expected_states_by_caller:
                expected_states_by_caller[service] = {}
                for called_service in self.services_called_by(service):
                    expected_states_by_caller[service] |= expected_states_by_service.get(
                        f"svc-{called_service}", {}
                    )
            if watch.state_by_instance != expected_states_by_caller[service]:
                return False
        return True

    def run_until_lists_are_correct(self, timeout_s: float) -> float | None:
        """Returns the seconds until all lists are correct, or None after the timeout."""
        started_at_s = self.loop.time()
        while not self.all_lists_are_correct():
            if self.loop.time() - started_at_s >= timeout_s:
                return None
            self.run(0.1)
        return round(self.loop.time() - started_at_s, 1)

    def close(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(0.0)
        setattr(program, "time", time)  # noqa: B010
        setattr(program, "_bind_socket", _original_bind_socket)  # noqa: B010
        self.loop.close()


_original_bind_socket = program._bind_socket


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class TierScenarios:
    """Scenarios of changes, crashes and partitions, run one after another in one simulation."""

    def __init__(self, simulation: TierSimulation, log: Callable[[str], None]) -> None:
        self.simulation, self._log = simulation, log
        self.cases: dict[str, dict[str, Any]] = {}
        self._random = Random(47)
        self._state_by_endpoint: dict[int, str] = {}
        self._removed_endpoints: set[int] = set()

    def run_all(self, partition_s: float) -> dict[str, dict[str, Any]]:
        """Starts the simulation, runs all scenarios and returns their results by case name."""
        started_at_s = time.monotonic()
        self.simulation.start()
        self._record_case("start", all_hold_s=round(self.simulation.loop.time(), 1))
        self.run_evenly_spaced_changes("lone change", 20, 40.0)
        self.run_evenly_spaced_changes("0.6 a second", 36, 60.0)
        self.run_evenly_spaced_changes("6 a second", 60, 10.0)
        self.run_zone_loss()
        self.run_region_tier_crash()
        self.run_zone_tier_crash()
        self.run_region_partition(partition_s)
        self.run_total_outage()
        self._record_case(
            "all",
            faults=len(self.simulation.protocol_errors()),
            crashed=self.simulation.count_log_events("crashed"),
        )
        self.cases["all"]["processor_s"] = round(time.monotonic() - started_at_s, 1)
        return self.cases

    def _record_case(self, case_name: str, **other_results: Any) -> None:
        """Stores the delivery times since the last case together with other results."""
        self.cases[case_name] = self.simulation.take_delivery_summary() | other_results
        self._log(f"{self.simulation.size} {case_name}: {self.cases[case_name]}")

    def _pick_endpoint(self, region: int | None = None) -> int:
        """Picks a random endpoint that is not removed, in the given region or in any."""
        while True:
            endpoint_number = self._random.randrange(self.simulation.size)
            if endpoint_number not in self._removed_endpoints and region in (
                None,
                self.simulation.region_of_zone(self.simulation.zone_of(endpoint_number)),
            ):
                return endpoint_number

    def _toggle_drain(self, region: int | None = None) -> None:
        """Starts draining a random endpoint, or makes it ready again if it is draining."""
        endpoint_number = self._pick_endpoint(region)
        new_state = self._state_by_endpoint[endpoint_number] = (
            "Ready" if self._state_by_endpoint.get(endpoint_number) == "Terminating" else "Terminating"
        )
        self.simulation.change_endpoints([endpoint_number], new_state)

    def run_evenly_spaced_changes(self, case_name: str, count: int, seconds: float) -> None:
        """Changes one endpoint after another and records delivery times, bytes and calls."""
        bytes_before, calls_before = (
            self.simulation.sent_bytes_by_process_kind(),
            sum(watch.calls for watch in self.simulation.watches),
        )
        for _ in range(count):
            self._toggle_drain()
            self.simulation.run(seconds / count)
        self.simulation.run_until_delivered(20.0)
        bytes_per_s = {
            kind: (byte_count - bytes_before[kind]) / seconds
            for kind, byte_count in self.simulation.sent_bytes_by_process_kind().items()
        }
        calls_made = sum(watch.calls for watch in self.simulation.watches) - calls_before
        self._record_case(
            case_name,
            sidecar_out_bytes_per_s=round(bytes_per_s["sidecar"] / self.simulation.size, 1),
            zone_out_bytes_per_s=round(bytes_per_s["zone"] / self.simulation.zones),
            region_out_bytes_per_s=round(bytes_per_s["region"] / self.simulation.regions),
            origin_out_bytes_per_s=round(bytes_per_s["origin"]),
            sidecar_calls_per_s=round(calls_made / self.simulation.size / seconds, 4),
        )

    def run_zone_loss(self) -> None:
        """Removes all endpoints of a zone at once and drains one endpoint of another region 1 ms later."""
        simulation = self.simulation
        lost_endpoints = [
            endpoint_number
            for endpoint_number in range(simulation.size)
            if simulation.zone_of(endpoint_number) == simulation.zones // 2
            and endpoint_number not in self._removed_endpoints
        ]
        bytes_before, change_responses_before = (
            simulation.sent_bytes_by_process_kind(),
            sum(watch.change_responses for watch in simulation.watches),
        )
        simulation.change_endpoints(lost_endpoints, "Gone")
        self._removed_endpoints.update(lost_endpoints)
        simulation.run(0.001)
        draining_endpoint = self._pick_endpoint(
            (simulation.region_of_zone(simulation.zones // 2) + 1) % simulation.regions
        )
        delivery_key = (f"s-{draining_endpoint:08x}", "Terminating")
        drain_started_at_s = simulation.loop.time()
        self._state_by_endpoint[draining_endpoint] = "Terminating"
        simulation.change_endpoints([draining_endpoint], "Terminating")
        while simulation._pending_watches.get(delivery_key):
            simulation.run(0.01)
        drain_delivery_s = simulation.loop.time() - drain_started_at_s
        simulation.run_until_delivered(30.0)
        sent_bytes = {
            kind: byte_count - bytes_before[kind]
            for kind, byte_count in simulation.sent_bytes_by_process_kind().items()
        }
        self._record_case(
            "zone lost",
            endpoints=len(lost_endpoints),
            drain_behind_s=round(drain_delivery_s, 2),
            answers=sum(watch.change_responses for watch in simulation.watches) - change_responses_before,
            bytes_out=sent_bytes,
        )

    def run_region_tier_crash(self) -> None:
        """Kills the tier of region 0, changes endpoints of another region, then restarts the tier."""
        simulation = self.simulation
        connection_counts_before = Counter(simulation.network.connection_counts)
        full_lists_before = sum(watch.full_list_responses for watch in simulation.watches)
        simulation.kill_tier("region-0")
        for _ in range(8):
            self._toggle_drain(1)
            simulation.run(1.0)
        simulation.run_until_delivered(30.0)
        zone_processes = [
            f"zone-{zone}" for zone in range(simulation.zones) if simulation.region_of_zone(zone) == 0
        ]
        most_connections = max(
            sum(
                simulation.network.connection_counts[zone_process, f"region-{region}"]
                - connection_counts_before[zone_process, f"region-{region}"]
                for zone_process in zone_processes
            )
            for region in range(1, simulation.regions)
        )
        self._record_case(
            "region's tier killed",
            zones_below=len(zone_processes),
            connections_at_a_neighbour=most_connections,
            sidecars_told_whole=sum(watch.full_list_responses for watch in simulation.watches)
            - full_lists_before,
        )
        simulation.start_tier("region-0")
        self._toggle_drain(0)
        simulation.run(90.0)
        simulation.run_until_delivered(60.0)
        self._record_case("region's tier back", agreed=simulation.all_lists_are_correct())

    def run_zone_tier_crash(self) -> None:
        """Kills the tier of zone 1, so that its sidecars fail over, then restarts the tier."""
        simulation = self.simulation
        zone_watches = [watch for watch in simulation.watches if simulation.zone_of(watch.number) == 1]
        full_lists_before, calls_before = (
            Counter(simulation.full_lists_per_100_ms),
            Counter(simulation.calls_per_100_ms),
        )
        simulation.kill_tier("zone-1")
        for _ in range(8):
            self._toggle_drain(2 % simulation.regions)
            simulation.run(1.0)
        simulation.run_until_delivered(30.0)
        full_lists = simulation.full_lists_per_100_ms - full_lists_before
        calls_made = simulation.calls_per_100_ms - calls_before
        self._record_case(
            "zone's tier killed",
            sidecars=len(zone_watches),
            whole_answers=sum(full_lists.values()),
            most_whole_in_100_ms=max(full_lists.values(), default=0),
            most_calls_in_100_ms=max(
                (
                    call_count
                    for (zone_process, _), call_count in calls_made.items()
                    if zone_process == "zone-2"
                ),
                default=0,
            ),
            calls_a_sidecar=round(sum(calls_made.values()) / len(zone_watches), 1),
        )
        simulation.start_tier("zone-1")
        simulation.run(10.0)

    def run_region_partition(self, seconds: float) -> None:
        """Partitions region 1 from the others, changes endpoints on both sides and restores the network."""
        simulation, network = self.simulation, self.simulation.network
        inside_processes = {
            process
            for process in simulation._tier_configs
            if process != "origin" and simulation.region_of_process(process) == 1
        }
        outside_processes = set(simulation._tier_configs) - inside_processes
        process_pairs = [(inside, outside) for inside in inside_processes for outside in outside_processes]
        network.blocked_paths |= {
            pair for inside, outside in process_pairs for pair in ((inside, outside), (outside, inside))
        }
        change_count = 0
        while change_count < seconds * SUSTAINED_CHANGES_PER_S:
            change_count += 1
            self._toggle_drain()
            simulation.run(1 / SUSTAINED_CHANGES_PER_S)
        full_lists_before = sum(watch.full_list_responses for watch in simulation.watches)
        change_responses_before = sum(watch.change_responses for watch in simulation.watches)
        full_list_requests_before = simulation.full_list_requests()
        bytes_before = simulation.sent_bytes_by_process_kind()
        pending_before_restore = simulation.pending_deliveries()
        network.restore()
        correct_after_s = simulation.run_until_lists_are_correct(120.0)
        sent_bytes = {
            kind: byte_count - bytes_before[kind]
            for kind, byte_count in simulation.sent_bytes_by_process_kind().items()
        }
        self._record_case(
            "region cut off",
            seconds=seconds,
            changes=change_count,
            told_late=pending_before_restore,
            agreed_after_s=correct_after_s,
            sidecars_told_whole=sum(watch.full_list_responses for watch in simulation.watches)
            - full_lists_before,
            answers_to_sidecars=sum(watch.change_responses for watch in simulation.watches)
            - change_responses_before,
            tiers_asked_whole=simulation.full_list_requests() - full_list_requests_before,
            bytes_out=sent_bytes,
        )

    def run_total_outage(self) -> None:
        """Kills every tier and restarts all of them at once with empty state after `TOTAL_OUTAGE_S`."""
        simulation = self.simulation
        tier_names = list(simulation.tiers)
        states_before = {watch.number: dict(watch.state_by_instance) for watch in simulation.watches}
        for tier_name in tier_names:
            simulation.kill_tier(tier_name)
        simulation.run(TOTAL_OUTAGE_S)
        lists_kept = all(
            watch.state_by_instance == states_before[watch.number] for watch in simulation.watches
        )
        full_lists_before, errors_before = (
            Counter(simulation.full_lists_per_100_ms),
            len(simulation.protocol_errors()),
        )
        failures_before = sum(watch.failures for watch in simulation.watches)
        restarted_at_s = simulation.loop.time()
        for tier_name in tier_names:
            simulation.start_tier(tier_name)
        self._toggle_drain()
        correct_after_s = simulation.run_until_lists_are_correct(300.0)
        simulation.run(5.0)  # sidecars with an unchanged list receive a full list too
        full_lists = simulation.full_lists_per_100_ms - full_lists_before
        origin = simulation.tiers["origin"]
        elapsed_s = simulation.loop.time() - restarted_at_s
        self._record_case(
            "all tiers lost",
            kept=lists_kept,
            agreed_after_s=correct_after_s,
            origin_whole_answers=origin.full_answers,
            origin_calls_per_s=round(origin.calls / elapsed_s, 1),
            sidecars_told_whole=sum(full_lists.values()),
            most_whole_at_a_zone_in_100_ms=max(full_lists.values(), default=0),
            failed_calls_a_sidecar=round(
                (sum(watch.failures for watch in simulation.watches) - failures_before) / simulation.size, 2
            ),
            faults=len(simulation.protocol_errors()) - errors_before,
        )


def main() -> int:
    parser = argparse.ArgumentParser(description="run the tier program in virtual time")
    parser.add_argument("--sizes", default="1000,4000,12000")
    parser.add_argument(
        "--hour", type=float, default=3600.0, help="seconds that a region is partitioned from the others"
    )
    parser.add_argument("--out", type=Path, default=RUNS_FOLDER)
    arguments = parser.parse_args()

    def log(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)

    for size in map(int, arguments.sizes.split(",")):
        simulation = TierSimulation(size)
        try:
            results = TierScenarios(simulation, log).run_all(arguments.hour)
        finally:
            simulation.close()
        write_json(
            arguments.out / f"way-virtual-{size}.json",
            {"size": size, "commit": source_commit(), "cases": results},
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
