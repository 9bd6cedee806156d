"""Operators' calls that were sent to the leader, with the callers that wait for the answers."""

from collections.abc import Callable

Answer = Callable[[str], None]


class PendingCalls:
    """Maps ids of calls to callers and answers each caller once. Ids start at `last_id` + 1."""

    def __init__(self, last_id: int = 0) -> None:
        self.last_id = last_id
        self.callers: dict[int, Answer] = {}

    def __bool__(self) -> bool:
        return bool(self.callers)

    def add(self, caller: Answer) -> int:
        """Registers the caller of a new call; returns the call's id."""
        self.last_id += 1
        self.callers[self.last_id] = caller
        return self.last_id

    def answer(self, call_id: int, text: str) -> None:
        """Answers a call's caller; does nothing if the call has been answered before."""
        caller = self.callers.pop(call_id, None)
        if caller is not None:
            caller(text)

    def answer_all(self, text: str) -> None:
        """Answers all callers that still wait with the same text."""
        for call_id in list(self.callers):
            self.answer(call_id, text)
