"""The application's connections that carry no request, and which of them is closed when room is needed."""

import asyncio
import math
from collections import OrderedDict

from larkcrank.routing.sessions import ClientSession
from larkcrank.transport.closing import ClientCloseReason

MIN_IDLE_BEFORE_EVICTION_S = 0.2  # Idle time after which a connection may be closed to free its descriptor.


class IdleSessions:
    """Idle sessions, the longest idle first, so that finding one to close needs no search."""

    def __init__(self) -> None:
        self._unserved: OrderedDict[ClientSession, None] = OrderedDict()  # have had no response yet
        self._served: OrderedDict[ClientSession, None] = OrderedDict()

    def is_served(self, session: ClientSession) -> bool:
        """Return whether a session is idle after at least one response."""
        return session in self._served

    def close_served_since(self, idle_since: float, reason: ClientCloseReason) -> bool:
        """Close the connection that has been idle after a response for longest, if it has been so since
        `idle_since`. Returns whether one was closed.
        """
        return self._close_longest(self._served, idle_since, reason)

    def add_lingering(self, session: ClientSession, is_first: bool) -> None:
        """Add a session whose input is only dropped. With `is_first` it is closed before all others."""
        self._unserved[session] = None
        if is_first:
            self._unserved.move_to_end(session, last=False)

    def add(self, session: ClientSession) -> None:
        """Mark a connection as idle until something is read from it."""
        (self._served if session.has_served else self._unserved)[session] = None

    def remove(self, session: ClientSession) -> None:
        """Mark a connection as active."""
        self._served.pop(session, None)
        self._unserved.pop(session, None)

    def evict(self, reason: ClientCloseReason = ClientCloseReason.EVICTED) -> bool:
        """Close one idle connection, preferring those that were never served, if it has been idle for the
        minimum time. Returns whether one was closed.
        """
        idle_since = asyncio.get_running_loop().time() - MIN_IDLE_BEFORE_EVICTION_S
        return any(
            self._close_longest(idle_sessions, idle_since, reason)
            for idle_sessions in (self._unserved, self._served)
        )

    def longest_idle_since(self) -> float:
        """Return since when the longest idle connection has been idle, or infinity if none is idle."""
        return min(
            (
                next(iter(idle_sessions)).last_progress_at
                for idle_sessions in (self._unserved, self._served)
                if idle_sessions
            ),
            default=math.inf,
        )

    @staticmethod
    def _close_longest(
        idle_sessions: "OrderedDict[ClientSession, None]", idle_since: float, reason: ClientCloseReason
    ) -> bool:
        """Close the longest idle connection if it has been idle since `idle_since` or earlier."""
        while idle_sessions and (session := next(iter(idle_sessions))).last_progress_at <= idle_since:
            # Removed even if it is not closed: then it has unread data and is about to become active.
            del idle_sessions[session]
            if session.lingering:
                session.connection.close()
                return True
            if session.connection.is_idle():
                session.close(reason)
                return True
        return False
