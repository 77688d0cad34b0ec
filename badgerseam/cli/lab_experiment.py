"""`badgerseam lab run`: run an experiment with a progress bar, print and write its report."""

from __future__ import annotations

import argparse
from pathlib import Path
from random import Random

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from badgerseam import logs
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK
from badgerseam.cli.lab_report import print_report
from badgerseam.cli.lab_site import write_options_file
from badgerseam.clock import Clock
from badgerseam.lab.experiment import Experiment, load_experiment, run_on_lab
from badgerseam.lab.lab import Lab
from badgerseam.lab.report import Report
from badgerseam.lab.report_files import write_report
from badgerseam.lab.site import SiteSpec


async def run_experiment(options: argparse.Namespace) -> int:
    """Runs an experiment and checks its results; the exit code tells whether it failed."""
    logs.configure("error")
    experiment = load_experiment(options.experiment)
    seed = experiment.seed if options.seed is None else options.seed
    out = Path(options.out or Path(options.experiment).with_suffix("").as_posix() + "-report")
    out.mkdir(parents=True, exist_ok=True)
    lab = _make_lab(experiment, out.resolve(), seed)
    console = Console()
    await lab.start()
    try:
        report = await _run_with_progress(lab, experiment, console)
    finally:
        await lab.stop()
    paths = write_report(report, out)
    print_report(report, console)
    console.print("written: " + ", ".join(str(path) for path in paths), soft_wrap=True)
    return EXIT_FAILED if _has_failed(report) else EXIT_OK


def _make_lab(experiment: Experiment, directory: Path, seed: int) -> Lab:
    return Lab(
        experiment.site or SiteSpec(),
        directory,
        Clock(),
        Random(seed),
        0,
        write_options_file(directory, experiment.options),
        experiment.sources,
        experiment.first,
    )


async def _run_with_progress(lab: Lab, experiment: Experiment, console: Console) -> Report:
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console) as progress:
        task = progress.add_task("playing", total=1.0)

        def show_progress(fraction: float, text: str) -> None:
            progress.update(task, completed=fraction)
            if text:
                progress.console.print(f"{lab.history.now():7.1f} s  {text}")

        return await run_on_lab(lab, experiment, show_progress)


def _has_failed(report: Report) -> bool:
    accounting_faults = report.accounts.faults if report.accounts is not None else []
    return bool(report.violations or report.served.failures or accounting_faults)
