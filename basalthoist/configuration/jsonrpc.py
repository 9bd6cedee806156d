"""The configuration file of the JSON-RPC front end, named by PROXY_JSONRPC."""

from typing import TYPE_CHECKING, Annotated

import msgspec

from basalthoist.addresses import address_of

from .reading import Address, ConfigurationError, Count, address

if TYPE_CHECKING:
    from .node import Configuration


class JsonRpcDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_JSONRPC names; with it the node speaks JSON-RPC to its backends as well."""

    listen: str
    methods: Annotated[dict[str, str], msgspec.Meta(min_length=1)]  # route of each method
    customer: str = ""  # the tenant of all calls; if empty, the first of `settings.accounts`
    load_method: str = "rpc.load"  # method called as health check, if the settings allow them
    most_open: Count = 128  # Calls of a connection wait while this many of its calls are in progress.
    most_batch: Count = 64  # maximum number of calls in a batch

    def address(self) -> Address:
        """Returns the address to listen on. Raises ValueError if `listen` is not "host:port"."""
        return address_of(self.listen)


def checked_jsonrpc(path: str, document: JsonRpcDocument, configuration: "Configuration") -> JsonRpcDocument:
    """Validates and returns the document.

    Raises ConfigurationError, naming the file at `path` and the first faulty key."""
    routes = [route.name for route in configuration.routes]
    address(f"{path}: listen", document.listen)
    for method, route in document.methods.items():
        if route not in routes:
            raise ConfigurationError(f"{path}: methods.{method}: no route {route!r} in the settings")
    if document.customer and document.customer not in configuration.customers:
        raise ConfigurationError(f"{path}: customer: no account {document.customer!r} in the settings")
    return document
