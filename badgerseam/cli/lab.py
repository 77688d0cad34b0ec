"""`badgerseam lab`: a whole site on this machine."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import importlib
import json
import os
import signal
import tempfile
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail

if TYPE_CHECKING:
    from badgerseam.lab.report import Report

Commands = argparse._SubParsersAction

SHOWN = 5
"""Jumps that are printed; the report has all."""
MISSING = (
    "the lab's libraries are not installed: python3 -m pip install -r requirements-lab.txt "
    "(or the extra badgerseam[lab])"
)


def default_directory() -> Path:
    """Where a lab keeps its files if nothing else is said."""
    return Path(tempfile.gettempdir()) / f"badgerseam-lab-{os.getuid()}"


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declare `lab` and its own commands."""
    lab = commands.add_parser("lab", help="a whole site on this machine, simulated around it")
    orders = lab.add_subparsers(dest="order", required=True)
    up = orders.add_parser("up", help="start a site and stay until Ctrl-C")
    up.add_argument("--site", help="the site (JSON; `lab schema` prints its schema)")
    up.add_argument("--port", type=int, default=8080, help="for users (default %(default)s)")
    up.add_argument("--load", type=float, help="begin with users, so many times the site's rates")
    up.add_argument("--seed", type=int, default=1)
    up.add_argument("--keep", action="store_true", help="keep logs and history afterwards")
    demo = orders.add_parser("demo", help="a job from end to end on a site of its own")
    run = orders.add_parser("run", help="play an experiment and judge it")
    run.add_argument("experiment", help="the experiment (JSON; `lab schema --experiment`)")
    run.add_argument("--out", help="folder for the report (default: next to the experiment)")
    run.add_argument("--seed", type=int, help="instead of the experiment's own")
    status = orders.add_parser("status", help="the running lab in figures")
    load = orders.add_parser("load", help="have users submit jobs to the running lab")
    load.add_argument("factor", type=float, nargs="?", default=1.0, help="times the site's rates")
    fault = orders.add_parser("fault", help="break something in the running lab")
    fault.add_argument("do", help="kill, hang, cut, state-down, take, ...: see docs/lab.md")
    fault.add_argument("target", nargs="?", default="")
    fault.add_argument("to", nargs="?", default="")
    fault.add_argument("--for", dest="for_s", type=float, default=0.0, help="seconds until mended")
    fault.add_argument("--count", type=int, default=1, help="machines")
    fault.add_argument(
        "--factor", type=float, default=0.3, help="of speed, of arrivals, part of reports"
    )
    fault.add_argument(
        "--within", dest="within_s", type=float, default=0.0, help="several end within so long"
    )
    fault.add_argument(
        "--back", dest="back_s", type=float, default=3.0, help="seconds until started again"
    )
    orders.add_parser("mend", help="mend all that is broken")
    orders.add_parser("check", help="judge what has happened so far by the protocol's rules")
    cost = orders.add_parser("why-cost", help="measure what an explanation costs at size")
    cost.add_argument("--machines", type=int, default=490)
    cost.add_argument("--tasks", type=int, default=2000, help="that wait (default %(default)s)")
    cost.add_argument("--seed", type=int, default=1)
    listed = orders.add_parser("queue-cost", help="measure a list of many open jobs")
    listed.add_argument("--jobs", type=int, default=5000)
    listed.add_argument("--seed", type=int, default=1)
    book = orders.add_parser("book-cost", help="measure the accounts of many ended jobs")
    book.add_argument("--jobs", type=int, default=100_000)
    book.add_argument("--seed", type=int, default=1)
    schema = orders.add_parser("schema", help="print the JSON Schema of a site file")
    schema.add_argument("--experiment", action="store_true", help="of an experiment instead")
    for order in (
        up,
        demo,
        run,
        status,
        load,
        fault,
        *(orders.choices[n] for n in ("mend", "check")),
    ):
        order.add_argument(
            "--dir", type=Path, default=default_directory(), help="the lab's files (%(default)s)"
        )
    status.add_argument("--json", action="store_true", help="as JSON")


