"""A relay process that can be partitioned from the other relay machines.

Runs the program's own `RelayProcess`. After SIGUSR1 it neither sends to the other relay machines nor reads
from them, and closes no connection. SIGUSR2 ends the partition.
"""

import os
import signal
import sys

from basalthoist.configuration import ConfigurationError, load_relay
from basalthoist.net.control.relay_process import RelayProcess, run


class PartitionableRelay(RelayProcess):
    def __init__(self, document, loop, folder: str) -> None:
        super().__init__(document, loop, folder)
        self.is_partitioned = False
        loop.add_signal_handler(signal.SIGUSR1, self.set_partitioned, True)
        loop.add_signal_handler(signal.SIGUSR2, self.set_partitioned, False)
        link = self.leader_link
        self.original_connect, self.original_send = link.connect, link.send
        link.connect, link.send = self.connect, self.send_to_leader
        if self.register_voter is not None:
            register_voter = self.register_voter
            self.original_post, self.original_receive = register_voter.post, register_voter.datagram_received
            register_voter.post = (
                lambda *arguments: None if self.is_partitioned else self.original_post(*arguments)
            )
            register_voter.datagram_received = (
                lambda *arguments: None if self.is_partitioned else self.original_receive(*arguments)
            )

    def set_partitioned(self, on: bool) -> None:
        self.is_partitioned = on
        stream = self.leader_link.stream
        if stream is not None and stream.transport is not None and not stream.is_closed:
            (stream.transport.pause_reading if on else stream.transport.resume_reading)()
        self.log("partitioned" if on else "partition ended")

    def connect(self, address: str) -> None:
        if self.is_partitioned:
            return self.leader_link.close()  # as for an address that does not answer
        self.original_connect(address)

    def send_to_leader(self, message) -> None:
        if not self.is_partitioned:
            self.original_send(message)


def main() -> int:
    import uvloop

    try:
        document = load_relay(sys.argv[1])
    except ConfigurationError as error:
        print(f"basalthoist: {error}", file=sys.stderr)
        return 2
    uvloop.run(run(document, os.environ.get("TMPDIR", ""), PartitionableRelay))
    return 0


if __name__ == "__main__":
    sys.exit(main())
