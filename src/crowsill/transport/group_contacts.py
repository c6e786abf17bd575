"""Addresses at which a process searches for the control group.

An address is only a hint where to send a query. The response proves which member leads and which
state is current.
"""

from random import Random

from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address

# Addresses reported by processes other than a leader; beyond this number the oldest are dropped.
MAX_REFERRALS = 16
# A search is logged once it lasts this long: a group elects a leader within a second.
SEARCH_LOG_DELAY_S = 2.0
SEARCH_LOG_INTERVAL_S = 5.0


class GroupContacts:
    """Addresses that one process queries for the control group.

    Attributes:
        seeds: Control processes from the settings; may be replaced at any time.
        members: Members that a leader reported last.
    """

    def __init__(self, seeds: list[Address], random: Random) -> None:
        """Start with the seeds only.

        Args:
            seeds: Control processes from the settings.
            random: Randomizes the order of queries.
        """
        self.seeds = seeds
        self.members: list[Address] = []
        self._referred: list[Address] = []
        self._zones: dict[Address, str] = {}
        self._random = random
        self._search_started_at_s: float | None = None
        self._logged_at_s = float("-inf")

    def set_members(self, members: list[Address], zones: list[str] | None = None) -> None:
        """Replace the members by those that a leader reported, and discard all referrals.

        Args:
            members: Addresses of the members; an empty list changes nothing.
            zones: Zone of each member, in the same order; empty if unknown to the leader.
        """
        if members:
            self.members = members
            self._zones = dict(zip(members, zones or [], strict=False))
            self._referred = []

    def is_in_zone(self, address: Address, zone: str) -> bool:
        """Return whether a member is known to be in a zone."""
        return self._zones.get(address) == zone

    def add_referrals(self, addresses: list[Address]) -> bool:
        """Add unverified addresses of members; return whether any of them was unknown.

        They never replace known addresses, because the process that reported them may be out of
        date.

        >>> contacts = GroupContacts([], Random(1))
        >>> address = Address("127.0.0.1", 1)
        >>> contacts.add_referrals([address]), contacts.add_referrals([address])
        (True, False)
        """
        known = {*self.members, *self._referred}
        new = [address for address in addresses if address not in known]
        self._referred = [*self._referred, *new][-MAX_REFERRALS:]
        return bool(new)

    def known_addresses(self) -> list[Address]:
        """Return the possible addresses of members, without the seeds."""
        return list(dict.fromkeys([*self.members, *self._referred]))

    def targets(self) -> list[Address]:
        """Return the addresses to query: members, referrals, then seeds, each in random order."""
        groups = (self.members, self._referred, self.seeds)
        ordered = [item for group in groups for item in self._random.sample(group, len(group))]
        return list(dict.fromkeys(ordered))

    def note_found(self) -> None:
        """Note that a queried process knew the group."""
        self._search_started_at_s = None

    def note_not_found(self, now_s: float) -> None:
        """Note that no queried process knew the group; log this if the search takes long."""
        if self._search_started_at_s is None:
            self._search_started_at_s = now_s
        duration_s = now_s - self._search_started_at_s
        if duration_s < SEARCH_LOG_DELAY_S or now_s - self._logged_at_s < SEARCH_LOG_INTERVAL_S:
            return
        self._logged_at_s = now_s
        queried = ",".join(f"{item.host}:{item.port}" for item in self.targets())
        log_event(Event.GROUP_NOT_FOUND, asked=queried, seconds=round(duration_s, 1))