def run(options: argparse.Namespace) -> int:
    """Carry out an order; the exit code."""
    try:
        # Tells whether the extra's libraries are there.
        importlib.import_module("badgerseam.lab.lab")
    except ModuleNotFoundError as error:
        return fail(f"{error.name}: {MISSING}", EXIT_USAGE)
    from badgerseam.lab.errors import LabError

    try:
        if options.order == "schema":
            return _schema(options)
        if options.order in ("why-cost", "queue-cost", "book-cost"):
            return _cost(options)
        if options.order == "up":
            return asyncio.run(_up(options))
        if options.order == "demo":
            return asyncio.run(_demo(options))
        if options.order == "run":
            return asyncio.run(_experiment(options))
        return asyncio.run(_order(options))
    except LabError as error:
        return fail(str(error), EXIT_FAILED)


def _schema(options: argparse.Namespace) -> int:
    import msgspec

    from badgerseam.lab.experiment import Experiment
    from badgerseam.lab.site import site_schema

    schema = msgspec.json.schema(Experiment) if options.experiment else site_schema()
    print(json.dumps(schema, indent=2))
    return EXIT_OK


def _cost(options: argparse.Namespace) -> int:
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


def _options_file(directory: Path, sections: dict[str, Any] | None = None) -> Path:
    """The service's own options, all that a lab shows switched on, and an experiment's sections."""
    path = directory / "options.json"
    shown: dict[str, Any] = {"explain": {}, "batch": {}, "accounting": {}, "rollout": {}}
    path.write_text(json.dumps(shown | (sections or {})) + "\n")
    return path


async def _up(options: argparse.Namespace) -> int:
    from badgerseam import logs
    from badgerseam.clock import Clock
    from badgerseam.lab.control_endpoint import ControlEndpoint
    from badgerseam.lab.fault_injector import FaultInjector
    from badgerseam.lab.lab import Lab
    from badgerseam.lab.lab_directory import read_running_lab
    from badgerseam.lab.ports import free_ports
    from badgerseam.lab.site import load_site

    logs.configure("error")
    site = load_site(options.site)
    options.dir.mkdir(parents=True, exist_ok=True)
    lab = Lab(
        site, options.dir, Clock(), Random(options.seed), options.port, _options_file(options.dir)
    )
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        await lab.start()
    except BaseException:
        # Another lab's files are left alone; it holds the lock.
        if lab.has_started:
            _clean(options.dir)
        raise
    control = ControlEndpoint(lab, FaultInjector(lab))
    try:
        port = free_ports(1)[0]
        control.listen(port)
        card = read_running_lab(options.dir) | {"control": f"127.0.0.1:{port}"}
        (options.dir / "lab.json").write_text(json.dumps(card))
        print(f"users      127.0.0.1:{lab.load_balancer_port}   (--node of the commands)")
        for node, address in lab.addresses.items():
            print(f"{node:<10} {address}   log {lab.controllers[node].log_path}")
        print(f"state service, cloud and workers are simulated; files in {options.dir}")
        waiting = asyncio.ensure_future(lab.wait_until_ready())
        stopping = asyncio.ensure_future(stop.wait())
        await asyncio.wait({waiting, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if waiting.done():
            waiting.result()
            print("ready; Ctrl-C ends it", flush=True)
            if options.load is not None:
                lab.start_load(options.load)
            seen = 0
            while not stop.is_set():
                for note in lab.notes[seen:]:
                    print(note, flush=True)
                seen = len(lab.notes)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), 0.5)
        waiting.cancel()
        breaches = lab.violations()
    finally:
        stopping.cancel()
        control.stop()
        await lab.stop()
        if not options.keep:
            _clean(options.dir)
    for breach in breaches:
        print(f"broken rule: {breach}")
    print("ended")
    return EXIT_FAILED if breaches else EXIT_OK


