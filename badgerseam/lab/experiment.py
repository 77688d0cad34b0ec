"""Experiments: files of load and faults that are run on a lab and checked by its rules."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from badgerseam.cli.client import UnreachableError
from badgerseam.lab.errors import LabError
from badgerseam.lab.explain_load import ExplainLoad
from badgerseam.lab.fault import Fault
from badgerseam.lab.fault_injector import FaultInjector
from badgerseam.lab.lab import Lab
from badgerseam.lab.reconcile import compare_with_accounts
from badgerseam.lab.report import Report, Sample
from badgerseam.lab.site import SiteSpec, check_site
from badgerseam.lab.summary import summarize
from badgerseam.settings import SettingsError

SAMPLE_S = 1.0
"""Seconds between samples."""
ACCOUNTING_WAIT_S = 4.0
"""Seconds to wait for the accounting of cancelled jobs."""


class Step(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault that is injected at a given time."""

    at: Annotated[float, Meta(ge=0, description="seconds after the start of the load")]
    fault: Fault


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """The load, faults and settings of an experiment."""

    seconds: Annotated[float, Meta(gt=0, description="how long users submit jobs")] = 60.0
    settle_s: Annotated[
        float, Meta(ge=0, description="longest time in seconds for the last jobs to end")
    ] = 60.0
    load: Annotated[float, Meta(ge=0, description="factor of the site's arrival rates")] = 1.0
    seed: int = 1
    questions_per_s: Annotated[
        float, Meta(ge=0, description="rate of requests for why a job waits")
    ] = 0.0
    site: SiteSpec | None = None
    options: Annotated[
        dict[str, Any],
        Meta(description="sections of the controllers' options that extend or replace the lab's"),
    ] = field(default_factory=dict)
    order: Annotated[
        list[str],
        Meta(description="job classes, highest first; if given, priority inversions are counted"),
    ] = field(default_factory=list)
    sources: Annotated[
        dict[str, str],
        Meta(description="programs for `replace`: a folder or a revision of this project, by name"),
    ] = field(default_factory=dict)
    first: Annotated[
        str,
        Meta(description="program that the controllers are started from; empty for these sources"),
    ] = ""
    steps: list[Step] = field(default_factory=list)


def load_experiment(path: str) -> Experiment:
    """Reads and validates an experiment file."""
    try:
        experiment: Experiment = msgspec.json.decode(Path(path).read_bytes(), type=Experiment)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if experiment.site is not None:
        check_site(experiment.site, path)
    known = {entry.name for entry in (experiment.site or SiteSpec()).classes}
    unknown = [name for name in experiment.order if name not in known]
    if unknown:
        raise SettingsError(
            f"{path}: order: {', '.join(unknown)}: not among the site's classes "
            f"{', '.join(sorted(known))}"
        )
    return experiment


async def run_on_lab(
    lab: Lab, experiment: Experiment, report_progress: Callable[[float, str], None]
) -> Report:
    """Runs an experiment on a started lab and returns its report.

    `report_progress` is called with the fraction that is complete (0 to 1) and a message, which may
    be empty.
    """
    await lab.wait_until_ready()
    injector = FaultInjector(lab)
    samples: list[Sample] = []
    lab.start_load(experiment.load)
    started_at = lab.history.now()
    total_s = experiment.seconds + experiment.settle_s
    steps = sorted(experiment.steps, key=lambda step: step.at)
    explain_load = ExplainLoad(lab, experiment.questions_per_s)
    explain_load.start()
    try:
        while (elapsed_s := lab.history.now() - started_at) < experiment.seconds:
            while steps and steps[0].at <= elapsed_s:
                step = steps.pop(0)
                try:
                    report_progress(elapsed_s / total_s, injector.apply(step.fault))
                except LabError as error:
                    report_progress(elapsed_s / total_s, f"fault not injected: {error}")
            _add_sample(lab, samples)
            report_progress(elapsed_s / total_s, "")
            await asyncio.sleep(0.1)
        assert lab.load is not None
        lab.load.stop_arrivals()
        injector.revert_all()
        deadline = lab.history.now() + experiment.settle_s
        while lab.load.open and lab.history.now() < deadline:
            _add_sample(lab, samples)
            report_progress(min(1.0, (lab.history.now() - started_at) / total_s), "")
            await asyncio.sleep(0.1)
    finally:
        explain_load.stop()
    if experiment.settle_s > 0:
        # The accounting of cancelled jobs is written after everything else.
        await asyncio.sleep(ACCOUNTING_WAIT_S)
    try:
        accounts = await compare_with_accounts(lab)
    except UnreachableError:
        accounts = None
    return summarize(lab, samples, explain_load, accounts, experiment.order)


def _add_sample(lab: Lab, samples: list[Sample]) -> None:
    t = lab.history.now()
    if samples and t - samples[-1].t < SAMPLE_S:
        return
    running = waiting = 0
    for machine in lab.machines.values():
        counts = machine.core.inspect()
        running += counts.get("running", 0) + counts.get("saving", 0)
        waiting += counts.get("fetching", 0)
    samples.append(
        Sample(round(t, 2), len(lab.machines), running, waiting, len(lab.load_balancer.healthy))
    )
