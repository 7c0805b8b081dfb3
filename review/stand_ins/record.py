"""The record of a run: what was sent, answered and run, a line each."""

import contextlib
import time
from pathlib import Path
from typing import TextIO


class Record:
    """Writes `record.txt`. Times are in ms since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        return (time.monotonic() - self._started_at) * 1000.0

    def line(self, *words: object) -> None:
        self._file.write(f"{self.now():10.1f} " + " ".join(str(word) for word in words) + "\n")

    def say(self, *words: object) -> None:
        """Write a line to the record and to standard output."""
        self.line(*words)
        with contextlib.suppress(OSError):  # nobody may read it
            print(*words, flush=True)

    def close(self) -> None:
        self._file.close()
