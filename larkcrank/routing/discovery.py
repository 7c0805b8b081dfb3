"""Discovery calls: the watch on the server list, and the whole list on demand."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from larkcrank.protocol import discovery, http1
from larkcrank.protocol.discovery import Listing, Names
from larkcrank.transport.connection import Connecting, Connection, ConnectionLostError, NoRoomError
from larkcrank.transport.descriptors import Descriptors, Use

# As long as discovery allows: each call costs it work, and what it has to tell counts as told soon after
# the wait is over, arrived or not. A sidecar cut off from it is then held to drains it can't hear of.
WATCH_MS = 60000
SLACK_MS = 1500.0  # a call not answered so long after its wait is silent; 2 s after it all counts as told
FETCH_TIMEOUT_MS = 3000.0  # discovery itself gives a call up after 2 s
REST_S = 2.0  # an answer that has begun must be whole by then, however long the call may wait for it
AGAIN_S = (0.5, 8.0)  # between watches that fail, where nobody else decides when to ask
MAX_LIST = 4 << 20
GATE_S = 0.1  # between looks whether a call may be made


class Tally(Protocol):
    """What discovery counts."""

    lists: int
    discovery_calls: int
    discovery_failures: int
    crashed: int


class Discovery:
    """Asks, and tells the list's changes in order. With `always` a failed watch begins again by itself."""

    def __init__(
        self,
        place: tuple[str, int],
        descriptors: Descriptors,
        names: Names,
        connect_timeout_ms: float,
        always: bool,
        rng: Random,
        tally: Tally,
        failed: Callable[[str, BaseException], None],
    ) -> None:
        self._place = place
        self._descriptors = descriptors
        self._names = names
        self._connect_timeout_ms = connect_timeout_ms
        self._always = always
        self._rng = rng
        self._tally = tally
        self._failed = failed
        self._generation: int | None = None
        self._watch: asyncio.Task[None] | None = None
        self._wanted = False  # a watch, also while none is under way
        self._told = 0  # answers of watches
        self._moved = False  # to another discovery than the configuration at the start named
        self._fetch: asyncio.Task[None] | None = None
        self._closed = False
        self.on_list: Callable[[Listing], None] = lambda _: None
        self.on_failure: Callable[[str], None] = lambda _: None
        # Whether to call now; where one is set, it alone says when: a failed watch waits for its next turn.
        self.gate: Callable[[], bool] | None = None

    def start_from(self, text: bytes) -> Listing | None:
        """The list as last held; None where there is none that can be read."""
        try:
            listing = discovery.parse(text, self._names)
        except discovery.ListError:
            return None
        self.go_on_from(listing.generation)
        return listing

    @property
    def generation(self) -> int | None:
        """Of the list as last told; None where there is none."""
        return self._generation

    def go_on_from(self, generation: int | None) -> None:
        """The list of this generation is known from elsewhere; moved meanwhile, it is another's count."""
        if not self._moved:
            self._generation = generation

    def watch(self, on: bool = True) -> None:
        """Watch from now on. While a watch is under way another call would tell nothing more."""
        self._wanted = on
        if not on:
            if self._watch is not None:
                self._watch.cancel()
                self._watch = None  # it is over, though it has not ended yet: the next call begins another
        elif self._closed:
            return  # the last requests still end, and the balancer may ask on that
        elif self._watch is None or self._watch.done():
            self._watch = asyncio.get_running_loop().create_task(self._keep_watching())

    def fetch(self) -> None:
        if self.gate is not None and not self.gate():
            return  # all doubt their lists after a loss: those whose turn it is ask for the others
        if not self._closed and (self._fetch is None or self._fetch.done()):
            self._fetch = asyncio.get_running_loop().create_task(self._fetch_once())

    def move(self, place: tuple[str, int]) -> None:
        """Ask at another address from now on. Its generations are its own: it is asked for the whole list.

        It does not wait for the balancer's next call: what the new one has to tell counts as told soon.
        """
        if place == self._place:
            return
        self._end_calls()  # nothing that the old one still answers may overwrite the new list
        self._place, self._generation, self._moved = place, None, True
        self._watch = self._fetch = None
        if self._wanted or self._always:
            self.watch()

    def close(self) -> None:
        """End what is under way; nothing is asked any more."""
        self._closed = True
        self._end_calls()

    def _end_calls(self) -> None:
        for task in (self._watch, self._fetch):
            if task is not None:
                task.cancel()

    async def _keep_watching(self) -> None:
        line = _Line(self._place, self._descriptors, self._connect_timeout_ms)
        wait_s = AGAIN_S[0]
        try:
            while True:
                while self.gate is not None and not self.gate():
                    await asyncio.sleep(GATE_S)
                error = await self._ask(line, WATCH_MS)
                if error is None:
                    wait_s = AGAIN_S[0]
                    continue
                silent = isinstance(error, TimeoutError) and self._generation is not None
                ends = not (silent or self._always or self.gate is not None)
                if ends:
                    self._watch = None  # before it is told: what is told may ask for the next one
                self.on_failure(str(error) or type(error).__name__)
                if ends:
                    return
                if silent:
                    continue  # it took its time, and what it missed counts as told soon
                if self.gate is not None:
                    await asyncio.sleep(AGAIN_S[0])
                else:
                    await asyncio.sleep(wait_s * (0.5 + self._rng.random()))
                    wait_s = min(2 * wait_s, AGAIN_S[1])
        finally:
            line.close()

    async def _fetch_once(self) -> None:
        line = _Line(self._place, self._descriptors, self._connect_timeout_ms)
        try:
            error = await self._ask(line, None)
            self._fetch = None
            if error is not None:
                self.on_failure(str(error) or type(error).__name__)
        finally:
            line.close()

    async def _ask(self, line: "_Line", wait_ms: int | None) -> Exception | None:
        """One call, a watch's or for the whole list; why it failed, None where it did not."""
        told = self._told
        self._tally.discovery_calls += 1
        target, timeout = discovery.LIST_TARGET, FETCH_TIMEOUT_MS
        if wait_ms is not None and self._generation is not None:
            target, timeout = discovery.watch_target(self._generation, wait_ms), wait_ms + SLACK_MS
        try:
            async with asyncio.timeout(timeout / 1000.0):
                response = await line.get(target)
            if response.status != 200:
                raise ConnectionLostError(f"answered {response.status}")
            listing = discovery.parse(response.body, self._names)
            if target == discovery.LIST_TARGET and not listing.whole:
                listing = Listing(listing.generation, True, listing.endpoints, listing.places)
            self._tally.lists += 1
            if wait_ms is not None:
                self._told += 1
            elif told != self._told:
                return (
                    None  # the watch has told something since this was asked for: it lives, and knows better
                )
            dead = wait_ms is None and listing.generation != self._generation
            self._generation = listing.generation
            if dead and self._watch is not None and not self._watch.done():
                # A watch that lives would have told this: a machine that vanished is silent on old ones.
                self._watch.cancel()
                self._watch = None
                self.watch()
            self.on_list(listing)
        except (
            ConnectionLostError,
            NoRoomError,
            TimeoutError,
            http1.MessageError,
            discovery.ListError,
        ) as error:
            line.close()
            self._tally.discovery_failures += 1
            return error
        except Exception as error:  # told as a failure, or nobody would ever ask again
            line.close()
            self._tally.crashed += 1
            self._failed("discovery", error)
            return error
        return None


