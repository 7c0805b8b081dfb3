"""Calls to discovery: watching the server list for changes, and fetching the full list on demand."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Protocol

from larkcrank.protocol import discovery, http1
from larkcrank.protocol.discovery import ListUpdate, NameTable, format_host_port
from larkcrank.protocol.process_messages import SharedList
from larkcrank.transport.connection import (
    Connection,
    ConnectionLostError,
    NoDescriptorError,
    PendingConnection,
)
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

if TYPE_CHECKING:
    from larkcrank.routing.places import AddressFailover

# The longest wait that discovery allows. It is used in full because each call costs discovery work. The
# contract assumes that the sidecar knows a change soon after the wait of a call ends, whether or not the
# response arrives. So a drain binds even a sidecar that cannot learn of it because discovery is unreachable.
MAX_WATCH_WAIT_MS = 60000
# A call times out this long after the end of its wait. The contract assumes that the sidecar knows the
# changes 2 s after that end.
WATCH_TIMEOUT_SLACK_MS = 1500.0
# Timeout of a call without a wait. Discovery itself ends such a call after 2 s.
IMMEDIATE_CALL_TIMEOUT_MS = 2500.0
# A response that has started must be complete within this time, however long the call may wait for it to
# start.
RESPONSE_READ_TIMEOUT_S = 2.0
# Longest interval between the starts of two calls, as (at first, after repeated failures). After a failed
# call, the contract assumes that the sidecar knows a change 6 s after discovery has it and is reachable: at
# most 4 s until the next call and at most 2 s for discovery to answer. Until a call succeeds, calls are made
# without a wait, since a call that hangs would report nothing for a minute.
RETRY_INTERVAL_LIMITS_S = (1.0, 4.0)
TURN_RETRY_DELAY_S = 0.5  # After a failed call, where the sidecars take turns at calling discovery.
PRIMARY_CHECK_TIMEOUT_S = 0.7  # Time limit for checking the primary address while a fallback is in use.
CHECK_WAIT_MS = 50  # Wait of a call that checks whether discovery responds at all.
MAX_LIST_BYTES = 4 << 20
MAY_CALL_POLL_INTERVAL_S = 0.1  # Interval between checks whether a call is allowed.


class CallKind(Enum):
    WATCH = "watch"  # Waits for changes.
    CHECK = "look"  # Requests the changes so far, when it is unknown whether discovery responds.
    FULL_LIST = "list"  # Requests the full list.


class SharedListUse(Enum):
    """What became of a list that another process shared. The values are names of counters."""

    APPLIED = "applied"
    OUTDATED = "outdated"  # it is no later than the list that is known here
    OTHER_DISCOVERY = "other discovery"
    MALFORMED = "malformed"


def as_full(list_update: ListUpdate) -> ListUpdate:
    """Return a list that was asked for as a whole as such, whatever it says of itself."""
    if list_update.is_full:
        return list_update
    return ListUpdate(list_update.generation, True, list_update.endpoints, list_update.host_ports)


class DiscoveryCounters(Protocol):
    """Counters that the discovery client increments."""

    lists: int
    discovery_calls: int
    discovery_failures: int
    stray_answers: int
    crashed: int


class DiscoveryClient:
    """Calls discovery and reports changes of the server list in order. A failed call is repeated until one
    succeeds.
    """

    def __init__(
        self,
        host_port: tuple[str, int],
        descriptors: DescriptorBudget,
        names: NameTable,
        connect_timeout_ms: float,
        watch_after_move: bool,
        rng: Random,
        counters: DiscoveryCounters,
        report_failure: Callable[[str, BaseException], None],
        retry_spread_s: float = 0.0,
        fallbacks: Sequence[tuple[str, int]] = (),
        watch_wait_ms: int | None = None,
    ) -> None:
        """`watch_after_move`: start watching when the address changes, even before the first `watch`.

        `retry_spread_s`: interval over which first retries are spread, since many clients fail together;
        limited by `RETRY_INTERVAL_LIMITS_S`.

        `fallbacks`: other addresses that serve the list, tried in turn if `host_port` does not respond. They
        know each other's generations or send the full list.

        `watch_wait_ms`: how long a watch waits; None means as long as discovery allows.
        """
        self._host_port = host_port
        self._fallbacks = tuple(fallbacks)
        self._watch_wait_ms = watch_wait_ms
        self._descriptors = descriptors
        self._names = names
        self._connect_timeout_ms = connect_timeout_ms
        self._watch_after_move = watch_after_move
        self._retry_spread_s = retry_spread_s
        self._rng = rng
        self._failover = self._create_failover()  # None if there is only one address.
        self._counters = counters
        self._report_failure = report_failure
        self._generation: int | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._watch_wanted = False  # Whether to watch, even if no watch is running at the moment.
        # Whether it is unknown if discovery responds. Set when a watch call fails or had to wait until it was
        # allowed, and by `mark_availability_unknown`; cleared when any call succeeds.
        self._availability_unknown = False
        self._watch_answer_count = 0  # Number of watch calls answered.
        self._address_changed = False  # Whether the address is another one than configured at startup.
        self._fetch_task: asyncio.Task[None] | None = None
        self._closed = False
        self.on_list: Callable[[ListUpdate], None] = lambda _: None
        # Gets each answer as it came, before anything else is done with it.
        self.on_answer: Callable[[SharedList], None] = lambda _: None
        # Gets lists that another process of this sidecar had from discovery.
        self.on_shared_list: Callable[[ListUpdate], None] = lambda _: None
        self._shared_count = 0  # lists that `receive_shared` took
        self._newest_shared = -1  # the latest generation among them
        self.on_failure: Callable[[str], None] = lambda _: None
        # Whether a call is allowed now. If set, it alone controls the timing: a failed watch waits until it
        # allows the next call.
        self.may_call: Callable[[], bool] | None = None

    def load_list(self, encoded_list: bytes) -> ListUpdate | None:
        """Decode a stored list. Returns None if it is unreadable."""
        try:
            list_update = discovery.parse_list(encoded_list, self._names)
        except discovery.ServerListError:
            return None
        self.set_generation(list_update.generation)
        return list_update

    @property
    def generation(self) -> int | None:
        """Generation of the last known list; None if there is none."""
        return self._generation

    def set_generation(self, generation: int | None) -> None:
        """Continue from a list obtained elsewhere. Ignored after a change of address, since each discovery
        counts generations on its own.
        """
        if not self._address_changed:
            self._generation = generation

    @property
    def primary(self) -> tuple[str, int]:
        """The address that the configuration names first."""
        return self._host_port if self._failover is None else self._failover.primary

    def receive_shared(self, shared_list: SharedList) -> SharedListUse:
        """Take a list that another process of this sidecar had from discovery.

        A later list of the same service binds this process, too. Where changes before it are missing here, it
        is applied, and the next call to discovery still asks for them.
        """
        if shared_list.discovery != format_host_port(self.primary):
            return SharedListUse.OTHER_DISCOVERY
        try:
            list_update = discovery.parse_list(shared_list.text, self._names)
        except discovery.ServerListError:
            return SharedListUse.MALFORMED
        base_generation, known_generation = shared_list.base_generation, self._generation
        if known_generation is not None and list_update.generation <= known_generation:
            return SharedListUse.OUTDATED
        if base_generation is None:
            list_update = as_full(list_update)
        if list_update.is_full or (
            base_generation is not None
            and known_generation is not None
            and base_generation <= known_generation
        ):
            self._generation = list_update.generation
        self._shared_count += 1
        self._newest_shared = max(self._newest_shared, list_update.generation)
        self.on_shared_list(list_update)
        return SharedListUse.APPLIED

    def mark_availability_unknown(self) -> None:
        """Record that it is unknown whether discovery responds, so that the next call checks this before any
        call that waits.
        """
        self._availability_unknown = True

    def watch(self, enabled: bool = True) -> None:
        """Start or stop watching. Has no effect while a watch is already running, since another call would
        bring nothing more.
        """
        self._watch_wanted = enabled
        if not enabled:
            if self._watch_task is not None:
                self._watch_task.cancel()
                # The cancelled task has not finished yet, but the next call must start a new one.
                self._watch_task = None
        elif self._closed:
            return  # The balancer may still request a watch while the last requests finish.
        elif self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.get_running_loop().create_task(self._watch_loop())

    def fetch_list(self) -> None:
        """Fetch the full list, unless a fetch is already running or no call is allowed now."""
        if self.may_call is not None and not self.may_call():
            # After a loss of servers no sidecar can rely on its list. Only those whose turn it is fetch a new
            # one, and they pass it on to the others.
            return
        if not self._closed and (self._fetch_task is None or self._fetch_task.done()):
            self._fetch_task = asyncio.get_running_loop().create_task(self._fetch_loop())

    def _create_failover(self) -> "AddressFailover | None":
        if not self._fallbacks:
            return None
        from larkcrank.routing.places import AddressFailover  # Imported only if there are several addresses.

        return AddressFailover((self._host_port, *self._fallbacks), self._rng, max_mean_wait_s=1.0)

    def move_to(self, host_port: tuple[str, int], fallbacks: Sequence[tuple[str, int]] = ()) -> None:
        """Call another address from now on. It counts generations on its own, so the full list is requested.

        The first call is made at once, not at the balancer's next request for the list, because the contract
        assumes that the sidecar knows the changes of the new discovery soon.
        """
        if (host_port, tuple(fallbacks)) == (self.primary, self._fallbacks):
            return
        self._cancel_calls()  # A late response of the old address must not overwrite the new list.
        self._host_port, self._generation, self._address_changed = host_port, None, True
        self._fallbacks = tuple(fallbacks)
        self._failover = self._create_failover()
        self._watch_task = self._fetch_task = None
        self._availability_unknown = False
        self._newest_shared = -1
        if self._watch_wanted or self._watch_after_move:
            self.watch()

    def close(self) -> None:
        """Cancel the calls in progress and make no more."""
        self._closed = True
        self._cancel_calls()

    def _cancel_calls(self) -> None:
        for task in (self._watch_task, self._fetch_task):
            if task is not None:
                task.cancel()

    async def _watch_loop(self) -> None:
        """Watch for changes until cancelled, and retry calls that fail."""
        connection = _DiscoveryConnection(self._host_port, self._descriptors, self._connect_timeout_ms)
        retry_intervals = _RetryIntervals(self._retry_spread_s, self._rng)
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._wait_until_allowed()
                connection = await self._select_connection(connection)
                began_at = loop.time()
                is_long_poll = self._generation is not None and not self._availability_unknown
                error = await self._call(connection, CallKind.WATCH if is_long_poll else CallKind.CHECK)
                call_duration_s = loop.time() - began_at
                if is_long_poll and (error is None or call_duration_s > RETRY_INTERVAL_LIMITS_S[1]):
                    retry_intervals.reset()
                if error is None:
                    if self._failover is not None:
                        self._failover.record_success()
                    continue
                self._availability_unknown = True
                self.on_failure(str(error) or type(error).__name__)
                if self._failover is not None:
                    await asyncio.sleep(
                        self._fail_over(connection.host_port, 0.0 if is_long_poll else call_duration_s)
                    )
                    continue
                if is_long_poll and isinstance(error, TimeoutError):
                    # Retry at once: the call has already taken its whole time, and the contract assumes that
                    # the sidecar knows the missed changes soon.
                    continue
                await self._wait_before_retry(retry_intervals, 0.0 if is_long_poll else call_duration_s)
        finally:
            connection.close()

    async def _fetch_loop(self) -> None:
        """Call until the list arrives, or until a watch that failed takes over the retries."""
        connection = _DiscoveryConnection(self._host_port, self._descriptors, self._connect_timeout_ms)
        retry_intervals = _RetryIntervals(self._retry_spread_s, self._rng)
        loop = asyncio.get_running_loop()
        try:
            while True:
                began_at = loop.time()
                error = await self._call(connection, CallKind.FULL_LIST)
                watch_retries = (
                    self._availability_unknown
                    and self._watch_task is not None
                    and not self._watch_task.done()
                )
                if error is None or watch_retries:
                    # Cleared before reporting, since the report may cause the next fetch.
                    self._fetch_task = None
                if error is not None:
                    self.on_failure(str(error) or type(error).__name__)
                if error is None or watch_retries:
                    return
                if self._failover is not None:
                    await asyncio.sleep(self._fail_over(connection.host_port, loop.time() - began_at))
                    connection.close()
                    connection = _DiscoveryConnection(
                        self._host_port, self._descriptors, self._connect_timeout_ms
                    )
                else:
                    await self._wait_before_retry(retry_intervals, loop.time() - began_at)
                await self._wait_until_allowed()
        finally:
            connection.close()

    def _fail_over(self, failed_host_port: tuple[str, int], call_duration_s: float) -> float:
        """Fail over from an address whose call failed after `call_duration_s`. Returns how many seconds to
        wait before the next call.
        """
        assert self._failover is not None
        if failed_host_port != self._host_port:
            return 0.0  # Another call has already failed over.
        wait_s = self._failover.record_failure(asyncio.get_running_loop().time())
        self._host_port = self._failover.current
        return min(wait_s, max(RETRY_INTERVAL_LIMITS_S[1] - call_duration_s, 0.0))

    async def _select_connection(self, connection: "_DiscoveryConnection") -> "_DiscoveryConnection":
        """Return a connection to the address to call now. While a fallback is in use, the primary is checked
        first from time to time.
        """
        failover = self._failover
        if failover is None:
            return connection
        now = asyncio.get_running_loop().time()
        if failover.should_check_primary(now) and not self._availability_unknown:
            primary_connection = _DiscoveryConnection(
                failover.primary, self._descriptors, self._connect_timeout_ms
            )
            primary_answers = False
            try:
                async with asyncio.timeout(PRIMARY_CHECK_TIMEOUT_S):
                    primary_answers = await self._call(primary_connection, CallKind.CHECK) is None
            except TimeoutError:
                pass
            finally:
                if not primary_answers:
                    primary_connection.close()
            failover.record_primary_check(now, primary_answers)
            if primary_answers:
                connection.close()
                connection, self._host_port = primary_connection, failover.primary
        if connection.host_port != self._host_port:
            connection.close()
            connection = _DiscoveryConnection(self._host_port, self._descriptors, self._connect_timeout_ms)
        return connection

    async def _wait_until_allowed(self) -> None:
        """Wait until a call is allowed. If that took any time, the availability of discovery is marked as
        unknown, since the reason for allowing the call may be that no sidecar reaches discovery.
        """
        while self.may_call is not None and not self.may_call():
            self._availability_unknown = True
            await asyncio.sleep(MAY_CALL_POLL_INTERVAL_S)

    async def _wait_before_retry(self, retry_intervals: "_RetryIntervals", call_duration_s: float) -> None:
        """Wait after a call that failed after `call_duration_s`. The interval to the next call counts from
        the start of the failed one.
        """
        wait_s = (
            retry_intervals.next_interval_s() - call_duration_s
            if self.may_call is None
            else TURN_RETRY_DELAY_S
        )
        await asyncio.sleep(max(wait_s, 0.0))

    async def _call(self, connection: "_DiscoveryConnection", call_kind: CallKind) -> Exception | None:
        """Make one call. Returns the error if it failed, None otherwise."""
        watch_answers_before, shared_before = self._watch_answer_count, self._shared_count
        self._counters.discovery_calls += 1
        asks_full_list = call_kind is CallKind.FULL_LIST or self._generation is None
        try:
            known_generation = self._generation
            list_update = await self._get_list(connection, call_kind)
            if (
                connection.is_reused
                and known_generation is not None
                and list_update.generation < known_generation
            ):
                # A late copy of an earlier answer. On a new connection nothing can come late.
                self._counters.stray_answers += 1
                connection.close()
                list_update = await self._get_list(
                    connection, CallKind.CHECK if call_kind is CallKind.WATCH else call_kind
                )
            if asks_full_list:
                list_update = as_full(list_update)
            self._counters.lists += 1
            self._availability_unknown = False
            if self._shared_count != shared_before and list_update.generation < self._newest_shared:
                return None  # Another process has had a later list while this call was under way.
            if call_kind is not CallKind.FULL_LIST:
                self._watch_answer_count += 1
            elif watch_answers_before != self._watch_answer_count:
                # A watch has succeeded since this call started, so it is alive and its data is newer.
                return None
            watch_stalled = call_kind is CallKind.FULL_LIST and list_update.generation != self._generation
            self._generation = list_update.generation
            if watch_stalled and self._watch_task is not None and not self._watch_task.done():
                # A working watch would have reported the change. The connection to a machine that vanished
                # shows no error, so the watch is started again.
                self._watch_task.cancel()
                self._watch_task = None
                self.watch()
            self.on_list(list_update)
        except (
            ConnectionLostError,
            NoDescriptorError,
            TimeoutError,
            http1.MessageError,
            discovery.ServerListError,
        ) as error:
            connection.close()
            self._counters.discovery_failures += 1
            return error
        except Exception as error:  # Reported as a failure, since otherwise no further call would be made.
            connection.close()
            self._counters.crashed += 1
            self._report_failure("discovery", error)
            return error
        return None

    async def _get_list(self, connection: "_DiscoveryConnection", call_kind: CallKind) -> ListUpdate:
        base_generation = None if call_kind is CallKind.FULL_LIST else self._generation
        response = await self._get_with_retry(connection, call_kind)
        if response.status != 200:
            raise ConnectionLostError(f"answered {response.status}")
        self.on_answer(SharedList(format_host_port(self.primary), base_generation, response.body))
        return discovery.parse_list(response.body, self._names)

    async def _get_with_retry(
        self, connection: "_DiscoveryConnection", call_kind: CallKind
    ) -> http1.Response:
        try:
            return await self._get_once(connection, call_kind)
        except _StaleConnectionError:
            # Repeat the call, but without a wait: the connection may have ended because discovery itself did.
            return await self._get_once(
                connection, CallKind.CHECK if call_kind is CallKind.WATCH else call_kind
            )

    async def _get_once(self, connection: "_DiscoveryConnection", call_kind: CallKind) -> http1.Response:
        target, timeout_ms = discovery.LIST_TARGET, IMMEDIATE_CALL_TIMEOUT_MS
        if self._generation is not None and call_kind is CallKind.CHECK:
            target = discovery.watch_target(self._generation, CHECK_WAIT_MS)
        elif self._generation is not None and call_kind is CallKind.WATCH:
            wait_ms = MAX_WATCH_WAIT_MS if self._watch_wait_ms is None else self._watch_wait_ms
            target, timeout_ms = (
                discovery.watch_target(self._generation, wait_ms),
                wait_ms + WATCH_TIMEOUT_SLACK_MS,
            )
        async with asyncio.timeout(timeout_ms / 1000.0):
            return await connection.get(target)


class _RetryIntervals:
    """Intervals between the starts of successive failing calls.

    Many clients fail together. Each draws its first interval between zero and a maximum, and each later one
    between half of the current maximum and all of it, so that clients do not synchronize. The maximum doubles
    with each failure up to `RETRY_INTERVAL_LIMITS_S[1]`.
    """

    def __init__(self, retry_spread_s: float, rng: Random) -> None:
        self._first_max_interval_s = min(
            max(retry_spread_s, RETRY_INTERVAL_LIMITS_S[0]), RETRY_INTERVAL_LIMITS_S[1]
        )
        self._rng = rng
        self.reset()

    def reset(self) -> None:
        self._min_fraction, self._max_interval_s = 0.0, self._first_max_interval_s

    def next_interval_s(self) -> float:
        """Return the next interval in seconds, at most `RETRY_INTERVAL_LIMITS_S[1]`."""
        interval_s = self._max_interval_s * (
            self._min_fraction + (1.0 - self._min_fraction) * self._rng.random()
        )
        self._min_fraction, self._max_interval_s = (
            0.5,
            min(2 * self._max_interval_s, RETRY_INTERVAL_LIMITS_S[1]),
        )
        return interval_s


class _StaleConnectionError(ConnectionLostError):
    """Discovery closed a reused connection while a call was being sent on it."""


class _DiscoveryConnection:
    """A connection to discovery, kept open between calls."""

    def __init__(
        self, host_port: tuple[str, int], descriptors: DescriptorBudget, connect_timeout_ms: float
    ) -> None:
        self.host_port, self._descriptors, self._connect_timeout_ms = (
            host_port,
            descriptors,
            connect_timeout_ms,
        )
        self._connection: Connection | None = None
        self.is_reused = False  # Whether the last call was made on a connection that had carried another.

    async def get(self, target: bytes) -> http1.Response:
        """Make one call. Raises `_StaleConnectionError` if discovery has closed a reused connection; the next
        call opens a new one.
        """
        loop = asyncio.get_running_loop()
        self.is_reused = self._connection is not None and self._connection.is_idle()
        if self.is_reused and self._connection is not None:
            began_at = loop.time()
            try:
                return await self._get(self._connection, target)
            except ConnectionLostError as error:
                if loop.time() - began_at > self._connect_timeout_ms / 1000.0:
                    # Discovery had accepted the call. All watches may have ended at once, and immediate
                    # retries would all arrive together.
                    raise
                self.close()
                raise _StaleConnectionError(str(error)) from None
        self.is_reused = False
        self.close()
        pending_connection = PendingConnection(self.host_port, self._descriptors, SocketUse.DISCOVERY)
        self._connection = pending_connection.connection
        return await self._get(await pending_connection.wait(self._connect_timeout_ms), target)

    async def _get(self, connection: Connection, target: bytes) -> http1.Response:
        host = b"Host: %s:%d" % (self.host_port[0].encode(), self.host_port[1])
        await connection.write(http1.encode_request(b"GET", target, (host,)))
        parser = http1.ResponseParser(max_body_bytes=MAX_LIST_BYTES)
        parser.feed(await connection.read())
        async with asyncio.timeout(RESPONSE_READ_TIMEOUT_S):
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
