"""bsqueue: one line for what waits of a job, one for what runs."""

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
    """Tasks of a job in one state."""

    line: QueueLine
    state: str
    tasks: int

    @property
    def number(self) -> str:
        """The job's number; of an array with how many of its tasks the line is about."""
        digits = self.line.id.partition("-")[2].lstrip("0") or "0"
        return f"{digits}_[{self.tasks}]" if self.line.array else digits


def _elapsed_text(seconds: float) -> str:
    whole = int(seconds)
    days, rest = divmod(whole, 86400)
    hours, rest = divmod(rest, 3600)
    minutes, secs = divmod(rest, 60)
    text = f"{hours}:{minutes:02}:{secs:02}" if hours or days else f"{minutes}:{secs:02}"
    return f"{days}-{text}" if days else text


def _time_text(at: float | None) -> str:
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
    Field("M", "TimeUsed", "TIME", lambda row: _elapsed_text(row.line.age_s)),
    Field("l", "TimeLimit", "TIME_LIMIT", lambda row: _elapsed_text(row.line.estimate_s)),
    Field("D", "NumNodes", "NODES", lambda row: str(row.tasks)),
    Field("C", "NumCPUs", "CPUS", lambda row: f"{row.line.cpus * row.tasks:g}"),
    Field("m", "MinMemory", "MIN_MEMORY", lambda row: f"{row.line.memory_gb * 1024:.0f}M"),
    Field("q", "QOS", "QOS", lambda row: row.line.priority),
    Field("r", "Reason", "REASON", lambda row: reason_name(row.line) if row.tasks else "None"),
    Field("R", "ReasonList", "NODELIST(REASON)", _node_list_or_reason),
    Field("S", "StartTime", "START_TIME", lambda row: _time_text(row.line.begin_at)),
    Field("V", "SubmitTime", "SUBMIT_TIME", lambda row: _time_text(row.line.submitted_at)),
    Field("k", "Comment", "COMMENT", lambda row: row.line.comment or ""),
    Field("", "Id", "ID", lambda row: row.line.id),
    Field("", "Why", "WHY", lambda row: row.line.text or ""),
]


@dataclass(frozen=True, slots=True)
class Filters:
    """Which jobs are meant."""

    account: str | None
    user: str | None
    name: str | None
    states: set[str] | None
    jobs: set[str] | None

    def matches(self, line: QueueLine) -> bool:
        """Whether a job is among them, whatever its tasks do, its state aside."""
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
    """The states in an option; ValueProblem names an unknown one."""
    if text is None:
        return None
    try:
        return parse_states(text)
    except ValueError as error:
        raise ValueFormatError(f"--states: {error}") from error


def make_parser(node: Callable[[argparse.ArgumentParser], None]) -> argparse.ArgumentParser:
    """The options of bsqueue."""
    made = argparse.ArgumentParser(
        prog="bsqueue", description="List open jobs.", conflict_handler="resolve"
    )
    made.add_argument("-j", "--jobs", help="numbers, with commas")
    made.add_argument("-A", "--account", help="the team")
    made.add_argument("-u", "--user")
    made.add_argument("--me", action="store_true")
    made.add_argument("-n", "--name")
    made.add_argument("-t", "--states", help="PENDING, RUNNING or short, with commas")
    made.add_argument(
        "-o", "--format", help=f"letters (default {DEFAULT_FORMAT.replace('%', '%%')})"
    )
    made.add_argument("-O", "--Format", dest="long", help="names, with commas")
    made.add_argument("-h", "--noheader", action="store_true")
    made.add_argument("--parsable2", action="store_true", help="fields joined by |")
    made.add_argument("--json", action="store_true")
    node(made)
    return made


def select_rows(lines: list[QueueLine], options: argparse.Namespace) -> list[QueueRow]:
    """What is to be listed, in the order of the numbers."""
    jobs = None if options.jobs is None else {j.strip() for j in options.jobs.split(",")}
    user = getpass.getuser() if options.me else options.user
    wanted = parse_states_option(options.states)
    filters = Filters(options.account, user, options.name, None, jobs)
    found: list[QueueRow] = []
    for line in sorted(lines, key=lambda line: int(_job_number(line.id) or "0")):
        if not filters.matches(line):
            continue
        if line.waiting or not line.running:
            found.append(QueueRow(line, "PENDING", line.waiting))
        if line.running:
            found.append(QueueRow(line, "RUNNING", line.running))
    return [row for row in found if wanted is None or row.state in wanted]


def render_rows(found: list[QueueRow], options: argparse.Namespace) -> str:
    """The list as it is printed."""
    table = Table(FIELDS)
    if options.json:
        names = [field for field in FIELDS if field.name != "ReasonList"]
        return json.dumps([{f.name: f.value(row) for f in names} for row in found], indent=2)
    columns = (
        table.columns_by_name(options.long)
        if options.long
        else table.columns_by_letter(options.format or DEFAULT_FORMAT)
    )
    if options.parsable2:
        return table.render_parsable(columns, found, not options.noheader)
    return table.render(columns, found, not options.noheader)
