"""The members of a consensus group."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One member.

    Attributes:
        member_id: Identity, which is bound to the member's disk.
        name: The operator's name for the machine.
        host: IP address for connections from the other members.
        port: Port for connections from the other members.
        voter: False for a learner, which receives the log and has no vote.
        replaces: Id of the voter that a learner replaces after it has caught up.
    """

    member_id: str
    name: str
    host: str
    port: int
    voter: bool = True
    replaces: str = ""


class Membership(msgspec.Struct, frozen=True):
    """All members at one index of the log."""

    members: list[Member] = []

    @property
    def voters(self) -> list[str]:
        """Ids of the members that vote."""
        return [member.member_id for member in self.members if member.voter]

    @property
    def ids(self) -> list[str]:
        """Ids of all members."""
        return [member.member_id for member in self.members]

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority.

        >>> Membership([Member("a", "a", "127.0.0.1", 1), Member("b", "b", "127.0.0.1", 2)]).quorum
        2
        """
        return len(self.voters) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Return the member with this id, or None."""
        return next((item for item in self.members if item.member_id == member_id), None)

    def with_member(self, member: Member) -> "Membership":
        """Return the membership with a member added or replaced by id."""
        others = [item for item in self.members if item.member_id != member.member_id]
        return Membership([*others, member])

    def without_member(self, member_id: str) -> "Membership":
        """Return the membership without the member."""
        return Membership([item for item in self.members if item.member_id != member_id])

    def differs_by_one_voter(self, other: "Membership") -> bool:
        """Return whether at most one voter is added or removed, so that all majorities overlap."""
        return len(set(self.voters) ^ set(other.voters)) <= 1
