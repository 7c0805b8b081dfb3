"""The discovery stand-in: one list, a few calls a second, watches, and ways in which it can be wrong.

Each sidecar comes by a link of its own, so it is known who asks, and is told the ports of its own links.
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

_WATCH = re.compile(rb"after=(\d+)&wait_ms=(\d+)")


@dataclass(slots=True)
class Answer:
    body: bytes
    generation: int
    told: Told


class Registry:
    def __init__(
        self, work_ms: float, port: Callable[[int, int, int], int], ledger: Ledger, began: float
    ) -> None:
        """`port(sidecar, endpoint, place)`: where that link listens, or did; `began`: Unix time of nought."""
        self.work_ms = work_ms
        self.up = True
        self.silent = self.denies = False
        self.behind_s = 0.0
        self.empty = False  # it has started without its list, and tells none
        self.hidden: dict[int, set[int]] = {}  # by sidecar: endpoints that it is not told of
        self.unix_at_nought = began
        self._port, self._ledger = port, ledger
        self._log: list[tuple[float, dict[str, Any]]] = []  # when, and one line; its index is its generation
        self._turn = asyncio.Lock()
        self._changed = asyncio.Event()
        self._handlers: set[RegistryConnection] = set()
        self._shown_to: dict[int, int] = {}  # by sidecar: the generation that it was told last

    def change(self, endpoint: Endpoint, lifecycle: str) -> None:
        """One line of the list is another from now on."""
        started = endpoint.started_at
        line = {
            "instanceId": endpoint.name,
            "endpoint": endpoint.index,
            "place": endpoint.place,
            "zone": endpoint.zone,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0.0 if started is None else (self.unix_at_nought + started) * 1000.0,
        }
        self._log.append((self._ledger.now(), line))
        self.wake()

    def wake(self) -> None:
        """Have all that wait look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def die(self) -> None:
        self.up = False
        for handler in list(self._handlers):
            handler.link.close(reset=True)
        self._handlers.clear()
        self.wake()

    def start(self) -> None:
        self.up = True

    def anew(self) -> None:
        """It counts its generations from 1 again, as one that lost all and was told it once more."""
        last = {line["instanceId"]: line for _, line in self._log}
        now = self._ledger.now()
        self._log = [(now, line) for line in last.values() if line["lifecycle"] != "Gone"]
        self.wake()

    def shift(self, seconds: float) -> None:
        """The run's clock was set back by so much."""
        self._log = [(at - seconds, line) for at, line in self._log]

    def shown(self) -> int:
        """The generation that callers are shown."""
        if self.empty:
            return 0
        until = self._ledger.now() - self.behind_s
        return sum(at <= until for at, _ in self._log) if self.behind_s else len(self._log)

    def lines(self, sidecar: int, after: int, until: int) -> list[dict[str, Any]]:
        """What a sidecar is told of the changes between two generations; from 0: all that is there."""
        last: dict[str, dict[str, Any]] = {}
        for _, line in self._log[after:until]:
            last[line["instanceId"]] = line
        told = []
        for line in last.values():
            if line["endpoint"] in self.hidden.get(sidecar, ()) or (
                not after and line["lifecycle"] == "Gone"
            ):
                continue
            port = self._port(sidecar, line["endpoint"], line["place"])
            shown = {key: value for key, value in line.items() if key not in ("endpoint", "place")}
            told.append(shown | {"hostPort": f"127.0.0.1:{port}"})
        return told

    def whole(self, sidecar: int) -> dict[str, Any]:
        """The list as it is now, for a sidecar that starts with it."""
        self._shown_to[sidecar] = self.shown()
        return self.known(sidecar)

    def known(self, sidecar: int) -> dict[str, Any]:
        """The list that a sidecar was told last, as a file would have kept it."""
        until = self._shown_to.get(sidecar, 0)
        return {"generation": until, "reset": True, "instances": self.lines(sidecar, 0, until)}

    def accept(self, connection: LinkConnection, sidecar: int) -> "RegistryConnection":
        handler = RegistryConnection(self, connection, sidecar)
        self._handlers.add(handler)
        return handler

    async def call(self, sidecar: int, target: bytes) -> "Answer | None":
        """None: a refusal."""
        self._ledger.list_calls.append((self._ledger.now(), sidecar))
        await self._while_silent()
        if self.denies:
            return None
        watch = _WATCH.search(target)
        whole = watch is None
        if watch is None:
            async with self._turn:
                await asyncio.sleep(self.work_ms / 1000.0)
            after = 0
        else:
            after = int(watch[1])
            if after > len(self._log) or self.empty:  # of before it began anew: told everything
                after, whole = -1 if after else 0, True
            until = self._ledger.now() + int(watch[2]) / 1000.0
            while self.up and self.shown() <= after and (left := until - self._ledger.now()) > 0.0:
                changed = self._changed
                left = min(left, 0.1) if self.behind_s else left
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except TimeoutError:
                    continue
        await self._while_silent()
        if self.denies:
            return None
        until_generation = self.shown()
        lines = self.lines(sidecar, max(after, 0), until_generation)
        told = {"generation": until_generation, "reset": whole, "instances": lines}
        states = {line["instanceId"]: line["lifecycle"] for line in lines}
        return Answer(msgspec.json.encode(told), until_generation, Told(0.0, sidecar, whole, states))

    async def _while_silent(self) -> None:
        while self.silent and self.up:
            await self._changed.wait()

    def told(self, answer: "Answer") -> None:
        """It has come to the sidecar's socket."""
        answer.told.at = self._ledger.now()
        self._ledger.tolds.append(answer.told)
        sidecar = answer.told.sidecar
        self._shown_to[sidecar] = max(self._shown_to.get(sidecar, 0), answer.generation)

    def forget(self, handler: "RegistryConnection") -> None:
        self._handlers.discard(handler)


class RegistryConnection:
    def __init__(self, registry: Registry, link: LinkConnection, sidecar: int) -> None:
        self.link = link
        self._registry, self._sidecar = registry, sidecar
        self._parser = http1.RequestParser()
        self._task: asyncio.Task[None] | None = None

    def data(self, data: bytes) -> None:
        if not self._registry.up:
            return
        try:
            self._parser.feed(data)
            request = self._parser.next()
        except http1.MessageError:
            self.link.close(reset=True)
            return
        if request is not None and request.target.startswith(LIST_TARGET):
            self._task = asyncio.get_running_loop().create_task(self._serve(request.target))

    async def _serve(self, target: bytes) -> None:
        registry = self._registry
        found = await registry.call(self._sidecar, target)
        if not registry.up:
            return
        if found is None:
            self.link.write(http1.encode_response(503, (), b""))
            return
        self.link.write(http1.encode_response(200, (), found.body), lambda: registry.told(found))

    def lost(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._registry.forget(self)
