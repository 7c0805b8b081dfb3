"""Runs many balancer instances on one stream of batch frames, and answers each frame with a reply frame."""

import random
import sys
import traceback
from typing import BinaryIO, TextIO

from larkcrank.config import settings
from larkcrank.core.balancer import Balancer
from larkcrank.simwire import codec


class BalancerHost:
    """The balancer instances of one process. They share the input and output streams, but no state."""

    def __init__(self, error_stream: TextIO | None = None) -> None:
        self._decoder = codec.BatchDecoder()
        self._balancers: dict[int, Balancer] = {}
        self._error_stream = error_stream  # tracebacks are written to it; None: to standard error

    def handle_batch(self, now_ms: float, body: bytes, record_count: int) -> bytes:
        """Handle the records of one batch and return the reply frame."""
        action_groups: list[tuple[int, list[bytes]]] = []
        for instance, record in self._decoder.decode_records(body, record_count):
            match record:
                case codec.StartInstance():
                    try:
                        parsed_settings = settings.parse(record.config)
                    except settings.SettingsError as error:
                        raise codec.WireError(
                            f"{error} (settings of instance {instance} at byte {record.config_offset})"
                        ) from None
                    self._balancers[instance] = Balancer(
                        parsed_settings.decisions, random.Random(record.seed), now_ms
                    )
                    continue
                case codec.StopInstance():
                    self._balancers.pop(instance, None)
                    # Actions that the instance returned earlier in this batch are not sent.
                    action_groups = [group for group in action_groups if group[0] != instance]
                    continue
            balancer = self._balancers.get(instance)
            if balancer is None:
                raise codec.WireError(f"event {type(record).__name__} for instance {instance}, never started")
            try:
                actions = [codec.encode_action(action) for action in balancer.handle(now_ms, record)]
            except Exception as error:
                traceback.print_exc(file=self._error_stream or sys.stderr)
                actions = [codec.encode_fault(f"{type(error).__name__}: {error}")]
            if action_groups and action_groups[-1][0] == instance:
                action_groups[-1][1].extend(actions)
            else:
                action_groups.append((instance, actions))
        return codec.encode_reply(action_groups)


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer if the input ends first."""
    chunks = []
    while size:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def serve(input_stream: BinaryIO, output_stream: BinaryIO, error_stream: TextIO | None = None) -> None:
    """Answer batch frames until the input ends.

    Raises `WireError`, with the number of the frame, if the input is malformed.
    """
    host = BalancerHost(error_stream)
    frame_number = 0
    while header := _read_up_to(input_stream, codec.BATCH_HEADER.size):
        if len(header) < codec.BATCH_HEADER.size:
            raise codec.WireError(
                f"frame {frame_number}: input ended at byte {len(header)}, inside the header"
            )
        now_ms, body_size, record_count = codec.BATCH_HEADER.unpack(header)
        body = _read_up_to(input_stream, body_size)
        if len(body) < body_size:
            end = codec.BATCH_HEADER.size + len(body)
            raise codec.WireError(
                f"frame {frame_number}: input ended at byte {end}, "
                f"{body_size - len(body)} bytes short of its length"
            )
        try:
            reply = host.handle_batch(now_ms, body, record_count)
        except codec.WireError as error:
            raise codec.WireError(f"frame {frame_number}: {error}") from None
        output_stream.write(reply)
        output_stream.flush()
        frame_number += 1
