"""One budget for all descriptors, so that the process never comes to the end of them."""

from collections.abc import Callable


class Descriptors:
    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0
        self.makers_of_room: list[Callable[[], bool]] = []

    def take(self, keep_free: int = 0) -> bool:
        """One more, closing something idle for it at the limit. False: there is none to be had."""
        # Guards against EMFILE, at which an accepted connection, and what it carries, would be dropped.
        full = self.used >= self.most - keep_free
        if full and not any(make_room() for make_room in self.makers_of_room):
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        self.used -= 1
