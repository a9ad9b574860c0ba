"""Renames an identifier with every use of it; mypy finds the uses of attributes and parameters.

Run it from the root of the repository, in its virtual environment, on a tree that mypy accepts:

  python scripts/rename.py global FILE OLD NEW            a class, function or constant of a module
  python scripts/rename.py member FILE:CLASS[,...] OLD NEW  a method, property or field
  python scripts/rename.py param FILE:[CLASS.]FUNCTION OLD NEW
  python scripts/rename.py module OLD.DOTTED.NAME NEW.DOTTED.NAME

A command may be run again on a tree in which its definition is renamed already. Comments and texts
are left alone; what still has the old name as a word is printed. Classes that share a method
through a Protocol are named together. Each command is added to `.renames.log`. Where two branches
meet, its commands are run again on the uses:

  python scripts/rename.py replay LOG
"""

from __future__ import annotations

import ast
import io
import re
import subprocess
import sys
import tokenize
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

FOLDERS = ("src", "tests", "specs", "scripts")
MOST_ROUNDS = 30
LOG = Path(".renames.log")


def _python_files() -> list[Path]:
    return [path for folder in FOLDERS for path in sorted(Path(folder).rglob("*.py"))]


def _dotted(path: Path) -> str:
    parts = path.with_suffix("").parts
    return ".".join(parts[1:] if parts[0] == "src" else parts)


def _in_braces(text: str, pattern: re.Pattern[str], new: str) -> str:
    return re.sub(r"\{[^{}]*\}", lambda found: pattern.sub(new, found[0]), text)


def _rename_tokens(text: str, old: str, new: str, first: int = 1, last: int = 1_000_000) -> str:
    """Replaces bare names between two lines, in f-strings within braces.

    Attributes and the names of keyword arguments are left alone: the latter may be log fields.
    """
    lines = text.splitlines(keepends=True)
    keywords = {
        (node.lineno, node.col_offset)
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.keyword) and node.arg == old
    }
    edits: list[tuple[int, int, int, str]] = []
    bare = re.compile(rf"(?<![\w.]){re.escape(old)}\b")
    previous = ""
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        row, column = token.start
        if first <= row <= last:
            if token.type == tokenize.NAME and token.string == old and previous != ".":
                if token.start not in keywords:
                    edits.append((row, column, token.end[1], new))
            elif token.type == tokenize.STRING and re.match(r"[rR]?[fF]", token.string):
                changed = _in_braces(token.string, bare, new)
                if changed != token.string and token.end[0] == row:
                    edits.append((row, column, token.end[1], changed))
        previous = token.string
    for row, start, end, put in sorted(edits, reverse=True):
        line = lines[row - 1]
        lines[row - 1] = line[:start] + put + line[end:]
    return "".join(lines)


def _rename_global(file: Path, old: str, new: str) -> None:
    file.write_text(_rename_tokens(file.read_text(), old, new))
    _rename_imported(_dotted(file), old, new)


def _find_class(text: str, name: str) -> ast.ClassDef:
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ClassDef) and node.name == name:
            return node
    raise SystemExit(f"no class {name}")


def _rename_in_class(file: Path, class_name: str, old: str, new: str) -> None:
    text = file.read_text()
    node = _find_class(text, class_name)
    lines = text.splitlines(keepends=True)
    word = re.escape(old)
    uses = re.compile(rf"\b(self|cls)\.{word}\b")
    for index in range(node.lineno - 1, node.end_lineno or node.lineno):
        lines[index] = uses.sub(rf"\1.{new}", lines[index])
    for item in node.body:
        row = item.lineno - 1
        if isinstance(item, (ast.FunctionDef, ast.AsyncFunctionDef)) and item.name == old:
            lines[row] = re.sub(rf"def {word}\b", f"def {new}", lines[row])
        elif isinstance(item, (ast.AnnAssign, ast.Assign)):
            lines[row] = re.sub(rf"^(\s+){word}\b", rf"\g<1>{new}", lines[row])
    file.write_text("".join(lines))


def _rename_param(file: Path, function: str, old: str, new: str) -> None:
    text = file.read_text()
    class_name, _, name = function.rpartition(".")
    within = _find_class(text, class_name) if class_name else ast.parse(text)
    for node in ast.walk(within):
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)) and node.name == name:
            text = _rename_tokens(text, old, new, node.lineno, node.end_lineno or node.lineno)
            break
    file.write_text(text)


