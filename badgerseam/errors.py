"""The base class of the errors that this package raises."""

from __future__ import annotations


class BadgerseamError(Exception):
    """An expected failure; the message says what was rejected and why."""
