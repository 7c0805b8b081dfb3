"""News on the back of probes: what was told least often goes first, each piece so many times. No I/O."""

from collections.abc import Iterator


class News:
    """Names whose record is to be told. Each step costs the same however many there are."""

    def __init__(self) -> None:
        self._told: dict[str, int] = {}  # how often each was told
        self._levels: list[dict[str, None]] = [{}]  # names by how often, each level in the order of arrival

    def __len__(self) -> int:
        return len(self._told)

    def __contains__(self, name: str) -> bool:
        return name in self._told

    def put(self, name: str) -> None:
        """It is new: told from now on, never yet."""
        self.drop(name)
        self._told[name] = 0
        self._levels[0][name] = None

    def drop(self, name: str) -> None:
        count = self._told.pop(name, None)
        if count is not None:
            del self._levels[count][name]

    def clear(self) -> None:
        self._told.clear()
        self._levels = [{}]

    def count(self, name: str, most: int) -> None:
        """Told once more; after `most` times it is no news."""
        count = self._told[name] + 1
        self.drop(name)
        if count >= most:
            return
        self._told[name] = count
        while len(self._levels) <= count:
            self._levels.append({})
        self._levels[count][name] = None

    def __iter__(self) -> Iterator[str]:
        """Least often told first. What is counted or dropped meanwhile changes nothing of this round."""
        for level in list(self._levels):
            yield from list(level) if len(level) <= _GLANCE else _first(level)


_GLANCE = 64  # more than any datagram holds


def _first(level: dict[str, None]) -> list[str]:
    found = []
    for name in level:
        found.append(name)
        if len(found) == _GLANCE:
            break
    return found
