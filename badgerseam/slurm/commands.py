"""The commands bsbatch, bsqueue, bscancel, bsinfo, bscontrol and bsacct."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import secrets
import sys
from collections.abc import Callable, Coroutine, Sequence
from datetime import datetime
from typing import Any

import msgspec

from badgerseam.cli.client import DEFAULT_NODE, NODES_VARIABLE, ServiceClient, UnreachableError
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE
from badgerseam.slurm import acct, control, queue, submit, values
from badgerseam.slurm.batch_options import SubmissionError, parse_command
from badgerseam.slurm.client import BatchClient, RefusedError
from badgerseam.slurm.states import NODE_STATES
from badgerseam.slurm.table import Field, Table, TableFormatError
from badgerseam.wire import batch as wire
from badgerseam.wire.users import Dependency

WAIT_POLL_INTERVAL_S = 2.0
PATIENCE_S = 60.0
"""Seconds for which a request is retried that was refused temporarily or got no response."""
READ_PATIENCE_S = 10.0
"""The same for commands that only read: these fail sooner if no controller responds."""
DRAFT_JOB_ID, DRAFT_NONCE = "job-1", "x"
"""Placeholders for the job id and the nonce where a job is only checked, not submitted."""


def _print_error(name: str, text: str) -> None:
    print(f"{name}: error: {text}", file=sys.stderr)


def _run_with_client(
    name: str,
    work: Callable[[BatchClient], Coroutine[Any, Any, int]],
    node: str | None,
    patience_s: float = PATIENCE_S,
) -> int:
    """Runs a command's work with a client of the nodes; returns the exit code, also on errors."""
    nodes = node or os.environ.get(NODES_VARIABLE, DEFAULT_NODE)
    try:
        return asyncio.run(work(BatchClient(ServiceClient(nodes, patience_s))))
    except (SubmissionError, TableFormatError, values.ValueFormatError) as error:
        _print_error(name, str(error))
        return EXIT_USAGE
    except RefusedError as error:
        _print_error(name, str(error))
        return EXIT_FAILED
    except UnreachableError as error:
        _print_error(name, str(error))
        return EXIT_UNREACHABLE
    except KeyboardInterrupt:
        return EXIT_FAILED


def _add_node_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--node", help=f"addresses of controllers, separated by commas (default: {NODES_VARIABLE})"
    )


# ---- bsbatch ----


def bsbatch(arguments: Sequence[str] | None = None) -> int:
    """Submits a job and returns the exit code."""
    try:
        command = _parse_batch_arguments(sys.argv[1:] if arguments is None else arguments)
        script = submit.read_script(command, sys.stdin.read)
        draft = submit.make_draft(command, script)
        # Errors that can be detected without the service are reported before any request.
        draft.submission(DRAFT_JOB_ID, [], DRAFT_NONCE, datetime.now().astimezone())
    except (SubmissionError, values.ValueFormatError) as error:
        _print_error("bsbatch", str(error))
        return EXIT_USAGE
    return _run_with_client("bsbatch", lambda batch: _submit(batch, command, draft), command.node)


def _parse_batch_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    # --node belongs to the command, not to the job, so it is removed before the options of the
    # script and of the command line are merged.
    node_parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    _add_node_option(node_parser)
    node_options, rest = node_parser.parse_known_args(arguments)
    command = parse_command(rest)
    command.node = node_options.node
    return command


async def _submit(batch: BatchClient, command: argparse.Namespace, draft: submit.Draft) -> int:
    now = datetime.now().astimezone()
    dependencies = await _resolve_dependencies(batch, draft.dependencies)
    if command.test_only:
        spec = draft.submission(DRAFT_JOB_ID, dependencies, DRAFT_NONCE, now)
        print(f"bsbatch: would be submitted: {msgspec.json.encode(spec).decode()}")
        return EXIT_OK
    while True:
        number = (await batch.claim_numbers(1))[0]
        job_id = f"job-{number}"
        spec = draft.submission(job_id, dependencies, secrets.token_hex(8), now)
        if await batch.submit(spec):
            break
        # Another client has submitted a job with this id in the meantime: try the next number.
    print(number if command.parsable else f"Submitted batch job {number}", flush=True)
    if not command.parsable:
        print(
            f"bsbatch: note: workers run the image {spec.image}; a script's commands are not sent "
            "to them yet",
            file=sys.stderr,
        )
    return await _wait_for_end(batch, job_id) if command.wait else EXIT_OK


