"""Where the servers of the list listen, and to which of them requests may be sent."""

import msgspec

from larkcrank.core.interface import Address, Endpoint, HostPort, State
from larkcrank.protocol.discovery import ListUpdate
from larkcrank.routing.connections import AttemptConnections
from larkcrank.routing.server_process import ServerProcess

MAX_LOGGED_SERVERS = 8  # of one change of the list


class ServersChange(msgspec.Struct, frozen=True):
    """The servers to which requests may be sent from now on, and those to which none may be sent any more."""

    added: set[Address]
    removed: set[Address]

    def __bool__(self) -> bool:
        return bool(self.added or self.removed)

    def as_fields(self) -> dict[str, object]:
        """Return the change as fields of a log event. Of many servers only some are named."""
        return {
            "added_count": len(self.added),
            "added": [address.hex() for address in sorted(self.added)[:MAX_LOGGED_SERVERS]],
            "removed_count": len(self.removed),
            "removed": [address.hex() for address in sorted(self.removed)[:MAX_LOGGED_SERVERS]],
        }


class ServerDirectory:
    """Applies server lists, and ends the idle connections to servers that leave or are replaced."""

    def __init__(self, connections: AttemptConnections, only_draining_binds: bool) -> None:
        """`only_draining_binds`: whether only a drain stops requests to a server. One that is missing from
        the list, or listed as gone, is still used then.
        """
        self._connections = connections
        self._only_draining_binds = only_draining_binds
        self._processes: dict[Address, ServerProcess] = {}
        self._ready: set[Address] = set()  # The servers to which requests may be sent.

    def process_of(self, address: Address) -> ServerProcess | None:
        """Return the process of a server as last listed, or None if it is not known where it listens."""
        return self._processes.get(address)

    def is_in_use(self, address: Address, process: ServerProcess | None) -> bool:
        """Return whether requests may be sent to a server, and this is still its process."""
        return address in self._ready and self._processes.get(address) == process

    def is_ready(self, address: Address) -> bool:
        """Return whether requests may be sent to a server."""
        return address in self._ready

    def host_ports(self) -> dict[Address, HostPort]:
        """Return host and port of each server, as last listed."""
        return {address: process.host_port for address, process in self._processes.items()}

    def apply(self, server_list: ListUpdate, withheld: frozenset[Address]) -> ServersChange:
        """Apply a server list. `withheld`: servers that lost their host and port, and are forgotten."""
        ready_before = self._ready.copy()
        for address in withheld & self._processes.keys():
            self._ready.discard(address)
            self._connections.forget(address)
            del self._processes[address]
        if server_list.is_full and not self._only_draining_binds:
            self._remove_unlisted({endpoint.address for endpoint in server_list.endpoints})
        for endpoint in server_list.endpoints:
            self._apply_entry(endpoint, server_list.host_ports.get(endpoint.address))
        return ServersChange(self._ready - ready_before, ready_before - self._ready)

    def _remove_unlisted(self, listed_addresses: set[Address]) -> None:
        for address in self._ready - listed_addresses:
            self._retire(address)
        for address in self._processes.keys() - listed_addresses:
            del self._processes[address]

    def _apply_entry(self, endpoint: Endpoint, host_port: HostPort | None) -> None:
        address = endpoint.address
        if endpoint.state is State.GONE and self._only_draining_binds:
            # A server that vanished without draining may still be used. One that drained was retired when
            # it began to drain.
            return
        if endpoint.state is not State.READY:
            self._retire(address)
            if endpoint.state is State.GONE:
                self._processes.pop(address, None)  # What listens there next is another process.
            return
        self._ready.add(address)
        known = self._processes.get(address)
        if host_port is None and known is not None:
            host_port = known.host_port
        if host_port is None:
            return
        process = ServerProcess(host_port, endpoint.started_at)
        if known is not None and known != process:
            # The address now belongs to another process; connections to the old one cannot be reused.
            self._connections.forget(address)
        self._processes[address] = process

    def _retire(self, address: Address) -> None:
        """Send no more requests to a server and close its idle connections."""
        self._ready.discard(address)
        self._connections.retire(address)
