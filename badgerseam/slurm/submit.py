"""bsbatch: options and #SBATCH lines become a job of the service."""

from __future__ import annotations

import argparse
import getpass
import os
import shlex
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, NoReturn

from badgerseam.errors import BadgerseamError
from badgerseam.slurm import values
from badgerseam.wire.users import Dependency, Submission, Terms

PRIORITIES = {
    "production": "production",
    "high": "high",
    "urgent": "high",
    "normal": "standard",
    "standard": "standard",
    "low": "best_effort",
    "scavenger": "best_effort",
    "best_effort": "best_effort",
}
CONSTRAINTS = ("ordinary", "spot", "scatter", "onezone")
ACCOUNT_VARIABLE = "BADGERSEAM_ACCOUNT"
SCRIPT_OPTION_PREFIX = "#SBATCH"

REFUSED_OPTIONS = {
    "nodes": "a task takes one machine; say --ntasks",
    "nodelist": "machines come and go; say --zone or --partition",
    "exclude": "machines come and go; failed ones are avoided without being told",
    "exclusive": "ask for the CPUs of the whole machine type",
    "output": "the service keeps no output yet",
    "error": "the service keeps no output yet",
    "input": "the service sends no files yet",
    "chdir": "the service's workers have no shared file system",
    "export": "tasks run in their image's own environment",
    "mail-type": "notifications come with a later release",
    "mail-user": "notifications come with a later release",
    "signal": "a task is told to save by --save-time before it is stopped",
    "reservation": "there are no reservations; guarantees are the teams' own",
    "licenses": "licenses are not counted",
    "no-requeue": "a task that loses its machine is always run again",
    "priority": "ranks go by --qos, order within a rank by --deadline",
    "nice": "order within a rank follows deadlines; say --qos or --deadline",
    "kill-on-invalid-dep": "a job whose dependency can never be met waits until it is cancelled",
}
"""Options of sbatch that are refused, and why."""


class SubmissionError(BadgerseamError):
    """What was typed cannot be submitted; the message says what to change."""


class _SubmissionParser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise SubmissionError(message)


class _RefusingAction(argparse.Action):
    def __init__(self, *args: Any, why: str = "", **kwargs: Any) -> None:
        kwargs["nargs"] = "?"
        super().__init__(*args, **kwargs)
        self.why = why

    def __call__(
        self,
        parser: argparse.ArgumentParser,
        namespace: argparse.Namespace,
        given: object,
        option_string: str | None = None,
    ) -> None:
        raise SubmissionError(f"{option_string}: not to be had here: {self.why}")


