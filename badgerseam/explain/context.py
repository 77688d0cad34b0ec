"""The data from which the reasons for one job are built."""

from __future__ import annotations

from dataclasses import dataclass

from badgerseam.batch.terms import TermsRules
from badgerseam.explain.supply import Supply
from badgerseam.explain.surveys import Survey
from badgerseam.model.job import Job
from badgerseam.model.model import Model


@dataclass(slots=True)
class Context:
    """A job, and the state on which the answer about it is based."""

    model: Model
    job: Job
    survey: Survey
    supply: Supply
    now: float
    """Time of the answer in seconds, by the clock of the process."""
    state_age_s: float
    """Seconds since the state service last confirmed this controller's lease."""
    rules: TermsRules
