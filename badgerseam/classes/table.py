"""The table of priority classes: which class a job belongs to, and which it counts as after ageing.

Everything here is a pure function of the site's record of classes.
"""

from __future__ import annotations

import hashlib

from badgerseam.options.classes import ClassesOptions, ClassOptions
from badgerseam.wire import state as wire


class ClassTable:
    """The site's classes, indexed for some thousand lookups a plan.

    A class is a number, the position in the site's order: 0 goes first.
    """

    def __init__(self, record: wire.StoredClasses) -> None:
        self.names = [entry.name for entry in record.classes]
        self.age_s = record.age_s
        """A job counts as one class higher for each of these times that it has waited; 0: never."""
        self.max_hold_s = record.max_hold_s
        """How long capacity is reserved after a takeover for what the higher classes may submit."""
        self._class_by_job_class: dict[str, int] = {}
        self._class_by_team: dict[str, int] = {}
        for priority_class, entry in enumerate(record.classes):
            for job_class in entry.jobs:
                self._class_by_job_class.setdefault(job_class, priority_class)
            for team in entry.teams:
                self._class_by_team.setdefault(team, priority_class)
        self._default = max(0, len(self.names) - 1)
        if record.default in self.names:
            self._default = self.names.index(record.default)

    def own_class(self, job_class: str, team: str) -> int:
        """The class that a job belongs to, by its job class, else its team, else the default."""
        priority_class = self._class_by_job_class.get(job_class)
        if priority_class is None:
            priority_class = self._class_by_team.get(team)
        return self._default if priority_class is None else priority_class

    def effective_class(self, own: int, waited_s: float, tasks: int, started: int) -> int:
        """The class that a job counts as: one higher for each `age_s` it has waited since it was
        accepted, until half of its tasks have been started.

        `started`: how many of its tasks were ever started. Requeued tasks do not age: they have
        had their turn, and an old array that loses a machine would go ahead of everything.
        """
        if own == 0 or self.age_s <= 0 or 2 * started >= tasks:
            return own
        return max(0, own - max(0, int(waited_s / self.age_s)))


def to_record(options: ClassesOptions, by: str, at: float, digest: str) -> wire.StoredClasses:
    """The record that stores the options; `by`: who set them, `at`: a time of day."""
    classes = [
        wire.StoredClass(entry.name, sorted(entry.jobs), sorted(entry.teams))
        for entry in options.order
    ]
    return wire.StoredClasses(
        classes, options.default, by, at, options.age_s, options.held_s, digest
    )


def to_options(record: wire.StoredClasses) -> ClassesOptions:
    """The options that a record stores."""
    order = [ClassOptions(entry.name, entry.jobs, entry.teams) for entry in record.classes]
    return ClassesOptions(order, record.default, record.age_s, record.max_hold_s)


def digest_of(options: ClassesOptions) -> str:
    """A digest of the options that does not depend on the order of their lists; never empty."""
    record = to_record(options, "", 0.0, "")
    return hashlib.sha256(wire.encode(record)).hexdigest()[:16]
