"""An HTTP client for one address that keeps its connection open between calls."""

import asyncio
from collections.abc import Iterable

from larkcrank.protocol import http1

READ_BYTES = 64 * 1024
LOOP_TURNS_UNTIL_READ = 4  # until a task has received what the kernel holds for its socket


class CallError(Exception):
    """A call failed; the message says why. `refused`: whether a status other than 200 was the answer."""

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class KeepAliveClient:
    """Makes one call at a time over one connection, which is opened on demand and kept."""

    def __init__(self, address: tuple[str, int], connect_timeout_s: float, max_body_bytes: int) -> None:
        self._address, self._connect_timeout_s, self._max_body_bytes = (
            address,
            connect_timeout_s,
            max_body_bytes,
        )
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.bytes_sent = self.bytes_received = 0
        self.is_reused = False  # whether the last call was made on a connection that had carried another

    async def fetch(
        self,
        target: bytes,
        timeout_s: float,
        header_lines: Iterable[bytes] = (),
        retry_if_closed: bool = True,
        new_connection: bool = False,
    ) -> bytes:
        """Return the body of a 200 response. Raises `CallError`.

        `retry_if_closed`: if the server closed the kept connection before the response began, send the call
        once more on a new connection. `new_connection`: do not use the kept connection, on which an earlier
        answer may come late.
        """
        if new_connection:
            self.close()
        host = b"Host: %s:%d" % (self._address[0].encode(), self._address[1])
        request = http1.encode_request(b"GET", target, (host, *header_lines))
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._call(request, retry_if_closed)
        except TimeoutError:
            self.close()
            raise CallError("silent") from None
        except http1.MessageError as error:
            self.close()
            limit = f", over {self._max_body_bytes} bytes" if "too large" in str(error) else ""
            raise CallError(f"malformed: {error}{limit}") from None
        except OSError as error:
            self.close()
            raise CallError(error.strerror or str(error) or type(error).__name__) from None
        except BaseException:
            self.close()
            raise
        if not response.keep_alive:
            self.close()
        if response.status != 200:
            raise CallError(f"answered {response.status}", refused=True)
        return response.body

    async def _call(self, request: bytes, retry_if_closed: bool) -> http1.Response:
        """Send a request on the kept connection, or on a new one. Raises `OSError` or `MessageError`."""
        await self._close_if_unread()
        self.is_reused = self._streams is not None
        if self.is_reused:
            try:
                return await self._exchange(request, reused=True)
            except (_ClosedBeforeResponseError, ConnectionError) as error:
                if not retry_if_closed:
                    raise OSError(str(error) or "ended") from None
                self.close()  # the server closed the kept connection: retry once on a new one
                self.is_reused = False
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                self._streams = await asyncio.open_connection(*self._address)
        except TimeoutError:
            raise OSError("not connected") from None
        return await self._exchange(request, reused=False)

    async def _close_if_unread(self) -> None:
        """Close the kept connection if it has received something that no call has asked for."""
        if self._streams is None:
            return
        read = asyncio.get_running_loop().create_task(self._streams[0].read(1))
        for _ in range(LOOP_TURNS_UNTIL_READ):
            await asyncio.sleep(0)
        read.cancel()
        (unread,) = await asyncio.gather(read, return_exceptions=True)
        if isinstance(unread, bytes) and unread:
            self.close()

    async def _exchange(self, request: bytes, reused: bool) -> http1.Response:
        """Send a request and read its response on the open connection.

        `reused`: whether the connection has been used for an earlier call.
        """
        assert self._streams is not None
        reader, writer = self._streams
        writer.write(request)
        self.bytes_sent += len(request)
        parser = http1.ResponseParser(max_body_bytes=self._max_body_bytes)
        response_begun = False
        while not parser.complete:
            data = await reader.read(READ_BYTES)
            if not data:
                if parser.handle_clean_close():
                    break
                raise (
                    OSError("ended in an answer")
                    if response_begun or not reused
                    else _ClosedBeforeResponseError
                )
            response_begun = True
            self.bytes_received += len(data)
            parser.feed(data)
        return parser.response()

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class _ClosedBeforeResponseError(Exception):
    """The server closed a reused connection before it sent any byte of the response."""