async def _resolve_dependencies(
    batch: BatchClient, dependencies: values.DependencyList | None
) -> list[Dependency]:
    if dependencies is None:
        return []
    ids = {}
    for entry in dependencies.entries:
        ids[entry.job] = await batch.resolve_id(entry.job)
    return values.resolve_dependencies(dependencies, ids)


async def _wait_for_end(batch: BatchClient, job_id: str) -> int:
    while True:
        phase = await batch.phase(job_id)
        if phase in ("done", "withdrawn"):
            return EXIT_OK if phase == "done" else EXIT_FAILED
        await asyncio.sleep(WAIT_POLL_INTERVAL_S)


# ---- bscancel ----


def bscancel(arguments: Sequence[str] | None = None) -> int:
    """Cancels jobs by number, or all jobs that match, and returns the exit code."""
    parser = argparse.ArgumentParser(prog="bscancel", description="Cancel jobs.")
    parser.add_argument("jobs", nargs="*", help="job numbers, or ids such as job-000412")
    parser.add_argument("-A", "--account", help="only jobs of this team")
    parser.add_argument("-n", "--name", help="only jobs with this name")
    parser.add_argument("-u", "--user")
    parser.add_argument("-t", "--state", help="only jobs in this state: PENDING or RUNNING")
    parser.add_argument("-v", "--verbose", action="store_true")
    _add_node_option(parser)
    options = parser.parse_args(arguments)
    filters = (options.account, options.name, options.user, options.state)
    if not options.jobs and not any(filters):
        _print_error("bscancel", "give jobs, or a filter (--account, --name, --user, --state)")
        return EXIT_USAGE
    return _run_with_client("bscancel", lambda batch: _cancel(batch, options), options.node)


async def _cancel(batch: BatchClient, options: argparse.Namespace) -> int:
    ids, failed = await _resolve_named_jobs(batch, options.jobs)
    filters = queue.Filters(
        options.account,
        options.user,
        options.name,
        queue.parse_states_option(options.state),
        None,
    )
    if not options.jobs:
        ids = [line.id for line in await batch.queue(False) if filters.matches(line)]
    elif any((options.account, options.name, options.user, options.state)):
        matching = {line.id for line in await batch.queue(False) if filters.matches(line)}
        ids = [job for job in ids if job in matching]
    for job in ids:
        phase = await batch.cancel(job)
        if phase == "done":
            _print_error("bscancel", f"{job}: the job is done already")
            failed = True
        elif options.verbose:
            print(f"bscancel: {job} is cancelled")
    return EXIT_FAILED if failed else EXIT_OK


async def _resolve_named_jobs(batch: BatchClient, jobs: list[str]) -> tuple[list[str], bool]:
    """Returns the ids of jobs given by number or id, and whether any could not be resolved."""
    ids: list[str] = []
    failed = False
    for job in jobs:
        if "_" in job:
            _print_error("bscancel", f"{job}: a task of an array cannot be cancelled alone")
            failed = True
            continue
        try:
            ids.append(await batch.resolve_id(job))
        except RefusedError as error:
            _print_error("bscancel", str(error))
            failed = True
    return ids, failed


# ---- bsqueue ----


def bsqueue(arguments: Sequence[str] | None = None) -> int:
    """Lists open jobs and returns the exit code."""
    options = queue.make_parser(_add_node_option).parse_args(arguments)

    async def work(batch: BatchClient) -> int:
        rows = queue.select_rows(await batch.queue(True), options)
        print(queue.render_rows(rows, options))
        return EXIT_OK

    return _run_with_client("bsqueue", work, options.node, READ_PATIENCE_S)


# ---- bsinfo ----

