"""A member that only sends datagrams to all others and counts whose come."""

import asyncio
import json
import os
import signal
import sys
from typing import cast


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peer(asyncio.DatagramProtocol):
    def __init__(self, config: dict[str, str]) -> None:
        self.others = [place(one) for one in config["all"].split(",") if one != config["public"]]
        self.everyone = [place(one) for one in config["all"].split(",")]
        self.came: dict[str, int] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        name = f"from_{self.everyone.index(addr)}"
        self.came[name] = self.came.get(name, 0) + 1

    def tell(self) -> None:
        print(json.dumps({"event": "counters"} | self.came), file=sys.stderr, flush=True)

    async def run(self) -> None:
        assert self.transport is not None
        while True:
            for other in self.others:
                self.transport.sendto(b"hello", other)
            await asyncio.sleep(0.02)


async def main() -> None:
    with open(os.environ["PROXY_CONFIG"]) as file:
        config = json.load(file)
    loop = asyncio.get_running_loop()
    peer = Peer(config)
    await loop.create_datagram_endpoint(lambda: peer, local_addr=place(config["own"]))
    loop.add_signal_handler(signal.SIGUSR1, peer.tell)
    print(json.dumps({"event": "ready"}), file=sys.stderr, flush=True)
    await peer.run()


if __name__ == "__main__":
    asyncio.run(main())
