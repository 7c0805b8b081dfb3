"""Frames of the simulator's wire to events, and actions to frames.

Layouts are big-endian without padding. A `WireError` names what is wrong and the byte it is at,
counted from the start of the frame.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from struct import Struct
from typing import Any, TypeAlias

from larkcrank.core.interface import (
    Action,
    Cancel,
    ClientGone,
    CloseIdle,
    DiscoveryFailed,
    Endpoint,
    Event,
    Fail,
    FetchList,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Refuse,
    Request,
    Result,
    Send,
    ServerList,
    SetTimer,
    State,
    StreamStarted,
    Tell,
    TimerFired,
    Watch,
)


class WireError(Exception):
    """The input does not follow the wire's layout."""


@dataclass(slots=True, frozen=True)
class Start:
    """An instance begins, empty."""

    seed: int
    config: bytes
    offset: int  # of the config in its frame, for messages


@dataclass(slots=True, frozen=True)
class Stop:
    """An instance was killed; all it held is void."""


Record: TypeAlias = Event | Start | Stop

HEADER = Struct(">dII")
REPLY_HEADER = Struct(">I")
MAX_LISTS = 16
EVERY_PEER = 0xFFFFFFFF
LOG_BYTES = 0xFFFF

_U8 = Struct(">B")
_U32 = Struct(">I")
_U64 = Struct(">Q")
_SUBMIT = Struct(">IBIQddB")
_OUTCOME = Struct(">I6sBdHH")
_ACCEPTED = Struct(">IH6sd")
_PROBED = Struct(">Hd6s")
_MEMBERSHIP = Struct(">QIB")
_ENTRY = Struct(">6sBHBBfd")
_SEED = Struct(">QI")
_PAGE = Struct(">II")
_PEER = Struct(">IH")

_SEND = Struct(">BI6sd")
_REFUSE = Struct(">BId")
_FAIL = Struct(">BI")
_CANCEL = Struct(">BIH")
_TIMER = Struct(">BdQ")
_ADDRESS = Struct(">B6s")
_TELL = Struct(">BIH")
_WATCH = Struct(">BB")
_TEXT = Struct(">BH")
_SPEAKING = Struct(">BI")

_COST_KNOWN, _IS_RETRY, _IS_WRITE = 1, 2, 4

_RESULTS = {
    100: Result.OK,
    301: Result.ERROR,
    302: Result.REJECTED,
    303: Result.TIMEOUT,
    304: Result.CONNECT_FAILED,
    305: Result.RESET,
    306: Result.CANCELLED,
    307: Result.NOT_SENT,
}
_STATES = {int(state): state for state in State}
_DELTA, _FULL, _CACHED, _FAILED = 0, 1, 2, 3


class Reader:
    """Reads the fields of one frame's records in turn."""

    __slots__ = ("base", "data", "pos")

    def __init__(self, data: bytes, base: int = HEADER.size) -> None:
        self.data = data
        self.pos = 0
        self.base = base

    def fail(self, what: str, pos: int | None = None) -> WireError:
        return WireError(f"{what} at byte {self.base + (self.pos if pos is None else pos)}")

    def take(self, layout: Struct) -> tuple[Any, ...]:
        end = self.pos + layout.size
        if end > len(self.data):
            raise self.fail("record runs past the end of the frame")
        fields = layout.unpack_from(self.data, self.pos)
        self.pos = end
        return fields

    def bytes(self, count: int) -> bytes:
        end = self.pos + count
        if end > len(self.data):
            raise self.fail(f"{count} bytes of content run past the end of the frame")
        content = self.data[self.pos : end]
        self.pos = end
        return content

    def floats(self) -> tuple[float, ...]:
        (count,) = self.take(_U8)
        return self.take(Struct(f">{count}f")) if count else ()


