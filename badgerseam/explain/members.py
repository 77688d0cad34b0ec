"""Why members of a replica that spans machines wait."""

from __future__ import annotations

from collections import Counter

from badgerseam.model.job import Job
from badgerseam.replicas.phases import REPLICA_PHASE_NAMES, ReplicaPhase
from badgerseam.sched.diagnosis import Finding
from badgerseam.wire.explain import Reason
from badgerseam.wire.state import StoredReplica

KNOWN = frozenset(ReplicaPhase)


def replica_reason(job: Job, finding: Finding | None) -> Reason:
    """The reason, of a job whose replicas span machines; without a finding none of them asks for
    room now."""
    phases = Counter(
        ReplicaPhase(note.phase)
        for note in job.notes.values()
        if isinstance(note, StoredReplica) and note.phase in KNOWN
    )
    standing = ", ".join(
        f"{count} {REPLICA_PHASE_NAMES[phase]}" for phase, count in sorted(phases.items())
    )
    standing = f" (its replicas: {standing})" if standing else ""
    span = None if finding is None else finding.request.gang_rules
    if finding is None or span is None:
        return Reason(
            "replica",
            f"Its replicas start and end whole{standing}: its tasks wait for other members.",
            binding=True,
            change="The other members have left their machines, or the pause is over after a start "
            "that came to nothing.",
        )
    if span.staying_members:
        text = (
            f"Replica {span.number} is degraded: {finding.request.count} of its {span.size} tasks "
            f"wait for room beside the others, and {finding.reached} would find it{standing}."
        )
    else:
        text = (
            f"Replica {span.number} waits for room as a whole: {finding.reached} of its "
            f"{span.size} tasks would find it{standing}."
        )
    return Reason(
        "replica",
        text,
        binding=True,
        change="Room for all of them at once, on machines that one replica may span.",
    )
