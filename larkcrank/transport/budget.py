"""Limits how many bytes of message bodies the process buffers, by choosing the size of each read."""

# The rest of the memory is left for the interpreter, the kernel's socket buffers and short messages.
MEMORY_SHARE = 0.25
LARGE_READ_BYTES, SMALL_READ_BYTES = 64 * 1024, 8 * 1024
# Of a body that passes through to a slow reader, the process holds so many reads at a time: in the stream, in
# the parser, waiting for the queue, in the queue, being written, and as the chunk of that.
READS_HELD_PER_STREAM = 6


class BufferBudget:
    """Counts the bytes of message bodies that the process buffers at the moment.

    Nothing ever waits for the budget, so there can be no deadlock: each stream may always do one more read.
    When the budget is used up the reads become small, and each stream buffers only one or two of them.
    """

    def __init__(self, memory_bytes: float) -> None:
        self._limit_bytes = memory_bytes * MEMORY_SHARE
        self._other_processes = 0
        self.held_bytes = 0
        self.peak_held_bytes = 0

    def reserve(self, byte_count: int) -> None:
        """Count bytes that the process now buffers. This never fails or waits."""
        self.held_bytes += byte_count
        self.peak_held_bytes = max(self.peak_held_bytes, self.held_bytes)

    def release(self, byte_count: int) -> None:
        """Stop counting bytes that the process no longer buffers."""
        self.held_bytes -= byte_count

    def set_other_processes(self, count: int) -> None:
        """Divide the limit among this process and `count` other live processes of the same sidecar."""
        self._other_processes = count

    @property
    def is_used_up(self) -> bool:
        """Whether this process buffers at least its part of the limit."""
        return self.held_bytes >= self._limit_bytes / (1 + self._other_processes)

    @property
    def read_size(self) -> int:
        """The largest number of bytes that the next read may return."""
        return SMALL_READ_BYTES if self.is_used_up else LARGE_READ_BYTES


class StreamReservation:
    """What one body that passes through counts against a budget."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._byte_count = 0

    def reserve_read(self, other_bytes: int = 0) -> int:
        """Count what the next read may add, and `other_bytes` that are held as long. Returns its size."""
        self.release()
        read_size = self._budget.read_size
        self._byte_count = READS_HELD_PER_STREAM * read_size + other_bytes
        self._budget.reserve(self._byte_count)
        return read_size

    def release(self) -> None:
        """Stop counting the body."""
        self._budget.release(self._byte_count)
        self._byte_count = 0
