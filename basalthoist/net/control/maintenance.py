"""Backends that operators have banned at this node, stored across restarts in a file in `$TMPDIR`."""

import os
from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from basalthoist.net.control.admin import Answer
from basalthoist.net.runtime.atomic_files import write_atomically
from basalthoist.net.runtime.disk_worker import Completion, Task, TaskError
from basalthoist.net.runtime.log import Log

MAX_NAMES = 4096  # The backends listed most recently; operators can ban only these.
FILE_NAME = "maintenance.json"

Worker = Callable[[Task, Completion], None]


class MaintenanceState(msgspec.Struct):
    """The file's content, and a part of the handover to another process.

    The names of the fields are keys in both. `listed` is in the order in which backends were last listed.
    """

    banned: list[str]
    listed: list[str] = []


class Maintenance:
    """The bans of this node's operators.

    `on_change` is called with each change, and `publish` with each change that the node's other processes
    do not know. `worker` runs tasks that may block, such as writing a file, off the event loop. Without a
    folder nothing is stored.
    """

    def __init__(self, folder: str, log: Log, on_change: Callable[[str, bool], None], worker: Worker) -> None:
        self.path: str | None = os.path.join(folder, FILE_NAME) if folder else None
        self.log: Log = log
        self.on_change: Callable[[str, bool], None] = on_change
        self.worker: Worker = worker
        self.publish: Callable[[str, bool], None] = lambda name, banned: None
        self.banned: set[str] = set()
        self.stored: set[str] = set()  # The bans in the file, or stored by another process of this node.
        # The dict keeps the names in the order in which they were last listed.
        self.listed: dict[str, None] = {}
        self.unsaved: bool = False  # Whether the state has changed since the last write was started.
        self.saving: bool = False
        self.waiting: list[Answer] = []  # Calls that are answered after the next write.

    def on_listed(self, names: Iterable[str]) -> None:
        """Remembers backends that discovery has listed."""
        for name in names:
            self.listed.pop(name, None)
            self.listed[name] = None
        # Bounds the memory where backends always start under new ids.
        while len(self.listed) > MAX_NAMES:
            del self.listed[next(iter(self.listed))]

    # Changes.

    def call(self, name: str, banned: bool, answer: Answer) -> None:
        """Bans a backend or ends its ban for an operator.

        Calls `answer` with the reason of a failure, or with an empty text once the change is stored.
        """
        if name not in self.listed and name not in self.banned:
            return answer(f"{name} was never listed")
        if self.change(name, banned):
            self.publish(name, banned)
            self.unsaved = self.path is not None
        if not self.unsaved and not self.saving:
            return answer("")
        self.waiting.append(answer)
        self.save()

    def on_published(self, name: str, banned: bool) -> None:
        """Applies a change from another process of this node. That process answers the operator."""
        if banned:
            self.stored.add(name)
        else:
            self.stored.discard(name)
        if self.change(name, banned):
            # Two processes may change bans at the same time, so that the last write of the file lacks the
            # other's change. A process therefore writes the file again once it has received a change.
            self.unsaved = self.path is not None
            self.save()

    def change(self, name: str, banned: bool) -> bool:
        """Bans a backend or ends its ban; returns whether that was a change."""
        if banned == (name in self.banned):
            return False
        if banned:
            self.banned.add(name)
        else:
            self.banned.discard(name)
        self.log(
            f"maintenance of {name} {'begins' if banned else 'ends'}, {len(self.banned)} backends banned"
        )
        self.on_change(name, banned)
        return True

    def change_to_stored(self) -> list[str]:
        """Changes the bans to the stored ones, first beginning and then ending bans.

        Returns the names of the backends that changed.
        """
        changed = sorted(self.banned ^ self.stored, key=lambda name: (name in self.banned, name))
        for name in changed:
            self.change(name, name in self.stored)
        return changed

    # Storing and handing over the state.

    def state(self) -> MaintenanceState:
        """Returns the state to store or to hand over."""
        return MaintenanceState(sorted(self.banned), list(self.listed))

    def restore(self, state: MaintenanceState) -> None:
        """Takes over the state of the file, or of another process of this node."""
        self.on_listed(state.listed)
        self.stored = set(state.banned)
        self.change_to_stored()

    def save(self) -> None:
        """Starts to write the state if it has changed, unless a write is in progress."""
        if self.saving or not self.unsaved:
            return
        state = self.state()
        answers = self.waiting
        self.saving = True
        self.unsaved = False
        self.waiting = []
        # The node must not stop serving while the disk is slow or hangs.
        write = partial(write_atomically, self.path, msgspec.json.encode(state))
        self.worker(write, partial(self.on_saved, state, answers))

    def on_saved(self, state: MaintenanceState, answers: list[Answer], error: TaskError | None) -> None:
        """Ends a write and answers its calls; `error` is None if the write succeeded."""
        self.saving = False
        if error:
            self.revert_to_stored(error)
            answers.extend(self.waiting)
            self.waiting = []
        else:
            self.stored = set(state.banned)
        for answer in answers:
            answer(f"not kept in {self.path}" if error else "")
        self.save()

    def revert_to_stored(self, error: TaskError) -> None:
        """Goes back to the stored bans, because the next process would not know a ban that is not stored."""
        self.log(f"maintenance not stored: {error}")
        self.unsaved = False
        for name in self.change_to_stored():
            self.publish(name, name in self.stored)

    def read(self) -> None:
        """Takes over the state in the file of an earlier process, if there is one."""
        if self.path is None:
            return
        try:
            with open(self.path, "rb") as file:
                self.restore(msgspec.json.decode(file.read(), type=MaintenanceState))
        except FileNotFoundError:
            pass
        except (OSError, msgspec.DecodeError) as error:
            # A damaged file must not keep the node from serving.
            self.log(f"{self.path} not read, its bans are not in force: {error}")
