"""bsbatch: converts options and #SBATCH lines into a submission."""

from __future__ import annotations

import argparse
import getpass
import os
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Literal

from badgerseam.slurm import values
from badgerseam.slurm.batch_options import (
    ACCOUNT_VARIABLE,
    CONSTRAINTS,
    PRIORITIES,
    SubmissionError,
    make_parser,
    script_options,
)
from badgerseam.wire.users import Dependency, Submission, Terms

DEFAULT_NAME = "batch"
DEFAULT_ESTIMATE_S = 60.0
DEFAULT_MEMORY_GB = 1.0


@dataclass(slots=True)
class Draft:
    """A validated job without the values that the service assigns: its job id and the ids of its
    dependencies."""

    options: argparse.Namespace
    dependencies: values.DependencyList | None

    def submission(
        self, job_id: str, dependencies: list[Dependency], nonce: str, now: datetime
    ) -> Submission:
        """Returns the submission; SubmissionError if a time is invalid."""
        options = self.options
        name = options.job_name or DEFAULT_NAME
        constraints = _parse_constraints(options.constraint)
        tasks = options.array.count if options.array is not None else options.ntasks or 1
        cpus = float(options.cpus_per_task or 1)
        terms = self._terms(dependencies, nonce, now)
        return Submission(
            id=job_id,
            job_class=options.job_class or name,
            team=options.account,
            kind=self._kind(tasks),
            priority=PRIORITIES[options.qos or "normal"],  # type: ignore[arg-type]
            tasks=tasks,
            cpus=cpus,
            gpus=float(options.gpus or 0),
            memory_gb=round(self._memory_gb(cpus), 6),
            image=options.container or name,
            image_gb=options.image_gb or 0.0,
            one_zone="onezone" in constraints,
            spread="scatter" in constraints,
            spot="ordinary" not in constraints,
            estimate_s=0.0 if options.service else options.time or DEFAULT_ESTIMATE_S,
            checkpoint_s=options.checkpoint or 0.0,
            save_s=options.save_time or 0.0,
            types=None if options.partition is None else options.partition.split(","),
            zone=options.zone,
            deadline_s=self._deadline_s(now),
            terms=terms,
        )

    def _kind(self, tasks: int) -> Literal["standing", "group", "sweep"]:
        """Returns the kind: a service, a gang, or an array of independent tasks."""
        if self.options.service:
            return "standing"
        return "group" if self.options.array is None and tasks > 1 else "sweep"

    def _memory_gb(self, cpus: float) -> float:
        """Returns the memory of a task."""
        options = self.options
        if options.mem:
            return float(options.mem)
        return float(options.mem_per_cpu * cpus) if options.mem_per_cpu else DEFAULT_MEMORY_GB

    def _terms(self, dependencies: list[Dependency], nonce: str, now: datetime) -> Terms:
        options = self.options
        array: values.ArrayIndices | None = options.array
        begin_at = None
        if options.begin is not None:
            begin_at = _parse_begin(options.begin, now).timestamp()
        return Terms(
            name=options.job_name or DEFAULT_NAME,
            user=_user_name(),
            hold=bool(options.hold),
            begin_at=begin_at,
            throttle=None if array is None else array.throttle,
            depends=dependencies,
            any=self.dependencies.is_any if self.dependencies else False,
            singleton=self.dependencies.is_singleton if self.dependencies else False,
            first=0 if array is None else array.first,
            step=1 if array is None else array.step,
            nonce=nonce,
            comment=options.comment,
        )

    def _deadline_s(self, now: datetime) -> float | None:
        """Returns the seconds from `now` to the deadline; None without a deadline."""
        if self.options.deadline is None:
            return None
        deadline_s = (_parse_begin(self.options.deadline, now) - now).total_seconds()
        if deadline_s <= 0:
            raise SubmissionError(f"--deadline: {self.options.deadline!r} is not in the future")
        return deadline_s


def make_draft(command: argparse.Namespace, script: str) -> Draft:
    """Makes a draft from the options of the script and of the command line.

    The command line takes precedence. Raises SubmissionError if options cannot be combined.
    """
    options = make_parser().parse_args(script_options(script))
    for name in vars(options):
        value = getattr(command, name, None)
        if value is not None:
            setattr(options, name, value)
    options.account = options.account or os.environ.get(ACCOUNT_VARIABLE)
    _check_combination(options)
    return Draft(options, options.dependency)


def _check_combination(options: argparse.Namespace) -> None:
    if not options.account:
        raise SubmissionError(f"--account: give your team here or in {ACCOUNT_VARIABLE}")
    if options.array is not None and (options.ntasks or 1) > 1:
        raise SubmissionError(
            "--array, --ntasks: tasks of an array run independently; give one of the two"
        )
    if options.mem is not None and options.mem_per_cpu is not None:
        raise SubmissionError("--mem, --mem-per-cpu: give one of the two")
    if options.service and (options.array is not None or options.time is not None):
        raise SubmissionError(
            "--service: the job runs until it is cancelled; --array and --time are not allowed"
        )
    constraints = _parse_constraints(options.constraint)
    if {"ordinary", "spot"} <= constraints:
        raise SubmissionError("--constraint: ordinary and spot exclude each other")
    if {"onezone", "scatter"} <= constraints:
        raise SubmissionError("--constraint: onezone and scatter exclude each other")


def read_script(command: argparse.Namespace, stdin: Callable[[], str]) -> str:
    """Returns the script's text, or a script made from --wrap.

    Raises SubmissionError if there is neither or both, or if the script is invalid.
    """
    if command.wrap is not None:
        if command.script is not None:
            raise SubmissionError("--wrap: there is a script as well; give one of the two")
        return f"#!/bin/sh\n{command.wrap}\n"
    if command.script is None:
        raise SubmissionError("a script or --wrap is required")
    try:
        text = stdin() if command.script == "-" else Path(command.script).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SubmissionError(f"{command.script}: {error}") from error
    if not text.startswith("#!"):
        raise SubmissionError(
            f"{command.script}: a batch script must begin with #! and its interpreter"
        )
    return text


def _parse_constraints(text: str | None) -> set[str]:
    constraints = set() if text is None else {part.strip().lower() for part in text.split("&")}
    unknown = sorted(constraints - set(CONSTRAINTS))
    if unknown:
        raise SubmissionError(
            f"--constraint: {', '.join(unknown)}: use any of {', '.join(CONSTRAINTS)}"
        )
    return constraints


def _parse_begin(text: str, now: datetime) -> datetime:
    try:
        return values.parse_begin(text, now)
    except values.ValueFormatError as error:
        raise SubmissionError(str(error)) from error


def _user_name() -> str:
    """Returns the user's name, or the user id if the user has no name."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return str(os.getuid())
