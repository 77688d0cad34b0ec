"""Checks that the modules of the package do not import each other in cycles."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import badgerseam

ROOT = Path(badgerseam.__file__).parent


def module_name(path: Path) -> str:
    parts = ("badgerseam", *path.relative_to(ROOT).with_suffix("").parts)
    return ".".join(part for part in parts if part != "__init__")


def imported_modules(path: Path, modules: set[str]) -> set[str]:
    """Returns the modules of the package that a file imports at its top level, also those inside
    an `if`, such as imports for type checking only.

    An import inside a function is executed when the function is called, too late to close a cycle.
    """
    body = ast.parse(path.read_text()).body
    conditional = [node for branch in body if isinstance(branch, ast.If) for node in branch.body]
    imported: set[str] = set()
    for node in body + conditional:
        if isinstance(node, ast.ImportFrom):
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            imported |= names & modules or {str(node.module)} & modules
    return imported


def test_imports_have_no_cycles() -> None:
    paths = {module_name(path): path for path in ROOT.rglob("*.py")}
    sorter = TopologicalSorter(
        {name: imported_modules(path, set(paths)) for name, path in paths.items()}
    )
    sorter.prepare()
