"""The log: one JSON object per line for each event, on standard error."""

import logging
import sys
import time
from typing import BinaryIO

import orjson

MAX_LINES_PER_SECOND = 50  # further lines of a second are dropped, and their number is logged later


class Log:
    """Writes events, and limits their number per second."""

    def __init__(self, name: str, out: BinaryIO | None = None) -> None:
        self._name = name
        self._out = out or sys.stderr.buffer
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped_lines = 0

    def event(self, name: str, **fields: object) -> None:
        """Write an event with its fields, unless the limit for this second has been reached."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
            if self._dropped_lines:
                dropped_lines, self._dropped_lines = self._dropped_lines, 0
                self._write("lines_swallowed", {"count": dropped_lines})
        self._lines_this_second += 1
        if self._lines_this_second > MAX_LINES_PER_SECOND:
            self._dropped_lines += 1
            return
        self._write(name, fields)

    def log_exception(self, where: str, error: BaseException) -> None:
        """Log an unexpected exception that ended an operation, named by `where`, but not the process."""
        frames = []
        traceback = error.__traceback__
        while traceback is not None:
            frames.append(f"{traceback.tb_frame.f_code.co_qualname}:{traceback.tb_lineno}")
            traceback = traceback.tb_next
        self.event("crashed", where=where, error=repr(error), trace=frames)

    def capture_library_logs(self) -> None:
        """Log the warnings and errors of libraries as events, too."""
        logging.basicConfig(handlers=[_EventHandler(self)], level=logging.WARNING, force=True)

    def _write(self, name: str, fields: dict[str, object]) -> None:
        line = {"time": round(time.time(), 3), "sidecar": self._name, "event": name, **fields}
        try:
            self._out.write(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
            self._out.flush()
        except OSError:
            return  # nobody reads standard error any more; serving continues


class _EventHandler(logging.Handler):
    """Turns the log records of libraries into events."""

    def __init__(self, log: Log) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        self._log.event("library", source=record.name, text=record.getMessage())
