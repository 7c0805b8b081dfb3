"""A stand-in for a fleet member that speaks a later version of the protocol.

Its datagrams are authenticated correctly, but this version cannot decode them. The fleet bench starts it in
place of the program: `command = ["python", "-m", "larkcrank.lab.stranger"]`.
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

SEND_INTERVAL_S = 0.1


class NewerVersionPeer(asyncio.DatagramProtocol):
    def __init__(self, fleet_config: dict[str, Any]) -> None:
        seal_key = blake2b(
            f"{fleet_config['name']}\0{fleet_config['secret']}".encode(), digest_size=32
        ).digest()
        header, body = bytes((PROTOCOL_VERSION + 1,)), msgspec.msgpack.encode(["hello", "from later"])
        authentication_tag = blake2b(header + body, digest_size=MAC_BYTES, key=seal_key).digest()
        self.unreadable_datagram = header + authentication_tag + body
        self.seed_addresses = [parse_host_port(seed) for seed in fleet_config["seeds"]]
        self.received_count = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received_count += 1

    def print_counters(self) -> None:
        print(
            msgspec.json.encode({"event": "counters", "heard": self.received_count}).decode(),
            file=sys.stderr,
            flush=True,
        )


async def main() -> None:
    config = msgspec.json.decode(Path(os.environ["PROXY_CONFIG"]).read_bytes())
    peer, loop = NewerVersionPeer(config["fleet"]), asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: peer, local_addr=parse_host_port(config["fleet"]["listen"]))
    loop.add_signal_handler(signal.SIGUSR1, peer.print_counters)
    print('{"event": "ready"}', file=sys.stderr, flush=True)
    while peer.transport is not None:
        for address in peer.seed_addresses:
            peer.transport.sendto(peer.unreadable_datagram, address)
        await asyncio.sleep(SEND_INTERVAL_S)


if __name__ == "__main__":
    asyncio.run(main())
