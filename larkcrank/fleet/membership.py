"""Fleet membership: a failure detector and an eventually consistent view. No I/O. See docs/fleet-view.md.

The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002): random probes, indirect probes, suspicion,
incarnations, and updates piggybacked on probes. It adds three rules of Lifeguard (Dadgar, Phillips, Currey,
DSN-W 2018): a member that misses answers lengthens its own probe period, since the cause may be local;
confirmations by other members shorten a suspicion; and each datagram to a suspected member contains the
suspicion as its first update, so that the member can refute it. As in Serf, dead members are contacted again
at a bounded rate. Two members whose digests differ compare their views bucket by bucket and exchange the
records that differ (anti-entropy). A bucket is the set of members whose names have the same `bucket_index`.

Times are milliseconds on the caller's clock. `tick` must be called every TICK_INTERVAL_MS. If a call is more
than STALL_MS after the previous one, this process is taken to have been stalled.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from larkcrank.fleet.news import UpdateQueue
from larkcrank.fleet.records import BUCKET_COUNT, MemberRecord, Standing, ViewDigest, bucket_index
from larkcrank.fleet.wire import (
    MAC_BYTES,
    MAX_DATAGRAM_BYTES,
    Ack,
    BucketDigests,
    BucketPage,
    BucketReply,
    DifferingBuckets,
    ListChunk,
    ListMessage,
    ListRequest,
    ListStatus,
    Message,
    Nack,
    Ping,
    PingRequest,
    ReplayFilter,
    encoded_size,
)

TICK_INTERVAL_MS = 100.0
MIN_PROBE_PERIOD_MS = 1000.0  # one probe per period; the period grows with the round-trip time
MAX_PROBE_PERIOD_MS = 4000.0
MAX_RTT_SAMPLE_MS = (
    2000.0  # slower answers are ignored, since they indicate a stalled process rather than a slow network
)
RTT_GAIN, RTT_DEVIATION_GAIN = 0.125, 0.25  # smoothing factors of RFC 6298
RTT_DEVIATIONS = 4.0  # an answer is expected within the smoothed RTT plus this many deviations
MAX_TIMED_PROBES = 16  # latest probes whose answers are used to measure the RTT, even if late
DIRECT_PROBE_SHARE = 0.5  # share of a period after which the target is probed through other members
NACK_SHARE = (
    0.8  # share of the time for a direct probe after which a member that probes for another sends a Nack
)
# The delay is random, to spread the probes of members that start together; it is short, to make contact soon.
MAX_FIRST_PROBE_DELAY_MS = 300.0
INDIRECT_PROBE_COUNT = 3  # members through which a target that did not answer is probed
MIN_SUSPICION_PERIODS = 5.0  # minimum suspicion time in periods, multiplied by log10 of the fleet's size
SUSPICION_TIME_FACTOR = 4.0  # maximum suspicion time, without confirmations, as a multiple of the minimum
FULL_CONFIRMATIONS = 3  # confirmations by other members that shorten a suspicion to the minimum
MAX_LOCAL_HEALTH_SCORE = 4  # 0 is healthy; the probe period is multiplied by 1 plus the score
UPDATE_SENDS_FACTOR = 3.0  # sends of each update, multiplied by log2 of the fleet's size
MAX_UPDATE_BYTES = 700  # per datagram
STALL_MS = 1000.0  # a longer time between two ticks means that this process was stalled
FORGET_DEAD_MS = 24 * 3600 * 1000.0  # dead members are contacted and their records kept for this long
MAX_REPLAY_FILTERS = 4  # latest processes of one member name whose replayed datagrams are detected
MAX_DUPLICATE_BOOT_IDS = 64  # records of other processes with this member's name
# Another process with this member's name is known to be running once it has raised its incarnation above
# that of this process this many times.
DUPLICATE_RAISES = 4
MAX_PAGES_IN_FLIGHT = 4  # pages of records sent in a comparison of views and not answered yet
MAX_PAGE_BYTES = 1000  # of records in a page
LEAVE_PING_COUNT = 4  # members that are notified by a ping when this one leaves
HEADER_BYTES = 40  # size of a datagram without its records
REPLY_OVERHEAD_BYTES = 64  # size of a reply without its records, its sender and the last name
MAX_RELAYED_PROBES = 64  # concurrent probes on behalf of other members


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message to send, and the address (host:port) to send it to."""

    address: str
    message: Message


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A change of a member's standing in the local view."""

    name: str
    standing: Standing
    reason: str  # name of the member that reported it, or an explanation


