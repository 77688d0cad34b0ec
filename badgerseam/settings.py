"""The settings file the platform hands over, and the operators' own tunables."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from badgerseam.errors import BadgerseamError
from badgerseam.options import classes, replicas, runs, standby
from badgerseam.options.classes import ClassesOptions
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.options.runs import RunsOptions
from badgerseam.options.standby import StandbyOptions

Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Address = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
Name = Annotated[str, Meta(min_length=1)]


class SettingsError(BadgerseamError):
    """The settings cannot be used; the message names the field."""


class Sibling(Struct, frozen=True):
    """Another controller of the site (a peer)."""

    node: Name
    zone: str
    peer_addr: Address


class ExternalServices(Struct, frozen=True):
    """The addresses of the services outside the site."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """A team's quota: guaranteed resources, and the most that it may use (`_max`; 0: no limit)."""

    name: Name
    cpus: Amount
    cpus_max: Amount
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    @property
    def limits(self) -> tuple[float, float]:
        """Processors and accelerators that its tasks may use at most.

        0 stands for none. Where both are 0, that is no limit: read as "nothing", it would refuse
        all jobs of a guest team without a guarantee.
        """
        if self.cpus_max or self.gpus_max:
            return self.cpus_max, self.gpus_max
        return float("inf"), float("inf")


class Objective(Struct, frozen=True, rename={"required_fraction": "share"}):
    """A service-level objective of the site."""

    kind: str
    job_class: str | None = field(default=None, name="class")
    required_fraction: float | None = None
    """`share` in the file: the part of the cases that must meet the objective."""
    within_s: float | None = None
    times: float | None = None


class WorkerParams(Struct, frozen=True):
    """Times of the workers' protocol, in seconds."""

    report_s: Positive
    """Interval of heartbeats."""
    lease_s: Positive
    """How long a worker keeps its tasks without an answer."""
    cancel_s: Positive
    """Within which time the tasks of a cancelled job must have ended."""


class StateParams(Struct, frozen=True):
    """Limits of the state service."""

    rps: Positive
    """Requests a second, of all controllers together."""
    write_rps: Positive
    """Changes a second, of all controllers together."""
    value_kb: Positive
    """Size of a value."""
    txn_ops: Count
    """Operations of a transaction."""


class CloudParams(Struct, frozen=True):
    """Limits of the cloud's interface."""

    rps: Positive
    list_lag_s: Amount
    """How much older than the truth its list of machines may be, in seconds."""


class MachineLimits(Struct, frozen=True):
    """Limits of the controller's own machine."""

    sockets: Count = 1024


class Params(Struct, frozen=True):
    """The parameters of the site."""

    initial_size: Count
    teams: list[Team]
    workers: WorkerParams
    state: StateParams
    cloud: CloudParams
    zones: list[str] = field(default_factory=list)
    objectives: list[Objective] = field(default_factory=list)
    time_bound_ms: Amount = 0.0
    machine_limits: MachineLimits = field(default_factory=MachineLimits)


class Settings(Struct, frozen=True):
    """The platform's settings file of one controller."""

    node: Name
    zone: str
    api_addr: Address
    cluster_listen: Address
    outside: ExternalServices
    params: Params
    siblings: list[Sibling] = field(default_factory=list)


class ExplainOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Why a job waits: answered on every controller if this section is there."""

    questions_per_s: Annotated[
        float, Meta(gt=0, le=1000, description="questions a controller admits a second")
    ] = 20.0
    processor_part: Annotated[
        float,
        Meta(gt=0, le=0.5, description="part of a core that surveys of a shard may take"),
    ] = 0.05
    slice_ms: Annotated[
        float, Meta(gt=0, le=50, description="how long a survey holds the event loop at a time")
    ] = 4.0
    most_age_s: Annotated[
        float,
        Meta(ge=0, description="age of a survey that still serves when the part is used up"),
    ] = 5.0
    sample_s: Annotated[
        float,
        Meta(ge=0, description="interval of surveys of all that waits; 0: only on request"),
    ] = 0.0
    gap_s: Annotated[
        float,
        Meta(gt=0, description="surveys further apart than this are not counted as one period"),
    ] = 4.0
    most_jobs: Annotated[int, Meta(ge=1, description="jobs whose transitions are kept")] = 2000
    most_transitions: Annotated[int, Meta(ge=2, description="transitions kept of each")] = 16


class BatchOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Terms of batch jobs and job numbers, for Slurm-style commands, if this section is there."""

    numbers_per_s: Annotated[
        float, Meta(gt=0, le=1000, description="job numbers a controller hands out a second")
    ] = 50.0


class AccountingOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """What jobs used, kept with their final records, if this section is there."""

    most_jobs: Annotated[
        int, Meta(ge=1, description="ended jobs that a controller can list; totals outlive them")
    ] = 100_000
    attempts: Annotated[bool, Meta(description="keep a log of attempts as well")] = True
    log_s: Annotated[
        float, Meta(gt=0, description="interval of writing the log, one value a shard")
    ] = 10.0
    log_days: Annotated[float, Meta(gt=0, description="how long the log is kept")] = 90.0


class RolloutOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """The level of the stored state rises by itself when every controller can act at the next one,
    and operators can have controllers leave, if this section is there. Without it a site stays at
    its level, whichever that is, and is kept by its fences all the same."""

    steady_s: Annotated[
        float,
        Meta(ge=0, description="how long every controller must have been there before a raise"),
    ] = 10.0


class Tunables(Struct, frozen=True, forbid_unknown_fields=True):
    """Operators' own settings. Times are in seconds unless the name says otherwise."""

    claim_ttl_s: Annotated[float, Meta(ge=1, le=60, description="state lease of a controller")] = (
        4.0
    )
    beta: Annotated[float, Meta(ge=0, description="weight of waste in the eviction cost")] = 0.5
    window_s: Annotated[float, Meta(gt=0, description="window of waste and evictions")] = 60.0
    move_s: Annotated[float, Meta(gt=0, description="interval of moves between shares")] = 0.2
    counts_s: Annotated[float, Meta(gt=0, description="interval of writing G and F")] = 10.0
    done_delay_s: Annotated[
        float, Meta(ge=0, le=2, description="how long finished tasks are gathered for one write")
    ] = 0.7
    idle_s: Annotated[float, Meta(ge=0, description="idle time before a machine is returned")] = (
        30.0
    )
    consolidate_s: Annotated[
        float,
        Meta(
            gt=0,
            description="interval in which a shard's replicas are moved off one machine that "
            "others have room for",
        ),
    ] = 3.0
    margin_s: Annotated[float, Meta(ge=0.5, description="slack on every safety bound")] = 2.0
    arrivals_s: Annotated[
        float, Meta(gt=0, description="time in which an arrival's weight for the reserve fades")
    ] = 60.0
    reserve_spread: Annotated[
        float,
        Meta(
            ge=0,
            description="standard deviations of arrivals during a boot that are kept as free room "
            "for classes that should start sooner than a machine boots",
        ),
    ] = 2.0
    reserve_guarantee: Annotated[
        float,
        Meta(
            ge=0,
            description="part of the spread that is kept for classes that only the guarantee "
            "covers, by the share of them that should start in time",
        ),
    ] = 0.5
    begin_s: Annotated[
        float,
        Meta(
            gt=0,
            description="time in which also the largest jobs should begin; low-priority ones that "
            "have waited for half of it go first, one at a time",
        ),
    ] = 240.0
    explain: Annotated[
        ExplainOptions | None, Meta(description="why a job waits; answered if this is there")
    ] = None

    batch: Annotated[
        BatchOptions | None,
        Meta(description="holds, begin times, throttles, dependencies, job numbers"),
    ] = None

    accounting: Annotated[
        AccountingOptions | None, Meta(description="what jobs used, lists and totals")
    ] = None

    rollout: Annotated[
        RolloutOptions | None,
        Meta(description="raising the level of the stored state; controllers that leave"),
    ] = None

    runs: Annotated[
        RunsOptions | None, Meta(description="reckoning runs; kept if this is there")
    ] = None

    classes: Annotated[
        ClassesOptions | None, Meta(description="priority classes; kept if this is there")
    ] = None

    replicas: Annotated[
        ReplicasOptions | None,
        Meta(description="replicas that span machines; kept if this is there"),
    ] = None

    standby: Annotated[
        StandbyOptions | None,
        Meta(description="ended controllers are replaced sooner; whoever takes over is checked"),
    ] = None

    may_ignore: Annotated[
        list[Name],
        Meta(
            description="sections of this file that a program which does not know them may leave "
            "out, so that an older one can be put back with it"
        ),
    ] = field(default_factory=list)


def load_settings(path: str) -> Settings:
    """Read and check the settings file."""
    try:
        settings = msgspec.toml.decode(Path(path).read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8: {error.reason}") from error
    names = [team.name for team in settings.params.teams]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: params.teams: a name is given twice")
    workers = settings.params.workers
    if workers.cancel_s <= workers.lease_s + 2 * workers.report_s:
        raise SettingsError(f"{path}: params.workers.cancel_s: must be well above lease_s")
    return settings


def load_tunables(path: str | None) -> Tunables:
    """Read the operators' JSON, or give the defaults."""
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
    """SettingsError for all that the operators' sections name and cannot have, each with its
    field and its remedy."""
    teams = {team.name for team in settings.params.teams}
    found: list[str] = []
    if tunables.runs is not None:
        found += [f"runs.{text}" for text in runs.check(tunables.runs, teams)]
    if tunables.classes is not None:
        found += [f"classes.{text}" for text in classes.check(tunables.classes, teams)]
    if tunables.replicas is not None:
        found += [f"replicas.{text}" for text in replicas.check(tunables.replicas)]
    if tunables.standby is not None:
        found += [
            f"standby.{text}" for text in standby.check(tunables.standby, tunables.claim_ttl_s)
        ]
    if found:
        raise SettingsError("\n".join(f"{path}: {text}" for text in found))


def tunables_schema() -> dict[str, Any]:
    """The JSON Schema of the operators' settings."""
    return msgspec.json.schema(Tunables)