class Decoder:
    """Turns the records of batches into events. Numbered lists are kept from batch to batch."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def records(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """The (instance, record) pairs of one frame's body, in order."""
        reader = Reader(data)
        instance: int | None = None
        for _ in range(count):
            start = reader.pos
            (code,) = reader.take(_U8)
            if code == 9:
                (instance,) = reader.take(_U32)
                continue
            if code == 4:
                self._define_list(reader)
                continue
            record = self._record(reader, int(code), start)
            if instance is None:
                raise reader.fail(f"event with code {code} before any instance was named", start)
            yield instance, record
        if reader.pos != len(data):
            raise reader.fail(f"{len(data) - reader.pos} bytes left over after {count} records")

    def _define_list(self, reader: Reader) -> None:
        start = reader.pos - 1
        number, count = reader.take(_PAGE)
        if int(number) >= MAX_LISTS:
            raise reader.fail(f"list number {number} is not under {MAX_LISTS}", start)
        content = reader.bytes(int(count) * _ENTRY.size)
        endpoints = []
        for address, zone, cell, state, kind, weight, started in _ENTRY.iter_unpack(content):
            if state not in _STATES:
                raise reader.fail(f"unknown endpoint status {state} in the list", start)
            size = weight if 0.0 < weight < math.inf else 1.0  # nothing that a size can be: none told
            endpoints.append(Endpoint(address, _STATES[state], zone, cell, kind, size, started))
        self._lists[int(number)] = tuple(endpoints)

    def _record(self, reader: Reader, code: int, start: int) -> Record:
        match code:
            case 1:
                f = reader.take(_ACCEPTED)
                return StreamStarted(f[0], f[1], f[2], f[3])
            case 2:
                f = reader.take(_PROBED)
                result = self._result(reader, f[0], start)
                return ProbeResult(f[2], result, f[1], reader.floats())
            case 3:
                return self._membership(reader, start)
            case 5:
                return TimerFired(reader.take(_U64)[0])
            case 6:
                return Stop()
            case 7:
                number, cls, tenant, key, left, cost, bits = reader.take(_SUBMIT)
                known = int(bits) & _COST_KNOWN
                return Request(
                    id=number,
                    class_index=cls,
                    time_left_ms=left,
                    tenant_index=tenant,
                    key=key,
                    cost_ms=cost if known else None,
                    is_retry=bool(int(bits) & _IS_RETRY),
                    is_write=bool(int(bits) & _IS_WRITE),
                )
            case 8:
                sender, size = reader.take(_PEER)
                return PeerMessage(sender, reader.bytes(int(size)))
            case 10:
                number, address, closed, elapsed, raw, attempt = reader.take(_OUTCOME)
                result = self._result(reader, raw, start)
                load = reader.floats()
                return Outcome(number, attempt, address, result, elapsed, bool(closed), load)
            case 11:
                seed, size = reader.take(_SEED)
                at = reader.base + reader.pos
                return Start(seed, reader.bytes(int(size)), at)
            case 12:
                return ClientGone(reader.take(_U32)[0])
        raise reader.fail(f"unknown event code {code}", start)

    def _membership(self, reader: Reader, start: int) -> Event:
        revision, number, mode = reader.take(_MEMBERSHIP)
        if mode == _FAILED:
            return DiscoveryFailed()
        if mode not in (_DELTA, _FULL, _CACHED):
            raise reader.fail(f"unknown kind {mode} of server list", start)
        endpoints = self._lists.get(int(number))
        if endpoints is None:
            raise reader.fail(f"server list {number} was never defined", start)
        return ServerList(endpoints, mode != _DELTA, mode == _CACHED, int(revision))

    @staticmethod
    def _result(reader: Reader, raw: int, start: int) -> Result:
        result = _RESULTS.get(int(raw))
        if result is None:
            raise reader.fail(f"unknown outcome {int(raw)}", start)
        return result


def _text(code: int, text: str) -> bytes:
    body = text.encode("utf-8", "replace")[:LOG_BYTES]
    return _TEXT.pack(code, len(body)) + body


def encode_fault(text: str) -> bytes:
    """The record that says the decisions have failed."""
    return _text(10, text)


def encode_action(action: Action) -> bytes:
    match action:
        case Send():
            return _SEND.pack(1, action.id, action.address, action.stop_at_ms)
        case SetTimer():
            return _TIMER.pack(5, action.wait_ms, action.token)
        case Refuse():
            return _REFUSE.pack(2, action.id, action.retry_after_ms)
        case Fail():
            return _FAIL.pack(3, action.id)
        case Cancel():
            return _CANCEL.pack(4, action.id, action.attempt)
        case Probe():
            return _ADDRESS.pack(6, action.address)
        case CloseIdle():
            return _ADDRESS.pack(7, action.address)
        case Tell():
            to = EVERY_PEER if action.recipient is None else action.recipient
            return _TELL.pack(8, to, len(action.body)) + action.body
        case Log():
            return _text(9, action.text)
        case Watch():
            return _WATCH.pack(11, action.subscribe)
        case FetchList():
            return _U8.pack(12)


def encode_reply(groups: Iterable[tuple[int, list[bytes]]]) -> bytes:
    """One reply frame from (instance, encoded actions) groups; groups without actions are left out."""
    parts = [b""]
    for instance, actions in groups:
        if actions:
            parts.append(_SPEAKING.pack(13, instance))
            parts.extend(actions)
    body = b"".join(parts)
    return REPLY_HEADER.pack(len(body)) + body
