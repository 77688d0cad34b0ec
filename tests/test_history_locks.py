"""Checks that the histories of whole sites with fixed seeds are those in `tests/data/`, which were
recorded before identifiers in the code were renamed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

DATA = Path(__file__).parent / "data"


def test_histories_of_sites_with_fixed_seeds_are_unchanged() -> None:
    # The iteration order of string sets depends on their hashes, which are random in each process
    # without a fixed PYTHONHASHSEED.
    result = subprocess.run(
        [sys.executable, "-m", "tests.support.history_digest"],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert json.loads(result.stdout) == json.loads((DATA / "histories.json").read_text())
