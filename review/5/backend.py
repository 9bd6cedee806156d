"""Stand-in for a backend: answers each request, and at SIGTERM prints when each was run as one line of JSON.

python backend.py NAME prints the port first.
"""

import json
import random
import signal
import socket
import sys
import threading
import time

WORK_MS = (30.0, 50.0)


def serve(sock: socket.socket, run: list[tuple[float, str]]) -> None:
    """Answers the requests of one connection, one after the other."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        with sock, sock.makefile("rb") as source:
            while source.readline():
                headers = {}
                while line := source.readline().strip():
                    name, _, value = line.decode().partition(":")
                    headers[name.lower()] = value.strip()
                source.read(int(headers.get("content-length", 0)))
                if "request-id" in headers:
                    run.append((time.monotonic(), headers["request-id"]))
                    time.sleep(random.uniform(*WORK_MS) / 1000)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    except OSError:
        pass


def main() -> None:
    """Serves until SIGTERM."""
    run: list[tuple[float, str]] = []
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)

    def end(*_: object) -> None:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        print(json.dumps({"name": sys.argv[1], "run": run}), flush=True)
        raise SystemExit

    signal.signal(signal.SIGTERM, end)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, run), daemon=True).start()


if __name__ == "__main__":
    main()
