"""The connections that nodes and other relays have opened to a relay process."""

from collections.abc import Callable

from basalthoist.distribution.publisher import Publisher
from basalthoist.distribution.relay import Relay
from basalthoist.distribution.wire import (
    MAX_FRAME_BYTES,
    EncodedMessage,
    HandshakeRequest,
    Message,
    OperatorCall,
    OperatorReply,
)
from basalthoist.net.control.message_stream import MessageStream, run_guarded
from basalthoist.net.control.pending_calls import Answer
from basalthoist.net.runtime.timers import boot_time_now

# A node sends nothing larger than a demand for tenants or an operator's call.
MAX_NODE_FRAME_BYTES = 4 * 1024 * 1024


class IncomingSession:
    """A connection with the role that serves it, which is None until the peer's handshake."""

    def __init__(self, number: int, stream: MessageStream, opened_at: int) -> None:
        self.number = number
        self.stream = stream
        self.opened_at = opened_at
        self.role: Relay | Publisher | None = None


class IncomingSessions:
    """Owner of the incoming streams: `relay` serves nodes, and `publisher` serves relays.

    `publisher` is None unless this process is a voter. `on_operator_call` is called with the entries of an
    operator's call that a node has passed on, and with the function that sends the answer.
    """

    def __init__(
        self,
        relay: Relay,
        publisher: Publisher | None,
        max_connections: int,
        on_operator_call: Callable[[list, Answer], None],
        log: Callable[[str], None],
    ) -> None:
        self.relay = relay
        self.publisher = publisher
        self.max_connections = max_connections
        self.on_operator_call = on_operator_call
        self.log = log
        self.by_number: dict[int, IncomingSession] = {}
        self.by_stream: dict[MessageStream, IncomingSession] = {}
        self.awaiting_handshake: dict[int, IncomingSession] = {}
        self.last_number = 0
        # Traffic of the connections that have ended.
        self.bytes_in_before = 0
        self.bytes_out_before = 0

    # MessageStreamOwner.

    def stream_opened(self, stream: MessageStream) -> None:
        """Opens a session for a peer that has connected, if the process can spare the descriptor."""
        # At EMFILE the process could not even accept a connection in order to refuse it.
        if len(self.by_number) >= self.max_connections:
            return stream.close(f"expected at most {self.max_connections} connections", at_once=True)
        self.last_number += 1
        session = IncomingSession(self.last_number, stream, boot_time_now())
        self.by_number[session.number] = self.by_stream[stream] = session
        self.awaiting_handshake[session.number] = session

    def message_received(self, stream: MessageStream, message: Message) -> None:
        """Passes a peer's message on to the role that serves the session."""
        session = self.by_stream.get(stream)
        if session is None:
            return
        if session.role is None:
            self.identify(session, message)
        elif type(message) is OperatorCall and session.role is self.relay:
            self.on_operator_call(
                message.entries, lambda text: stream.send(OperatorReply(message.call_id, text))
            )
        else:
            run_guarded(session.role.on_message, self.log, boot_time_now(), session.number, message)

    def identify(self, session: IncomingSession, message: Message) -> None:
        """Chooses the role that serves a session by the peer's first message, which must be a handshake."""
        role = None
        if type(message) is HandshakeRequest:
            role = self.relay if message.role == "node" else self.publisher
        # Refuses peers that begin with another message, and relays if this process is not a voter.
        if role is None:
            return session.stream.close("expected a handshake with a role that is served here", at_once=True)
        session.role = role
        del self.awaiting_handshake[session.number]
        session.stream.decoder.max_frame_bytes = (
            MAX_NODE_FRAME_BYTES if role is self.relay else MAX_FRAME_BYTES
        )
        run_guarded(role.on_handshake, self.log, boot_time_now(), session.number, message)

    def stream_ended(self, stream: MessageStream, reason: str) -> None:
        """Ends the session of a stream that either side has closed, and informs its role."""
        self.bytes_in_before += stream.bytes_in
        self.bytes_out_before += stream.bytes_out
        session = self.by_stream.pop(stream, None)
        if session is None:
            return
        self.awaiting_handshake.pop(session.number, None)
        del self.by_number[session.number]
        if session.role is not None:
            run_guarded(session.role.on_session_ended, self.log, boot_time_now(), session.number)

    # Called by the host of relay and publisher.

    def send(self, number: int, message: Message | EncodedMessage) -> None:
        """Sends a message on a session; does nothing if the session has ended."""
        if number in self.by_number:
            self.by_number[number].stream.send(message)

    def unsent_bytes(self, number: int) -> int:
        """Returns how many bytes written to a session are still in the write buffer; 0 if it has ended."""
        return self.by_number[number].stream.unsent_bytes() if number in self.by_number else 0

    def end(self, number: int, reason: str) -> None:
        """Closes a session's connection; does nothing if the session has ended."""
        if number in self.by_number:
            self.by_number[number].stream.close(reason)

    def end_sessions_without_handshake(self, timeout: int) -> None:
        """Closes connections without a handshake within `timeout`, in tenths of a millisecond.

        Otherwise silent connections could use up all descriptors.
        """
        now = boot_time_now()
        for session in [s for s in self.awaiting_handshake.values() if now - s.opened_at > timeout]:
            session.stream.close("no handshake received", at_once=True)

    def end_all(self, reason: str) -> None:
        """Closes all connections when the process ends."""
        for session in list(self.by_number.values()):
            session.stream.close(reason)

    def traffic(self) -> tuple[int, int]:
        """Returns the bytes received and sent since the process started."""
        streams = [session.stream for session in self.by_number.values()]
        bytes_in = self.bytes_in_before + sum(stream.bytes_in for stream in streams)
        return bytes_in, self.bytes_out_before + sum(stream.bytes_out for stream in streams)
