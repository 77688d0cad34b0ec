"""bsqueue: lists open jobs, with separate lines for a job's waiting and running tasks."""

from __future__ import annotations

import argparse
import getpass
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from badgerseam.slurm.states import STATE_ABBREVIATIONS, parse_states, reason_name
from badgerseam.slurm.table import Field, Table
from badgerseam.slurm.values import ValueFormatError
from badgerseam.wire.explain import QueueLine

DEFAULT_FORMAT = "%.18i %.9P %.12j %.8u %.2t %.10M %.6D %R"


@dataclass(frozen=True, slots=True)
class QueueRow:
    """A row of the list: the tasks of a job that are in the same state."""

    line: QueueLine
    state: str
    tasks: int

    @property
    def number(self) -> str:
        """The job's number; for an array, followed by the number of tasks in this row."""
        digits = _job_number(self.line.id) or "0"
        return f"{digits}_[{self.tasks}]" if self.line.array else digits


def _format_elapsed(seconds: float) -> str:
    days, rest = divmod(int(seconds), 86400)
    hours, rest = divmod(rest, 3600)
    minutes, rest = divmod(rest, 60)
    text = f"{hours}:{minutes:02}:{rest:02}" if hours or days else f"{minutes}:{rest:02}"
    return f"{days}-{text}" if days else text


def _format_time(at: float | None) -> str:
    return "N/A" if at is None else datetime.fromtimestamp(at).strftime("%Y-%m-%dT%H:%M:%S")


def _node_list_or_reason(row: QueueRow) -> str:
    return f"({reason_name(row.line)})" if row.state == "PENDING" else ""


FIELDS: list[Field[QueueRow]] = [
    Field("i", "JobID", "JOBID", lambda row: row.number),
    Field("A", "JobArrayID", "JOBID", lambda row: row.number.partition("_")[0]),
    Field("P", "Partition", "PARTITION", lambda row: ",".join(row.line.types or ["any"])),
    Field("j", "Name", "NAME", lambda row: row.line.name or row.line.job_class),
    Field("u", "UserName", "USER", lambda row: row.line.user or ""),
    Field("a", "Account", "ACCOUNT", lambda row: row.line.team),
    Field("t", "StateCompact", "ST", lambda row: STATE_ABBREVIATIONS[row.state]),
    Field("T", "State", "STATE", lambda row: row.state),
    Field("M", "TimeUsed", "TIME", lambda row: _format_elapsed(row.line.age_s)),
    Field("l", "TimeLimit", "TIME_LIMIT", lambda row: _format_elapsed(row.line.estimate_s)),
    Field("D", "NumNodes", "NODES", lambda row: str(row.tasks)),
    Field("C", "NumCPUs", "CPUS", lambda row: f"{row.line.cpus * row.tasks:g}"),
    Field("m", "MinMemory", "MIN_MEMORY", lambda row: f"{row.line.memory_gb * 1024:.0f}M"),
    Field("q", "QOS", "QOS", lambda row: row.line.priority),
    Field("r", "Reason", "REASON", lambda row: reason_name(row.line) if row.tasks else "None"),
    Field("R", "ReasonList", "NODELIST(REASON)", _node_list_or_reason),
    Field("S", "StartTime", "START_TIME", lambda row: _format_time(row.line.begin_at)),
    Field("V", "SubmitTime", "SUBMIT_TIME", lambda row: _format_time(row.line.submitted_at)),
    Field("k", "Comment", "COMMENT", lambda row: row.line.comment or ""),
    Field("", "Id", "ID", lambda row: row.line.id),
    Field("", "Why", "WHY", lambda row: row.line.text or ""),
]


@dataclass(frozen=True, slots=True)
class Filters:
    """Conditions that a job must meet to be listed or cancelled; None means no condition."""

    account: str | None
    user: str | None
    name: str | None
    states: set[str] | None
    jobs: set[str] | None

    def matches(self, line: QueueLine) -> bool:
        """Whether a job matches; `states` is compared with the phase of the job, not of tasks."""
        return (
            self.account in (None, line.team)
            and self.user in (None, line.user)
            and self.name in (None, line.name)
            and (self.jobs is None or bool({line.id, _job_number(line.id)} & self.jobs))
            and (self.states is None or line.phase.upper() in self.states)
        )


def _job_number(job: str) -> str:
    return job.partition("-")[2].lstrip("0")


def parse_states_option(text: str | None) -> set[str] | None:
    """Parses the value of --states; ValueFormatError names an unknown state."""
    if text is None:
        return None
    try:
        return parse_states(text)
    except ValueError as error:
        raise ValueFormatError(f"--states: {error}") from error


def make_parser(
    add_node_option: Callable[[argparse.ArgumentParser], None],
) -> argparse.ArgumentParser:
    """Returns the parser of bsqueue's arguments."""
    parser = argparse.ArgumentParser(
        prog="bsqueue", description="List open jobs.", conflict_handler="resolve"
    )
    parser.add_argument("-j", "--jobs", help="job numbers, separated by commas")
    parser.add_argument("-A", "--account", help="only jobs of this team")
    parser.add_argument("-u", "--user")
    parser.add_argument("--me", action="store_true")
    parser.add_argument("-n", "--name")
    parser.add_argument(
        "-t", "--states", help="PENDING, RUNNING or abbreviations, separated by commas"
    )
    default_format = DEFAULT_FORMAT.replace("%", "%%")
    parser.add_argument("-o", "--format", help=f"fields by letter (default {default_format})")
    parser.add_argument("-O", "--Format", dest="long", help="fields by name, separated by commas")
    parser.add_argument("-h", "--noheader", action="store_true")
    parser.add_argument("--parsable2", action="store_true", help="separate fields by |")
    parser.add_argument("--json", action="store_true")
    add_node_option(parser)
    return parser


def select_rows(lines: list[QueueLine], options: argparse.Namespace) -> list[QueueRow]:
    """Returns the rows that the options select, ordered by job number."""
    jobs = None if options.jobs is None else {job.strip() for job in options.jobs.split(",")}
    user = getpass.getuser() if options.me else options.user
    states = parse_states_option(options.states)
    # A job may have two rows in different states, so states are compared per row below.
    filters = Filters(options.account, user, options.name, None, jobs)
    rows: list[QueueRow] = []
    for line in sorted(lines, key=lambda line: int(_job_number(line.id) or "0")):
        if not filters.matches(line):
            continue
        if line.waiting or not line.running:
            rows.append(QueueRow(line, "PENDING", line.waiting))
        if line.running:
            rows.append(QueueRow(line, "RUNNING", line.running))
    return [row for row in rows if states is None or row.state in states]


def render_rows(rows: list[QueueRow], options: argparse.Namespace) -> str:
    """Returns the list as text: JSON, fields separated by |, or columns."""
    table = Table(FIELDS)
    if options.json:
        fields = [field for field in FIELDS if field.name != "ReasonList"]
        return json.dumps([{f.name: f.value(row) for f in fields} for row in rows], indent=2)
    if options.long:
        columns = table.columns_by_name(options.long)
    else:
        columns = table.columns_by_letter(options.format or DEFAULT_FORMAT)
    if options.parsable2:
        return table.render_parsable(columns, rows, not options.noheader)
    return table.render(columns, rows, not options.noheader)
