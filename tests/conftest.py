"""What holds for all tests: loops that can go by a fake clock, and the same examples every time."""

from __future__ import annotations

import asyncio

from hypothesis import settings

from tests.support.fake_time import Policy

asyncio.set_event_loop_policy(Policy())
# A deadline would judge how loaded the machine is.
settings.register_profile("tests", deadline=None, derandomize=True)
settings.load_profile("tests")
