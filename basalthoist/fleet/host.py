"""The interface between a replica and its process. The fleet's socket and the emulator implement it."""

from typing import Protocol

from .verdicts import VerdictSet
from .wire import Message


class ReplicaHost(Protocol):
    """Carries out the effects of a replica."""

    def send(self, name: str, message: Message) -> None:
        """Sends a message to a peer."""

    def apply(self, verdicts: VerdictSet) -> None:
        """Puts these verdicts into force in place of the previous ones."""

    def store(self, verdicts: VerdictSet) -> None:
        """Stores the set on disk, as a hint for the node's next incarnation."""

    def answer_call(self, call_id: int, text: str) -> None:
        """Answers an operator's call that was made at this node."""

    def detected_outliers(self) -> list[str]:
        """Returns the outliers that this node has detected by itself, see outlier_reports.py."""

    def backend_count(self) -> int:
        """Returns the number of backends that this node knows."""

    def log(self, line: str) -> None:
        """Writes a log line."""
