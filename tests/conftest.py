"""Settings of all tests: event loops that can use a fake clock, the same Hypothesis examples in
every run, and the tests that are known to fail."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import settings

from tests.support.fake_time import Policy
from tests.support.known_red import KNOWN_RED_FILE, find_entry, read_known_red

asyncio.set_event_loop_policy(Policy())
# A deadline would make tests depend on the load of the machine.
settings.register_profile("tests", deadline=None, derandomize=True)
settings.load_profile("tests")


KNOWN_RED = read_known_red(KNOWN_RED_FILE.read_text())


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects exactly the tests in KNOWN-RED.txt to fail; one that passes fails the run."""
    for item in items:
        if find_entry(item.nodeid, KNOWN_RED) is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the known red tests of this run."""
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}")
