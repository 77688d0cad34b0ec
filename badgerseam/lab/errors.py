"""Errors that several of the lab's services raise."""

from __future__ import annotations

from badgerseam.errors import BadgerseamError


class RateLimitedError(BadgerseamError):
    """A request is above the service's limit of requests or changes a second."""


class LabError(BadgerseamError):
    """The lab cannot be started or used; the message says why and what to do."""