@dataclass(slots=True)
class _Probe:
    """The probe of the current period."""

    target: str  # member name
    probe_id: int
    requests_sent: int = 0  # indirect probes requested from other members
    nacks_received: int = 0
    answered: bool = False  # whether an Ack arrived, directly or through another member


@dataclass(slots=True)
class _Suspicion:
    """A suspicion of a member, which is declared dead when it expires."""

    started_at: float  # shifted when this process stalls
    incarnation: int  # of the suspected member
    min_duration: float  # with FULL_CONFIRMATIONS
    max_duration: float  # without confirmations
    confirmed_by: set[str] = field(default_factory=set)  # names of other members that suspect it too

    def is_new_confirmation(self, reporter: str) -> bool:
        """Return whether a report by this member is a further confirmation that is to be counted."""
        return (
            bool(reporter)
            and reporter not in self.confirmed_by
            and len(self.confirmed_by) <= FULL_CONFIRMATIONS
        )

    def expires_at(self) -> float:
        """Return the expiry time, which moves from the maximum to the minimum as confirmations arrive."""
        confirmed_share = min(math.log(len(self.confirmed_by) + 1) / math.log(FULL_CONFIRMATIONS + 1), 1.0)
        return self.started_at + max(
            self.min_duration, self.max_duration - (self.max_duration - self.min_duration) * confirmed_share
        )


@dataclass(slots=True)
class _RelayedProbe:
    """A probe on behalf of another member, the requester."""

    requester_probe_id: int  # ID of the probe in the request
    requester: str  # member name
    requester_address: str
    nack_at: float  # when to send a Nack if the target has not answered; infinite: already sent
    expires_at: float


