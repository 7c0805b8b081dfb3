"""A stand-in for a member on a later version of the protocol: sound datagrams that nobody here can read.

The fleet bench starts it as it starts the program: `command = ["python", "-m", "larkcrank.lab.stranger"]`.
"""

import asyncio
import os
import signal
import sys
from hashlib import blake2b
from pathlib import Path
from typing import Any, cast

import msgspec

from larkcrank.fleet.wire import MAC_BYTES, PROTOCOL_VERSION
from larkcrank.protocol.discovery import parse_host_port

EACH_S = 0.1


class Stranger(asyncio.DatagramProtocol):
    def __init__(self, fleet: dict[str, Any]) -> None:
        key = blake2b(f"{fleet['name']}\0{fleet['secret']}".encode(), digest_size=32).digest()
        head, body = bytes((PROTOCOL_VERSION + 1,)), msgspec.msgpack.encode(["hello", "from later"])
        seal = blake2b(head + body, digest_size=MAC_BYTES, key=key).digest()
        self.datagram = head + seal + body
        self.others = [parse_host_port(seed) for seed in fleet["seeds"]]
        self.heard = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.heard += 1

    def tell(self) -> None:
        print(
            msgspec.json.encode({"event": "counters", "heard": self.heard}).decode(),
            file=sys.stderr,
            flush=True,
        )


async def main() -> None:
    config = msgspec.json.decode(Path(os.environ["PROXY_CONFIG"]).read_bytes())
    stranger, loop = Stranger(config["fleet"]), asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: stranger, local_addr=parse_host_port(config["fleet"]["listen"])
    )
    loop.add_signal_handler(signal.SIGUSR1, stranger.tell)
    print('{"event": "ready"}', file=sys.stderr, flush=True)
    while stranger.transport is not None:
        for other in stranger.others:
            stranger.transport.sendto(stranger.datagram, other)
        await asyncio.sleep(EACH_S)


if __name__ == "__main__":
    asyncio.run(main())
