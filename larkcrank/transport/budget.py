"""The bytes of messages that the process holds, and how much may be read in one step."""

SHARE = 0.25  # of the memory; the interpreter, the sockets' own buffers and short messages take their part
LARGE, SMALL = 64 * 1024, 8 * 1024


class Budget:
    """Counts what passes through and is held just now.

    Nothing ever waits for it, so nothing can wait in a ring: each flow may always take one more step. With
    much held the steps are small, and what a flow holds is a step or two.
    """

    def __init__(self, total: float) -> None:
        self._total = total * SHARE
        self._others = 0
        self.held = 0
        self.most = 0

    def hold(self, count: int) -> None:
        self.held += count
        self.most = max(self.most, self.held)

    def give_back(self, count: int) -> None:
        self.held -= count

    def share_with(self, others: int) -> None:
        """So many other processes of this sidecar live: the memory is one for all of them."""
        self._others = others

    @property
    def is_short(self) -> bool:
        return self.held >= self._total / (1 + self._others)

    @property
    def step(self) -> int:
        return SMALL if self.is_short else LARGE
