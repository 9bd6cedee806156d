"""A machine set aside whose way to the others can be cut, for a run of this experiment.

The program's own `RelayProcess`. SIGUSR1 cuts it off from all others that are set aside: nothing goes out,
what comes is not looked at, and no connection ends by it. SIGUSR2 lets it through again.
"""

import os
import signal
import sys

from basalthoist.configuration import ConfigurationError, load_relay
from basalthoist.net.control.relay_process import RelayProcess, run


class Severable(RelayProcess):
    def __init__(self, told, loop, folder: str) -> None:
        super().__init__(told, loop, folder)
        self.severed = False
        loop.add_signal_handler(signal.SIGUSR1, self.sever, True)
        loop.add_signal_handler(signal.SIGUSR2, self.sever, False)
        link = self.leader_link
        self.connects, self.sends = link.connect, link.send
        link.connect, link.send = self.connect, self.say
        if self.voting is not None:
            voting = self.voting
            self.posts, self.receives = voting.post, voting.datagram_received
            voting.post = lambda *what: None if self.severed else self.posts(*what)
            voting.datagram_received = lambda *what: None if self.severed else self.receives(*what)

    def sever(self, on: bool) -> None:
        self.severed = on
        stream = self.leader_link.stream
        if stream is not None and stream.transport is not None and not stream.is_closed:
            (stream.transport.pause_reading if on else stream.transport.resume_reading)()
        self.log("cut off" if on else "let through")

    def connect(self, address: str) -> None:
        if self.severed:
            return self.leader_link.close()  # nobody answers, and nothing says so
        self.connects(address)

    def say(self, message) -> None:
        if not self.severed:
            self.sends(message)


def main() -> int:
    import uvloop

    try:
        told = load_relay(sys.argv[1])
    except ConfigurationError as wrong:
        print(f"basalthoist: {wrong}", file=sys.stderr)
        return 2
    uvloop.run(run(told, os.environ.get("TMPDIR", ""), Severable))
    return 0


if __name__ == "__main__":
    sys.exit(main())
