"""When servers started, on a clock that is not stepped.

Discovery tells start times as Unix time. If the machine's wall clock is stepped, a start time and the clock
of this process no longer fit together.
"""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from larkcrank.core.interface import Address, Endpoint, State


class _StartTime(msgspec.Struct, frozen=True):
    """The start of one server process, in ms."""

    unix_ms: float  # as listed
    process_ms: float  # on the clock of this process


class StartTimes:
    """Converts the start times of servers. Each is converted once, so that later lists tell the same one."""

    def __init__(self, from_unix: Callable[[float], float]) -> None:
        self._from_unix = from_unix
        self._known: dict[Address, _StartTime] = {}

    def convert(self, endpoints: tuple[Endpoint, ...], is_full: bool) -> tuple[Endpoint, ...]:
        """Return the entries of a server list with their start times on the clock of this process.

        A full list drops what is known of servers that it does not name.
        """
        converted = tuple(self._convert(endpoint) for endpoint in endpoints)
        if is_full:
            listed = {endpoint.address for endpoint in endpoints}
            for address in self._known.keys() - listed:
                del self._known[address]
        return converted

    def _convert(self, endpoint: Endpoint) -> Endpoint:
        unix_ms = endpoint.started_at
        if not unix_ms:  # unknown, or long ago
            return endpoint
        start = self._known.get(endpoint.address)
        if start is None or start.unix_ms != unix_ms:
            start = self._known[endpoint.address] = _StartTime(unix_ms, self._from_unix(unix_ms))
        if endpoint.state is State.GONE:
            del self._known[endpoint.address]
        return endpoint if start.process_ms == unix_ms else replace(endpoint, started_at=start.process_ms)
