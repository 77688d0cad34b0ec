"""Tests of the list of tests that are known to fail."""

from __future__ import annotations

from tests.support.known_red import KNOWN_RED_FILE, find_entry, read_known_red

TEXT = """Known red: what fails.

1. tests/a/test_a.py::test_one[case-1]
   command: ./dev test tests/a/test_a.py; seen: 3. is no entry
2. tests/a/test_a.py::test_two
3. python -m tests.support.a_soak 1 4
"""


def test_only_entries_that_name_a_test_are_read() -> None:
    assert read_known_red(TEXT) == [
        "tests/a/test_a.py::test_one[case-1]",
        "tests/a/test_a.py::test_two",
    ]


def test_an_entry_lists_its_case_only_or_all_cases_of_its_test() -> None:
    entries = read_known_red(TEXT)
    assert find_entry("tests/a/test_a.py::test_one[case-1]", entries) == entries[0]
    assert find_entry("tests/a/test_a.py::test_one[case-2]", entries) is None
    assert find_entry("tests/a/test_a.py::test_two[case-2]", entries) == entries[1]
    assert find_entry("tests/a/test_a.py::test_two_more", entries) is None


def test_each_listed_test_exists() -> None:
    for entry in read_known_red(KNOWN_RED_FILE.read_text()):
        path, _, name = entry.partition("::")
        source = (KNOWN_RED_FILE.parent / path).read_text()
        assert f"def {name.partition('[')[0]}(" in source, entry
