"""The configuration in effect, its history, and the decision on each change."""

import msgspec

from crowsill.consensus.invariants import require
from crowsill.model.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationContent,
    ConfigurationDelta,
)
from crowsill.model.validation import configuration_faults
from crowsill.state.commands import ConfigurationDecision, ConfigurationResult

MAX_HISTORY_LENGTH = 1000


class AcceptedChange(msgspec.Struct, frozen=True):
    """One entry of the history."""

    revision: int
    change_id: str
    author: str
    at_s: float
    content: ConfigurationContent


class ConfigurationStore:
    """Decides on changes and stores the latest `MAX_HISTORY_LENGTH` of them."""

    def __init__(self) -> None:
        self.current = Configuration()
        self._history: list[AcceptedChange] = []

    @property
    def history(self) -> list[AcceptedChange]:
        """Accepted changes, oldest first."""
        return self._history

    def submit(self, change: ConfigurationChange, at_s: float) -> ConfigurationResult:
        """Accept or reject a change.

        A resend of an accepted change returns the result of the first one. Of several changes with
        the same base revision the first wins, and the result of the others contains its change id.
        """
        known = self._find(change.change_id)
        if known is not None:
            return self._result_of_known(known, change)
        revision = self.current.revision
        if change.base_revision != revision:
            return self._conflict(change)
        candidate = self.current.with_content(change.content, revision + 1)
        faults = configuration_faults(candidate)
        if faults:
            detail = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
            return ConfigurationResult(ConfigurationDecision.INVALID, revision, detail)
        require(candidate.revision == self.current.revision + 1, "revisions increase by one")
        self.current = candidate
        accepted = AcceptedChange(
            candidate.revision, change.change_id, change.author, at_s, change.content
        )
        self._history.append(accepted)
        del self._history[:-MAX_HISTORY_LENGTH]
        return ConfigurationResult(ConfigurationDecision.ACCEPTED, candidate.revision)

    def _find(self, change_id: str) -> AcceptedChange | None:
        matches = (item for item in reversed(self._history) if item.change_id == change_id)
        return next(matches, None)

    def _result_of_known(
        self, known: AcceptedChange, change: ConfigurationChange
    ) -> ConfigurationResult:
        if known.content == change.content:
            return ConfigurationResult(ConfigurationDecision.REPEATED, known.revision)
        detail = f"change id {known.change_id!r} was used with other content"
        return ConfigurationResult(ConfigurationDecision.CONFLICT, known.revision, detail)

    def _conflict(self, change: ConfigurationChange) -> ConfigurationResult:
        current = self.current.revision
        detail = f"based on revision {change.base_revision}, but {current} is in force"
        later = (item for item in self._history if item.revision == change.base_revision + 1)
        winner = next(later, None)
        if winner is not None:
            author = winner.author or "unknown"
            detail += f"; change {winner.change_id!r} by {author} came first"
        return ConfigurationResult(ConfigurationDecision.CONFLICT, current, detail)

    def deltas_after(self, revision: int) -> list[ConfigurationDelta] | None:
        """Return the changes after a revision, or None if the history starts after it."""
        if revision > self.current.revision:
            return []
        missing = self.current.revision - revision
        if missing > len(self._history):
            return None
        steps = self._history[len(self._history) - missing :]
        return [ConfigurationDelta(step.revision, step.content) for step in steps]

    def load(self, current: Configuration, history: list[AcceptedChange]) -> None:
        """Replace the state from a snapshot."""
        require(current.revision >= self.current.revision, "the configuration never reverts")
        self.current = current
        self._history = history
