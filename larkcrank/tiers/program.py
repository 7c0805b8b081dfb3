"""The process of a tier: sockets, timers, start and stop. `python -m larkcrank tier CONFIG.json`"""

import asyncio
import gc
import resource
import signal
import socket
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from larkcrank.program.log import Log
from larkcrank.protocol import http1
from larkcrank.tiers import held, snapshot, wire
from larkcrank.tiers.config import Config, ConfigError, HostPort, SourceConfig, load
from larkcrank.tiers.feeds import Answer, Feed
from larkcrank.tiers.gather import FullAnswerLimiter
from larkcrank.tiers.receivers import BATCH_SIZE, Listener, ListenerKind, Receiver
from larkcrank.tiers.state import Changes, InstanceTable, new_generation_prefix

LISTEN_BACKLOG = 4096
RESERVED_DESCRIPTORS = 64  # of the process's file descriptors; kept free for calls, listeners and files
CHECK_INTERVAL_S = 0.25  # between checks for timeouts, freshness and lag
PARENT_FEED_NAME = "above"
SUMMARY_HEADER = b"Held"  # of a call to the parent: how many sidecars hold which generation
# Marks a catch-up call of a tier, which has no summary, so that the parent does not count it as a sidecar.
CATCH_UP_HEADER = b"Held-Aside"
MAX_LOGGED_LAGGARDS = 5  # sidecars listed in a log event
MAX_CUT_OFF_LAGGARDS = 20  # closed connections to lagging sidecars that are still reported
OPS_MAX_LINE_BYTES = 128
OPS_TIMEOUT_S = 2.0
OPS_MAX_CONNECTIONS = 16


