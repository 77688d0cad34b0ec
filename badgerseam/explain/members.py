"""Reasons why members of a replica that spans machines wait."""

from __future__ import annotations

from collections import Counter

from badgerseam.model.job import Job
from badgerseam.replicas.phases import REPLICA_PHASE_NAMES, ReplicaPhase
from badgerseam.sched.diagnosis import Finding
from badgerseam.wire.explain import Reason
from badgerseam.wire.state import StoredReplica

KNOWN_PHASES = frozenset(ReplicaPhase)


def replica_reason(job: Job, finding: Finding | None) -> Reason:
    """Returns the reason for a job whose replicas span machines; without a finding, none of them
    currently requests capacity."""
    phases = Counter(
        ReplicaPhase(note.phase)
        for note in job.notes.values()
        if isinstance(note, StoredReplica) and note.phase in KNOWN_PHASES
    )
    phase_counts = ", ".join(
        f"{count} {REPLICA_PHASE_NAMES[phase]}" for phase, count in sorted(phases.items())
    )
    phase_counts = f" (its replicas: {phase_counts})" if phase_counts else ""
    gang_rules = None if finding is None else finding.request.gang_rules
    if finding is None or gang_rules is None:
        return Reason(
            "replica",
            f"Its replicas start and end whole{phase_counts}: its tasks wait for other members.",
            binding=True,
            change="The other members have left their machines, or the pause is over after a start "
            "that came to nothing.",
        )
    if gang_rules.staying_members:
        text = (
            f"Replica {gang_rules.number} is degraded: {finding.request.count} of its "
            f"{gang_rules.size} tasks wait for room beside the others, and "
            f"{finding.reached} would find it{phase_counts}."
        )
    else:
        text = (
            f"Replica {gang_rules.number} waits for room as a whole: {finding.reached} of its "
            f"{gang_rules.size} tasks would find it{phase_counts}."
        )
    return Reason(
        "replica",
        text,
        binding=True,
        change="Room for all of them at once, on machines that one replica may span.",
    )
