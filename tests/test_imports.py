"""No module of the package needs itself to be loaded or understood, directly or by way of others."""

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
    """All nodes below one that are not inside a function."""
    for child in ast.iter_child_nodes(node):
        if not isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            yield child
            yield from module_level(child)


def imported_names(path: Path, root: Path) -> set[str]:
    """What a file imports outside its functions, also for type checkers alone.

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
    """The modules of a package, each after those that it imports; raises CycleError in a circle."""
    files = {module_name(path, root): path for path in (root / package).rglob("*.py")}
    graph = {name: (imported_names(path, root) & files.keys()) - {name} for name, path in files.items()}
    return list(TopologicalSorter(graph).static_order())


def test_no_module_of_the_package_is_in_a_circle_of_imports():
    try:
        order = import_order(ROOT, "caperdeck")
    except CycleError as error:
        pytest.fail(f"circle of imports: {' <- '.join(error.args[1])}")
    assert {"caperdeck.wire.client", "caperdeck.wire.session_handler", "caperdeck.wire.host"} <= set(order)


def reached(root: Path, package: str, names: set[str]) -> set[str]:
    """All modules that loading these loads, of the package and of others."""
    files = {module_name(path, root): path for path in (root / package).rglob("*.py")}
    found, left = set(), set(names)
    while left:
        name = left.pop()
        found.add(name)
        if name in files:
            left |= imported_names(files[name], root) - found
    return found


OFF = ("distribution", "gossip", "leases", "owner", "peers", "raft")  # in `run`
PURE = (
    "publisher_selection", "confirmation", "document", "messages", "publisher", "status", "stream",
    "subscriber", "table",
)  # fmt: skip


def test_a_node_in_service_loads_none_of_the_parts_that_are_off():
    serves = ("__main__", "lifecycle.logs", "lifecycle.reactor", "lifecycle.service", "ops.bans")
    loaded = reached(ROOT, "caperdeck", {f"caperdeck.{name}" for name in serves})
    assert "caperdeck.wire.session_handler" in loaded
    assert [name for name in loaded if name.startswith(tuple(f"caperdeck.{part}." for part in OFF))] == []


def test_what_is_decided_in_distribution_knows_no_network_and_no_process():
    loaded = reached(ROOT, "caperdeck", {f"caperdeck.distribution.{name}" for name in PURE})
    assert "caperdeck.raft.codec" in loaded and "orjson" in loaded
    banned = ("twisted", "socket", "loguru", "caperdeck.wire", "caperdeck.lifecycle", "caperdeck.owner")
    assert [name for name in loaded if name.startswith(banned)] == []


OFF_HERE = ("control", "merge", "published", "owners", "sharing", "toml")  # of lifecycle


def test_a_node_without_flags_loads_nothing_of_what_is_off():
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
    off = [f"caperdeck.{name}" for name in (*OFF, "lab")] + [
        f"caperdeck.lifecycle.{name}" for name in OFF_HERE
    ]
    assert "caperdeck.lifecycle.service" in loaded
    assert [name for name in loaded if any(name == x or name.startswith(f"{x}.") for x in off)] == []


CIRCLES = {
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


@pytest.mark.parametrize("imports", CIRCLES.values(), ids=CIRCLES.keys())
def test_each_kind_of_circle_is_found(tmp_path, imports):
    package = tmp_path / "p"
    package.mkdir()
    for name, text in zip(("a", "b", "c"), (*imports, "from .a import Y"), strict=True):
        (package / f"{name}.py").write_text(text + "\n")
    (package / "__init__.py").write_text("")
    with pytest.raises(CycleError):
        import_order(tmp_path, "p")


def test_import_on_first_use_closes_no_circle(tmp_path):
    package = tmp_path / "p"
    (package / "q").mkdir(parents=True)
    late = "def f():\n    from .a import Y"
    for name, text in (("a", "from .q import b"), ("q/b", "from ..c import X"), ("c", late)):
        (package / f"{name}.py").write_text(text + "\n")
    assert [name for name in import_order(tmp_path, "p") if name != "p.q"] == ["p.c", "p.q.b", "p.a"]
