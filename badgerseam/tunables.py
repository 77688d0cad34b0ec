"""The operators' options file (tunables)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from badgerseam.options import classes, replicas, runs, standby
from badgerseam.options.classes import ClassesOptions
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.options.runs import RunsOptions
from badgerseam.options.standby import StandbyOptions
from badgerseam.settings import Name, Settings, SettingsError


class ExplainOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Explanations of why a job waits; enabled on every controller if this section is present."""

    questions_per_s: Annotated[
        float, Meta(gt=0, le=1000, description="questions that a controller accepts per second")
    ] = 20.0
    processor_part: Annotated[
        float,
        Meta(gt=0, le=0.5, description="fraction of a CPU core that surveys of a shard may use"),
    ] = 0.05
    slice_ms: Annotated[
        float,
        Meta(
            gt=0, le=50, description="milliseconds that a survey may block the event loop at a time"
        ),
    ] = 4.0
    most_age_s: Annotated[
        float,
        Meta(
            ge=0,
            description="maximum age of a survey that is reused once processor_part is used up",
        ),
    ] = 5.0
    sample_s: Annotated[
        float,
        Meta(ge=0, description="interval between surveys of all waiting jobs; 0: only on request"),
    ] = 0.0
    gap_s: Annotated[
        float,
        Meta(
            gt=0,
            description="longest gap between surveys that count as one continuous period",
        ),
    ] = 4.0
    most_jobs: Annotated[
        int, Meta(ge=1, description="maximum number of jobs whose transitions are kept")
    ] = 2000
    most_transitions: Annotated[
        int, Meta(ge=2, description="maximum number of transitions kept for each job")
    ] = 16


class BatchOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Batch jobs and job numbers for Slurm-style commands; enabled if this section is present."""

    numbers_per_s: Annotated[
        float, Meta(gt=0, le=1000, description="job numbers that a controller assigns per second")
    ] = 50.0


class AccountingOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Resource usage of jobs, kept with their final records; enabled if this section is present."""

    most_jobs: Annotated[
        int,
        Meta(
            ge=1,
            description="ended jobs that a controller can list; totals are kept longer",
        ),
    ] = 100_000
    attempts: Annotated[bool, Meta(description="also keep a log of attempts")] = True
    log_s: Annotated[
        float, Meta(gt=0, description="interval between writes of the log, one value per shard")
    ] = 10.0
    log_days: Annotated[float, Meta(gt=0, description="days for which the log is kept")] = 90.0


class RolloutOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Automatic upgrades of the level (the format version of the stored state) and draining of
    controllers by operators; enabled if this section is present.

    The level is raised once every controller supports the next one. Without this section the site
    stays at its current level, and the checks that fence off controllers that do not support that
    level still apply.
    """

    steady_s: Annotated[
        float,
        Meta(
            ge=0,
            description="seconds for which every controller must have been present before a raise",
        ),
    ] = 10.0


class Tunables(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' options. Times are in seconds unless the name says otherwise."""

    claim_ttl_s: Annotated[
        float, Meta(ge=1, le=60, description="TTL of a controller's lease in the state service")
    ] = 4.0
    beta: Annotated[float, Meta(ge=0, description="weight of wasted work in the eviction cost")] = (
        0.5
    )
    window_s: Annotated[
        float, Meta(gt=0, description="window over which wasted work and evictions are measured")
    ] = 60.0
    move_s: Annotated[
        float, Meta(gt=0, description="minimum interval between moves of machines between shards")
    ] = 0.2
    counts_s: Annotated[
        float,
        Meta(
            gt=0,
            description="interval between writes of G and F (finished and evicted tasks)",
        ),
    ] = 10.0
    done_delay_s: Annotated[
        float, Meta(ge=0, le=2, description="how long finished tasks are batched into one write")
    ] = 0.7
    idle_s: Annotated[float, Meta(ge=0, description="idle time before a machine is released")] = (
        30.0
    )
    consolidate_s: Annotated[
        float,
        Meta(
            gt=0,
            description="minimum interval between consolidations in a shard, each of which moves "
            "the replicas off one machine if others have capacity for them",
        ),
    ] = 3.0
    margin_s: Annotated[
        float,
        Meta(ge=0.5, description="margin added to every safety-relevant time bound"),
    ] = 2.0
    arrivals_s: Annotated[
        float,
        Meta(gt=0, description="time constant of the decay of an arrival's weight for the reserve"),
    ] = 60.0
    reserve_spread: Annotated[
        float,
        Meta(
            ge=0,
            description="free capacity reserved for classes that should start sooner than a "
            "machine boots, in standard deviations of the arrivals during a boot",
        ),
    ] = 2.0
    reserve_guarantee: Annotated[
        float,
        Meta(
            ge=0,
            description="factor on the reserve for classes that only the guarantee objective "
            "covers; that reserve grows with the fraction of work that should start in time",
        ),
    ] = 0.5
    begin_s: Annotated[
        float,
        Meta(
            gt=0,
            description="time within which even the largest jobs should start; low-priority ones "
            "that have waited for half of it go first, one at a time",
        ),
    ] = 240.0
    explain: Annotated[
        ExplainOptions | None,
        Meta(description="explanations of why a job waits; enabled if present"),
    ] = None

    batch: Annotated[
        BatchOptions | None,
        Meta(description="batch jobs: holds, begin times, throttles, dependencies, job numbers"),
    ] = None

    accounting: Annotated[
        AccountingOptions | None, Meta(description="resource usage of jobs, as lists and totals")
    ] = None

    rollout: Annotated[
        RolloutOptions | None,
        Meta(description="upgrades of the stored state's level; draining of controllers"),
    ] = None

    runs: Annotated[RunsOptions | None, Meta(description="reckoning runs; enabled if present")] = (
        None
    )

    classes: Annotated[
        ClassesOptions | None, Meta(description="priority classes; enabled if present")
    ] = None

    replicas: Annotated[
        ReplicasOptions | None,
        Meta(description="replicas that span machines; enabled if present"),
    ] = None

    standby: Annotated[
        StandbyOptions | None,
        Meta(
            description="warm standby: faster takeover from ended controllers, with takeover checks"
        ),
    ] = None

    may_ignore: Annotated[
        list[Name],
        Meta(
            description="sections of this file that a program version without support for them may "
            "ignore, so that the program can be rolled back without changing this file"
        ),
    ] = field(default_factory=list)


def load_tunables(path: str | None) -> Tunables:
    """Reads the operators' options from a JSON file; returns the defaults if there is no path."""
    if path is None:
        return Tunables()
    try:
        given = msgspec.json.decode(Path(path).read_bytes())
        if isinstance(given, dict) and isinstance(given.get("may_ignore"), list):
            known = {entry.name for entry in msgspec.structs.fields(Tunables)}
            for name in given["may_ignore"]:
                if isinstance(name, str) and name not in known:
                    given.pop(name, None)
        return msgspec.convert(given, Tunables)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error


def check_tunables(tunables: Tunables, settings: Settings, path: str | None) -> None:
    """Checks the sections of the options against the settings.

    Raises SettingsError with one line for each problem: the field and how to correct it.
    """
    teams = {team.name for team in settings.params.teams}
    problems: list[str] = []
    if tunables.runs is not None:
        problems += [f"runs.{text}" for text in runs.check(tunables.runs, teams)]
    if tunables.classes is not None:
        problems += [f"classes.{text}" for text in classes.check(tunables.classes, teams)]
    if tunables.replicas is not None:
        problems += [f"replicas.{text}" for text in replicas.check(tunables.replicas)]
    if tunables.standby is not None:
        problems += [
            f"standby.{text}" for text in standby.check(tunables.standby, tunables.claim_ttl_s)
        ]
    if problems:
        raise SettingsError("\n".join(f"{path}: {text}" for text in problems))


def tunables_schema() -> dict[str, Any]:
    """Returns the JSON Schema of the operators' options."""
    return msgspec.json.schema(Tunables)
