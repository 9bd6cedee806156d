"""A thread for blocking tasks, such as writing to a disk, that must not run on the event loop."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from threading import Thread

POLL_INTERVAL_S = 0.01  # between two checks for open tasks


class TaskError(Exception):
    """A task has failed. The error's text is the cause, for the log."""


Task = Callable[[], None]  # raises TaskError for an expected failure
Completion = Callable[[TaskError | None], None]


class DiskWorker:
    """Runs tasks one after another on a daemon thread, which starts with the first task."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.queue: SimpleQueue[tuple[Task, Completion]] = SimpleQueue()
        self.open_tasks: int = 0
        # Guards against a disk that hangs: joining the thread would keep the process from exiting.
        self.thread: Thread = Thread(target=self.run, daemon=True)

    def __call__(self, task: Task, on_done: Completion) -> None:
        """Queues a task. `on_done` runs on the event loop, with the error or with None."""
        if not self.thread.is_alive():
            self.thread.start()
        self.open_tasks += 1
        self.queue.put((task, on_done))

    def run(self) -> None:
        """Runs the queued tasks, on the thread."""
        while True:
            task, on_done = self.queue.get()
            error = outcome_of(task)
            with suppress(RuntimeError):  # The event loop is closed.
                self.loop.call_soon_threadsafe(self.complete, on_done, error)

    def complete(self, on_done: Completion, error: TaskError | None) -> None:
        """Reports a completed task, on the event loop."""
        self.open_tasks -= 1
        on_done(error)

    async def wait_until_idle(self, seconds: float) -> None:
        """Returns once no task is open, or after `seconds`."""
        for _ in range(int(seconds * 100)):
            if not self.open_tasks:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


def outcome_of(task: Task) -> TaskError | None:
    """Runs a task and returns its error, or None. An unexpected exception becomes a TaskError."""
    try:
        task()
    except TaskError as error:
        return error
    except Exception as error:
        return TaskError(repr(error))
    return None
