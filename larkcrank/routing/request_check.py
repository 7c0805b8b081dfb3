"""Checks requests of the application against the settings and makes exchanges of them."""

import math
from collections.abc import Callable, Container

from larkcrank.core.interface import Effect, RequestClass, Settings
from larkcrank.protocol import http1, platform
from larkcrank.routing.exchange import Exchange, Upload
from larkcrank.routing.sessions import ClientSession
from larkcrank.transport.memory import MemoryAccount


class RequestCheck:
    """Makes exchanges of valid requests."""

    def __init__(
        self,
        settings: Settings,
        memory: MemoryAccount,
        next_request_id: Callable[[], int],
        latest_deadline: Callable[[], float],
    ) -> None:
        """`latest_deadline` returns the time, in ms, by which every request must have ended."""
        self._warm_keys = settings.warm_keys
        self._memory = memory
        self._next_request_id = next_request_id
        self._latest_deadline = latest_deadline
        self._classes = {
            request_class.name: (index, request_class) for index, request_class in enumerate(settings.classes)
        }
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def create_exchange(
        self, request: http1.Request, session: ClientSession, known_ids: Container[str]
    ) -> Exchange:
        """Return the exchange of a request. Raises `MessageError` if the request is invalid, or if its id is
        one of `known_ids`.
        """
        call_info = platform.read_call_info(request)
        class_index, request_class = self._find_class(request, call_info)
        # Responses to two requests with the same id could not be distinguished.
        if call_info.id in known_ids:
            raise http1.MessageError(409, "a request with this Req-Id is in hand")
        _validate_request(request_class.effect, call_info, request)
        if self._tenants and call_info.owner and call_info.owner not in self._tenants:
            raise http1.MessageError(400, "unknown Req-Owner")
        timeout_ms = (
            request_class.deadline_ms if call_info.client_timeout_ms is None else call_info.client_timeout_ms
        )
        arrived_at = session.data_arrived_at
        return Exchange(
            id=self._next_request_id(),
            class_index=class_index,
            call_info=call_info,
            request=request,
            arrived_at=arrived_at,
            deadline=min(arrived_at + timeout_ms, self._latest_deadline())
            if request.is_complete
            else math.inf,
            streaming=request_class.streaming,
            effect=request_class.effect,
            tenant_index=self._tenants.get(call_info.owner, 0),
            upload=None if request.is_complete else Upload(request.body, self._memory),
            client_timeout_ms=timeout_ms,
            key=platform.read_object_key(request) if request_class.in_turn or self._warm_keys else 0,
            has_client_ended=session.connection.has_peer_closed,
        )

    def _find_class(self, request: http1.Request, call_info: platform.CallInfo) -> tuple[int, RequestClass]:
        request_class = self._classes.get(call_info.kind)
        if request_class is None:
            raise http1.MessageError(404, "unknown class of request")
        class_by_path = self._classes.get(platform.first_path_segment(request.target), request_class)
        # With the wrong class, a request that must not be repeated could be retried.
        if class_by_path is not request_class:
            raise http1.MessageError(400, "Req-Kind and path name two classes")
        return request_class


def _validate_request(effect: Effect, call_info: platform.CallInfo, request: http1.Request) -> None:
    """Check that method, body and idempotency key fit the class. Otherwise a server could treat the request
    differently from what the class promises.
    """
    if request.method != (b"GET" if effect is Effect.SAFE else b"POST"):
        raise http1.MessageError(405, "method does not fit the class")
    if effect is Effect.SAFE and (request.body or not request.is_complete):
        raise http1.MessageError(400, "body on a request of a class that is safe to repeat")
    if effect is Effect.KEYED and not call_info.has_idempotency_key:
        raise http1.MessageError(400, "no Idempotency-Key on a request of a keyed class")
    if effect is Effect.UNSAFE and call_info.has_idempotency_key:
        raise http1.MessageError(400, "Idempotency-Key on a request of a class that has none")
