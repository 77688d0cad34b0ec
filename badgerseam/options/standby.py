"""The `standby` section of the operators' options: failure detection and warm standby."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct


class StandbyOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Warm standby; enabled if this section is present. Times are in seconds.

    A controller that has ended is replaced before its state lease expires, and each new owner
    passes a gate of checks before it acts.
    """

    refusals: Annotated[
        int,
        Meta(
            ge=2,
            le=100,
            description="consecutive refused or reset connections that raise a suspicion",
        ),
    ] = 3
    probe_s: Annotated[
        float,
        Meta(gt=0, le=1, description="interval between requests to a sibling that refuses them"),
    ] = 0.1
    answer_s: Annotated[
        float,
        Meta(
            ge=0.1,
            description="time for a suspected controller to answer through the state service",
        ),
    ] = 0.4
    witnesses: Annotated[
        int,
        Meta(
            ge=1,
            description="workers of a suspected controller that must have switched to this one, if "
            "no sibling confirms the suspicion",
        ),
    ] = 3
    backoff_s: Annotated[
        float,
        Meta(
            ge=1,
            description="after the lease of a controller was ended needlessly, time for which no "
            "other lease of it is ended; doubled each time",
        ),
    ] = 600.0
    gate_s: Annotated[
        float, Meta(ge=0.2, description="time for a new owner's checks, after which it hands over")
    ] = 2.0
    hints_kb: Annotated[
        float, Meta(ge=0, le=256, description="maximum KiB of hints in one response; 0: no hints")
    ] = 16.0
    hint_age_s: Annotated[
        float, Meta(gt=0, description="maximum age of a hint that is used at a takeover")
    ] = 30.0


def check(options: StandbyOptions, claim_ttl_s: float) -> list[str]:
    """Returns the errors in the section, each with its field and its remedy.

    `claim_ttl_s` is the duration of a controller's state lease in seconds.
    """
    suspicion_s = options.refusals * options.probe_s + options.answer_s
    if suspicion_s >= claim_ttl_s:
        return [
            f"answer_s: a suspicion takes {suspicion_s:g} s, which is no sooner than the lease of "
            f"{claim_ttl_s:g} s ends by itself; lower refusals, probe_s or answer_s, or raise "
            "claim_ttl_s"
        ]
    return []
