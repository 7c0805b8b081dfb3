"""Deliberately faulty sidecars for the fleet bench.

Process n has behaviour n and breaks the rule that belongs to it. Process 0 breaks none.
"""

import asyncio
import json
import os
import signal
import sys

from larkcrank.protocol import http1

BEHAVIOURS = (
    "right",
    "lose",
    "late",
    "invent",
    "resend",
    "copies",
    "after",
    "refuse",
    "drain",
    "order",
    "cold",
)
LATE_ANSWER_DELAY_S = 3.0  # after the deadline of 1 s and the slack of 1 s, but before the client gives up


class FaultySidecar:
    def __init__(self, config: dict[str, object]) -> None:
        self.behaviour = BEHAVIOURS[int(str(config["name"])[1:])]
        initial_list = config["known"]
        assert isinstance(initial_list, dict)
        self.endpoint_addresses = {
            entry["instanceId"]: entry["hostPort"] for entry in initial_list["instances"]
        }
        host, _, port = str(config["discovery"]).rpartition(":")
        self.discovery_address = host, int(port)
        self.seen_subjects: set[bytes] = set()

    async def forward_to(self, endpoint: str, request: http1.Request) -> http1.Response:
        host, _, port = self.endpoint_addresses[endpoint].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request_bytes = http1.encode_request(
            request.method, request.target, request.fields.forwarded_lines(), request.body
        )
        try:
            return await self.exchange(reader, writer, request_bytes)
        finally:
            writer.close()

    @staticmethod
    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_bytes: bytes
    ) -> http1.Response:
        writer.write(request_bytes)
        parser = http1.ResponseParser()
        while not parser.complete:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError
            parser.feed(data)
        return parser.response()

    async def poll_discovery(self) -> None:
        """Fetch the list, so that drains are known to this sidecar, but ignore it."""
        while True:
            reader, writer = await asyncio.open_connection(*self.discovery_address)
            await self.exchange(reader, writer, b"GET /registry/instances HTTP/1.1\r\nHost: d\r\n\r\n")
            writer.close()
            await asyncio.sleep(0.2)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = http1.RequestParser()
        while True:
            while (request := parser.next()) is None:
                data = await reader.read(65536)
                if not data:
                    return
                parser.feed(data)
            status, body = await self.answer(request)
            if status:
                writer.write(http1.encode_response(status, (), body))

    async def answer(self, request: http1.Request) -> tuple[int, bytes]:
        subject = request.fields.get_single(b"req-extra") or b""
        is_order = request.target.startswith(b"/order")
        match self.behaviour:
            case "lose":
                return 0, b""
            case "late":
                await asyncio.sleep(LATE_ANSWER_DELAY_S)
            case "invent":
                return 200, b"made up"
            case "resend" if is_order:
                await self.forward_to("s-1", request)
                return 200, (await self.forward_to("s-2", request)).body
            case "copies":
                slow_response = asyncio.ensure_future(self.forward_to("s-2", request))
                await asyncio.sleep(0.1)
                await self.forward_to("s-1", request)
                return 200, (await slow_response).body
            case "after":
                asyncio.get_running_loop().call_later(
                    2.0, lambda: asyncio.ensure_future(self.forward_to("s-1", request))
                )
                return 503, b""
            case "refuse" if is_order:
                await self.forward_to("s-1", request)
                return 503, b""
            case "drain":
                response = await self.forward_to("s-0", request)
                return response.status, response.body
            case "order" if request.target.startswith(b"/step") and subject not in self.seen_subjects:
                self.seen_subjects.add(subject)
                await asyncio.sleep(LATE_ANSWER_DELAY_S)
            case "cold":
                response = await self.forward_to("s-3", request)
                return response.status, response.body
        response = await self.forward_to("s-1", request)
        return response.status, response.body


def print_event(event: str) -> None:
    print(json.dumps({"event": event}), file=sys.stderr, flush=True)


async def main() -> None:
    with open(os.environ["PROXY_CONFIG"]) as file:
        config = json.load(file)
    sidecar = FaultySidecar(config)
    host, _, port = config["listen"].rpartition(":")
    await asyncio.start_server(sidecar.serve, host, int(port))
    poll_task = asyncio.create_task(sidecar.poll_discovery()) if sidecar.behaviour == "drain" else None
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, print_event, "counters")
    print_event("ready")
    await asyncio.Event().wait()
    assert poll_task is None or not poll_task.done()


if __name__ == "__main__":
    asyncio.run(main())
