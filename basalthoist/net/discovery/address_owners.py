"""Which backends have lost their address to one that started later."""

from collections import defaultdict

from basalthoist.endpoint_list import ListedEndpoint


class AddressOwners:
    """The addresses of the listed backends. Of several at one address only the last started can be there.

    An entry without a start time replaces none.
    """

    def __init__(self) -> None:
        self.listed: dict[str, ListedEndpoint] = {}
        self.names_by_address: defaultdict[str, set[str]] = defaultdict(set)

    def add(self, entry: ListedEndpoint) -> None:
        """Records an entry of the list, or a change of one."""
        self.remove(entry.id)
        self.listed[entry.id] = entry
        self.names_by_address[entry.host_port].add(entry.id)

    def remove(self, name: str) -> None:
        """Records that a backend has left the list."""
        entry = self.listed.pop(name, None)
        if entry is None:
            return
        names = self.names_by_address[entry.host_port]
        names.discard(name)
        if not names:
            del self.names_by_address[entry.host_port]

    def replaced_at(self, address: str) -> set[str]:
        """Returns the backends at an address that are gone, as another has started there since."""
        names = self.names_by_address.get(address, set())
        last_start = max((self.listed[name].up_since_ms for name in names), default=0)
        return {name for name in names if self.listed[name].up_since_ms < last_start}
