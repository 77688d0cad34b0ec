"""The terms of batch jobs: whether they permit a start now, and whether they are valid."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from badgerseam.errors import BadgerseamError
from badgerseam.model.job import Job, Phase
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.model.records import name_key
from badgerseam.store.limits import CONDITIONS_PER_WRITE, TransactionLimits
from badgerseam.wire.users import Dependency, Submission, Terms

MAX_DEPENDENCIES_WALKED = 1000
"""The maximum number of jobs visited in the search for a cycle."""

WasAccepted = Callable[[str], Awaitable[bool]]
"""A function that returns whether a job was ever accepted, according to the state service."""


class TermsError(BadgerseamError):
    """Raised for invalid terms; the message names the field and what is wrong with it.

    `jobs`: the jobs on whose records the refusal depends, other than the job with these terms.
    """

    def __init__(self, message: str, jobs: frozenset[str] = frozenset()) -> None:
        super().__init__(message)
        self.jobs = jobs


class TermsRules:
    """Evaluates terms against the observed records.

    Callers hold the model's lock, except for `check`.
    """

    def __init__(self, model: Model) -> None:
        self._model = model

    # ---- for the planner ----

    def hold_reason(self, job: Job) -> str | None:
        """Returns why no more tasks of a job may start now because of its terms; None if they
        may."""
        reason = self._hold_reason(job)
        if reason in (None, "throttle") and job.eligible_at is None:
            job.eligible_at = self._model.clock.wall()
        return reason

    def _hold_reason(self, job: Job) -> str | None:
        terms = job.spec.terms
        if terms is None:
            return None
        if terms.hold:
            return "held"
        if terms.begin_at is not None and self._model.clock.wall() < terms.begin_at:
            return "begin_time"
        if terms.depends:
            are_met = self._are_dependencies_met(job, terms)
            if are_met is not True:
                return "dependency" if are_met is None else "dependency_never"
        if terms.singleton and self._earlier_namesake(job) is not None:
            return "singleton"
        if terms.throttle is not None and job.live >= terms.throttle:
            return "throttle"
        return None

    def max_starts(self, job: Job) -> int | None:
        """Returns how many more tasks may start under the job's throttle; None without a
        throttle."""
        terms = job.spec.terms
        if terms is None or terms.throttle is None:
            return None
        return max(0, terms.throttle - job.live)

    def unmet(self, job: Job) -> list[Dependency]:
        """Returns the dependencies that are not met, including those that can never be met."""
        terms = job.spec.terms
        if terms is None:
            return []
        return [entry for entry in terms.depends if self._is_met(entry) is not True]

    def _are_dependencies_met(self, job: Job, terms: Terms) -> bool | None:
        """Whether the dependencies are met: False if they can never be met, None if they may still
        be met."""
        if job.dependencies_met:
            return True
        states = [self._is_met(entry) for entry in terms.depends]
        decisive = terms.any
        if decisive in states:
            are_met: bool | None = decisive
        else:
            are_met = None if None in states else not decisive
        # The end of a job is final: dependencies that have been met stay met.
        job.dependencies_met = are_met is True
        return are_met

    def _is_met(self, entry: Dependency) -> bool | None:
        """Whether a dependency is met: False if it can never be met, None if it may still be
        met."""
        ended = self._model.ended.get(entry.job)
        if ended is None:
            other = self._model.job(entry.job)
            return True if entry.kind == "after" and other is not None and other.tries else None
        if entry.kind in ("after", "afterany"):
            return True
        return (ended[0] == Phase.DONE) == (entry.kind == "afterok")

    def _earlier_namesake(self, job: Job) -> Job | None:
        """Returns the earliest open job of the same team, user and name that was submitted before
        this one."""
        key = name_key(job)
        own = (job.submitted, job.id)
        earlier = [
            other
            for index in (self._model.jobs_by_name.get(key, ()) if key is not None else ())
            if (other := self._model.jobs[index]) is not None
            and other.phase == Phase.OPEN
            and (other.submitted, other.id) < own
        ]
        return min(earlier, key=lambda other: (other.submitted, other.id), default=None)

    # ---- for submissions and changes ----

    async def check(self, spec: Submission, was_accepted: WasAccepted) -> None:
        """Raises TermsError if the terms of a job to be accepted are invalid."""
        terms = spec.terms
        if terms is None:
            return
        if terms.singleton and (terms.name is None or terms.user is None):
            raise TermsError("terms.singleton: needs terms.name and terms.user")
        if terms.throttle is not None and spec.kind == "group":
            raise TermsError("terms.throttle: a gang's tasks run together or not at all")
        if terms.any and not terms.depends:
            raise TermsError("terms.any: there are no dependencies")
        for position, entry in enumerate(terms.depends):
            where = f"terms.depends[{position}].job"
            if entry.job == spec.id:
                raise TermsError(f"{where}: a job cannot wait for itself")
            with self._model.lock:
                is_known = entry.job in self._model.ended or entry.job in self._model.job_index
            if not is_known and not await was_accepted(entry.job):
                raise TermsError(f"{where}: {entry.job} was never submitted")

    def cycle_free(self, job_id: str, depends: list[Dependency]) -> dict[str, int]:
        """Returns the versions, by key, under which new dependencies of an open job form no cycle.

        Raises TermsError if they close a cycle. Concurrent changes at two controllers could close a
        cycle that neither controller detects; each write is therefore conditional on the versions
        of the open jobs that its search visited, so that the second write fails.
        """
        conditions: dict[str, int] = {}
        limits = TransactionLimits.of(self._model.settings.params.state)
        max_visited = min(MAX_DEPENDENCIES_WALKED, limits.conditions - CONDITIONS_PER_WRITE)
        pending = [entry.job for entry in depends]
        visited: set[str] = set()
        while pending:
            name = pending.pop()
            if name == job_id:
                text = f"terms.depends: {job_id} would wait for itself"
                raise TermsError(text, frozenset(visited))
            job = self._model.job(name)
            if name in visited or job is None or job.phase != Phase.OPEN:
                continue
            visited.add(name)
            if len(visited) > max_visited:
                raise TermsError("terms.depends: too many jobs wait for one another")
            conditions[job_key(name)] = job.version
            if job.spec.terms is not None:
                pending += [entry.job for entry in job.spec.terms.depends]
        return conditions
