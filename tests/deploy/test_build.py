"""The build of the deploy file, with an interpreter that only notes what it is asked to do."""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[2]
# Answers the question for its kind from the file `kind`, and notes each installation.
INTERPRETER = """#!/bin/sh
case "$2" in
  pip) mkdir -p target/deps && echo installed >>../installations ;;
  compileall) ;;
  *) cat ../kind ;;
esac
"""


class Checkout(NamedTuple):
    """A checkout with a build script, beside an interpreter."""

    folder: Path

    def build(self, kind: str) -> int:
        """Builds with an interpreter of some kind; returns the installations until now."""
        (self.folder / "kind").write_text(kind)
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        script = self.folder / "tree" / "deploy" / "build"
        subprocess.run(["bash", str(script)], check=True, env={"PATH": path})
        return len((self.folder / "installations").read_text().splitlines())


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    tree = tmp_path / "tree"
    (tree / "deploy").mkdir(parents=True)
    (tree / "src" / "quincespool").mkdir(parents=True)
    for name in ("deploy/build", "pyproject.toml"):
        shutil.copy(ROOT / name, tree / name)
    interpreter = tmp_path / "bin" / "python3"
    interpreter.parent.mkdir()
    interpreter.write_text(INTERPRETER)
    interpreter.chmod(0o755)
    return Checkout(tmp_path)


def test_libraries_are_installed_once_for_one_interpreter(checkout: Checkout) -> None:
    assert checkout.build(".cpython-311-x86_64-linux-gnu.so") == 1
    assert checkout.build(".cpython-311-x86_64-linux-gnu.so") == 1


@pytest.mark.parametrize(
    "kind", [".cpython-311-aarch64-linux-gnu.so", ".cpython-312-x86_64-linux-gnu.so"]
)
def test_libraries_of_another_machine_or_interpreter_are_replaced(
    checkout: Checkout, kind: str
) -> None:
    """Guards against libraries that were carried over and that nothing can import."""
    assert checkout.build(".cpython-311-x86_64-linux-gnu.so") == 1
    assert checkout.build(kind) == 2
