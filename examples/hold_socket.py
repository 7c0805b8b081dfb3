"""Plays a platform that replaces sidecars: holds the clients' listening socket and passes it to each process.

    python examples/hold_socket.py HOST:PORT OPS_PORT [OPS_PORT ...]

Each line on standard input starts another process of the sidecar, with the next of the operators' ports. No
part of the sidecar.
"""

import os
import socket
import subprocess
import sys


def main(place: str, *ports: str) -> None:
    host, _, port = place.rpartition(":")
    with socket.create_server((host, int(port)), backlog=512) as held:
        number = held.fileno()
        processes = []
        for ops, _ in zip(ports, sys.stdin, strict=False):
            environment = {
                "PROXY_LISTEN": place,
                "PROXY_OPS": f"{host}:{ops}",
                "PROXY_PASSED_SOCKET": str(number),
            }
            process = subprocess.Popen(
                [sys.executable, "-m", "larkcrank"], env=os.environ | environment, pass_fds=(number,)
            )
            processes.append(process)
            print(f"process {process.pid}, operators call {host}:{ops}", flush=True)
        for process in processes:
            process.wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
