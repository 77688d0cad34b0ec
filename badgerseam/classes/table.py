"""Which class a job belongs to, and as which it counts: pure functions of the site's record."""

from __future__ import annotations

import hashlib

from badgerseam.options.classes import ClassesOptions, ClassOptions
from badgerseam.wire import state as wire


class ClassTable:
    """The site's classes, ready to be asked some thousand times a plan."""

    def __init__(self, record: wire.StoredClasses) -> None:
        self.names = [entry.name for entry in record.classes]
        self.age_s = record.age_s
        self.held_s = record.max_hold_s
        self._jobs: dict[str, int] = {}
        self._teams: dict[str, int] = {}
        for number, entry in enumerate(record.classes):
            for job_class in entry.jobs:
                self._jobs.setdefault(job_class, number)
            for team in entry.teams:
                self._teams.setdefault(team, number)
        last = max(0, len(self.names) - 1)
        self._default = self.names.index(record.default) if record.default in self.names else last

    def own_class(self, job_class: str, team: str) -> int:
        """The class that a job belongs to; the first one is 0."""
        found = self._jobs.get(job_class)
        if found is None:
            found = self._teams.get(team)
        return self._default if found is None else found

    def effective_class(self, own: int, waited_s: float, tasks: int, started: int) -> int:
        """The class that a job counts as: one higher for each `age_s` it has waited since it was
        accepted, until half of its tasks have been started.

        `started`: how many of its tasks were ever started. What is requeued does not age: it had
        its turn, and an old array that loses a machine would go ahead of everything.
        """
        if own == 0 or self.age_s <= 0 or 2 * started >= tasks:
            return own
        return max(0, own - max(0, int(waited_s / self.age_s)))


def to_record(options: ClassesOptions, by: str, at: float, digest: str) -> wire.StoredClasses:
    """The record that says what the options say."""
    classes = [
        wire.StoredClass(entry.name, sorted(entry.jobs), sorted(entry.teams))
        for entry in options.order
    ]
    return wire.StoredClasses(
        classes, options.default, by, at, options.age_s, options.held_s, digest
    )


def to_options(record: wire.StoredClasses) -> ClassesOptions:
    """A record in the form of the options, to be shown and set again."""
    order = [ClassOptions(entry.name, entry.jobs, entry.teams) for entry in record.classes]
    return ClassesOptions(order, record.default, record.age_s, record.max_hold_s)


def digest_of(options: ClassesOptions) -> str:
    """The same for options that mean the same, however their lists are written down; never
    empty."""
    record = to_record(options, "", 0.0, "")
    return hashlib.sha256(wire.encode(record)).hexdigest()[:16]
