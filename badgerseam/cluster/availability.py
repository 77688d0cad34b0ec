"""Why a controller takes no part."""

from __future__ import annotations

from enum import Enum


class Away(Enum):
    """Why this controller takes no share, and others are to act for it."""

    DEAF = "hears no worker"
    LEAVING = "was asked to leave"
    BLIND = "does not follow the changes"
    UNFIT = "does not fit the site's level"
