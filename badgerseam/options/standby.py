"""The warm standby, as operators declare it."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct


class StandbyOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """A controller that has ended is replaced before its state lease is over, and whoever begins to
    act passes a gate first, if this section is there. Times are in seconds."""

    refusals: Annotated[
        int, Meta(ge=2, le=100, description="connections refused or reset in a row for a suspicion")
    ] = 3
    probe_s: Annotated[
        float, Meta(gt=0, le=1, description="between requests to a sibling that refuses them")
    ] = 0.1
    answer_s: Annotated[
        float,
        Meta(
            ge=0.1,
            description="what a suspected controller has to answer for through the state service",
        ),
    ] = 0.4
    witnesses: Annotated[
        int,
        Meta(ge=1, description="of its workers that have to come here where no sibling agrees"),
    ] = 3
    backoff_s: Annotated[
        float,
        Meta(
            ge=1,
            description="after a needless end of a lease no other one of that controller's is "
            "ended for so long; doubled each time",
        ),
    ] = 600.0
    gate_s: Annotated[
        float, Meta(ge=0.2, description="what a new owner has for its checks until it hands on")
    ] = 2.0
    hints_kb: Annotated[
        float, Meta(ge=0, le=256, description="KiB of hints in one answer; 0: no hints")
    ] = 16.0
    hint_age_s: Annotated[
        float, Meta(gt=0, description="age of a hint that is still used at a takeover")
    ] = 30.0


def check(options: StandbyOptions, claim_ttl_s: float) -> list[str]:
    """What cannot be used, each with its field and its remedy.

    `claim_ttl_s`: the state lease of a controller, in seconds.
    """
    suspicion_s = options.refusals * options.probe_s + options.answer_s
    if suspicion_s >= claim_ttl_s:
        return [
            f"answer_s: a suspicion takes {suspicion_s:g} s, which is no sooner than the lease of "
            f"{claim_ttl_s:g} s ends by itself; lower refusals, probe_s or answer_s, or raise "
            "claim_ttl_s"
        ]
    return []
