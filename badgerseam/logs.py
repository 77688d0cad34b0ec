"""Logging to standard error, at the level given by LOG_LEVEL."""

from __future__ import annotations

import logging
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure(level: str) -> None:
    """Configures logging; raises ValueError if the level is not one of LEVELS."""
    if level not in LEVELS:
        raise ValueError(f"LOG_LEVEL: unknown level {level!r}; use one of {', '.join(LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[level], format="%(levelname)s %(name)s %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("tornado").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
