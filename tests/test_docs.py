"""Checks that the files, classes, members, functions and tests named in documents exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

import badgerseam

PACKAGE = Path(badgerseam.__file__).parent
ROOT = PACKAGE.parent
DOCUMENTS = ("docs/architecture.md", "docs/glossary.md", "docs/design.md", "CONTRIBUTING.md")

QUOTED = re.compile(r"`([^`\n]+)`")
MEMBER = re.compile(r"([A-Z][A-Za-z]+)\.([a-z_][A-Za-z_]*)(?:\(\))?")
CLASS = re.compile(r"[A-Z][a-z]+(?:[A-Z][a-z]+)+")
FUNCTION = re.compile(r"([a-z_]+)\(\)")
PYTHON_FILE = re.compile(r"[a-z_/0-9]+\.py")


class Names:
    """All definitions of the package and its tests."""

    def __init__(self) -> None:
        self.members: dict[str, set[str]] = {}
        self.bases: dict[str, set[str]] = {}
        self.functions: set[str] = set()
        self.files: set[str] = set()
        for top in (PACKAGE, ROOT / "tests"):
            for path in top.rglob("*.py"):
                self._add_file(path)

    def _add_file(self, path: Path) -> None:
        parts = path.relative_to(ROOT).parts
        self.files.update("/".join(parts[start:]) for start in range(len(parts)))
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                self._add_class(node)
            elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                self.functions.add(node.name)

    def _add_class(self, node: ast.ClassDef) -> None:
        members = self.members.setdefault(node.name, set())
        self.bases.setdefault(node.name, set()).update(ast.unparse(base) for base in node.bases)
        for child in ast.walk(node):
            if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
                members.add(child.name)
            elif isinstance(child, ast.AnnAssign | ast.Assign):
                targets = [child.target] if isinstance(child, ast.AnnAssign) else child.targets
                for target in targets:
                    if isinstance(target, ast.Name):
                        members.add(target.id)
                    elif isinstance(target, ast.Attribute):
                        members.add(target.attr)

    def has_member(self, name: str, member: str) -> bool:
        if name not in self.members:
            return False
        inherited = (base for base in self.bases[name] if base in self.members)
        return member in self.members[name] or any(self.has_member(b, member) for b in inherited)

    def missing(self, text: str) -> str | None:
        """Returns the quoted text if it names something that does not exist, else None."""
        if PYTHON_FILE.fullmatch(text):
            return None if text in self.files or (ROOT / text).exists() else text
        if match := MEMBER.fullmatch(text):
            return None if self.has_member(*match.groups()) else text
        if CLASS.fullmatch(text):
            return None if text in self.members else text
        if match := FUNCTION.fullmatch(text):
            return None if match.group(1) in self.functions else text
        return None


@pytest.fixture(scope="module")
def names() -> Names:
    return Names()


@pytest.mark.parametrize("document", DOCUMENTS)
def test_names_in_a_document_exist(names: Names, document: str) -> None:
    quoted = QUOTED.findall((ROOT / document).read_text())
    assert quoted
    missing = {text for text in map(names.missing, quoted) if text is not None}
    assert not missing


def test_a_name_that_does_not_exist_is_reported(names: Names) -> None:
    for text in (
        "no/such_file.py",
        "Membership.no_such_method",
        "NoSuchClass.member",
        "NoSuch",
        "no_such()",
    ):
        assert names.missing(text) == text
