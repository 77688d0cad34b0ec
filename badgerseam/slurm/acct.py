"""bsacct: accounting of jobs that have ended and of their attempts, and totals by team and day."""

from __future__ import annotations

import argparse
import csv
import json
import sys
from collections.abc import AsyncIterator, Callable
from datetime import datetime

import msgspec

from badgerseam.slurm.client import BatchClient
from badgerseam.slurm.states import PHASE_STATES, parse_states
from badgerseam.slurm.table import Field, R, Table
from badgerseam.slurm.values import ValueFormatError, parse_begin
from badgerseam.wire.accounting import AccountingLine, AttemptLine, DayTotal

DEFAULT_FORMAT = (
    "JobID:12,JobName:14,Account:10,State:10,NTasks:.7,Attempts:.9,Elapsed:.10,CPUTime:.12"
)
TOTALS_FORMAT = (
    "Day:10,Account:14,Jobs:.7,Cancelled:.10,Attempts:.9,CPUTime:.14,Wasted:.14,Money:.12"
)

END_PHASES = ("done", "withdrawn")
"""The service's phases of jobs that have ended."""


def _format_time(at: float | None) -> str:
    return "Unknown" if at is None else datetime.fromtimestamp(at).strftime("%Y-%m-%dT%H:%M:%S")


def _format_duration(seconds: float) -> str:
    hours, rest = divmod(round(seconds), 3600)
    minutes, rest = divmod(rest, 60)
    return f"{hours:02}:{minutes:02}:{rest:02}"


def _job_number(line: AccountingLine) -> str:
    return line.id.partition("-")[2].lstrip("0") or "0"


def _format_planned(line: AccountingLine) -> str:
    if line.eligible_at is None or line.started_at is None:
        return "Unknown"
    return _format_duration(max(0.0, line.started_at - line.eligible_at))


def _format_ends(line: AccountingLine) -> str:
    return ";".join(f"{cause}={count}" for cause, count in line.ends.items())


JOB_FIELDS: list[Field[AccountingLine]] = [
    Field("", "JobID", "JobID", _job_number),
    Field("", "Id", "Id", lambda line: line.id),
    Field("", "JobName", "JobName", lambda line: line.name or line.job_class),
    Field("", "Account", "Account", lambda line: line.team),
    Field("", "User", "User", lambda line: line.user or ""),
    Field("", "QOS", "QOS", lambda line: line.priority),
    Field("", "State", "State", lambda line: PHASE_STATES[line.state]),
    Field("", "ExitCode", "ExitCode", lambda line: "0:0" if line.state == "done" else "0:15"),
    Field("", "Submit", "Submit", lambda line: _format_time(line.submitted_at)),
    Field("", "Eligible", "Eligible", lambda line: _format_time(line.eligible_at)),
    Field("", "Start", "Start", lambda line: _format_time(line.started_at)),
    Field("", "End", "End", lambda line: _format_time(line.ended_at)),
    Field("", "Planned", "Planned", _format_planned),
    Field("", "Elapsed", "Elapsed", lambda line: _format_duration(_elapsed_s(line))),
    Field("", "NTasks", "NTasks", lambda line: str(line.tasks)),
    Field("", "AllocCPUS", "AllocCPUS", lambda line: f"{line.cpus * line.tasks:g}"),
    Field("", "CPUTime", "CPUTime", lambda line: _format_duration(line.useful_s * line.cpus)),
    Field("", "CPUTimeRAW", "CPUTimeRAW", lambda line: f"{line.useful_s * line.cpus:.3f}"),
    Field("", "Wasted", "Wasted", lambda line: _format_duration(line.wasted_s * line.cpus)),
    Field("", "WastedRAW", "WastedRAW", lambda line: f"{line.wasted_s * line.cpus:.3f}"),
    Field("", "Attempts", "Attempts", lambda line: str(line.attempts)),
    Field("", "Unmeasured", "Unmeasured", lambda line: str(line.unmeasured)),
    Field("", "Complete", "Complete", lambda line: "yes" if line.complete else "no"),
    Field("", "Ends", "Ends", _format_ends),
    Field("", "Money", "Money", lambda line: f"{line.money:.4f}"),
]
ATTEMPTS_FORMAT = (
    "JobID:16,Attempt:.7,Machine:12,State:10,Seconds:.10,Start:20,End:20,EvictedFor:14"
)
ATTEMPT_FIELDS: list[Field[AttemptLine]] = [
    Field("", "JobID", "JobID", lambda line: f"{line.id.partition('-')[2]}_{line.task}"),
    Field("", "Attempt", "Attempt", lambda line: str(line.attempt)),
    Field("", "Machine", "Machine", lambda line: line.machine),
    Field("", "Partition", "Partition", lambda line: line.type),
    Field("", "Zone", "Zone", lambda line: line.zone),
    Field("", "Spot", "Spot", lambda line: "yes" if line.spot else "no"),
    Field("", "State", "State", lambda line: line.cause),
    Field("", "Placed", "Placed", lambda line: _format_time(line.placed_at)),
    Field("", "Start", "Start", lambda line: _format_time(_started_at(line))),
    Field("", "End", "End", lambda line: _format_time(line.ended_at)),
    Field("", "Seconds", "Seconds", lambda line: _format_or_unknown(line.seconds, "{:.3f}")),
    Field("", "Money", "Money", lambda line: f"{line.money:.6f}"),
    Field("", "EvictedFor", "EvictedFor", lambda line: line.evicted_for or ""),
    Field("", "Cost", "Cost", lambda line: _format_or_unknown(line.cost, "{:.4f}")),
]
TOTAL_FIELDS: list[Field[DayTotal]] = [
    Field("", "Day", "Day", lambda total: total.day),
    Field("", "Account", "Account", lambda total: total.team),
    Field("", "Jobs", "Jobs", lambda total: str(total.jobs)),
    Field("", "Cancelled", "Cancelled", lambda total: str(total.cancelled)),
    Field("", "Attempts", "Attempts", lambda total: str(total.attempts)),
    Field("", "Unmeasured", "Unmeasured", lambda total: str(total.unmeasured)),
    Field("", "CPUTime", "CPUTime", lambda total: _format_duration(total.useful_cpu_s)),
    Field("", "Wasted", "Wasted", lambda total: _format_duration(total.wasted_cpu_s)),
    Field("", "Money", "Money", lambda total: f"{total.money:.4f}"),
]


