"""The package has no circular imports, and a node does not import the parts that it does not use."""

import ast
import subprocess
import sys
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


def module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def module_level(node: ast.AST) -> Iterator[ast.AST]:
    """All descendants of a node that are not inside a function."""
    for child in ast.iter_child_nodes(node):
        if not isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            yield child
            yield from module_level(child)


def imported_names(path: Path, root: Path) -> set[str]:
    """The names that a file imports outside its functions, including imports for type checkers only.

    `from a import b` gives both a and a.b, as b may be a module.
    """
    package = path.parent.relative_to(root).parts
    names = set()
    for node in module_level(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            above = package[: len(package) + 1 - node.level] if node.level else ()
            base = ".".join((*above, node.module) if node.module else above)
            names |= {base} | {f"{base}.{alias.name}" for alias in node.names}
    return names


def import_order(root: Path, package: str) -> list[str]:
    """The modules of a package, each after those that it imports; raises CycleError for circular imports."""
    files = {module_name(path, root): path for path in (root / package).rglob("*.py")}
    graph = {name: (imported_names(path, root) & files.keys()) - {name} for name, path in files.items()}
    return list(TopologicalSorter(graph).static_order())


def test_the_package_has_no_circular_imports():
    try:
        order = import_order(ROOT, "caperdeck")
    except CycleError as error:
        pytest.fail(f"circular imports: {' <- '.join(error.args[1])}")
    assert {"caperdeck.wire.client", "caperdeck.wire.session_handler", "caperdeck.wire.host"} <= set(order)


def imported_modules(root: Path, package: str, names: set[str]) -> set[str]:
    """All modules that importing these imports, of the package and of others."""
    files = {module_name(path, root): path for path in (root / package).rglob("*.py")}
    found, left = set(), set(names)
    while left:
        name = left.pop()
        found.add(name)
        if name in files:
            left |= imported_names(files[name], root) - found
    return found


OPTIONAL_PACKAGES = ("distribution", "gossip", "leases", "owner", "peers", "raft")  # off in `run`
PURE_MODULES = (
    "publisher_selection", "confirmation", "document", "messages", "publisher", "status", "stream",
    "subscriber", "table",
)  # fmt: skip


def test_a_serving_node_imports_no_optional_package():
    serving = ("__main__", "lifecycle.logs", "lifecycle.reactor", "lifecycle.service", "ops.bans")
    loaded = imported_modules(ROOT, "caperdeck", {f"caperdeck.{name}" for name in serving})
    assert "caperdeck.wire.session_handler" in loaded
    assert [
        name for name in loaded if name.startswith(tuple(f"caperdeck.{part}." for part in OPTIONAL_PACKAGES))
    ] == []


def test_the_decisions_of_distribution_import_no_network_and_no_process():
    loaded = imported_modules(ROOT, "caperdeck", {f"caperdeck.distribution.{name}" for name in PURE_MODULES})
    assert "caperdeck.raft.codec" in loaded and "orjson" in loaded
    banned = ("twisted", "socket", "loguru", "caperdeck.wire", "caperdeck.lifecycle", "caperdeck.owner")
    assert [name for name in loaded if name.startswith(banned)] == []


OPTIONAL_LIFECYCLE_MODULES = ("control", "merge", "published", "owners", "sharing", "toml")


def test_a_node_without_flags_imports_nothing_optional():
    code = """
import sys
import caperdeck.__main__
from caperdeck.lifecycle.logs import start_logging
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.lifecycle.service import Service
print(*(name for name in sys.modules if name.startswith("caperdeck.")))
"""
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    loaded = done.stdout.split()
    optional = [f"caperdeck.{name}" for name in (*OPTIONAL_PACKAGES, "lab")] + [
        f"caperdeck.lifecycle.{name}" for name in OPTIONAL_LIFECYCLE_MODULES
    ]
    assert "caperdeck.lifecycle.service" in loaded
    assert [name for name in loaded if any(name == x or name.startswith(f"{x}.") for x in optional)] == []


CIRCULAR_IMPORTS = {
    "absolute": ("import p.b", "import p.a"),
    "absolute name": ("from p.b import X", "from p.a import Y"),
    "module of a package": ("from p import b", "from p import a"),
    "relative": ("from .b import X", "from .a import Y"),
    "relative module": ("from . import b", "from . import a"),
    "for type checkers": ("from .b import X", "if TYPE_CHECKING:\n    from .a import Y"),
    "in a class": ("from .b import X", "class A:\n    from .a import Y"),
    "in a try": ("from .b import X", "try:\n    pass\nexcept ValueError:\n    from .a import Y"),
    "by way of a third": ("from .b import X", "from .c import Z"),
}


@pytest.mark.parametrize("imports", CIRCULAR_IMPORTS.values(), ids=CIRCULAR_IMPORTS.keys())
def test_each_kind_of_circular_import_is_found(tmp_path, imports):
    package = tmp_path / "p"
    package.mkdir()
    for name, text in zip(("a", "b", "c"), (*imports, "from .a import Y"), strict=True):
        (package / f"{name}.py").write_text(text + "\n")
    (package / "__init__.py").write_text("")
    with pytest.raises(CycleError):
        import_order(tmp_path, "p")


def test_an_import_inside_a_function_is_not_circular(tmp_path):
    package = tmp_path / "p"
    (package / "q").mkdir(parents=True)
    late = "def f():\n    from .a import Y"
    for name, text in (("a", "from .q import b"), ("q/b", "from ..c import X"), ("c", late)):
        (package / f"{name}.py").write_text(text + "\n")
    assert [name for name in import_order(tmp_path, "p") if name != "p.q"] == ["p.c", "p.q.b", "p.a"]
