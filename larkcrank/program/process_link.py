"""One end of the connection between two processes of a sidecar."""

import asyncio
from collections import deque

from larkcrank.protocol import process_messages
from larkcrank.protocol.process_messages import MessageKind, News, NewsAssembler, ProcessMessage

# So much is kept for a process that has not said yet whether it understands news, or that reads nothing.
MAX_UNSENT_BYTES = 8 << 20


class ProcessLink:
    """Sends messages to another process of the sidecar, and never waits for it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._assembler = NewsAssembler()
        self._waiting_news: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.shares_news = False  # whether the other process understands news

    def send(self, message: ProcessMessage) -> None:
        """Send a message, at once where the system takes it."""
        if not self._writer.is_closing():
            self._writer.write(process_messages.encode(message))

    def enable_news(self) -> None:
        """Record that the other process understands news, and send what waits for that."""
        self.shares_news = True
        while self._waiting_news:
            self._write_news(self._waiting_news.popleft())
        self._waiting_bytes = 0

    def share(self, news: News) -> bool:
        """Send news. Returns False if they had to be dropped, since the other process takes nothing."""
        text = b"".join(map(process_messages.encode, process_messages.news_messages(news)))
        if self.shares_news:
            return self._write_news(text)
        self._waiting_news.append(text)
        self._waiting_bytes += len(text)
        while self._waiting_bytes > MAX_UNSENT_BYTES:
            self._waiting_bytes -= len(self._waiting_news.popleft())
        return True

    def _write_news(self, text: bytes) -> bool:
        if self._writer.is_closing():
            return False
        if self._writer.transport.get_write_buffer_size() + len(text) > MAX_UNSENT_BYTES:
            return False
        self._writer.write(text)
        return True

    def receive(self, message: ProcessMessage) -> News | None:
        """Handle a message about news. Returns the news that it completes, if any."""
        if message.kind is MessageKind.SHARES_NEWS:
            self.enable_news()
        elif message.kind is MessageKind.NEWS_PART:
            return self._assembler.add(message)
        return None

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
