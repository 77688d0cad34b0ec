"""Settings of all tests: event loops that can use a fake clock, and the same Hypothesis examples in
every run."""

from __future__ import annotations

import asyncio

from hypothesis import settings

from tests.support.fake_time import Policy

asyncio.set_event_loop_policy(Policy())
# A deadline would make tests depend on the load of the machine.
settings.register_profile("tests", deadline=None, derandomize=True)
settings.load_profile("tests")
