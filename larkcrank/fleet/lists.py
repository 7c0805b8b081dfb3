"""Shares the server list between sidecars: a member with a newer list sends it to its peers. No I/O.

The newer of two lists is determined by the first of these criteria in which they differ:
1. A list that discovery reported at most MAX_PEER_LIST_AGE_MS ago is newer than one whose report is older, or
   is from before a restart and has no known time.
2. The list with the higher epoch is newer. The epoch is the number of times that discovery restarted its
   generation count.
3. The list with the higher generation is newer.
A list that this member receives from discovery itself replaces the lists that it received from peers.

Lists from peers are trusted within limits, so that a peer whose list is wrong or outdated does little harm:
- A server that is known to drain or to be gone keeps that state until an entry with a later start time shows
  that it was restarted.
- A list that removes more than half of the ready servers must be confirmed by two peers that received it from
  discovery itself. Until then the servers of both lists are used; the balancer detects those that fail.
- A list that is older than MAX_PEER_LIST_AGE_MS is not adopted. It is offered to peers only as a list from
  before a restart.
- An empty list is never adopted from peers.
- Discovery is considered to have restarted its generation count once two members received a lower generation
  from it and no member recently received the former one or a higher one. If only one member received it, this
  takes COUNT_RESTART_CONFIRM_MS.
- Each member may reach a server at a different address (host:port), unless the operator declares that the
  addresses are the same for all members. If they may differ, an entry from a peer is used only if this member
  knows an address of the same server with the same start time.

Times are milliseconds on the caller's clock. Messages contain ages only, so the clocks need not agree.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

import msgspec

from larkcrank.core.interface import State
from larkcrank.fleet import trust
from larkcrank.fleet.membership import Membership, OutgoingMessage
from larkcrank.fleet.wire import (
    MAC_BYTES,
    MAX_DATAGRAM_BYTES,
    ListChunk,
    ListMessage,
    ListRequest,
    ListStatus,
    ServerEntry,
    encoded_size,
)

STATUS_INTERVAL_MS = 1000.0  # between status messages, each to one member
NEW_LIST_FANOUT = 3  # members to which a newer list is announced at once
MAX_PEER_LIST_AGE_MS = trust.SERVER_LIST.peer_max_age_ms  # since discovery reported the list
DISCOVERY_REPORT_MAX_AGE_MS = 20_000.0  # older reports say nothing about its current generation
# If a single member receives lower generations from discovery for this long, the count was restarted.
COUNT_RESTART_CONFIRM_MS = 30_000.0
DEPARTED_RETENTION_MS = trust.DEPARTED_SERVERS.restart_max_age_ms  # how long departed servers are remembered
MAX_DEPARTED_SERVERS = 1024
MAX_CONFIRMED_LISTS = 16  # lists whose confirmations by peers are stored
REQUEST_TIMEOUT_MS = 200.0
MAX_REQUEST_ATTEMPTS = 8  # then the transfer is dropped, and another peer may offer the list
CONFIRMATION_INTERVAL_MS = 300.0  # between status messages while a list needs confirmation by a second peer
CONFIRMATION_TIMEOUT_MS = 3000.0  # after this, the search for a second peer stops
MAX_LIST_ENTRIES = 4096  # of a list from peers
MAX_CHUNK_BYTES = MAX_DATAGRAM_BYTES - MAC_BYTES - 1 - 60
MAX_UNCONFIRMED_REMOVAL_SHARE = 0.5  # of the ready servers, that one peer's list may remove
REQUIRED_CONFIRMATIONS = 2  # reports from different members, where a single one is not trusted
CHUNK_OVERHEAD_BYTES = 8  # reserved for the length prefixes of a chunk's last name and entries
STATUS_PADDING_BYTES = 24  # reserves room for an answer whose values take more bytes

# Whether discovery reported the list within MAX_PEER_LIST_AGE_MS, its epoch, its generation. Compared to
# determine the newer of two lists, which ranks higher.
ListRank = tuple[bool, int, int]


@dataclass(slots=True, frozen=True)
class SharedListUpdate:
    """A complete list that replaces the one that the sidecar uses."""

    generation: int
    entries: tuple[ServerEntry, ...]
    source: str  # name of the peer that sent it; empty: discovery


@dataclass(slots=True)
class _ListVersion:
    """Identifies a list, with the time at which discovery reported it."""

    epoch: int = 0
    generation: int = -1
    reported_at: float = (
        -math.inf
    )  # when discovery first reported it to a member; -inf: from before a restart


@dataclass(slots=True)
class _Transfer:
    """A list that is being received in chunks."""

    peer: str  # member name
    address: str  # of the peer, host:port
    list_id: tuple[int, int, int]  # epoch, generation, hash
    requested_at: float  # when the latest chunk was requested
    reported_at: float  # when discovery reported the list to the first member
    failed_attempts: int = 0  # consecutive requests without an answer
    entries: list[ServerEntry] = field(default_factory=list)  # received so far, sorted by name


def list_hash(entries: Iterable[ServerEntry], with_addresses: bool) -> int:
    """Return a hash of a list that does not depend on the order of its entries."""
    combined = 0
    for entry in entries:
        encoded_entry = msgspec.msgpack.encode(
            entry if with_addresses else msgspec.structs.replace(entry, host_port="")
        )
        combined ^= int.from_bytes(blake2b(encoded_entry, digest_size=8).digest(), "big")
    return combined


class SharedServerList:
    """One member's server list, and the versions of the lists that its peers reported."""

    def __init__(self, membership: Membership, same_addresses: bool, rng: Random, now: float) -> None:
        """`same_addresses`: whether all members reach a server at the same host:port."""
        self.entries: dict[str, ServerEntry] = {}  # the servers in use, by name
        self.adopted_count = 0  # lists adopted from peers
        # Counts of rejections, by reason:
        #   "empty": a list without entries
        #   "epoch": a list with a higher epoch that is not confirmed
        #   "old": a list older than MAX_PEER_LIST_AGE_MS
        #   "alone": removal of many servers that is not confirmed by a second peer
        #   "gone": an entry that lists a departed server as ready
        #   "place": an entry of a server whose address is not known here
        #   "mark": a received list whose hash differs from the announced one
        #   "untellable": a request for an entry that does not fit into a datagram
        self.rejected_counts: dict[str, int] = {}
        self.peer_started_at: dict[str, float] = {}  # when each peer's process started
        self._membership, self._same_addresses, self._rng = membership, same_addresses, rng
        self._started_at = self._now = now
        self._version = _ListVersion()
        # The list as discovery reported it, with the addresses of the member that received it, and its hash.
        self._shared_entries: dict[str, ServerEntry] = {}
        self._list_hash = 0
        # The last generation that discovery itself reported to this member, and when it did.
        self._direct_generation = -1
        self._direct_report_at = -math.inf
        # Since when discovery has reported generations to this member that are lower than that of the list in
        # use; None: it does not.
        self._lower_generation_since: float | None = None
        # Generation and entries (by server name) of the last such report.
        self._lower_generation_list: tuple[int, dict[str, ServerEntry]] | None = None
        # Servers that drain or are gone, by name: start time, state, and when the state became known.
        self._departed: dict[str, tuple[float, State, float]] = {}
        # By list ID (epoch, generation, hash): names of the peers that received the list from discovery
        # itself, with the time at which they last reported this.
        self._confirmations: dict[tuple[int, int, int], dict[str, float]] = {}
        # For each peer: the generation that discovery last reported to it, and when.
        self._peer_reports: dict[str, tuple[int, float]] = {}
        # ID (epoch, generation, hash) and content of a list that was adopted except for its removals, which
        # are applied once a second peer confirms them.
        self._unconfirmed: tuple[tuple[int, int, int], SharedListUpdate] | None = None
        # Version and hash of the previous list, which is offered to peers until the new one is confirmed.
        self._confirmed_version = self._version, self._list_hash
        self._pending_update: SharedListUpdate | None = None
        self._announcement_due = False
        self._transfer: _Transfer | None = None
        self._next_status_at = now
        self._seek_confirmation_until = -math.inf
        membership.on_list_message = self.receive

    # Queries

    @property
    def generation(self) -> int:
        """Generation of the list in use; -1: no list."""
        return self._version.generation

    @property
    def is_reported(self) -> bool:
        """Whether it is known when discovery reported the list to this member or a peer."""
        return self._version.reported_at > -math.inf

    @property
    def reported_at(self) -> float:
        """When discovery reported the list to the first member that received it; -inf: unknown."""
        return self._version.reported_at

    # Events

    def load_saved(self, entries: Iterable[ServerEntry], generation: int, age_ms: float = math.inf) -> None:
        """Start with a list from before a restart.

        `age_ms`: time since discovery reported it. If that exceeds MAX_PEER_LIST_AGE_MS, `is_reported` is
        false.
        """
        by_name = {entry.name: entry for entry in entries}
        reported_at = self._now - age_ms if age_ms <= MAX_PEER_LIST_AGE_MS else -math.inf
        self._replace_list(by_name, by_name, _ListVersion(0, generation, reported_at))

    def load_departed(self, departed: dict[str, tuple[float, State, float]]) -> None:
        """Add servers that drained or were gone before a restart, in the form that `departed` returns."""
        self._departed |= departed

    def departed(self) -> dict[str, tuple[float, State, float]]:
        """Return servers that drain or are gone, by name: start time, state, and when it became known."""
        return dict(self._departed)

    def on_discovery_list(
        self, now: float, entries: Iterable[ServerEntry], generation: int, complete: bool
    ) -> list[ServerEntry]:
        """Handle an answer of discovery and return the entries to use.

        `complete`: whether the answer lists all servers, rather than changes only. If its generation is lower
        than that of the list in use, servers that are known as departed stay so.
        """
        self._now, self._direct_generation, self._direct_report_at = now, generation, now
        is_lower = generation < self._version.generation and self.is_reported
        accepted = [self._keep_departed(entry) if is_lower else entry for entry in entries]
        by_name = {entry.name: entry for entry in accepted}
        if is_lower and not complete:  # changes older than the list from peers: only departures are applied
            accepted = [entry for entry in accepted if entry.state != State.READY]
            by_name = {entry.name: entry for entry in accepted}
            self._record_departed(by_name)
            self._set_entries(self.entries | by_name)
            return accepted
        # Either discovery lags or it restarted its generation count. Until that is known, the servers of
        # both lists are used.
        if is_lower and self._has_peers():
            self._lower_generation_list = generation, by_name
            self._lower_generation_since = (
                now if self._lower_generation_since is None else self._lower_generation_since
            )
            self._record_departed(by_name)
            self._set_entries(self.entries | by_name)
            return list(self.entries.values())
        self._record_departed(by_name, complete)
        epoch = self._version.epoch + is_lower
        is_newer = (epoch, generation) != (self._version.epoch, self._version.generation)
        kept_entries, kept_shared_entries = ({}, {}) if complete else (self.entries, self._shared_entries)
        self._unconfirmed = self._transfer = self._lower_generation_list = self._lower_generation_since = None
        self._replace_list(
            kept_entries | by_name, kept_shared_entries | by_name, _ListVersion(epoch, generation, now)
        )
        if is_newer:
            self._announcement_due = True
        return accepted

    def receive(self, now: float, address: str, message: ListMessage) -> list[OutgoingMessage]:
        """Handle a message from a peer at this address and return the messages to send."""
        self._now = now
        peer_name = message.sender.name
        match message:
            case ListStatus():
                return self._handle_status(peer_name, address, message)
            case ListRequest():
                return self._handle_request(peer_name, address, message)
            case ListChunk():
                return self._handle_chunk(peer_name, address, message)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Handle everything that is due and return the messages to send."""
        self._now = now
        outgoing: list[OutgoingMessage] = []
        if self._transfer is not None and now >= self._transfer.requested_at + REQUEST_TIMEOUT_MS:
            self._transfer.failed_attempts += 1
            if self._transfer.failed_attempts < MAX_REQUEST_ATTEMPTS:
                outgoing.append(
                    self._make_request(self._transfer.entries[-1].name if self._transfer.entries else "")
                )
            else:
                self._transfer = None
        if now >= self._next_status_at:
            seeks_confirmation = now < self._seek_confirmation_until
            self._next_status_at = now + (
                CONFIRMATION_INTERVAL_MS if seeks_confirmation else STATUS_INTERVAL_MS
            )
            outgoing += self._send_status(NEW_LIST_FANOUT if seeks_confirmation else 1)
            self._remove_expired()
        if self._announcement_due:  # the age is computed only now, since the process may have been stalled
            self._announcement_due = False
            outgoing += self._send_status(NEW_LIST_FANOUT)
        return outgoing

    def take_update(self, now: float) -> SharedListUpdate | None:
        """Return the list that replaces the one in use, if there is a new one."""
        self._now = now
        update, self._pending_update = self._pending_update, None
        if update is not None:
            return update
        if self._unconfirmed is not None and self._is_confirmed(self._unconfirmed[0]):
            (_, update), self._unconfirmed = self._unconfirmed, None
            by_name = {entry.name: entry for entry in update.entries}
            self._record_departed(by_name, True)
            self._set_entries(by_name)
            return update
        if self._lower_generation_list is not None and self._has_count_restarted():
            (generation, entries), self._lower_generation_list, self._lower_generation_since = (
                self._lower_generation_list,
                None,
                None,
            )
            self._replace_list(
                entries, entries, _ListVersion(self._version.epoch + 1, generation, self._direct_report_at)
            )
            self._announcement_due = True
            return SharedListUpdate(generation, tuple(self.entries.values()), "")
        return None

    # Lists of peers

    def _handle_status(self, peer_name: str, address: str, message: ListStatus) -> list[OutgoingMessage]:
        """Request the peer's list if it is newer, or answer with a status if it is older."""
        peer_rank = self._rank(message.age_ms, message.epoch, message.generation)
        reported_at = self._now - message.age_ms if message.age_ms >= 0.0 else -math.inf
        self.peer_started_at[peer_name] = self._now - message.uptime_ms
        if message.direct_generation >= 0:
            self._peer_reports[peer_name] = message.direct_generation, self._now - message.direct_age_ms
        list_id = message.epoch, message.generation, message.list_hash
        if message.direct_generation == message.generation:  # the peer got it from discovery itself
            self._confirmations.setdefault(list_id, {})[peer_name] = self._now
            while len(self._confirmations) > MAX_CONFIRMED_LISTS:
                del self._confirmations[next(iter(self._confirmations))]
        own_rank = self._own_rank()
        if peer_rank == own_rank and message.list_hash == self._list_hash:
            self._version.reported_at = max(self._version.reported_at, reported_at)
            return []
        if peer_rank < own_rank:
            status = self._make_status(peer_name)
            # While this list is unconfirmed, the status offers the previous one, which may be no newer than
            # the peer's list. If it were sent anyway, two such members would answer each other endlessly.
            if self._rank(status.age_ms, status.epoch, status.generation) <= peer_rank:
                return []
            # The answer must not be longer than the message, so that forged messages cannot amplify traffic.
            padding_bytes = encoded_size(message) - encoded_size(status) + len(status.padding)
            return (
                [
                    OutgoingMessage(
                        address, msgspec.structs.replace(status, padding=bytes(max(padding_bytes, 0)))
                    )
                ]
                if padding_bytes >= 0
                else []
            )
        if message.list_hash == 0 and self.entries:
            self._reject("empty")
            return []
        if peer_rank == own_rank or self._transfer is not None:
            return []  # if two lists of one generation differ, the next report of discovery decides
        if (
            message.epoch > self._version.epoch
            and self._version.generation >= 0
            and not self._may_have_restarted_count(list_id)
        ):
            self._reject("epoch")
            self._seek_confirmation_until = self._now + STATUS_INTERVAL_MS
            self._next_status_at = min(self._next_status_at, self._now + CONFIRMATION_INTERVAL_MS)
            return []
        if message.age_ms > MAX_PEER_LIST_AGE_MS:
            self._reject("old")
            return []
        self._transfer = _Transfer(peer_name, address, list_id, self._now, reported_at)
        return [self._make_request("")]

    def _may_have_restarted_count(self, list_id: tuple[int, int, int]) -> bool:
        """Return whether to accept a list with a higher epoch.

        It is accepted if two peers received it from discovery, if discovery itself reports a lower generation
        to this member, or if the list in use is from before a restart.
        """
        discovery_reports_lower = (
            self._now - self._direct_report_at < DISCOVERY_REPORT_MAX_AGE_MS
            and self._direct_generation < self._version.generation
        )
        return discovery_reports_lower or not self.is_reported or self._is_confirmed(list_id)

    def _is_confirmed(self, list_id: tuple[int, int, int]) -> bool:
        """Return whether enough peers received the list with this ID (epoch, generation, hash) directly."""
        return len(self._confirmations.get(list_id, ())) >= REQUIRED_CONFIRMATIONS

    def _make_request(self, after_name: str) -> OutgoingMessage:
        """Return a request for the chunk after this server name in the current transfer."""
        transfer = self._transfer
        assert transfer is not None
        transfer.requested_at = self._now
        epoch, generation, _ = transfer.list_id
        request = ListRequest(
            *self._membership.message_header(transfer.peer), epoch, generation, after_name, b""
        )
        return OutgoingMessage(
            transfer.address,
            msgspec.structs.replace(request, padding=bytes(MAX_CHUNK_BYTES - encoded_size(request))),
        )

    def _handle_request(self, peer_name: str, address: str, message: ListRequest) -> list[OutgoingMessage]:
        """Answer with the next chunk of the list if the requested list is the one in use."""
        version = self._version
        if (message.epoch, message.generation) != (version.epoch, version.generation):
            return []
        entries: list[ServerEntry] = []
        last_name = ""
        header = (
            *self._membership.message_header(peer_name),
            version.epoch,
            version.generation,
            self._list_hash,
            self._offered_age(),
            message.after_name,
        )
        bytes_left = encoded_size(message) - encoded_size(ListChunk(*header, "", [])) - CHUNK_OVERHEAD_BYTES
        for entry_name in sorted(
            entry_name for entry_name in self._shared_entries if entry_name > message.after_name
        ):
            entry = self._shared_entries[entry_name]
            bytes_left -= encoded_size(entry)
            if bytes_left < len(entry_name):
                if not entries:
                    self._reject("untellable")  # this entry alone does not fit into a datagram
                    return []
                last_name = entries[-1].name
                break
            entries.append(entry)
        return [OutgoingMessage(address, ListChunk(*header, last_name, entries))]

    def _handle_chunk(self, peer_name: str, address: str, message: ListChunk) -> list[OutgoingMessage]:
        """Add a chunk to the current transfer; request the next chunk, or adopt the complete list."""
        transfer = self._transfer
        list_id = message.epoch, message.generation, message.list_hash
        if transfer is None or transfer.peer != peer_name or transfer.list_id != list_id:
            return []
        after_name = transfer.entries[-1].name if transfer.entries else ""
        if (
            message.after_name != after_name
            or len(transfer.entries) + len(message.entries) > MAX_LIST_ENTRIES
        ):
            return []
        transfer.entries += message.entries
        transfer.failed_attempts = 0
        if message.last_name:
            if not message.entries:
                self._transfer = None
                return []
            return [self._make_request(message.last_name)]
        self._transfer = None
        if list_hash(transfer.entries, self._same_addresses) != message.list_hash:
            self._reject("mark")
            return []
        self._adopt(transfer)
        return []

    def _adopt(self, transfer: _Transfer) -> None:
        """Use a completely received list.

        If it removes more servers than one peer may, these are kept until a second peer confirms the list.
        """
        if self._rank(self._now - transfer.reported_at, *transfer.list_id[:2]) <= self._own_rank():
            return
        epoch, generation, _ = transfer.list_id
        received: dict[str, ServerEntry] = {}
        for entry in transfer.entries:
            usable_entry = self._with_own_address(self._keep_departed(entry))
            if usable_entry is not None:
                received[entry.name] = usable_entry
        ready_names = {entry.name for entry in self.entries.values() if entry.state == State.READY}
        remaining_names = {entry.name for entry in received.values() if entry.state == State.READY}
        update = SharedListUpdate(generation, tuple(received.values()), transfer.peer)
        self.adopted_count += 1
        self._unconfirmed = None
        if len(ready_names - remaining_names) > MAX_UNCONFIRMED_REMOVAL_SHARE * len(
            ready_names
        ) and not self._is_confirmed(transfer.list_id):
            self._reject("alone")
            self._confirmed_version = self._version, self._list_hash
            self._unconfirmed = transfer.list_id, update
            self._seek_confirmation_until, self._next_status_at = (
                self._now + CONFIRMATION_TIMEOUT_MS,
                self._now,
            )
            kept_entries = {
                name: entry for name, entry in self.entries.items() if name in ready_names - remaining_names
            }
            update = SharedListUpdate(generation, tuple({**received, **kept_entries}.values()), transfer.peer)
        else:
            self._record_departed(received, True)
        used = {entry.name: entry for entry in update.entries}
        shared = {entry.name: entry for entry in transfer.entries}
        self._replace_list(used, shared, _ListVersion(epoch, generation, transfer.reported_at))
        self._pending_update = update
        self._announcement_due = True

    # The list in use

    def _replace_list(
        self, used: dict[str, ServerEntry], shared: dict[str, ServerEntry], version: _ListVersion
    ) -> None:
        """Replace the servers in use, and the list to offer to peers, which has their addresses unchanged."""
        self._version = version
        self._shared_entries = {name: entry for name, entry in shared.items() if entry.state != State.GONE}
        self._list_hash = list_hash(self._shared_entries.values(), self._same_addresses)
        self._set_entries(used)

    def _set_entries(self, entries: dict[str, ServerEntry]) -> None:
        """Set the servers in use, without those that are gone."""
        self.entries = {name: entry for name, entry in entries.items() if entry.state != State.GONE}

    def _keep_departed(self, entry: ServerEntry) -> ServerEntry:
        """Return the entry, marked as draining or gone if that is known for its start time or a later one."""
        departed = self._departed.get(entry.name)
        if departed is None or entry.state != State.READY or entry.started_at_ms > departed[0]:
            return entry
        self._reject("gone")
        return msgspec.structs.replace(entry, state=int(departed[1]))

    def _with_own_address(self, entry: ServerEntry) -> ServerEntry | None:
        """Return the entry with the address known here; None if it is unknown."""
        if self._same_addresses:
            return entry
        own_entry = self.entries.get(entry.name)
        if own_entry is None or own_entry.started_at_ms != entry.started_at_ms:
            self._reject("place")
            return None
        return msgspec.structs.replace(entry, host_port=own_entry.host_port)

    def _record_departed(self, entries: dict[str, ServerEntry], complete: bool = False) -> None:
        """Record servers that are draining or gone in these entries, or missing if the list is complete."""
        for name, entry in entries.items():
            if entry.state != State.READY:
                known = self.entries.get(name)
                started_at = max(entry.started_at_ms, known.started_at_ms if known is not None else 0.0)
                self._departed[name] = started_at, State(entry.state), self._now
            elif name in self._departed and entry.started_at_ms > self._departed[name][0]:
                del self._departed[name]
        if complete:
            for name, entry in self.entries.items():
                if name not in entries:
                    self._departed[name] = entry.started_at_ms, State.GONE, self._now
        while len(self._departed) > MAX_DEPARTED_SERVERS:
            del self._departed[next(iter(self._departed))]

    def _has_count_restarted(self) -> bool:
        """Return whether discovery restarted its generation count. If not, its answers here are outdated."""
        assert self._lower_generation_since is not None
        reports = [(self._direct_generation, self._direct_report_at), *self._peer_reports.values()]
        recent = [
            generation
            for generation, reported_at in reports
            if self._now < reported_at + DISCOVERY_REPORT_MAX_AGE_MS
        ]
        if any(generation >= self._version.generation for generation in recent):
            self._lower_generation_since = self._now
            return False
        return (
            len(recent) >= REQUIRED_CONFIRMATIONS
            or self._now >= self._lower_generation_since + COUNT_RESTART_CONFIRM_MS
        )

    def _remove_expired(self) -> None:
        """Remove outdated records of departed servers, peers and confirmations."""
        for name in [
            name
            for name, (_, _, known_since) in self._departed.items()
            if self._now >= known_since + DEPARTED_RETENTION_MS
        ]:
            del self._departed[name]
        members = self._membership.members
        self.peer_started_at = {
            name: started_at for name, started_at in self.peer_started_at.items() if name in members
        }
        self._peer_reports = {name: report for name, report in self._peer_reports.items() if name in members}
        for confirmed_at_by_peer in self._confirmations.values():
            for name in [
                name
                for name, confirmed_at in confirmed_at_by_peer.items()
                if self._now >= confirmed_at + DISCOVERY_REPORT_MAX_AGE_MS
            ]:
                del confirmed_at_by_peer[name]

    def _has_peers(self) -> bool:
        return len(self._membership.live_members) > 1

    # Status messages

    def _send_status(self, count: int) -> list[OutgoingMessage]:
        """Return status messages to up to `count` random live members."""
        if self._version.generation < 0 and not self._has_peers():
            return []
        other_members = [
            record
            for record in self._membership.live_members.values()
            if record.name != self._membership.local_record.name
        ]
        recipients = self._rng.sample(other_members, min(count, len(other_members)))
        return [OutgoingMessage(record.address, self._make_status(record.name)) for record in recipients]

    def _make_status(self, peer_name: str) -> ListStatus:
        """Return a status message for this peer, which offers the list in use or the last confirmed one."""
        direct_age = self._now - self._direct_report_at if self._direct_generation >= 0 else 0.0
        # An unconfirmed list is not offered. Peers with that list or a newer one answer the status, and the
        # answer confirms or replaces the list.
        offered_version, offered_hash = (
            (self._version, self._list_hash) if self._unconfirmed is None else self._confirmed_version
        )
        age = self._now - offered_version.reported_at
        header = (
            *self._membership.message_header(peer_name),
            offered_version.epoch,
            offered_version.generation,
            age if age <= MAX_PEER_LIST_AGE_MS else -1.0,
            offered_hash,
        )
        return ListStatus(
            *header,
            self._direct_generation,
            direct_age,
            self._now - self._started_at,
            bytes(STATUS_PADDING_BYTES),
        )

    def _offered_age(self) -> float:
        """Return the age of the list to send to peers; negative: offered as a list from before a restart."""
        age = self._now - self._version.reported_at
        return age if age <= MAX_PEER_LIST_AGE_MS else -1.0

    @staticmethod
    def _rank(age_ms: float, epoch: int, generation: int) -> ListRank:
        return 0.0 <= age_ms <= MAX_PEER_LIST_AGE_MS, epoch, generation

    def _own_rank(self) -> ListRank:
        return self._rank(self._offered_age(), self._version.epoch, self._version.generation)

    def _reject(self, reason: str) -> None:
        self.rejected_counts[reason] = self.rejected_counts.get(reason, 0) + 1
