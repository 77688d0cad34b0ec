"""The directory of a running lab: a lock that excludes a second lab, and the lab's addresses."""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import IO

from badgerseam.lab.errors import LabError

LOCK_FILE = "lab.lock"
INFO_FILE = "lab.json"


class LabDirectory:
    """Holds the lock of a directory between `acquire` and `release`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock_file: IO[str] | None = None

    def acquire(self) -> None:
        """Creates the directory and locks it; LabError if another lab runs in it."""
        self.path.mkdir(parents=True, exist_ok=True)
        lock_file = (self.path / LOCK_FILE).open("a+")
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            lock_file.close()
            info = read_running_lab(self.path)
            owner = f" (process {info['pid']}, {info['front']})" if info else ""
            raise LabError(
                f"a lab already runs in {self.path}{owner}: stop it, or give another --dir"
            ) from error
        self._lock_file = lock_file

    def write_info(self, load_balancer: str, nodes: Mapping[str, str]) -> None:
        """Writes the lab's addresses (host:port) and process id for the commands."""
        info = {"pid": os.getpid(), "front": load_balancer, "nodes": nodes}
        (self.path / INFO_FILE).write_text(json.dumps(info))

    def remove_info(self) -> None:
        """Removes the file that `write_info` has written."""
        (self.path / INFO_FILE).unlink(missing_ok=True)

    def release(self) -> None:
        """Releases the lock if this lab holds it."""
        if self._lock_file is not None:
            (self.path / LOCK_FILE).unlink(missing_ok=True)
            self._lock_file.close()
            self._lock_file = None


def read_running_lab(directory: Path) -> dict[str, object]:
    """Returns the info that the lab in a directory has written; empty if no lab runs there."""
    try:
        info = json.loads((directory / INFO_FILE).read_text())
    except (OSError, ValueError):
        return {}
    return info if isinstance(info, dict) else {}
