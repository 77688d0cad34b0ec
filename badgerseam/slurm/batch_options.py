"""bsbatch: options of the command line and of #SBATCH lines, and the options of sbatch refused."""

from __future__ import annotations

import argparse
import shlex
from collections.abc import Callable, Sequence
from typing import Any, NoReturn

from badgerseam.errors import BadgerseamError
from badgerseam.slurm import values

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
"""The service's priorities by QOS name."""
CONSTRAINTS = ("ordinary", "spot", "scatter", "onezone")
ACCOUNT_VARIABLE = "BADGERSEAM_ACCOUNT"
"""Environment variable with the team, used if --account is not given."""
SCRIPT_OPTION_PREFIX = "#SBATCH"
MAX_AMOUNT = 1e9

REFUSED_OPTIONS = {
    "nodes": "a task runs on one machine; use --ntasks",
    "nodelist": "machines are rented and released; use --zone or --partition",
    "exclude": "machines are rented and released; failing ones are avoided automatically",
    "exclusive": "request all CPUs of the machine type",
    "output": "the service keeps no output yet",
    "error": "the service keeps no output yet",
    "input": "the service sends no files yet",
    "chdir": "the service's workers have no shared file system",
    "export": "tasks run in their image's own environment",
    "mail-type": "notifications come with a later release",
    "mail-user": "notifications come with a later release",
    "signal": "--save-time sets the time that a task gets to save its state before it is stopped",
    "reservation": "there are no reservations; teams have guaranteed resources",
    "licenses": "licenses are not counted",
    "no-requeue": "a task that loses its machine is always run again",
    "priority": "use --qos for the priority, and --deadline for the order within a priority",
    "nice": "jobs of one priority are ordered by deadline; use --qos or --deadline",
    "kill-on-invalid-dep": "a job whose dependency can never be met waits until it is cancelled",
}
"""Options of sbatch that are refused, with the reason that is printed."""
REFUSED_SHORT_OPTIONS = {
    "nodes": "-N",
    "nodelist": "-w",
    "output": "-o",
    "error": "-e",
    "exclude": "-x",
    "chdir": "-D",
    "input": "-i",
    "licenses": "-L",
}


class SubmissionError(BadgerseamError):
    """A command line or script is invalid; the message names the option to change."""


class _SubmissionParser(argparse.ArgumentParser):
    """An argument parser that raises SubmissionError on wrong usage instead of exiting."""

    def error(self, message: str) -> NoReturn:
        raise SubmissionError(message)


class _RefusingAction(argparse.Action):
    """Refuses an option of sbatch, with or without a value, and gives the reason."""

    def __init__(self, *args: Any, reason: str = "", **kwargs: Any) -> None:
        kwargs["nargs"] = "?"
        super().__init__(*args, **kwargs)
        self.reason = reason

    def __call__(
        self,
        _parser: argparse.ArgumentParser,
        _namespace: argparse.Namespace,
        _values: object,
        option_string: str | None = None,
    ) -> None:
        raise SubmissionError(f"{option_string}: not supported: {self.reason}")


