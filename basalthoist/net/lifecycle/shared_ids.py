"""Exchange of the ids of requests between the processes of one node, while there are several."""

from typing import TYPE_CHECKING

from basalthoist.net.lifecycle.handover_connection import HandoverConnection, HandoverMessage
from basalthoist.net.runtime.timers import SECOND, Timers, now

if TYPE_CHECKING:
    from basalthoist.net.dispatcher import RequestDispatcher
    from basalthoist.net.lifecycle.handover import Handover

INTERVAL = SECOND // 50  # tenths of a millisecond between two messages
MAX_ID_BYTES = 128  # longer ids are not exchanged
MAX_IDS_PER_MESSAGE = 256
ENCODING = "latin-1"  # of ids, which are bytes, as text


class SharedIds:
    """Sends the ids of requests that must not run twice to the other processes, and records theirs."""

    def __init__(self, handover: "Handover", dispatcher: "RequestDispatcher", timers: Timers) -> None:
        self.handover: Handover = handover
        self.dispatcher: RequestDispatcher = dispatcher
        self.timers: Timers = timers
        self.is_running: bool = False

    def on_processes_changed(self) -> None:
        """Starts to exchange ids when another process has connected, beginning with those in progress."""
        if self.is_running or not self.handover.connections():
            return
        self.is_running = True
        self.dispatcher.begun_ids = [
            request.request_id
            for request in self.dispatcher.in_progress.values()
            if not request.is_idempotent
        ]
        self.send()

    def send(self) -> None:
        """Sends the ids of the requests that have begun since the last time."""
        if not self.handover.connections():
            self.is_running = False
            self.dispatcher.begun_ids = None
            return
        ids = [ident.decode(ENCODING) for ident in self.dispatcher.begun_ids if len(ident) <= MAX_ID_BYTES]
        self.dispatcher.begun_ids = []
        for start in range(0, len(ids), MAX_IDS_PER_MESSAGE):
            message = HandoverMessage(begun_ids=ids[start : start + MAX_IDS_PER_MESSAGE])
            for connection in self.handover.connections():
                connection.send(message)
        self.timers.after(INTERVAL, self.send)

    def on_message(self, source: HandoverConnection, message: HandoverMessage) -> None:
        """Records the ids of requests that have begun at another process."""
        for ident in message.begun_ids:
            self.dispatcher.abandoned_ids.add(ident.encode(ENCODING), now())
