"""The table of priority classes: a job's own class, and its effective class after ageing.

Everything here is a pure function of the site's record of classes.
"""

from __future__ import annotations

import hashlib

from badgerseam.options.classes import ClassesOptions, ClassOptions
from badgerseam.wire import state as wire


class ClassTable:
    """The site's classes, indexed since a plan looks up classes some thousand times.

    A class is represented by its position in the site's order: 0 is the highest class.
    """

    def __init__(self, record: wire.StoredClasses) -> None:
        self.names = [entry.name for entry in record.classes]
        self.age_s = record.age_s
        """The waiting time in seconds that raises a job by one class; 0 disables ageing."""
        self.max_hold_s = record.max_hold_s
        """How many seconds after a takeover capacity is reserved for tasks that are expected to
        arrive in higher classes."""
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
        """Returns the class that a job belongs to: by its job class, else its team, else the
        default."""
        priority_class = self._class_by_job_class.get(job_class)
        if priority_class is None:
            priority_class = self._class_by_team.get(team)
        return self._default if priority_class is None else priority_class

    def effective_class(self, own: int, waited_s: float, tasks: int, started: int) -> int:
        """Returns the class of a job after ageing: one higher for each `age_s` since the job was
        accepted, until half of its tasks have been started.

        `started`: how many of its tasks were ever started. Requeued tasks do not age, since they
        have been scheduled once; otherwise an old array that loses a machine would overtake all
        other work.
        """
        if own == 0 or self.age_s <= 0 or 2 * started >= tasks:
            return own
        return max(0, own - max(0, int(waited_s / self.age_s)))


def to_record(options: ClassesOptions, by: str, at: float, digest: str) -> wire.StoredClasses:
    """Returns the record that stores the options; `by`: who set them, `at`: a time of day."""
    classes = [
        wire.StoredClass(entry.name, sorted(entry.jobs), sorted(entry.teams))
        for entry in options.order
    ]
    return wire.StoredClasses(
        classes, options.default, by, at, options.age_s, options.held_s, digest
    )


def to_options(record: wire.StoredClasses) -> ClassesOptions:
    """Returns the options that a record stores."""
    order = [ClassOptions(entry.name, entry.jobs, entry.teams) for entry in record.classes]
    return ClassesOptions(order, record.default, record.age_s, record.max_hold_s)


def digest_of(options: ClassesOptions) -> str:
    """Returns a digest of the options that does not depend on the order in which a class lists its
    jobs and teams; never empty."""
    record = to_record(options, "", 0.0, "")
    return hashlib.sha256(wire.encode(record)).hexdigest()[:16]