MACHINE_FIELDS: list[Field[wire.MachineRow]] = [
    Field("P", "Partition", "PARTITION", lambda row: row.type),
    Field("Z", "Zone", "ZONE", lambda row: row.zone),
    Field("K", "Kind", "KIND", lambda row: "spot" if row.spot else "ordinary"),
    Field("D", "Nodes", "NODES", lambda row: str(row.count)),
    Field("t", "State", "STATE", lambda row: NODE_STATES.get(row.state, row.state)),
    Field("c", "CPUs", "CPUS", lambda row: f"{row.cpus:g}"),
    Field("m", "Memory", "MEMORY", lambda row: f"{row.memory_gb * 1024:.0f}"),
    Field("N", "NodeList", "NODELIST", lambda row: ",".join(row.names)),
]
MACHINE_FORMAT = "%.10P %.10Z %.9K %.6D %.6t %.5c %N"


def bsinfo(arguments: Sequence[str] | None = None) -> int:
    """Lists machines and returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="bsinfo", description="List machines.", conflict_handler="resolve"
    )
    parser.add_argument("-p", "--partition", help="only machines of this type")
    parser.add_argument("-o", "--format", default=MACHINE_FORMAT)
    parser.add_argument("-h", "--noheader", action="store_true")
    parser.add_argument("--json", action="store_true")
    _add_node_option(parser)
    options = parser.parse_args(arguments)

    async def work(batch: BatchClient) -> int:
        table = Table(MACHINE_FIELDS)
        columns = table.columns_by_letter(options.format)
        rows = [row for row in await batch.machines() if options.partition in (None, row.type)]
        if options.json:
            print(json.dumps([msgspec.to_builtins(row) for row in rows], indent=2))
        else:
            print(table.render(columns, rows, not options.noheader))
        return EXIT_OK

    return _run_with_client("bsinfo", work, options.node, READ_PATIENCE_S)


# ---- bscontrol ----


def bscontrol(arguments: Sequence[str] | None = None) -> int:
    """Shows, holds, releases or changes jobs and returns the exit code."""
    parser = argparse.ArgumentParser(prog="bscontrol", description="Show and change jobs.")
    _add_node_option(parser)
    subcommands = parser.add_subparsers(dest="order", required=True)
    show = subcommands.add_parser("show", help="show job NUMBER")
    show.add_argument("what", choices=["job"])
    show.add_argument("job")
    for name in ("hold", "release"):
        subcommands.add_parser(name, help=f"{name} jobs").add_argument("jobs", nargs="+")
    update = subcommands.add_parser("update", help="update JobId=NUMBER Field=value ...")
    update.add_argument("fields", nargs="+")
    options = parser.parse_args(arguments)
    return _run_with_client("bscontrol", lambda batch: _control(batch, options), options.node)


async def _control(batch: BatchClient, options: argparse.Namespace) -> int:
    if options.order == "show":
        job = await batch.resolve_id(options.job)
        print(control.job_text(await batch.details(job), await batch.why(job)))
        return EXIT_OK
    if options.order in ("hold", "release"):
        for name in options.jobs:
            job = await batch.resolve_id(name)
            await batch.update_terms(job, {"hold": options.order == "hold"})
        return EXIT_OK
    job, terms = control.parse_update(options.fields, datetime.now().astimezone())
    if "depends" in terms:
        entries = terms["depends"]
        terms["depends"] = [
            {"kind": kind, "job": await batch.resolve_id(other)} for kind, other in entries
        ]
    await batch.update_terms(await batch.resolve_id(job), terms)
    return EXIT_OK


# ---- bsacct ----


def bsacct(arguments: Sequence[str] | None = None) -> int:
    """Lists jobs that have ended and returns the exit code."""
    options = acct.make_parser(_add_node_option).parse_args(arguments)

    async def work(batch: BatchClient) -> int:
        await acct.run(batch, options)
        return EXIT_OK

    return _run_with_client("bsacct", work, options.node, READ_PATIENCE_S)


COMMANDS: dict[str, Callable[[Sequence[str] | None], int]] = {
    "batch": bsbatch,
    "queue": bsqueue,
    "cancel": bscancel,
    "info": bsinfo,
    "control": bscontrol,
    "acct": bsacct,
}
"""The commands by their names in `badgerseam slurm`."""
