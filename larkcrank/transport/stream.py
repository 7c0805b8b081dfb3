"""A Tornado stream that tells its peer's FIN from other ends, and that can be read after a failed write."""

import errno
import socket

from tornado.iostream import IOStream

# The flags are combined once, because combining the enum members costs more than the system call.
_PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)


class SocketStream(IOStream):
    """An IOStream that tells the peer's FIN from every other end, and that can be read after a failed write.

    Linux reports the error of a broken connection once, to whichever system call comes first; a read that
    follows returns 0 bytes, as it does for a FIN. All calls that may take the error are therefore made here.
    """

    def __init__(self, sock: socket.socket, read_chunk_size: int) -> None:
        super().__init__(sock, read_chunk_size=read_chunk_size)
        self.fin_was_read = False  # whether a read has met the peer's FIN; everything before it was read then
        self.write_error: OSError | None = None  # after that nothing more is sent
        self._is_broken = False  # whether an error other than a refused write was reported

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into `buf`; see `BaseIOStream.read_from_fd`."""
        try:
            byte_count = self.socket.recv_into(buf)
        except BlockingIOError:
            return None
        except OSError as error:
            self._record_error(error)
            raise
        finally:
            del buf  # a traceback would keep its memory
        if not byte_count and not self._is_broken:
            self.fin_was_read = True
        return byte_count

    def write_to_fd(self, data: memoryview) -> int:
        """Send `data`, or drop it if a write has failed.

        IOStream would close the stream after a failed write, and with it what the peer had sent before.
        """
        if self.write_error is not None:
            return len(data)
        try:
            return self.socket.send(data)
        except BlockingIOError:
            raise
        except OSError as error:
            self._record_error(error)
            self.write_error = error
            return len(data)
        finally:
            del data  # the stream can't shrink its buffer while this refers to it

    def get_fd_error(self) -> Exception | None:
        """Return and clear the pending error of the socket."""
        error = super().get_fd_error()
        if isinstance(error, OSError) and error.errno:
            self._record_error(error)
        return error

    def peek(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` of what the kernel has received, and leave it there.

        Returns no bytes at the end. Raises `BlockingIOError` if nothing has come, or another `OSError`.
        """
        try:
            return self.socket.recv(max_bytes, _PEEK_FLAGS)
        except (BlockingIOError, InterruptedError):
            raise
        except OSError as error:
            self._record_error(error)
            raise

    def _record_error(self, error: OSError) -> None:
        # If the first error is EPIPE, the peer had sent its FIN before it refused what was written.
        if error.errno != errno.EPIPE:
            self._is_broken = True
