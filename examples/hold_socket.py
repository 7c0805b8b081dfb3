"""Simulates a platform that replaces sidecars: passes one listening socket to each process in turn.

    python examples/hold_socket.py HOST:PORT OPS_PORT [OPS_PORT ...]

Each line on standard input starts another process of the sidecar, with the next OPS_PORT for operators.
This file is not part of the sidecar.
"""

import os
import socket
import subprocess
import sys


def main(listen_address: str, *ops_ports: str) -> None:
    host, _, port = listen_address.rpartition(":")
    with socket.create_server((host, int(port)), backlog=512) as listening_socket:
        descriptor = listening_socket.fileno()
        processes = []
        for ops_port, _ in zip(ops_ports, sys.stdin, strict=False):
            environment = {
                "PROXY_LISTEN": listen_address,
                "PROXY_OPS": f"{host}:{ops_port}",
                "PROXY_PASSED_SOCKET": str(descriptor),
            }
            process = subprocess.Popen(
                [sys.executable, "-m", "larkcrank"], env=os.environ | environment, pass_fds=(descriptor,)
            )
            processes.append(process)
            print(f"process {process.pid}, operators call {host}:{ops_port}", flush=True)
        for process in processes:
            process.wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
