"""One address that a tier asks, and the connection to it that is kept between calls."""

import asyncio
from collections.abc import Iterable

from larkcrank.protocol import http1

CHUNK = 64 * 1024


class AskError(Exception):
    """The call has failed; the message says why. `refused`: it was answered, by another status than 200."""

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class Asker:
    def __init__(self, place: tuple[str, int], connect_s: float, most: int) -> None:
        """`most`: bytes of an answer's body."""
        self._place, self._connect_s, self._most = place, connect_s, most
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.sent = self.received = 0  # bytes

    async def ask(
        self, target: bytes, timeout_s: float, lines: Iterable[bytes] = (), again: bool = True
    ) -> bytes:
        """The body of an answer 200. Raises `AskError`.

        `again`: a call that crosses the end of a kept connection is made once more, on a new one.
        """
        host = b"Host: %s:%d" % (self._place[0].encode(), self._place[1])
        request = http1.encode_request(b"GET", target, (host, *lines))
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._call(request, again)
        except TimeoutError:
            self.close()
            raise AskError("silent") from None
        except http1.MessageError as error:
            self.close()
            big = f", over {self._most} bytes" if "too large" in str(error) else ""
            raise AskError(f"malformed: {error}{big}") from None
        except OSError as error:
            self.close()
            raise AskError(error.strerror or str(error) or type(error).__name__) from None
        except BaseException:
            self.close()
            raise
        if not response.keep_alive:
            self.close()
        if response.status != 200:
            raise AskError(f"answered {response.status}", refused=True)
        return response.body

    async def _call(self, request: bytes, again: bool) -> http1.Response:
        if self._streams is not None:
            try:
                return await self._exchange(request, kept=True)
            except (_EndedError, ConnectionError) as error:
                if not again:
                    raise OSError(str(error) or "ended") from None
                self.close()  # the call crossed the end of a kept connection: once more on a new one
        try:
            async with asyncio.timeout(self._connect_s):
                self._streams = await asyncio.open_connection(*self._place)
        except TimeoutError:
            raise OSError("not connected") from None
        return await self._exchange(request, kept=False)

    async def _exchange(self, request: bytes, kept: bool) -> http1.Response:
        assert self._streams is not None
        reader, writer = self._streams
        writer.write(request)
        self.sent += len(request)
        parser = http1.ResponseParser(max_body_bytes=self._most)
        begun = False
        while not parser.complete:
            data = await reader.read(CHUNK)
            if not data:
                if parser.handle_clean_close():
                    break
                raise OSError("ended in an answer") if begun or not kept else _EndedError
            begun = True
            self.received += len(data)
            parser.feed(data)
        return parser.response()

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class _EndedError(Exception):
    """A kept connection had ended."""
