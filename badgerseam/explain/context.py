"""What the reasons of one job are worded from."""

from __future__ import annotations

from dataclasses import dataclass

from badgerseam.batch.terms import TermsRules
from badgerseam.explain.supply import Supply
from badgerseam.explain.surveys import Survey
from badgerseam.model.job import Job
from badgerseam.model.model import Model


@dataclass(slots=True)
class Context:
    """A job, and what is known of it at the time of the answer."""

    model: Model
    job: Job
    survey: Survey
    supply: Supply
    now: float
    """By the clock of the process, in seconds."""
    state_age_s: float
    """Seconds since the state service last confirmed this controller's lease."""
    rules: TermsRules
