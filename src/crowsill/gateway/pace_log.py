"""Log lines and metrics of the paces that a gateway uses."""

from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import REPLICA_PACES
from crowsill.routing.replica_pace import LOGGED_RATIO, USUAL_PERCENT, is_notable_change


class PaceLog:
    """Logs paces that changed by a quarter or more, and counts the known ones."""

    def __init__(self) -> None:
        self._logged: dict[str, int] = {}

    def update(self, paces: dict[str, int | None]) -> None:
        """Compare the current paces with the last ones.

        Args:
            paces: Learned pace in percent of each replica that ever reported one; None if it is
                not known any more.
        """
        if not paces and not self._logged:
            return
        known = {replica: percent for replica, percent in paces.items() if percent is not None}
        for replica, percent in known.items():
            before = self._logged.get(replica, USUAL_PERCENT)
            if is_notable_change(before, percent):
                self._logged[replica] = percent
                log_event(
                    Event.REPLICA_PACE_CHANGED, replica=replica, percent=percent, before=before
                )
        for replica in [item for item in self._logged if item not in known]:
            before = self._logged.pop(replica)
            if replica in paces:
                log_event(Event.REPLICA_PACE_FORGOTTEN, replica=replica, before=before)
        quick = sum(percent * LOGGED_RATIO <= USUAL_PERCENT for percent in known.values())
        slow = sum(percent >= USUAL_PERCENT * LOGGED_RATIO for percent in known.values())
        REPLICA_PACES.labels("quick").set(quick)
        REPLICA_PACES.labels("slow").set(slow)
        REPLICA_PACES.labels("usual").set(len(known) - quick - slow)