class Membership:
    """One member's view of the fleet.

    The caller passes in datagrams with `receive` and the time with `tick`, sends the messages that these
    return, and reads and clears `changes`.
    """

    def __init__(self, local_record: MemberRecord, seeds: Iterable[str], rng: Random, now: float) -> None:
        """`seeds` are addresses (host:port) of members to contact first."""
        self.local_record = local_record
        # Whether another running process uses this name and takes precedence. If so, this one sends nothing.
        self.is_duplicate = False
        self.has_left = False
        # Local health of Lifeguard: 0 is healthy; the probe period is multiplied by 1 plus this score.
        self.local_health_score = 0
        self.changes: list[MemberChange] = []
        self.members: dict[str, MemberRecord] = {}  # all known members, including dead ones
        self.live_members: dict[str, MemberRecord] = {}
        self.digest = ViewDigest()
        self.live_set_version = 0  # incremented when the set of live members changes
        self.digest_mismatch_at = -math.inf  # when a digest other than that of this view was last received
        self.first_contact_at = math.inf  # when the first datagram of another member was received
        # Members that died or left, by name. They are contacted again, since any of them may come back.
        self._dead_members: dict[str, MemberRecord] = {}
        # Names of all known members, by bucket index.
        self._names_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self._live_addresses: Counter[str] = Counter()  # number of live members by address
        self._store(None, local_record)
        self._seeds = [seed for seed in seeds if seed != local_record.address]
        self._rng, self._now = rng, now
        self._last_tick_at = now
        self._next_period_at = now + rng.random() * MAX_FIRST_PROBE_DELAY_MS
        self._indirect_probe_at = math.inf
        self._probe_queue: list[str] = []  # names of the members to probe next, in random order
        self._probe: _Probe | None = None
        self._probe_sent_at: dict[int, float] = {}  # by probe ID, for the latest probes
        self._smoothed_rtt, self._rtt_deviation = -1.0, 0.0  # negative: no sample yet
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._updates = UpdateQueue()
        self._dead_since: dict[str, float] = {}  # when members died or left, by name
        self._replay_filters: dict[str, dict[int, ReplayFilter]] = {}  # by name and boot ID
        # For other processes with this member's name, by boot ID: how often each was seen to raise its
        # incarnation to this process's or above.
        self._incarnation_raise_counts: dict[int, int] = {}
        # For all records of this name that had to be outranked, by boot ID: the highest incarnation.
        self._exceeded_incarnations: dict[int, int] = {}
        # Pages of member records to send when views are compared: the name and address of the recipient, the
        # bucket, and the member name after which the page starts.
        self._pending_pages: deque[tuple[str, str, int, str]] = deque()
        self._pages_in_flight = 0
        self._next_sync_at = now
        # Name and address of the member from which a differing digest was last received.
        self._sync_candidate: tuple[str, str] | None = None
        self._sync_peer = ""  # name of the member to which this one last sent its bucket digests
        self._last_probe_id = 0
        self._last_sequence = 0
        self.replayed_count = 0  # rejected datagrams that were received before
        # Handles messages about server lists, after the datagram was accepted.
        self.on_list_message: Callable[[float, str, ListMessage], list[OutgoingMessage]] = (
            lambda now, address, message: []
        )

    # Queries

    def live_records(self) -> list[MemberRecord]:
        """Return the records of all live members, including this one."""
        return list(self.live_members.values())

    # Events

    def receive(self, now: float, address: str, message: Message) -> list[OutgoingMessage]:
        """Handle a decoded datagram from this address and return the messages to send."""
        self._now = now
        if self.has_left or self.is_duplicate or message.recipient not in ("", self.local_record.name):
            return []
        sender = message.sender
        if sender.boot_id == self.local_record.boot_id:
            return []
        if not self._replay_filter_for(sender).accept(message.sequence):
            self.replayed_count += 1
            return []
        if not self._is_current(sender):
            # The sender has a lower incarnation than the known record of its name: it is a restarted process
            # whose former process still counts as live, or a second process with this name. The answer
            # contains the known record, so that the sender can choose a higher incarnation. Otherwise it
            # would not be accepted before the former process is declared dead.
            return [self._make_ack(address, message)] if isinstance(message, Ping) else []
        self._merge(sender)
        outgoing: list[OutgoingMessage] = []
        match message:
            case Ping():
                self._merge_all(message.updates)
                outgoing.append(self._make_ack(address, message))
            case Ack():
                self._merge_all(message.updates)
                outgoing += self._handle_ack(sender.name, message.probe_id)
            case PingRequest():
                self._merge_all(message.updates)
                outgoing += self._relay_probe(address, sender.name, message)
            case Nack():
                if self._probe is not None and self._probe.probe_id == message.probe_id:
                    self._probe.nacks_received += 1
            case BucketDigests():
                own_buckets = [
                    digest & 0xFFFFFFFF for digest in self.digest.buckets
                ]  # 32 bits, as in the message
                differing = [
                    index
                    for index, (own_digest, sender_digest) in enumerate(
                        zip(own_buckets, message.buckets, strict=False)
                    )
                    if own_digest != sender_digest
                ]
                if differing:
                    outgoing.append(
                        OutgoingMessage(
                            address, DifferingBuckets(*self.message_header(sender.name), differing)
                        )
                    )
            case DifferingBuckets() if sender.name == self._sync_peer:
                self._sync_peer = ""
                buckets = [bucket for bucket in message.buckets if 0 <= bucket < BUCKET_COUNT]
                self._rng.shuffle(buckets)
                self._pending_pages = deque(
                    (sender.name, address, bucket, "") for bucket in buckets[:BUCKET_COUNT]
                )
                self._pages_in_flight = 0
                outgoing += self._send_pages()
            case BucketPage():
                outgoing.append(OutgoingMessage(address, self._make_bucket_reply(sender.name, message)))
            case ListStatus() | ListRequest() | ListChunk():
                outgoing += self.on_list_message(now, address, message)
            case BucketReply():
                self._merge_all(message.records)
                self._pages_in_flight = max(self._pages_in_flight - 1, 0)
                if message.last_name and 0 <= message.bucket < BUCKET_COUNT:
                    self._pending_pages.append((sender.name, address, message.bucket, message.last_name))
                outgoing += self._send_pages()
        self.first_contact_at = min(self.first_contact_at, now)
        if message.digest != self.digest.total:
            self._sync_candidate, self.digest_mismatch_at = (sender.name, address), now
        return outgoing

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Handle everything that is due and return the messages to send."""
        since_last_tick, self._now, self._last_tick_at = now - self._last_tick_at, now, now
        if self.has_left or self.is_duplicate:
            return []
        if since_last_tick > STALL_MS:
            self._recover_from_stall(since_last_tick)
        outgoing = self._check_relayed_probes() + self._start_sync()
        for name, suspicion in list(self._suspicions.items()):
            if now >= suspicion.expires_at():
                record = self.members[name]
                self._merge(
                    msgspec.structs.replace(
                        record, standing=Standing.DEAD, reported_by=self.local_record.name
                    )
                )
        probe = self._probe
        if probe is not None and now >= self._indirect_probe_at:
            self._indirect_probe_at = math.inf
            if not probe.answered:
                outgoing += self._probe_indirectly(probe)
        if now >= self._next_period_at:
            self._finish_probe()
            self._next_period_at = now + self._probe_period() * (1 + self.local_health_score)
            outgoing += self._start_probe()
            outgoing += self._ping_lost_member() + self._ping_suspect()
            self._forget_dead_members()
        return outgoing

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Leave the fleet. Return pings that notify some members, which pass the record on to the others."""
        self._now = now
        left_record = msgspec.structs.replace(
            self.local_record, incarnation=self.local_record.incarnation + 1, standing=Standing.LEFT
        )
        self._set_local_record(left_record)
        other_members = [record for record in self.live_records() if record.name != self.local_record.name]
        recipients = self._rng.sample(other_members, min(LEAVE_PING_COUNT, len(other_members)))
        outgoing = [self._make_ping(record.address, record.name) for record in recipients]
        self.has_left = True
        return outgoing

    def _start_sync(self) -> list[OutgoingMessage]:
        """Send bucket digests to a member whose digest differed, at most once per MIN_PROBE_PERIOD_MS."""
        if self._sync_candidate is None or self._now < self._next_sync_at:
            return []
        (self._sync_peer, address), self._sync_candidate = self._sync_candidate, None
        self._next_sync_at = self._now + MIN_PROBE_PERIOD_MS
        buckets = [digest & 0xFFFFFFFF for digest in self.digest.buckets]  # 32 bits, as in the message
        return [OutgoingMessage(address, BucketDigests(*self.message_header(self._sync_peer), buckets))]

    # Probes

    def _start_probe(self) -> list[OutgoingMessage]:
        """Ping the next live member; all are probed in random order before any is probed again."""
        while self._probe_queue:
            record = self.members.get(self._probe_queue.pop())
            if record is not None and record.is_live and record.name != self.local_record.name:
                break
        else:
            self._probe_queue = [
                record.name for record in self.live_records() if record.name != self.local_record.name
            ]
            self._rng.shuffle(self._probe_queue)
            if not self._probe_queue:
                return []
            record = self.members[self._probe_queue.pop()]
        self._last_probe_id += 1
        self._probe = _Probe(record.name, self._last_probe_id)
        self._indirect_probe_at = self._now + DIRECT_PROBE_SHARE * self._probe_period() * (
            1 + self.local_health_score
        )
        self._probe_sent_at[self._last_probe_id] = self._now
        if len(self._probe_sent_at) > MAX_TIMED_PROBES:
            del self._probe_sent_at[next(iter(self._probe_sent_at))]
        return [self._make_ping(record.address, record.name, self._last_probe_id)]

    def _update_rtt(self, sample: float) -> None:
        """Update the RTT estimate as TCP does (RFC 6298).

        The probe period depends on it, since with a fixed period, all members suspected each other on links
        with a latency of 300 ms.
        """
        if self._smoothed_rtt < 0.0:
            self._smoothed_rtt, self._rtt_deviation = sample, sample / 2
            return
        self._rtt_deviation += RTT_DEVIATION_GAIN * (abs(sample - self._smoothed_rtt) - self._rtt_deviation)
        self._smoothed_rtt += RTT_GAIN * (sample - self._smoothed_rtt)

    def _probe_period(self) -> float:
        """Return a probe period, within bounds, that allows for a direct answer before indirect probes."""
        expected_max_rtt = self._smoothed_rtt + RTT_DEVIATIONS * self._rtt_deviation
        return min(max(MIN_PROBE_PERIOD_MS, expected_max_rtt / DIRECT_PROBE_SHARE), MAX_PROBE_PERIOD_MS)

    def _finish_probe(self) -> None:
        """Evaluate the probe at the end of its period: suspect its target if no answer arrived."""
        probe, self._probe = self._probe, None
        # The local health also recovers if there was no other live member to probe.
        if probe is None or probe.answered:
            self.local_health_score = max(self.local_health_score - 1, 0)
            return
        # Each missing Nack to a request for an indirect probe suggests a local problem.
        self.local_health_score = min(
            self.local_health_score + probe.requests_sent - probe.nacks_received, MAX_LOCAL_HEALTH_SCORE
        )
        record = self.members.get(probe.target)
        if record is not None and record.standing is Standing.ALIVE:
            self._merge(
                msgspec.structs.replace(record, standing=Standing.SUSPECT, reported_by=self.local_record.name)
            )
        elif record is not None and record.standing is Standing.SUSPECT:
            self._merge(msgspec.structs.replace(record, reported_by=self.local_record.name))

    def _probe_indirectly(self, probe: _Probe) -> list[OutgoingMessage]:
        """Request some other live members to probe the target."""
        target = self.members.get(probe.target)
        other_members = [
            record
            for record in self.live_records()
            if record.name not in (self.local_record.name, probe.target)
        ]
        if target is None or not other_members:
            return []
        helpers = self._rng.sample(other_members, min(INDIRECT_PROBE_COUNT, len(other_members)))
        probe.requests_sent = len(helpers)
        return [
            OutgoingMessage(
                helper.address,
                PingRequest(
                    *self.message_header(helper.name),
                    probe.probe_id,
                    target.name,
                    target.address,
                    self._select_updates(helper.name),
                ),
            )
            for helper in helpers
        ]

    def _relay_probe(self, address: str, requester: str, message: PingRequest) -> list[OutgoingMessage]:
        """Ping a target on behalf of the requester at this address."""
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return []
        self._last_probe_id += 1
        direct_wait = DIRECT_PROBE_SHARE * self._probe_period()
        self._relayed_probes[self._last_probe_id] = _RelayedProbe(
            message.probe_id,
            requester,
            address,
            self._now + NACK_SHARE * direct_wait,
            self._now + 4 * MIN_PROBE_PERIOD_MS,
        )
        # The ping has no padding, so that it is never longer than the request. Otherwise, forged requests
        # could amplify traffic to any address.
        return [
            OutgoingMessage(
                message.target_address,
                Ping(*self.message_header(message.target), self._last_probe_id, [], b""),
            )
        ]

    def _check_relayed_probes(self) -> list[OutgoingMessage]:
        """Send the Nacks that are due, and remove expired probes."""
        outgoing = []
        for probe_id, relayed in list(self._relayed_probes.items()):
            if self._now >= relayed.nack_at:
                relayed.nack_at = math.inf
                outgoing.append(
                    OutgoingMessage(
                        relayed.requester_address,
                        Nack(*self.message_header(relayed.requester), relayed.requester_probe_id),
                    )
                )
            if self._now >= relayed.expires_at:
                del self._relayed_probes[probe_id]
        return outgoing

    def _handle_ack(self, name: str, probe_id: int) -> list[OutgoingMessage]:
        """Handle an Ack to a probe of this member, or forward one to the requester of a relayed probe."""
        sent_at = self._probe_sent_at.pop(probe_id, None)
        if sent_at is not None and self._now - sent_at <= MAX_RTT_SAMPLE_MS:
            self._update_rtt(self._now - sent_at)
        probe = self._probe
        if probe is not None and probe.probe_id == probe_id:
            probe.answered = True
            return []
        relayed = self._relayed_probes.pop(probe_id, None)
        if relayed is None:
            return []
        return [
            OutgoingMessage(
                relayed.requester_address,
                Ack(*self.message_header(relayed.requester), relayed.requester_probe_id, []),
            )
        ]

    def _ping_lost_member(self) -> list[OutgoingMessage]:
        """Ping a dead member, or a seed at which no live member is known, to reconnect after a partition."""
        lost_addresses = [
            record.address
            for record in self._dead_members.values()
            if not self._live_addresses[record.address]
        ]
        lost_addresses += [seed for seed in self._seeds if not self._live_addresses[seed]]
        return [self._make_ping(self._rng.choice(lost_addresses), "")] if lost_addresses else []

    def _ping_suspect(self) -> list[OutgoingMessage]:
        """Ping a random suspected member, so that its answer can refute the suspicion directly."""
        if not self._suspicions:
            return []
        suspect = self.members[self._rng.choice(sorted(self._suspicions))]
        return [self._make_ping(suspect.address, suspect.name)]

    def _recover_from_stall(self, stalled_for: float) -> None:
        """Discard pending probes and extend suspicions by the duration of the stall.

        Answers that did not arrive while this process was stalled do not show that other members failed.
        """
        self.local_health_score = MAX_LOCAL_HEALTH_SCORE // 2
        self._probe, self._indirect_probe_at = None, math.inf
        self._relayed_probes.clear()
        self._next_period_at = self._now
        for suspicion in self._suspicions.values():
            suspicion.started_at += stalled_for

    # Records

    def _replay_filter_for(self, sender: MemberRecord) -> ReplayFilter:
        """Return the replay filter of the sender's process.

        Filters of earlier processes are kept too, so that recorded datagrams of these are rejected.
        """
        filters = self._replay_filters.setdefault(sender.name, {})
        replay_filter = filters.pop(sender.boot_id, None) or ReplayFilter()
        while len(filters) >= MAX_REPLAY_FILTERS:
            del filters[next(iter(filters))]  # the least recently used
        filters[sender.boot_id] = replay_filter
        return replay_filter

    def _is_current(self, sender: MemberRecord) -> bool:
        """Return whether the sender is not outranked by a live record of another process of its name."""
        known = self.members.get(sender.name)
        return (
            known is None
            or known.boot_id == sender.boot_id
            or not known.supersedes(sender)
            or not known.is_live
        )

    def _merge_all(self, records: Iterable[MemberRecord]) -> None:
        for record in records:
            self._merge(record)

    def _merge(self, record: MemberRecord) -> None:
        """Apply a received or local record to the view if it is newer or confirms a suspicion."""
        if record.name == self.local_record.name:
            self._handle_own_name(record)
            return
        known = self.members.get(record.name)
        if known is not None and not record.supersedes(known):
            suspicion = self._suspicions.get(record.name)
            # The boot ID must match too. Otherwise a confirmation that concerns another process with a lower
            # boot ID and the same incarnation would replace the record.
            is_same = msgspec.structs.replace(record, reported_by=known.reported_by) == known
            if suspicion is not None and is_same and suspicion.is_new_confirmation(record.reported_by):
                suspicion.confirmed_by.add(record.reported_by)
                self._updates.enqueue(record.name)  # other members count confirmations too
                self._store(known, record)
            return
        self._store(known, record)
        self._updates.enqueue(record.name)
        self._suspicions.pop(record.name, None)
        self._dead_since.pop(record.name, None)
        if record.standing is Standing.SUSPECT:
            min_duration = (
                MIN_SUSPICION_PERIODS
                * self._probe_period()
                * max(math.log10(max(len(self.live_members), 1)), 1.0)
            )
            suspicion = _Suspicion(
                self._now, record.incarnation, min_duration, min_duration * SUSPICION_TIME_FACTOR, set()
            )
            if record.reported_by and record.reported_by != self.local_record.name:
                suspicion.confirmed_by.add(record.reported_by)
            self._suspicions[record.name] = suspicion
        elif not record.is_live:
            self._dead_since[record.name] = self._now
        if known is None or known.standing is not record.standing or known.boot_id != record.boot_id:
            self.changes.append(MemberChange(record.name, record.standing, record.reported_by))

    def _handle_own_name(self, record: MemberRecord) -> None:
        """Handle a record about this process or another process with the same name; refute it if needed."""
        is_not_outranked = record.incarnation >= self.local_record.incarnation and record.is_live
        if (
            record.boot_id != self.local_record.boot_id
            and is_not_outranked
            and record.incarnation > self._exceeded_incarnations.get(record.boot_id, -1)
        ):
            # A single such record may be an outdated update about a former process of this member. A process
            # that repeatedly raises its incarnation after this one exceeded it is running.
            self._incarnation_raise_counts[record.boot_id] = (
                self._incarnation_raise_counts.get(record.boot_id, 0) + 1
            )
            if self._incarnation_raise_counts[record.boot_id] == DUPLICATE_RAISES:
                self.is_duplicate = record.boot_id > self.local_record.boot_id
                reason = f"another process uses this member's name, at {record.address}"
                self.changes.append(MemberChange(self.local_record.name, Standing.SUSPECT, reason))
                if self.is_duplicate:
                    return
        own_record = self.local_record
        if record.boot_id == own_record.boot_id and record.is_live and record.standing is Standing.ALIVE:
            return
        if record.incarnation < own_record.incarnation:
            return
        if record.boot_id == own_record.boot_id:
            self.local_health_score = min(self.local_health_score + 1, MAX_LOCAL_HEALTH_SCORE)
        self._exceeded_incarnations[record.boot_id] = max(
            record.incarnation, self._exceeded_incarnations.get(record.boot_id, -1)
        )
        if len(self._exceeded_incarnations) > MAX_DUPLICATE_BOOT_IDS:
            oldest = next(iter(self._exceeded_incarnations))
            self._incarnation_raise_counts.pop(oldest, None)
            del self._exceeded_incarnations[oldest]
        self._set_local_record(msgspec.structs.replace(own_record, incarnation=record.incarnation + 1))

    def _set_local_record(self, record: MemberRecord) -> None:
        self._store(self.local_record, record)
        self.local_record = record

    def _store(self, known: MemberRecord | None, record: MemberRecord | None) -> None:
        """Replace the known record of a member and update all indexes; no other method may change them.

        `known` is None for a new member; `record` is None to remove the member.
        """
        self.digest.update(known, record)
        if known is not None and known.is_live:
            self._live_addresses[known.address] -= 1
            if not self._live_addresses[known.address]:
                del self._live_addresses[known.address]
        name = known.name if record is None and known is not None else record.name if record else ""
        was_live = self.live_members.pop(name, None) is not None
        self._dead_members.pop(name, None)
        if record is None:
            self.members.pop(name, None)
            self._names_by_bucket[bucket_index(name)].discard(name)
        else:
            self.members[name] = record
            self._names_by_bucket[bucket_index(name)].add(name)
            if record.is_live:
                self.live_members[name] = record
                self._live_addresses[record.address] += 1
            else:
                self._dead_members[name] = record
        self.live_set_version += was_live is not (name in self.live_members)

    def _forget_dead_members(self) -> None:
        """Remove the records of members that have been dead for FORGET_DEAD_MS."""
        for name, dead_since in list(self._dead_since.items()):
            if self._now >= dead_since + FORGET_DEAD_MS:
                del self._dead_since[name]
                self._store(self.members[name], None)
                self._replay_filters.pop(name, None)
                self._updates.remove(name)

    # Datagrams

    def message_header(self, recipient: str) -> tuple[MemberRecord, str, int, int]:
        """Return the first fields of every message: sender, recipient, sequence number and digest.

        Each call takes the next sequence number.
        """
        self._last_sequence += 1
        return self.local_record, recipient, self._last_sequence, self.digest.total

    def _make_ping(self, address: str, recipient: str, probe_id: int = 0) -> OutgoingMessage:
        if not probe_id:
            self._last_probe_id += 1
            probe_id = self._last_probe_id
        padding = bytes(encoded_size(self.local_record) + HEADER_BYTES)
        return OutgoingMessage(
            address, Ping(*self.message_header(recipient), probe_id, self._select_updates(recipient), padding)
        )

    def _make_ack(self, address: str, ping: Ping) -> OutgoingMessage:
        recipient = ping.sender.name
        max_bytes = encoded_size(ping) - encoded_size(self.local_record) - HEADER_BYTES
        return OutgoingMessage(
            address,
            Ack(
                *self.message_header(recipient),
                ping.probe_id,
                self._select_updates(recipient, ping.sender, max_bytes),
            ),
        )

    def _select_updates(
        self, name: str, sender: MemberRecord | None = None, max_bytes: int = MAX_UPDATE_BYTES
    ) -> list[MemberRecord]:
        """Return the updates for one datagram to the member `name`, those sent least often first.

        A record of the recipient itself goes first if it is suspect, dead or newer than the recipient's own,
        so that the recipient can refute it.
        """
        updates: list[MemberRecord] = []
        bytes_left = min(max_bytes, MAX_UPDATE_BYTES)
        recipient = self.members.get(name)
        is_not_alive = recipient is not None and recipient.standing is not Standing.ALIVE
        is_newer = recipient is not None and sender is not None and recipient.supersedes(sender)
        if recipient is not None and (is_not_alive or is_newer) and encoded_size(recipient) <= bytes_left:
            updates.append(recipient)
            bytes_left -= encoded_size(recipient)
        max_sends = math.ceil(UPDATE_SENDS_FACTOR * math.log2(len(self.members) + 1))
        for updated_name in self._updates:
            record = self.members.get(updated_name)
            if record is None or updated_name == name:
                continue
            bytes_left -= encoded_size(record)
            if bytes_left < 0:
                break
            updates.append(record)
            self._updates.record_send(updated_name, max_sends)
        return updates

    def _records_in_range(self, bucket: int, after_name: str, last_name: str) -> list[MemberRecord]:
        """Return the records of a bucket whose names lie in the range, sorted by name."""
        names = sorted(
            name
            for name in self._names_by_bucket[bucket]
            if name > after_name and (not last_name or name <= last_name)
        )
        return [self.members[name] for name in names]

    def _send_pages(self) -> list[OutgoingMessage]:
        """Return the next pages of records for the member with which views are compared."""
        outgoing: list[OutgoingMessage] = []
        while self._pending_pages and self._pages_in_flight < MAX_PAGES_IN_FLIGHT:
            name, address, bucket, after_name = self._pending_pages.popleft()
            records: list[MemberRecord] = []
            last_name, bytes_left = "", MAX_PAGE_BYTES
            for record in self._records_in_range(bucket, after_name, ""):
                bytes_left -= encoded_size(record)
                if bytes_left < 0:
                    last_name = records[-1].name
                    break
                records.append(record)
            self._pages_in_flight += 1
            if last_name:
                self._pending_pages.append((name, address, bucket, last_name))
            outgoing.append(
                OutgoingMessage(
                    address,
                    BucketPage(
                        *self.message_header(name),
                        bucket,
                        after_name,
                        last_name,
                        records,
                        bytes(max(bytes_left, 0)),
                    ),
                )
            )
        return outgoing

    def _make_bucket_reply(self, name: str, page: BucketPage) -> BucketReply:
        """Apply the records of a page, and return those that the page lacks or has in an older version."""
        page_records = {record.name: record for record in page.records}
        bytes_left = (
            min(encoded_size(page), MAX_DATAGRAM_BYTES - MAC_BYTES - 1)
            - encoded_size(self.local_record)
            - encoded_size(page.last_name)
            - REPLY_OVERHEAD_BYTES
        )
        records: list[MemberRecord] = []
        last_name = ""
        for record in self._records_in_range(page.bucket, page.after_name, page.last_name):
            page_record = page_records.get(record.name)
            if page_record is None or record.supersedes(page_record):
                bytes_left -= encoded_size(record)
                if bytes_left < 0:
                    last_name = records[-1].name if records else ""
                    break
                records.append(record)
        self._merge_all(page.records)
        return BucketReply(*self.message_header(name), page.bucket, last_name, records)
