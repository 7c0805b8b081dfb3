"""Decides which server of the list owns a host and port. Does no I/O.

What is known of a server is kept under its id, but a request goes to a host and port. If a new process
listens where another one did, both ids may be known there, and only one of them names the process that does.
Of two listed servers there, one is *superseded* if the other one started or was told later, and neither of
both earlier. If one of them has left the list, the one that was told earlier is superseded, or the one that
left if they were told together. A server that is told only as gone supersedes those that started earlier. A
superseded server stays so until a list tells another host and port, or another start, of it, or lists it
again.

Start times and the order of lists may contradict each other, since clocks are stepped and lists come late.
Then neither server is superseded while both are listed: the one that started last owns the host and port,
unless one of them drains. The same holds for servers that started and were told at the same time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from larkcrank.core.interface import (
    Address,
    Endpoint,
    HostPort,
    ResolvedList,
    State,
    WithheldServer,
)


@dataclass(slots=True)
class KnownServer:
    """What lists have told of one server. Encoded under its field names for the next process."""

    endpoint: Endpoint
    host_port: HostPort
    told_in: int  # number of the list that first told of this process there
    is_listed: bool = True
    is_superseded: bool = False

    def order(self) -> tuple[float, int]:
        """Sort key: when its process started, then when a list told of it."""
        return self.endpoint.started_at, self.told_in

    def is_superseded_by(self, other: "KnownServer") -> bool:
        """Whether another server at the same host and port listens there in place of this one."""
        if self.is_listed != other.is_listed:
            return self.told_in < other.told_in or (self.told_in == other.told_in and not self.is_listed)
        return (
            self.order() != other.order()
            and self.endpoint.started_at <= other.endpoint.started_at
            and self.told_in <= other.told_in
        )


class HostPortOwners:
    """Keeps the servers of the list, and passes on lists in which each host and port has one owner."""

    def __init__(self, only_draining_binds: bool) -> None:
        """`only_draining_binds`: whether a server that is gone or not listed may still be used."""
        self._only_draining_binds = only_draining_binds
        self._list_count = 0
        self._servers: dict[Address, KnownServer] = {}
        self._by_host_port: dict[HostPort, list[KnownServer]] = {}
        self._withheld: set[Address] = set()  # ready servers that do not own their host and port
        self._restored: dict[Address, KnownServer] = {}

    def resolve(
        self, endpoints: Iterable[Endpoint], host_ports: Mapping[Address, HostPort], is_complete: bool
    ) -> ResolvedList:
        """Take a list, or changes to it, and return it without ready servers that own no host and port."""
        self._list_count += 1
        told = {endpoint.address: endpoint for endpoint in endpoints}
        changed = set[HostPort]()
        if is_complete:
            for address in self._servers.keys() - told.keys():
                self._unlist(self._servers[address], changed)
        for endpoint in told.values():
            self._apply(endpoint, host_ports.get(endpoint.address), changed)
        self._restored.clear()
        withheld_before = self._withheld.copy()
        newly_withheld, forgotten = list[WithheldServer](), set[Address]()
        for host_port in changed:
            newly_withheld += self._settle(host_port)
            forgotten |= self._forget_unlisted(host_port, withheld_before)
        regained = {
            address: self._servers[address]
            for address in withheld_before - self._withheld - told.keys()
            if address in self._servers
        }
        return ResolvedList(
            endpoints=(
                *(endpoint for address, endpoint in told.items() if address not in self._withheld),
                *(server.endpoint for server in regained.values()),
            ),
            host_ports={
                address: host_port
                for address, host_port in host_ports.items()
                if address not in self._withheld
            }
            | {address: server.host_port for address, server in regained.items()},
            withheld=frozenset(self._withheld | forgotten),
            newly_withheld=tuple(newly_withheld),
        )

    def export_servers(self) -> list[KnownServer]:
        """Return what the next process of this sidecar needs to know of the order of lists."""
        return list(self._servers.values())

    def restore_servers(self, servers: Iterable[KnownServer]) -> None:
        """Take over what an earlier process exported. It applies to the servers that the next list names."""
        self._restored = {server.endpoint.address: server for server in servers}
        self._list_count = max(self._list_count, *(server.told_in for server in self._restored.values()), 0)

    def _apply(self, endpoint: Endpoint, host_port: HostPort | None, changed: set[HostPort]) -> None:
        """Take one entry of a list."""
        known = self._servers.get(endpoint.address)
        if endpoint.state is State.GONE:
            if known is not None:
                self._unlist(known, changed)
            elif host_port is not None:
                self._supersede_older(host_port, endpoint.started_at, changed)
            return
        host_port = host_port or (None if known is None else known.host_port)
        if host_port is None:
            return
        if (
            known is not None
            and known.is_listed
            and known.host_port == host_port
            and known.endpoint.started_at == endpoint.started_at
        ):
            if known.endpoint.state is not endpoint.state or endpoint.address in self._restored:
                changed.add(host_port)
            known.endpoint = endpoint
            self._restore(known)
            return
        changed.add(host_port)
        if known is not None:
            changed.add(known.host_port)
            self._forget(known)
        self._add(KnownServer(endpoint, host_port, self._list_count))

    def _add(self, server: KnownServer) -> None:
        self._restore(server)
        self._servers[server.endpoint.address] = server
        self._by_host_port.setdefault(server.host_port, []).append(server)

    def _restore(self, server: KnownServer) -> None:
        """Give a server the order in which an earlier process was told of it."""
        earlier = self._restored.get(server.endpoint.address)
        if earlier is not None and earlier.host_port == server.host_port:
            server.told_in, server.is_listed = earlier.told_in, earlier.is_listed
            server.is_superseded = earlier.is_superseded

    @staticmethod
    def _unlist(server: KnownServer, changed: set[HostPort]) -> None:
        server.is_listed = False
        changed.add(server.host_port)

    def _supersede_older(self, host_port: HostPort, started_at: float, changed: set[HostPort]) -> None:
        """Take note of a server that came and left between two lists, and took the place of older ones."""
        for server in self._by_host_port.get(host_port, ()):
            if server.endpoint.started_at < started_at:
                server.is_superseded = True
                changed.add(host_port)

    def _settle(self, host_port: HostPort) -> list[WithheldServer]:
        """Decide who owns a host and port, and return the servers that are withheld from now on."""
        servers = self._by_host_port.get(host_port, [])
        candidates = self._supersede(servers)
        is_open = all(server.endpoint.state is State.READY for server in candidates)
        latest = max(reversed(candidates), key=KnownServer.order, default=None)
        newly_withheld = []
        for server in servers:
            address = server.endpoint.address
            if server.endpoint.state is not State.READY or (is_open and server is latest):
                self._withheld.discard(address)
            elif address not in self._withheld:
                self._withheld.add(address)
                other = None if latest is None else latest.endpoint.address
                newly_withheld.append(WithheldServer(address, host_port, other))
        return newly_withheld

    @staticmethod
    def _supersede(servers: list[KnownServer]) -> list[KnownServer]:
        """Mark the servers at one host and port that are superseded, and return the others."""
        if len(servers) == 1 and not servers[0].is_superseded:
            return servers
        candidates = [server for server in servers if not server.is_superseded]
        superseded = [server for server in candidates if any(map(server.is_superseded_by, candidates))]
        for server in superseded:
            server.is_superseded = True
        return [server for server in candidates if not server.is_superseded]

    def _forget_unlisted(self, host_port: HostPort, withheld_before: set[Address]) -> set[Address]:
        """Forget the servers that have left the list and may not be used. Return those that were withheld."""
        forgotten = set()
        for server in list(self._by_host_port.get(host_port, ())):
            address = server.endpoint.address
            is_withheld = address in self._withheld or address in withheld_before
            is_ready = server.endpoint.state is State.READY
            if server.is_listed or (self._only_draining_binds and is_ready and not is_withheld):
                continue
            if is_withheld:
                forgotten.add(address)
            self._forget(server)
        return forgotten

    def _forget(self, server: KnownServer) -> None:
        address = server.endpoint.address
        del self._servers[address]
        self._withheld.discard(address)
        remaining = [other for other in self._by_host_port[server.host_port] if other is not server]
        if remaining:
            self._by_host_port[server.host_port] = remaining
        else:
            del self._by_host_port[server.host_port]
