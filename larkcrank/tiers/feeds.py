"""The inputs of a tier, called feeds: discovery services, child tiers, and one of its parent tiers."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import TypeAlias

from larkcrank.protocol.discovery import LIST_TARGET, watch_target
from larkcrank.routing.places import AddressFailover
from larkcrank.tiers import wire
from larkcrank.tiers.asking import CallError, KeepAliveClient
from larkcrank.tiers.config import Settings
from larkcrank.tiers.state import SEQUENCE_BITS

HostPort = tuple[str, int]
Answer: TypeAlias = wire.DiscoveryAnswer | wire.TierAnswer


class Feed:
    """Fetches the instance list of a discovery service or tier, and passes each answer to `on_answer`.

    The watch is a sequence of long polls of the current address. A probe is a call to another address while
    the watch continues, and a catch-up call is an extra call to the current address. A failed call changes no
    records; the next call goes to the next address, or to the same one again.
    """

    def __init__(
        self,
        name: str,
        addresses: Sequence[HostPort],
        decode: Callable[[bytes], Answer],
        on_answer: Callable[["Feed", HostPort, Answer], None],
        request_headers: Callable[["Feed", HostPort | None], Sequence[bytes]],
        settings: Settings,
        rng: Random,
        log_event: Callable[..., None],
    ) -> None:
        """`decode` raises `AnswerError`, as does `on_answer` for an answer that must not be applied.

        `request_headers` returns the header lines of a call to this address, or of a catch-up call if it is
        None.
        """
        self.name = name
        self._decode, self._on_answer, self._request_headers, self._log_event = (
            decode,
            on_answer,
            request_headers,
            log_event,
        )
        self._settings = settings
        self.addresses = AddressFailover(
            addresses,
            rng,
            settings.spread_ms / 1000.0,
            (settings.back_min_ms / 1000.0, settings.back_max_ms / 1000.0),
            settings.again_max_ms / 1000.0,
        )
        self._clients = {
            address: KeepAliveClient(address, settings.connect_ms / 1000.0, settings.answer_bytes)
            for address in addresses
        }
        self._last_generation: dict[HostPort, int] = {}  # by address, as each has its own generations
        self._has_one_address = len(addresses) == 1
        self._last_error: dict[HostPort, str] = {}  # why the last call to the address failed, if it did
        self._rng = rng
        self._stale_by_address: dict[HostPort, bool] = {}  # as reported in the last answer of the address
        # The time of the next probe of another address; None unless the current address reports stale data.
        self._probe_at: float | None = None
        self._probe_count = 0
        self._probe_task: asyncio.Task[None] | None = None
        self._probed_address: HostPort | None = None
        self._catch_up_task: asyncio.Task[None] | None = None
        self._catch_up_client: tuple[HostPort, KeepAliveClient] | None = None
        self._closed_client_bytes = (0, 0)  # sent and received by catch-up clients that were closed
        self._last_answered: HostPort | None = None  # the address of the last successful call of the watch
        # Whether a tier answers, not a discovery service; None: no answer yet.
        self.is_tier: bool | None = None
        self.complete_answer_at: float | None = None  # time of the last answer that was not provisional
        self.answered_at: float | None = None  # time of the last answer, provisional or not
        self.is_excused = False  # whether the tier has stopped waiting for the first answer of this feed
        self.may_be_empty = False  # whether a full answer without live instances is accepted
        self.calls = self.failures = self.full_requests = 0

    def record_answer(self, complete: bool = True) -> None:
        """Record the time of an answer. It is complete unless the answering tier marked it provisional."""
        self.answered_at = asyncio.get_running_loop().time()
        if complete:
            self.complete_answer_at = self.answered_at

    @property
    def byte_counts(self) -> tuple[int, int]:
        """Bytes sent and bytes received by all clients of this feed."""
        clients = [
            *self._clients.values(),
            *([self._catch_up_client[1]] if self._catch_up_client is not None else []),
        ]
        sent = self._closed_client_bytes[0] + sum(client.bytes_sent for client in clients)
        return sent, self._closed_client_bytes[1] + sum(client.bytes_received for client in clients)

    @property
    def current_address(self) -> str:
        """The watched address as host:port."""
        return "{}:{}".format(*self.addresses.current)

    @property
    def is_stale(self) -> bool:
        """Whether the tier at the current address reports that its own data is stale."""
        return self._stale_by_address.get(self.addresses.current, False)

    @property
    def generation(self) -> int | None:
        """The last generation received from the current address."""
        return self._last_generation.get(self.addresses.current)

    @property
    def current_error(self) -> str:
        """Why the last call to the current address failed; empty if it did not."""
        return self._last_error.get(self.addresses.current, "")

    async def run(self) -> None:
        """Watch the list until cancelled, with failover between the addresses."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                probe_address = self._address_to_probe(loop.time())
                if self._probe_task is None and probe_address is not None:
                    self._probe_task = loop.create_task(self._probe_once(probe_address))
                    self._probed_address = probe_address
                address = self.addresses.current
                if self._probe_task is not None and self._probed_address == address:
                    # Each address has one connection: the watch takes over from the probe.
                    self._probe_task.cancel()
                    await asyncio.gather(self._probe_task, return_exceptions=True)
                    self._probe_task = None
                succeeded = await self._call(address)
                if address != self.addresses.current:
                    continue  # a probe changed the current address during the call
                if succeeded:
                    self.addresses.record_success()
                    if self._last_answered not in (None, address):
                        self._log_event("tier_moved", feed=self.name, place="{}:{}".format(*address))
                    self._last_answered = address
                else:
                    await asyncio.sleep(self.addresses.record_failure(loop.time()))
        finally:
            for task in (self._probe_task, self._catch_up_task):
                if task is not None:
                    task.cancel()
            for client in (
                *self._clients.values(),
                *([self._catch_up_client[1]] if self._catch_up_client is not None else ()),
            ):
                client.close()

    def _address_to_probe(self, now: float) -> HostPort | None:
        """The address to probe now, if any.

        That is the primary address if it is due for a check after a failover, or another address if the
        current one reports stale data.
        """
        if self.addresses.should_check_primary(now):
            return self.addresses.primary
        if not self.is_stale or self._has_one_address:
            self._probe_at = None
            return None
        if self._probe_at is None:
            self._probe_at = now + self._rng.uniform(0.0, self._settings.spread_ms / 1000.0)
        if now < self._probe_at:
            return None
        others = self.addresses.other_addresses()
        address = (
            self.addresses.primary if self.addresses.on_fallback else others[self._probe_count % len(others)]
        )
        self._probe_count += 1
        # An address with a known generation answers with a delta, so it is probed more often than another,
        # which sends the full list each time.
        interval_ms = (
            (1000.0, 3000.0)
            if address in self._last_generation
            else (self._settings.back_min_ms, self._settings.back_max_ms)
        )
        self._probe_at = now + self._rng.uniform(*interval_ms) / 1000.0
        return address

    async def _probe_once(self, address: HostPort) -> None:
        """Call this address once, and switch the watch to it if its data is not stale.

        The primary address is also preferred if it is as stale as the current one.
        """
        now = asyncio.get_running_loop().time()
        was_stale = self.is_stale
        succeeded = await self._call(address, wait_ms=1)  # the watch continues during this call
        if succeeded and (
            not self._stale_by_address.get(address) or (address == self.addresses.primary and not was_stale)
        ):
            self.addresses.switch_to(address, now)
        elif address == self.addresses.primary:
            self.addresses.record_primary_check(now, False)
        self._probe_task = None

    def start_catch_up(self) -> None:
        """Start a catch-up call, unless one is running, to get changes that the watch has yet to deliver.

        Only for a tier, as its answers may be applied in any order. A discovery service answers a watch
        without such a delay.
        """
        if self.is_tier and (self._catch_up_task is None or self._catch_up_task.done()):
            self._catch_up_task = asyncio.get_running_loop().create_task(self._catch_up_once())

    async def _catch_up_once(self) -> None:
        """Make one catch-up call over a second connection to the current address."""
        address = self.addresses.current
        after = self._last_generation.get(address)
        if after is None:
            return
        if self._catch_up_client is None or self._catch_up_client[0] != address:
            if self._catch_up_client is not None:
                old_client = self._catch_up_client[1]
                self._closed_client_bytes = (
                    self._closed_client_bytes[0] + old_client.bytes_sent,
                    self._closed_client_bytes[1] + old_client.bytes_received,
                )
                old_client.close()
                self._catch_up_client = None
            client = KeepAliveClient(address, self._settings.connect_ms / 1000.0, self._settings.answer_bytes)
            self._catch_up_client = (address, client)
        self.calls += 1
        try:
            timeout_s = self._settings.slack_ms / 1000.0
            target = watch_target(after, 1)
            answer = self._decode(
                await self._catch_up_client[1].fetch(target, timeout_s, self._request_headers(self, None))
            )
            self._validate(answer, after, self._catch_up_client[1].is_reused)
            self._on_answer(self, address, answer)
        except (CallError, wire.AnswerError):
            self.failures += 1  # not logged: the watch reports an error that persists

    async def _call(self, address: HostPort, wait_ms: int | None = None) -> bool:
        """Make one call and pass its answer to `on_answer`.

        Returns whether it succeeded with an answer that is not provisional. With only one address, a
        provisional answer counts as a success too.
        """
        after, settings = self._last_generation.get(address), self._settings
        target, timeout_ms = LIST_TARGET, settings.whole_ms
        if after is not None:
            wait_ms = wait_ms or settings.wait_ms
            target, timeout_ms = watch_target(after, wait_ms), wait_ms + settings.slack_ms
        self.calls += 1
        self.full_requests += after is None
        try:
            header_lines = self._request_headers(self, address)
            client = self._clients[address]
            # The answer to a request for the full list counts as full, so it must be the answer to this one.
            body = await client.fetch(
                target, timeout_ms / 1000.0, header_lines, bool(self.is_tier), new_connection=after is None
            )
            answer = self._decode(body)
            self._validate(answer, after, client.is_reused)
            self._on_answer(self, address, answer)
        except (CallError, wire.AnswerError) as error:
            self.failures += 1
            # Fetch the full list next if a delta may be wrong. From a discovery service it may be after any
            # failure: it may have restarted with new generations, which can reach the old number with another
            # list.
            if isinstance(error, wire.AnswerError) or error.refused or not self.is_tier:
                self._last_generation.pop(address, None)
            self._record_error(address, str(error))
            return False
        self._last_generation[address] = answer.generation
        self._stale_by_address[address] = isinstance(answer, wire.TierAnswer) and answer.stale
        if self._last_error.pop(address, None) is not None:
            self._log_event("tier_call_good", feed=self.name, place="{}:{}".format(*address))
        return not (isinstance(answer, wire.TierAnswer) and answer.provisional) or self._has_one_address

    def _validate(self, answer: Answer, after: int | None, is_reused: bool) -> None:
        """Check the kind of the answer, and that its generation follows `after`. Raises `AnswerError`.

        On a reused connection a full answer has to follow it too, since it may be a late copy of an earlier
        one. The answer to a request for the full list (`after` is None) is marked as full.
        """
        is_tier = isinstance(answer, wire.TierAnswer)
        if self.is_tier is None:
            self.is_tier = is_tier
        elif self.is_tier is not is_tier:
            raise wire.AnswerError("foreign: " + ("a tier's" if is_tier else "no tier's") + " answer")
        if after is None:
            answer.full = True
        elif not answer.full:
            shift = SEQUENCE_BITS if is_tier else 63
            if answer.generation < after or answer.generation >> shift != after >> shift:
                raise wire.AnswerError(f"foreign: generation {answer.generation} after {after}")
        elif is_reused and answer.generation < after:
            raise wire.AnswerError(f"late: full list of generation {answer.generation} after {after}")

    def _record_error(self, address: HostPort, reason: str) -> None:
        """Log the failure of a call to this address, unless the last one failed for the same reason."""
        if self._last_error.get(address) != reason:
            self._last_error[address] = reason
            self._log_event("tier_call_failed", feed=self.name, place="{}:{}".format(*address), reason=reason)
