"""Which backends operators have taken out: the door's word, kept over an upgrade in a file of `$TMPDIR`."""

import os
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path

import msgspec

from .log import Log

MOST_NAMES = 4096  # ids that are remembered as listed once, the latest of them


class Kept(msgspec.Struct):
    banned: list[str]
    listed: list[str] = []


class Maintenance:
    """`tell` hands a change to the decisions, `spread` to another process of this node."""

    def __init__(self, folder: str, log: Log, tell: Callable[[str, bool], None]) -> None:
        # None: bans end with the process.
        self.path = Path(folder) / "maintenance.json" if folder else None
        self.log, self.tell = log, tell
        self.spread: Callable[[str, bool], None] = lambda name, banned: None
        self.banned: set[str] = set()
        self.listed: dict[str, None] = {}  # in the order in which they were last listed

    def saw(self, names: Iterable[str]) -> None:
        for name in names:
            self.listed.pop(name, None)
            self.listed[name] = None
        # Guards against days on which ids are ever new.
        while len(self.listed) > MOST_NAMES:
            del self.listed[next(iter(self.listed))]

    def call(self, name: str, banned: bool) -> str:
        """An operator's call; what is wrong with it, or nothing. Repeated it changes nothing."""
        if name not in self.listed and name not in self.banned:
            return f"{name} was never listed"
        if banned != (name in self.banned):
            # Guards against a yes to a ban that an upgrade would forget: kept first, then followed.
            if not self.keep(self.banned | {name} if banned else self.banned - {name}):
                return f"not kept in {self.path}"
            self.take(name, banned)
            self.spread(name, banned)
        return ""

    def take(self, name: str, banned: bool) -> None:
        if banned != (name in self.banned):
            (self.banned.add if banned else self.banned.discard)(name)
            self.log(f"maintenance of {name} {'begins' if banned else 'ends'}, {len(self.banned)} left out")
            self.tell(name, banned)

    def take_all(self, kept: Kept) -> None:
        """What another process of this node goes by."""
        self.saw(kept.listed)
        for name in kept.banned:
            self.take(name, True)
        for name in self.banned - set(kept.banned):
            self.take(name, False)

    def kept(self, banned: set[str]) -> Kept:
        return Kept(sorted(banned), list(self.listed))

    def keep(self, banned: set[str]) -> bool:
        """Whole or not at all: another file takes the old one's place."""
        if self.path is None:
            return True
        beside = self.path.with_suffix(f".{os.getpid()}")
        try:
            beside.write_bytes(msgspec.json.encode(self.kept(banned)))
            os.replace(beside, self.path)
            return True
        except OSError as wrong:
            self.log(f"maintenance not kept: {wrong}")
            with suppress(OSError):
                beside.unlink()
            return False

    def read(self) -> None:
        if self.path is None:
            return
        try:
            self.take_all(msgspec.json.decode(self.path.read_bytes(), type=Kept))
        except FileNotFoundError:
            pass
        except (OSError, msgspec.DecodeError) as wrong:
            # Guards against a damaged file that would keep the node from serving.
            self.log(f"{self.path} not read, no backend is left out by it: {wrong}")
