"""Checks the imports between the modules of the package: no cycles, and no forbidden dependencies."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "basalthoist"
RANDOM_NUMBERS = "basalthoist.decisions.random_numbers"
# What each package without I/O may import besides its own modules.
ALLOWED_IMPORTS = {
    "decisions": (),
    "message_envelope": (),
    "addresses": (),
    "endpoint_list": (),
    "fleet": ("basalthoist.message_envelope", RANDOM_NUMBERS),
    "distribution": ("basalthoist.message_envelope", "basalthoist.fleet", RANDOM_NUMBERS),
    "gossip_codec": ("basalthoist.decisions",),
}
TOOLS = ("commands", "emulator", "experiments")


def module_name(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


PATHS = {module_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def type_checking_nodes(tree):
    """Returns the nodes below `if TYPE_CHECKING`."""
    guarded = [
        node for node in ast.walk(tree) if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.dump(node.test)
    ]
    return {inner for node in guarded for inner in ast.walk(node)}


def imported_names(module, node):
    """Returns the dotted names in an import statement of a module."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    prefix = [node.module] if node.module else []
    if node.level:
        is_package = PATHS[module].name == "__init__.py"
        parts = module.split(".") + ["__init__"] * is_package
        prefix = parts[: len(parts) - node.level] + prefix
    return [".".join([*prefix, alias.name]) for alias in node.names]


def imports_of(module):
    """Returns the modules of the package that a module imports, at its top level or within functions."""
    tree = ast.parse(PATHS[module].read_text())
    skipped = type_checking_nodes(tree)
    names = [name for node in ast.walk(tree) if node not in skipped for name in imported_names(module, node)]
    modules = {name if name in PATHS else name.rpartition(".")[0] for name in names}
    return {name for name in modules if name in PATHS and name != module}


GRAPH = {module: imports_of(module) for module in PATHS}


def test_imports_have_no_cycle():
    """Guards against cycles, with which the order of imports matters and no module can be read alone."""
    TopologicalSorter(GRAPH).prepare()


@pytest.mark.parametrize(("package", "allowed"), ALLOWED_IMPORTS.items())
def test_package_without_io_imports_only_allowed_modules(package, allowed):
    """Guards against decision code that does I/O itself, past the host that the tests replace."""
    own = f"basalthoist.{package}"
    for module in PATHS:
        if module == own or module.startswith(own + "."):
            forbidden = [
                name
                for name in GRAPH[module]
                if not name.startswith((own, *allowed)) and name != "basalthoist"
            ]
            assert forbidden == [], module


def test_node_does_not_import_the_tools():
    """Guards against a node that needs the libraries of the emulator or the experiments."""
    tools = tuple(f"basalthoist.{name}" for name in TOOLS)
    for module, imported in GRAPH.items():
        if not module.startswith(tools) and module != "basalthoist.__main__":
            assert [name for name in imported if name.startswith(tools)] == [], module


def test_configuration_does_not_import_the_network_code():
    """Guards against a configuration check that opens sockets, and against a cycle with the network code."""
    for module, imported in GRAPH.items():
        if module.startswith("basalthoist.configuration"):
            assert [name for name in imported if name.startswith("basalthoist.net")] == [], module
