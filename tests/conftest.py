"""Loops of all tests can go by a fake clock; those that meet sockets and processes do not."""

from __future__ import annotations

import asyncio

from tests.fake_time import Policy

asyncio.set_event_loop_policy(Policy())
