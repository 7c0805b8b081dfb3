"""Queue of membership updates that are piggybacked on probes. No I/O.

The updates sent least often go first. Each is sent a limited number of times.
"""

from collections.abc import Iterator


class UpdateQueue:
    """Names of members whose records are to be sent. All operations but iteration take constant time."""

    def __init__(self) -> None:
        self._send_counts: dict[str, int] = {}
        # Names grouped by how often they were sent; each group in order of insertion.
        self._names_by_send_count: list[dict[str, None]] = [{}]

    def __len__(self) -> int:
        return len(self._send_counts)

    def __contains__(self, name: str) -> bool:
        return name in self._send_counts

    def enqueue(self, name: str) -> None:
        """Add a new update for this member, which replaces an earlier one."""
        self.remove(name)
        self._send_counts[name] = 0
        self._names_by_send_count[0][name] = None

    def remove(self, name: str) -> None:
        send_count = self._send_counts.pop(name, None)
        if send_count is not None:
            del self._names_by_send_count[send_count][name]

    def clear(self) -> None:
        self._send_counts.clear()
        self._names_by_send_count = [{}]

    def record_send(self, name: str, max_sends: int) -> None:
        """Count one more send; remove the update after `max_sends`."""
        send_count = self._send_counts[name] + 1
        self.remove(name)
        if send_count >= max_sends:
            return
        self._send_counts[name] = send_count
        while len(self._names_by_send_count) <= send_count:
            self._names_by_send_count.append({})
        self._names_by_send_count[send_count][name] = None

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names, those sent least often first.

        `record_send` and `remove` may be called during the iteration. Names are grouped by
        how often they were sent. A call does not affect the group that is being iterated, but a name that it
        moves into a later group that already exists is yielded again.
        """
        for names in list(self._names_by_send_count):
            yield from list(names) if len(names) <= _MAX_NAMES_PER_GROUP else _first_names(names)


_MAX_NAMES_PER_GROUP = 64  # yielded by an iteration; the records of so many do not fit into one datagram


def _first_names(names: dict[str, None]) -> list[str]:
    first_names = []
    for name in names:
        first_names.append(name)
        if len(first_names) == _MAX_NAMES_PER_GROUP:
            break
    return first_names
