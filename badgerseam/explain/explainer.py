"""Explains why jobs wait, and forwards questions to the controller that plans for the job."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from msgspec.structs import replace

from badgerseam.cluster.membership import Membership
from badgerseam.explain.context import Context
from badgerseam.explain.history import ReasonHistory
from badgerseam.explain.reasons import group_tasks, jobs_ahead
from badgerseam.explain.supply import AskLeader, LeaderCloudView
from badgerseam.explain.surveys import NotOwnerError, Survey, Surveys
from badgerseam.model.job import Job
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.planner import Planner
from badgerseam.tunables import ExplainOptions
from badgerseam.wire.explain import Code, Explanation, Group, Question, Reason

log = logging.getLogger("badgerseam.explain")

MAX_LEASE_AGE_S = 5.0
"""Seconds without confirmation of its lease after which an owner neither plans nor answers."""
ANSWER_TIMEOUT_S = 1.3
"""Seconds within which an owner must answer: users wait 2 s, part of which their own requests
take."""
MIN_ANSWER_TIMEOUT_S = 0.1
RETRY_INTERVAL_S = 0.1
MAX_OBSERVATION_AGE_S = 0.5
"""Maximum age in seconds of a survey whose answers are recorded in the history of the job."""

AskOwner = Callable[[str, Question, float], Awaitable[list[Explanation] | None]]
"""Asks another controller, with a timeout in seconds; returns None if there is no answer."""


class Explainer:
    """Answers questions about shards that this controller owns, and forwards those about others."""

    def __init__(
        self,
        model: Model,
        planner: Planner,
        membership: Membership,
        options: ExplainOptions,
        ask_owner: AskOwner,
        ask_leader: AskLeader,
    ) -> None:
        self._model = model
        self._membership = membership
        self._clock = model.clock
        self._options = options
        self._ask_owner = ask_owner
        self.rules = planner.terms
        self.surveys = Surveys(
            model,
            planner,
            LeaderCloudView(model.clock, ask_leader),
            options.processor_part,
            options.slice_ms / 1000,
            options.most_age_s,
        )
        self.history = ReasonHistory(options.most_jobs, options.most_transitions, options.gap_s)

    # ---- as the owner ----

    async def answer_locally(self, shard_index: int, ids: list[str]) -> list[Explanation]:
        """Returns the answers about jobs of a shard that this controller plans for. Jobs that it
        has not read yet are left out.

        Raises NotOwnerError if it does not plan for the shard, or cannot be sure that it still
        does.
        """
        model = self._model
        shard = model.shards[shard_index]
        self._check_ownership(shard)
        with model.lock:
            jobs = [
                job
                for job in map(model.job, ids)
                if job is not None and job.shard == shard_index and model.jobs[job.index] is job
            ]
            waiting = {job for job in jobs if job.waiting() > 0}
        survey = Survey(self._clock.now(), model.revision, {}, {})
        if waiting:
            survey = await self.surveys.ask(shard, waiting)
        self._check_ownership(shard)
        with model.lock:
            return [self._answer(shard, job, survey) for job in jobs]

    async def answer_peer(self, shard_index: int, ids: list[str]) -> list[Explanation] | None:
        """Returns the answers to a peer's question, or None if `answer_locally` raises
        NotOwnerError."""
        try:
            return await self.answer_locally(shard_index, ids)
        except NotOwnerError:
            return None

    def _check_ownership(self, shard: Shard) -> None:
        """Raises NotOwnerError unless this controller can currently act for the shard."""
        if (
            not shard.owned
            or shard.releasing
            or not self._membership.may_answer_heartbeats_for(shard)
            or not self._membership.lease_confirmed_within(MAX_LEASE_AGE_S)
        ):
            raise NotOwnerError(str(shard.index))

    def _answer(self, shard: Shard, job: Job, survey: Survey) -> Explanation:
        """Returns the answer about one job; callers hold the model's lock."""
        now = self._clock.now()
        context = Context(
            self._model,
            job,
            survey,
            survey.supply,
            now,
            now - self._membership.confirmed_at,
            self.rules,
        )
        task_groups = group_tasks(context)
        if now - survey.at < MAX_OBSERVATION_AGE_S:
            self.history.observe(
                job.id, [reason.code for group in task_groups for reason in group.reasons], now
            )
        since = self.history.since_s(job.id, now)
        return Explanation(
            job.id,
            "running" if job.running() else "pending",
            [_with_durations(group, since) for group in task_groups],
            jobs_ahead(context),
            self._membership.node,
            survey.revision,
            round(now - survey.at, 3),
            round(now - max(shard.owned_since, job.last_seen_at), 3),
            self.history.transitions(job.id, now),
        )

    @property
    def has_survey_interval(self) -> bool:
        """Whether the options set an interval for surveys that run without questions."""
        return self._options.sample_s > 0

    async def run_periodic_surveys(self) -> None:
        """Surveys all waiting jobs at the interval of the options, so that later answers can say
        how long their reasons have held. Runs until cancelled."""
        while True:
            await asyncio.sleep(self._options.sample_s)
            for shard in self._model.shards:
                ids = [job.id for job in self._model.open_jobs[shard.index].values()]
                try:
                    if shard.owned and ids:
                        await self.answer_locally(shard.index, ids)
                except NotOwnerError:
                    log.debug("survey abandoned shard=%d reason=not_owner", shard.index)

    # ---- for any job ----

    async def ask(self, job: Job) -> Explanation | None:
        """Returns the answer about an open job from the controller that plans for it, or None if no
        controller can answer in time."""
        answers = await self.ask_all(job.shard, [job.id])
        return answers[0] if answers else None

    async def ask_all(self, shard_index: int, ids: list[str]) -> list[Explanation]:
        """Returns the answers about jobs of one shard, without jobs for which no controller can
        answer in time."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await self._ask_until_answered(shard_index, ids)
        except TimeoutError:
            return []

    async def _ask_until_answered(self, shard_index: int, ids: list[str]) -> list[Explanation]:
        """Asks the shard's owner until it answers; the owner may change meanwhile."""
        shard = self._model.shards[shard_index]
        deadline = self._clock.now() + ANSWER_TIMEOUT_S
        while True:
            claim = shard.claim
            if claim is None and self._membership.lease_confirmed_within(MAX_LEASE_AGE_S):
                return [self._unowned_answer(shard, job_id) for job_id in ids]
            answers: list[Explanation] | None = None
            if claim is None:
                # This controller cannot reach the state service: another one may have claimed the
                # shard long ago.
                pass
            elif claim.record.node == self._membership.node:
                try:
                    answers = await self.answer_locally(shard_index, ids)
                except NotOwnerError:
                    log.debug("answer deferred shard=%d reason=not_owner", shard_index)
            else:
                timeout_s = max(MIN_ANSWER_TIMEOUT_S, deadline - self._clock.now())
                answers = await self._ask_owner(
                    claim.record.node, Question(shard_index, ids), timeout_s
                )
            if answers:
                return answers
            # The shard was transferred a moment ago, or its owner has not read the job yet.
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _unowned_answer(self, shard: Shard, job_id: str) -> Explanation:
        """Returns the answer about a job whose shard no controller owns."""
        unowned_s = self._clock.now() - shard.unowned_since
        reason = Reason(
            "no_owner",
            "No controller acts for the share of its team now; one takes it over.",
            binding=True,
            since_s=round(unowned_s, 1) if shard.unowned_since else None,
            change="A controller has claimed the share and has read what is in it.",
        )
        with self._model.lock:
            job = self._model.job(job_id)
            waiting = 0 if job is None else job.waiting()
            phase = "running" if job is not None and job.running() else "pending"
        return Explanation(
            job_id,
            phase,
            [Group("waiting", waiting, [reason])] if waiting else [],
            node=self._membership.node,
            revision=self._model.revision,
        )


def _with_durations(group: Group, since: dict[Code, float]) -> Group:
    """Returns the group with the minimum time for which each reason has held, unless the reason
    already has one."""
    reasons = [
        reason
        if reason.since_s is not None
        else replace(reason, since_s=round(since.get(reason.code, 0.0), 2))
        for reason in group.reasons
    ]
    return Group(group.state, group.tasks, reasons)
