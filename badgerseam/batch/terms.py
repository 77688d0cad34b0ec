"""Whether a job's terms let its tasks start, and whether terms can be taken at all."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from badgerseam.errors import BadgerseamError
from badgerseam.model.job import Job, Phase
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.model.records import name_key
from badgerseam.wire.users import Dependency, Submission, Terms

MAX_DEPENDENCIES_WALKED = 1000
"""Jobs looked at for a cycle."""

Known = Callable[[str], Awaitable[bool]]
"""Whether a job was ever accepted, asked of the state service."""


class TermsError(BadgerseamError):
    """Terms that cannot be taken; the message names the field and what to do. `jobs`: those whose
    records it rests on, besides the one that the terms are of."""

    def __init__(self, message: str, jobs: frozenset[str] = frozenset()) -> None:
        super().__init__(message)
        self.jobs = jobs


class TermsRules:
    """Judges by the records that the replica shows; callers hold the model's lock."""

    def __init__(self, model: Model) -> None:
        self._model = model

    # ---- for the plan ----

    def hold_reason(self, job: Job) -> str | None:
        """Why no more tasks of a job with terms may start now; None if they may."""
        held = self._held(job)
        if held in (None, "throttle") and job.eligible_at is None:
            job.eligible_at = self._model.clock.wall()
        return held

    def _held(self, job: Job) -> str | None:
        terms = job.spec.terms
        if terms is None:
            return None
        if terms.hold:
            return "held"
        if terms.begin_at is not None and self._model.clock.wall() < terms.begin_at:
            return "begin_time"
        if terms.depends:
            met = self._dependencies(job, terms)
            if met is not True:
                return "dependency" if met is None else "dependency_never"
        if terms.singleton and self._earlier(job) is not None:
            return "singleton"
        if terms.throttle is not None and job.live >= terms.throttle:
            return "throttle"
        return None

    def max_starts(self, job: Job) -> int | None:
        """How many more tasks may start, if a throttle says so."""
        terms = job.spec.terms
        if terms is None or terms.throttle is None:
            return None
        return max(0, terms.throttle - job.live)

    def unmet(self, job: Job) -> list[Dependency]:
        """The dependencies that are not met, or never will be."""
        terms = job.spec.terms
        if terms is None:
            return []
        return [entry for entry in terms.depends if self._is_met(entry) is not True]

    def _dependencies(self, job: Job, terms: Terms) -> bool | None:
        """Whether they are met; False if they never will be, None if that is open."""
        if job.dependencies_met:
            return True
        found = [self._is_met(entry) for entry in terms.depends]
        if terms.any:
            met = True if True in found else None if None in found else False
        else:
            met = False if False in found else None if None in found else True
        # What has ended stays so: what is met once is not looked at again.
        job.dependencies_met = met is True
        return met

    def _is_met(self, entry: Dependency) -> bool | None:
        ended = self._model.ended.get(entry.job)
        if ended is None:
            other = self._model.job(entry.job)
            return True if entry.kind == "after" and other is not None and other.tries else None
        if entry.kind in ("after", "afterany"):
            return True
        return (ended[0] == Phase.DONE) == (entry.kind == "afterok")

    def _earlier(self, job: Job) -> Job | None:
        """The first open job of the same team, user and name that came before."""
        key = name_key(job)
        own = (job.submitted, job.id)
        found = [
            other
            for index in (self._model.jobs_by_name.get(key, ()) if key is not None else ())
            if (other := self._model.jobs[index]) is not None
            and other.phase == Phase.OPEN
            and (other.submitted, other.id) < own
        ]
        return min(found, key=lambda other: (other.submitted, other.id), default=None)

    # ---- for those who submit or change ----

    async def check(self, spec: Submission, known: Known) -> None:
        """TermsError if a new job's terms cannot be taken."""
        terms = spec.terms
        if terms is None:
            return
        if terms.singleton and (terms.name is None or terms.user is None):
            raise TermsError("terms.singleton: needs terms.name and terms.user")
        if terms.throttle is not None and spec.kind == "group":
            raise TermsError("terms.throttle: a gang's tasks run together or not at all")
        if terms.any and not terms.depends:
            raise TermsError("terms.any: there are no dependencies")
        for place, entry in enumerate(terms.depends):
            where = f"terms.depends[{place}].job"
            if entry.job == spec.id:
                raise TermsError(f"{where}: a job cannot wait for itself")
            with self._model.lock:
                seen = entry.job in self._model.ended or entry.job in self._model.job_index
            if not seen and not await known(entry.job):
                raise TermsError(f"{where}: {entry.job} was never submitted")

    def cycle_free(self, job_id: str, depends: list[Dependency]) -> dict[str, int]:
        """Conditions (key and version) under which new dependencies of an open job make no cycle;
        TermsError if they make one.

        Two changes at two controllers could close a cycle that neither sees: each is conditional
        on the open jobs that its walk came through, so that the second is refused.
        """
        conditions: dict[str, int] = {}
        todo = [entry.job for entry in depends]
        seen: set[str] = set()
        while todo:
            name = todo.pop()
            if name == job_id:
                text = f"terms.depends: {job_id} would wait for itself"
                raise TermsError(text, frozenset(seen))
            job = self._model.job(name)
            if name in seen or job is None or job.phase != Phase.OPEN:
                continue
            seen.add(name)
            if len(seen) > min(
                MAX_DEPENDENCIES_WALKED, 4 * self._model.settings.params.state.txn_ops - 4
            ):
                raise TermsError("terms.depends: too many jobs wait for one another")
            conditions[job_key(name)] = job.version
            if job.spec.terms is not None:
                todo += [entry.job for entry in job.spec.terms.depends]
        return conditions
