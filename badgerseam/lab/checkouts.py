"""What controllers of a lab run from: these sources, a folder, or a revision of this project."""

from __future__ import annotations

import io
import shlex
import subprocess
import sys
import tarfile
from dataclasses import dataclass
from pathlib import Path

import msgspec
from msgspec import Struct

from badgerseam.errors import BadgerseamError

ROOT = Path(__file__).resolve().parents[2]
OWN_SOURCES = ""
"""The name of the sources that the lab itself runs from."""


class CheckoutError(BadgerseamError):
    """There are no such sources; the message says why and what to do."""


class _Service(Struct):
    """What is read of a tree's deploy/service.toml."""

    run: str


@dataclass(frozen=True, slots=True)
class Checkout:
    """Sources, and the arguments that a controller of theirs is started with before its settings.

    Each tree brings its own, as a deployment does: an older program ends at a section of the
    options that it does not know.
    """

    root: Path
    command: tuple[str, ...]


def own_checkout(options: Path | None) -> Checkout:
    """The sources that this process runs from."""
    given = () if options is None else ("--options", str(options))
    return Checkout(
        ROOT,
        (sys.executable, "-m", "badgerseam", "serve", *given, "--config"),
    )


def make_checkout(name: str, where: str, directory: Path) -> Checkout:
    """Make the sources called `name` ready: `where` is a folder, or a revision of the repository
    that this process runs from, which is laid below `directory`."""
    folder = Path(where)
    if not (folder / "badgerseam").is_dir():
        folder = _extract(name, where, directory / "trees" / name)
    try:
        service = msgspec.toml.decode(
            (folder / "deploy" / "service.toml").read_bytes(), type=_Service
        )
    except (OSError, msgspec.DecodeError) as error:
        raise CheckoutError(f"sources.{name}: deploy/service.toml: {error}") from error
    program, *rest = shlex.split(service.run)
    # The interpreter that has the libraries, whatever the deployment calls it.
    command = (sys.executable, *rest) if program.startswith("python") else (program, *rest)
    return Checkout(folder.resolve(), command)


def _extract(name: str, revision: str, folder: Path) -> Path:
    try:
        packed = subprocess.run(
            ["git", "-C", str(ROOT), "archive", revision, "--", "badgerseam", "deploy", "run.py"],
            check=True,
            capture_output=True,
        ).stdout
    except FileNotFoundError as error:
        raise CheckoutError(
            f"sources.{name}: git is not installed: name a folder instead"
        ) from error
    except subprocess.CalledProcessError as error:
        raise CheckoutError(
            f"sources.{name}: {revision!r} is neither a folder with the program nor a revision: "
            + error.stderr.decode(errors="replace").strip().partition("\n")[0]
        ) from error
    folder.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(folder, filter="data")
    return folder
