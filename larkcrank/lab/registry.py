"""The bench's stand-in for the discovery service, with the faults that it can show.

It serves one list of endpoints, as a whole or as a watch of changes. Calls for the whole list are slow and
are answered one at a time. Each sidecar connects through a link of its own, which identifies the caller, and
receives the ports of its own links to the endpoints.
"""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from larkcrank.lab.endpoints import Endpoint
from larkcrank.lab.ledger import Ledger, Told
from larkcrank.lab.links import LinkConnection
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET

_WATCH_QUERY = re.compile(rb"after=(\d+)&wait_ms=(\d+)")


@dataclass(slots=True)
class ListResponse:
    """The answer to one call, with the ledger record of its delivery."""

    body: bytes
    generation: int
    record: Told  # added to the ledger when the response is delivered


class Registry:
    def __init__(
        self, work_ms: float, port_of: Callable[[int, int, int], int], ledger: Ledger, unix_start_time: float
    ) -> None:
        """Create it with an empty list.

        `port_of(sidecar, endpoint, address_index)` returns the port of that link, current or past.
        `unix_start_time` is the Unix time at which the ledger's clock was 0.
        """
        self.work_ms = work_ms  # time taken by a call for the whole list
        self.running = True
        self.silent = self.denies = False  # silent: calls get no answer; denies: calls are answered with 503
        self.behind_s = 0.0  # age of the list that callers are served
        self.empty = False  # restarted without its data: it serves an empty list
        self.hidden: dict[int, set[int]] = {}  # by sidecar: endpoints that are left out of its lists
        self.unix_start_time = unix_start_time
        self._port_of, self._ledger = port_of, ledger
        # Time and new list entry of each change. The number of changes is the generation.
        self._changes: list[tuple[float, dict[str, Any]]] = []
        self._snapshot_lock = asyncio.Lock()
        self._changed_event = asyncio.Event()
        self._handlers: set[RegistryConnection] = set()
        self._delivered_generations: dict[int, int] = {}  # by sidecar: the last generation that it received

    def set_lifecycle(self, endpoint: Endpoint, lifecycle: str) -> None:
        """Replace an endpoint's entry in the list, as of now."""
        started_at = endpoint.started_at
        entry = {
            "instanceId": endpoint.name,
            "endpoint": endpoint.index,
            "place": endpoint.address_index,
            "zone": endpoint.zone,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0.0 if started_at is None else (self.unix_start_time + started_at) * 1000.0,
        }
        self._changes.append((self._ledger.now(), entry))
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake all waiting calls so that they check the state again."""
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    def stop(self) -> None:
        self.running = False
        for connection in list(self._handlers):
            connection.link.close(reset=True)
        self._handlers.clear()
        self.notify_waiters()

    def start(self) -> None:
        self.running = True

    def restart_generations(self) -> None:
        """Restart the generation count, as a service that lost its data and was filled again."""
        latest = {entry["instanceId"]: entry for _, entry in self._changes}
        now = self._ledger.now()
        self._changes = [(now, entry) for entry in latest.values() if entry["lifecycle"] != "Gone"]
        self.notify_waiters()

    def shift_clock(self, seconds: float) -> None:
        """Adjust the recorded times after the run's clock was set back by `seconds`."""
        self._changes = [(at - seconds, entry) for at, entry in self._changes]

    def visible_generation(self) -> int:
        """Return the generation that callers are served at present."""
        if self.empty:
            return 0
        visible_until = self._ledger.now() - self.behind_s
        return sum(at <= visible_until for at, _ in self._changes) if self.behind_s else len(self._changes)

    def list_entries(
        self, sidecar: int, after_generation: int, until_generation: int
    ) -> list[dict[str, Any]]:
        """Return a sidecar's list entries that changed between two generations; from 0: the whole list."""
        latest: dict[str, dict[str, Any]] = {}
        for _, entry in self._changes[after_generation:until_generation]:
            latest[entry["instanceId"]] = entry
        entries = []
        for entry in latest.values():
            if entry["endpoint"] in self.hidden.get(sidecar, ()) or (
                not after_generation and entry["lifecycle"] == "Gone"
            ):
                continue
            port = self._port_of(sidecar, entry["endpoint"], entry["place"])
            visible_fields = {key: value for key, value in entry.items() if key not in ("endpoint", "place")}
            entries.append(visible_fields | {"hostPort": f"127.0.0.1:{port}"})
        return entries

    def initial_list(self, sidecar: int) -> dict[str, Any]:
        """Return the current list for a sidecar that starts with one, and record it as delivered."""
        self._delivered_generations[sidecar] = self.visible_generation()
        return self.last_delivered_list(sidecar)

    def last_delivered_list(self, sidecar: int) -> dict[str, Any]:
        """Return the list that a sidecar received last, as a file of its own would hold it."""
        generation = self._delivered_generations.get(sidecar, 0)
        return {
            "generation": generation,
            "reset": True,
            "instances": self.list_entries(sidecar, 0, generation),
        }

    def accept(self, connection: LinkConnection, sidecar: int) -> "RegistryConnection":
        handler = RegistryConnection(self, connection, sidecar)
        self._handlers.add(handler)
        return handler

    async def answer_call(self, sidecar: int, target: bytes) -> "ListResponse | None":
        """Wait for the answer to one call and return it, or None if the call is refused."""
        self._ledger.list_calls.append((self._ledger.now(), sidecar))
        await self._wait_while_silent()
        if self.denies:
            return None
        watch_query = _WATCH_QUERY.search(target)
        is_snapshot = watch_query is None
        if watch_query is None:
            async with self._snapshot_lock:
                await asyncio.sleep(self.work_ms / 1000.0)
            after_generation = 0
        else:
            after_generation = int(watch_query[1])
            # The caller's generation is from before discovery lost its data: send the whole list.
            if after_generation > len(self._changes) or self.empty:
                after_generation, is_snapshot = -1 if after_generation else 0, True
            deadline = self._ledger.now() + int(watch_query[2]) / 1000.0
            while (
                self.running
                and self.visible_generation() <= after_generation
                and (remaining_s := deadline - self._ledger.now()) > 0.0
            ):
                changed_event = self._changed_event
                remaining_s = min(remaining_s, 0.1) if self.behind_s else remaining_s
                try:
                    await asyncio.wait_for(changed_event.wait(), remaining_s)
                except TimeoutError:
                    continue
        await self._wait_while_silent()
        if self.denies:
            return None
        until_generation = self.visible_generation()
        entries = self.list_entries(sidecar, max(after_generation, 0), until_generation)
        body = {"generation": until_generation, "reset": is_snapshot, "instances": entries}
        states = {entry["instanceId"]: entry["lifecycle"] for entry in entries}
        return ListResponse(
            msgspec.json.encode(body), until_generation, Told(0.0, sidecar, is_snapshot, states)
        )

    async def _wait_while_silent(self) -> None:
        while self.silent and self.running:
            await self._changed_event.wait()

    def record_delivery(self, response: "ListResponse") -> None:
        """Record that the response reached the sidecar's socket."""
        response.record.at = self._ledger.now()
        self._ledger.tolds.append(response.record)
        sidecar = response.record.sidecar
        self._delivered_generations[sidecar] = max(
            self._delivered_generations.get(sidecar, 0), response.generation
        )

    def remove_connection(self, connection: "RegistryConnection") -> None:
        self._handlers.discard(connection)


class RegistryConnection:
    def __init__(self, registry: Registry, link: LinkConnection, sidecar: int) -> None:
        self.link = link
        self._registry, self._sidecar = registry, sidecar
        self._parser = http1.RequestParser()
        self._task: asyncio.Task[None] | None = None

    def handle_data(self, data: bytes) -> None:
        if not self._registry.running:
            return
        try:
            self._parser.feed(data)
            request = self._parser.next()
        except http1.MessageError:
            self.link.close(reset=True)
            return
        if request is not None and request.target.startswith(LIST_TARGET):
            self._task = asyncio.get_running_loop().create_task(self._respond(request.target))

    async def _respond(self, target: bytes) -> None:
        registry = self._registry
        response = await registry.answer_call(self._sidecar, target)
        if not registry.running:
            return
        if response is None:
            self.link.write(http1.encode_response(503, (), b""))
            return
        self.link.write(
            http1.encode_response(200, (), response.body), lambda: registry.record_delivery(response)
        )

    def handle_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._registry.remove_connection(self)
