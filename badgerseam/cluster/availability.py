"""The reasons for which a controller is unavailable, that is, takes no shards."""

from __future__ import annotations

from enum import Enum


class UnavailableReason(Enum):
    """A reason for which this controller takes no shards and other controllers should own them."""

    NO_HEARTBEATS = "hears no worker"
    DRAINING = "was asked to leave"
    WATCH_STALLED = "does not follow the changes"
    UNSUPPORTED_LEVEL = "does not fit the site's level"
