"""bsbatch: the options of its command line and of #SBATCH lines, and those it refuses."""

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
"""The service's priorities by the name of a QOS."""
CONSTRAINTS = ("ordinary", "spot", "scatter", "onezone")
ACCOUNT_VARIABLE = "BADGERSEAM_ACCOUNT"
"""Names the team if --account is not given."""
SCRIPT_OPTION_PREFIX = "#SBATCH"
MAX_AMOUNT = 1e9

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
    """A command line or script cannot be submitted; the message names the option to change."""


class _SubmissionParser(argparse.ArgumentParser):
    """Raises on wrong usage, where argparse would end the process."""

    def error(self, message: str) -> NoReturn:
        raise SubmissionError(message)


class _RefusingAction(argparse.Action):
    """Refuses an option of sbatch, with or without a value, and says why."""

    def __init__(self, *args: Any, why: str = "", **kwargs: Any) -> None:
        kwargs["nargs"] = "?"
        super().__init__(*args, **kwargs)
        self.why = why

    def __call__(
        self,
        _parser: argparse.ArgumentParser,
        _namespace: argparse.Namespace,
        _values: object,
        option_string: str | None = None,
    ) -> None:
        raise SubmissionError(f"{option_string}: not to be had here: {self.why}")


def _argument_type(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """A parser of values as a `type=` of argparse, which shows the messages of one error only."""

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
        amount = float(text)
    except ValueError as error:
        raise values.ValueFormatError(f"{text!r} is no number") from error
    if not 0 <= amount <= MAX_AMOUNT:
        raise values.ValueFormatError(f"{text!r} is not from 0 to 1e9")
    return amount


def make_parser() -> argparse.ArgumentParser:
    """The parser of a job's options, which a script may have too."""
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
    add("-A", "--account", help=f"the team ({ACCOUNT_VARIABLE} if not given)")
    add("-q", "--qos", choices=sorted(PRIORITIES), help="the rank (default normal)")


def _add_resource_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    positive = _argument_type(_parse_positive)
    memory = _argument_type(values.parse_memory_gb)
    add("-n", "--ntasks", type=positive, help="tasks that run only together")
    add("-a", "--array", type=_argument_type(values.parse_array), help="0-99, 0-99%%10, 1,3,5")
    add("-c", "--cpus-per-task", type=positive, help="default 1")
    add("--mem", type=memory, help="of a task: 4G, 512M (default 1G)")
    add("--mem-per-cpu", type=memory)
    add("-G", "--gpus", "--gpus-per-task", type=positive, help="of a task")


def _add_time_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    duration = _argument_type(values.parse_duration_s)
    add("-t", "--time", type=duration, help="how long a task runs, as you guess")
    add("--deadline", help="when it should be complete: now+2hours, 16:00, a date")
    add("-b", "--begin", help="not before: now+2hours, 16:00, a date")
    add("-d", "--dependency", type=_argument_type(values.parse_dependencies))
    add("-H", "--hold", action="store_true", default=None)


def _add_placement_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("-C", "--constraint", help=f"of {', '.join(CONSTRAINTS)}, joined by &")
    add("-p", "--partition", help="machine types, with commas")
    add("--zone", help="the only zone")


def _add_image_options(parser: argparse.ArgumentParser) -> None:
    """The options of a task's image and of how it runs."""
    add = parser.add_argument
    amount = _argument_type(_parse_amount)
    duration = _argument_type(values.parse_duration_s)
    add("--container", help="the image (default: the job's name)")
    add("--image-gb", type=amount, help="its size")
    add("--checkpoint", type=duration, help="a task saves by itself so often")
    add("--save-time", type=amount, help="seconds that a task needs to save")
    add("--job-class", help="what operators' aims name (default: the job's name)")
    add("--service", action="store_true", default=None, help="tasks run until cancelled")
    add("--requeue", action="store_true", default=None, help="always so")
    add("--comment")


def _add_refused_options(parser: argparse.ArgumentParser) -> None:
    for name, why in REFUSED_OPTIONS.items():
        flags = [REFUSED_SHORT_OPTIONS[name]] if name in REFUSED_SHORT_OPTIONS else []
        parser.add_argument(
            *flags, f"--{name}", action=_RefusingAction, why=why, help=argparse.SUPPRESS
        )


def make_command_parser() -> argparse.ArgumentParser:
    """The parser of a job's options and of those of the command itself."""
    parser = make_parser()
    add = parser.add_argument
    add("script", nargs="?", help="a script with #SBATCH lines, - for standard input")
    add("--wrap", help="instead of a script")
    add("--parsable", action="store_true", help="print the number alone")
    add("--test-only", action="store_true", help="check, and submit nothing")
    add("-W", "--wait", action="store_true", help="until it has ended")
    add("script_args", nargs="*", help=argparse.SUPPRESS)
    return parser


def script_options(text: str) -> list[str]:
    """The options in a script's #SBATCH lines, up to its first command."""
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
    """The arguments of bsbatch; SubmissionError if they cannot be used."""
    command = make_command_parser().parse_args(arguments)
    if command.script_args:
        raise SubmissionError("arguments of the script: the service sends none to tasks yet")
    return command