async def _demo(options: argparse.Namespace) -> int:
    from badgerseam import logs
    from badgerseam.clock import Clock
    from badgerseam.lab.demo import demo
    from badgerseam.lab.lab import Lab
    from badgerseam.lab.site import SiteSpec

    logs.configure("error")
    options.dir.mkdir(parents=True, exist_ok=True)
    lab = Lab(SiteSpec(), options.dir, Clock(), Random(1), 0, _options_file(options.dir))
    try:
        await lab.start()
        await demo(lab, lambda text: print(f"{text}\n", flush=True))
    finally:
        await lab.stop()
        _clean(options.dir)
    return EXIT_OK


def _clean(directory: Path) -> None:
    for pattern in ("*.log", "history.jsonl", "options.json", "lab.lock"):
        for path in directory.glob(pattern):
            path.unlink(missing_ok=True)
    with contextlib.suppress(OSError):
        directory.rmdir()


async def _experiment(options: argparse.Namespace) -> int:
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    from badgerseam import logs
    from badgerseam.clock import Clock
    from badgerseam.lab.experiment import load_experiment, play
    from badgerseam.lab.lab import Lab
    from badgerseam.lab.report_files import write_report
    from badgerseam.lab.site import SiteSpec

    logs.configure("error")
    experiment = load_experiment(options.experiment)
    seed = experiment.seed if options.seed is None else options.seed
    out = Path(options.out or Path(options.experiment).with_suffix("").as_posix() + "-report")
    out.mkdir(parents=True, exist_ok=True)
    lab = Lab(
        experiment.site or SiteSpec(),
        out.resolve(),
        Clock(),
        Random(seed),
        0,
        _options_file(out.resolve(), experiment.options),
        experiment.sources,
        experiment.first,
    )
    console = Console()
    await lab.start()
    try:
        with Progress(
            TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=console
        ) as progress:
            bar = progress.add_task("playing", total=1.0)

            def told(part: float, text: str) -> None:
                progress.update(bar, completed=part)
                if text:
                    progress.console.print(f"{lab.history.now():7.1f} s  {text}")

            report = await play(lab, experiment, told)
    finally:
        await lab.stop()
    paths = write_report(report, out)
    _print_report(report, console)
    console.print("written: " + ", ".join(str(path) for path in paths), soft_wrap=True)
    faults = report.accounts.faults if report.accounts is not None else []
    failed = report.violations or report.served.failures or faults
    return EXIT_FAILED if failed else EXIT_OK