def _argument_type(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """Converts a value parser to an argparse `type=`.

    It raises ArgumentTypeError, the only exception whose message argparse shows.
    """

    def convert(text: str) -> Any:
        try:
            return parse(text)
        except values.ValueFormatError as error:
            raise argparse.ArgumentTypeError(str(error)) from error

    return convert


def _parse_positive(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise values.ValueFormatError(f"{text!r} is not a number of 1 or more")
    return int(text)


def _parse_amount(text: str) -> float:
    try:
        amount = float(text)
    except ValueError as error:
        raise values.ValueFormatError(f"{text!r} is not a number") from error
    if not 0 <= amount <= MAX_AMOUNT:
        raise values.ValueFormatError(f"{text!r} is not from 0 to 1e9")
    return amount


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of a job's options, on the command line and in scripts."""
    parser = _SubmissionParser(
        prog="bsbatch", description="Submit a batch job.", allow_abbrev=False
    )
    _add_identity_options(parser)
    _add_resource_options(parser)
    _add_time_options(parser)
    _add_placement_options(parser)
    _add_image_options(parser)
    _add_refused_options(parser)
    return parser


def _add_identity_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("-J", "--job-name")
    add("-A", "--account", help=f"the team (default: {ACCOUNT_VARIABLE})")
    add("-q", "--qos", choices=sorted(PRIORITIES), help="the priority (default normal)")


def _add_resource_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    positive = _argument_type(_parse_positive)
    memory = _argument_type(values.parse_memory_gb)
    add("-n", "--ntasks", type=positive, help="number of tasks that run only together")
    add(
        "-a",
        "--array",
        type=_argument_type(values.parse_array),
        help="indices: 0-99, 0-99%%10, 1,3,5",
    )
    add("-c", "--cpus-per-task", type=positive, help="CPUs per task (default 1)")
    add("--mem", type=memory, help="memory per task: 4G, 512M (default 1G)")
    add("--mem-per-cpu", type=memory)
    add("-G", "--gpus", "--gpus-per-task", type=positive, help="GPUs per task")


def _add_time_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    duration = _argument_type(values.parse_duration_s)
    add("-t", "--time", type=duration, help="estimated run time of a task")
    add("--deadline", help="time by which the job should be complete: now+2hours, 16:00, a date")
    add("-b", "--begin", help="earliest start: now+2hours, 16:00, a date")
    add("-d", "--dependency", type=_argument_type(values.parse_dependencies))
    add("-H", "--hold", action="store_true", default=None)


def _add_placement_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("-C", "--constraint", help=f"any of {', '.join(CONSTRAINTS)}, joined by &")
    add("-p", "--partition", help="machine types, separated by commas")
    add("--zone", help="the only zone to run in")


def _add_image_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of a task's image and of how it is run."""
    add = parser.add_argument
    amount = _argument_type(_parse_amount)
    duration = _argument_type(values.parse_duration_s)
    add("--container", help="the image (default: the job's name)")
    add("--image-gb", type=amount, help="size of the image in GB")
    add("--checkpoint", type=duration, help="interval at which a task saves its state by itself")
    add("--save-time", type=amount, help="seconds that a task needs to save its state")
    add("--job-class", help="job class, to which objectives apply (default: the job's name)")
    add("--service", action="store_true", default=None, help="tasks run until the job is cancelled")
    add("--requeue", action="store_true", default=None, help="no effect: tasks are always requeued")
    add("--comment")


def _add_refused_options(parser: argparse.ArgumentParser) -> None:
    for name, reason in REFUSED_OPTIONS.items():
        flags = [REFUSED_SHORT_OPTIONS[name]] if name in REFUSED_SHORT_OPTIONS else []
        parser.add_argument(
            *flags, f"--{name}", action=_RefusingAction, reason=reason, help=argparse.SUPPRESS
        )


def make_command_parser() -> argparse.ArgumentParser:
    """Returns the parser of a job's options and of the command's own options."""
    parser = make_parser()
    add = parser.add_argument
    add("script", nargs="?", help="a script with #SBATCH lines; - for standard input")
    add("--wrap", help="a shell command instead of a script")
    add("--parsable", action="store_true", help="print only the job number")
    add("--test-only", action="store_true", help="check the job without submitting it")
    add("-W", "--wait", action="store_true", help="wait until the job has ended")
    add("script_args", nargs="*", help=argparse.SUPPRESS)
    return parser


def script_options(text: str) -> list[str]:
    """Returns the options in a script's #SBATCH lines, up to the first command."""
    options: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith(SCRIPT_OPTION_PREFIX):
            try:
                options += shlex.split(stripped[len(SCRIPT_OPTION_PREFIX) :], comments=True)
            except ValueError as error:
                raise SubmissionError(f"line {number}: {error}") from error
        elif stripped and not stripped.startswith("#"):
            break
    return options


def parse_command(arguments: Sequence[str]) -> argparse.Namespace:
    """Parses the arguments of bsbatch; SubmissionError if they are invalid."""
    command = make_command_parser().parse_args(arguments)
    if command.script_args:
        raise SubmissionError("script arguments: the service does not pass any to tasks yet")
    return command
