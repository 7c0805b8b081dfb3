"""A server and a discovery service to try larkcrank with, on free loopback ports. No part of the sidecar.

    python examples/toy_server.py DIRECTORY

starts three toy endpoints and discovery, writes DIRECTORY/config.json for a sidecar, prints its path and
serves until it is ended. One endpoint is slow, so that its turns are seen to be skipped when load rises.
"""

import asyncio
import json
import sys
from pathlib import Path

TEMPLATE = Path(__file__).with_name("config.json")
SLOW_S = (0.02, 0.03, 0.4)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """The request line and the headers of the next request; None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def endpoint(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, slow: float
) -> None:
    while (head := await read_head(reader)) is not None:
        await reader.readexactly(int(head[1].get("content-length", "0")))
        await asyncio.sleep(slow)
        writer.write(answer(f"{name} served {head[0].split()[1]}\n".encode()))
    writer.close()


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, text: bytes) -> None:
    while (head := await read_head(reader)) is not None:
        if "after=1&" in head[0]:  # nothing ever changes here: a watch waits its time out
            await asyncio.sleep(int(head[0].split("wait_ms=")[1].split()[0]) / 1000)
            writer.write(answer(b'{"generation":1,"reset":false,"instances":[]}'))
        else:
            writer.write(answer(text))
    writer.close()


async def main(folder: Path) -> None:
    lines = []
    for index, slow in enumerate(SLOW_S):
        name = f"toy-{index}"
        server = await asyncio.start_server(
            lambda reader, writer, name=name, slow=slow: endpoint(reader, writer, name, slow), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        lines.append({"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": "Ready"})
    text = json.dumps({"generation": 1, "reset": True, "instances": lines}).encode()
    server = await asyncio.start_server(
        lambda reader, writer: discovery(reader, writer, text), "127.0.0.1", 0
    )
    config = json.loads(TEMPLATE.read_text())
    config["discovery"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    path = folder / "config.json"
    path.write_text(json.dumps(config, indent=1))
    print(path, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    if len(sys.argv) != 2 or not Path(sys.argv[1]).is_dir():
        sys.exit("usage: toy_server.py DIRECTORY")
    asyncio.run(main(Path(sys.argv[1])))
