"""Logging to standard error, at the level that LOG_LEVEL sets."""

from __future__ import annotations

import logging
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure(level: str) -> None:
    """Set up logging; ValueError for a level that is none of LEVELS."""
    if level not in LEVELS:
        raise ValueError(f"LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[level], format="%(levelname)s %(name)s %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("tornado").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
