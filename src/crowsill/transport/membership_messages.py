"""Messages about the members of the control group, and for joining it."""

from enum import StrEnum

import msgspec


class EmptyCheck(msgspec.Struct, frozen=True, tag="blank-check"):
    """Queries whether a control process is empty: whether it has never stored any state."""


class EmptyCheckReply(msgspec.Struct, frozen=True, tag="member-blank"):
    """The response to `EmptyCheck`.

    Attributes:
        identity: Identity stored in the data folder; an empty string if there is no data folder.
        is_empty: Whether no state has been stored yet.
        may_vote: Whether the process has a data folder and thus may become a member.
    """

    identity: str
    is_empty: bool = msgspec.field(name="is_blank")
    may_vote: bool = True


class MemberAction(StrEnum):
    """An operator's action on the members of the control group."""

    LIST = "list"
    ADD = "add"
    REMOVE = "remove"
    REPLACE = "replace"


class MembersRequest(msgspec.Struct, frozen=True, tag="members"):
    """List or change the members of the group; only the leader can do so.

    Attributes:
        action: The requested action.
        name: Member to remove or replace; for `add`, name of the new member.
        host: IP address of the new member.
        port: Port of the new member.
    """

    action: MemberAction
    name: str = ""
    host: str = ""
    port: int = 0


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one member, as known to the leader.

    Attributes:
        member_id: Identity stored in its data folder.
        name: Name of the machine.
        address: `IP:port`.
        voter: Whether it is a voter.
        leads: Whether it is the leader.
        behind: Number of committed entries that it has not stored durably.
        silent_s: Seconds since its last response; 0 for the leader, -1 if unknown.
        replaces: Voter that it replaces once it has caught up; empty if there is none.
    """

    member_id: str
    name: str
    address: str
    voter: bool
    leads: bool
    behind: int
    silent_s: float
    replaces: str


class MembersReport(msgspec.Struct, frozen=True, tag="members-report"):
    """The response to `MembersRequest`.

    Attributes:
        rejection: Reason why a requested change was not started; otherwise empty.
        is_fully_replicated: Whether every voter responds and has stored all committed entries
            durably.
        risk: Description of the consequences if further machines are lost.
        members: All members.
    """

    rejection: str = msgspec.field(name="refusal")
    is_fully_replicated: bool = msgspec.field(name="whole")
    risk: str = msgspec.field(name="at_risk")
    members: list[MemberReport]


class JoinRequest(msgspec.Struct, frozen=True, tag="join"):
    """A control process that belongs to no group requests to join; only the leader can accept it.

    Attributes:
        identity: Identity stored in its data folder.
        host: IP address at which other members reach it.
        port: Port at which other members reach it.
    """

    identity: str
    host: str
    port: int


class FindGroup(msgspec.Struct, frozen=True, tag="find-group"):
    """A control process without a data folder queries the group's addresses; a leader responds.

    Attributes:
        address: `IP:port` at which the sender accepts later referrals.
    """

    address: str


class GroupReferral(msgspec.Struct, frozen=True, tag="group-referral"):
    """Addresses of the group's members: a leader's response to `FindGroup`, or an announcement.

    An announcement is unverified: the receiver adds the addresses to those that it queries, and
    responds with `Pong`.

    Attributes:
        members: `IP:port` of each member, the sender's own first.
    """

    members: list[str]


class JoinReply(msgspec.Struct, frozen=True, tag="join-reply"):
    """The response to `JoinRequest`.

    Attributes:
        accepted: Whether the sender of the request is a member or is being added.
    """

    accepted: bool
