"""The memory ledger: the worst-case use of memory on each accelerator.

A resource counts from the time when its load is ordered until the engine's own report confirms its
unload, whatever happens to messages in between. The invariant, asserted at each reservation, is
that the sum never exceeds the capacity.
"""

from dataclasses import dataclass, field

from crowsill.consensus.invariants import require


@dataclass(slots=True)
class AcceleratorAccount:
    """The memory of one replica, in MiB.

    Attributes:
        capacity_mib: Its capacity.
        held: Memory of each resource that the replica holds or may hold.
    """

    capacity_mib: int
    held: dict[str, int] = field(default_factory=dict)

    @property
    def used_mib(self) -> int:
        """Memory that is or may be in use, in MiB."""
        return sum(self.held.values())

    @property
    def free_mib(self) -> int:
        """Memory that is free in the worst case, in MiB."""
        return self.capacity_mib - self.used_mib


class MemoryLedger:
    """Memory accounts by replica.

    >>> ledger = MemoryLedger()
    >>> ledger.open("a", 10)
    >>> ledger.reserve("a", "model", 8), ledger.reserve("a", "other", 8)
    (True, False)
    """

    def __init__(self) -> None:
        self.accounts: dict[str, AcceleratorAccount] = {}

    def open(self, replica_id: str, capacity_mib: int) -> None:
        """Create an empty account."""
        self.accounts[replica_id] = AcceleratorAccount(capacity_mib)

    def reserve(self, replica_id: str, resource: str, memory_mib: int) -> bool:
        """Reserve memory for a resource; return False if it doesn't fit.

        A resource that is already held keeps the larger of the two sizes.
        """
        account = self.accounts[replica_id]
        held_mib = account.held.get(resource, 0)
        more_mib = max(0, memory_mib - held_mib)
        if more_mib > account.free_mib:
            return False
        account.held[resource] = held_mib + more_mib
        require(account.used_mib <= account.capacity_mib, "accelerator memory is not overcommitted")
        return True

    def observe(self, replica_id: str, resource: str, memory_mib: int) -> None:
        """Count a resource that an engine reports to hold, whether it fits or not.

        While the reported resources exceed the capacity, no reservation succeeds.
        """
        account = self.accounts[replica_id]
        account.held[resource] = max(memory_mib, account.held.get(resource, 0))

    def free_mib(self, replica_id: str) -> int:
        """Return the memory that is free in the worst case, in MiB."""
        return self.accounts[replica_id].free_mib