def _argument_type(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    def convert(text: str) -> Any:
        try:
            return parse(text)
        except values.ValueFormatError as error:
            raise argparse.ArgumentTypeError(str(error)) from error

    return convert


def _parse_positive(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise values.ValueFormatError(f"{text!r} is no number from 1 on")
    return int(text)


def _parse_amount(text: str) -> float:
    try:
        found = float(text)
    except ValueError as error:
        raise values.ValueFormatError(f"{text!r} is no number") from error
    if not 0 <= found <= 1e9:
        raise values.ValueFormatError(f"{text!r} is not from 0 to 1e9")
    return found


def make_parser() -> argparse.ArgumentParser:
    """The options of a job."""
    made = _SubmissionParser(prog="bsbatch", description="Submit a batch job.", allow_abbrev=False)
    add = made.add_argument
    add("-J", "--job-name")
    add("-A", "--account", help=f"the team ({ACCOUNT_VARIABLE} if not given)")
    add("-q", "--qos", choices=sorted(PRIORITIES), help="the rank (default normal)")
    add("-n", "--ntasks", type=_argument_type(_parse_positive), help="tasks that run only together")
    add("-a", "--array", type=_argument_type(values.parse_array), help="0-99, 0-99%%10, 1,3,5")
    add("-c", "--cpus-per-task", type=_argument_type(_parse_positive), help="default 1")
    add(
        "--mem",
        type=_argument_type(values.parse_memory_gb),
        help="of a task: 4G, 512M (default 1G)",
    )
    add("--mem-per-cpu", type=_argument_type(values.parse_memory_gb))
    add("-G", "--gpus", "--gpus-per-task", type=_argument_type(_parse_positive), help="of a task")
    add(
        "-t",
        "--time",
        type=_argument_type(values.parse_duration_s),
        help="how long a task runs, as you guess",
    )
    add("--deadline", help="when it should be complete: now+2hours, 16:00, a date")
    add("-b", "--begin", help="not before: now+2hours, 16:00, a date")
    add("-d", "--dependency", type=_argument_type(values.parse_dependencies))
    add("-H", "--hold", action="store_true", default=None)
    add("-C", "--constraint", help=f"of {', '.join(CONSTRAINTS)}, joined by &")
    add("-p", "--partition", help="machine types, with commas")
    add("--zone", help="the only zone")
    add("--container", help="the image (default: the job's name)")
    add("--image-gb", type=_argument_type(_parse_amount), help="its size")
    add(
        "--checkpoint",
        type=_argument_type(values.parse_duration_s),
        help="a task saves by itself so often",
    )
    add("--save-time", type=_argument_type(_parse_amount), help="seconds that a task needs to save")
    add("--job-class", help="what operators' aims name (default: the job's name)")
    add("--service", action="store_true", default=None, help="tasks run until cancelled")
    add("--requeue", action="store_true", default=None, help="always so")
    add("--comment")
    for name, why in REFUSED_OPTIONS.items():
        short = {"nodes": ["-N"], "nodelist": ["-w"], "output": ["-o"], "error": ["-e"]}
        short |= {"exclude": ["-x"], "chdir": ["-D"], "input": ["-i"], "licenses": ["-L"]}
        add(
            *short.get(name, []),
            f"--{name}",
            action=_RefusingAction,
            why=why,
            help=argparse.SUPPRESS,
        )
    return made


def make_command_parser() -> argparse.ArgumentParser:
    """The options of a job and of the command itself."""
    made = make_parser()
    made.add_argument("script", nargs="?", help="a script with #SBATCH lines, - for standard input")
    made.add_argument("--wrap", help="instead of a script")
    made.add_argument("--parsable", action="store_true", help="print the number alone")
    made.add_argument("--test-only", action="store_true", help="check, and submit nothing")
    made.add_argument("-W", "--wait", action="store_true", help="until it has ended")
    made.add_argument("script_args", nargs="*", help=argparse.SUPPRESS)
    return made


def script_options(text: str) -> list[str]:
    """The options in a script's #SBATCH lines, up to its first command."""
    found: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        bare = line.strip()
        if bare.startswith(SCRIPT_OPTION_PREFIX):
            try:
                found += shlex.split(bare[len(SCRIPT_OPTION_PREFIX) :], comments=True)
            except ValueError as error:
                raise SubmissionError(f"line {number}: {error}") from error
        elif bare and not bare.startswith("#"):
            break
    return found


@dataclass(slots=True)
class Draft:
    """A job, but for what only the service can tell: its number and those of its dependencies."""

    options: argparse.Namespace
    depends: values.DependencyList | None

    def submission(
        self, job_id: str, depends: list[Dependency], nonce: str, now: datetime
    ) -> Submission:
        """The job as the service takes it."""
        o = self.options
        name = o.job_name or "batch"
        features = _parse_constraints(o.constraint)
        array: values.ArrayIndices | None = o.array
        tasks = array.count if array is not None else o.ntasks or 1
        cpus = float(o.cpus_per_task or 1)
        memory = o.mem or (o.mem_per_cpu * cpus if o.mem_per_cpu else 1.0)
        gang = array is None and tasks > 1 and not o.service
        terms = Terms(
            name,
            _user_name(),
            bool(o.hold),
            None if o.begin is None else _parse_time(values.parse_begin, o.begin, now).timestamp(),
            None if array is None else array.throttle,
            depends,
            self.depends.any if self.depends else False,
            self.depends.singleton if self.depends else False,
            0 if array is None else array.first,
            1 if array is None else array.step,
            nonce,
            o.comment,
        )
        due = None
        if o.deadline is not None:
            due = (_parse_time(values.parse_begin, o.deadline, now) - now).total_seconds()
            if due <= 0:
                raise SubmissionError(f"--deadline: {o.deadline!r} is not in the future")
        return Submission(
            id=job_id,
            job_class=o.job_class or name,
            team=o.account,
            kind="standing" if o.service else "group" if gang else "sweep",
            priority=PRIORITIES[o.qos or "normal"],  # type: ignore[arg-type]
            tasks=tasks,
            cpus=cpus,
            gpus=float(o.gpus or 0),
            memory_gb=round(memory, 6),
            image=o.container or name,
            image_gb=o.image_gb or 0.0,
            one_zone="onezone" in features,
            spread="scatter" in features,
            spot="ordinary" not in features,
            estimate_s=0.0 if o.service else o.time or 60.0,
            checkpoint_s=o.checkpoint or 0.0,
            save_s=o.save_time or 0.0,
            types=None if o.partition is None else o.partition.split(","),
            zone=o.zone,
            deadline_s=due,
            terms=terms,
        )


def make_draft(command: argparse.Namespace, script: str) -> Draft:
    """The options of the script and of the command line, the latter first; Problem if they cannot
    be taken."""
    options = make_parser().parse_args(script_options(script))
    for name in vars(options):
        given = getattr(command, name, None)
        if given is not None:
            setattr(options, name, given)
    options.account = options.account or os.environ.get(ACCOUNT_VARIABLE)
    if not options.account:
        raise SubmissionError(f"--account: name your team, here or in {ACCOUNT_VARIABLE}")
    if options.array is not None and (options.ntasks or 1) > 1:
        raise SubmissionError(
            "--array, --ntasks: tasks of an array run one by one; give one of the two"
        )
    if options.mem is not None and options.mem_per_cpu is not None:
        raise SubmissionError("--mem, --mem-per-cpu: give one of the two")
    if options.service and (options.array is not None or options.time is not None):
        raise SubmissionError(
            "--service: runs until it is cancelled; it takes no --array and no --time"
        )
    features = _parse_constraints(options.constraint)
    if {"ordinary", "spot"} <= features:
        raise SubmissionError("--constraint: ordinary and spot exclude one another")
    if {"onezone", "scatter"} <= features:
        raise SubmissionError("--constraint: onezone and scatter exclude one another")
    return Draft(options, options.dependency)


def read_script(command: argparse.Namespace, stdin: Callable[[], str]) -> str:
    """The script's text; Problem if there is none, or two."""
    if command.wrap is not None:
        if command.script is not None:
            raise SubmissionError("--wrap: there is a script as well; give one of the two")
        return f"#!/bin/sh\n{command.wrap}\n"
    if command.script is None:
        raise SubmissionError("a script, or --wrap, is needed")
    try:
        text = stdin() if command.script == "-" else Path(command.script).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SubmissionError(f"{command.script}: {error}") from error
    if not text.startswith("#!"):
        raise SubmissionError(
            f"{command.script}: a batch script begins with #! and its interpreter"
        )
    return text


def parse_command(arguments: Sequence[str]) -> argparse.Namespace:
    """The command line of bsbatch; Problem if it cannot be taken."""
    found = make_command_parser().parse_args(arguments)
    if found.script_args:
        raise SubmissionError("arguments of the script: the service sends none to tasks yet")
    return found


def _parse_constraints(text: str | None) -> set[str]:
    found = set() if text is None else {part.strip().lower() for part in text.split("&")}
    unknown = sorted(found - set(CONSTRAINTS))
    if unknown:
        raise SubmissionError(
            f"--constraint: {', '.join(unknown)}: there are {', '.join(CONSTRAINTS)}"
        )
    return found


def _parse_time(
    parse_time: Callable[[str, datetime], datetime], text: str, now: datetime
) -> datetime:
    try:
        return parse_time(text, now)
    except values.ValueFormatError as error:
        raise SubmissionError(str(error)) from error


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return str(os.getuid())
