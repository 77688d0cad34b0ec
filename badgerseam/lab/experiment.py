"""Experiments: a file of load and faults, played on a lab and judged."""

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
ACCOUNTS_S = 4.0


class Step(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault at a time."""

    at: Annotated[float, Meta(ge=0, description="seconds after the load began")]
    fault: Fault


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """What is played."""

    seconds: Annotated[float, Meta(gt=0, description="how long users submit jobs")] = 60.0
    settle_s: Annotated[
        float, Meta(ge=0, description="how long the last jobs have afterwards, at most")
    ] = 60.0
    load: Annotated[float, Meta(ge=0, description="times the site's rates")] = 1.0
    seed: int = 1
    questions_per_s: Annotated[
        float, Meta(ge=0, description="how often users ask why a job waits")
    ] = 0.0
    site: SiteSpec | None = None
    options: Annotated[
        dict[str, Any],
        Meta(description="sections of the controllers' options, beside or instead of the lab's"),
    ] = field(default_factory=dict)
    order: Annotated[
        list[str],
        Meta(description="classes of jobs, the first one first; jumps are counted if it is given"),
    ] = field(default_factory=list)
    sources: Annotated[
        dict[str, str],
        Meta(description="other programs for `replace`: a folder, or a revision of this project"),
    ] = field(default_factory=dict)
    first: Annotated[
        str, Meta(description="what the controllers are started from; empty: these sources")
    ] = ""
    steps: list[Step] = field(default_factory=list)


def load_experiment(path: str) -> Experiment:
    """Read and check an experiment."""
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
            f"{path}: order: {', '.join(unknown)}: the site has the classes "
            f"{', '.join(sorted(known))}"
        )
    return experiment


async def play(lab: Lab, experiment: Experiment, told: Callable[[float, str], None]) -> Report:
    """Play an experiment on a lab that has been started; `told` hears of the progress (0 to 1)."""
    await lab.wait_until_ready()
    breaker = FaultInjector(lab)
    samples: list[Sample] = []
    lab.start_load(experiment.load)
    begun = lab.history.now()
    whole = experiment.seconds + experiment.settle_s
    steps = sorted(experiment.steps, key=lambda step: step.at)
    asker = ExplainLoad(lab, experiment.questions_per_s)
    asker.start()
    try:
        while (passed := lab.history.now() - begun) < experiment.seconds:
            while steps and steps[0].at <= passed:
                step = steps.pop(0)
                try:
                    told(passed / whole, breaker.apply(step.fault))
                except LabError as error:
                    told(passed / whole, f"left out: {error}")
            _sample(lab, samples)
            told(passed / whole, "")
            await asyncio.sleep(0.1)
        assert lab.load is not None
        lab.load.stop_arrivals()
        breaker.revert_all()
        until = lab.history.now() + experiment.settle_s
        while lab.load.open and lab.history.now() < until:
            _sample(lab, samples)
            told(min(1.0, (lab.history.now() - begun) / whole), "")
            await asyncio.sleep(0.1)
    finally:
        asker.stop()
    if experiment.settle_s > 0:
        # Summaries of cancelled jobs are written behind everything else.
        await asyncio.sleep(ACCOUNTS_S)
    try:
        accounts = await compare_with_accounts(lab)
    except UnreachableError:
        accounts = None
    return summarize(lab, samples, asker, accounts, experiment.order)


def _sample(lab: Lab, samples: list[Sample]) -> None:
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
