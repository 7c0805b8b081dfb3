"""Decodes batch frames from the simulator into events, and encodes actions into reply frames.

A batch frame consists of a header and records, each with its code in the first byte. The records are events
at one point in time, for any number of balancer instances. A reply frame has the actions of these instances.

All integers and floats are big-endian, without padding. A `WireError` says what is wrong and at which
byte, counted from the start of the frame.
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
    """The input is not a valid sequence of batch frames."""


@dataclass(slots=True, frozen=True)
class StartInstance:
    """Create a balancer instance without any state."""

    seed: int
    config: bytes
    config_offset: int  # position of `config` in its frame, in bytes, for error messages


@dataclass(slots=True, frozen=True)
class StopInstance:
    """Remove a balancer instance that was killed, with all its state."""


Record: TypeAlias = Event | StartInstance | StopInstance

BATCH_HEADER = Struct(">dII")  # current time in ms, length of the body in bytes, number of records
REPLY_HEADER = Struct(">I")  # length of the body in bytes
MAX_SERVER_LISTS = 16  # list numbers go from 0 to 15
BROADCAST_PEER = 0xFFFFFFFF  # recipient number that stands for all other instances
MAX_TEXT_BYTES = 0xFFFF  # the largest value of the 16-bit length field

_U8 = Struct(">B")
_U32 = Struct(">I")
_U64 = Struct(">Q")

# Codes of the records that define a server list or select the instance of the following records. The decoder
# handles them itself and yields no record for them.
_DEFINE_LIST_CODE = 4
_SELECT_INSTANCE_CODE = 9

# Codes of the records in a reply that are not balancer actions.
_FAULT_CODE = 10
_REPLY_INSTANCE_CODE = 13

# Layouts of the records in a batch, after the code byte.
_REQUEST = Struct(">IBIQddB")  # request, class, tenant, key, time left in ms, cost in ms, flags
_OUTCOME = Struct(">I6sBdHH")  # request, address, request answered, elapsed ms, result code, attempt
_STREAM_STARTED = Struct(">IH6sd")  # request, attempt index, address, elapsed ms
_PROBE_RESULT = Struct(">Hd6s")  # result code, elapsed ms, address
_SERVER_LIST = Struct(">QIB")  # revision, list number, list mode
_LIST_ENTRY = Struct(">6sBHBBfd")  # address, zone, cell, state, kind, size, start time
_START_INSTANCE = Struct(">QI")  # random seed, length of the settings in bytes
_LIST_DEFINITION = Struct(">II")  # list number, number of entries
_PEER_MESSAGE = Struct(">IH")  # sender, length of the message in bytes

# Layouts of the actions in a reply.
_SEND = Struct(">BI6sd")  # code, request, address, time to abandon the attempt in ms
_REFUSE = Struct(">BId")  # code, request, Retry-After hint in ms
_FAIL = Struct(">BI")  # code, request
_CANCEL = Struct(">BIH")  # code, request, attempt index
_SET_TIMER = Struct(">BdQ")  # code, wait in ms, token
_ADDRESS_ACTION = Struct(">B6s")  # code, address
_TELL = Struct(">BIH")  # code, recipient, length of the message in bytes
_WATCH = Struct(">BB")  # code, 1 to subscribe or 0 to unsubscribe
_TEXT_HEADER = Struct(">BH")  # code, length of the text in bytes
_REPLY_INSTANCE = Struct(">BI")  # code, instance of the following actions

# Bits in the flags of a request: whether its cost is given, whether it is a retry, whether it is a write.
_HAS_COST, _IS_RETRY, _IS_WRITE = 1, 2, 4

_RESULT_BY_CODE = {
    100: Result.OK,
    301: Result.ERROR,
    302: Result.REJECTED,
    303: Result.TIMEOUT,
    304: Result.CONNECT_FAILED,
    305: Result.RESET,
    306: Result.CANCELLED,
    307: Result.NOT_SENT,
}
_STATE_BY_CODE = {int(state): state for state in State}

# Modes of a server list record: only changed entries, the complete list, a complete list cached from before a
# restart, and no list because the discovery call failed.
_LIST_DELTA, _LIST_FULL, _LIST_CACHED, _LIST_FAILED = 0, 1, 2, 3


class RecordReader:
    """Reads the fields of the records in a frame's body, in order."""

    # `data` is the frame's body, `pos` the position of the next byte to read in it, and `base` the position
    # of the body in the frame.
    __slots__ = ("base", "data", "pos")

    def __init__(self, data: bytes, base: int = BATCH_HEADER.size) -> None:
        self.data = data
        self.pos = 0
        self.base = base

    def error_at(self, problem: str, pos: int | None = None) -> WireError:
        """Return an error located at `pos`, which defaults to the next byte to read."""
        return WireError(f"{problem} at byte {self.base + (self.pos if pos is None else pos)}")

    def read_struct(self, layout: Struct) -> tuple[Any, ...]:
        """Read the fields of one layout."""
        end = self.pos + layout.size
        if end > len(self.data):
            raise self.error_at("record runs past the end of the frame")
        fields = layout.unpack_from(self.data, self.pos)
        self.pos = end
        return fields

    def read_bytes(self, count: int) -> bytes:
        """Read `count` bytes without interpreting them."""
        end = self.pos + count
        if end > len(self.data):
            raise self.error_at(f"{count} bytes of content run past the end of the frame")
        content = self.data[self.pos : end]
        self.pos = end
        return content

    def read_floats(self) -> tuple[float, ...]:
        """Read 32-bit floats, preceded by their count in one byte."""
        (count,) = self.read_struct(_U8)
        return self.read_struct(Struct(f">{count}f")) if count else ()