def _started_at(line: AttemptLine) -> float | None:
    return None if line.seconds is None else line.ended_at - line.seconds


def _format_or_unknown(value: float | None, template: str) -> str:
    return "unknown" if value is None else template.format(value)


def _elapsed_s(line: AccountingLine) -> float:
    return 0.0 if line.started_at is None else max(0.0, line.ended_at - line.started_at)


def make_parser(
    add_node_option: Callable[[argparse.ArgumentParser], None],
) -> argparse.ArgumentParser:
    """Returns the parser of bsacct's arguments."""
    parser = argparse.ArgumentParser(prog="bsacct", description="List jobs that have ended.")
    parser.add_argument("-j", "--jobs", help="job numbers or ids, separated by commas")
    parser.add_argument("-A", "--account", help="only jobs of this team")
    parser.add_argument("-u", "--user")
    parser.add_argument("--name")
    parser.add_argument("-s", "--state", help="COMPLETED or CANCELLED, or an abbreviation")
    parser.add_argument(
        "-S", "--starttime", help="only jobs that ended at this time or later: 08:00, a date, now"
    )
    parser.add_argument("-E", "--endtime", help="only jobs that ended at this time or earlier")
    parser.add_argument("-o", "--format", help="field names with widths, separated by commas")
    parser.add_argument("-n", "--noheader", action="store_true")
    parser.add_argument("-P", "--parsable2", action="store_true", help="separate fields by |")
    parser.add_argument("--csv", action="store_true", help="print CSV, line by line as it arrives")
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--attempts", action="store_true", help="list the attempts of the jobs given by -j"
    )
    parser.add_argument("--totals", action="store_true", help="print totals by team and day (UTC)")
    add_node_option(parser)
    return parser


