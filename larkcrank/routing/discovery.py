"""Discovery calls: the watch on the server list, and the whole list on demand."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Protocol

from larkcrank.protocol import discovery, http1
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.transport.connection import (
    Connection,
    ConnectionLostError,
    NoDescriptorError,
    PendingConnection,
)
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

if TYPE_CHECKING:
    from larkcrank.routing.places import Places

# As long as discovery allows: each call costs it work, and what it has to tell counts as told soon after
# the wait is over, arrived or not. A sidecar cut off from it is then held to drains it can't hear of.
WATCH_MS = 60000
SLACK_MS = 1500.0  # a call not answered so long after its wait is silent; 2 s after it all counts as told
FETCH_TIMEOUT_MS = 2500.0  # of a call that does not wait: discovery itself gives it up after 2 s
REST_S = 2.0  # an answer that has begun must be whole by then, however long the call may wait for it
# After a failed call a change counts as told 6 s after discovery has it and can be reached: until a call has
# an answer none may wait (one that hangs would tell nothing for a minute), and the next one begins so soon
# after the one before, at first and at most. With the 2 s that discovery takes at most that makes the 6 s.
AGAIN_S = (1.0, 4.0)
TURN_S = 0.5  # after a failed call, where it is by turns who calls
HOME_S = 0.7  # away from the first of several addresses, a call there has so long to be answered
LOOK_MS = 50  # wait of a call that is to find out whether discovery answers at all
MAX_LIST = 4 << 20
GATE_S = 0.1  # between looks whether a call may be made


class Call(Enum):
    WATCH = "watch"  # waits for news
    LOOK = "look"  # news by now, where nobody knows whether discovery answers at all
    LIST = "list"  # the whole list


class Tally(Protocol):
    """What discovery counts."""

    lists: int
    discovery_calls: int
    discovery_failures: int
    crashed: int


class Discovery:
    """Asks, and tells the list's changes in order. A call that fails is made again, until one is answered."""

    def __init__(
        self,
        place: tuple[str, int],
        descriptors: DescriptorBudget,
        names: NameTable,
        connect_timeout_ms: float,
        always: bool,
        rng: Random,
        tally: Tally,
        failed: Callable[[str, BaseException], None],
        spread_s: float = 0.0,
        elsewhere: Sequence[tuple[str, int]] = (),
        watch_ms: int | None = None,
    ) -> None:
        """`always`: watch also after a move that comes before the first `watch`. `spread_s`: over which first
        repeats of calls are spread, since many fail together; `AGAIN_S` bounds it. `elsewhere`: who else
        tells the list, asked in turn where `place` does not answer; they know each other's generations or
        tell the whole. `watch_ms`: how long a watch waits; None: as long as it may."""
        self._place = place
        self._elsewhere = tuple(elsewhere)
        self._watch_ms = watch_ms
        self._descriptors = descriptors
        self._names = names
        self._connect_timeout_ms = connect_timeout_ms
        self._always = always
        self._spread_s = spread_s
        self._rng = rng
        self._places = self._make_places()  # None: there is one
        self._tally = tally
        self._failed = failed
        self._generation: int | None = None
        self._watch: asyncio.Task[None] | None = None
        self._wanted = False  # a watch, also while none is under way
        self._doubted = False  # the last call of a watch failed, and none has had an answer since
        self._told = 0  # answers of watches
        self._moved = False  # to another discovery than the configuration at the start named
        self._fetch: asyncio.Task[None] | None = None
        self._closed = False
        self.on_list: Callable[[ListUpdate], None] = lambda _: None
        self.on_failure: Callable[[str], None] = lambda _: None
        # Whether to call now; where one is set, it alone says when: a failed watch waits for its next turn.
        self.gate: Callable[[], bool] | None = None

    def start_from(self, text: bytes) -> ListUpdate | None:
        """The list as last held; None where there is none that can be read."""
        try:
            listing = discovery.parse_list(text, self._names)
        except discovery.ServerListError:
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

    def doubt(self) -> None:
        """Nobody knows whether discovery answers just now: the next call finds out, before one that waits."""
        self._doubted = True

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
            self._fetch = asyncio.get_running_loop().create_task(self._keep_fetching())

    def _make_places(self) -> "Places | None":
        if not self._elsewhere:
            return None
        from larkcrank.routing.places import Places  # who has one address does without

        return Places((self._place, *self._elsewhere), self._rng, again_s=1.0)

    def move(self, place: tuple[str, int], elsewhere: Sequence[tuple[str, int]] = ()) -> None:
        """Ask at another address from now on. Its generations are its own: it is asked for the whole list.

        It does not wait for the balancer's next call: what the new one has to tell counts as told soon.
        """
        home = self._place if self._places is None else self._places.home
        if (place, tuple(elsewhere)) == (home, self._elsewhere):
            return
        self._end_calls()  # nothing that the old one still answers may overwrite the new list
        self._place, self._generation, self._moved = place, None, True
        self._elsewhere = tuple(elsewhere)
        self._places = self._make_places()
        self._watch = self._fetch = None
        self._doubted = False
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
        pauses = _Pauses(self._spread_s, self._rng)
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._leave()
                line = await self._at_current(line)
                began = loop.time()
                waits = self._generation is not None and not self._doubted
                error = await self._ask(line, Call.WATCH if waits else Call.LOOK)
                took = loop.time() - began
                if waits and (error is None or took > AGAIN_S[1]):
                    pauses.begin()
                if error is None:
                    if self._places is not None:
                        self._places.answered()
                    continue
                self._doubted = True
                self.on_failure(str(error) or type(error).__name__)
                if self._places is not None:
                    await asyncio.sleep(self._go_on(line.place, 0.0 if waits else took))
                    continue
                if waits and isinstance(error, TimeoutError):
                    continue  # it took its time, and what it missed counts as told soon
                await self._pause(pauses, 0.0 if waits else took)
        finally:
            line.close()

    async def _keep_fetching(self) -> None:
        """Until the list has come, or a watch that failed tries on."""
        line = _Line(self._place, self._descriptors, self._connect_timeout_ms)
        pauses = _Pauses(self._spread_s, self._rng)
        loop = asyncio.get_running_loop()
        try:
            while True:
                began = loop.time()
                error = await self._ask(line, Call.LIST)
                tries_on = self._doubted and self._watch is not None and not self._watch.done()
                if error is None or tries_on:
                    self._fetch = None  # before it is told: what is told may ask for the next one
                if error is not None:
                    self.on_failure(str(error) or type(error).__name__)
                if error is None or tries_on:
                    return
                if self._places is not None:
                    await asyncio.sleep(self._go_on(line.place, loop.time() - began))
                    line.close()
                    line = _Line(self._place, self._descriptors, self._connect_timeout_ms)
                else:
                    await self._pause(pauses, loop.time() - began)
                await self._leave()
        finally:
            line.close()

    def _go_on(self, failed: tuple[str, int], took_s: float) -> float:
        """This place has failed, a call in `took_s`: ask the next one, in so many seconds."""
        assert self._places is not None
        if failed != self._place:
            return 0.0  # another call has found that out before
        wait_s = self._places.failed(asyncio.get_running_loop().time())
        self._place = self._places.current
        return min(wait_s, max(AGAIN_S[1] - took_s, 0.0))

    async def _at_current(self, line: "_Line") -> "_Line":
        """The line to whom is to be asked now; away from home, home is asked first once in a while."""
        places = self._places
        if places is None:
            return line
        now = asyncio.get_running_loop().time()
        if places.look_home(now) and not self._doubted:
            home = _Line(places.home, self._descriptors, self._connect_timeout_ms)
            good = False
            try:
                async with asyncio.timeout(HOME_S):
                    good = await self._ask(home, Call.LOOK) is None
            except TimeoutError:
                pass
            finally:
                if not good:
                    home.close()
            places.looked(now, good)
            if good:
                line.close()
                line, self._place = home, places.home
        if line.place != self._place:
            line.close()
            line = _Line(self._place, self._descriptors, self._connect_timeout_ms)
        return line

    async def _leave(self) -> None:
        """Wait for leave to call. Who has waited may be called on because discovery answers nobody."""
        while self.gate is not None and not self.gate():
            self._doubted = True
            await asyncio.sleep(GATE_S)

    async def _pause(self, pauses: "_Pauses", took_s: float) -> None:
        """After a call that failed in `took_s`: the next one begins so soon after that one began."""
        wait_s = pauses.draw() - took_s if self.gate is None else TURN_S
        await asyncio.sleep(max(wait_s, 0.0))

    async def _ask(self, line: "_Line", call: Call) -> Exception | None:
        """One call; why it failed, None where it did not."""
        told = self._told
        self._tally.discovery_calls += 1
        whole = call is Call.LIST or self._generation is None
        try:
            response = await self._get(line, call)
            if response.status != 200:
                raise ConnectionLostError(f"answered {response.status}")
            listing = discovery.parse_list(response.body, self._names)
            if whole and not listing.is_full:
                listing = ListUpdate(listing.generation, True, listing.endpoints, listing.host_ports)
            self._tally.lists += 1
            self._doubted = False
            if call is not Call.LIST:
                self._told += 1
            elif told != self._told:
                return (
                    None  # the watch has told something since this was asked for: it lives, and knows better
                )
            dead = call is Call.LIST and listing.generation != self._generation
            self._generation = listing.generation
            if dead and self._watch is not None and not self._watch.done():
                # A watch that lives would have told this: a machine that vanished is silent on old ones.
                self._watch.cancel()
                self._watch = None
                self.watch()
            self.on_list(listing)
        except (
            ConnectionLostError,
            NoDescriptorError,
            TimeoutError,
            http1.MessageError,
            discovery.ServerListError,
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

    async def _get(self, line: "_Line", call: Call) -> http1.Response:
        try:
            return await self._get_once(line, call)
        except _CrossedError:
            # Made once more, but not to wait: what ended the connection may be discovery's own end.
            return await self._get_once(line, Call.LOOK if call is Call.WATCH else call)

    async def _get_once(self, line: "_Line", call: Call) -> http1.Response:
        target, timeout = discovery.LIST_TARGET, FETCH_TIMEOUT_MS
        if self._generation is not None and call is Call.LOOK:
            target = discovery.watch_target(self._generation, LOOK_MS)
        elif self._generation is not None and call is Call.WATCH:
            wait_ms = WATCH_MS if self._watch_ms is None else self._watch_ms
            target, timeout = discovery.watch_target(self._generation, wait_ms), wait_ms + SLACK_MS
        async with asyncio.timeout(timeout / 1000.0):
            return await line.get(target)


class _Pauses:
    """From the beginning of a call that failed to that of the next one, in a row of them.

    Many fail together. Their first repeats are spread evenly; later ones come at least half of the longest
    time apart and differ by as much, so that callers do not fall into step.
    """

    def __init__(self, spread_s: float, rng: Random) -> None:
        self._first_s = min(max(spread_s, AGAIN_S[0]), AGAIN_S[1])
        self._rng = rng
        self.begin()

    def begin(self) -> None:
        self._least, self._longest_s = 0.0, self._first_s

    def draw(self) -> float:
        """Seconds; `AGAIN_S[1]` at most."""
        drawn = self._longest_s * (self._least + (1.0 - self._least) * self._rng.random())
        self._least, self._longest_s = 0.5, min(2 * self._longest_s, AGAIN_S[1])
        return drawn


class _CrossedError(ConnectionLostError):
    """The call met the end of a kept connection, which was on its way."""


class _Line:
    """A connection to discovery, kept between calls."""

    def __init__(
        self, place: tuple[str, int], descriptors: DescriptorBudget, connect_timeout_ms: float
    ) -> None:
        self.place, self._descriptors, self._connect_timeout_ms = place, descriptors, connect_timeout_ms
        self._connection: Connection | None = None

    async def get(self, target: bytes) -> http1.Response:
        """One call. Raises `_CrossedError` where it met the end of a kept one; the next has a new one."""
        loop = asyncio.get_running_loop()
        if self._connection is not None and self._connection.is_idle():
            began = loop.time()
            try:
                return await self._get(self._connection, target)
            except ConnectionLostError as error:
                if loop.time() - began > self._connect_timeout_ms / 1000.0:
                    raise  # it had been taken: all watches may have ended, and all would come at once
                self.close()
                raise _CrossedError(str(error)) from None
        self.close()
        connecting = PendingConnection(self.place, self._descriptors, SocketUse.DISCOVERY)
        self._connection = connecting.connection
        return await self._get(await connecting.wait(self._connect_timeout_ms), target)

    async def _get(self, connection: Connection, target: bytes) -> http1.Response:
        host = b"Host: %s:%d" % (self.place[0].encode(), self.place[1])
        await connection.write(http1.encode_request(b"GET", target, (host,)))
        parser = http1.ResponseParser(max_body_bytes=MAX_LIST)
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
