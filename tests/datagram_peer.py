"""A test process that sends datagrams to all other members and counts the datagrams received from each."""

import asyncio
import json
import os
import signal
import sys
from typing import cast


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class DatagramPeer(asyncio.DatagramProtocol):
    def __init__(self, config: dict[str, str]) -> None:
        self.other_addresses = [
            parse_address(text) for text in config["all"].split(",") if text != config["public"]
        ]
        self.all_addresses = [parse_address(text) for text in config["all"].split(",")]
        self.received_counts: dict[str, int] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        counter = f"from_{self.all_addresses.index(addr)}"
        self.received_counts[counter] = self.received_counts.get(counter, 0) + 1

    def print_counters(self) -> None:
        print(json.dumps({"event": "counters"} | self.received_counts), file=sys.stderr, flush=True)

    async def run(self) -> None:
        assert self.transport is not None
        while True:
            for address in self.other_addresses:
                self.transport.sendto(b"hello", address)
            await asyncio.sleep(0.02)


async def main() -> None:
    with open(os.environ["PROXY_CONFIG"]) as file:
        config = json.load(file)
    loop = asyncio.get_running_loop()
    peer = DatagramPeer(config)
    await loop.create_datagram_endpoint(lambda: peer, local_addr=parse_address(config["own"]))
    loop.add_signal_handler(signal.SIGUSR1, peer.print_counters)
    print(json.dumps({"event": "ready"}), file=sys.stderr, flush=True)
    await peer.run()


if __name__ == "__main__":
    asyncio.run(main())
