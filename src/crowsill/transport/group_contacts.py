"""Where a process looks for the control group: its seeds, and what others told it.

Nothing here is proof of anything. An address only says whom to ask; who leads and what is current
is proved by whoever is asked.
"""

from random import Random

from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address

# Addresses that were told by processes other than a leader: beyond so many the oldest is dropped.
MAX_REFERRALS = 16
# A search that lasts longer is logged, then once in so long: a group elects within a second.
LOG_AFTER_S = 2.0
LOG_INTERVAL_S = 5.0


class GroupContacts:
    """Whom one process asks for the control group.

    Attributes:
        seeds: Control processes named by the settings; may be replaced at any time.
        members: Members as a leader told them last.
    """

    def __init__(self, seeds: list[Address], random: Random) -> None:
        """Make contacts of seeds alone.

        Args:
            seeds: Control processes named by the settings.
            random: Source of the order in which they are asked.
        """
        self.seeds = seeds
        self.members: list[Address] = []
        self._referred: list[Address] = []
        self._zones: dict[Address, str] = {}
        self._random = random
        self._searching_since_s: float | None = None
        self._logged_s = float("-inf")

    def learn(self, members: list[Address], zones: list[str] | None = None) -> None:
        """Take over the members that a leader told; hearsay counts no more then.

        Args:
            members: Where they are reached.
            zones: The site of each, in the same order; empty where the leader does not know it.
        """
        if members:
            self.members = members
            self._zones = dict(zip(members, zones or [], strict=False))
            self._referred = []

    def is_at(self, address: Address, zone: str) -> bool:
        """Whether a member is known to stand at a site."""
        return self._zones.get(address) == zone

    def refer(self, addresses: list[Address]) -> bool:
        """Take in members by hearsay; return whether any of them was not known.

        They come beside what is known and never in its place: whoever told them may be out of date.

        >>> contacts = GroupContacts([], Random(1))
        >>> contacts.refer([Address("127.0.0.1", 1)]), contacts.refer([Address("127.0.0.1", 1)])
        (True, False)
        """
        known = {*self.members, *self._referred}
        fresh = [address for address in addresses if address not in known]
        self._referred = [*self._referred, *fresh][-MAX_REFERRALS:]
        return bool(fresh)

    def known(self) -> list[Address]:
        """Return the addresses at which members may be, without the seeds."""
        return list(dict.fromkeys([*self.members, *self._referred]))

    def targets(self) -> list[Address]:
        """Return whom to ask: members, then hearsay, then seeds, each in random order."""
        groups = (self.members, self._referred, self.seeds)
        ordered = [item for group in groups for item in self._random.sample(group, len(group))]
        return list(dict.fromkeys(ordered))

    def found(self) -> None:
        """Somebody who was asked knew the group."""
        self._searching_since_s = None

    def missed(self, now_s: float) -> None:
        """Nobody who was asked knew the group; log it where that lasts."""
        if self._searching_since_s is None:
            self._searching_since_s = now_s
        lasts_s = now_s - self._searching_since_s
        if lasts_s < LOG_AFTER_S or now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        asked = ",".join(f"{item.host}:{item.port}" for item in self.targets())
        log_event(Event.GROUP_NOT_FOUND, asked=asked, seconds=round(lasts_s, 1))
