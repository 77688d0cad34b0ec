"""A batch of proposals that is sent as one transaction."""

from __future__ import annotations

from badgerseam.store.limits import TransactionLimits
from badgerseam.store.proposal import Proposal
from badgerseam.wire.state import Condition, Write


class TransactionBatch:
    """Collects proposals as long as they fit into one transaction."""

    def __init__(self, limits: TransactionLimits) -> None:
        self.proposals: list[Proposal] = []
        self._limits = limits
        self._conditions: dict[str, int] = {}
        self._keys: set[str] = set()
        self._write_count = 0
        self._size_bytes = 0

    def fits(self, proposal: Proposal) -> bool:
        """Whether the proposal may be added to the batch."""
        return (
            self._has_capacity_for(proposal)
            and self._agrees_with(proposal)
            and not self._must_be_separate(proposal)
        )

    def add(self, proposal: Proposal) -> None:
        """Adds a proposal that fits."""
        self.proposals.append(proposal)
        self._conditions |= proposal.conditions
        self._keys |= proposal.keys
        self._write_count += len(proposal.writes)
        self._size_bytes += proposal.size.transaction_bytes

    def conditions(self) -> list[Condition]:
        """Returns the conditions of all proposals, with each key once."""
        return [Condition(key, version) for key, version in self._conditions.items()]

    def writes(self) -> list[Write]:
        """Returns the writes of all proposals, in order."""
        return [write for proposal in self.proposals for write in proposal.writes]

    def _has_capacity_for(self, proposal: Proposal) -> bool:
        condition_count = len(self._conditions.keys() | proposal.conditions.keys())
        return (
            self._write_count + len(proposal.writes) <= self._limits.writes
            and condition_count <= self._limits.conditions
            and self._size_bytes + proposal.size.transaction_bytes <= self._limits.transaction_bytes
        )

    def _agrees_with(self, proposal: Proposal) -> bool:
        """Whether the proposal writes no key of the batch and expects no other version of a key."""
        return not self._keys & proposal.keys and all(
            self._conditions.get(key, version) == version
            for key, version in proposal.conditions.items()
        )

    def _must_be_separate(self, proposal: Proposal) -> bool:
        if not self.proposals:
            return False
        # An expired lease fails the whole transaction, so a proposal with a lease is sent alone.
        return proposal.has_lease or proposal.must_be_alone or self.proposals[0].must_be_alone
