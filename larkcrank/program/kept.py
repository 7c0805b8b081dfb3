"""Saves learned state in a file at a shutdown, and reads it at the next start.

Only the usual answer time of each request class is saved, and it is used only if the class still has the same
settings. Rate limits, outstanding attempts, backoffs, unused quota and the retry budget are soon
outdated, so they start with their initial values.
"""

import math
import os
from collections.abc import Sequence
from pathlib import Path

import msgspec

from larkcrank.core.interface import RequestClass

VERSION = 1
MAX_FILE_BYTES = 64 * 1024
MAX_AGE_MS = 24 * 3600 * 1000.0  # after a day the servers and their answer times may have changed


class LearnedStateError(Exception):
    """The file is unusable. The message gives the reason."""


class _SavedClass(msgspec.Struct):
    """The learned state of one request class."""

    settings: str  # `repr` of the `RequestClass` when the file was written
    usual_ms: float  # usual answer time


class _File(msgspec.Struct):
    """The content of the file."""

    version: int
    saved_at_ms: float
    classes: dict[str, _SavedClass]  # by name of the class


def write(path: Path, now: float, classes: Sequence[RequestClass], answer_times: Sequence[float]) -> None:
    """Replace the file atomically. `answer_times` are in ms, one for each class. Raises OSError."""
    saved_classes = {
        request_class.name: _SavedClass(repr(request_class), answer_ms)
        for request_class, answer_ms in zip(classes, answer_times, strict=True)
    }
    temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with temporary_path.open("wb") as file:
            file.write(msgspec.json.encode(_File(VERSION, now, saved_classes)))
            file.flush()
            os.fsync(file.fileno())
        temporary_path.replace(path)
    finally:
        temporary_path.unlink(missing_ok=True)


def read(path: Path, now: float, classes: Sequence[RequestClass]) -> dict[int, float]:
    """Saved usual answer times in ms, by index in `classes`. Raises LearnedStateError."""
    try:
        with path.open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise LearnedStateError(error.strerror or "cannot be read") from None
    if len(text) > MAX_FILE_BYTES:
        raise LearnedStateError(f"over {MAX_FILE_BYTES} bytes")
    try:
        saved = msgspec.json.decode(text, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise LearnedStateError(str(error)) from None
    if saved.version != VERSION:
        raise LearnedStateError(f"version {saved.version}, not {VERSION}")
    if not 0.0 <= now - saved.saved_at_ms <= MAX_AGE_MS:
        raise LearnedStateError("written more than a day ago, or in the future")
    answer_times = {}
    for index, request_class in enumerate(classes):
        saved_class = saved.classes.get(request_class.name)
        if (
            saved_class is not None
            and saved_class.settings == repr(request_class)
            and 0.0 < saved_class.usual_ms < math.inf
        ):
            answer_times[index] = saved_class.usual_ms
    return answer_times
