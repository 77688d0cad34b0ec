"""The base of all errors that this package raises on purpose."""

from __future__ import annotations


class BadgerseamError(Exception):
    """An expected failure; the message says what was refused, and why."""