def _print_report(report: Report, console: Any) -> None:
    from rich.table import Table

    from badgerseam.lab.report_files import largest_cells

    table = Table(title="simulated machines, real controllers")
    for column in ("class", "jobs", "ended", "starts", "first start 50/90/99/100 %", "in time"):
        table.add_column(column, justify="left" if column == "class" else "right")
    for name, figures in report.classes.items():
        table.add_row(
            name,
            str(figures.jobs),
            str(figures.ended),
            f"{figures.tasks_started}+{figures.restarts}",
            " / ".join(f"{value:.2f}" for value in figures.first_start_s),
            "" if figures.on_time_fraction is None else f"{figures.on_time_fraction:.3f}",
        )
    console.print(table)
    served = report.served
    for what, rows in (("classes", served.classes), ("teams", served.teams)):
        parts = ", ".join(f"{name} {row.served:.3f} of {row.jobs}" for name, row in rows.items())
        console.print(f"served, {what}: {parts or 'none'}")
    table = Table(title="largest jobs of each class and shape")
    columns = ("class", "jobs", "served", "least tasks x CPUs", "first s", "all s", "too late")
    for column in columns:
        table.add_column(column, justify="left" if column == "class" else "right")
    for name, big in served.largest.items():
        table.add_row(name, *largest_cells(big))
    console.print(table)
    console.print(
        f"accepted within {' / '.join(f'{v:.3f}' for v in report.acceptance_s)} s; "
        f"{report.failed_polls} of {report.polls} polls failed; {report.machines_rented} machines, "
        f"{report.cost:.3f} spent; {report.controllers_started} controller starts, "
        f"{report.crashes} ends by themselves"
    )
    if report.explain_statuses:
        console.print(
            f"questions by status {report.explain_statuses}; answered within "
            f"{' / '.join(f'{v:.3f}' for v in report.explain_latency_s)} s; "
            f"reasons {report.reasons}"
        )
    gaps = sorted(report.ownership_gaps_s)
    console.print(
        f"level {report.level}; shares or leadership without an actor {len(gaps)} times, for "
        f"{gaps[len(gaps) // 2] if gaps else 0:.2f} s (median), {gaps[-1] if gaps else 0:.2f} s "
        "(most)"
    )
    for outcome in report.rollouts:
        console.print(f"rollout: {outcome or 'all controllers replaced'}")
    accounts = report.accounts
    if accounts is not None:
        console.print(
            f"accounts: {accounts.accounted} of {accounts.ended} ended jobs, "
            f"{accounts.attempts} attempts ({accounts.unmeasured} not measured) of "
            f"{accounts.starts} starts ({accounts.started_again} again where they were placed); "
            f"useful {accounts.useful_s} of "
            f"{accounts.useful_really_s} s, wasted {accounts.wasted_s} of "
            f"{accounts.wasted_really_s} s; faults {accounts.faults or 'none'}"
        )
    if report.below_limit_s:
        teams = ", ".join(f"{team} {s:.0f} s" for team, s in report.below_limit_s.items())
        console.print(f"work waited beside room that its team was allowed: {teams}")
    if report.unanswered:
        console.print(f"unanswered at the end, not judged: {', '.join(report.unanswered)}")
    if report.inversions:
        console.print(
            f"jumps: {len(report.inversions)}, past work that had waited for at most "
            f"{report.longest_inversion_s:.1f} s; the first ones:"
        )
        for text in report.inversions[:SHOWN]:
            console.print(text)
    console.print(f"failures by what was served: {len(served.failures)}")
    for text in served.failures:
        console.print(text)
    console.print(f"starts after a confirmed cancellation: {report.started_cancelled}")
    console.print(f"jobs accepted that can't run or lack a field: {report.accepted_invalid}")
    console.print(f"older answers to questions that were on their way: {report.stale_answers}")
    console.print(f"broken rules: {len(report.violations)}")
    for breach in report.violations:
        console.print(breach)


async def _order(options: argparse.Namespace) -> int:
    """Send an order to the running lab."""
    from badgerseam.http.client import HttpClient, NoResponseError
    from badgerseam.lab.errors import LabError
    from badgerseam.lab.lab_directory import read_running_lab

    address = read_running_lab(options.dir).get("control")
    if not isinstance(address, str):
        raise LabError(f"no lab runs in {options.dir}: start one with `badgerseam lab up`")
    body: bytes | None = b"{}"
    if options.order == "load":
        body = json.dumps({"factor": options.factor}).encode()
    elif options.order == "fault":
        names = ("do", "target", "to", "for_s", "count", "factor", "within_s", "back_s")
        body = json.dumps({name: getattr(options, name) for name in names}).encode()
    reading = options.order in ("status", "check")
    try:
        response = await HttpClient().request(
            address,
            "GET" if reading else "POST",
            f"/{options.order}",
            None if reading else body,
            5.0,
        )
    except NoResponseError:
        return fail(f"the lab at {address} does not answer", EXIT_UNREACHABLE)
    answer = json.loads(response.body)
    if response.status != 200:
        return fail(str(answer.get("error", answer)), EXIT_FAILED)
    if options.order == "status":
        print(json.dumps(answer, indent=None if options.json else 2))
    elif options.order == "check":
        print("\n".join(answer) if answer else "no rule is broken")
        return EXIT_FAILED if answer else EXIT_OK
    else:
        print(answer)
    return EXIT_OK
