"""The operators' calls that change the distributed configuration or query its status."""

from basalthoist.distribution.catalogue import Entry, EntryError
from basalthoist.net.control.catalogue_files import entry_of
from basalthoist.net.control.pending_calls import Answer


class ConfigurationCalls:
    """The calls as methods. Subclasses implement `call`, which passes a call on to the leader."""

    def call(self, entries: list[Entry], answer: Answer) -> None:
        """Passes changed entries on to the leader, or queries the status if `entries` is empty."""
        raise NotImplementedError

    def set(self, subject: str, text: str, answer: Answer) -> None:
        """Handles `config-set`: sets the entry of a subject."""
        self.change_entry(subject, text, answer)

    def drop(self, subject: str, answer: Answer) -> None:
        """Handles `config-drop`: removes the entry of a subject."""
        self.change_entry(subject, None, answer)

    def status(self, answer: Answer) -> None:
        """Handles `config-status`."""
        self.call([], answer)

    def change_entry(self, subject: str, text: str | None, answer: Answer) -> None:
        """Passes on the change of one entry: `text` is its body in JSON, or None to remove it."""
        try:
            entry = entry_of(subject, text)
        except EntryError as error:
            return answer(str(error))
        self.call([entry], answer)
