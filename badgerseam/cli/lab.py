"""`badgerseam lab`: a complete simulated site on this machine."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import json
import os
import tempfile
from pathlib import Path

from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail

Commands = argparse._SubParsersAction

MISSING_LIBRARIES = (
    "the lab's libraries are not installed: python3 -m pip install -r requirements-lab.txt "
    "(or the extra badgerseam[lab])"
)
COST_COMMANDS = ("why-cost", "queue-cost", "book-cost")
READING_COMMANDS = ("status", "check")
FAULT_FIELDS = ("do", "target", "to", "for_s", "count", "factor", "within_s", "back_s")
"""The fields of a fault request to the running lab, named like the options of `lab fault`."""
RESPONSE_TIMEOUT_S = 5.0


def default_directory() -> Path:
    """Returns the default of `--dir`, the directory of a lab's files: one per user."""
    return Path(tempfile.gettempdir()) / f"badgerseam-lab-{os.getuid()}"


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declares `lab` and its subcommands."""
    lab = commands.add_parser(
        "lab", help="run a site on this machine, with simulated workers, cloud and state service"
    )
    # argparse's usage errors show the name `order`.
    subcommands = lab.add_subparsers(dest="order", required=True)
    _add_up(subcommands)
    _add_directory(
        subcommands.add_parser("demo", help="show a job from start to end on a separate site")
    )
    _add_run(subcommands)
    _add_status(subcommands)
    _add_load(subcommands)
    _add_fault(subcommands)
    mend = subcommands.add_parser("mend", help="end all faults")
    _add_directory(mend)
    check = subcommands.add_parser(
        "check", help="check what has happened so far against the protocol's rules"
    )
    _add_directory(check)
    _add_costs(subcommands)
    schema = subcommands.add_parser("schema", help="print the JSON Schema of a site file")
    schema.add_argument(
        "--experiment", action="store_true", help="print that of an experiment instead"
    )


def _add_directory(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--dir",
        type=Path,
        default=default_directory(),
        help="directory of the lab's files (default %(default)s)",
    )


def _add_up(subcommands: Commands[argparse.ArgumentParser]) -> None:
    up = subcommands.add_parser("up", help="start a site and run it until Ctrl-C")
    up.add_argument("--site", help="the site (JSON; `lab schema` prints its schema)")
    up.add_argument("--port", type=int, default=8080, help="port for users (default %(default)s)")
    up.add_argument(
        "--load",
        type=float,
        help="submit jobs from the start, at the site's rates times this factor",
    )
    up.add_argument("--seed", type=int, default=1)
    up.add_argument("--keep", action="store_true", help="keep logs and history after the end")
    _add_directory(up)


def _add_run(subcommands: Commands[argparse.ArgumentParser]) -> None:
    run_command = subcommands.add_parser("run", help="run an experiment and check its results")
    run_command.add_argument("experiment", help="the experiment (JSON; `lab schema --experiment`)")
    run_command.add_argument(
        "--out", help="directory for the report (default: next to the experiment)"
    )
    run_command.add_argument("--seed", type=int, help="replaces the experiment's seed")
    _add_directory(run_command)


def _add_status(subcommands: Commands[argparse.ArgumentParser]) -> None:
    status = subcommands.add_parser("status", help="show figures of the running lab")
    _add_directory(status)
    status.add_argument("--json", action="store_true", help="print compact JSON")


def _add_load(subcommands: Commands[argparse.ArgumentParser]) -> None:
    load = subcommands.add_parser("load", help="submit jobs to the running lab")
    load.add_argument(
        "factor", type=float, nargs="?", default=1.0, help="factor of the site's rates"
    )
    _add_directory(load)


def _add_fault(subcommands: Commands[argparse.ArgumentParser]) -> None:
    fault = subcommands.add_parser("fault", help="inject a fault into the running lab")
    fault.add_argument("do", help="kill, hang, cut, state-down, take, ...: see docs/lab.md")
    fault.add_argument("target", nargs="?", default="")
    fault.add_argument("to", nargs="?", default="")
    fault.add_argument(
        "--for", dest="for_s", type=float, default=0.0, help="seconds until the fault ends"
    )
    fault.add_argument("--count", type=int, default=1, help="number of machines")
    fault.add_argument(
        "--factor",
        type=float,
        default=0.3,
        help="factor of the speed or the arrivals, or fraction of the reports",
    )
    fault.add_argument(
        "--within",
        dest="within_s",
        type=float,
        default=0.0,
        help="seconds within which several machines end",
    )
    fault.add_argument(
        "--back",
        dest="back_s",
        type=float,
        default=3.0,
        help="seconds until a controller is restarted",
    )
    _add_directory(fault)


def _add_costs(subcommands: Commands[argparse.ArgumentParser]) -> None:
    why_cost = subcommands.add_parser(
        "why-cost", help="measure the cost of an explanation on a large site"
    )
    why_cost.add_argument("--machines", type=int, default=490)
    why_cost.add_argument(
        "--tasks", type=int, default=2000, help="number of waiting tasks (default %(default)s)"
    )
    why_cost.add_argument("--seed", type=int, default=1)
    queue_cost = subcommands.add_parser(
        "queue-cost", help="measure the cost of listing many open jobs"
    )
    queue_cost.add_argument("--jobs", type=int, default=5000)
    queue_cost.add_argument("--seed", type=int, default=1)
    accounting_cost = subcommands.add_parser(
        "book-cost", help="measure the cost of accounting for many ended jobs"
    )
    accounting_cost.add_argument("--jobs", type=int, default=100_000)
    accounting_cost.add_argument("--seed", type=int, default=1)


def run(options: argparse.Namespace) -> int:
    """Runs one of lab's subcommands and returns its exit code."""
    # The lab's libraries are an optional dependency, so modules that need them are imported only
    # here and below.
    try:
        importlib.import_module("badgerseam.lab.lab")
    except ModuleNotFoundError as error:
        return fail(f"{error.name}: {MISSING_LIBRARIES}", EXIT_USAGE)
    from badgerseam.lab.errors import LabError

    try:
        if options.order == "schema":
            return _print_schema(options)
        if options.order in COST_COMMANDS:
            return _measure_cost(options)
        if options.order in ("up", "demo"):
            from badgerseam.cli.lab_site import run_demo, run_site

            return asyncio.run(run_site(options) if options.order == "up" else run_demo(options))
        if options.order == "run":
            from badgerseam.cli.lab_experiment import run_experiment

            return asyncio.run(run_experiment(options))
        return asyncio.run(_send_command(options))
    except LabError as error:
        return fail(str(error), EXIT_FAILED)