def _run_mypy() -> list[str]:
    done = subprocess.run(
        [".venv/bin/mypy", "--show-error-end", "--no-pretty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.splitlines()


def _replace_at(path: Path, row: int, end: int, old: str, new: str) -> int:
    """Replaces the name that ends at a place; returns 0 if another one stands there."""
    lines = path.read_text().splitlines(keepends=True)
    line = lines[row - 1]
    if line[end - len(old) : end] != old:
        return 0
    lines[row - 1] = line[: end - len(old)] + new + line[end:]
    path.write_text("".join(lines))
    return 1


def _replace_keyword(path: Path, first: int, last: int, old: str, new: str) -> int:
    lines = path.read_text().splitlines(keepends=True)
    changed = 0
    for row in range(first - 1, min(last, len(lines))):
        put = re.sub(rf"(?<![\w.]){re.escape(old)}(?==[^=])", new, lines[row])
        changed += put != lines[row]
        lines[row] = put
    path.write_text("".join(lines))
    return changed


def _rename_module(old: str, new: str) -> None:
    base = Path("src") if old.startswith("quincespool") else Path()
    source, target = (base / (name.replace(".", "/") + ".py") for name in (old, new))
    if source.exists():
        subprocess.run(["git", "mv", str(source), str(target)], check=True)
    dotted = re.compile(rf"(?<![\w.]){re.escape(old)}(?!\w)")
    parent, _, leaf = old.rpartition(".")
    from_parent = re.compile(rf"from {re.escape(parent)} import {re.escape(leaf)}$", re.MULTILINE)
    new_parent, _, new_leaf = new.rpartition(".")
    for path in _python_files():
        text = path.read_text()
        put = dotted.sub(new, text)
        if from_parent.search(put):
            put = from_parent.sub(f"from {new_parent} import {new_leaf}", put)
            put = re.sub(rf"(?<![\w.]){re.escape(leaf)}\.", f"{new_leaf}.", put)
        if put != text:
            path.write_text(put)


def _replay(log: Path) -> None:
    """Renames modules, then what is imported, then attributes and parameters."""
    commands = [line.split() for line in log.read_text().splitlines()]
    modules: dict[str, str] = {}
    classes: dict[str, set[str]] = {}
    for what, *rest in commands:
        if what == "module":
            _rename_module(*rest)
            modules[rest[0]] = rest[1]
    for what, *rest in commands:
        if what == "global":
            where, old, new = rest
            classes.setdefault(old, set()).add(new)
            module = _dotted(Path(where))
            while module in modules:
                module = modules[module]
            _rename_imported(module, old, new)
    wanted: dict[tuple[str, str], str] = {}
    for what, *rest in commands:
        if what in ("member", "param"):
            where, old, new = rest
            owners = {part for place in where.split(",") for part in place.split(":")[1].split(".")}
            for _ in range(3):
                owners |= {after for owner in owners for after in classes.get(owner, ())}
            wanted |= {(owner, old): new for owner in owners}
    _rename_uses(
        lambda owners, name: next(
            (wanted[owner, name] for owner in owners if (owner, name) in wanted), ""
        )
    )


def _rename_uses(find_new: Callable[[list[str], str], str]) -> None:
    """Renames what mypy finds missing, until it finds no more.

    Args:
      find_new: Returns the new name of an attribute or parameter, given the classes and functions
        that mypy names beside it and the old name; empty if it is not to be renamed.
    """
    place = r"(?P<file>[^:]+):(?P<line>\d+):\d+:(?P<end_line>\d+):(?P<end>\d+): error: "
    missing = re.compile(rf'{place}(?P<owners>.*) has no attribute "(?P<old>\w+)"')
    unexpected = re.compile(
        rf'{place}Unexpected keyword argument "(?P<old>\w+)" for (?P<owners>.*)'
    )
    found: list[str] = []
    for _ in range(MOST_ROUNDS):
        found = _run_mypy()
        # A place that is named twice, as for a union, is edited once. From the end of each file, so
        # that the columns of earlier places stay right.
        edits = {
            (m["file"], int(m["end_line"]), int(m["end"]), int(m["line"]), kind is missing): m
            for kind in (missing, unexpected)
            for m in filter(None, map(kind.match, found))
        }
        changed = 0
        for (name, row, end, first, is_attribute), m in sorted(edits.items(), reverse=True):
            new = find_new(re.findall(r"\w+", m["owners"]), m["old"])
            if not new:
                continue
            if is_attribute:
                changed += _replace_at(Path(name), row, end, m["old"], new)
            else:
                changed += _replace_keyword(Path(name), first, row, m["old"], new)
        if not changed:
            break
    errors = [line for line in found if ": error:" in line]
    print("\n".join(errors) or "mypy: no errors")


def _rename_imported(module: str, old: str, new: str) -> None:
    imported = re.compile(rf"^\s*from {re.escape(module)} import {re.escape(old)}\b", re.MULTILINE)
    for path in _python_files():
        text = path.read_text()
        if imported.search(text):
            path.write_text(_rename_tokens(text, old, new))


def _left_over(old: str) -> None:
    word = re.compile(rf"(?<!\w){re.escape(old)}(?!\w)")
    for path in _python_files():
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if word.search(line):
                print(f"still {old}: {path}:{number}: {line.strip()[:100]}")


def main() -> None:
    """Runs one command."""
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    what, *rest = sys.argv[1:]
    if what == "replay":
        _replay(Path(rest[0]))
        return
    with LOG.open("a") as log:
        log.write(" ".join(sys.argv[1:]) + "\n")
    if what == "module":
        _rename_module(*rest)
        return
    where, old, new = rest
    if what == "global":
        _rename_global(Path(where), old, new)
    elif what == "member":
        for place in where.split(","):
            file, class_name = place.split(":")
            _rename_in_class(Path(file), class_name, old, new)
    elif what == "param":
        file, function = where.split(":")
        _rename_param(Path(file), function, old, new)
    else:
        sys.exit(__doc__)
    _rename_uses(lambda _, name: new if name == old else "")
    if what != "param":
        _left_over(old)


if __name__ == "__main__":
    main()
