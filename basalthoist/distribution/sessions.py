"""What a leader and a relay share: the sessions that others have opened with them."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from .wire import EncodedMessage, Message, Redirect


class SessionHost(Protocol):
    """Carries the messages. Sessions have the numbers that the carrier handed in."""

    def send(self, session: int, message: Message | EncodedMessage) -> None:
        """To the peer of that session."""

    def end_session(self, session: int, reason: str) -> None:
        """The owner learns of it by `on_session_ended`, later."""

    def log(self, line: str) -> None:
        """For operators."""


class RelayState(NamedTuple):
    """What a relay tells the leader of its sessions."""

    oldest_version: int  # that anybody may act on by what was confirmed there
    nodes: int  # whose view lets them act
    inactive_nodes: int  # that may not act
    redirected_nodes: int  # within the last heartbeat's interval


def redirect(
    host: SessionHost, session: int, reason: str, retry_after: int = 0, relays: Sequence[str] = ()
) -> None:
    """The session is not accepted; `retry_after` 0: the peer is to try others first."""
    host.send(session, Redirect(retry_after, list(relays), reason))
    host.end_session(session, reason)