class Tier:
    """One tier on the running event loop.

    Its feeds are calls to its inputs: sources, which are discovery services or child tiers, and one parent
    tier. Its listeners serve receivers: sidecars, child tiers and a parent tier.
    """

    def __init__(self, config: Config, log: Log, rng: Random | None = None) -> None:
        self.config, self.log = config, log
        self._rng = rng or Random()
        settings = self._settings = config.settings
        self._loop = asyncio.get_running_loop()
        now = time.time()
        self.table = InstanceTable(
            config.name,
            int(now * 1000.0),
            new_generation_prefix(now, self._rng.getrandbits(12)),
            settings.tombstones,
            settings.tombstone_ms,
        )
        batch_interval_s = settings.gather_ms / 1000.0
        self.child_listener = Listener("listen", ListenerKind.CHILD_TIERS, None, self.table, batch_interval_s)
        self.parent_listener = (
            Listener("own", ListenerKind.PARENT_TIER, None, self.table, batch_interval_s)
            if config.parent_listen is not None
            else None
        )
        self.sidecar_listeners = [
            Listener(f"doors[{i}]", ListenerKind.SIDECARS, listener.services, self.table, batch_interval_s)
            for i, listener in enumerate(config.sidecar_listeners)
        ]
        # The sidecar listeners that serve only listed services, and those that serve all services.
        self._listeners_by_service: dict[str, list[Listener]] = {}
        self._all_services_listeners: list[Listener] = []
        for listener in self.sidecar_listeners:
            if listener.services is None:
                self._all_services_listeners.append(listener)
            for service in listener.services or ():
                self._listeners_by_service.setdefault(service, []).append(listener)
        self._sidecar_limiter = FullAnswerLimiter(settings.wholes_per_s, settings.whole_wait_ms / 1000.0)
        self._tier_limiter = FullAnswerLimiter(settings.tier_wholes_per_s, settings.whole_wait_ms / 1000.0)
        self.max_wait_ms = settings.longest_wait_ms
        self.receivers: set[Receiver] = set()
        self._blocked_until: dict[Receiver, float] = {}  # end of the write timeout
        # Receivers with a list of another tier, and the time of their call. They are answered once all feeds
        # have answered after that time.
        self._deferred_receivers: dict[Receiver, float] = {}
        # Sidecars whose connection was closed while they lacked a change, by name of the listener and host.
        # Each value: sequence number held, time of the first change that is lacking, address.
        self._cut_off_laggards: dict[tuple[str, str], tuple[int, float, str]] = {}
        self._is_isolated = False  # whether the tier has no sources and its parent is silent
        descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._max_connections = max(min(settings.connections, descriptor_limit - RESERVED_DESCRIPTORS), 1)
        self.sources: list[Feed] = [self._create_source_feed(source) for source in config.sources]
        self.parent: Feed | None = None
        if config.parents:
            decode = partial(wire.decode_answer, services=config.services)
            self.parent = self._create_feed(PARENT_FEED_NAME, config.parents, decode)
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self.ops_address: tuple[str, int] | None = None
        self._operators: set[OperatorConnection] = set()  # open connections
        self._started_at = self._loop.time()
        # The generation prefix for which the waiting tiers were last sent full answers.
        self._announced_generation_prefix = self.table.generation_prefix
        max_lag_s = settings.held_ms / 1000.0
        self._parent_generations, self._change_times, self._child_summaries = (
            held.ParentGenerations(),
            held.ChangeTimes(),
            held.ChildSummaries(max_lag_s),
        )
        self._parent_generations_from: HostPort | None = None  # the parent whose generations these are
        self._propagation = held.PropagationMonitor(max_lag_s)
        # Whether all sources but excused ones, and for `is_complete` also the parent, have answered
        # completely since the start.
        self.sources_complete = self.is_complete = False
        self._was_fresh = False  # the result of the last check of `is_fresh` for child tiers
        self._saved_seq = 0  # the sequence number that the last snapshot has
        self._load_snapshot()
        self.refused_calls = self.full_answers = self.delta_answers = self.rejected_connections = (
            self.cut_connections
        ) = self.bad_summaries = 0
        self.calls = self.bytes_out = 0

    def _create_feed(self, name: str, addresses: Sequence[tuple[str, int]], decode: Any) -> Feed:
        return Feed(
            name,
            addresses,
            decode,
            self._apply_answer,
            self._request_headers,
            self._settings,
            Random(self._rng.getrandbits(64)),
            self.log.event,
        )

    def _create_source_feed(self, source: SourceConfig) -> Feed:
        services = self.config.services
        decode = partial(wire.decode_answer, service=source.service, services=services)
        feed = self._create_feed("{}:{}".format(*source.address), (source.address,), decode)
        feed.may_be_empty = source.may_be_empty
        return feed

    # The snapshot.

    def _load_snapshot(self) -> None:
        """Load the snapshot of an earlier process. If it cannot be used, log why and start without."""
        path, now_ms = self.config.snapshot_path, time.time() * 1000.0
        if path is None:
            return
        try:
            saved = snapshot.read(path, self.config.name, now_ms, self._settings.snapshot_age_ms)
        except snapshot.SnapshotError as error:
            self.log.event("tier_snapshot_unusable", why=error.why, message=str(error))
            return
        self.table.restore(saved.lines, saved.known, now_ms)
        for listener in self._all_listeners:
            listener.changed_seq = self.table.sequence
        self.log.event(
            "tier_snapshot_taken", lines=self.table.live_count, age_s=round(saved.age_ms / 1000.0, 1)
        )

    async def _save_periodically(self) -> None:
        """Save a snapshot at intervals, but not before the table is complete: the old file may have more."""
        path = self.config.snapshot_path
        while path is not None:
            await asyncio.sleep(self._settings.snapshot_ms / 1000.0)
            if self.is_complete and self.table.sequence != self._saved_seq:
                sequence, data = self.table.sequence, snapshot.encode(self.table, time.time() * 1000.0)
                try:
                    await asyncio.to_thread(snapshot.write, path, data)
                    self._saved_seq = sequence
                except OSError as error:
                    self.log.event("tier_snapshot_not_written", message=error.strerror or str(error))

    def _save_at_stop(self) -> None:
        if self.config.snapshot_path is not None and self.is_complete:
            try:
                snapshot.write(self.config.snapshot_path, snapshot.encode(self.table, time.time() * 1000.0))
            except OSError as error:
                self.log.event("tier_snapshot_not_written", message=error.strerror or str(error))

    # Start and stop.

    async def start(self) -> None:
        """Open the listeners and start the feeds. Raises `OSError` if an address is unavailable."""
        config = self.config
        await self._listen(self.child_listener, config.child_listen)
        if self.parent_listener is not None and config.parent_listen is not None:
            await self._listen(self.parent_listener, config.parent_listen)
        for listener, listener_config in zip(self.sidecar_listeners, config.sidecar_listeners, strict=True):
            await self._listen(listener, listener_config.listen)
        if config.ops_listen is not None:
            sock = _bind_socket(config.ops_listen)
            self.ops_address = sock.getsockname()[:2]
            self._servers.append(
                await self._loop.create_server(
                    lambda: OperatorConnection(self), sock=sock, backlog=OPS_MAX_CONNECTIONS
                )
            )
        optional_fields = {} if self.ops_address is None else {"ops": _format_address(self.ops_address)}
        if self.parent_listener is not None:
            optional_fields["own"] = _format_address(self.parent_listener.address)
        self.log.event(
            "tier_listening",
            listen=_format_address(self.child_listener.address),
            doors=[_format_address(listener.address) for listener in self.sidecar_listeners],
            connections=self._max_connections,
            **optional_fields,
        )
        feeds = [*self.sources, *([self.parent] if self.parent is not None else [])]
        self._tasks += [self._loop.create_task(self._run_feed(feed)) for feed in feeds]
        self._tasks += [
            self._loop.create_task(self._run_checks()),
            self._loop.create_task(self._save_periodically()),
        ]

    async def _listen(self, listener: Listener, address: tuple[str, int]) -> None:
        """Open this listener's socket."""
        sock = _bind_socket(address)
        listener.address = sock.getsockname()[:2]
        self._servers.append(
            await self._loop.create_server(
                lambda: Receiver(self, listener, self._loop), sock=sock, backlog=LISTEN_BACKLOG
            )
        )

    async def stop(self) -> None:
        """Close the listeners, stop all tasks, save a snapshot and close the connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._save_at_stop()
        for receiver in list(self.receivers):
            receiver.abort()
        for operator in list(self._operators):
            operator.abort()
        await asyncio.sleep(0)

    async def _run_feed(self, feed: Feed) -> None:
        """Run the feed, and restart it after an unexpected exception."""
        while True:
            try:
                await feed.run()
            except Exception as error:
                self.log.log_exception(f"feed {feed.name}", error)
                await asyncio.sleep(1.0)

    # Answers from sources and the parent.

    def _request_headers(self, feed: Feed, address: HostPort | None) -> Sequence[bytes]:
        """Header lines of a call of this feed to `address`; None as the address: of a catch-up call.

        A call to the parent has the summary of sidecars, a catch-up call to it the header that marks it.
        """
        if feed is not self.parent:
            return ()
        if address is None:
            return (CATCH_UP_HEADER + b": 1",)
        summary = held.Summary(self.config.name, [], [])
        if address == self._parent_generations_from:
            summary = held.summarize(self.config.name, self.sidecar_progress(), self._parent_generations)
        return (SUMMARY_HEADER + b": " + held.encode(summary),)

    def _apply_answer(self, feed: Feed, address: HostPort, answer: Answer) -> None:
        """Apply an answer of a feed to the table, and schedule answers to the receivers.

        Raises `AnswerError` if it cannot be used; the table is then unchanged.
        """
        table, now_ms = self.table, time.time() * 1000.0
        is_empty = answer.full and not any(not record.gone for record in answer.records)
        if is_empty and not feed.may_be_empty:
            raise wire.AnswerError("empty")
        if isinstance(answer, wire.DiscoveryAnswer):
            if feed is self.parent:
                raise wire.AnswerError("foreign: no tier's answer")
            changes = table.apply_discovery(feed.name, answer.records, answer.full, now_ms)
            feed.record_answer()
        else:
            if feed is not self.parent:
                table.subtree_owners |= answer.known_versions.keys() - {self.config.name}
            changes = table.merge(answer.records, answer.known_versions, answer.full, now_ms)
            own_version = answer.known_versions.get(table.name)
            if own_version is not None and own_version > (table.epoch, table.version_counter):
                self.log.event("tier_epoch_raised", heard=own_version, own=table.epoch)
                own_changes = table.supersede_version(own_version, self._new_generation_prefix(), now_ms)
                self._announce_new_generation_prefix()
                self._announce_changes(own_changes)
            feed.record_answer(not answer.provisional)
        self._announce_changes(changes)
        if feed is self.parent and address == feed.addresses.current:
            if address != self._parent_generations_from:
                self._parent_generations.clear()
                self._parent_generations_from = address
            self._parent_generations.record(table.sequence, answer.generation)
        if not self.is_complete or not table.own_records_complete:
            self._update_completeness()
        self._is_isolated = self._is_isolated and self._has_lost_all_input
        self._answer_deferred_receivers()

    def _new_generation_prefix(self) -> int:
        return new_generation_prefix(time.time(), self._rng.getrandbits(12))

    def _update_completeness(self) -> None:
        """Update whether the sources and the parent have answered since the start.

        When that changes, generations sent so far become invalid, so that receivers get a full answer.
        """
        table = self.table
        sources_complete = all(
            feed.complete_answer_at is not None or feed.is_excused for feed in self.sources
        )
        own_complete = all(feed.complete_answer_at is not None for feed in self.sources)
        is_complete = sources_complete and (self.parent is None or self.parent.complete_answer_at is not None)
        has_progressed = (own_complete and not table.own_records_complete) or (
            sources_complete and not self.sources_complete
        )
        if has_progressed or (is_complete and not self.is_complete):
            self.sources_complete = sources_complete
            if own_complete and not table.own_records_complete:
                table.own_records_complete = True
                names = {feed.name for feed in self.sources}
                self._announce_changes(table.remove_other_sources(names, time.time() * 1000.0))
            table.replace_generation_prefix(self._new_generation_prefix())
            first_time, self.is_complete = is_complete and not self.is_complete, is_complete
            self._announce_new_generation_prefix()
            if first_time:
                self.log.event("tier_complete", lines=table.live_count, generation=table.generation)

    def _announce_new_generation_prefix(self) -> None:
        """Send waiting tiers a full answer after the generation prefix was replaced.

        Sidecars need none: what they receive of a record has not changed.
        """
        # The generation prefix for which the waiting tiers were last sent full answers.
        self._announced_generation_prefix = self.table.generation_prefix
        for listener in (self.child_listener, self.parent_listener):
            if listener is not None:
                for receiver in list(listener.waiting):
                    self._schedule_full_answer(receiver)

    def _announce_changes(self, changes: Changes) -> None:
        """Schedule answers to the receivers that these changes concern."""
        if not changes:
            return
        now, sequence = self._loop.time(), self.table.sequence
        if self.table.generation_prefix != self._announced_generation_prefix:
            # The sequence number has wrapped around, so the recorded sequence numbers are no longer valid.
            self._announce_new_generation_prefix()
            self._change_times.clear()
            self._propagation.clear()
            self._parent_generations.clear()
            self._cut_off_laggards.clear()
            for listener in self.sidecar_listeners:
                for receiver in list(listener.waiting):
                    self._schedule_full_answer(receiver)
        self._change_times.record(sequence, now)
        if not self.config.parents:
            self._propagation.record(sequence, now)
        affected_listeners = {self.child_listener: None}
        if self.parent_listener is not None and not changes.owners.isdisjoint(self.table.subtree_owners):
            affected_listeners[self.parent_listener] = None
        if changes.services:
            affected_listeners.update(dict.fromkeys(self._all_services_listeners))
        for service in changes.services:
            affected_listeners.update(dict.fromkeys(self._listeners_by_service.get(service, ())))
        for listener in affected_listeners:
            listener.changed_seq = sequence
            if listener.batcher.due_at is None:
                due_at = listener.batcher.schedule(now)
                if due_at <= now:
                    self._loop.call_soon(self._send_batch, listener)
                else:
                    self._loop.call_at(due_at, self._send_batch, listener)

    def _send_batch(self, listener: Listener) -> None:
        """Send the batch of changes to each waiting receiver of this listener that lacks one."""
        listener.batcher.sent(self._loop.time())
        self._send_deltas(
            listener,
            [receiver for receiver in listener.waiting if receiver.sequence < listener.changed_seq],
        )

    def _send_deltas(self, listener: Listener, receivers: list[Receiver]) -> None:
        """Answer these receivers, `BATCH_SIZE` in each loop iteration so that other work is not delayed."""
        for receiver in receivers[:BATCH_SIZE]:
            if receiver in listener.waiting:
                self._send_delta(receiver)
        if len(receivers) > BATCH_SIZE:
            self._loop.call_soon(self._send_deltas, listener, receivers[BATCH_SIZE:])

    # Receivers.

    def receiver_opened(self, receiver: Receiver) -> bool:
        """Register a new connection; False if there are too many."""
        if len(self.receivers) >= self._max_connections:
            self.rejected_connections += 1
            return False
        self.receivers.add(receiver)
        receiver.listener.receivers.add(receiver)
        return True

    def receiver_closed(self, receiver: Receiver) -> None:
        """Remove a closed connection from all sets."""
        self.receivers.discard(receiver)
        receiver.listener.receivers.discard(receiver)
        receiver.listener.waiting.discard(receiver)
        self._blocked_until.pop(receiver, None)
        self._deferred_receivers.pop(receiver, None)

    def receiver_blocked(self, receiver: Receiver, is_blocked: bool) -> None:
        """Start or stop the write timeout of a receiver whose socket buffer is full."""
        if is_blocked:
            self._blocked_until[receiver] = self._loop.time() + self._settings.write_ms / 1000.0
        else:
            self._blocked_until.pop(receiver, None)

    def receiver_called(
        self, receiver: Receiver, after: int | None, wait_ms: int, fields: http1.Fields
    ) -> None:
        """Answer a call now or later. `after` is the last generation that the receiver got; None: no list."""
        listener, table, now = receiver.listener, self.table, self._loop.time()
        self.calls += 1
        if self._cut_off_laggards:
            self._cut_off_laggards.pop(self._laggard_key(receiver), None)
        if not listener.is_for_sidecars:
            self._read_summary(receiver, fields)
        sequence = None if after is None else table.sequence_of(after)
        if sequence is None:
            receiver.sequence = -1
            if after is not None and not self.is_fresh(listener):
                self._refuse(receiver)
            elif after is not None and listener.is_for_sidecars:
                self._defer_answer(receiver, now)
            else:
                self._schedule_full_answer(receiver)
            return
        receiver.sequence = sequence
        if self._is_isolated:
            self._refuse(receiver)
        elif not table.can_answer_since(sequence, not listener.is_for_sidecars):
            self._schedule_full_answer(receiver)
        elif listener.changed_seq > sequence and listener.batcher.due_at is None:
            self._send_delta(receiver)
        else:
            listener.waiting.add(receiver)
            receiver.start_timer(now + wait_ms / 1000.0, self._send_delta)

    def _is_complete_for(self, listener: Listener) -> bool:
        return self.sources_complete if listener.kind is ListenerKind.PARENT_TIER else self.is_complete

    def is_fresh(self, listener: Listener) -> bool:
        """Whether all feeds that this listener's content depends on answered completely within `fresh_ms`."""
        if not self._is_complete_for(listener):
            return False
        feeds = [feed for feed in self.sources if not feed.is_excused]
        if listener.kind is not ListenerKind.PARENT_TIER and self.parent is not None:
            feeds.append(self.parent)
        since = self._loop.time() - self._settings.fresh_ms / 1000.0
        return all(feed.complete_answer_at is not None and feed.complete_answer_at >= since for feed in feeds)

    def _defer_answer(self, receiver: Receiver, now: float) -> None:
        """Answer a receiver that has a list of another tier only after a catch-up call of each feed.

        The other tier may have had later changes than this one, so that an answer now could undo them.
        """
        self._deferred_receivers[receiver] = now
        receiver.start_timer(now + self._settings.whole_wait_ms / 1000.0, self._refuse)
        for feed in self._feeds:
            feed.start_catch_up()

    def _answer_deferred_receivers(self) -> None:
        """Answer each deferred receiver if all feeds have answered since its call."""
        if not self._deferred_receivers:
            return
        answered_at = [feed.complete_answer_at for feed in self._feeds if not feed.is_excused]
        all_answered_at = min((at or 0.0 for at in answered_at), default=0.0)
        for receiver in [
            connection
            for connection, called_at in self._deferred_receivers.items()
            if called_at <= all_answered_at
        ]:
            del self._deferred_receivers[receiver]
            self._schedule_full_answer(receiver)
        for feed in self._feeds:
            if self._deferred_receivers:
                feed.start_catch_up()

    def _schedule_full_answer(self, receiver: Receiver) -> None:
        """Send a full answer as soon as the rate limit allows, or refuse the call."""
        listener, now = receiver.listener, self._loop.time()
        listener.waiting.discard(receiver)
        if listener.is_empty and not self._may_be_empty:
            self._refuse(receiver)  # an empty list is probably a fault and must not spread
            return
        send_at = (self._sidecar_limiter if listener.is_for_sidecars else self._tier_limiter).reserve(now)
        if send_at is None:
            self._refuse(receiver)
        elif send_at <= now:
            self._send_full(receiver)
        else:
            receiver.start_timer(send_at, self._send_full)

    @property
    def _may_be_empty(self) -> bool:
        """Whether all inputs are sources whose list may be empty."""
        return bool(self.sources) and self.parent is None and all(feed.may_be_empty for feed in self.sources)

    def _refuse(self, receiver: Receiver) -> None:
        self.refused_calls += 1
        self._deferred_receivers.pop(receiver, None)
        receiver.listener.waiting.discard(receiver)
        receiver.send_error(503)

    def _send_full(self, receiver: Receiver) -> None:
        self.full_answers += 1
        listener = receiver.listener
        receiver.send(listener.full_response(not self._is_complete_for(listener)))

    def _send_delta(self, receiver: Receiver) -> None:
        self.delta_answers += 1
        listener = receiver.listener
        listener.waiting.discard(receiver)
        receiver.send(listener.delta_response(receiver.sequence, not self._is_complete_for(listener)))

    # Propagation: which generations the sidecars have received.

    def _read_summary(self, receiver: Receiver, fields: http1.Fields) -> None:
        """Store a child tier's summary from the headers of its call, and mark the receiver as a tier."""
        values = fields.get_all(SUMMARY_HEADER.lower())
        summary = held.decode(values[0]) if values else None
        if summary is not None:
            receiver.is_tier = True
            self._child_summaries.add(summary, self._loop.time())
        elif values:
            self.bad_summaries += 1
        receiver.is_tier = receiver.is_tier or bool(fields.get_all(CATCH_UP_HEADER.lower()))

    def sidecar_progress(self) -> held.SidecarProgress:
        """How far each sidecar of this tier and of the tiers below is, in this tier's sequence numbers."""
        progress, table, now = held.SidecarProgress(), self.table, self._loop.time()
        for listener in (self.child_listener, *self.sidecar_listeners):
            for receiver in listener.receivers:
                if receiver.is_tier or not receiver.has_called:
                    continue
                sequence = listener.held_up_to(receiver.sequence)
                progress.add(sequence)
                if sequence < table.sequence:
                    since = receiver.idle_since if sequence < 0 else self._change_times.first_after(sequence)
                    lag_s = round(now - (now if since is None else since), 3)
                    generation = 0 if sequence < 0 else table.generation - table.sequence + sequence
                    laggard = held.Laggard(self.config.name, listener.name, receiver.peer, generation, lag_s)
                    progress.laggards.append((sequence, laggard))
        for (listener_name, _), (sequence, lacking_since, peer) in list(self._cut_off_laggards.items()):
            if now - lacking_since > self._settings.left_ms / 1000.0:
                del self._cut_off_laggards[listener_name, peer.rpartition(":")[0]]
                continue
            progress.add(sequence)
            generation = 0 if sequence < 0 else table.generation - table.sequence + sequence
            cut_off_laggard = held.Laggard(
                self.config.name, f"{listener_name} (left)", peer, generation, round(now - lacking_since, 3)
            )
            progress.laggards.append((sequence, cut_off_laggard))
        for summary in self._child_summaries.valid(now):
            for generation, count in summary.holders:
                held_sequence = table.sequence_of(generation)
                progress.add(-1 if held_sequence is None else held_sequence, count)
            for laggard in summary.laggards:
                held_sequence = table.sequence_of(laggard.generation)
                progress.laggards.append((-1 if held_sequence is None else held_sequence, laggard))
        return progress

    def propagation_report(self, generation: int | None) -> tuple[bool, str]:
        """The answer to the operators' call HELD: how many sidecars hold a generation (None: the latest).

        Returns True and the report as JSON, or False and an error message.
        """
        table = self.table
        sequence = table.sequence if generation is None else table.sequence_of(generation)
        if sequence is None:
            return False, "no generation of this tier, or of an earlier life of it"
        progress = self.sidecar_progress()
        holding = progress.holding(sequence)
        report = {
            "generation": table.generation - table.sequence + sequence,
            "held": holding,
            "not_held": progress.total - holding,
            "late": [
                msgspec.structs.asdict(laggard) for _, laggard in progress.longest_lagging(sequence=sequence)
            ],
            "silent": {
                tier: round(silent_s, 3)
                for tier, silent_s in self._child_summaries.silent(self._loop.time()).items()
            },
        }
        return True, msgspec.json.encode(report).decode()

    def _log_propagation(self, now: float) -> None:
        """Log when all sidecars hold a change, and when some have lacked one for too long."""
        progress = self.sidecar_progress()
        finding = self._propagation.check(progress.lowest, now)
        if finding is None:
            return
        status, sequence, elapsed_s = finding
        lag_fields: dict[str, Any] = {}
        if status == "lagging":
            lag_fields["not_held"] = progress.total - progress.holding(sequence)
            lag_fields["late"] = [
                msgspec.structs.asdict(laggard)
                for _, laggard in progress.longest_lagging(MAX_LOGGED_LAGGARDS, sequence)
            ]
        generation = self.table.generation - self.table.sequence + sequence
        self.log.event(
            f"tier_{status}",
            generation=generation,
            sidecars=progress.total,
            after_s=round(elapsed_s, 3),
            **lag_fields,
        )

    # Periodic checks.

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                self._check_once()
            except Exception as error:
                self.log.log_exception("look", error)

    def _check_once(self) -> None:
        """Apply timeouts, and update and log completeness, propagation, isolation and freshness."""
        now = self._loop.time()
        self.child_listener.reports_stale = self.is_stale
        for receiver in [
            connection for connection, timeout_at in self._blocked_until.items() if timeout_at <= now
        ]:
            self.cut_connections += 1
            self._cut_connection(receiver)
        idle_limit = now - self._settings.idle_ms / 1000.0
        for receiver in [
            connection
            for connection in self.receivers
            if not connection.is_calling and connection.idle_since < idle_limit
        ]:
            self._cut_connection(receiver)
        if not self.is_complete:
            if now - self._started_at > self._settings.patience_ms / 1000.0:
                self._excuse_silent_sources()
            self._update_completeness()
        if self._propagation.has_pending:
            self._log_propagation(now)
        self._answer_deferred_receivers()
        if not self._is_isolated and self._has_lost_all_input:
            self._is_isolated = True
            self.log.event(
                "tier_deaf", watches=sum(len(listener.waiting) for listener in self._all_listeners)
            )
            self._refuse_waiting(
                [connection for listener in self._all_listeners for connection in listener.waiting]
            )
        is_fresh = self.is_fresh(self.child_listener)
        if is_fresh is not self._was_fresh:
            self._was_fresh = is_fresh
            stale_feeds = [
                feed.name for feed in self._feeds if not feed.is_excused and not self._is_feed_fresh(feed)
            ]
            self.log.event("tier_fresh" if is_fresh else "tier_stale", not_heard=stale_feeds)

    def _cut_connection(self, receiver: Receiver) -> None:
        """Abort a blocked or idle connection.

        A sidecar that lacks a change is counted until it calls again, for at most `left_ms`.
        """
        if receiver.has_called and not receiver.is_tier and receiver.listener is not self.parent_listener:
            sequence = receiver.listener.held_up_to(receiver.sequence)
            if sequence < self.table.sequence:
                since = receiver.idle_since if sequence < 0 else self._change_times.first_after(sequence)
                lacking_since = self._loop.time() if since is None else since
                self._cut_off_laggards.pop(self._laggard_key(receiver), None)
                self._cut_off_laggards[self._laggard_key(receiver)] = (sequence, lacking_since, receiver.peer)
                if len(self._cut_off_laggards) > MAX_CUT_OFF_LAGGARDS:
                    del self._cut_off_laggards[next(iter(self._cut_off_laggards))]
        receiver.abort()

    @staticmethod
    def _laggard_key(receiver: Receiver) -> tuple[str, str]:
        """The listener's name and the peer's host; the port changes with each connection."""
        return receiver.listener.name, receiver.peer.rpartition(":")[0]

    @property
    def is_stale(self) -> bool:
        """Whether this tier, or one above it, has had no complete answer from its parent for `deaf_ms`."""
        if self.parent is None:
            return False
        last_answer_at = self.parent.complete_answer_at
        is_silent = (
            last_answer_at is None or self._loop.time() - last_answer_at > self._settings.deaf_ms / 1000.0
        )
        return is_silent or self.parent.is_stale

    @property
    def _has_lost_all_input(self) -> bool:
        """Whether the only input is a parent that has become silent; a tier with sources always has input."""
        if self.sources or self.parent is None:
            return False
        last_answer_at = self.parent.answered_at
        return (
            last_answer_at is not None
            and self._loop.time() - last_answer_at > self._settings.deaf_ms / 1000.0
        )

    def _refuse_waiting(self, receivers: list[Receiver]) -> None:
        """Refuse the waiting calls of an isolated tier, `BATCH_SIZE` in each loop iteration."""
        for receiver in receivers[:BATCH_SIZE]:
            if receiver in receiver.listener.waiting and self._is_isolated:
                self._refuse(receiver)
        if len(receivers) > BATCH_SIZE:
            self._loop.call_soon(self._refuse_waiting, receivers[BATCH_SIZE:])

    @property
    def _all_listeners(self) -> list[Listener]:
        return [
            self.child_listener,
            *([self.parent_listener] if self.parent_listener is not None else []),
            *self.sidecar_listeners,
        ]

    @property
    def _feeds(self) -> list[Feed]:
        return [*self.sources, *([self.parent] if self.parent is not None else [])]

    def _is_feed_fresh(self, feed: Feed) -> bool:
        since = self._loop.time() - self._settings.fresh_ms / 1000.0
        return feed.complete_answer_at is not None and feed.complete_answer_at >= since

    def _excuse_silent_sources(self) -> None:
        """Stop waiting for sources that have not answered since the start, provided that another one has."""
        if not any(feed.complete_answer_at is not None for feed in self.sources):
            return
        for feed in self.sources:
            if feed.complete_answer_at is None and not feed.is_excused:
                feed.is_excused = True
                self.log.event("tier_excused", feed=feed.name)

    # Operators' calls.

    def operator_call(self, line: str) -> tuple[bool, str]:
        """Carry out an operator's call, which is one line. Returns whether it succeeded, and the answer."""
        command, _, argument = line.partition(" ")
        if command == "PING" and not argument:
            is_fresh = self.is_fresh(self.child_listener)
            return is_fresh, "fresh" if is_fresh else "stale" if self.is_complete else "starting"
        if command == "HELD" and (
            not argument or (argument.isascii() and argument.isdigit() and len(argument) < 20)
        ):
            return self.propagation_report(int(argument) if argument else None)
        if command == "STATE" and not argument:
            return True, msgspec.json.encode(self.status()).decode()
        return False, "unknown call; known are PING, HELD [generation], STATE"

    def status(self) -> dict[str, Any]:
        """The answer to the operators' call STATE."""
        now, table = self._loop.time(), self.table
        return {
            "name": self.config.name,
            "generation": table.generation,
            "complete": self.is_complete,
            "deaf": self._is_isolated,
            "stale": self.is_stale,
            "fresh": self.is_fresh(self.child_listener),
            "lines": table.live_count,
            "tombstones": table.tombstone_count,
            "known": table.known_versions_of(),
            "feeds": [
                {
                    "feed": feed.name,
                    "place": feed.current_address,
                    "generation": feed.generation,
                    "heard_s": None
                    if feed.complete_answer_at is None
                    else round(now - feed.complete_answer_at, 3),
                    "trouble": feed.current_error,
                    "excused": feed.is_excused,
                    "calls": feed.calls,
                    "failures": feed.failures,
                    "wholes": feed.full_requests,
                }
                for feed in self._feeds
            ],
            "doors": [
                {
                    "door": listener.name,
                    "listen": _format_address(listener.address),
                    "connections": len(listener.receivers),
                    "waiting": len(listener.waiting),
                }
                for listener in self._all_listeners
            ],
            "calls": self.calls,
            "bytes_out": self.bytes_out,
            "bytes_in": sum(feed.byte_counts[1] for feed in self._feeds),
            "bytes_up": sum(feed.byte_counts[0] for feed in self._feeds),
            "answers": self.delta_answers,
            "wholes": self.full_answers,
            "refused": self.refused_calls,
            "turned_away": self.rejected_connections,
            "cut": self.cut_connections,
            "bad_summaries": self.bad_summaries,
        }

    def operator_opened(self, operator: "OperatorConnection") -> bool:
        """Register a new connection; False if there are too many."""
        if len(self._operators) >= OPS_MAX_CONNECTIONS:
            return False
        self._operators.add(operator)
        return True

    def operator_closed(self, operator: "OperatorConnection") -> None:
        self._operators.discard(operator)


