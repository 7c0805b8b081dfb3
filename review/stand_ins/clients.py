"""A client's connections to its sidecar: one request at a time on each, kept open."""

import asyncio
from itertools import count

from stand_ins.record import Record
from stand_ins.wire import Message, encode, read_message

_numbers = count(1)


def new_id() -> str:
    """Return an id that no request of this run has had."""
    return f"{next(_numbers):016x}"


class Client:
    """One connection of the application, opened anew where the sidecar has closed it between requests."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name, self._port, self._record = name, port, record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self,
        method: str,
        kind: str,
        deadline_s: float,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        target: str = "",
    ) -> tuple[str, Message | None]:
        """Send a request and return its id and its answer; None where none came within its time and 0.5 s.

        A request that meets the end of a resting connection is sent once more on a new one.
        """
        request_id = new_id()
        target = target or f"/{kind}"
        message = encode(
            f"{method} {target} HTTP/1.1",
            {
                "Host": "backend.local",
                "Req-Id": request_id,
                "Req-Kind": kind,
                "Req-Deadline": f"{deadline_s:.3f}",
                **(headers or {}),
            },
            body,
        )
        for is_kept in (True, False):
            if not is_kept:
                self.close()
            was_kept = self._streams is not None
            if self._streams is None:
                self._streams = await asyncio.open_connection("127.0.0.1", self._port)
            reader, writer = self._streams
            self._record.line(self.name, "sends", request_id, method, target, headers or "")
            writer.write(message)
            answer = None
            try:
                async with asyncio.timeout(deadline_s + 0.5):
                    answer = await read_message(reader)
            except TimeoutError:
                self.close()
                break
            if answer is not None or not was_kept:
                break
        if answer is None or answer.closes:
            self.close()
        self._record.line(
            self.name, "gets", request_id, "nothing" if answer is None else (answer.status, answer.body)
        )
        return request_id, answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
