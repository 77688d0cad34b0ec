"""Applies the records of jobs: acceptances, changed terms, cancellations and completions."""

from __future__ import annotations

import msgspec

from badgerseam.model.job import PHASE_NAMES, Job, Phase
from badgerseam.model.placements import Placements
from badgerseam.model.records import name_key
from badgerseam.model.state import Arrival
from badgerseam.wire import state as wire


def apply_job(model: Placements, job_id: str, value: msgspec.Raw, version: int) -> None:
    """Applies the record of a job."""
    if job_id in model.ended and model.accounts is None:
        return
    stored: wire.StoredMember = msgspec.json.decode(value, type=wire.StoredMember)
    if model.accounts is not None and stored.state != "open":
        model.accounts.on_final_record(job_id, stored, version)
    if job_id in model.ended:
        return
    phase = PHASE_NAMES[stored.state]
    job = model.job(job_id)
    if job is not None and version <= job.version:
        return
    if phase == Phase.OPEN:
        _apply_open_job(model, job_id, job, stored, version)
    else:
        _apply_ended_job(model, job_id, job, stored, phase, version)


def _apply_open_job(
    model: Placements,
    job_id: str,
    job: Job | None,
    stored: wire.StoredMember,
    version: int,
) -> None:
    """Loads a job that is not in the model yet, or applies a change of its terms."""
    if stored.spec is None:
        return
    if job is None:
        _load_job(model, job_id, stored, version)
        return
    # The record of an open job only ever changes in its terms.
    job.version = version
    job.spec = stored.spec
    job.dependencies_met = False
    model.shards_to_plan.add(job.shard)


def _apply_ended_job(
    model: Placements,
    job_id: str,
    job: Job | None,
    stored: wire.StoredMember,
    phase: Phase,
    version: int,
) -> None:
    """Applies the end of a job, which lingers until none of its tasks can be on a machine."""
    model.ended[job_id] = (phase, stored.tasks)
    if model.job_observer is not None:
        model.job_observer.on_job_ended(job_id, stored, job)
    if job is not None:
        job.version = version
        job.phase = phase
        job.ended_at = model.clock.now()
        model.settle(job)
        return
    is_ahead = phase == Phase.CANCELLED and version > model.revision
    if stored.spec is not None and (model.loading or is_ahead):
        # Tasks of the job may still be on machines, so it lingers until its pages have been read.
        job = _load_job(model, job_id, stored, version)
        if job is not None:
            job.phase = phase
            if not model.loading:
                model.settle(job)


def _load_job(model: Placements, job_id: str, stored: wire.StoredJob, version: int) -> Job | None:
    """Adds a job that is not in the model yet to every index."""
    spec = stored.spec
    assert spec is not None
    team = model.team_index.get(spec.team)
    if team is None:
        # The settings no longer contain the team: the job stays stored, but none of its tasks may
        # run.
        return None
    index = model.free_jobs.pop() if model.free_jobs else len(model.jobs)
    shard = model.teams[team].shard
    job = Job(job_id, index, spec, version, stored.accepted_at, team, shard, model.chunk_size)
    job.last_seen_at = model.clock.now()
    job.queue_position = stored.queue_position or version
    job.quota = model.quotas[team]
    if spec.job_class in model.spanning_classes and spec.kind != "sweep":
        job.changed_tasks = model.changed_tasks
        model.changed_tasks.add((index, -1))
    if index == len(model.jobs):
        model.jobs.append(job)
    else:
        model.jobs[index] = job
    model.job_index[job_id] = index
    model.open_jobs[shard][index] = job
    if model.accounts is not None:
        model.accounts.on_job_opened(job)
    if model.job_observer is not None:
        model.job_observer.on_job_opened(job)
    key = name_key(job)
    if key is not None:
        model.jobs_by_name.setdefault(key, set()).add(index)
    model.shards_to_plan.add(shard)
    _record_arrival(model, job)
    return job


def _record_arrival(model: Placements, job: Job) -> None:
    """Records the acceptance of a job, as input for forecasts of demand."""
    age_s = max(0.0, model.clock.wall() - job.submitted)
    spec = job.spec
    model.arrivals.append(
        Arrival(
            job.last_seen_at - age_s,
            spec.job_class,
            job.shard,
            spec.tasks,
            job.demand,
            job.rank,
            spec.spot,
            job.team,
        )
    )
