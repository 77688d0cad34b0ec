"""Why a controller takes no part."""

from __future__ import annotations

from enum import Enum


class UnavailableReason(Enum):
    """Why this controller takes no share, and others are to act for it."""

    NO_HEARTBEATS = "hears no worker"
    DRAINING = "was asked to leave"
    WATCH_STALLED = "does not follow the changes"
    UNSUPPORTED_LEVEL = "does not fit the site's level"
