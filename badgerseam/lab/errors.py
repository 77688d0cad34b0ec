"""Errors that several modules of the lab raise."""

from __future__ import annotations

from badgerseam.errors import BadgerseamError


class RateLimitedError(BadgerseamError):
    """A request exceeds the service's limit of requests or changes per second."""


class LabError(BadgerseamError):
    """The lab cannot be started or used; the message says why and what to do."""
