"""Hosts many balancer instances on one wire: batches in, replies out."""

import random
import sys
import traceback
from typing import BinaryIO, TextIO

from larkcrank.config import settings
from larkcrank.core.balancer import Balancer
from larkcrank.simwire import codec


class Host:
    """The instances of one process. They share nothing but the wire."""

    def __init__(self, errors: TextIO | None = None) -> None:
        self._decoder = codec.Decoder()
        self._instances: dict[int, Balancer] = {}
        self._errors = errors

    def reply_to(self, now: float, body: bytes, count: int) -> bytes:
        """Answer one batch with one reply frame."""
        groups: list[tuple[int, list[bytes]]] = []
        for instance, record in self._decoder.records(body, count):
            match record:
                case codec.Start():
                    try:
                        parsed = settings.parse(record.config)
                    except settings.SettingsError as error:
                        raise codec.WireError(
                            f"{error} (settings of instance {instance} at byte {record.offset})"
                        ) from None
                    self._instances[instance] = Balancer(parsed.decisions, random.Random(record.seed), now)
                    continue
                case codec.Stop():
                    self._instances.pop(instance, None)
                    # What it had already decided in this batch is void with it.
                    groups = [group for group in groups if group[0] != instance]
                    continue
            balancer = self._instances.get(instance)
            if balancer is None:
                raise codec.WireError(f"event {type(record).__name__} for instance {instance}, never started")
            try:
                actions = [codec.encode_action(action) for action in balancer.handle(now, record)]
            except Exception as error:
                traceback.print_exc(file=self._errors or sys.stderr)
                actions = [codec.encode_fault(f"{type(error).__name__}: {error}")]
            if groups and groups[-1][0] == instance:
                groups[-1][1].extend(actions)
            else:
                groups.append((instance, actions))
        return codec.encode_reply(groups)


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    """`size` bytes, or fewer where the input ends."""
    parts = []
    while size:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO | None = None) -> None:
    """Answer batches until the input ends. Raises `WireError` on malformed input."""
    host = Host(errors)
    frame = 0
    while header := _read_exactly(source, codec.HEADER.size):
        if len(header) < codec.HEADER.size:
            raise codec.WireError(f"frame {frame}: input ended at byte {len(header)}, inside the header")
        now, size, count = codec.HEADER.unpack(header)
        body = _read_exactly(source, size)
        if len(body) < size:
            end = codec.HEADER.size + len(body)
            raise codec.WireError(
                f"frame {frame}: input ended at byte {end}, {size - len(body)} bytes short of its length"
            )
        try:
            reply = host.reply_to(now, body, count)
        except codec.WireError as error:
            raise codec.WireError(f"frame {frame}: {error}") from None
        sink.write(reply)
        sink.flush()
        frame += 1