def parse_filters(options: argparse.Namespace, now: datetime) -> dict[str, str]:
    """Returns the query parameters that select jobs; ValueFormatError names an invalid option."""
    query: dict[str, str] = {}
    for name, value in (("team", options.account), ("user", options.user), ("name", options.name)):
        if value is not None:
            query[name] = value
    for name, text in (("since", options.starttime), ("until", options.endtime)):
        if text is not None:
            query[name] = f"{_parse_past_time(text, now).timestamp():.3f}"
    if options.state is not None:
        phases = _parse_end_phases(options.state)
        if len(phases) == 1:
            query["state"] = phases[0]
    return query


def _parse_past_time(text: str, now: datetime) -> datetime:
    """Parses a time in the past; a time of day is the latest such time, not the next one."""
    time = parse_begin(text, now)
    is_time_of_day = ":" in text and "T" not in text and "-" not in text
    if time > now and is_time_of_day:
        return time.replace(day=now.day, month=now.month, year=now.year)
    return time


def _parse_end_phases(text: str) -> list[str]:
    """Returns the phases of ended jobs in a list of states such as CD,CANCELLED."""
    try:
        states = parse_states(text)
    except ValueError as error:
        raise ValueFormatError(f"--state: {error}") from error
    phases = [phase for phase in END_PHASES if PHASE_STATES[phase] in states]
    if not phases:
        raise ValueFormatError("--state: jobs of this service end only as COMPLETED or CANCELLED")
    return phases


async def _matching_jobs(
    batch: BatchClient, options: argparse.Namespace
) -> AsyncIterator[AccountingLine]:
    query = parse_filters(options, datetime.now().astimezone())
    if options.jobs is None:
        async for line in batch.accounting(query):
            yield line
        return
    for job in options.jobs.split(","):
        job_id = await batch.resolve_id(job.strip())
        async for line in batch.accounting(query | {"job": job_id}):
            yield line


async def run(batch: BatchClient, options: argparse.Namespace) -> None:
    """Prints totals, attempts or jobs, depending on the options."""
    if options.totals:
        await _print_totals(batch, options)
    elif options.attempts:
        await _print_attempts(batch, options)
    elif options.csv:
        await _print_jobs_as_csv(batch, options)
    else:
        table = Table(JOB_FIELDS)
        # An invalid format is reported before any request is sent.
        table.columns_by_name(options.format or DEFAULT_FORMAT)
        lines = [line async for line in _matching_jobs(batch, options)]
        _print_table(table, options.format or DEFAULT_FORMAT, lines, options)


async def _print_totals(batch: BatchClient, options: argparse.Namespace) -> None:
    totals = await batch.totals()
    totals = [total for total in totals if options.account in (None, total.team)]
    _print_table(Table(TOTAL_FIELDS), options.format or TOTALS_FORMAT, totals, options)


async def _print_attempts(batch: BatchClient, options: argparse.Namespace) -> None:
    if options.jobs is None:
        raise ValueFormatError("--attempts: give jobs with -j")
    attempts: list[AttemptLine] = []
    for job in options.jobs.split(","):
        job_id = await batch.resolve_id(job.strip())
        lines, end = await batch.attempts(job_id)
        attempts += lines
        if end.records < end.attempts or not end.whole:
            print(
                f"bsacct: {job_id}: {end.records} of {end.attempts} attempts have a record"
                f"{'' if end.whole else '; not all of the log was looked at'}",
                file=sys.stderr,
            )
    _print_table(Table(ATTEMPT_FIELDS), options.format or ATTEMPTS_FORMAT, attempts, options)


async def _print_jobs_as_csv(batch: BatchClient, options: argparse.Namespace) -> None:
    """Prints each job as its line arrives, so that a long list is not held in memory."""
    columns = Table(JOB_FIELDS).columns_by_name(options.format or DEFAULT_FORMAT)
    writer = csv.writer(sys.stdout, lineterminator="\n")
    if not options.noheader:
        writer.writerow([column.field.header for column in columns])
    async for line in _matching_jobs(batch, options):
        writer.writerow([column.field.value(line) for column in columns])


def _print_table(
    table: Table[R], table_format: str, rows: list[R], options: argparse.Namespace
) -> None:
    columns = table.columns_by_name(table_format)
    if options.json:
        print(json.dumps([msgspec.to_builtins(row) for row in rows], indent=2))
    elif options.parsable2:
        print(table.render_parsable(columns, rows, not options.noheader))
    else:
        print(table.render(columns, rows, not options.noheader))
