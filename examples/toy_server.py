"""Example endpoints and a discovery service for trying out larkcrank, on free loopback ports.

    python examples/toy_server.py DIRECTORY

starts three endpoints and discovery, writes DIRECTORY/config.json for a sidecar, prints its path and serves
until it is stopped. One endpoint is slow, so that you can see the sidecar skip its turns under load. This
file is not part of the sidecar.
"""

import asyncio
import json
import sys
from pathlib import Path

TEMPLATE = Path(__file__).with_name("config.json")
ENDPOINT_DELAYS_S = (0.02, 0.03, 0.4)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """The request line and the headers of the next request. None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    request_line, *header_lines = text.strip().split("\r\n")
    headers = (line.partition(":") for line in header_lines)
    return request_line, {name.lower(): value.strip() for name, _, value in headers}


def response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def serve_endpoint(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, delay_s: float
) -> None:
    while (head := await read_head(reader)) is not None:
        await reader.readexactly(int(head[1].get("content-length", "0")))
        await asyncio.sleep(delay_s)
        writer.write(response(f"{name} served {head[0].split()[1]}\n".encode()))
    writer.close()


async def serve_discovery(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server_list: bytes
) -> None:
    while (head := await read_head(reader)) is not None:
        if "after=1&" in head[0]:  # the list never changes, so a watch always runs into its timeout
            await asyncio.sleep(int(head[0].split("wait_ms=")[1].split()[0]) / 1000)
            writer.write(response(b'{"generation":1,"reset":false,"instances":[]}'))
        else:
            writer.write(response(server_list))
    writer.close()


async def main(directory: Path) -> None:
    instances = []
    for index, delay_s in enumerate(ENDPOINT_DELAYS_S):
        name = f"toy-{index}"
        server = await asyncio.start_server(
            lambda reader, writer, name=name, delay_s=delay_s: serve_endpoint(reader, writer, name, delay_s),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        instances.append({"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": "Ready"})
    server_list = json.dumps({"generation": 1, "reset": True, "instances": instances}).encode()
    server = await asyncio.start_server(
        lambda reader, writer: serve_discovery(reader, writer, server_list), "127.0.0.1", 0
    )
    config = json.loads(TEMPLATE.read_text())
    config["discovery"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    path = directory / "config.json"
    path.write_text(json.dumps(config, indent=1))
    print(path, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    if len(sys.argv) != 2 or not Path(sys.argv[1]).is_dir():
        sys.exit("usage: toy_server.py DIRECTORY")
    asyncio.run(main(Path(sys.argv[1])))