def _print_schema(options: argparse.Namespace) -> int:
    import msgspec

    from badgerseam.lab.experiment import Experiment
    from badgerseam.lab.site import site_schema

    schema = msgspec.json.schema(Experiment) if options.experiment else site_schema()
    print(json.dumps(schema, indent=2))
    return EXIT_OK


def _measure_cost(options: argparse.Namespace) -> int:
    import msgspec

    from badgerseam.lab.cost_measurements import measure_history, measure_queue, measure_why

    if options.order != "why-cost":
        if options.jobs < 1:
            return fail("--jobs: at least 1", EXIT_USAGE)
        measure = measure_queue if options.order == "queue-cost" else measure_history
        print(json.dumps(msgspec.to_builtins(measure(options.jobs, options.seed)), indent=2))
        return EXIT_OK
    if options.machines < 1 or options.tasks < 1:
        return fail("--machines, --tasks: at least 1", EXIT_USAGE)
    cost = measure_why(options.machines, options.tasks, options.seed)
    print(json.dumps(msgspec.to_builtins(cost), indent=2))
    return EXIT_OK


async def _send_command(options: argparse.Namespace) -> int:
    """Sends a command to the running lab, prints its response, and returns the exit code."""
    from badgerseam.http.client import HttpClient, NoResponseError

    address = _control_address(options.dir)
    method = "GET" if options.order in READING_COMMANDS else "POST"
    body = None if options.order in READING_COMMANDS else _command_body(options)
    try:
        response = await HttpClient().request(
            address, method, f"/{options.order}", body, RESPONSE_TIMEOUT_S
        )
    except NoResponseError:
        return fail(f"the lab at {address} does not answer", EXIT_UNREACHABLE)
    result = json.loads(response.body)
    if response.status != 200:
        return fail(str(result.get("error", result)), EXIT_FAILED)
    if options.order == "check":
        print("\n".join(result) if result else "no rule is broken")
        return EXIT_FAILED if result else EXIT_OK
    if options.order == "status":
        print(json.dumps(result, indent=None if options.json else 2))
    else:
        print(result)
    return EXIT_OK


def _control_address(directory: Path) -> str:
    """Returns the address of the running lab's control endpoint; LabError if no lab runs."""
    from badgerseam.lab.errors import LabError
    from badgerseam.lab.lab_directory import read_running_lab

    address = read_running_lab(directory).get("control")
    if not isinstance(address, str):
        raise LabError(f"no lab runs in {directory}: start one with `badgerseam lab up`")
    return address


def _command_body(options: argparse.Namespace) -> bytes:
    if options.order == "load":
        return json.dumps({"factor": options.factor}).encode()
    if options.order == "fault":
        return json.dumps({name: getattr(options, name) for name in FAULT_FIELDS}).encode()
    return b"{}"
