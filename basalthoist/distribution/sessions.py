"""Definitions shared by the publisher and the relay, which both serve sessions that peers open."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from .wire import EncodedMessage, Message, Redirect


class SessionHost(Protocol):
    """Sends messages to sessions, which are identified by numbers that the host assigns."""

    def send(self, session: int, message: Message | EncodedMessage) -> None:
        """Sends a message to the peer of a session."""

    def end_session(self, session: int, reason: str) -> None:
        """Closes a session. The host calls `on_session_ended` later."""

    def log(self, line: str) -> None:
        """Logs a line for operators."""


class RelayState(NamedTuple):
    """The state of a relay's sessions, as it is reported to the leader."""

    oldest_version: int  # the oldest version on which a node may act by a confirmation of the relay
    nodes: int  # connected nodes whose confirmed view lets them act
    inactive_nodes: int  # connected nodes that may not act
    redirected_nodes: int  # nodes redirected to other relays within the last heartbeat interval


def redirect(
    host: SessionHost, session: int, reason: str, retry_after: int = 0, relays: Sequence[str] = ()
) -> None:
    """Rejects a session and names other relays; with `retry_after` 0 the peer tries those first.

    `retry_after` is in tenths of a millisecond.
    """
    host.send(session, Redirect(retry_after, list(relays), reason))
    host.end_session(session, reason)
