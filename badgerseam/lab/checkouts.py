"""Source trees that a lab's controllers run from: this one, a directory, or a Git revision."""

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
"""The name of the source tree that the lab itself runs from."""


class CheckoutError(BadgerseamError):
    """A source tree cannot be used; the message says why and what to do."""


class _Service(Struct):
    """The field that is read from a source tree's deploy/service.toml."""

    run: str


@dataclass(frozen=True, slots=True)
class Checkout:
    """A source tree, and the command that starts its controller; the settings file is appended.

    Each tree has its own command and options file, as in a deployment, because an older program
    exits if the options contain a section that it does not support.
    """

    root: Path
    command: tuple[str, ...]


def own_checkout(options: Path | None) -> Checkout:
    """Returns the source tree that this process runs from."""
    arguments = () if options is None else ("--options", str(options))
    return Checkout(
        ROOT,
        (sys.executable, "-m", "badgerseam", "serve", *arguments, "--config"),
    )


def make_checkout(name: str, where: str, directory: Path) -> Checkout:
    """Returns the source tree called `name`.

    `where` is a directory, or a revision of the repository that this process runs from, which is
    extracted below `directory`.
    """
    tree = Path(where)
    if not (tree / "badgerseam").is_dir():
        tree = _extract(name, where, directory / "trees" / name)
    try:
        service = msgspec.toml.decode(
            (tree / "deploy" / "service.toml").read_bytes(), type=_Service
        )
    except (OSError, msgspec.DecodeError) as error:
        raise CheckoutError(f"sources.{name}: deploy/service.toml: {error}") from error
    program, *rest = shlex.split(service.run)
    # Uses this interpreter, which has the libraries, whatever name service.toml has for it.
    command = (sys.executable, *rest) if program.startswith("python") else (program, *rest)
    return Checkout(tree.resolve(), command)


def _extract(name: str, revision: str, directory: Path) -> Path:
    try:
        tar = subprocess.run(
            ["git", "-C", str(ROOT), "archive", revision, "--", "badgerseam", "deploy", "run.py"],
            check=True,
            capture_output=True,
        ).stdout
    except FileNotFoundError as error:
        raise CheckoutError(
            f"sources.{name}: git is not installed: give a directory instead"
        ) from error
    except subprocess.CalledProcessError as error:
        raise CheckoutError(
            f"sources.{name}: {revision!r} is neither a source directory nor a Git revision: "
            + error.stderr.decode(errors="replace").strip().partition("\n")[0]
        ) from error
    directory.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(tar)) as archive:
        archive.extractall(directory, filter="data")
    return directory