class OperatorConnection(asyncio.Protocol):
    """A connection of an operator: reads one line, answers with one line, and closes."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(OPS_TIMEOUT_S, self.abort)
        if not self._tier.operator_opened(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._tier.operator_closed(self)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        line, newline, _ = self._buffer.partition(b"\n")
        if self._transport is None or self._transport.is_closing():
            return
        if len(line) > OPS_MAX_LINE_BYTES:
            self._reply(False, f"a call is a line of at most {OPS_MAX_LINE_BYTES} bytes")
        elif newline:
            try:
                self._reply(*self._tier.operator_call(line.removesuffix(b"\r").decode("ascii", "replace")))
            except Exception as error:
                self._tier.log.log_exception("operators' call", error)
                self.abort()

    def _reply(self, succeeded: bool, text: str) -> None:
        assert self._transport is not None
        self._transport.write(f"{200 if succeeded else 400} {text}\n".encode())
        self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _bind_socket(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{_format_address(address)}: {error.strerror}") from None
    return sock


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def _run(config: Config, log: Log) -> None:
    """Run a tier until SIGTERM or SIGINT."""
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    tier = Tier(config, log)
    try:
        await tier.start()
        gc.collect()
        gc.freeze()
        await stop_requested.wait()
    finally:
        await tier.stop()
    log.event("tier_ended")


def main(arguments: Sequence[str]) -> int:
    """Run until SIGTERM or SIGINT.

    Returns the exit status: 2 if the configuration is invalid, 1 if an address cannot be listened on.
    """
    if len(arguments) != 1:
        Log("tier").event("bad_configuration", message="one argument: the path of the configuration")
        return 2
    try:
        config = load(Path(arguments[0]))
    except ConfigError as error:
        Log("tier").event("bad_configuration", message=str(error))
        return 2
    log = Log(config.name)
    log.capture_library_logs()
    try:
        asyncio.run(_run(config, log))
    except OSError as error:
        log.event("cannot_listen", message=error.strerror or str(error))
        return 1
    return 0
