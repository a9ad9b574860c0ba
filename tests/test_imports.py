"""The modules of the product import one another in one direction."""

from __future__ import annotations

import ast
from pathlib import Path

import quincespool

ROOT = Path(quincespool.__file__).parent


def test_no_module_imports_itself_in_a_circle() -> None:
    """Imports for types only count as well: a circle of them hides which part rests on which."""
    imports = _imports()
    # What imports nothing that is left cannot be part of a circle; take it away until none goes.
    while leaves := [name for name, needed in imports.items() if not needed & imports.keys()]:
        for name in leaves:
            del imports[name]

    assert sorted(imports) == []


def _imports() -> dict[str, set[str]]:
    """Returns, for each module, the modules of the product that it imports."""
    paths = {_module_name(path): path for path in ROOT.rglob("*.py")}
    return {
        name: {one for one in _imported(path) if one in paths and one != name}
        for name, path in paths.items()
    }


def _module_name(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imported(path: Path) -> list[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            names += [node.module, *(f"{node.module}.{one.name}" for one in node.names)]
        elif isinstance(node, ast.Import):
            names += [one.name for one in node.names]
    return names
