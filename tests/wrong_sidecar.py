"""Deliberately wrong peers for the fleet bench: each process breaks one rule, by its number; 0 none."""

import asyncio
import json
import os
import signal
import sys

from larkcrank.protocol import http1

WAYS = ("right", "lose", "late", "invent", "resend", "copies", "after", "refuse", "drain", "order", "cold")
LATE_S = 3.0  # past the deadline of 1 s, the slack of 1 s and before the client goes


class Wrong:
    def __init__(self, config: dict[str, object]) -> None:
        self.way = WAYS[int(str(config["name"])[1:])]
        known = config["known"]
        assert isinstance(known, dict)
        self.places = {line["instanceId"]: line["hostPort"] for line in known["instances"]}
        host, _, port = str(config["discovery"]).rpartition(":")
        self.discovery = host, int(port)
        self.subjects: set[bytes] = set()

    async def ask(self, name: str, request: http1.Request) -> http1.Response:
        host, _, port = self.places[name].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        text = http1.encode_request(
            request.method, request.target, request.fields.forwarded_lines(), request.body
        )
        try:
            return await self.exchange(reader, writer, text)
        finally:
            writer.close()

    @staticmethod
    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, text: bytes
    ) -> http1.Response:
        writer.write(text)
        parser = http1.ResponseParser()
        while not parser.complete:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError
            parser.feed(data)
        return parser.response()

    async def keep_told(self) -> None:
        """Hear of what drains, and do nothing about it."""
        while True:
            reader, writer = await asyncio.open_connection(*self.discovery)
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
        match self.way:
            case "lose":
                return 0, b""
            case "late":
                await asyncio.sleep(LATE_S)
            case "invent":
                return 200, b"made up"
            case "resend" if is_order:
                await self.ask("s-1", request)
                return 200, (await self.ask("s-2", request)).body
            case "copies":
                slow = asyncio.ensure_future(self.ask("s-2", request))
                await asyncio.sleep(0.1)
                await self.ask("s-1", request)
                return 200, (await slow).body
            case "after":
                asyncio.get_running_loop().call_later(
                    2.0, lambda: asyncio.ensure_future(self.ask("s-1", request))
                )
                return 503, b""
            case "refuse" if is_order:
                await self.ask("s-1", request)
                return 503, b""
            case "drain":
                answer = await self.ask("s-0", request)
                return answer.status, answer.body
            case "order" if request.target.startswith(b"/step") and subject not in self.subjects:
                self.subjects.add(subject)
                await asyncio.sleep(LATE_S)
            case "cold":
                answer = await self.ask("s-3", request)
                return answer.status, answer.body
        answer = await self.ask("s-1", request)
        return answer.status, answer.body


def say(event: str) -> None:
    print(json.dumps({"event": event}), file=sys.stderr, flush=True)


async def main() -> None:
    with open(os.environ["PROXY_CONFIG"]) as file:
        config = json.load(file)
    wrong = Wrong(config)
    host, _, port = config["listen"].rpartition(":")
    await asyncio.start_server(wrong.serve, host, int(port))
    told = asyncio.create_task(wrong.keep_told()) if wrong.way == "drain" else None
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, say, "counters")
    say("ready")
    await asyncio.Event().wait()
    assert told is None or not told.done()


if __name__ == "__main__":
    asyncio.run(main())
