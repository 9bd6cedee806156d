"""Generates docs/configuration.md, which lists all configuration keys, from the types that check them."""

import msgspec

from basalthoist import configuration
from basalthoist.endpoint_list import EndpointList, ListedEndpoint

HEAD = """# Configuration

A node reads one file, named by `PROXY_CONFIG` or by `python -m basalthoist serve FILE`: JSON, or TOML where
its name ends in `.toml`, with the same keys and checks. `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_DISCOVERY` go
before the file. `python -m basalthoist check FILE` names a faulty key without starting anything.

Times in `settings` are microseconds. In `limits` a key's ending says its unit: `_s` seconds, `_bytes` bytes,
`_mb` megabytes, `_part` a share between 0 and 1.

This page is made by `python -m basalthoist check --reference` and tested against the types.
"""
PARTS = (
    ("The file", configuration.Document),
    ("`shadow`", configuration.ShadowDocument),
    ("`limits`", configuration.Limits),
    (
        "`settings`, as far as the network side needs them; the decisions read more",
        configuration.NetworkSettings,
    ),
    ("`settings.routes[]`", configuration.Route),
    ("`settings.accounts[]`", configuration.Account),
    ("`settings.policy_limits`", configuration.PolicyLimits),
    ("`settings.feedback`", configuration.Feedback),
    ("`known`", EndpointList),
    ("`known.members[]`", ListedEndpoint),
    ("The gateway's file, named by `PROXY_GATEWAY`, TOML", configuration.GatewayDocument),
    ("`sites[]` in the gateway's file", configuration.Site),
    ("The file of the JSON-RPC front, named by `PROXY_JSONRPC`, TOML", configuration.JsonRpcDocument),
    ("The fleet's file, named by `PROXY_FLEET`, TOML", configuration.FleetDocument),
    (
        "The distribution's file, named by `PROXY_DISTRIBUTION` or `relay FILE`, TOML",
        configuration.DistributionDocument,
    ),
    ("`voters` in it", configuration.Voter),
    ("What is distributed: `route`, microseconds", configuration.RouteBody),
    ("`tenant`", configuration.TenantBody),
    ("`backends`", configuration.BackendsBody),
    ("`limit`", configuration.LimitBody),
    ("`verdict`", configuration.VerdictBody),
    ("`relay`", configuration.RelayBody),
)


def range_of(kind: msgspec.inspect.Type) -> str:
    """Returns the bounds of a key's value as text for the page."""
    bounds = []
    for name, sign in (("gt", ">"), ("ge", ">="), ("lt", "<"), ("le", "<="), ("min_length", "length >=")):
        if (bound := getattr(kind, name, None)) is not None:
            bounds.append(f"{sign} {bound}")
    return ", ".join(bounds)


def name_of(kind: msgspec.inspect.Type) -> str:
    """Returns the name of the type of a key's value for the page."""
    if isinstance(kind, msgspec.inspect.ListType):
        return f"list of {name_of(kind.item_type)}"
    if isinstance(kind, msgspec.inspect.StructType):
        return f"object ({kind.cls.__name__})"
    return type(kind).__name__.removesuffix("Type").lower()


def default_of(field: msgspec.inspect.Field) -> str:
    """Returns the default value of a key for the page, or "required"."""
    if field.required:
        return "required"
    if field.default is not msgspec.NODEFAULT:
        return f"`{field.default!r}`" if field.default != "" else "empty"
    return "empty"


def page() -> str:
    """Returns the complete page as Markdown."""
    lines = [HEAD]
    for title, document in PARTS:
        lines += [f"## {title}", "", "| key | type | default | range |", "| --- | --- | --- | --- |"]
        for field in msgspec.inspect.type_info(document).fields:
            kind = field.type
            cells = (f"`{field.encode_name}`", name_of(kind), default_of(field), range_of(kind))
            lines.append("| " + " | ".join(cells) + " |")
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"
