"""A stand-in backend of case 5: reads a request whole, works for 80 ms, answers. One process a backend.

Arguments: the file for the port, the file for the events.
"""

import asyncio
import contextlib
import json
import os
import sys
import time

WORK_S = 0.08


async def serve(reader, writer):
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            left = int(fields.get("content-length", 0))
            while left:
                data = await reader.read(min(left, 1 << 18))
                if not data:
                    return
                left -= len(data)
            ident = fields["request-id"]
            events.write(json.dumps([time.monotonic(), "run", ident]) + "\n")
            await asyncio.sleep(WORK_S)
            body = f"made for {ident}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
    with open(sys.argv[1] + ".new", "w") as file:
        json.dump([server.sockets[0].getsockname()[1]], file)
    os.rename(sys.argv[1] + ".new", sys.argv[1])
    await asyncio.Event().wait()


with open(sys.argv[2], "w", buffering=1) as events:
    asyncio.run(main())
