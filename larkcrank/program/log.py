"""The log: one JSON line an event, on standard error."""

import logging
import sys
import time
from typing import BinaryIO

import orjson

MOST_A_SECOND = 50  # a trouble that logs more than this says how many lines it swallowed


class Log:
    def __init__(self, name: str, out: BinaryIO | None = None) -> None:
        self._name = name
        self._out = out or sys.stderr.buffer
        self._second = 0
        self._lines = 0
        self._swallowed = 0

    def event(self, name: str, **fields: object) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            if self._swallowed:
                swallowed, self._swallowed = self._swallowed, 0
                self._write("lines_swallowed", {"count": swallowed})
        self._lines += 1
        if self._lines > MOST_A_SECOND:
            self._swallowed += 1
            return
        self._write(name, fields)

    def failure(self, where: str, error: BaseException) -> None:
        """A defect that ended one request, not the program."""
        frames = []
        trace = error.__traceback__
        while trace is not None:
            frames.append(f"{trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}")
            trace = trace.tb_next
        self.event("crashed", where=where, error=repr(error), trace=frames)

    def take_over(self) -> None:
        """Lines of the libraries become events too."""
        logging.basicConfig(handlers=[_Forward(self)], level=logging.WARNING, force=True)

    def _write(self, name: str, fields: dict[str, object]) -> None:
        line = {"time": round(time.time(), 3), "sidecar": self._name, "event": name, **fields}
        try:
            self._out.write(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
            self._out.flush()
        except OSError:
            return  # nobody reads the log: serving goes on


class _Forward(logging.Handler):
    def __init__(self, log: Log) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        self._log.event("library", source=record.name, text=record.getMessage())
