"""A crowd of clients that connect and never finish a request: `crowd.py PORT COUNT`. Ends with its input."""

import selectors
import socket
import sys

HALF_A_REQUEST = b"GET /proof HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "


def main(port: int, count: int) -> None:
    sockets = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(HALF_A_REQUEST)
        sock.setblocking(False)
        sockets.append(sock)
    print("connected", flush=True)
    selector = selectors.DefaultSelector()
    selector.register(sys.stdin, selectors.EVENT_READ)
    for sock in sockets:
        selector.register(sock, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            if not isinstance(key.fileobj, socket.socket):
                return
            try:
                ended = not key.fileobj.recv(4096)
            except OSError:
                ended = True
            if ended:
                selector.unregister(key.fileobj)
                key.fileobj.close()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