class BatchDecoder:
    """Decodes the records of batches. Server lists, once defined, stay available to later batches."""

    def __init__(self) -> None:
        self._server_lists: dict[int, tuple[Endpoint, ...]] = {}

    def decode_records(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Decode a frame's body of `count` records. Yields (instance, record) pairs in order; a record is an
        event, or the start or stop of the instance."""
        reader = RecordReader(data)
        instance: int | None = None
        for _ in range(count):
            record_start = reader.pos
            (code,) = reader.read_struct(_U8)
            if code == _SELECT_INSTANCE_CODE:  # the following records are for this instance
                (instance,) = reader.read_struct(_U32)
                continue
            if code == _DEFINE_LIST_CODE:
                self._define_list(reader)
                continue
            record = self._decode_record(reader, int(code), record_start)
            if instance is None:
                raise reader.error_at(f"event with code {code} before any instance was named", record_start)
            yield instance, record
        if reader.pos != len(data):
            raise reader.error_at(f"{len(data) - reader.pos} bytes left over after {count} records")

    def _define_list(self, reader: RecordReader) -> None:
        """Store a server list under its number, to which later records refer."""
        record_start = reader.pos - 1  # the code byte has been read already
        list_number, entry_count = reader.read_struct(_LIST_DEFINITION)
        if int(list_number) >= MAX_SERVER_LISTS:
            raise reader.error_at(f"list number {list_number} is not under {MAX_SERVER_LISTS}", record_start)
        content = reader.read_bytes(int(entry_count) * _LIST_ENTRY.size)
        endpoints = []
        for address, zone, cell, state_code, machine_type, listed_size, started_at in _LIST_ENTRY.iter_unpack(
            content
        ):
            if state_code not in _STATE_BY_CODE:
                raise reader.error_at(f"unknown endpoint status {state_code} in the list", record_start)
            # A size that is not positive and finite is invalid; like a size not listed, it becomes 1.
            size = listed_size if 0.0 < listed_size < math.inf else 1.0
            endpoints.append(
                Endpoint(address, _STATE_BY_CODE[state_code], zone, cell, machine_type, size, started_at)
            )
        self._server_lists[int(list_number)] = tuple(endpoints)

    def _decode_record(self, reader: RecordReader, code: int, record_start: int) -> Record:
        """Decode the fields of the record with this code, whose code byte is at `record_start`."""
        match code:
            case 1:
                fields = reader.read_struct(_STREAM_STARTED)  # request, attempt, address, elapsed ms
                return StreamStarted(fields[0], fields[1], fields[2], fields[3])
            case 2:
                fields = reader.read_struct(_PROBE_RESULT)  # result code, elapsed ms, address
                result = self._decode_result(reader, fields[0], record_start)
                return ProbeResult(fields[2], result, fields[1], reader.read_floats())
            case 3:
                return self._decode_server_list(reader, record_start)
            case 5:
                return TimerFired(reader.read_struct(_U64)[0])
            case 6:
                return StopInstance()
            case 7:
                request_id, class_index, tenant_index, key, time_left_ms, cost_ms, flags = reader.read_struct(
                    _REQUEST
                )
                has_cost = int(flags) & _HAS_COST
                return Request(
                    id=request_id,
                    class_index=class_index,
                    time_left_ms=time_left_ms,
                    tenant_index=tenant_index,
                    key=key,
                    cost_ms=cost_ms if has_cost else None,
                    is_retry=bool(int(flags) & _IS_RETRY),
                    is_write=bool(int(flags) & _IS_WRITE),
                )
            case 8:
                sender, length = reader.read_struct(_PEER_MESSAGE)
                return PeerMessage(sender, reader.read_bytes(int(length)))
            case 10:
                request_id, address, answered, elapsed_ms, result_code, attempt = reader.read_struct(_OUTCOME)
                result = self._decode_result(reader, result_code, record_start)
                load = reader.read_floats()
                return Outcome(request_id, attempt, address, result, elapsed_ms, bool(answered), load)
            case 11:
                seed, length = reader.read_struct(_START_INSTANCE)
                config_offset = reader.base + reader.pos
                return StartInstance(seed, reader.read_bytes(int(length)), config_offset)
            case 12:
                return ClientGone(reader.read_struct(_U32)[0])
        raise reader.error_at(f"unknown event code {code}", record_start)

    def _decode_server_list(self, reader: RecordReader, record_start: int) -> Event:
        revision, list_number, mode = reader.read_struct(_SERVER_LIST)
        if mode == _LIST_FAILED:
            return DiscoveryFailed()
        if mode not in (_LIST_DELTA, _LIST_FULL, _LIST_CACHED):
            raise reader.error_at(f"unknown kind {mode} of server list", record_start)
        endpoints = self._server_lists.get(int(list_number))
        if endpoints is None:
            raise reader.error_at(f"server list {list_number} was never defined", record_start)
        return ServerList(endpoints, mode != _LIST_DELTA, mode == _LIST_CACHED, int(revision))

    @staticmethod
    def _decode_result(reader: RecordReader, result_code: int, record_start: int) -> Result:
        result = _RESULT_BY_CODE.get(int(result_code))
        if result is None:
            raise reader.error_at(f"unknown outcome {int(result_code)}", record_start)
        return result


def _encode_text(code: int, text: str) -> bytes:
    """Encode a record whose only field is a text, truncated to `MAX_TEXT_BYTES`."""
    body = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _TEXT_HEADER.pack(code, len(body)) + body


def encode_fault(text: str) -> bytes:
    """Encode a report to the simulator that a balancer raised an exception."""
    return _encode_text(_FAULT_CODE, text)


def encode_action(action: Action) -> bytes:
    """Encode an action as a record of a reply frame."""
    match action:
        case Send():
            return _SEND.pack(1, action.id, action.address, action.stop_at_ms)
        case SetTimer():
            return _SET_TIMER.pack(5, action.wait_ms, action.token)
        case Refuse():
            return _REFUSE.pack(2, action.id, action.retry_after_ms)
        case Fail():
            return _FAIL.pack(3, action.id)
        case Cancel():
            return _CANCEL.pack(4, action.id, action.attempt)
        case Probe():
            return _ADDRESS_ACTION.pack(6, action.address)
        case CloseIdle():
            return _ADDRESS_ACTION.pack(7, action.address)
        case Tell():
            recipient = BROADCAST_PEER if action.recipient is None else action.recipient
            return _TELL.pack(8, recipient, len(action.body)) + action.body
        case Log():
            return _encode_text(9, action.text)
        case Watch():
            return _WATCH.pack(11, action.subscribe)
        case FetchList():
            return _U8.pack(12)


def encode_reply(action_groups: Iterable[tuple[int, list[bytes]]]) -> bytes:
    """Encode one reply frame from (instance, encoded actions) groups. Groups without actions are left out."""
    parts = [b""]
    for instance, actions in action_groups:
        if actions:
            # This record names the instance that the following actions belong to.
            parts.append(_REPLY_INSTANCE.pack(_REPLY_INSTANCE_CODE, instance))
            parts.extend(actions)
    body = b"".join(parts)
    return REPLY_HEADER.pack(len(body)) + body
