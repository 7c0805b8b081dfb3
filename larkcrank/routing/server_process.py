"""One process of a server, as the list tells it."""

from typing import NamedTuple

from larkcrank.core.interface import HostPort


class ServerProcess(NamedTuple):
    """Where a server listens and when it started. With another value of either it is another process."""

    host_port: HostPort
    started_at: float  # Unix time in ms; 0: long ago