class _Line:
    """A connection to discovery, kept between calls."""

    def __init__(self, place: tuple[str, int], descriptors: Descriptors, connect_timeout_ms: float) -> None:
        self._place, self._descriptors, self._connect_timeout_ms = place, descriptors, connect_timeout_ms
        self._connection: Connection | None = None

    async def get(self, target: bytes) -> http1.Response:
        """One call. One that crosses the end of a kept connection is made once more, on a new one."""
        loop = asyncio.get_running_loop()
        if self._connection is not None and self._connection.is_quiet():
            began = loop.time()
            try:
                return await self._get(self._connection, target)
            except ConnectionLostError:
                if loop.time() - began > self._connect_timeout_ms / 1000.0:
                    raise  # it had been taken: all watches may have ended, and all would come at once
        self.close()
        connecting = Connecting(self._place, self._descriptors, Use.DISCOVERY)
        self._connection = connecting.connection
        return await self._get(await connecting.wait(self._connect_timeout_ms), target)

    async def _get(self, connection: Connection, target: bytes) -> http1.Response:
        host = b"Host: %s:%d" % (self._place[0].encode(), self._place[1])
        await connection.write(http1.request_bytes(b"GET", target, (host,)))
        parser = http1.ResponseParser(max_body=MAX_LIST)
        parser.feed(await connection.read())
        async with asyncio.timeout(REST_S):
            while not parser.complete:
                parser.feed(await connection.read())
        response = parser.response()
        if not response.keep_alive:
            self.close()
        return response

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
